// Requests of clients to a server whose event loop the test runs one handler at a time.
#include "server.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <vector>

namespace myrtlegrade {
namespace {

using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kRequestBytes = 256 << 10;
constexpr auto kMinIdleTime = 2s;  // idle time that clients may rely on between two requests

class ServerTest : public testing::Test {
 protected:
  ServerTest()
      : server_(
            context_.get_executor(), tcp::acceptor(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
            8, kRequestBytes, [] { return true; },
            [this](SubmittedMessage message, const Server::Respond& respond) {
              submitted_.push_back(message.id);
              respond({});
            },
            [](const std::string&) {}) {
    server_.start();
  }

  // Runs one handler of the event loop after the other until the condition holds.
  template <typename Condition>
  bool run_until(Condition condition) {
    const auto end = SteadyClock::now() + 30s;
    while (!condition() && SteadyClock::now() < end) context_.run_one_for(10ms);
    return condition();
  }

  tcp::socket connect() {
    tcp::socket client(context_);
    client.connect(server_.address());
    client.non_blocking(true);
    return client;
  }
  static void send_request(tcp::socket& client, const std::string& id) {
    const std::string request = "POST /note HTTP/1.1\r\nX-Request-ID: " + id +
                                "\r\nX-Timeout-Ms: 9000\r\nX-Addressing: dest=2\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(client, boost::asio::buffer(request));
  }
  // Returns all bytes that have arrived so far.
  static std::string read_available(tcp::socket& client) {
    std::string text(4096, 0);
    boost::system::error_code error;
    text.resize(client.read_some(boost::asio::buffer(text), error));
    return text;
  }

  boost::asio::io_context context_;
  std::vector<std::string> submitted_;
  Server server_;
};

// A request that arrives between the decision to close an idle connection and the close is still answered.
TEST_F(ServerTest, ARequestThatCrossesTheCloseOfAnIdleConnectionIsAnswered) {
  tcp::socket client = connect();
  send_request(client, "first");
  std::string response;
  ASSERT_TRUE(run_until([&] { return (response += read_available(client)).ends_with("\r\n\r\n"); }));
  const auto idle_since = SteadyClock::now();
  server_.leave();
  // The handler that finds the connection idle for long enough cancels its read; the request arrives before
  // the next handler runs.
  ASSERT_TRUE(run_until([&] { return SteadyClock::now() >= idle_since + kMinIdleTime; }));
  send_request(client, "second");
  response.clear();
  ASSERT_TRUE(run_until([&] { return !(response += read_available(client)).empty(); }));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 202")) << response;
  EXPECT_EQ(submitted_, (std::vector<std::string>{"first", "second"}));
}

// Review case 3: unfinished requests took all memory. Here they fill the budget, and only they are closed.
TEST_F(ServerTest, UnfinishedRequestsMakeWayForOthers) {
  constexpr std::size_t kBodyBytes = 65'000;
  const auto large = [](const std::string& id) {
    return "POST /note HTTP/1.1\r\nX-Request-ID: " + id +
           "\r\nX-Timeout-Ms: 9000\r\nX-Addressing: dest=2\r\nContent-Length: " + std::to_string(kBodyBytes) +
           "\r\n\r\n" + std::string(kBodyBytes, 'b');
  };
  std::vector<tcp::socket> stalled;
  for (std::size_t i = 0; i < kRequestBytes / kBodyBytes + 1; ++i) {
    stalled.push_back(connect());
    std::string part = large(std::to_string(i));
    part.pop_back();
    boost::asio::write(stalled.back(), boost::asio::buffer(part));
  }
  const auto full = [&] { return server_.request_memory().used() + kBodyBytes > kRequestBytes; };
  ASSERT_TRUE(run_until(full));
  tcp::socket small = connect(), complete = connect(), slow = connect();
  const auto is_answered = [&](tcp::socket& client) {
    std::string received;
    return run_until([&] { return (received += read_available(client)).starts_with("HTTP/1.1 202"); });
  };
  const auto before = SteadyClock::now();
  send_request(small, "small");
  EXPECT_TRUE(is_answered(small));
  boost::asio::write(complete, boost::asio::buffer(large("complete")));
  EXPECT_TRUE(is_answered(complete));
  EXPECT_LT(SteadyClock::now() - before, 400ms) << "answered though nobody was closed yet";
  const std::string rest = large("slow");
  boost::asio::write(slow, boost::asio::buffer(rest.data(), 2000));
  ASSERT_TRUE(run_until([&] { return server_.shed_for_memory() > 0; }));
  boost::asio::write(slow, boost::asio::buffer(rest.data() + 2000, rest.size() - 2000));
  EXPECT_TRUE(is_answered(slow));
  EXPECT_LE(server_.request_memory().used(), kRequestBytes);
  EXPECT_EQ(submitted_, (std::vector<std::string>{"small", "complete", "slow"}));
}

}  // namespace
}  // namespace myrtlegrade
