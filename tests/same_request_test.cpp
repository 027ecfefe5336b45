// Requests that are submitted again after their message has completed: a client can't tell whether its
// request was read before its connection broke.
#include <sys/socket.h>

#include "journal.h"
#include "journal_view.h"
#include "upgrade_fixture.h"

namespace myrtlegrade::test {
namespace {

constexpr unsigned kFailed = 504, kRefused = 503;
const std::vector<std::string> kClasses{"note", "receipt", "refund"};

// Reads the call and closes its connection: the message may have run.
const Behaviour kResetConnection = [](tcp::socket&, Request&) { return false; };
const Behaviour kServerError = [](tcp::socket& socket, Request&) { return answer(socket, 500); };

class SameRequestTest : public UpgradeTest {
 protected:
  template <typename Condition>
  static bool wait_until(Condition condition, SteadyClock::duration timeout = 10s) {
    const auto until = SteadyClock::now() + timeout;
    while (!condition()) {
      if (SteadyClock::now() > until) return false;
      std::this_thread::sleep_for(2ms);
    }
    return true;
  }
  // Waits until the journal has recorded the end of the message, so that the relay knows of it.
  bool wait_completed(const std::string& id, SteadyClock::duration timeout = 10s) {
    const auto ended = [&] {
      const auto messages = view_journal(folder_ / "state").messages;
      return std::ranges::find(messages, id, &StoredMessage::id) == messages.end();
    };
    return wait_until(ended, timeout);
  }
  static bool wait_log(const std::optional<Process>& process, const std::string& text) {
    return wait_until([&] { return process->log_with_start().find(text) != std::string::npos; });
  }
  // Expects that each message is answered as delivered and not sent again.
  void expect_delivered_once() {
    for (const std::string& cls : kClasses) EXPECT_EQ(submit(cls, cls, 2), 202U) << cls;
    pass_marker("marker-" + std::to_string(++markers_), 2);
    for (const std::string& cls : kClasses) EXPECT_EQ(count_deliveries(cls), 1U) << cls;
  }
  static void reset(tcp::socket& socket) {
    socket.set_option(boost::asio::socket_base::linger(true, 0));
    socket.close();
  }
  void upgrade() {
    const fs::path file = folder_ / "beside.json";
    std::ofstream(file) << json::serialize(standby_config());
    std::map<std::string, std::string> environment = environment_;
    environment.insert({{"PROXY_CONFIG", file}, {"PROXY_STATE", folder_ / "state"}});
    new_.emplace(PROGRAM, environment);
    ASSERT_TRUE(wait_healthy(new_));
    process_->signal(SIGTERM);
    ASSERT_TRUE(wait_log(new_, "took over"));
  }
  int markers_ = 0;
};

// Guards against sending messages that must not be repeated twice: immediately, across restarts, and across
// an upgrade, both to the new process and on a connection to the old one.
TEST_F(SameRequestTest, AfterItsDeliveryIsAnsweredAsDelivered) {
  add_host("h", 2, "plain", kAccept);
  start(with_admin_address());
  for (const std::string& cls : kClasses) {
    ASSERT_EQ(submit(cls, cls, 2), 202U);
    ASSERT_TRUE(wait_delivered(cls));
    ASSERT_TRUE(wait_completed(cls));
  }
  expect_delivered_once();
  for (const int signal : {SIGTERM, SIGKILL}) {
    stop(signal);
    start(with_admin_address());
    expect_delivered_once();
  }
  EXPECT_EQ(submit("refund", "refund", 2, "another body"), 409U);
  EXPECT_EQ(submit("refund", "note", 2), 409U);
  boost::asio::io_context context;
  tcp::socket kept = connect(context, address_);
  std::this_thread::sleep_for(50ms);  // until it is accepted
  upgrade();
  http::write(kept, message("refund", "refund", 2));
  boost::beast::flat_buffer buffer;
  Response response;
  http::read(kept, buffer, response);
  EXPECT_EQ(response.result_int(), 202U);
  expect_delivered_once();
}

// Guards against a second outcome of a completed message.
TEST_F(SameRequestTest, AfterItsMessageWasGivenUpFails) {
  add_host("h", 2, "plain", kResetConnection);
  start();
  ASSERT_EQ(submit("once", "refund", 2), 202U);
  ASSERT_TRUE(wait_notice("once", "given_up"));
  set_behaviour("h", kAccept);
  EXPECT_EQ(submit("once", "refund", 2), kFailed);
  stop(SIGKILL);
  start();
  EXPECT_EQ(submit("once", "refund", 2), kFailed);
  pass_marker("marker", 2);
  EXPECT_EQ(count_deliveries("once"), 1U);
}

TEST_F(SameRequestTest, AfterItsMessageWasHandedBackIsRefused) {
  add_host("h", 2, "plain", kServerError);
  start();
  ASSERT_EQ(submit("back", "note", 2), 202U);
  ASSERT_TRUE(wait_notice("back", "handed_back"));
  const std::size_t calls = count_deliveries("back");
  set_behaviour("h", kAccept);
  for (int start_number = 0; start_number < 2; ++start_number) {
    const Response response = ask(address_, message("back", "note", 2));
    EXPECT_EQ(response.result_int(), kRefused);
    EXPECT_TRUE(response.count(http::field::retry_after));
    if (start_number > 0) break;
    stop(SIGKILL);
    start();
  }
  pass_marker("marker", 2);
  EXPECT_EQ(count_deliveries("back"), calls);
}

// Guards against a late notice that ends a newer message of the same id.
TEST_F(SameRequestTest, IsNoNewMessageWhileTheNoticeOfItsEndIsPending) {
  add_host("h", 2, "plain", kResetConnection);
  watched_.change([&] { notices_to_fail_ = 1000; });
  start();
  const Request request = with_timeout(message("once", "refund", 2), 300);
  ASSERT_EQ(ask(address_, request).result_int(), 202U);
  ASSERT_TRUE(wait_completed("once"));
  std::this_thread::sleep_for(300ms + kResubmissionWindow + 50ms);
  set_behaviour("h", kAccept);
  EXPECT_EQ(ask(address_, request).result_int(), kFailed);
  watched_.change([&] { notices_to_fail_ = 0; });
  EXPECT_TRUE(wait_notice("once", "given_up"));
  EXPECT_EQ(count_deliveries("once"), 1U);
}

// Guards against forgetting an outcome that is only in memory while the journal directory fails.
TEST_F(SameRequestTest, AfterItsDeliveryIsAnsweredAsDeliveredThoughTheFolderFails) {
  constexpr auto kFailAfter = 2000ms;
  const auto begun = SteadyClock::now();
  environment_["LD_PRELOAD"] = SHIM;
  environment_["SOAK_BEGIN_MS"] = std::to_string(begun.time_since_epoch() / 1ms);
  environment_["SOAK_FOLDER"] = std::to_string(kFailAfter / 1ms) + ":1000000:1";
  environment_["PROXY_TRACE"] = "1";
  add_host("h", 2, "plain", silent());
  json::object slow_config = config();
  json::array& classes = slow_config.at("settings").at("classes").as_array();
  for (json::value& cls : classes) cls.as_object()["aim"] = 10000.0;
  start(slow_config);
  ASSERT_EQ(submit("once", "refund", 2), 202U);
  ASSERT_TRUE(wait_delivered("once"));
  std::this_thread::sleep_until(begun + kFailAfter + 50ms);
  watched_.change([&] { released_ = true; });
  ASSERT_TRUE(wait_log(process_, "once outcome attempt=0 result=ok"));
  EXPECT_EQ(submit("once", "refund", 2), 202U);
  EXPECT_FALSE(wait_completed("once", 100ms)) << "the journal directory does not fail";
  EXPECT_EQ(count_deliveries("once"), 1U);
}

// Guards against reporting a message that never ran as failed when its client submits it again at once.
TEST_F(SameRequestTest, AfterItsMessageWasWithdrawnUncalledIsRefusedOrNew) {
  const FullBacklog hung;
  list_host("h", 2, "plain", hung.address());
  environment_["PROXY_TRACE"] = "1";
  start();
  for (const std::string& cls : kClasses) {
    boost::asio::io_context context;
    tcp::socket client = connect(context, address_);
    // Waits until it is accepted, so that its request is read although it goes away.
    std::this_thread::sleep_for(50ms);
    process_->signal(SIGSTOP);
    http::write(client, message(cls, cls, 2));
    reset(client);
    process_->signal(SIGCONT);
    ASSERT_TRUE(wait_log(process_, cls + " withdrawn")) << cls;
    EXPECT_EQ(submit(cls, cls, 2), kRefused) << cls;
  }
  add_host("h2", 2, "plain", kAccept);
  push(list());
  ASSERT_TRUE(wait_until([&] { return submit("refund", "refund", 2) == 202U; })) << "its call can't connect";
  EXPECT_TRUE(wait_delivered("refund"));
}

// Guards against restarting the message's time: the client counts it from its first submission, and the
// notice arrived too late.
TEST_F(SameRequestTest, AfterItsMessageWasWithdrawnKeepsItsEnd) {
  constexpr auto kMessageTimeout = 1500ms, kResubmitAfter = 350ms, kNoticeDeadline = 300ms;
  add_host("h", 2, "plain", [](tcp::socket& socket, Request&) {
    return answer(socket, 429, "", {{"X-RateLimit-Wait-Ms", "1000"}});
  });
  environment_["PROXY_TRACE"] = "1";
  start();
  ASSERT_EQ(submit("waits", "note", 2), 202U);  // the next message is queued from now on
  ASSERT_TRUE(wait_log(process_, "waits outcome"));
  set_behaviour("h", silent());
  const Request request = with_timeout(message("m", "refund", 2), static_cast<int>(kMessageTimeout.count()));
  boost::asio::io_context context;
  tcp::socket client = connect(context, address_);
  std::this_thread::sleep_for(50ms);  // until it is accepted
  process_->signal(SIGSTOP);
  const auto sent = SteadyClock::now();
  http::write(client, request);
  reset(client);
  process_->signal(SIGCONT);
  ASSERT_TRUE(wait_log(process_, "m withdrawn"));
  std::this_thread::sleep_until(sent + kResubmitAfter);
  ASSERT_EQ(ask(address_, request).result_int(), 202U);
  ASSERT_TRUE(wait_notice("m", "given_up"));
  EXPECT_LT(watched_.read([this] { return first_notice_at_.at("m"); }) - sent,
            kMessageTimeout + kNoticeDeadline);
}

// The client goes away before the old process can tell it that the new process accepted and sent its message.
TEST_F(SameRequestTest, AfterItsMessageWasWithdrawnAndMayHaveRunRunsOnlyWhatMayRunTwice) {
  environment_["PROXY_TRACE"] = "1";
  add_host("h", 2, "plain", [this](tcp::socket& socket, Request&) {
    watched_.wait([this] { return test_over_ || released_; });
    return socket.is_open() && false;
  });
  start(with_admin_address());
  boost::asio::io_context context;
  std::vector<tcp::socket> clients;
  for (std::size_t i = 0; i < kClasses.size(); ++i) clients.push_back(connect(context, address_));
  std::this_thread::sleep_for(50ms);  // until they are accepted
  upgrade();
  new_->signal(SIGSTOP);
  for (std::size_t i = 0; i < kClasses.size(); ++i)
    http::write(clients[i], message(kClasses[i], kClasses[i], 2));
  std::this_thread::sleep_for(100ms);  // until the old process has passed them on
  process_->signal(SIGSTOP);
  new_->signal(SIGCONT);
  for (const std::string& cls : kClasses) ASSERT_TRUE(wait_delivered(cls)) << cls;
  for (tcp::socket& client : clients) reset(client);
  process_->signal(SIGCONT);
  for (const std::string& cls : kClasses) ASSERT_TRUE(wait_log(new_, cls + " withdrawn")) << cls;
  set_behaviour("h", kAccept);
  watched_.change([&] { released_ = true; });
  for (const std::string& cls : kClasses) ASSERT_TRUE(wait_log(new_, cls + " outcome")) << cls;
  EXPECT_TRUE(wait_until([&] { return submit("note", "note", 2) == 202U; }));
  EXPECT_EQ(submit("receipt", "receipt", 2), kFailed);
  EXPECT_EQ(submit("refund", "refund", 2), kFailed);
  EXPECT_TRUE(wait_delivered("note", 2));
  EXPECT_EQ(count_deliveries("refund"), 1U);
  EXPECT_EQ(count_deliveries("receipt"), 1U);
}

}  // namespace
}  // namespace myrtlegrade::test
