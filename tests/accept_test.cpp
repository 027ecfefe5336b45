// Connections that wait to be accepted while an accept fails: the real program, held up for a moment so that
// they come together. What happened: Linux tells of a connection whose peer went away before it was accepted
// by ECONNABORTED. Boost.Asio passes over that error, unless asked not to, and waits for the next event of
// the listening socket. The connections that are there already bring none, so they wait until somebody new
// comes (soak, seed 530: 7 of 36 plays with silent clients that were closed late; a bare acceptor with 8
// waiting and the Nth aborted accepts N - 1 of them, every time).
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

  // Of so many connections that wait together, those that get an answer within a time that only a fault
  // takes.
  std::size_t answered(std::size_t count) {
    const Request health{http::verb::get, "/_health", 11};
    return answered(count, address_, [&](tcp::socket& socket) { http::write(socket, health); });
  }
  template <typename Ask>
  std::size_t answered(std::size_t count, const std::string& address, Ask ask) {
    process_->signal(SIGSTOP);
    boost::asio::io_context context;
    std::vector<tcp::socket> waiting;
    for (std::size_t n = 0; n < count; ++n) {
      waiting.push_back(connect(context, address));
      ask(waiting.back());
    }
    process_->signal(SIGCONT);
    return static_cast<std::size_t>(std::ranges::count_if(waiting, [](tcp::socket& socket) {
      timeval limit{2, 0};
      ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
      char byte = 0;
      return ::recv(socket.native_handle(), &byte, 1, 0) == 1;
    }));
  }
};

// The connection whose peer went away is lost, and no other.
TEST_F(AcceptTest, AnAbortedConnectionKeepsNoOtherWaiting) {
  start();
  EXPECT_EQ(answered(8), 7U);
}

TEST_F(AcceptTest, NorDoesTheFirstOrTheLastThatWaits) {
  for (const int number : {1, 3, 8}) {
    abort_accept(number);
    start();
    EXPECT_EQ(answered(8), 7U) << number;
    stop(SIGKILL);
  }
}

TEST_F(AcceptTest, NorDoesItAtTheSecondAddress) {
  start(with_admin_address());
  const auto ask = [](tcp::socket& socket) {
    boost::asio::write(socket, boost::asio::buffer("HEALTH\n", 7));
  };
  EXPECT_EQ(answered(4, admin_address_, ask), 3U);
}

}  // namespace
}  // namespace myrtlegrade::test
