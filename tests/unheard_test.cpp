// Clients that do not hear that their message is taken on, told by an old process to the one that took over,
// while the message ends there.
#include <sys/socket.h>

#include "handover_fixture.h"

namespace myrtlegrade::test {
namespace {

constexpr auto kHandedOn = 60ms;  // for the old process to pass a message on
constexpr double kAimMs = 10'000;

class UnheardTest : public HandoverTest {
 protected:
  // Its answer comes when the test says so.
  void add_slow_host(const std::string& id, int cell, unsigned status) {
    add_host(id, cell, "plain", [this, status](tcp::socket& socket, Request&) {
      watched_.wait([this] { return test_over_ || released_; });
      return answer(socket, status);
    });
  }

  // The client's message reaches the new process through the old one, which is stopped before it hears of the
  // answer; then the client goes.
  void hand_in_and_go(tcp::socket& client, const Request& request, const std::string& id) {
    new_->signal(SIGSTOP);
    http::write(client, request);
    std::this_thread::sleep_for(kHandedOn);
    process_->signal(SIGSTOP);
    new_->signal(SIGCONT);
    ASSERT_TRUE(wait_delivered(id));
    client.set_option(boost::asio::socket_base::linger(true, 0));
    client.close();
  }

  tcp::socket accepted_client() {
    tcp::socket client = connect(context_, address_);
    std::this_thread::sleep_for(kHandedOn);
    return client;
  }

  boost::asio::io_context context_;
};

// Guards against a process that ends where the client of a message that it is handing back did not hear 202.
TEST_F(UnheardTest, AHandBackThatWaitsForTheJournalDoesNotNeedItsClient) {
  constexpr auto kFailsAfter = 2000ms, kBefore = 300ms, kLongestWait = 500ms;
  add_slow_host("h", 2, 500);
  add_slow_host("h-other", 3, 500);
  start_old(kAimMs, kAimMs);
  tcp::socket client = accepted_client();
  const auto begun = SteadyClock::now();
  next_environment_ = {{"PROXY_TRACE", "1"},
                       {"LD_PRELOAD", SHIM},
                       {"SOAK_BEGIN_MS", std::to_string(begun.time_since_epoch() / 1ms)},
                       {"SOAK_FOLDER", std::to_string(kFailsAfter / 1ms) + ":1000000:1"}};
  upgrade(process_, new_);
  std::this_thread::sleep_until(begun + kFailsAfter - kBefore);
  hand_in_and_go(client, message("once", "note", 2), "once");
  EXPECT_EQ(submit("other", "note", 3), 202U);
  ASSERT_TRUE(wait_delivered("other"));
  std::this_thread::sleep_until(begun + kFailsAfter);
  watched_.change([&] { released_ = true; });
  ASSERT_TRUE(wait_log(new_, "once handed_back"));
  process_->signal(SIGCONT);
  std::this_thread::sleep_for(kLongestWait);
  EXPECT_TRUE(healthy(new_));
  EXPECT_TRUE(wait_notice("once", "given_up")) << "the journal did not take it";
}

// Guards against a memory of a message without its content, which would take the same request for another.
TEST_F(UnheardTest, AWithdrawnMessageThatIsDeliveredBehindAnUpgradeIsKnownByItsContent) {
  add_slow_host("h", 2, 200);
  start_old(kAimMs, kAimMs);
  tcp::socket client = accepted_client();
  next_environment_ = {{"PROXY_TRACE", "1"}};
  upgrade(process_, new_);
  hand_in_and_go(client, message("once", "refund", 2), "once");
  process_->signal(SIGCONT);
  ASSERT_TRUE(wait_log(new_, "once withdrawn"));
  EXPECT_EQ(process_->wait(), 0);
  upgrade(new_, third_);
  watched_.change([&] { released_ = true; });
  ASSERT_TRUE(wait_log(third_, "once outcome"));
  EXPECT_EQ(submit("once", "refund", 2), 202U) << "delivered";
  EXPECT_EQ(count_deliveries("once"), 1U);
}

}  // namespace
}  // namespace myrtlegrade::test
