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

}  // namespace
}  // namespace vetchhinge
