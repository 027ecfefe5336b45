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

constexpr auto kMinIdleTime = 2s;  // idle time that clients may rely on between two requests

class ServerTest : public testing::Test {
 protected:
  ServerTest()
      : server_(
            context_.get_executor(), tcp::acceptor(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
            8, [] { return true; },
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

}  // namespace
}  // namespace myrtlegrade
