// What a power loss may leave of the journal and of the copies' file: cut at every file operation of a day,
// each with several outcomes of what was not synced; and broken on purpose.
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

constexpr std::uint64_t kMost = 300'000;

// What was told to the world by the moment at which the power went.
struct Told {
  std::set<std::string> taken, called, ended, handed_back;
};

enum class Broken { nothing, sync_left_out, sync_error_ignored, told_before_sync };

std::string number(int n) {
  std::string text(1, 'm');
  return text += std::to_string(n);
}

// Some hundred messages: taken, called, ended, handed back; the journal is written anew now and then.
void play(FakeDisk& disk, Told& told, Broken broken) {
  Journal journal(disk, kMost, Durability::power);
  const auto durable = [&] {
    if (!journal.flush()) return false;
    if (broken == Broken::sync_left_out) return true;
    const bool synced = journal.sync_later()();
    if (!synced && broken != Broken::sync_error_ignored) journal.mark_sync_failed();
    return synced || broken == Broken::sync_error_ignored;
  };
  for (int n = 0; n < 120; ++n) {
    const std::string id = number(n);
    if (!journal.has_room(2000)) break;
    journal.accept({id, "collection", 7, "", std::string(1200, 'b'), {WallTime(5s)}, {}});
    if (broken == Broken::told_before_sync) told.taken.insert(id);
    if (!durable()) break;
    told.taken.insert(id);
    if (n % 3 == 0) {
      journal.record_attempt(id, 0, {"h", "z", {WallTime(1s)}});
      if (!durable()) break;
      told.called.insert(id);
    }
    if (n >= 5 && n % 2 == 0) {
      const std::string over = number(n - 5);
      if (n % 4 == 0) {
        journal.complete(over);
        told.ended.insert(over);
        journal.flush();
      } else {
        journal.complete_with_notice({over, true, 100ms});
        if (!durable()) break;
        told.handed_back.insert(over);
      }
    }
  }
}

// Empty where all that was told still holds.
std::string trouble(FakeDisk& disk, const Told& told) {
  Journal journal(disk, kMost, Durability::power);
  std::set<std::string> there, attempted, owed;
  for (const StoredMessage& m : journal.take_messages()) {
    there.insert(m.id);
    if (!m.attempts.empty()) attempted.insert(m.id);
  }
  for (const Notice& n : journal.take_notices()) owed.insert(n.message);
  for (const std::string& id : told.taken) {
    if (!told.ended.contains(id) && !there.contains(id) && !owed.contains(id) &&
        !told.handed_back.contains(id))
      return id + " was promised, and is gone";
  }
  for (const std::string& id : told.called) {
    if (there.contains(id) && !attempted.contains(id)) return id + " was called, and nothing says so";
  }
  for (const std::string& id : told.handed_back) {
    if (there.contains(id)) return id + " is back with its client, and here too";
  }
  return "";
}

struct Explored {
  std::uint64_t operations = 0, cuts = 0, broken = 0;
  std::string first;
};

Explored explore(Broken broken, DiskFaults faults = {}, bool until_broken = false) {
  Explored all;
  {
    FakeDisk whole;
    Told told;
    play(whole, told, Broken::nothing);
    all.operations = whole.operations();
  }
  for (std::uint64_t at = 1; at <= all.operations && !(until_broken && all.broken > 0); ++at) {
    for (std::uint32_t outcome = 0; outcome < 6; ++outcome) {
      FakeDisk disk;
      disk.faults = faults;
      disk.schedule_power_loss(at);
      Told told;
      try {
        play(disk, told, broken);
      } catch (const FakeDisk::PowerLoss&) {
      } catch (const std::system_error&) {  // it does not start on such a disk
      }
      std::mt19937 engine(static_cast<unsigned>(at * 8 + outcome));
      disk.faults = {};
      disk.lose_power([&](std::uint32_t below) { return static_cast<std::uint32_t>(engine() % below); });
      ++all.cuts;
      const std::string what = trouble(disk, told);
      if (what.empty()) continue;
      if (++all.broken == 1) all.first = "operation " + std::to_string(at) + ": " + what;
    }
  }
  return all;
}

TEST(PowerLoss, NothingToldIsUndoneWhereverTheJournalIsCut) {
  const Explored all = explore(Broken::nothing);
  EXPECT_EQ(all.broken, 0U) << all.first;
  EXPECT_GT(all.operations, 300U);
  std::cout << all.operations << " operations, " << all.cuts << " power losses\n";
}

TEST(PowerLoss, AFailedSyncIsNotTakenForOneThatWorked) {
  for (const std::uint64_t n : {3, 10, 40}) {
    DiskFaults faults;
    faults.failing_sync = n;
    const Explored all = explore(Broken::nothing, faults);
    EXPECT_EQ(all.broken, 0U) << all.first;
  }
}

TEST(PowerLoss, AFullDiskTakesNothingOn) {
  DiskFaults faults;
  faults.capacity_bytes = 40'000;
  const Explored all = explore(Broken::nothing, faults);
  EXPECT_EQ(all.broken, 0U) << all.first;
}

TEST(PowerLoss, WhatIsBrokenOnPurposeIsSeen) {
  EXPECT_GT(explore(Broken::sync_left_out, {}, true).broken, 0U);
  EXPECT_GT(explore(Broken::told_before_sync, {}, true).broken, 0U);
  DiskFaults lies;
  lies.sync_is_noop = true;
  EXPECT_GT(explore(Broken::nothing, lies, true).broken, 0U);
  DiskFaults names;
  names.directory_sync_is_noop = true;
  EXPECT_GT(explore(Broken::nothing, names, true).broken, 0U);
  DiskFaults error;
  error.failing_sync = 10;
  EXPECT_GT(explore(Broken::sync_error_ignored, error, true).broken, 0U);
}

// ---------------------------------------------------------------------------------- a folder that fails

StoredMessage stored(const std::string& id) {
  return {id, "collection", 7, "", std::string(300, 'b'), {WallTime(5s)}, {}};
}

std::set<std::string> found(FakeDisk& disk, Durability durability) {
  std::set<std::string> ids;
  for (const StoredMessage& m : Journal(disk, kMost, durability).take_messages()) ids.insert(m.id);
  return ids;
}

// Tries as the relay does, until the journal has tried the folder once more.
bool flush_again(Journal& journal) {
  std::this_thread::sleep_for(60ms);
  return journal.flush();
}

class FailingFolder : public testing::TestWithParam<Durability> {};
INSTANTIATE_TEST_SUITE_P(Each, FailingFolder, testing::Values(Durability::process, Durability::power),
                         [](const auto& each) {
                           return each.param == Durability::power ? "power" : "process";
                         });

// An append leaves half of its bytes, and cutting them off fails too.
TEST_P(FailingFolder, WhatIsTakenAfterItRecoversIsNotHiddenBehindHalfARecord) {
  FakeDisk disk;
  {
    Journal journal(disk, kMost, GetParam());
    journal.accept(stored("before"));
    ASSERT_TRUE(journal.flush());
    disk.faults.writes_fail = true;
    journal.accept(stored("meanwhile"));
    EXPECT_FALSE(journal.flush());
    EXPECT_FALSE(journal.has_room(100));
    EXPECT_FALSE(flush_again(journal));
    disk.faults.writes_fail = false;
    EXPECT_TRUE(flush_again(journal));
    EXPECT_TRUE(journal.has_room(100));
    journal.accept(stored("after"));
    EXPECT_TRUE(journal.flush());
  }
  EXPECT_EQ(found(disk, GetParam()), (std::set<std::string>{"before", "meanwhile", "after"}));
}

// It was never promised, and its client comes again elsewhere.
TEST_P(FailingFolder, WhatIsRefusedBeforeItIsWrittenIsNeverFound) {
  FakeDisk disk;
  {
    Journal journal(disk, kMost, GetParam());
    disk.faults.writes_fail = true;
    journal.accept(stored("refused"));
    EXPECT_FALSE(journal.flush());
    journal.complete("refused");
    disk.faults.writes_fail = false;
    journal.accept(stored("next"));
    EXPECT_TRUE(flush_again(journal));
  }
  EXPECT_EQ(found(disk, GetParam()), std::set<std::string>{"next"});
}

// The rename had worked by then, so that all that follows goes to the new file.
TEST(Folder, AFailedSyncOfNamesBehindACompactionLosesNothing) {
  FakeDisk disk;
  {
    Journal journal(disk, kMost, Durability::power);
    disk.faults.directory_sync_fails = true;
    for (int n = 0; n < 400; ++n) {  // until it is written anew
      journal.accept(stored(number(n)));
      if (!journal.flush()) break;
      journal.complete(number(n));
    }
    ASSERT_TRUE(journal.failing()) << "no compaction came";
    disk.faults.directory_sync_fails = false;
    EXPECT_TRUE(flush_again(journal));
    journal.accept(stored("after"));
    EXPECT_TRUE(journal.flush());
  }
  EXPECT_TRUE(found(disk, Durability::power).contains("after"));
}

// What it covered may be gone though a later sync succeeds: it is written once more, to a new file.
TEST(Folder, AFailedSyncIsMadeGoodByAFileThatIsWrittenAnew) {
  FakeDisk disk;
  {
    Journal journal(disk, kMost, Durability::power);
    journal.accept(stored("covered"));
    ASSERT_TRUE(journal.flush());
    disk.faults.writes_fail = true;
    EXPECT_FALSE(journal.sync_later()());
    journal.mark_sync_failed();
    EXPECT_FALSE(journal.has_room(100));
    EXPECT_FALSE(journal.flush());
    disk.faults.writes_fail = false;
    EXPECT_TRUE(flush_again(journal));
    EXPECT_TRUE(journal.has_room(100));
  }
  disk.lose_power([](std::uint32_t) { return 0U; });
  EXPECT_EQ(found(disk, Durability::power), std::set<std::string>{"covered"});
}

// ------------------------------------------------------------------------------------ copies' file

// A holder: what it has acknowledged is there, or it is another life, which knows nothing and claims nothing.
TEST(PowerLoss, WhatAHolderAcknowledgedIsThereOrItIsAnotherOne) {
  const copies::GroupId group{"n1", 7};
  copies::GroupConfig head;
  head.members[0].name = "n1";
  head.members[1].name = "n0";
  head.members[2].name = "n2";
  constexpr std::uint64_t kLife = 99;
  std::uint64_t cuts = 0, kept = 0;
  for (std::uint64_t at = 1; at < 140; ++at) {
    for (std::uint32_t outcome = 0; outcome < 8; ++outcome) {
      FakeDisk disk;
      disk.schedule_power_loss(at);
      std::uint64_t acknowledged = 0, promised = 1;
      std::map<std::string, copies::Item> items;
      const auto snapshot = [&] {
        std::string all = copies::format_record(kLife, "n0") + copies::group_record(group, head, 1) +
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
      CopiesFile again(disk, "n0", 40'000, Durability::power, {});
      const copies::StoredState stored = again.take();
      ++cuts;
      if (acknowledged == 0) continue;
      ASSERT_EQ(stored.storage_id, kLife) << "operation " << at << ", outcome " << outcome;
      ++kept;
      EXPECT_GE(stored.groups.at(group).durable.promised_epoch, acknowledged + 1) << "operation " << at;
    }
  }
  EXPECT_GT(kept, cuts / 2);

  // A bit that turned in what had been synced makes it another life.
  FakeDisk disk;
  {
    CopiesFile file(disk, "n0", 100'000, Durability::power, {});
    for (std::uint64_t n = 1; n <= 8; ++n) {
      ASSERT_TRUE(file.append(copies::promise_record(group, n + 1, 0), [&] {
        return copies::format_record(kLife, "n0") + copies::group_record(group, head, 1);
      }));
      ASSERT_TRUE(file.sync_later()());
      file.synced(file.size());
    }
  }
  disk.flip_bit("copies", disk.file_size("copies") / 2);
  EXPECT_EQ(CopiesFile(disk, "n0", 100'000, Durability::power, {}).take().storage_id, 0U);
}

}  // namespace
}  // namespace myrtlegrade
