// Tests of relay processes that replicate messages: the duties of the last surviving relay.
#include <atomic>
#include <list>
#include <thread>

#include "copies_fixture.h"
#include "forwarding_proxy.h"

namespace myrtlegrade::test {
namespace {

class CopiesRelaysTest : public CopiesTest {
 protected:
  CopiesRelaysTest() { note_ms_ = refund_ms_ = 1000; }
};

// Sends every few chunks of what comes back twice: a copy of whole frames, or noise where a chunk ends within
// one.
class RepeatingProxy : public ForwardingProxy {
 public:
  RepeatingProxy(const std::string& listen, const std::string& to, bool in_one_write)
      : ForwardingProxy(listen, to), in_one_write_(in_one_write) {
    start();
  }
  ~RepeatingProxy() override { stop(); }
  int repeated() const { return repeated_; }

 private:
  void forward(const Chunk& chunk) override {
    const bool repeats = chunk.back && ++chunks_ % 20 == 0;
    if (repeats) ++repeated_;
    write(chunk.into, repeats && in_one_write_ ? chunk.text + chunk.text : chunk.text);
    if (repeats && !in_one_write_) {
      std::this_thread::sleep_for(2ms);
      write(chunk.into, chunk.text);
    }
  }

  bool in_one_write_;
  std::atomic<int> chunks_{0}, repeated_{0};
};

// Guards against late notices from the last surviving relay. The owner and one copy holder are killed; the
// other holder is stopped for 0.15 s per message, the longest stall that the protocol allows. Deadlines 510
// ms apart fall into each phase of the relay's 100 ms cycle. A stall begins at the deadline, or when half of
// the time allowed for the notice has passed.
TEST_F(CopiesRelaysTest, AHolderAloneThatIsHeldUpEndsMessagesInTime) {
  constexpr auto kFirstTimeout = 2500ms, kInterval = 510ms, kNoticeDeadline = 300ms, kStall = 150ms;
  constexpr int kMessages = 12;
  add_host("h", 2, "plain", kAccept);
  add_host("silent", 3, "plain", silent());
  start_relays();
  ASSERT_TRUE(wait_copied());
  std::vector<SteadyClock::time_point> deadlines;
  for (int i = 0; i < kMessages; ++i) {
    const auto timeout = kFirstTimeout + i * kInterval;
    deadlines.push_back(SteadyClock::now() + timeout);
    const Request request =
        with_timeout(message("m" + std::to_string(i), "note", 3), static_cast<int>(timeout / 1ms));
    ASSERT_EQ(ask(address_, request).result_int(), 202U);
  }
  for (auto relay = relays_.begin(); relay != std::prev(relays_.end()); ++relay) (*relay)->signal(SIGKILL);
  int late = 0;
  for (int i = 0; i < kMessages; ++i) {
    const auto deadline = deadlines[static_cast<std::size_t>(i)];
    std::this_thread::sleep_until(deadline + (i < 2 ? 0ms : kNoticeDeadline - kStall + 1ms));
    relays_.back()->signal(SIGSTOP);
    std::this_thread::sleep_for(kStall);
    relays_.back()->signal(SIGCONT);
    std::this_thread::sleep_until(deadline + kNoticeDeadline);
    late += noticed("m" + std::to_string(i)) ? 0 : 1;
  }
  EXPECT_EQ(late, 0) << "of " << kMessages;
}

// What other relays answer on the connections of the copies, with a second copy or noise right behind it:
// messages are accepted and delivered once all the same.
TEST_F(CopiesRelaysTest, WhatFollowsTheAnswersOfOtherRelaysChangesNothing) {
  add_host("h", 2, "plain", kAccept);
  copies_port_ = "7302";
  std::list<RepeatingProxy> proxies;
  for (int n = 0; n < kRelays; ++n) proxies.emplace_back(at(n, "7302"), at(n, "7301"), n % 2 == 0);
  start_relays();
  ASSERT_TRUE(wait_copied());
  std::vector<std::string> accepted;
  for (int i = 0; i < 200; ++i) {
    const std::string id = std::to_string(i);
    if (submit(id, "refund", 2) == 202U) accepted.push_back(id);
  }
  EXPECT_GT(accepted.size(), 100U);
  for (const std::string& id : accepted) {
    EXPECT_TRUE(watched_.wait([&] { return deliveries_of(id) > 0 || notices_.contains(id); })) << id;
    EXPECT_LE(count_deliveries(id), 1U) << id;
  }
  int repeated = 0;
  for (const RepeatingProxy& proxy : proxies) repeated += proxy.repeated();
  EXPECT_GT(repeated, 5);
}

}  // namespace
}  // namespace myrtlegrade::test
