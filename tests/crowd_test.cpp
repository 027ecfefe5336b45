// The relay program beside more clients than it has descriptors for, which stop half way through a request
// and come again as soon as they are closed.
#include <sys/socket.h>

#include <thread>

#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

constexpr int kClients = 400;
constexpr auto kPlay = 3s;
constexpr auto kAnswerTimeout = 400ms;

class CrowdTest : public RelayTest {
 protected:
  CrowdTest() { sockets_ = 256; }

  void send_half_a_request(tcp::socket& socket, boost::asio::io_context& context) {
    try {
      socket = connect(context, address_);
      socket.non_blocking(true);
      boost::system::error_code ignored;
      socket.write_some(boost::asio::buffer(half_), ignored);
    } catch (const std::exception&) {  // comes again later
      socket = tcp::socket(context);
    }
  }
  static bool is_open(tcp::socket& socket) {
    char byte = 0;
    const ssize_t size = ::recv(socket.native_handle(), &byte, 1, MSG_DONTWAIT);
    return size > 0 || (size < 0 && errno == EAGAIN);
  }
  void crowd(const std::stop_token& stop) {
    boost::asio::io_context context;
    std::vector<tcp::socket> clients;
    for (int i = 0; i < kClients; ++i) send_half_a_request(clients.emplace_back(context), context);
    while (!stop.stop_requested()) {
      for (tcp::socket& client : clients) {
        if (!is_open(client)) send_half_a_request(client, context);
      }
      std::this_thread::sleep_for(5ms);
    }
  }

  std::string half_ = "POST /note HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + std::string(30'000, 'x');
};

// Guards against a crowd that displaces sound clients: a connection that rests between two requests was
// closed for each new one of the crowd, and its client waited behind the crowd for longer than it waits for
// an answer.
TEST_F(CrowdTest, AClientThatRestsBetweenRequestsKeepsItsConnection) {
  add_host("h", 2, "plain", kAccept);
  start();
  boost::asio::io_context context;
  tcp::socket sound = connect(context, address_);
  const auto submit_on = [&](const std::string& id) {
    boost::system::error_code error;
    http::write(sound, message(id, "note", 2), error);
    boost::beast::flat_buffer buffer;
    Response response;
    if (!error) http::read(sound, buffer, response, error);
    return error ? 0U : response.result_int();
  };
  ASSERT_EQ(submit_on("first"), 202U);
  const std::jthread others([this](const std::stop_token& stop) { crowd(stop); });
  const auto until = SteadyClock::now() + kPlay;
  for (int i = 0; SteadyClock::now() < until; ++i) {
    const auto sent = SteadyClock::now();
    ASSERT_EQ(submit_on(std::to_string(i)), 202U) << i;
    EXPECT_LT(SteadyClock::now() - sent, kAnswerTimeout) << i;
    std::this_thread::sleep_for(50ms);
  }
}

}  // namespace
}  // namespace myrtlegrade::test
