// Tests that endpoints which left the list, or moved to another destination, are named by nothing that still
// refers to them: a handover, a call in flight or a kept connection.
#include "upgrade_fixture.h"

namespace myrtlegrade::test {
namespace {

class GoneEndpointsTest : public UpgradeTest {
 protected:
  // Pushes the entries of these endpoints as a list of changes.
  void push_changes(int version, std::vector<std::string> ids) {
    json::object changes = list(std::move(ids));
    changes["version"] = version;
    push(changes);
  }
  // Delivers a message to a destination of the last list, once that list has been applied.
  void pass_first_marker(const std::string& id, int dest) {
    const auto until = SteadyClock::now() + 10s;
    while (submit(id, "note", dest) != 202U) ASSERT_LT(SteadyClock::now(), until);
    ASSERT_TRUE(wait_delivered(id));
  }
  void remove_host(const std::string& id) { entries_[id]["state"] = "DELETED"; }
};

// Review case 1: the old process ended with an exception at a handover right after an endpoint's removal.
TEST_F(GoneEndpointsTest, AHandoverJustAfterTheirRemovalLosesNothing) {
  add_host("idle", 4, "plain", kAccept);
  add_host("busy", 5, "plain", silent());
  start_old();
  pass_marker("a", 4);
  ASSERT_EQ(submit("b", "refund", 5), 202U);
  ASSERT_TRUE(wait_delivered("b"));
  start_standby(new_);
  ASSERT_TRUE(wait_healthy(new_));
  add_host("next", 6, "plain", kAccept);
  remove_host("idle");
  remove_host("busy");
  push_changes(6, {"idle", "busy", "next"});
  pass_first_marker("c", 6);
  process_->signal(SIGTERM);
  pass_marker("d", 6);
  watched_.change([&] { released_ = true; });
  EXPECT_EQ(process_->wait(), 0);
  EXPECT_EQ(process_->log_with_start().find("no name has the number"), std::string::npos);
  pass_marker("e", 3);
  EXPECT_TRUE(watched_.read([&] { return notices_.empty(); })) << "the call at the removed endpoint counts";
  EXPECT_EQ(count_deliveries("b"), 1U);
}

// A told wait binds towards the whole destination, also when a handover finds all its endpoints replaced.
TEST_F(GoneEndpointsTest, AToldWaitOutlastsThemAndAHandover) {
  add_host("old", 4, "plain", [](tcp::socket& socket, Request&) {
    return answer(socket, 429, "", {{"X-RateLimit-Wait-Ms", "60000"}});
  });
  start_old();
  ASSERT_EQ(submit("w", "note", 4), 202U);
  ASSERT_TRUE(wait_delivered("w"));
  start_standby(new_);
  ASSERT_TRUE(wait_healthy(new_));
  add_host("next", 6, "plain", kAccept);
  remove_host("old");
  push_changes(6, {"old", "next"});
  pass_first_marker("a", 6);
  EXPECT_EQ(end(process_, SIGTERM), 0);
  add_host("replacement", 4, "plain", kAccept);
  push_changes(7, {"replacement"});
  pass_marker("b", 6);
  submit("x", "note", 4);
  for (int i = 0; i < 20; ++i) pass_marker("c" + std::to_string(i), 6);
  EXPECT_EQ(count_deliveries("x"), 0U) << "server backoff of a minute";
  EXPECT_LE(count_deliveries("w"), 1U);
}

}  // namespace
}  // namespace myrtlegrade::test
