// What clients hand in, against a server whose every turn the test decides.
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

constexpr auto kMayRest = 2s;  // the least that a client may count on between two requests

class ServerTest : public testing::Test {
 protected:
  ServerTest()
      : server_(
            context_.get_executor(), tcp::acceptor(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
            8, [] { return true; },
            [this](HandIn message, const Server::Respond& respond) {
              taken_.push_back(message.id);
              respond({});
            },
            [](const std::string&) {}) {
    server_.start();
  }

  // Takes one turn of the loop after the other until the condition holds.
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
  static void ask(tcp::socket& client, const std::string& id) {
    const std::string request = "POST /note HTTP/1.1\r\nX-Request-ID: " + id +
                                "\r\nX-Timeout-Ms: 9000\r\nX-Addressing: dest=2\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(client, boost::asio::buffer(request));
  }
  // All that came by now.
  static std::string said(tcp::socket& client) {
    std::string text(4096, 0);
    boost::system::error_code error;
    text.resize(client.read_some(boost::asio::buffer(text), error));
    return text;
  }

  boost::asio::io_context context_;
  std::vector<std::string> taken_;
  Server server_;
};

// A request that comes between the decision to close a resting connection and the close is still answered.
TEST_F(ServerTest, ARequestThatCrossesTheCloseOfARestingConnectionIsAnswered) {
  tcp::socket client = connect();
  ask(client, "first");
  std::string heard;
  ASSERT_TRUE(run_until([&] { return (heard += said(client)).ends_with("\r\n\r\n"); }));
  const auto rests_since = SteadyClock::now();
  server_.leave();
  // The turn that finds that it has rested long enough decides to close it; the request comes before the
  // next.
  ASSERT_TRUE(run_until([&] { return SteadyClock::now() >= rests_since + kMayRest; }));
  ask(client, "second");
  heard.clear();
  ASSERT_TRUE(run_until([&] { return !(heard += said(client)).empty(); }));
  EXPECT_TRUE(heard.starts_with("HTTP/1.1 202")) << heard;
  EXPECT_EQ(taken_, (std::vector<std::string>{"first", "second"}));
}

}  // namespace
}  // namespace myrtlegrade
