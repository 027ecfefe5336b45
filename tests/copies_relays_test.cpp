// Tests of relay processes that replicate messages: the duties of the last surviving relay.
#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

class CopiesRelaysTest : public RelayTest {
 protected:
  static constexpr int kRelays = 3;

  // Returns an address that no other test and no other relay of this test uses.
  static std::string at(int relay, const char* port) {
    const int pid = ::getpid();
    return "127." + std::to_string(64 + (pid >> 8) % 64) + '.' + std::to_string(pid & 255) + '.' +
           std::to_string(relay + 1) + ':' + port;
  }
  void start_all() {
    for (int n = 0; n < kRelays; ++n) {
      const std::string name = "n" + std::string(1, static_cast<char>('0' + n));
      json::object c = config();
      c["name"] = name;
      c["fleet"] = json::object{{"name", "f"},     {"bind", at(n, "7300")},
                                {"machine", name}, {"seeds", {at(0, "7300"), at(1, "7300")}},
                                {"probe_ms", 250}, {"ack_ms", 100}};
      c["copies"] = json::object{{"bind", at(n, "7301")}};
      const fs::path file = folder_ / (name + ".json"), state = folder_ / ("state-" + name);
      fs::create_directory(state);
      std::ofstream(file) << json::serialize(c);
      relays_.emplace_back(
          PROGRAM, std::map<std::string, std::string>{{"PROXY_CONFIG", file}, {"PROXY_STATE", state}});
    }
    address_ = relays_.front().address();
  }
  // Waits until the first relay accepts messages, that is, has members that store its copies.
  bool wait_copied() {
    const auto limit = SteadyClock::now() + 20s;
    for (int i = 0; SteadyClock::now() < limit; ++i) {
      if (submit("warm-" + std::to_string(i), "note", 2) == 202U) return true;
      std::this_thread::sleep_for(50ms);
    }
    return false;
  }
  bool noticed(const std::string& id) {
    return watched_.read([&] { return notices_.contains(id); });
  }
  std::list<Process> relays_;
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
  start_all();
  ASSERT_TRUE(wait_copied());
  std::vector<SteadyClock::time_point> deadlines;
  for (int i = 0; i < kMessages; ++i) {
    const auto timeout = kFirstTimeout + i * kInterval;
    deadlines.push_back(SteadyClock::now() + timeout);
    const Request request =
        with_timeout(message("m" + std::to_string(i), "note", 3), static_cast<int>(timeout / 1ms));
    ASSERT_EQ(ask(address_, request).result_int(), 202U);
  }
  for (auto relay = relays_.begin(); relay != std::prev(relays_.end()); ++relay) relay->signal(SIGKILL);
  int late = 0;
  for (int i = 0; i < kMessages; ++i) {
    const auto deadline = deadlines[static_cast<std::size_t>(i)];
    std::this_thread::sleep_until(deadline + (i < 2 ? 0ms : kNoticeDeadline - kStall + 1ms));
    relays_.back().signal(SIGSTOP);
    std::this_thread::sleep_for(kStall);
    relays_.back().signal(SIGCONT);
    std::this_thread::sleep_until(deadline + kNoticeDeadline);
    late += noticed("m" + std::to_string(i)) ? 0 : 1;
  }
  EXPECT_EQ(late, 0) << "of " << kMessages;
}

}  // namespace
}  // namespace myrtlegrade::test
