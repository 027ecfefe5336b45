// Tests of lists and of the second address with a second copy or noise right behind the answer.
#include <boost/asio/read_until.hpp>
#include <thread>

#include "admin_client.h"
#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

class StrayBytesTest : public RelayTest {
 protected:
  // Pushes text of the watch that is no list.
  void push_text(const std::string& text) {
    watched_.change([&] { pushed_.push_back(text); });
  }
  std::string new_host_list(const std::string& id, int cell, int version) {
    add_host(id, cell, "plain", kAccept);
    json::object changes = list({id});
    changes["version"] = version;
    return json::serialize(changes);
  }
  void expect_served(const std::string& id, int dest) {
    const auto until = SteadyClock::now() + 10s;
    while (submit(id, "note", dest) != 202U) ASSERT_LT(SteadyClock::now(), until);
    EXPECT_TRUE(wait_delivered(id));
  }
};

// The list counts, the rest does not, and the next list is read from a watch of its own.
TEST_F(StrayBytesTest, WhatFollowsAListChangesNothing) {
  add_host("h", 2, "plain", kAccept);
  start();
  const std::string first = new_host_list("a", 10, 6);
  push_text(first + "\n" + first);  // in one read
  expect_served("m1", 10);
  const std::string second = new_host_list("b", 11, 7);
  push_text(second);
  push_text(second);  // in several
  expect_served("m2", 11);
  const std::string third = new_host_list("c", 12, 8);
  push_text(third + "\nnoise");
  expect_served("m3", 12);
  const std::string fourth = new_host_list("d", 13, 9);
  watched_.change([&] { pushed_ = {fourth}; });
  expect_served("m4", 13);
  for (const auto& [id, dest] : {std::pair("m5", 2), std::pair("m6", 10), std::pair("m7", 12)})
    expect_served(id, dest);
}

TEST(StrayBytes, OnlyTheFirstLineIsTheReplyOfTheSecondAddress) {
  for (const bool in_one_read : {true, false}) {
    boost::asio::io_context context;
    tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    std::jthread relay([&] {
      tcp::socket socket = acceptor.accept();
      std::string line;
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(line), '\n');
      boost::system::error_code ignored;
      boost::asio::write(socket, boost::asio::buffer(std::string(in_one_read ? "ACK\nNAK no\n" : "ACK\n")),
                         ignored);
      if (!in_one_read) boost::asio::write(socket, boost::asio::buffer(std::string("NAK no\n")), ignored);
    });
    EXPECT_EQ(query_relay(acceptor.local_endpoint(), "HEALTH", 4096), "ACK");
  }
}

}  // namespace
}  // namespace myrtlegrade::test
