// Connections that wait to be accepted while an accept fails: the real program, held up for a moment so that
// they come together.
#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

class AcceptTest : public RelayTest {
 protected:
  AcceptTest() {
    add_host("h", 2, "plain", kAccept);
    environment_["LD_PRELOAD"] = SHIM;
    environment_["SOAK_ABORTED_ACCEPT"] = "2";
  }

  // Of so many connections that wait together, those that get an answer within a time that only a fault
  // takes.
  std::size_t answered(std::size_t count) {
    process_->signal(SIGSTOP);
    boost::asio::io_context context;
    std::vector<tcp::socket> waiting;
    const Request health{http::verb::get, "/_health", 11};
    for (std::size_t n = 0; n < count; ++n) {
      waiting.push_back(connect(context, address_));
      http::write(waiting.back(), health);
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

}  // namespace
}  // namespace myrtlegrade::test
