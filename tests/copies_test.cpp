// Copies in virtual time, their form on the wire and on disk, and what may not be taken.
#include "copies/copies.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "copies_world.h"

namespace valedrum::lab {
namespace {

using copies::Copies;
using copies::DisabledSafeguard;
using copies::Time;
using namespace std::chrono_literals;

CopyResult play(std::uint64_t seed, DisabledSafeguard without = DisabledSafeguard::none) {
  CopyDay day = copy_day(seed, 16);
  day.settings.disabled_safeguard = without;
  return play_copies(day);
}

TEST(CopiesDays, RandomFaultsBreakNoRule) {
  std::uint64_t inherited = 0, of_heirs = 0, promised = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const CopyResult r = play(seed);
    EXPECT_TRUE(r.rules_kept()) << "seed " << seed << "\n" << r.first;
    inherited += r.inherited;
    of_heirs += r.calls_of_heirs;
    promised += r.promised;
  }
  EXPECT_GT(inherited, 100U);
  EXPECT_GT(of_heirs, 50U);
  EXPECT_GT(promised, 20000U);
}

TEST(CopiesDays, ThirtyInAHundredLostInASecond) {
  CopyDay day;
  day.relays = 100;
  day.rate = 3;
  day.settings.copies = 2;
  day.faults = {{CopyFault::lose, 8, 60, 0.3, 0}};
  const CopyResult r = play_copies(day);
  EXPECT_TRUE(r.rules_kept()) << r.first;
  EXPECT_GT(r.at_stake, 20U);
  EXPECT_GT(r.inherited, 20U);
}

// A frozen owner is no dead one: its heirs end what it took, and it sends nothing of that when it wakes up.
TEST(CopiesDays, HalfOfAllAreStoppedForSeconds) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CopyDay day;
    day.seed = seed;
    day.relays = 60;
    day.seconds = 20;
    day.settings.copies = 2;
    day.faults = {{CopyFault::stall, 10, 4, 0.2, 0}, {CopyFault::stall, 11, 5, 0.2, 0}};
    const CopyResult r = play_copies(day);
    EXPECT_TRUE(r.rules_kept()) << "seed " << seed << "\n" << r.first;
    EXPECT_GT(r.inherited, 0U);
  }
}

class CopiesBroken : public testing::TestWithParam<DisabledSafeguard> {};
TEST_P(CopiesBroken, ASmallNumberOfDaysShowsIt) {
  std::uint64_t seed = 1;
  while (seed <= 150 && play(seed, GetParam()).rules_kept()) ++seed;
  EXPECT_LE(seed, 150U);
}
INSTANTIATE_TEST_SUITE_P(Parts, CopiesBroken,
                         testing::Values(DisabledSafeguard::replicated_intent, DisabledSafeguard::lease,
                                         DisabledSafeguard::majority, DisabledSafeguard::vote_merge,
                                         DisabledSafeguard::orphan_check));

// ------------------------------------------------------------------------------------ one by itself

struct Alone {
  Time now{100s};
  copies::CopiesSettings settings;
  std::string file;
  std::optional<Copies> copies;
  explicit Alone(const std::string& kept = {}) { start(kept); }
  void start(const std::string& kept) {
    copies::LocalMember self;
    self.identity.name = "n0";
    self.identity.address = {1, 1};
    self.machine = "m0";
    copies.emplace(settings, self, copies::read_stored(kept, {}), 7, now);
  }
  void others(std::uint32_t n, std::uint64_t life = 5) {
    std::vector<copies::Candidate> all(n);
    for (std::uint32_t i = 0; i < n; ++i) {
      all[i].identity.name = std::string("n") + static_cast<char>('1' + i);
      all[i].identity.storage_id = life;
      all[i].identity.address = {i + 2, 1};
      all[i].machine = std::string("m") + static_cast<char>('1' + i);
    }
    copies->set_candidates(now, all);
  }
  static copies::Item item(Time until, bool once = true) {
    copies::Item i;
    i.deadline = until;
    i.payload = std::make_shared<const copies::Payload>(copies::Payload{"a", "c", "", "body", 1, once});
    return i;
  }
  std::vector<bool> done() {
    std::vector<bool> all;
    for (const auto& e : copies->take_events()) {
      if (const auto* d = std::get_if<copies::TicketCompleted>(&e)) all.push_back(d->succeeded);
    }
    return all;
  }
};

TEST(CopiesAlone, WithoutTwoOtherMachinesItRefusesOrTakesAlone) {
  Alone a;
  a.others(1);
  EXPECT_EQ(a.copies->add(a.now, "a", Alone::item(a.now + 5s)), Copies::Placement::refused);
  a.settings.on_shortage = copies::ShortagePolicy::accept;
  a.start({});
  EXPECT_EQ(a.copies->add(a.now, "a", Alone::item(a.now + 5s)), Copies::Placement::local_only);
  EXPECT_TRUE(a.copies->may_call(a.now, "a"));
  a.copies->complete(a.now, "a");
  EXPECT_FALSE(a.copies->may_call(a.now, "a"));  // what is forgotten is not called
}

// An upgrade starts the new process with the configuration of the old one, seed included.
TEST(CopiesAlone, WithTheSeedOfTheProcessBeforeItKeepsThatOnesGroups) {
  Alone a;
  a.others(4);
  ASSERT_EQ(a.copies->add(a.now, "a", Alone::item(a.now + 5s)), Copies::Placement::placed);
  const std::string kept = a.copies->snapshot({});
  a.start(kept);
  a.others(4);
  constexpr int kMany = 200;  // in all shards
  for (int i = 0; i < kMany; ++i) {
    std::string id(1, 'b');
    id += std::to_string(i);
    EXPECT_EQ(a.copies->add(a.now, id, Alone::item(a.now + 5s)), Copies::Placement::placed);
  }
  const copies::StoredState stored = copies::read_stored(kept + a.copies->take_records({}), {});
  ASSERT_FALSE(stored.damaged);
  const auto has_it = [](const auto& group) { return group.second.durable.items.contains("a"); };
  EXPECT_TRUE(std::ranges::any_of(stored.groups, has_it));
}

// The time of day is set while no process runs: within one run of the machine what was held is held as long
// as before.
TEST(CopiesAlone, AFileIsReadByTheClockOfItsRunOfTheMachine) {
  constexpr std::uint64_t kBoot = 77;
  Alone a;
  a.others(4);
  const Time until = a.now + 5s;
  ASSERT_EQ(a.copies->add(a.now, "a", Alone::item(until)), Copies::Placement::placed);
  const std::string file = a.copies->snapshot(1000h, kBoot);
  const auto kept_until = [&](copies::Duration wall, std::uint64_t boot) {
    const copies::StoredState stored = copies::read_stored(file, wall, boot);
    EXPECT_FALSE(stored.damaged);
    EXPECT_EQ(stored.wall_offset.has_value(), boot == kBoot);
    return stored.groups.begin()->second.durable.items.at("a").deadline;
  };
  for (const copies::Duration set : {-1h, 0h, 1h}) EXPECT_EQ(kept_until(1000h + set, kBoot), until);
  EXPECT_EQ(kept_until(1001h, kBoot + 1), until - 1h)
      << "after a restart of the machine the time of day is all there is";
}

TEST(CopiesAlone, SilentHoldersAreLeftOutAndOthersTaken) {
  Alone a;
  a.others(4);
  EXPECT_EQ(a.copies->add(a.now, "a", Alone::item(a.now + 5s)), Copies::Placement::placed);
  a.copies->add_attempt(a.now, "a", {"host", "zone"});
  EXPECT_FALSE(a.copies->may_call(a.now, "a"));
  a.copies->wait_for(a.now, {"a"}, Copies::Requirement::acceptance);
  a.copies->flush(a.now);
  const auto first = a.copies->take_frames();
  ASSERT_EQ(first.size(), 2U);
  a.now += a.settings.answer_timeout;
  a.copies->wake(a.now);
  EXPECT_EQ(a.done(), std::vector<bool>{false});
  // Nobody of the first group is asked again for the next message.
  EXPECT_EQ(a.copies->add(a.now, "b", Alone::item(a.now + 5s)), Copies::Placement::placed);
  a.copies->take_frames();
  a.copies->flush(a.now);
  for (const auto& frame : a.copies->take_frames()) {
    for (const auto& before : first) EXPECT_NE(frame.to.name, before.to.name);
  }
}

// Handed back as its time is up, with nobody left who could be told: the wait for them is part of what the
// notice is owed within.
TEST(CopiesAlone, AHandBackWaitsNoLongerThanItsNoticeIsOwed) {
  Alone a;
  a.others(2);
  const Time until = a.now + 5s;
  a.copies->add(a.now, "a", Alone::item(until));
  for (const copies::Duration before : {500ms, 10ms, 0ms, -50ms}) {
    a.now = until - before;
    a.copies->set_pending_notice(a.now, "a", {true, {}});
    a.copies->wait_for(a.now, {"a"}, Copies::Requirement::notice);
    a.copies->flush(a.now);
    const Time told = std::max(a.now, std::min(a.now + a.settings.answer_timeout, until + 50ms));
    EXPECT_TRUE(a.now == told || a.copies->next_wake() <= told) << before / 1ms;
    a.now = told;
    a.copies->wake(a.now);
    EXPECT_EQ(a.done(), std::vector<bool>{false}) << before / 1ms;
  }
}

TEST(CopiesAlone, AFolderKeepsGroupsAndALostOneIsAnotherLife) {
  Alone a;
  a.others(3);
  a.copies->add(a.now, "a", Alone::item(a.now + 5s));
  a.copies->flush(a.now);
  const std::string file = a.copies->snapshot({});
  Alone again(file);
  EXPECT_EQ(again.copies->storage_id(), a.copies->storage_id());
  ASSERT_NE(again.copies->find("a"), nullptr);
  EXPECT_FALSE(again.copies->is_owner("a"));  // until others have said so
  EXPECT_FALSE(again.copies->may_call(again.now, "a"));
  EXPECT_NE(Alone().copies->find("a"), again.copies->find("a"));

  // Torn at every byte: what is whole counts. Spoilt before its end: nothing of it does.
  for (std::size_t n = 0; n < file.size(); ++n) {
    const copies::StoredState torn = copies::read_stored(file.substr(0, n), {});
    EXPECT_FALSE(torn.damaged) << n;
    EXPECT_LE(torn.valid_bytes, n);
  }
  std::string spoilt = file;
  spoilt[file.size() / 2] = static_cast<char>(spoilt[file.size() / 2] ^ 1);
  const copies::StoredState read = copies::read_stored(spoilt, {});
  EXPECT_TRUE(read.damaged || read.valid_bytes < file.size());
}

TEST(CopiesAlone, OneThatHasLostItsFolderJoinsNoOldGroup) {
  Alone a;
  a.others(2, 5);  // the life that they have by now is another one
  a.copies->add(a.now, "a", Alone::item(a.now + 5s));
  a.copies->flush(a.now);
  const auto frames = a.copies->take_frames();
  ASSERT_EQ(frames.size(), 2U);
  copies::LocalMember self;
  self.identity.name = frames[0].to.name;
  self.identity.address = frames[0].to.address;
  self.machine = "m1";
  Copies holder({}, self, {}, 3, a.now);
  myrtlegrade::RecordReader in(frames[0].frame);
  const auto frame = copies::decode_frame(*in.record());
  ASSERT_TRUE(frame);
  holder.receive(a.now, "n0", *frame);
  EXPECT_EQ(holder.find("a"), nullptr);
  EXPECT_EQ(holder.take_frames().size(), 1U);  // says that it does not know the group
}

TEST(CopiesFrames, WhatIsCutLongerOrOfALaterVersionIsNotRead) {
  Alone a;
  a.others(2);
  a.copies->add(a.now, "a", Alone::item(a.now + 5s));
  a.copies->flush(a.now);
  const std::string record = a.copies->take_frames().front().frame;
  const std::string bytes = record.substr(myrtlegrade::kRecordHeaderBytes);
  ASSERT_TRUE(copies::decode_frame(bytes));
  for (std::size_t n = 0; n < bytes.size(); ++n) EXPECT_FALSE(copies::decode_frame(bytes.substr(0, n))) << n;
  EXPECT_FALSE(copies::decode_frame(bytes + "x"));
  std::string later = bytes;
  ++later[0];
  EXPECT_FALSE(copies::decode_frame(later));
  for (std::size_t n = 0; n < bytes.size(); ++n) {  // whatever a spoilt byte makes of it, it is read or not
    std::string spoilt = bytes;
    spoilt[n] = static_cast<char>(spoilt[n] ^ 0x55);
    if (const auto frame = copies::decode_frame(spoilt)) a.copies->receive(a.now, "n1", *frame);
  }
}

}  // namespace
}  // namespace valedrum::lab
