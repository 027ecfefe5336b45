// Responses that do not reach their clients, reported by an old process to its successor, which accepted the
// message and is completing it.
#include <sys/socket.h>

#include "handover_fixture.h"

namespace myrtlegrade::test {
namespace {

constexpr auto kForwardTime = 60ms;  // for the old process to pass a message on
constexpr double kAimMs = 10'000;

class UndeliveredResponseTest : public HandoverTest {
 protected:
  // Adds a host that answers once the test releases it.
  void add_slow_host(const std::string& id, int cell, unsigned status) {
    add_host(id, cell, "plain", [this, status](tcp::socket& socket, Request&) {
      watched_.wait([this] { return test_over_ || released_; });
      return answer(socket, status);
    });
  }

  // Sends the client's message to the new process through the old one, which is stopped before it receives
  // the answer; then the client closes its connection.
  void submit_and_disconnect(tcp::socket& client, const Request& request, const std::string& id) {
    new_->signal(SIGSTOP);
    http::write(client, request);
    std::this_thread::sleep_for(kForwardTime);
    process_->signal(SIGSTOP);
    new_->signal(SIGCONT);
    ASSERT_TRUE(wait_delivered(id));
    client.set_option(boost::asio::socket_base::linger(true, 0));
    client.close();
  }

  tcp::socket accepted_client() {
    tcp::socket client = connect(context_, address_);
    std::this_thread::sleep_for(kForwardTime);
    return client;
  }

  boost::asio::io_context context_;
};

// Guards against a process that exits when the client of a message being handed back did not receive its 202.
TEST_F(UndeliveredResponseTest, AHandBackThatWaitsForTheJournalDoesNotNeedItsClient) {
  constexpr auto kFailAfter = 2000ms, kSubmitBefore = 300ms, kMaxRecordWait = 500ms;
  add_slow_host("h", 2, 500);
  add_slow_host("h-other", 3, 500);
  start_old(kAimMs, kAimMs);
  tcp::socket client = accepted_client();
  const auto begun = SteadyClock::now();
  next_environment_ = {{"PROXY_TRACE", "1"},
                       {"LD_PRELOAD", SHIM},
                       {"SOAK_BEGIN_MS", std::to_string(begun.time_since_epoch() / 1ms)},
                       {"SOAK_FOLDER", std::to_string(kFailAfter / 1ms) + ":1000000:1"}};
  upgrade(process_, new_);
  std::this_thread::sleep_until(begun + kFailAfter - kSubmitBefore);
  submit_and_disconnect(client, message("once", "note", 2), "once");
  EXPECT_EQ(submit("other", "note", 3), 202U);
  ASSERT_TRUE(wait_delivered("other"));
  std::this_thread::sleep_until(begun + kFailAfter);
  watched_.change([&] { released_ = true; });
  ASSERT_TRUE(wait_log(new_, "once handed_back"));
  process_->signal(SIGCONT);
  std::this_thread::sleep_for(kMaxRecordWait);
  EXPECT_TRUE(healthy(new_));
  EXPECT_TRUE(wait_notice("once", "given_up")) << "the journal did not record it";
}

// Guards against remembering a message without its content, which would reject the same request as another
// one.
TEST_F(UndeliveredResponseTest, AWithdrawnMessageThatIsDeliveredBehindAnUpgradeIsKnownByItsContent) {
  add_slow_host("h", 2, 200);
  start_old(kAimMs, kAimMs);
  tcp::socket client = accepted_client();
  next_environment_ = {{"PROXY_TRACE", "1"}};
  upgrade(process_, new_);
  submit_and_disconnect(client, message("once", "refund", 2), "once");
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
