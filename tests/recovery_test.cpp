// Recovery of the journal and of the copies' file after a power loss: at every file operation of a run, each
// with several outcomes for unsynced data. Faults injected on purpose check that the tests detect a
// violation.
#include <gtest/gtest.h>

#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <thread>

#include "copies_file.h"
#include "journal.h"
#include "recovery/disk.h"

namespace myrtlegrade {
namespace {

using namespace std::chrono_literals;
namespace copies = valedrum::copies;
using valedrum::recovery::DiskFaults;
using valedrum::recovery::Durability;
using valedrum::recovery::FakeDisk;

constexpr std::uint64_t kMaxBytes = 300'000;

// The messages by the steps that were visible outside the process before the power loss.
struct Visible {
  std::set<std::string> accepted, called, completed, handed_back;
};

enum class Fault { none, sync_omitted, sync_error_ignored, accepted_before_sync };

std::string number(int n) {
  std::string text(1, 'm');
  return text += std::to_string(n);
}

// Runs some hundred messages through the journal: accepted, called, completed, handed back; with compactions.
void run(FakeDisk& disk, Visible& visible, Fault fault) {
  Journal journal(disk, kMaxBytes, Durability::power);
  const auto durable = [&] {
    if (!journal.flush()) return false;
    if (fault == Fault::sync_omitted) return true;
    const bool synced = journal.sync_later()();
    if (!synced && fault != Fault::sync_error_ignored) journal.mark_sync_failed();
    return synced || fault == Fault::sync_error_ignored;
  };
  for (int n = 0; n < 120; ++n) {
    const std::string id = number(n);
    if (!journal.has_room(10, 1990)) break;
    journal.accept({id, "collection", 7, "", std::string(1200, 'b'), {WallTime(5s)}, {}});
    if (fault == Fault::accepted_before_sync) visible.accepted.insert(id);
    if (!durable()) break;
    visible.accepted.insert(id);
    if (n % 3 == 0) {
      journal.record_attempt(id, 0, {"h", "z", {WallTime(1s)}});
      if (!durable()) break;
      visible.called.insert(id);
    }
    if (n >= 5 && n % 2 == 0) {
      const std::string completed = number(n - 5);
      if (n % 4 == 0) {
        journal.complete(completed);
        visible.completed.insert(completed);
        journal.flush();
      } else {
        journal.complete_with_notice({completed, true, 100ms});
        if (!durable()) break;
        visible.handed_back.insert(completed);
      }
    }
  }
}

// Returns a description of the first visible step that the journal has lost; empty if there is none.
std::string find_violation(FakeDisk& disk, const Visible& visible) {
  Journal journal(disk, kMaxBytes, Durability::power);
  std::set<std::string> found, attempted, notices;
  for (const StoredMessage& m : journal.take_messages()) {
    found.insert(m.id);
    if (!m.attempts.empty()) attempted.insert(m.id);
  }
  for (const Notice& n : journal.take_notices()) notices.insert(n.message);
  for (const std::string& id : visible.accepted) {
    if (!visible.completed.contains(id) && !found.contains(id) && !notices.contains(id) &&
        !visible.handed_back.contains(id))
      return id + " was accepted, but is lost";
  }
  for (const std::string& id : visible.called) {
    if (found.contains(id) && !attempted.contains(id)) return id + " was called, but has no recorded attempt";
  }
  for (const std::string& id : visible.handed_back) {
    if (found.contains(id)) return id + " was handed back to its client, but is still open here";
  }
  return "";
}

struct Explored {
  std::uint64_t operations = 0, power_losses = 0, violations = 0;
  std::string first_violation;
};

Explored explore(Fault fault, DiskFaults faults = {}, bool stop_at_violation = false) {
  Explored all;
  {
    FakeDisk disk;
    Visible visible;
    run(disk, visible, Fault::none);
    all.operations = disk.operations();
  }
  for (std::uint64_t at = 1; at <= all.operations && !(stop_at_violation && all.violations > 0); ++at) {
    for (std::uint32_t outcome = 0; outcome < 6; ++outcome) {
      FakeDisk disk;
      disk.faults = faults;
      disk.schedule_power_loss(at);
      Visible visible;
      try {
        run(disk, visible, fault);
      } catch (const FakeDisk::PowerLoss&) {
      } catch (const std::system_error&) {  // the journal can't be opened on such a disk
      }
      std::mt19937 engine(static_cast<unsigned>(at * 8 + outcome));
      disk.faults = {};
      disk.lose_power([&](std::uint32_t below) { return static_cast<std::uint32_t>(engine() % below); });
      ++all.power_losses;
      const std::string violation = find_violation(disk, visible);
      if (violation.empty()) continue;
      if (++all.violations == 1) all.first_violation = "operation " + std::to_string(at) + ": " + violation;
    }
  }
  return all;
}

TEST(PowerLoss, NothingToldIsUndoneWhereverTheJournalIsCut) {
  const Explored all = explore(Fault::none);
  EXPECT_EQ(all.violations, 0U) << all.first_violation;
  EXPECT_GT(all.operations, 300U);
  std::cout << all.operations << " operations, " << all.power_losses << " power losses\n";
}

TEST(PowerLoss, AFailedSyncIsNotTakenForOneThatWorked) {
  for (const std::uint64_t n : {3, 10, 40}) {
    DiskFaults faults;
    faults.failing_sync = n;
    const Explored all = explore(Fault::none, faults);
    EXPECT_EQ(all.violations, 0U) << all.first_violation;
  }
}

TEST(PowerLoss, AFullDiskTakesNothingOn) {
  DiskFaults faults;
  faults.capacity_bytes = 40'000;
  const Explored all = explore(Fault::none, faults);
  EXPECT_EQ(all.violations, 0U) << all.first_violation;
}

TEST(PowerLoss, WhatIsBrokenOnPurposeIsSeen) {
  EXPECT_GT(explore(Fault::sync_omitted, {}, true).violations, 0U);
  EXPECT_GT(explore(Fault::accepted_before_sync, {}, true).violations, 0U);
  DiskFaults sync_noop;
  sync_noop.sync_is_noop = true;
  EXPECT_GT(explore(Fault::none, sync_noop, true).violations, 0U);
  DiskFaults directory_noop;
  directory_noop.directory_sync_is_noop = true;
  EXPECT_GT(explore(Fault::none, directory_noop, true).violations, 0U);
  DiskFaults error;
  error.failing_sync = 10;
  EXPECT_GT(explore(Fault::sync_error_ignored, error, true).violations, 0U);
}

// ---------------------------------------------------------------------------------- failing state folder

StoredMessage stored(const std::string& id) {
  return {id, "collection", 7, "", std::string(300, 'b'), {WallTime(5s)}, {}};
}

std::set<std::string> found(FakeDisk& disk, Durability durability) {
  std::set<std::string> ids;
  for (const StoredMessage& m : Journal(disk, kMaxBytes, durability).take_messages()) ids.insert(m.id);
  return ids;
}

// Waits for the journal's retry interval and flushes again, as the relay does.
bool retry_flush(Journal& journal) {
  std::this_thread::sleep_for(60ms);
  return journal.flush();
}

class FailingFolder : public testing::TestWithParam<Durability> {};
INSTANTIATE_TEST_SUITE_P(Each, FailingFolder, testing::Values(Durability::process, Durability::power),
                         [](const auto& each) {
                           return each.param == Durability::power ? "power" : "process";
                         });

// An append fails after half of its bytes, and so does the truncation of that half.
TEST_P(FailingFolder, WhatIsTakenAfterItRecoversIsNotHiddenBehindHalfARecord) {
  FakeDisk disk;
  {
    Journal journal(disk, kMaxBytes, GetParam());
    journal.accept(stored("before"));
    ASSERT_TRUE(journal.flush());
    disk.faults.writes_fail = true;
    journal.accept(stored("meanwhile"));
    EXPECT_FALSE(journal.flush());
    EXPECT_FALSE(journal.has_room(10, 90));
    EXPECT_FALSE(retry_flush(journal));
    disk.faults.writes_fail = false;
    EXPECT_TRUE(retry_flush(journal));
    EXPECT_TRUE(journal.has_room(10, 90));
    journal.accept(stored("after"));
    EXPECT_TRUE(journal.flush());
  }
  EXPECT_EQ(found(disk, GetParam()), (std::set<std::string>{"before", "meanwhile", "after"}));
}

// The message was never acknowledged, and its client retries elsewhere.
TEST_P(FailingFolder, WhatIsRefusedBeforeItIsWrittenIsNeverFound) {
  FakeDisk disk;
  {
    Journal journal(disk, kMaxBytes, GetParam());
    disk.faults.writes_fail = true;
    journal.accept(stored("refused"));
    EXPECT_FALSE(journal.flush());
    journal.complete("refused");
    disk.faults.writes_fail = false;
    journal.accept(stored("next"));
    EXPECT_TRUE(retry_flush(journal));
  }
  EXPECT_EQ(found(disk, GetParam()), std::set<std::string>{"next"});
}

// The rename has succeeded by then, so later writes go to the new file.
TEST(Folder, AFailedSyncOfNamesBehindACompactionLosesNothing) {
  FakeDisk disk;
  {
    Journal journal(disk, kMaxBytes, Durability::power);
    disk.faults.directory_sync_fails = true;
    for (int n = 0; n < 400; ++n) {  // until a compaction
      journal.accept(stored(number(n)));
      if (!journal.flush()) break;
      journal.complete(number(n));
    }
    ASSERT_TRUE(journal.failing()) << "no compaction happened";
    disk.faults.directory_sync_fails = false;
    EXPECT_TRUE(retry_flush(journal));
    journal.accept(stored("after"));
    EXPECT_TRUE(journal.flush());
  }
  EXPECT_TRUE(found(disk, Durability::power).contains("after"));
}

// Data covered by a failed sync may be lost even if a later sync succeeds, so it is written again to a new
// file.
TEST(Folder, AFailedSyncIsMadeGoodByAFileThatIsWrittenAnew) {
  FakeDisk disk;
  {
    Journal journal(disk, kMaxBytes, Durability::power);
    journal.accept(stored("covered"));
    ASSERT_TRUE(journal.flush());
    disk.faults.writes_fail = true;
    EXPECT_FALSE(journal.sync_later()());
    journal.mark_sync_failed();
    EXPECT_FALSE(journal.has_room(10, 90));
    EXPECT_FALSE(journal.flush());
    disk.faults.writes_fail = false;
    EXPECT_TRUE(retry_flush(journal));
    EXPECT_TRUE(journal.has_room(10, 90));
  }
  disk.lose_power([](std::uint32_t) { return 0U; });
  EXPECT_EQ(found(disk, Durability::power), std::set<std::string>{"covered"});
}

// ------------------------------------------------------------------------------------ copies' file

// A replica must find everything that it acknowledged, or start with a new storage id and an empty state.
TEST(PowerLoss, WhatAHolderAcknowledgedIsThereOrItIsAnotherOne) {
  const copies::GroupId group{"n1", 7};
  copies::GroupConfig config;
  config.members[0].name = "n1";
  config.members[1].name = "n0";
  config.members[2].name = "n2";
  constexpr std::uint64_t kStorageId = 99;
  std::uint64_t power_losses = 0, kept = 0;
  for (std::uint64_t at = 1; at < 140; ++at) {
    for (std::uint32_t outcome = 0; outcome < 8; ++outcome) {
      FakeDisk disk;
      disk.schedule_power_loss(at);
      std::uint64_t acknowledged = 0, promised = 1;
      std::map<std::string, copies::Item> items;
      const auto snapshot = [&] {
        std::string all = copies::format_record(kStorageId, "n0") + copies::group_record(group, config, 1) +
                          copies::promise_record(group, promised, 0);
        for (const auto& [id, item] : items) all += copies::item_record(group, id, item, {});
        return all;
      };
      try {
        CopiesFile file(disk, "n0", 40'000, Durability::power, {});
        for (std::uint64_t n = 1; n <= 60; ++n) {
          copies::Item item;
          item.version = {1, n};
          item.payload = std::make_shared<const copies::Payload>(
              copies::Payload{"m", "c", "", std::string(700, 'x'), 1, true});
          const std::string id(1, static_cast<char>('a' + n % 8));
          items[id] = item;
          promised = n + 1;
          ASSERT_TRUE(file.append(
              copies::promise_record(group, n + 1, 0) + copies::item_record(group, id, item, {}), snapshot));
          const std::uint64_t size = file.size();
          if (!file.sync_later()()) break;
          file.synced(size);
          acknowledged = n;
        }
      } catch (const FakeDisk::PowerLoss&) {
      }
      std::mt19937 engine(static_cast<unsigned>(at * 8 + outcome));
      disk.lose_power([&](std::uint32_t below) { return static_cast<std::uint32_t>(engine() % below); });
      CopiesFile reopened(disk, "n0", 40'000, Durability::power, {});
      const copies::StoredState stored = reopened.take();
      ++power_losses;
      if (acknowledged == 0) continue;
      ASSERT_EQ(stored.storage_id, kStorageId) << "operation " << at << ", outcome " << outcome;
      ++kept;
      EXPECT_GE(stored.groups.at(group).durable.promised_epoch, acknowledged + 1) << "operation " << at;
    }
  }
  EXPECT_GT(kept, power_losses / 2);

  // A flipped bit in synced data must lead to a new storage id.
  FakeDisk disk;
  {
    CopiesFile file(disk, "n0", 100'000, Durability::power, {});
    for (std::uint64_t n = 1; n <= 8; ++n) {
      ASSERT_TRUE(file.append(copies::promise_record(group, n + 1, 0), [&] {
        return copies::format_record(kStorageId, "n0") + copies::group_record(group, config, 1);
      }));
      ASSERT_TRUE(file.sync_later()());
      file.synced(file.size());
    }
  }
  disk.flip_bit("copies", disk.file_size("copies") / 2);
  EXPECT_EQ(CopiesFile(disk, "n0", 100'000, Durability::power, {}).take().storage_id, 0U);
}

// The cause of review case 2 in the file of the copies: it grew until no snapshot fitted beside it any more.
TEST(CopiesFileLimit, ASnapshotThatHasShrunkFitsBesideTheFile) {
  constexpr std::uint64_t kLimit = 1'000'000;
  FakeDisk disk;
  CopiesFile file(disk, "n0", kLimit, Durability::process, {});
  std::size_t live = 500'000;
  const auto snapshot = [&] { return std::string(live, 's'); };
  for (int i = 0; i < 60; ++i) (void)file.append(std::string(20'000, 'r'), snapshot);
  EXPECT_FALSE(file.append("r", snapshot));
  live = 300'000;
  EXPECT_TRUE(file.append("r", snapshot));
  EXPECT_LE(disk.file_size("copies"), kLimit / 2);
}

}  // namespace
}  // namespace myrtlegrade
