// Connections that wait for their accept while an accept fails, with the real program, stopped for a moment
// so that they queue up. Linux reports a connection whose peer went away before the accept by ECONNABORTED.
// Boost.Asio ignores that error by default and waits for the next edge of the listening socket, which
// connections that already wait do not trigger: with 8 waiting and the Nth aborted, it accepts N - 1 until
// another client connects.
#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

class AcceptTest : public RelayTest {
 protected:
  AcceptTest() {
    add_host("h", 2, "plain", kAccept);
    environment_["LD_PRELOAD"] = SHIM;
    abort_accept(2);
  }

  void abort_accept(int number) { environment_["SOAK_ABORTED_ACCEPT"] = std::to_string(number); }

  // Opens `count` connections that wait together, and returns how many of them get an answer within a time
  // that only a fault exceeds.
  std::size_t count_answered(std::size_t count) {
    const Request health{http::verb::get, "/_health", 11};
    return count_answered(count, address_, [&](tcp::socket& socket) { http::write(socket, health); });
  }
  template <typename Send>
  std::size_t count_answered(std::size_t count, const std::string& address, Send send) {
    process_->signal(SIGSTOP);
    boost::asio::io_context context;
    std::vector<tcp::socket> waiting;
    for (std::size_t n = 0; n < count; ++n) {
      waiting.push_back(connect(context, address));
      send(waiting.back());
    }
    process_->signal(SIGCONT);
    return static_cast<std::size_t>(std::ranges::count_if(waiting, [](tcp::socket& socket) {
      timeval timeout{2, 0};
      ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
      char byte = 0;
      return ::recv(socket.native_handle(), &byte, 1, 0) == 1;
    }));
  }
};

// Only the connection whose peer went away is lost.
TEST_F(AcceptTest, AnAbortedConnectionKeepsNoOtherWaiting) {
  start();
  EXPECT_EQ(count_answered(8), 7U);
}

TEST_F(AcceptTest, NorDoesTheFirstOrTheLastThatWaits) {
  for (const int number : {1, 3, 8}) {
    abort_accept(number);
    start();
    EXPECT_EQ(count_answered(8), 7U) << number;
    stop(SIGKILL);
  }
}

TEST_F(AcceptTest, NorDoesItAtTheSecondAddress) {
  start(with_admin_address());
  const auto send = [](tcp::socket& socket) {
    boost::asio::write(socket, boost::asio::buffer("HEALTH\n", 7));
  };
  EXPECT_EQ(count_answered(4, admin_address_, send), 3U);
}

}  // namespace
}  // namespace myrtlegrade::test
