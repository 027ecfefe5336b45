// Handling of messages that the previous process had accepted but not completed, after a restart.
#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

class RestartTest : public RelayTest {};

// A call whose connection was never established can't have run, so its message may be tried again, even if it
// must run at most once.
TEST_F(RestartTest, TriesWorkWhoseCallWasStillConnecting) {
  const FullBacklog hung;
  for (const int destination : {2, 3, 4}) {
    list_host("h" + std::to_string(destination), destination, "plain", hung.address());
  }
  start();
  const std::vector<std::string> classes{"note", "receipt", "refund"};
  for (std::size_t i = 0; i < classes.size(); ++i) {
    ASSERT_EQ(submit(classes[i] + "-1", classes[i], static_cast<int>(i) + 2), 202U);
  }
  std::this_thread::sleep_for(300ms);  // the calls are decided and still connecting
  stop(SIGKILL);
  for (const int destination : {2, 3, 4}) {
    add_host("h" + std::to_string(destination), destination, "plain", kAccept);
  }
  start();
  for (const std::string& cls : classes) EXPECT_TRUE(wait_delivered(cls + "-1")) << cls;
}

// The same where the process is asked to end, and its calls are still connecting when it exits.
TEST_F(RestartTest, TriesWorkWhoseCallConnectedUntilThePlannedEnd) {
  const FullBacklog hung;
  list_host("h", 2, "plain", hung.address());
  json::object long_timeout = config();
  long_timeout.at("settings").at("allowed").as_object()["connectTimeout"] = 10000.0;
  start(long_timeout);
  ASSERT_EQ(submit("once", "refund", 2), 202U);
  std::this_thread::sleep_for(100ms);
  stop(SIGTERM);
  add_host("h", 2, "plain", kAccept);
  start();
  EXPECT_TRUE(wait_delivered("once"));
}

// With PROXY_TRACE=1 the logs of both processes show all steps of the message.
TEST_F(RestartTest, ATraceShowsAMessageAcrossTheRestart) {
  const FullBacklog hung;
  list_host("h", 2, "plain", hung.address());
  environment_["PROXY_TRACE"] = "1";
  start();
  ASSERT_EQ(submit("traced", "refund", 2), 202U);
  std::this_thread::sleep_for(100ms);
  process_->signal(SIGKILL);
  process_->wait();
  const std::string before = process_->log_with_start();
  add_host("h", 2, "plain", kAccept);
  start();
  EXPECT_TRUE(wait_delivered("traced"));
  process_->signal(SIGTERM);
  process_->wait();
  const std::string after = process_->log_with_start();
  EXPECT_NE(before.find(" traced submitted class=refund destination=2"), std::string::npos) << before;
  EXPECT_NE(before.find(" traced call attempt=0 endpoint=h"), std::string::npos) << before;
  EXPECT_EQ(before.find(" traced recorded"), std::string::npos) << "its call was never sent";
  EXPECT_NE(after.find(" traced recovered class=refund destination=2 attempts=0"), std::string::npos)
      << after;
  EXPECT_NE(after.find(" traced recorded attempt=0"), std::string::npos) << after;
  EXPECT_NE(after.find(" traced outcome attempt=0 result=ok"), std::string::npos) << after;
}

// A call that was sent completely may have run.
TEST_F(RestartTest, LeavesOutWorkThatMayHaveRun) {
  add_host("h", 2, "plain", silent());
  start();
  ASSERT_EQ(submit("once", "refund", 2), 202U);
  ASSERT_TRUE(wait_delivered("once"));
  stop(SIGKILL);
  set_behaviour("h", kAccept);
  start();
  EXPECT_TRUE(wait_notice("once", "given_up"));
  EXPECT_EQ(count_deliveries("once"), 1U);
}

}  // namespace
}  // namespace myrtlegrade::test
