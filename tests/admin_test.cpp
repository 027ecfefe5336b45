// Tests of the admin address: the operators' commands, their effect across restarts, and misbehaving clients.
#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

class AdminTest : public RelayTest {
 protected:
  void start_with_hosts() {
    add_host("h1", 2, "plain", kAccept);
    add_host("h2", 2, "plain", kAccept);
    add_host("alone", 3, "plain", kAccept);
    start(with_admin_address());
  }
  std::size_t deliveries_to(const std::string& host) {
    return watched_.read(
        [&] { return static_cast<std::size_t>(std::ranges::count(deliveries_, host, &Delivery::host)); });
  }
  unsigned health() { return ask(address_, Request{http::verb::get, "/_health", 11}).result_int(); }
  std::string call(const std::string& line) { return test::call(admin_address_, line); }
  // Sends one message after another, so that a host with no call in flight is available for each.
  void deliver_each(const std::string& prefix, int dest, int count) {
    for (int i = 0; i < count; ++i) pass_marker(prefix + std::to_string(i), dest);
  }
};

TEST_F(AdminTest, CallsGetOneLineAndUnknownOnesAreDenied) {
  start_with_hosts();
  EXPECT_EQ(call("HEALTH"), "ACK");
  EXPECT_EQ(call("HEALTH\r"), "ACK");
  for (const char* line : {"", "health", "OFFLINE", "ONLINE ", "OFFLINE nobody", "ONLINE nobody", "LEAVE now",
                           "GET / HTTP/1.1", "OFFLINE h1 h2"}) {
    EXPECT_TRUE(call(line).starts_with("NAK")) << line;
  }
  EXPECT_TRUE(call(std::string(5000, 'x')).starts_with("NAK"));
  deliver_each("a", 2, 4);
}

TEST_F(AdminTest, CallersThatStallKeepNobodyOut) {
  start_with_hosts();
  boost::asio::io_context context;
  std::vector<tcp::socket> stalled;
  for (int i = 0; i < 40; ++i) {
    stalled.push_back(connect(context, admin_address_));
    if (i % 2 == 0) boost::asio::write(stalled.back(), boost::asio::buffer("HEAL", 4));
  }
  EXPECT_EQ(call("HEALTH"), "ACK");
  char byte = 0;
  for (tcp::socket& socket : stalled) {  // each is closed at last, without a reply
    boost::system::error_code ended;
    EXPECT_EQ(boost::asio::read(socket, boost::asio::buffer(&byte, 1), ended), 0U);
  }
}

TEST_F(AdminTest, NothingIsSentToAHostDisabledByTheOperatorWhateverTheListSays) {
  start_with_hosts();
  EXPECT_EQ(call("OFFLINE h1"), "ACK");
  EXPECT_EQ(call("OFFLINE h1"), "ACK");
  deliver_each("a", 2, 6);
  push(list({"h1"}));  // as if discovery had just added it
  deliver_each("b", 2, 6);
  EXPECT_EQ(deliveries_to("h1"), 0U);
  EXPECT_EQ(call("ONLINE h1"), "ACK");
  EXPECT_EQ(call("ONLINE h1"), "ACK");
  EXPECT_EQ(call("OFFLINE h2"), "ACK");
  ASSERT_EQ(submit("c", "note", 2), 202U);
  ASSERT_TRUE(wait_delivered("c"));
  EXPECT_EQ(deliveries_to("h1"), 1U);
}

TEST_F(AdminTest, ADisabledHostStaysDisabledHoweverTheProcessEnds) {
  start_with_hosts();
  EXPECT_EQ(call("OFFLINE h1"), "ACK");
  stop(SIGKILL);
  start(with_admin_address());
  deliver_each("a", 2, 6);
  stop(SIGTERM);
  start(with_admin_address());
  deliver_each("b", 2, 6);
  EXPECT_EQ(deliveries_to("h1"), 0U);
  EXPECT_EQ(call("ONLINE h1"), "ACK");
  stop(SIGKILL);
  start(with_admin_address());
  EXPECT_EQ(call("OFFLINE h2"), "ACK");
  ASSERT_EQ(submit("c", "note", 2), 202U);
  ASSERT_TRUE(wait_delivered("c"));
  EXPECT_EQ(deliveries_to("h1"), 1U);
}

TEST_F(AdminTest, MessagesQueuedForTheOnlyHostAreHandedBackAtOnce) {
  start_with_hosts();
  set_behaviour("alone", silent());
  for (int i = 0; i < 14; ++i) EXPECT_EQ(submit("h" + std::to_string(i), "note", 3), 202U);
  EXPECT_EQ(call("OFFLINE alone"), "ACK");
  std::size_t back = 0;
  ASSERT_TRUE(watched_.wait([&] {
    back = notices_.size();
    return back + deliveries_.size() == 14;
  }));
  EXPECT_GT(back, 0U);
  for (const auto& [id, outcome] : notices_) EXPECT_EQ(outcome, "handed_back") << id;
  EXPECT_EQ(submit("late", "note", 3), 503U);
}

TEST_F(AdminTest, LeavingEmptiesTheRelayOfClientsAndJoiningUndoesIt) {
  start_with_hosts();
  boost::asio::io_context context;
  tcp::socket kept = connect(context, address_), idle = connect(context, address_);
  boost::beast::flat_buffer buffer;
  const auto exchange = [&](tcp::socket& socket, const std::string& id) {
    http::write(socket, message(id, "note", 2));
    Response response;
    http::read(socket, buffer, response);
    return response;
  };
  EXPECT_TRUE(exchange(kept, "a1").keep_alive());
  EXPECT_TRUE(exchange(idle, "a2").keep_alive());
  EXPECT_EQ(call("LEAVE"), "ACK");
  EXPECT_EQ(call("LEAVE"), "ACK");
  EXPECT_EQ(health(), 503U);
  const Response last = exchange(kept, "b1");
  EXPECT_EQ(last.result_int(), 202U);
  EXPECT_FALSE(last.keep_alive());
  EXPECT_EQ(submit("b2", "note", 2), 202U);  // a client that has not noticed yet is served
  char byte = 0;
  boost::system::error_code ended;
  EXPECT_EQ(boost::asio::read(idle, boost::asio::buffer(&byte, 1), ended), 0U);
  EXPECT_EQ(ended, boost::asio::error::eof);
  EXPECT_EQ(call("JOIN"), "ACK");
  EXPECT_EQ(health(), 200U);
  tcp::socket fresh = connect(context, address_);
  EXPECT_TRUE(exchange(fresh, "c1").keep_alive());
  for (const char* id : {"a1", "a2", "b1", "b2", "c1"}) EXPECT_TRUE(wait_delivered(id)) << id;
}

}  // namespace
}  // namespace myrtlegrade::test
