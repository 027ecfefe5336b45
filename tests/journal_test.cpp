// Tests of the relay's journal: replay, compaction, the limit on its size, and damaged files.
#include "journal.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <algorithm>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>
#include <tuple>
#include <vector>

#include "journal_records.h"
#include "journal_view.h"

namespace myrtlegrade {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

class JournalTest : public testing::Test {
 protected:
  JournalTest() {
    std::string pattern = fs::temp_directory_path() / "journal-XXXXXX";
    folder_ = ::mkdtemp(pattern.data());
  }
  ~JournalTest() override { fs::remove_all(folder_); }

  static StoredMessage message(const std::string& id, std::size_t body = 20) {
    return {id, "refund", 7, "key-" + id, std::string(body, '\0'), {WallTime(5s)}, {}};
  }
  fs::path file() const { return fs::path(folder_) / "journal"; }
  std::uintmax_t disk_bytes() const {
    std::uintmax_t sum = 0;
    for (const auto& entry : fs::directory_iterator(folder_)) sum += (entry.file_size() + 511) / 512 * 512;
    return sum;
  }

  std::string folder_;
};

TEST_F(JournalTest, RestoresPendingMessagesInTheOrderOfAcceptance) {
  {
    Journal journal(folder_, 3'000'000);
    for (const char* id : {"b", "a", "c"}) journal.accept(message(id));
    journal.record_attempt("a", 0, {"h1", "z", {WallTime(1s)}});
    journal.record_attempt("a", 1, {"h2", "z", {WallTime(2s)}});
    journal.record_never_ran("a", 0);
    journal.complete("c");
    journal.complete_with_notice({"b", true, 250ms});
    ASSERT_TRUE(journal.flush());
  }
  Journal journal(folder_, 3'000'000);
  const auto messages = journal.take_messages();
  ASSERT_EQ(messages.size(), 1U);
  EXPECT_EQ(messages[0].id, "a");
  EXPECT_EQ(messages[0].key, "key-a");
  EXPECT_EQ(messages[0].body, std::string(20, '\0'));
  EXPECT_EQ(messages[0].deadline.wall, WallTime(5s));
  ASSERT_EQ(messages[0].attempts.size(), 2U);
  EXPECT_FALSE(messages[0].attempts[0].may_have_run);
  EXPECT_TRUE(messages[0].attempts[1].may_have_run) << "the outcome was lost with the process";
  EXPECT_EQ(messages[0].attempts[1].host, "h2");
  const auto notices = journal.take_notices();
  ASSERT_EQ(notices.size(), 1U);
  EXPECT_EQ(notices[0].message, "b");
  EXPECT_TRUE(notices[0].handed_back);
  EXPECT_EQ(notices[0].retry_in, 250ms);
}

// A timestamp is restored with both clocks; from the record of an older version, only the wall clock is.
TEST_F(JournalTest, MomentsComeBackWholeAndThoseOfAnEarlierProgramAsFarAsTheyGo) {
  const Timestamp at{WallTime(5s), 77, vetchhinge::Time(9s)};
  {
    Journal journal(folder_, 3'000'000);
    journal.accept({"a", "receipt", 7, "k", "b", at + 1s, {}});
    journal.record_attempt("a", 0, {"h", "z", at});
    ASSERT_TRUE(journal.flush());
  }
  std::ofstream(file(), std::ios::app)
      << RecordWriter(RecordKind::accept)
             .text("b")
             .text("receipt")
             .number(7)
             .text("k")
             .text("b")
             .time(at.wall)
             .record()
      << RecordWriter(RecordKind::attempt).text("b").text("h").text("z").time(at.wall).record();
  const auto messages = Journal(folder_, 3'000'000).take_messages();
  ASSERT_EQ(messages.size(), 2U);
  const auto whole = [](const Timestamp& m) { return std::tuple(m.wall, m.boot, m.steady); };
  EXPECT_EQ(whole(messages[0].deadline), whole(at + 1s));
  EXPECT_EQ(whole(messages[0].attempts.at(0).sent), whole(at));
  EXPECT_EQ(whole(messages[1].deadline), whole({at.wall}));
  EXPECT_EQ(whole(messages[1].attempts.at(0).sent), whole({at.wall}));
}

TEST_F(JournalTest, AnAttemptThatWasNotRecordedNeverRan) {
  {
    Journal journal(folder_, 3'000'000);
    journal.accept(message("a"));
    journal.record_never_ran("a", 0);
    journal.record_attempt("a", 2, {"h", "z", {WallTime(1s)}});
    ASSERT_TRUE(journal.flush());
  }
  const auto messages = Journal(folder_, 3'000'000).take_messages();
  ASSERT_EQ(messages.size(), 1U);
  ASSERT_EQ(messages[0].attempts.size(), 3U);
  EXPECT_FALSE(messages[0].attempts[0].may_have_run);
  EXPECT_FALSE(messages[0].attempts[1].may_have_run);
  EXPECT_TRUE(messages[0].attempts[2].may_have_run);
}

// An older version would truncate records that it can't parse: it has to read the newer format number first.
TEST_F(JournalTest, AFileOfAnEarlierProgramTellsTheNewFormatBeforeNewRecords) {
  std::ofstream(file()) << RecordWriter(RecordKind::format).number(2).record();
  {
    Journal journal(folder_, 3'000'000);
    journal.accept(message("a"));
    ASSERT_TRUE(journal.flush());
  }
  EXPECT_EQ(view_journal(folder_).format, kJournalFormat);
}

// Guards against a completion that is lost at the next start although a flush succeeded. It happened when the
// file held the message, and its hand-back was still buffered when the message was completed.
TEST_F(JournalTest, AnEndBehindAHandBackThatWasNotWrittenIsKept) {
  {
    Journal journal(folder_, 1'000'000);
    journal.accept(message("a"));
    ASSERT_TRUE(journal.flush());
    journal.complete_with_notice({"a", true, {}});
    EXPECT_TRUE(journal.may_survive_restart("a"));
    journal.complete("a");
    ASSERT_TRUE(journal.flush());
  }
  EXPECT_TRUE(Journal(folder_, 1'000'000).take_messages().empty());
}

// Guards against a compaction that drops the outcomes of completed messages, so that a repeated request runs
// again after a restart.
TEST_F(JournalTest, CompletedMessagesSurviveACompactionAndAStart) {
  const Timestamp until = read_clocks() + 60s;
  {
    Journal journal(folder_, 1'000'000);
    for (const char* id : {"taken", "given-up", "past"}) journal.accept(message(id));
    ASSERT_TRUE(journal.flush());
    journal.complete("taken", {CompletedMessage::Reply::accepted, {}, 1, until});
    journal.complete("past", {CompletedMessage::Reply::accepted, {}, 2, read_clocks()});
    journal.complete_with_notice({"given-up", false, {}},
                                 CompletedMessage{CompletedMessage::Reply::failed, {}, 3, until});
    journal.complete_with_notice({"back", true, 250ms},
                                 CompletedMessage{CompletedMessage::Reply::refused, 250ms, 4, until});
    journal.settle_notice("back");
    ASSERT_TRUE(journal.flush());
    for (int i = 0; i < 20; ++i) {  // enough for a compaction
      journal.accept(message("m", 20'000));
      ASSERT_TRUE(journal.flush());
      journal.complete("m");
    }
    ASSERT_TRUE(journal.flush());
  }
  EXPECT_FALSE(view_journal(folder_).records.contains("notice_settled")) << "the journal was not compacted";
  Journal journal(folder_, 1'000'000);
  const auto expect = [&](const char* id, CompletedMessage::Reply reply, std::uint64_t content) {
    const CompletedMessage* const ended = journal.find_completed(id);
    ASSERT_TRUE(ended) << id;
    EXPECT_EQ(ended->reply, reply) << id;
    EXPECT_EQ(ended->content, content) << id;
  };
  expect("taken", CompletedMessage::Reply::accepted, 1);
  expect("given-up", CompletedMessage::Reply::failed, 3);
  expect("back", CompletedMessage::Reply::refused, 4);
  EXPECT_EQ(journal.find_completed("back")->retry_in, 250ms);
  EXPECT_FALSE(journal.find_completed("past"));
  EXPECT_FALSE(journal.find_completed("m"));
  EXPECT_TRUE(journal.take_messages().empty());
  EXPECT_EQ(journal.take_notices().size(), 1U);
}

// Guards against completed messages that take space from pending ones: the oldest are evicted, and no message
// is refused.
TEST_F(JournalTest, CompletedMessagesAreEvictedBeforeTheyTakeRoomFromPendingOnes) {
  constexpr std::uint64_t kMaxBytes = 300'000, kCompleted = 10'000;
  const Timestamp until = read_clocks() + 60s;
  {
    Journal journal(folder_, kMaxBytes);
    for (std::uint64_t i = 0; i < kCompleted; ++i) {
      const std::string id = std::to_string(i);
      ASSERT_TRUE(journal.has_room(4, 96)) << i;
      journal.accept(message(id));
      ASSERT_TRUE(journal.flush()) << i;
      journal.complete(id, {CompletedMessage::Reply::accepted, {}, i, until});
      ASSERT_LE(disk_bytes(), kMaxBytes);
    }
    ASSERT_TRUE(journal.flush());
    EXPECT_TRUE(journal.find_completed(std::to_string(kCompleted - CompletedMessages::kMaxEntries)));
    EXPECT_FALSE(journal.find_completed(std::to_string(kCompleted - CompletedMessages::kMaxEntries - 1)));
  }
  const Journal journal(folder_, kMaxBytes);
  constexpr std::uint64_t kLeft = kMaxBytes / 32 / kCompletionRecordBytes;
  for (std::uint64_t i = kCompleted - kLeft; i < kCompleted; ++i)
    EXPECT_TRUE(journal.find_completed(std::to_string(i)));
}

// A kill may truncate a write at any byte. Records that were complete before it must be read, and so must
// those appended after the next start.
TEST_F(JournalTest, ATornTailIsCutAtAnyByte) {
  std::uintmax_t whole = 0;
  {
    Journal journal(folder_, 3'000'000);
    journal.accept(message("kept"));
    ASSERT_TRUE(journal.flush());
    whole = fs::file_size(file());
    journal.accept(message("torn"));
    ASSERT_TRUE(journal.flush());
  }
  const fs::path copy = fs::path(folder_) / "copy";
  fs::rename(file(), copy);
  for (std::uintmax_t size = whole; size < fs::file_size(copy); ++size) {
    fs::copy_file(copy, file(), fs::copy_options::overwrite_existing);
    fs::resize_file(file(), size);
    {
      Journal journal(folder_, 3'000'000);
      ASSERT_EQ(journal.take_messages().size(), 1U) << size;
      journal.accept(message("later"));
      ASSERT_TRUE(journal.flush());
    }
    Journal journal(folder_, 3'000'000);
    const auto messages = journal.take_messages();
    ASSERT_EQ(messages.size(), 2U) << size;
    EXPECT_EQ(messages[1].id, "later");
  }
}

TEST_F(JournalTest, ARecordWithAWrongChecksumEndsTheReading) {
  {
    Journal journal(folder_, 3'000'000);
    journal.accept(message("a"));
    ASSERT_TRUE(journal.flush());
  }
  const auto size = static_cast<std::streamoff>(fs::file_size(file()));
  std::fstream out(file(), std::ios::in | std::ios::out | std::ios::binary);
  out.seekp(size - 1);
  out.put('\x7f');
  out.close();
  Journal journal(folder_, 3'000'000);
  EXPECT_TRUE(journal.take_messages().empty());
}

TEST_F(JournalTest, OldAndNewFileTogetherStayUnderTheLimit) {
  constexpr std::uint64_t kMaxBytes = 200'000;
  std::uintmax_t most_seen = 0;
  {
    Journal journal(folder_, kMaxBytes);
    journal.accept(message("long-lived", 1000));
    for (int i = 0; i < 3000; ++i) {
      const std::string id = std::to_string(i);
      ASSERT_TRUE(journal.has_room(4, 996));
      journal.accept(message(id, 1000));
      ASSERT_TRUE(journal.flush());
      journal.complete(id);
      ASSERT_TRUE(journal.flush());
      most_seen = std::max(most_seen, disk_bytes());
    }
  }
  EXPECT_LE(most_seen + 2048, kMaxBytes);  // the new file holds little more than the long-lived message
  Journal journal(folder_, kMaxBytes);
  const auto messages = journal.take_messages();
  ASSERT_EQ(messages.size(), 1U);
  EXPECT_EQ(messages[0].id, "long-lived");
}

TEST_F(JournalTest, SaysThatItIsFullAndRecovers) {
  Journal journal(folder_, 100'000);
  int taken = 0;
  while (journal.has_room(4, 3996)) {
    journal.accept(message(std::to_string(taken++), 4000));
    ASSERT_TRUE(journal.flush());
    ASSERT_LT(taken, 25) << "never full";
  }
  EXPECT_GT(taken, 3);
  EXPECT_LE(disk_bytes(), 100'000U);
  for (int i = 0; i < taken; ++i) journal.complete(std::to_string(i));
  ASSERT_TRUE(journal.flush());
  EXPECT_TRUE(journal.has_room(4, 3996));
}

// Review case 2: messages of one step were let in before the journal counted any of them.
TEST_F(JournalTest, RoomIsTakenWhenItIsReserved) {
  Journal journal(folder_, 100'000);
  std::vector<Journal::Reservation> reserved;
  while (auto room = journal.reserve(4, 4000)) {
    reserved.push_back(std::move(*room));
    ASSERT_LT(reserved.size(), 25U) << "never full";
  }
  EXPECT_FALSE(journal.has_room(4, 4000));
  for (std::size_t i = 0; i < reserved.size(); ++i) journal.accept(message(std::to_string(i), 4000));
  reserved.clear();
  ASSERT_TRUE(journal.flush());
  EXPECT_FALSE(journal.has_room(4, 4000)) << "the accepted messages need what was reserved";
  for (int i = 0; i < 25; ++i) journal.complete(std::to_string(i));
  ASSERT_TRUE(journal.flush());
  EXPECT_TRUE(journal.has_room(4, 4000));
}

// Review case 2: the file grew to its limit, and then not even an empty journal fitted beside it.
TEST_F(JournalTest, WhateverIsAcceptedACompactionFitsBesideTheFile) {
  constexpr std::uint64_t kMaxBytes = 400'000;
  Journal journal(folder_, kMaxBytes);
  std::vector<std::string> open;
  for (int i = 0; i < 2000; ++i) {
    const std::string id = std::to_string(i);
    if (journal.has_room(id.size(), 20'000)) {
      journal.accept(message(id, 20'000));
      journal.record_attempt(id, 0, {std::string(300, 'h'), "z", {WallTime(1s)}});  // a long name
      open.push_back(id);
    } else {
      ASSERT_FALSE(open.empty()) << "nothing is held, and nothing fits";
      journal.complete(open.front());
      open.erase(open.begin());
    }
    ASSERT_TRUE(journal.flush()) << i;
    ASSERT_LE(disk_bytes(), kMaxBytes);
  }
  EXPECT_EQ(journal.usage().compactions_without_room, 0U);
  EXPECT_GT(journal.usage().compactions, 0U);
}

// Completes messages of 20 kB until the file has the given size, without a compaction. Returns the size.
std::uint64_t fill_with_completed(const std::string& folder, std::uint64_t bytes) {
  Journal journal(folder, 100'000'000);
  std::uint64_t size = 0;
  for (int i = 0; size < bytes; ++i) {
    const std::string id = "held-" + std::to_string(i % 4);
    if (i >= 4) journal.complete(id);
    journal.accept({id, "refund", 7, "", std::string(20'000, 'b'), {WallTime(5s)}, {}});
    EXPECT_TRUE(journal.flush());
    size = journal.usage().file_bytes;
  }
  return size;
}

// A file of an earlier program, or of a higher limit, that leaves no room for another beside it.
TEST_F(JournalTest, AFullFileOfAnEarlierProcessEmptiesAsItsMessagesEnd) {
  const std::uint64_t full = fill_with_completed(folder_, 300'000);
  Journal journal(folder_, full);
  const auto held = journal.take_messages();
  ASSERT_EQ(held.size(), 4U);
  EXPECT_FALSE(journal.has_room(4, 100));
  EXPECT_GT(journal.usage().compactions_without_room, 0U);
  for (std::size_t i = 0; i < held.size(); ++i) {
    journal.complete(held[i].id);
    (void)journal.flush();
    std::this_thread::sleep_for(60ms);  // while it fails, the disk is tried every 50 ms
    EXPECT_LE(disk_bytes(), full + 512);
  }
  EXPECT_TRUE(journal.flush());
  EXPECT_TRUE(journal.has_room(4, 100));
  EXPECT_LT(disk_bytes(), 2048U);
  journal.accept(message("next"));
  EXPECT_TRUE(journal.flush());
  const auto found = Journal(folder_, full).take_messages();
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].id, "next");
}

TEST_F(JournalTest, AFullFileWithLittleThatIsLiveIsCompactedAtTheStart) {
  fill_with_completed(folder_, 300'000);
  {
    std::ofstream out(file(), std::ios::app);
    for (int i = 0; i < 4; ++i)
      out << RecordWriter(RecordKind::end).text("held-" + std::to_string(i)).record();
    out << RecordWriter(RecordKind::ban).text("s-1").record()
        << RecordWriter(RecordKind::accept)
               .text("small")
               .text("refund")
               .number(7)
               .text("")
               .text("b")
               .time(WallTime(5s))
               .record();
  }
  Journal journal(folder_, fs::file_size(file()) / 512 * 512);
  EXPECT_LT(disk_bytes(), 2048U);
  EXPECT_TRUE(journal.has_room(4, 100));
  EXPECT_TRUE(journal.disabled_hosts().contains("s-1"));
  ASSERT_EQ(journal.take_messages().size(), 1U);
}

// A kill between the two steps of a compaction in place: what is left of the old file is cut off.
TEST_F(JournalTest, AFileOverwrittenAtItsBeginningIsReadUpToThere) {
  std::string compact;
  {
    Journal journal(folder_, 1'000'000);
    journal.accept(message("kept"));
    journal.disable_host("s-1");
    ASSERT_TRUE(journal.flush());
    std::ifstream in(file(), std::ios::binary);
    compact.assign(std::istreambuf_iterator<char>(in), {});
  }
  fs::remove(file());
  fill_with_completed(folder_, 300'000);
  std::fstream out(file(), std::ios::in | std::ios::out | std::ios::binary);
  out.write(compact.data(), static_cast<std::streamsize>(compact.size()));
  out.close();
  Journal journal(folder_, 1'000'000);
  const auto messages = journal.take_messages();
  ASSERT_EQ(messages.size(), 1U);
  EXPECT_EQ(messages[0].id, "kept");
  EXPECT_TRUE(journal.disabled_hosts().contains("s-1"));
  EXPECT_EQ(journal.usage().file_bytes, compact.size());
}

TEST_F(JournalTest, DisabledHostsOutliveTheProcessAndCompaction) {
  const std::set<std::string> left = {"s-2"};
  {
    Journal journal(folder_, 3'000'000);
    journal.disable_host("s-1");
    journal.disable_host("s-2");
    journal.enable_host("s-1");
    ASSERT_TRUE(journal.flush());
    for (int i = 0; i < 2000; ++i) {
      journal.accept(message(std::to_string(i), 200));
      journal.complete(std::to_string(i));
      ASSERT_TRUE(journal.flush());
    }
    ASSERT_LT(disk_bytes(), 200'000U) << "the journal was not compacted";
  }
  EXPECT_EQ(Journal(folder_, 3'000'000).disabled_hosts(), left);
}

// Returns the CPU time in seconds to replay a journal with `messages` pending messages, each with an attempt,
// and as many completed ones.
double replay_seconds(std::size_t messages) {
  valedrum::recovery::FakeDisk disk;
  const auto durability = valedrum::recovery::Durability::process;
  {
    Journal journal(disk, 1'000'000'000, durability);
    for (std::size_t i = 0; i < messages; ++i) {
      for (const std::string& id : {"pending-" + std::to_string(i), "completed-" + std::to_string(i)}) {
        journal.accept({id, "refund", 7, "", "hello", Timestamp{WallTime(5s), 0, {}}, {}});
        journal.record_attempt(id, 0, {"h", "z", Timestamp{WallTime(1s), 0, {}}});
      }
      journal.complete("completed-" + std::to_string(i));
    }
    EXPECT_TRUE(journal.flush());
  }
  const std::clock_t start = std::clock();
  Journal journal(disk, 1'000'000'000, durability);
  const auto pending = journal.take_messages();
  const std::clock_t end = std::clock();
  EXPECT_EQ(pending.size(), messages);
  EXPECT_EQ(pending.back().id, "pending-" + std::to_string(messages - 1));
  return static_cast<double>(end - start) / CLOCKS_PER_SEC;
}

// A restarted process replays the journal before it serves, so the cost of a record must not grow with the
// number of pending messages. Compares times by their ratio, which holds on any machine: a cost per record
// proportional to the pending messages gives a ratio of more than 100.
TEST(JournalCost, ReadingItGrowsNoFasterThanItsSize) {
  constexpr std::size_t kFew = 1000, kMany = 16;
  double few = replay_seconds(kFew);
  for (int i = 0; i < 4; ++i) few = std::min(few, replay_seconds(kFew));
  EXPECT_LT(replay_seconds(kMany * kFew), 4 * kMany * few);
}

}  // namespace
}  // namespace myrtlegrade
