/// Tests that the module does not repeat messages that a previous process may still have in flight.
#include <gtest/gtest.h>

#include <algorithm>

#include "vetchhinge/policy.h"

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

Settings one_class() {
  Settings settings;
  settings.slots = 4;
  settings.max_open = 40;
  settings.max_attempts = 4;
  settings.connection_idle = 9s;
  settings.tick = 5ms;
  settings.classes = {{.aim = 1s, .deadline = 8s, .effect = Effect::idempotent}};
  settings.kinds = {{}};
  return settings;
}

std::size_t sends(const std::vector<Action>& actions) {
  return static_cast<std::size_t>(std::ranges::count_if(
      actions, [](const Action& action) { return std::holds_alternative<Send>(action); }));
}

Message recovered(Time now) {
  Message message{MessageId(1), 0, DestinationId(1), now + 6s};
  message.past_attempts = {{ZoneId(0), now - 1s, true}};
  message.recovered = message.predecessor_call_open = true;
  return message;
}

TEST(PredecessorCalls, NothingIsRepeatedBeforeTheyEnd) {
  Sender sender(one_class());
  Time now(100s);
  HostList list{HostList::Kind::cached, {{HostId(0), DestinationId(1), ZoneId(0)}}};
  EXPECT_EQ(sends(sender.step(now, std::vector<Event>{list, recovered(now)})), 0U);
  for (int i = 0; i < 50; ++i) {
    now += 20ms;
    ASSERT_EQ(sends(sender.step(now, {})), 0U) << i;
  }
  now += 20ms;
  EXPECT_EQ(sends(sender.step(now, std::vector<Event>{PredecessorCallsEnded{}})), 1U);
}

TEST(PredecessorCalls, AMessageFailsInTimeThoughTheyDoNotEnd) {
  Sender sender(one_class());
  Time now(100s);
  HostList list{HostList::Kind::cached, {{HostId(0), DestinationId(1), ZoneId(0)}}};
  (void)sender.step(now, std::vector<Event>{list, recovered(now)});
  now += 6s - 10ms;
  const std::vector<Action> actions = sender.step(now, {});
  EXPECT_TRUE(std::ranges::any_of(actions,
                                  [](const Action& action) { return std::holds_alternative<Fail>(action); }));
  EXPECT_EQ(sends(actions), 0U);
}

HostList change(HostState state) {
  HostList list{HostList::Kind::changes, {}};
  list.entries.push_back({HostId(0), DestinationId(1), ZoneId(0), 0, state, std::nullopt});
  return list;
}

// Review case 1: the caller may have forgotten the ids of hosts that left the list.
TEST(LearnedStates, NameNoHostThatLeftTheList) {
  Sender sender(one_class());
  Time now(100s);
  const HostList list{HostList::Kind::cached, {{HostId(0), DestinationId(1), ZoneId(0)}}};
  const Message first{MessageId(1), 0, DestinationId(1), now + 6s};
  const Message second{MessageId(2), 0, DestinationId(1), now + 6s};
  EXPECT_EQ(sends(sender.step(now, std::vector<Event>{list, first})), 1U);
  const Outcome delivered{MessageId(1), 0, Result::delivered, true, 0us, 10ms, std::nullopt};
  (void)sender.step(now += 10ms, std::vector<Event>{delivered});
  EXPECT_EQ(sends(sender.step(now += 10ms, std::vector<Event>{second})), 1U);
  ASSERT_EQ(sender.snapshot(now).hosts.size(), 1U);
  (void)sender.step(now += 10ms, std::vector<Event>{change(HostState::gone)});
  const LearnedState learned = sender.snapshot(now);  // the second message is still in flight
  EXPECT_TRUE(learned.hosts.empty());
  ASSERT_EQ(learned.limit_groups.size(), 1U);
  EXPECT_EQ(learned.limit_groups[0].host, std::nullopt);
  EXPECT_EQ(learned.limit_groups[0].destination, DestinationId(1));
}

// A wait that all hosts of a destination left behind was forgotten by the next process.
TEST(LearnedStates, KeepAWaitWhoseHostsAreAllGone) {
  Sender old(one_class()), fresh(one_class());
  Time now(100s);
  const HostList list{HostList::Kind::cached, {{HostId(0), DestinationId(1), ZoneId(0)}}};
  const Message message{MessageId(1), 0, DestinationId(1), now + 6s};
  EXPECT_EQ(sends(old.step(now, std::vector<Event>{list, message})), 1U);
  const Outcome full{MessageId(1), 0, Result::full, false, 3s, 10ms, std::nullopt};
  (void)old.step(now += 10ms, std::vector<Event>{full, change(HostState::gone)});
  const Time told = now;
  (void)old.step(now += 600ms, {});  // the host is removed
  const LearnedState learned = old.snapshot(now);
  const HostList nobody{HostList::Kind::cached, {}};
  (void)fresh.step(now, std::vector<Event>{nobody, learned, message});
  EXPECT_EQ(sends(fresh.step(now += 10ms, std::vector<Event>{change(HostState::running)})), 0U);
  while (now < told + 3s - 20ms) ASSERT_EQ(sends(fresh.step(now += 10ms, {})), 0U);
  std::size_t later = 0;
  while (now < told + 5s) later += sends(fresh.step(now += 10ms, {}));
  EXPECT_EQ(later, 1U);
}

}  // namespace
}  // namespace vetchhinge
