// The ownership exchange in every order of events, within small bounds; and broken on purpose.
#include <gtest/gtest.h>

#include "ownership.h"

namespace valedrum::lab {
namespace {

using copies::DisabledSafeguard;

struct Case {
  unsigned leases, crashes, losses, questions, attempts, copies;
  bool once;
  DisabledSafeguard without;
};

OwnershipResult explore(const Case& c) {
  OwnershipBounds b;
  b.ticks = c.leases;
  b.crashes = c.crashes;
  b.losses = c.losses;
  b.questions = c.questions;
  b.attempts = c.attempts;
  b.copies = c.copies;
  b.once = c.once;
  b.without = c.without;
  return explore(b);
}

class Ownership : public testing::TestWithParam<Case> {};

TEST_P(Ownership, HoldsInEveryOrderAndIsSeenToBreak) {
  const Case c = GetParam();
  const OwnershipResult r = explore(c);
  std::string story;
  for (const std::string& line : r.story) story += line + "\n";
  if (c.without == DisabledSafeguard::none) {
    EXPECT_EQ(r.broken, "") << story;
    EXPECT_TRUE(r.whole);
    EXPECT_GT(r.takeovers, 0U);
    EXPECT_GT(r.calls, 0U);
  } else {
    EXPECT_NE(r.broken, "");
    EXPECT_GT(r.story.size(), 2U);
  }
}

constexpr Case kCases[] = {
    {1, 0, 0, 1, 2, 2, true, DisabledSafeguard::none},
    {1, 0, 0, 1, 2, 2, false, DisabledSafeguard::none},
    {1, 1, 0, 1, 1, 2, true, DisabledSafeguard::none},
    {1, 0, 1, 1, 1, 2, false, DisabledSafeguard::none},
    {1, 0, 0, 1, 2, 1, true, DisabledSafeguard::none},
    {2, 0, 0, 1, 1, 1, false, DisabledSafeguard::none},
    {1, 0, 0, 1, 2, 2, true, DisabledSafeguard::replicated_intent},
    {1, 1, 1, 2, 2, 2, true, DisabledSafeguard::lease},
    {1, 0, 0, 1, 1, 2, true, DisabledSafeguard::lease_start},
    {2, 0, 0, 1, 1, 2, true, DisabledSafeguard::vote_withholding},
    {1, 0, 0, 1, 1, 2, true, DisabledSafeguard::majority},
    {2, 1, 0, 1, 1, 2, true, DisabledSafeguard::durable_promise},
    {1, 1, 0, 1, 1, 2, true, DisabledSafeguard::restart_wait},
    {1, 0, 0, 1, 1, 2, true, DisabledSafeguard::epoch_fence},
    {1, 0, 0, 1, 2, 2, true, DisabledSafeguard::vote_merge},
    {1, 0, 1, 1, 1, 2, true, DisabledSafeguard::lost_state_check},
    {1, 0, 0, 1, 2, 2, false, DisabledSafeguard::orphan_check},
};
INSTANTIATE_TEST_SUITE_P(Bounds, Ownership, testing::ValuesIn(kCases));

}  // namespace
}  // namespace valedrum::lab
