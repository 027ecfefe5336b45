// Short writes, and notices whose tries fail, with the real program. Linux may accept fewer bytes than given
// although there is room for all. Boost.Asio then waits for an edge that the socket becomes writable, which
// never occurs as it stayed writable, so that the rest waits until a timeout closes the connection: a notice
// due within 300 ms lost 200 ms that way. And where every second try failed at once, pauses of 20, 40, 80 and
// 100 ms left time for only five tries.
#include <cstdlib>

#include "upgrade_fixture.h"

namespace myrtlegrade::test {
namespace {

constexpr auto kNoticeDeadline = 300ms;  // limit of the protocol, measured on sockets
// Below every timeout that would end a blocked write (1 s for a call, 2 s for an answer, 6 s for the watch),
// and far above the cost of a short write.
constexpr auto kMaxDelay = 500ms;

class ShortWriteTest : public UpgradeTest {
 protected:
  ShortWriteTest() {
    environment_["LD_PRELOAD"] = SHIM;
    environment_["SOAK_SHORT_SENDS"] = "1";
  }
};

class NoticeTriesTest : public RelayTest {
 protected:
  // The call of a message that must not be repeated breaks: its notice is due from then on.
  void expect_notice_in_time() {
    add_host("h", 2, "plain", [](tcp::socket&, Request&) { return false; });
    start();
    ASSERT_EQ(submit("a", "refund", 2), 202U);
    ASSERT_TRUE(wait_notice("a", "given_up"));
    const auto noticed = SteadyClock::now();
    const auto called = watched_.read([this] { return deliveries_.front().at; });
    EXPECT_LT(noticed - called, kNoticeDeadline);
  }
};

TEST_F(ShortWriteTest, AnswersToClientsGoOn) {
  start_old();
  boost::asio::io_context context;
  tcp::socket kept = connect(context, address_);
  boost::beast::flat_buffer buffer;
  const auto begun = SteadyClock::now();
  for (int i = 0; i < 6; ++i) {
    http::write(kept, Request{http::verb::get, "/_health", 11});
    Response response;
    http::read(kept, buffer, response);
    EXPECT_EQ(response.result_int(), 200U);
  }
  EXPECT_LT(SteadyClock::now() - begun, kMaxDelay);
}

TEST_F(ShortWriteTest, CallsGoOn) {
  start_old();
  for (int i = 0; i < 4; ++i) {
    const std::string id = "a" + std::to_string(i);
    ASSERT_EQ(submit(id, "note", 2), 202U);
    const auto accepted = SteadyClock::now();
    ASSERT_TRUE(wait_delivered(id));
    EXPECT_LT(SteadyClock::now() - accepted, kMaxDelay);
  }
}

TEST_F(ShortWriteTest, TheWatchIsOpenedAtOnce) {
  add_host("h", 2, "plain", kAccept);
  const auto begun = SteadyClock::now();
  start();
  ASSERT_TRUE(wait_requested("first", "/catalog/members"));
  EXPECT_LT(SteadyClock::now() - begun, kMaxDelay);
}

TEST_F(ShortWriteTest, AHandOverGoesOn) {
  start_old();
  const fs::path file = folder_ / "beside.json";
  std::ofstream(file) << json::serialize(standby_config());
  std::map<std::string, std::string> environment = environment_;
  environment.emplace("PROXY_CONFIG", file);
  environment.emplace("PROXY_STATE", folder_ / "state");
  new_.emplace(PROGRAM, environment);
  EXPECT_TRUE(wait_healthy(new_));
  process_->signal(SIGTERM);
  EXPECT_EQ(process_->wait(), 0);
  EXPECT_NE(process_->log().find("gave over"), std::string::npos) << process_->log();
  process_.reset();
  pass_marker("m", 2);
}

TEST_F(ShortWriteTest, TheCommandLineHasItsReply) {
  start_old();
  const std::string command =
      "LD_PRELOAD=" SHIM " SOAK_SHORT_SENDS=1 " PROGRAM " status --admin " + admin_address_;
  const auto begun = SteadyClock::now();
  EXPECT_EQ(std::system((command + " >/dev/null").c_str()), 0);
  EXPECT_LT(SteadyClock::now() - begun, kMaxDelay);
}

// A read fails although the answer is still in the socket. Guards against treating the call as unanswered,
// which ignored the wait hint of the answer: the relay called again after 0.64 s instead of 2.915 s.
class BrokenReadTest : public RelayTest {};

TEST_F(BrokenReadTest, TheAnswerThatHasComeCounts) {
  add_host("h", 2, "plain", kAccept);
  const std::string address = hosts_.at("h")->address();
  environment_["LD_PRELOAD"] = SHIM;
  environment_["SOAK_BROKEN_READ"] = address.substr(address.rfind(':') + 1);
  start();
  ASSERT_EQ(submit("a", "refund", 2), 202U);
  ASSERT_TRUE(wait_delivered("a"));
  ASSERT_EQ(submit("b", "refund", 2), 202U);
  ASSERT_TRUE(wait_delivered("b"));
  EXPECT_EQ(stop(SIGTERM), 0);
  EXPECT_TRUE(watched_.read([&] { return notices_.empty(); })) << "it was delivered";
}

class ShortNoticeTest : public NoticeTriesTest {
 protected:
  ShortNoticeTest() {
    environment_["LD_PRELOAD"] = SHIM;
    environment_["SOAK_SHORT_SENDS"] = "1";
  }
};

TEST_F(ShortNoticeTest, IsSentInTime) { expect_notice_in_time(); }

TEST_F(NoticeTriesTest, EightThatFailAtOnceLeaveTimeForTheNext) {
  notices_to_fail_ = 8;
  expect_notice_in_time();
}

TEST_F(NoticeTriesTest, TwoThatGetNoAnswerLeaveTimeForTheNext) {
  notices_to_leave_unanswered_ = 2;
  expect_notice_in_time();
}

}  // namespace
}  // namespace myrtlegrade::test
