// Three processes of one relay, A, B and C: A's call is handed over twice. Whatever becomes of the links
// between them, C knows how the call ended, and in time.
#include "call_ends.h"

#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <memory>

#include "handover_fixture.h"

namespace myrtlegrade::test {
namespace {

// A message rests so long behind an attempt that failed (kBackoffLeast, kAgainShare).
constexpr auto kRest = 100ms;
constexpr auto kToldWithin = 150ms;  // an end that is known: 100 ms, on sockets 50 ms longer (PROTOCOL)

class CallEndsTest : public HandoverTest {
 protected:
  enum class Answer { none, delivered, told_to_wait };

  // `p1` holds the call that a test ends, `b1` one that keeps A for as long as a process may have calls out.
  void hand_over_twice(const std::string& cls) {
    add_host("p1", 3, "plain",
             [this](tcp::socket& socket, Request& request) { return hold_one(socket, request); });
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

  // The first call waits for the test, later ones are answered at once.
  bool hold_one(tcp::socket& socket, Request& request) {
    if (!first_.exchange(false)) {
      if (is_open(held_)) watched_.change([this] { overlapping_calls_.emplace_back("m"); });
      return kAccept(socket, request);
    }
    held_ = socket.native_handle();
    watched_.wait([this] { return test_over_ || answer_.has_value(); });
    if (watched_.read([this] { return answer_ == Answer::delivered; })) kAccept(socket, request);
    if (watched_.read([this] { return answer_ == Answer::told_to_wait; }))
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

  // The old process says something at least each 50 ms: the read of it breaks the link, and the old one
  // notices.
  void break_link(const fs::path& file, const std::optional<Process>& old) {
    std::ofstream(file) << "now";
    ASSERT_TRUE(wait_log(old, "the new process is "));
  }

  void expect_given_up_in_time(SteadyClock::duration within = kToldWithin) {
    ASSERT_TRUE(wait_notice("m", "given_up"));
    EXPECT_LT(SteadyClock::now() - ended_, within);
    EXPECT_EQ(count_deliveries("m"), 1U) << "it may have run, and may not be repeated";
  }

  void expect_repeated_in_time() {
    ASSERT_TRUE(wait_delivered("m", 2));
    EXPECT_LT(SteadyClock::now() - ended_, kToldWithin + kRest);
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

// Guards against a notice that waits for A's process (soak 1318: 0.75 to 1.1 s after the call's end).
TEST_F(CallEndsTest, AnEndIsKnownThoughTheLinkToTheLastProcessBrokeBefore) {
  hand_over_twice("refund");
  break_link(broken_in_third_, new_);
  end_call(Answer::none);
  expect_given_up_in_time();
}

// Guards against a repeat that waits for A's process.
TEST_F(CallEndsTest, AMessageIsRepeatedThoughTheLinkToTheLastProcessBrokeBefore) {
  hand_over_twice("note");
  break_link(broken_in_third_, new_);
  std::this_thread::sleep_for(2 * kMaxStall);
  EXPECT_EQ(count_deliveries("m"), 1U) << "its call is still out";
  end_call(Answer::none);
  expect_repeated_in_time();
}

// Guards against losing an end that was sent and not read: the link breaks with it.
TEST_F(CallEndsTest, AnEndIsKnownThoughTheLinkToTheLastProcessBreaksWithIt) {
  hand_over_twice("refund");
  third_->signal(SIGSTOP);
  end_call(Answer::none);
  std::ofstream(broken_in_third_) << "now";
  std::this_thread::sleep_for(kMaxStall / 2);
  third_->signal(SIGCONT);
  expect_given_up_in_time(kToldWithin + kMaxStall);
}

// Guards against hearing an end twice: by the link, and then by what is left once that is broken.
TEST_F(CallEndsTest, AnEndThatTheLinkToldIsNotTakenForAnother) {
  hand_over_twice("note");
  end_call(Answer::none);
  expect_repeated_in_time();
  break_link(broken_in_third_, new_);
  std::this_thread::sleep_for(2 * kMaxStall);
  EXPECT_EQ(count_deliveries("m"), 2U);
}

// Guards against the same where the link between the first two breaks: the second one hears nothing.
TEST_F(CallEndsTest, AnEndIsKnownThoughTheLinkToTheFirstProcessBreaks) {
  hand_over_twice("refund");
  break_link(broken_in_second_, process_);
  end_call(Answer::none);
  expect_given_up_in_time();
}

// Guards against giving up what was delivered, since nobody told of its answer.
TEST_F(CallEndsTest, AnAnswerIsKnownThoughTheLinkToTheLastProcessBrokeBefore) {
  hand_over_twice("refund");
  break_link(broken_in_third_, new_);
  end_call(Answer::delivered);
  expect_known_as_delivered();
}

// Guards against calls to an endpoint that has told to wait, in an answer that nobody passed on.
TEST_F(CallEndsTest, AToldWaitIsKnownThoughTheLinkToTheLastProcessBrokeBefore) {
  hand_over_twice("note");
  break_link(broken_in_third_, new_);
  end_call(Answer::told_to_wait);
  std::this_thread::sleep_for(kToldWithin);
  ASSERT_EQ(submit("other", "note", 3), 202U);
  EXPECT_EQ(process_->wait(), 0);
  std::this_thread::sleep_for(2 * kMaxStall);
  EXPECT_EQ(count_deliveries("m"), 1U);
  EXPECT_EQ(count_deliveries("other"), 0U);
}

// Guards against calls that are cut with a link, though the process behind it lives and knows them.
TEST_F(CallEndsTest, AnAnswerIsKnownThoughTheLinkToTheFirstProcessBroke) {
  hand_over_twice("refund");
  break_link(broken_in_second_, process_);
  std::this_thread::sleep_for(kMaxStall);
  end_call(Answer::delivered);
  expect_known_as_delivered();
}

// Guards against calls that go on where nobody is left to hear of them: they would hold back their messages.
TEST_F(CallEndsTest, CallsEndOnceTheProcessBehindALostLinkIsKilled) {
  hand_over_twice("refund");
  break_link(broken_in_second_, process_);
  EXPECT_EQ(end(new_, SIGKILL), 128 + SIGKILL);
  EXPECT_EQ(end(third_, SIGKILL), 128 + SIGKILL);
  EXPECT_TRUE(wait_log(process_, "calls_out=2 end now"));
  EXPECT_EQ(process_->wait(), 0);
}

// Guards against a process that ends with something to say that its folder does not take at that moment: its
// successor would take the call for one that was cut.
TEST_F(CallEndsTest, AnAnswerIsKnownThoughTheFolderOfALonelyProcessFailsForAMoment) {
  constexpr auto kFailsFrom = 2000ms, kFailsFor = 400ms, kWithin = 50ms;
  const auto begun = SteadyClock::now();
  environment_ = {{"LD_PRELOAD", SHIM},
                  {"SOAK_BEGIN_MS", std::to_string(begun.time_since_epoch() / 1ms)},
                  {"SOAK_FOLDER", std::to_string(kFailsFrom / 1ms) + ":" +
                                      std::to_string((kFailsFrom + kFailsFor) / 1ms) + ":1"}};
  next_environment_ = {{"LD_PRELOAD", SHIM}, {"SOAK_BROKEN_LINK", broken_in_second_}};
  add_host("p1", 3, "plain",
           [this](tcp::socket& socket, Request& request) { return hold_one(socket, request); });
  start_old(6000, 6000);
  ASSERT_EQ(submit("m", "refund", 3), 202U);
  ASSERT_TRUE(wait_delivered("m"));
  upgrade(process_, new_);
  break_link(broken_in_second_, process_);
  std::this_thread::sleep_until(begun + kFailsFrom + kWithin);
  end_call(Answer::delivered);
  expect_known_as_delivered();
}

// Guards against losing what was said by a process that has gone, in order, before its successor looked.
TEST_F(CallEndsTest, AnAnswerIsKnownThoughItsProcessEndedBeforeTheLastOneLooked) {
  hand_over_twice("refund");
  break_link(broken_in_third_, new_);
  third_->signal(SIGSTOP);
  end_call(Answer::delivered);
  watched_.change([this] { released_ = true; });  // nothing keeps A any more
  EXPECT_EQ(process_->wait(), 0);
  third_->signal(SIGCONT);
  expect_known_as_delivered();
}

// Guards against counting a killed process as gone before what it said is read.
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

// Guards against a configuration that the old process alone was told to read, where the new one serves
// without having heard of it: it would ask a service that is gone.
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

// Guards against a record that is lost, or read before it is whole, where a write fails or stops in the
// middle.
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
