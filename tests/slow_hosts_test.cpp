// Calls to hosts that write their answers slowly, or read their requests slowly.
#include <string>

#include "host_client_fixture.h"

namespace myrtlegrade {
namespace {

class SlowHostsTest : public HostClientTest {
 protected:
  static constexpr auto kPause = 200ms;  // between two parts of an answer, within what counts as a stall
  static constexpr int kParts = 6;

  // An answer to the bulk call of the messages 1 and 2.
  static std::string bulk_answer() {
    const std::string states =
        R"([{"id":"1","state":"done"},{"id":"2","state":"done","note":")" + std::string(50'000, 'x') + "\"}]";
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(states.size()) + "\r\n\r\n" + states;
  }
  // Writes the answer in parts, and stops early where `parts` says so.
  void send_slowly(tcp::socket& host, const std::string& answer, int parts = kParts) {
    const std::size_t size = answer.size() / kParts + 1;
    for (int n = 0; n < parts; ++n) {
      send(host, answer.substr(static_cast<std::size_t>(n) * size, size));
      run_for(kPause);
    }
  }
  bool run_until_ended() {
    return run_until([this] { return ended_calls_.size() == calls_; });
  }
};

// Guards against a long answer that is cut off 0.5 s after its first byte while the host still writes it: the
// messages had run and were reported as failed.
TEST_F(SlowHostsTest, AnAnswerThatIsStillWrittenIsReadToItsEnd) {
  call({item(1, 5s), item(2, 5s)});
  tcp::socket host = accept();
  read_head(host);
  send_slowly(host, bulk_answer());
  ASSERT_TRUE(run_until_ended());
  EXPECT_EQ(ended_calls_.front().second, CallEnd::answered);
  ASSERT_EQ(results_.size(), 2U);
  for (const auto& [message, result] : results_) EXPECT_EQ(result.result, Result::delivered);
}

// An item whose own timeout passes while the answer arrives is not reported before the answer is complete.
TEST_F(SlowHostsTest, AnItemThatIsDueWhileTheAnswerArrivesGetsItsStateFromIt) {
  call({item(1, 5s), item(2, 2 * kPause)});
  tcp::socket host = accept();
  read_head(host);
  send_slowly(host, bulk_answer());
  ASSERT_TRUE(run_until_ended());
  ASSERT_EQ(results_.size(), 2U);
  for (const auto& [message, result] : results_) EXPECT_EQ(result.result, Result::delivered);
}

// An answer that stops ends its call long before the message's timeout.
TEST_F(SlowHostsTest, AnAnswerThatStopsIsNotWaitedForLong) {
  const auto start = std::chrono::steady_clock::now();
  call({item(1), item(2)});
  tcp::socket host = accept();
  read_head(host);
  send_slowly(host, bulk_answer(), 2);
  ASSERT_TRUE(run_until_ended());
  EXPECT_LT(std::chrono::steady_clock::now() - start, 2 * kPause + 2s);
  for (const auto& [message, result] : results_) EXPECT_EQ(result.result, Result::reset);
}

// An answer that is never complete holds its call no longer than the last of its timeouts.
TEST_F(SlowHostsTest, AnAnswerThatOutlastsTheTimeoutIsCutOff) {
  const auto start = std::chrono::steady_clock::now();
  call({item(1, 3 * kPause), item(2, 3 * kPause)});
  tcp::socket host = accept();
  read_head(host);
  send(host, "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n[");
  while (ended_calls_.empty() && std::chrono::steady_clock::now() - start < 10s) {
    boost::system::error_code ignored;
    boost::asio::write(host, boost::asio::buffer("x", 1), ignored);
    run_for(20ms);
  }
  ASSERT_EQ(ended_calls_.size(), 1U);
  EXPECT_EQ(ended_calls_.front().second, CallEnd::timed_out);
  EXPECT_GE(std::chrono::steady_clock::now() - start, 3 * kPause);
  EXPECT_LT(std::chrono::steady_clock::now() - start, 3 * kPause + 2s);
  for (const auto& [message, result] : results_) EXPECT_EQ(result.result, Result::timed_out);
}

}  // namespace
}  // namespace myrtlegrade
