// Upgrades: a second process of the relay starts as standby and takes over from the first.
#include "upgrade_fixture.h"

namespace myrtlegrade::test {
namespace {

TEST_F(UpgradeTest, EachMessageIsDeliveredOnceAcrossAnUpgrade) {
  start_old();
  set_behaviour("h", silent());
  fill("a", "refund", 12);  // some are in flight, some are queued
  boost::asio::io_context context;
  tcp::socket kept = connect(context, address_);
  boost::beast::flat_buffer buffer;
  const auto exchange = [&](const Request& request) {
    http::write(kept, request);
    Response response;
    http::read(kept, buffer, response);
    return response;
  };
  EXPECT_EQ(exchange(message("k0", "note", 3)).result_int(), 202U);
  start_standby(new_);
  EXPECT_TRUE(healthy(new_));
  EXPECT_TRUE(healthy(process_));
  process_->signal(SIGTERM);
  // The old process still serves its clients' connections while it ends; the new process decides.
  const Response last = exchange(message("k1", "refund", 3));
  EXPECT_EQ(last.result_int(), 202U);
  EXPECT_EQ(submit("n0", "refund", 3), 202U);
  EXPECT_EQ(submit("a0", "refund", 2), 202U) << "already accepted";
  EXPECT_TRUE(wait_delivered("k1"));
  EXPECT_TRUE(wait_delivered("n0"));
  set_behaviour("h", kAccept);
  watched_.change([&] { released_ = true; });
  EXPECT_EQ(process_->wait(), 0);
  for (int i = 0; i < 12; ++i) ASSERT_TRUE(wait_delivered("a" + std::to_string(i))) << i;
  pass_marker("m", 2);
  for (int i = 0; i < 12; ++i) EXPECT_EQ(count_deliveries("a" + std::to_string(i)), 1U) << i;
  EXPECT_EQ(count_deliveries("k1"), 1U);
  EXPECT_TRUE(watched_.read([&] { return notices_.empty(); }));
  EXPECT_TRUE(healthy(new_));
}

TEST_F(UpgradeTest, TheNewProcessGoesOnWhereTheOldOneIsKilled) {
  start_old();
  set_behaviour("h", silent());
  fill("a", "refund", 12);
  const std::size_t out = watched_.read([&] { return deliveries_.size(); });
  start_standby(new_);
  EXPECT_TRUE(healthy(new_));
  end(process_, SIGKILL);
  set_behaviour("h", kAccept);
  watched_.change([&] { released_ = true; });
  // Messages in flight may have run and must not be repeated; queued ones are delivered.
  ASSERT_TRUE(watched_.wait([&] { return deliveries_.size() + notices_.size() >= 12 + out; }));
  EXPECT_EQ(submit("m", "note", 2), 202U);
  ASSERT_TRUE(wait_delivered("m"));
  for (int i = 0; i < 12; ++i) EXPECT_LE(count_deliveries("a" + std::to_string(i)), 1U) << i;
}

TEST_F(UpgradeTest, TheOldProcessGoesOnWhereTheNewOneIsKilledAndAnotherMayStandBy) {
  start_old();
  start_standby(new_);
  EXPECT_TRUE(healthy(new_));
  end(new_, SIGKILL);
  pass_marker("a", 2);
  start_standby(new_);
  EXPECT_TRUE(wait_healthy(new_));
  EXPECT_EQ(end(process_, SIGTERM), 0);
  pass_marker("b", 2);
  std::optional<Process> third;
  start_standby(third);
  EXPECT_TRUE(wait_healthy(third));
  EXPECT_EQ(end(new_, SIGTERM), 0);
  pass_marker("c", 2);
}

// The standby process is stopped: the old process does not hand over, and drains as it would alone.
TEST_F(UpgradeTest, AStalledNewProcessGetsNothing) {
  start_old();
  start_standby(new_);
  EXPECT_TRUE(healthy(new_));
  set_behaviour("h", silent());
  fill("a", "refund", 12);
  new_->signal(SIGSTOP);
  EXPECT_EQ(end(process_, SIGTERM), 0);
  set_behaviour("h", kAccept);
  watched_.change([&] { released_ = true; });
  new_->signal(SIGCONT);
  pass_marker("m", 3);
  for (int i = 0; i < 12; ++i) EXPECT_LE(count_deliveries("a" + std::to_string(i)), 1U) << i;
  ASSERT_TRUE(wait_delivered("a11"));  // it was queued, and the new process read it from the journal
}

TEST_F(UpgradeTest, BansAndToldWaitsHoldAcrossIt) {
  add_host("other", 2, "plain", kAccept);
  start_old();
  EXPECT_EQ(call(admin_address_, "OFFLINE h"), "ACK");
  set_behaviour("h2", [](tcp::socket& socket, Request&) {
    return answer(socket, 429, "", {{"X-RateLimit-Wait-Ms", "60000"}});
  });
  EXPECT_EQ(submit("w0", "note", 3), 202U);
  ASSERT_TRUE(wait_delivered("w0"));
  start_standby(new_);
  EXPECT_EQ(call(new_->second_address(), "OFFLINE nobody").substr(0, 3), "NAK");
  EXPECT_EQ(call(new_->second_address(), "ONLINE h"), "ACK");  // handled by the old process
  EXPECT_EQ(call(new_->second_address(), "OFFLINE h"), "ACK");
  EXPECT_EQ(end(process_, SIGTERM), 0);
  set_behaviour("h2", kAccept);
  for (int i = 0; i < 4; ++i) {
    submit("w1" + std::to_string(i), "note", 3);
    pass_marker("m" + std::to_string(i), 2);
  }
  const auto at = [&](const std::string& host) {
    return watched_.read([&] { return std::ranges::count(deliveries_, host, &Delivery::host); });
  };
  EXPECT_EQ(at("h2"), 1) << "server backoff of a minute";
  EXPECT_EQ(at("h"), 0);
}

TEST_F(UpgradeTest, LeavingHoldsAcrossIt) {
  start_old();
  EXPECT_EQ(call(admin_address_, "LEAVE"), "ACK");
  start_standby(new_);
  EXPECT_TRUE(healthy(new_));
  EXPECT_EQ(end(process_, SIGTERM), 0);
  const auto health = [&] { return ask(address_, Request{http::verb::get, "/_health", 11}).result_int(); };
  EXPECT_EQ(health(), 503U);
  EXPECT_EQ(call(new_->second_address(), "JOIN"), "ACK");
  EXPECT_EQ(health(), 200U);
}

}  // namespace
}  // namespace myrtlegrade::test
