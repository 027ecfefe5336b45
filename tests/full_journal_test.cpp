// Tests that a relay whose journal is full takes messages again once there is room.
#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

class FullJournalTest : public RelayTest {
 protected:
  // Submits messages whose last bytes arrive together, so that one step of the relay gets many of them.
  // Returns how many were accepted.
  int submit_together(int count, int dest, std::size_t body, int timeout_ms) {
    struct Part {
      tcp::socket socket;
      std::string text;
    };
    boost::asio::io_context context;
    std::vector<Part> parts;
    for (int i = 0; i < count; ++i) {
      std::ostringstream text;
      text << with_timeout(message("clump" + std::to_string(i), "note", dest, std::string(body, 'c')),
                           timeout_ms);
      parts.push_back({connect(context, address_), std::move(text).str()});
      std::string& request = parts.back().text;
      boost::asio::write(parts.back().socket, boost::asio::buffer(request.data(), request.size() - 1));
    }
    for (Part& part : parts) boost::asio::write(part.socket, boost::asio::buffer(&part.text.back(), 1));
    int accepted = 0;
    for (Part& part : parts) {
      boost::beast::flat_buffer buffer;
      Response response;
      http::read(part.socket, buffer, response);
      if (response.result_int() == 202U) ++accepted;
    }
    return accepted;
  }
};

// Review case 2: after a clump of large messages for an endpoint that hangs, all was refused for good.
TEST_F(FullJournalTest, MessagesAreAcceptedAgainAfterAClumpOfLargeOnes) {
  disk_mb_ = 1;
  add_host("hangs", 2, "plain", silent());
  add_host("well", 3, "plain", kAccept);
  start();
  constexpr int kClump = 13;
  const int accepted = submit_together(kClump, 2, 60'000, 3000);
  EXPECT_GT(accepted, 0);
  EXPECT_LT(accepted, kClump) << "more than the journal has room for";
  const auto until = SteadyClock::now() + 5s;
  unsigned last = 0;
  for (int i = 0; SteadyClock::now() < until; ++i) {  // past the time of all messages of the clump
    last = submit("w" + std::to_string(i), "note", 3, std::string(20'000, 'w'));
    std::this_thread::sleep_for(5ms);
  }
  EXPECT_EQ(last, 202U);
  (void)stop(SIGKILL);
  start();
  EXPECT_EQ(submit("after", "note", 3), 202U);
}

}  // namespace
}  // namespace myrtlegrade::test
