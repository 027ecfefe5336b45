// Replication in virtual time, its encoding on the wire and on disk, and input that must be rejected.
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

CopyResult play(std::uint64_t seed, DisabledSafeguard disabled = DisabledSafeguard::none) {
  CopyDay day = copy_day(seed, 16);
  day.settings.disabled_safeguard = disabled;
  return play_copies(day);
}

TEST(CopiesDays, RandomFaultsBreakNoRule) {
  std::uint64_t taken_over = 0, new_owner_calls = 0, accepted = 0;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const CopyResult r = play(seed);
    EXPECT_TRUE(r.rules_kept()) << "seed " << seed << "\n" << r.first;
    taken_over += r.inherited;
    new_owner_calls += r.calls_of_heirs;
    accepted += r.promised;
  }
  EXPECT_GT(taken_over, 100U);
  EXPECT_GT(new_owner_calls, 50U);
  EXPECT_GT(accepted, 20000U);
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

// A stopped owner that resumes must not send messages that new owners have completed in the meantime.
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

// Each disabled safeguard must lead to a broken rule within the first 150 seeds.
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

// ------------------------------------------------------------------------------------ a single relay

// One relay without connections, with simulated candidates.
struct SingleRelay {
  Time now{100s};
  copies::CopiesSettings settings;
  std::string file;
  std::optional<Copies> copies;
  explicit SingleRelay(const std::string& stored = {}) { start(stored); }
  void start(const std::string& stored) {
    copies::LocalMember self;
    self.identity.name = "n0";
    self.identity.address = {1, 1};
    self.machine = "m0";
    copies.emplace(settings, self, copies::read_stored(stored, {}), 7, now);
  }
  void set_candidates(std::uint32_t count, std::uint64_t storage_id = 5) {
    std::vector<copies::Candidate> all(count);
    for (std::uint32_t i = 0; i < count; ++i) {
      all[i].identity.name = std::string("n") + static_cast<char>('1' + i);
      all[i].identity.storage_id = storage_id;
      all[i].identity.address = {i + 2, 1};
      all[i].machine = std::string("m") + static_cast<char>('1' + i);
    }
    copies->set_candidates(now, all);
  }
  static copies::Item item(Time deadline, bool at_most_once = true) {
    copies::Item i;
    i.deadline = deadline;
    i.payload =
        std::make_shared<const copies::Payload>(copies::Payload{"a", "c", "", "body", 1, at_most_once});
    return i;
  }
  std::vector<bool> completed_tickets() {
    std::vector<bool> all;
    for (const auto& e : copies->take_events()) {
      if (const auto* d = std::get_if<copies::TicketCompleted>(&e)) all.push_back(d->succeeded);
    }
    return all;
  }
};

TEST(CopiesAlone, WithoutTwoOtherMachinesItRefusesOrTakesAlone) {
  SingleRelay relay;
  relay.set_candidates(1);
  EXPECT_EQ(relay.copies->add(relay.now, "a", SingleRelay::item(relay.now + 5s)), Copies::Placement::refused);
  relay.settings.on_shortage = copies::ShortagePolicy::accept;
  relay.start({});
  EXPECT_EQ(relay.copies->add(relay.now, "a", SingleRelay::item(relay.now + 5s)),
            Copies::Placement::local_only);
  EXPECT_TRUE(relay.copies->may_call(relay.now, "a"));
  relay.copies->complete(relay.now, "a");
  EXPECT_FALSE(relay.copies->may_call(relay.now, "a"));  // a forgotten message is not called
}

// An upgrade starts the new process with the configuration of the old one, seed included, so that it draws
// the same group ids: they must not replace the groups of its predecessor in the file.
TEST(CopiesAlone, WithTheSeedOfTheProcessBeforeItKeepsThatOnesGroups) {
  SingleRelay relay;
  relay.set_candidates(4);
  ASSERT_EQ(relay.copies->add(relay.now, "a", SingleRelay::item(relay.now + 5s)), Copies::Placement::placed);
  const std::string file = relay.copies->snapshot({});
  relay.start(file);
  relay.set_candidates(4);
  constexpr int kMessages = 200;  // in all shards
  for (int i = 0; i < kMessages; ++i) {
    std::string id(1, 'b');
    id += std::to_string(i);
    EXPECT_EQ(relay.copies->add(relay.now, id, SingleRelay::item(relay.now + 5s)), Copies::Placement::placed);
  }
  const copies::StoredState stored = copies::read_stored(file + relay.copies->take_records({}), {});
  ASSERT_FALSE(stored.damaged);
  const auto has_message = [](const auto& group) { return group.second.durable.items.contains("a"); };
  EXPECT_TRUE(std::ranges::any_of(stored.groups, has_message));
}

// If the time of day is set while no process runs, deadlines read from the file must not change within one
// boot of the machine.
TEST(CopiesAlone, AFileIsReadByTheClockOfItsRunOfTheMachine) {
  constexpr std::uint64_t kBoot = 77;
  SingleRelay relay;
  relay.set_candidates(4);
  const Time deadline = relay.now + 5s;
  ASSERT_EQ(relay.copies->add(relay.now, "a", SingleRelay::item(deadline)), Copies::Placement::placed);
  const std::string file = relay.copies->snapshot(1000h, kBoot);
  const auto stored_deadline = [&](copies::Duration wall_offset, std::uint64_t boot) {
    const copies::StoredState stored = copies::read_stored(file, wall_offset, boot);
    EXPECT_FALSE(stored.damaged);
    EXPECT_EQ(stored.wall_offset.has_value(), boot == kBoot);
    return stored.groups.begin()->second.durable.items.at("a").deadline;
  };
  for (const copies::Duration clock_step : {-1h, 0h, 1h})
    EXPECT_EQ(stored_deadline(1000h + clock_step, kBoot), deadline);
  EXPECT_EQ(stored_deadline(1001h, kBoot + 1), deadline - 1h)
      << "after a reboot only the time of day is known";
}

TEST(CopiesAlone, SilentHoldersAreLeftOutAndOthersTaken) {
  SingleRelay relay;
  relay.set_candidates(4);
  EXPECT_EQ(relay.copies->add(relay.now, "a", SingleRelay::item(relay.now + 5s)), Copies::Placement::placed);
  relay.copies->add_attempt(relay.now, "a", {"host", "zone"});
  EXPECT_FALSE(relay.copies->may_call(relay.now, "a"));
  relay.copies->wait_for(relay.now, {"a"}, Copies::Requirement::acceptance);
  relay.copies->flush(relay.now);
  const auto first = relay.copies->take_frames();
  ASSERT_EQ(first.size(), 2U);
  relay.now += relay.settings.answer_timeout;
  relay.copies->wake(relay.now);
  EXPECT_EQ(relay.completed_tickets(), std::vector<bool>{false});
  // The next message goes to no member of the first group.
  EXPECT_EQ(relay.copies->add(relay.now, "b", SingleRelay::item(relay.now + 5s)), Copies::Placement::placed);
  relay.copies->take_frames();
  relay.copies->flush(relay.now);
  for (const auto& frame : relay.copies->take_frames()) {
    for (const auto& before : first) EXPECT_NE(frame.to.name, before.to.name);
  }
}

// A message is handed back at its deadline while no other member answers: the wait for them counts towards
// the time within which the notice is due.
TEST(CopiesAlone, AHandBackWaitsNoLongerThanItsNoticeIsOwed) {
  SingleRelay relay;
  relay.set_candidates(2);
  const Time deadline = relay.now + 5s;
  relay.copies->add(relay.now, "a", SingleRelay::item(deadline));
  for (const copies::Duration before : {500ms, 10ms, 0ms, -50ms}) {
    relay.now = deadline - before;
    relay.copies->set_pending_notice(relay.now, "a", {true, {}});
    relay.copies->wait_for(relay.now, {"a"}, Copies::Requirement::notice);
    relay.copies->flush(relay.now);
    const Time completion =
        std::max(relay.now, std::min(relay.now + relay.settings.answer_timeout, deadline + 50ms));
    EXPECT_TRUE(relay.now == completion || relay.copies->next_wake() <= completion) << before / 1ms;
    relay.now = completion;
    relay.copies->wake(relay.now);
    EXPECT_EQ(relay.completed_tickets(), std::vector<bool>{false}) << before / 1ms;
  }
}

TEST(CopiesAlone, AFolderKeepsGroupsAndALostOneIsAnotherLife) {
  SingleRelay relay;
  relay.set_candidates(3);
  relay.copies->add(relay.now, "a", SingleRelay::item(relay.now + 5s));
  relay.copies->flush(relay.now);
  const std::string file = relay.copies->snapshot({});
  SingleRelay restarted(file);
  EXPECT_EQ(restarted.copies->storage_id(), relay.copies->storage_id());
  ASSERT_NE(restarted.copies->find("a"), nullptr);
  EXPECT_FALSE(restarted.copies->is_owner("a"));  // until other members have voted for it
  EXPECT_FALSE(restarted.copies->may_call(restarted.now, "a"));
  EXPECT_NE(SingleRelay().copies->find("a"), restarted.copies->find("a"));

  // A file that is cut at any byte is read up to its last complete record. A corrupted byte before the end
  // marks it as damaged or ends the readable part.
  for (std::size_t n = 0; n < file.size(); ++n) {
    const copies::StoredState torn = copies::read_stored(file.substr(0, n), {});
    EXPECT_FALSE(torn.damaged) << n;
    EXPECT_LE(torn.valid_bytes, n);
  }
  std::string corrupted = file;
  corrupted[file.size() / 2] = static_cast<char>(corrupted[file.size() / 2] ^ 1);
  const copies::StoredState read = copies::read_stored(corrupted, {});
  EXPECT_TRUE(read.damaged || read.valid_bytes < file.size());
}

TEST(CopiesAlone, OneThatHasLostItsFolderJoinsNoOldGroup) {
  SingleRelay relay;
  relay.set_candidates(2, 5);  // their current storage ids differ
  relay.copies->add(relay.now, "a", SingleRelay::item(relay.now + 5s));
  relay.copies->flush(relay.now);
  const auto frames = relay.copies->take_frames();
  ASSERT_EQ(frames.size(), 2U);
  copies::LocalMember self;
  self.identity.name = frames[0].to.name;
  self.identity.address = frames[0].to.address;
  self.machine = "m1";
  Copies holder({}, self, {}, 3, relay.now);
  myrtlegrade::RecordReader in(frames[0].frame);
  const auto frame = copies::decode_frame(*in.record());
  ASSERT_TRUE(frame);
  holder.receive(relay.now, "n0", *frame);
  EXPECT_EQ(holder.find("a"), nullptr);
  EXPECT_EQ(holder.take_frames().size(), 1U);  // a reject: the group is unknown
}

TEST(CopiesFrames, WhatIsCutLongerOrOfALaterVersionIsNotRead) {
  SingleRelay relay;
  relay.set_candidates(2);
  relay.copies->add(relay.now, "a", SingleRelay::item(relay.now + 5s));
  relay.copies->flush(relay.now);
  const std::string record = relay.copies->take_frames().front().frame;
  const std::string bytes = record.substr(myrtlegrade::kRecordHeaderBytes);
  ASSERT_TRUE(copies::decode_frame(bytes));
  for (std::size_t n = 0; n < bytes.size(); ++n) EXPECT_FALSE(copies::decode_frame(bytes.substr(0, n))) << n;
  EXPECT_FALSE(copies::decode_frame(bytes + "x"));
  std::string later = bytes;
  ++later[0];
  EXPECT_FALSE(copies::decode_frame(later));
  // A corrupted frame is rejected, or decoded and handled without undefined behaviour.
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    std::string corrupted = bytes;
    corrupted[n] = static_cast<char>(corrupted[n] ^ 0x55);
    if (const auto frame = copies::decode_frame(corrupted)) relay.copies->receive(relay.now, "n1", *frame);
  }
}

}  // namespace
}  // namespace valedrum::lab
