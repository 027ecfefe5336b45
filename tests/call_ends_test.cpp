// Three processes of one relay, A, B and C: a call of A is handed over twice. Whatever happens to the links
// between the processes, C learns in time how the call ended.
#include "call_ends.h"

#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <memory>

#include "handover_fixture.h"

namespace myrtlegrade::test {
namespace {

constexpr auto kRetryBackoff = 100ms;   // delay after a failed attempt, from the module's minimum backoff
constexpr auto kNoticeTimeout = 150ms;  // a notice is due within 100 ms, plus 50 ms on real sockets

class CallEndsTest : public HandoverTest {
 protected:
  enum class Answer { none, delivered, server_backoff };

  // `p1` holds the call that the test ends; `b1` holds one that keeps A running for as long as a process may
  // have calls in flight.
  void hand_over_twice(const std::string& cls) {
    add_host("p1", 3, "plain",
             [this](tcp::socket& socket, Request& request) { return hold_first(socket, request); });
    add_silent_host("b1", 2, "bulk");
    next_environment_ = {{"LD_PRELOAD", SHIM}, {"SOAK_BROKEN_LINK", broken_in_second_}};
    start_old(6000, 6000);
    ASSERT_EQ(submit("m", cls, 3), 202U);
    ASSERT_EQ(submit("stays", "note", 2), 202U);
    ASSERT_TRUE(wait_delivered("m"));
    ASSERT_TRUE(wait_delivered("stays"));
    upgrade(process_, new_);
    next_environment_["SOAK_BROKEN_LINK"] = broken_in_third_;
    upgrade(new_, third_);
  }

  // Holds the first call until the test ends it; responds to later ones at once.
  bool hold_first(tcp::socket& socket, Request& request) {
    if (!first_.exchange(false)) {
      if (is_open(held_)) watched_.change([this] { overlapping_calls_.emplace_back("m"); });
      return kAccept(socket, request);
    }
    held_ = socket.native_handle();
    watched_.wait([this] { return test_over_ || answer_.has_value(); });
    if (watched_.read([this] { return answer_ == Answer::delivered; })) kAccept(socket, request);
    if (watched_.read([this] { return answer_ == Answer::server_backoff; }))
      answer(socket, 429, "", {{"X-RateLimit-Wait-Ms", "60000"}});
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_both, ignored);
    held_ = -1;
    watched_.change([this] { ended_ = SteadyClock::now(); });
    return false;
  }

  void end_call(Answer answer) {
    watched_.change([&] { answer_ = answer; });
    ASSERT_TRUE(watched_.wait([this] { return ended_ != SteadyClock::time_point{}; }));
  }

  // Breaks the link at the new process's next read (the old process sends a frame at least every 50 ms), and
  // waits until the old process has noticed.
  void break_link(const fs::path& file, const std::optional<Process>& old) {
    std::ofstream(file) << "now";
    ASSERT_TRUE(wait_log(old, "the new process is "));
  }

  void expect_given_up_in_time(SteadyClock::duration timeout = kNoticeTimeout) {
    ASSERT_TRUE(wait_notice("m", "given_up"));
    EXPECT_LT(SteadyClock::now() - ended_, timeout);
    EXPECT_EQ(count_deliveries("m"), 1U) << "may have run, so must not be repeated";
  }

  void expect_repeated_in_time() {
    ASSERT_TRUE(wait_delivered("m", 2));
    EXPECT_LT(SteadyClock::now() - ended_, kNoticeTimeout + kRetryBackoff);
    EXPECT_EQ(overlapping_calls(), std::vector<std::string>{});
  }

  void expect_known_as_delivered() {
    EXPECT_EQ(process_->wait(), 0);
    std::this_thread::sleep_for(2 * kMaxStall);
    EXPECT_FALSE(watched_.read([this] { return notices_.contains("m"); }));
    EXPECT_EQ(count_deliveries("m"), 1U);
  }

  const fs::path broken_in_second_ = folder_ / "broken-in-second";
  const fs::path broken_in_third_ = folder_ / "broken-in-third";
  std::optional<Answer> answer_;
  std::atomic<bool> first_ = true;
  std::atomic<int> held_ = -1;
  SteadyClock::time_point ended_{};
};

// Guards against a notice that is delayed until process A exits (soak, seed 1318: 0.75 to 1.1 s late).
TEST_F(CallEndsTest, AnEndIsKnownThoughTheLinkToTheLastProcessBrokeBefore) {
  hand_over_twice("refund");
  break_link(broken_in_third_, new_);
  end_call(Answer::none);
  expect_given_up_in_time();
}

// Guards against a retry that is delayed until process A exits.
TEST_F(CallEndsTest, AMessageIsRepeatedThoughTheLinkToTheLastProcessBrokeBefore) {
  hand_over_twice("note");
  break_link(broken_in_third_, new_);
  std::this_thread::sleep_for(2 * kMaxStall);
  EXPECT_EQ(count_deliveries("m"), 1U) << "its call is still in flight";
  end_call(Answer::none);
  expect_repeated_in_time();
}

// Guards against the loss of a result that was sent over the link but not read before the link broke.
TEST_F(CallEndsTest, AnEndIsKnownThoughTheLinkToTheLastProcessBreaksWithIt) {
  hand_over_twice("refund");
  third_->signal(SIGSTOP);
  end_call(Answer::none);
  std::ofstream(broken_in_third_) << "now";
  std::this_thread::sleep_for(kMaxStall / 2);
  third_->signal(SIGCONT);
  expect_given_up_in_time(kNoticeTimeout + kMaxStall);
}

// Guards against counting a result twice: once from the link, and again from the file after the link broke.
TEST_F(CallEndsTest, AnEndThatTheLinkToldIsNotTakenForAnother) {
  hand_over_twice("note");
  end_call(Answer::none);
  expect_repeated_in_time();
  break_link(broken_in_third_, new_);
  std::this_thread::sleep_for(2 * kMaxStall);
  EXPECT_EQ(count_deliveries("m"), 2U);
}

// Guards against a late notice where the link between A and B breaks, so that B receives no result.
TEST_F(CallEndsTest, AnEndIsKnownThoughTheLinkToTheFirstProcessBreaks) {
  hand_over_twice("refund");
  break_link(broken_in_second_, process_);
  end_call(Answer::none);
  expect_given_up_in_time();
}

// Guards against giving up a message that was delivered, because its response was not reported over a link.
TEST_F(CallEndsTest, AnAnswerIsKnownThoughTheLinkToTheLastProcessBrokeBefore) {
  hand_over_twice("refund");
  break_link(broken_in_third_, new_);
  end_call(Answer::delivered);
  expect_known_as_delivered();
}

// Guards against calls to an endpoint during its server backoff, because the response that asked for it was
// not reported over a link.
TEST_F(CallEndsTest, AToldWaitIsKnownThoughTheLinkToTheLastProcessBrokeBefore) {
  hand_over_twice("note");
  break_link(broken_in_third_, new_);
  end_call(Answer::server_backoff);
  std::this_thread::sleep_for(kNoticeTimeout);
  ASSERT_EQ(submit("other", "note", 3), 202U);
  EXPECT_EQ(process_->wait(), 0);
  std::this_thread::sleep_for(2 * kMaxStall);
  EXPECT_EQ(count_deliveries("m"), 1U);
  EXPECT_EQ(count_deliveries("other"), 0U);
}

// Guards against calls that are cut when a link is lost, although the process at its other end is alive and
// knows them.
TEST_F(CallEndsTest, AnAnswerIsKnownThoughTheLinkToTheFirstProcessBroke) {
  hand_over_twice("refund");
  break_link(broken_in_second_, process_);
  std::this_thread::sleep_for(kMaxStall);
  end_call(Answer::delivered);
  expect_known_as_delivered();
}

// Guards against calls that continue although no process is left that reads their results: their messages
// could not be retried meanwhile.
TEST_F(CallEndsTest, CallsEndOnceTheProcessBehindALostLinkIsKilled) {
  hand_over_twice("refund");
  break_link(broken_in_second_, process_);
  EXPECT_EQ(end(new_, SIGKILL), 128 + SIGKILL);
  EXPECT_EQ(end(third_, SIGKILL), 128 + SIGKILL);
  EXPECT_TRUE(wait_log(process_, "calls_out=2 end now"));
  EXPECT_EQ(process_->wait(), 0);
}

// Guards against a process that exits before it could write a result, because its state folder failed at that
// time: its successor would treat the call as cut.
TEST_F(CallEndsTest, AnAnswerIsKnownThoughTheFolderOfALonelyProcessFailsForAMoment) {
  constexpr auto kFailureStart = 2000ms, kFailureDuration = 400ms, kMargin = 50ms;
  const auto begun = SteadyClock::now();
  environment_ = {{"LD_PRELOAD", SHIM},
                  {"SOAK_BEGIN_MS", std::to_string(begun.time_since_epoch() / 1ms)},
                  {"SOAK_FOLDER", std::to_string(kFailureStart / 1ms) + ":" +
                                      std::to_string((kFailureStart + kFailureDuration) / 1ms) + ":1"}};
  next_environment_ = {{"LD_PRELOAD", SHIM}, {"SOAK_BROKEN_LINK", broken_in_second_}};
  add_host("p1", 3, "plain",
           [this](tcp::socket& socket, Request& request) { return hold_first(socket, request); });
  start_old(6000, 6000);
  ASSERT_EQ(submit("m", "refund", 3), 202U);
  ASSERT_TRUE(wait_delivered("m"));
  upgrade(process_, new_);
  break_link(broken_in_second_, process_);
  std::this_thread::sleep_until(begun + kFailureStart + kMargin);
  end_call(Answer::delivered);
  expect_known_as_delivered();
}

// Guards against the loss of results of a process that exited in order before its successor read them.
TEST_F(CallEndsTest, AnAnswerIsKnownThoughItsProcessEndedBeforeTheLastOneLooked) {
  hand_over_twice("refund");
  break_link(broken_in_third_, new_);
  third_->signal(SIGSTOP);
  end_call(Answer::delivered);
  watched_.change([this] { released_ = true; });  // A has no reason to keep running
  EXPECT_EQ(process_->wait(), 0);
  third_->signal(SIGCONT);
  expect_known_as_delivered();
}

// Guards against counting a killed process as gone before its results are read.
TEST_F(CallEndsTest, AnAnswerIsKnownThoughItsProcessWasKilledBehindIt) {
  hand_over_twice("refund");
  break_link(broken_in_third_, new_);
  third_->signal(SIGSTOP);
  end_call(Answer::delivered);
  ASSERT_TRUE(wait_log(new_, "end=answered"));
  process_->signal(SIGKILL);
  EXPECT_EQ(process_->wait(), 128 + SIGKILL);
  third_->signal(SIGCONT);
  std::this_thread::sleep_for(3 * kMaxStall);
  EXPECT_FALSE(watched_.read([this] { return notices_.contains("m"); }));
  EXPECT_EQ(count_deliveries("m"), 1U);
}

// Guards against a new process that serves with an outdated configuration, because only the old process got
// the reload signal and the link was down: it would contact a discovery service that is gone.
TEST_F(CallEndsTest, TheFileIsReadAgainWhereNoLinkToldOfANewOne) {
  next_environment_ = {{"LD_PRELOAD", SHIM}, {"SOAK_BROKEN_LINK", broken_in_second_}};
  add_silent_host("p1", 3, "plain");
  start_old(6000, 6000);
  start_next(new_);
  ASSERT_TRUE(wait_healthy(new_));
  std::ofstream(broken_in_second_) << "now";
  call(new_->second_address(), "BANS");  // the reply breaks the link
  json::object moved = with_aims(second_discovery_config(), note_ms_, refund_ms_);
  moved["listen"] = address_;
  moved["admin_addr"] = "127.0.0.1:0";
  std::ofstream(folder_ / "next.json") << json::serialize(moved);
  reload(json::serialize(moved));
  ASSERT_TRUE(wait_requested("moved", "/catalog/members"));
  watched_.change([this] { platform_requests_.clear(); });
  process_->signal(SIGTERM);
  EXPECT_EQ(process_->wait(), 0);
  EXPECT_TRUE(wait_requested("moved", "/catalog/members"));
}

// Guards against a record that is lost, or read while incomplete, where a write fails or ends early.
TEST(CallEndsFileTest, WhatIsTornIsReadOnceItIsWhole) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> owner(std::tmpfile(), std::fclose);
  const int file = ::fileno(owner.get());
  CallEndsWriter writer;
  CallEndsReader reader;
  writer.add(CallRecord::of_outcome(7, "m", 2, {vetchhinge::Result::error, false, 30ms, 5ms, {}, {}}));
  EXPECT_FALSE(writer.flush(-1));
  EXPECT_TRUE(writer.flush(file));
  writer.add(CallRecord::of_ended(7, CallEnd::answered));
  EXPECT_TRUE(writer.flush(file));
  std::string whole(4096, ' ');
  whole.resize(static_cast<std::size_t>(::pread(file, whole.data(), whole.size(), 0)));
  std::vector<CallRecord> records;
  for (std::size_t size = 0; size <= whole.size(); ++size) {
    ASSERT_EQ(::ftruncate(file, 0), 0);
    ASSERT_EQ(::pwrite(file, whole.data(), size, 0), static_cast<ssize_t>(size));
    for (const CallRecord& record : reader.read(file)) records.push_back(record);
    EXPECT_EQ(records.size() == 2, size == whole.size());
  }
  EXPECT_EQ(records[0].message + '#' + std::to_string(records[0].attempt), "m#2");
  EXPECT_EQ(records[0].result.wait_hint, 30ms);
  EXPECT_EQ(records[1].call, 7U);
  EXPECT_EQ(records[1].end, CallEnd::answered);
}

}  // namespace
}  // namespace myrtlegrade::test
