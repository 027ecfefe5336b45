// The ownership exchange in every order of events, within small bounds; and broken on purpose.
#include <gtest/gtest.h>

#include "ownership.h"

namespace valedrum::lab {
namespace {

using copies::Without;

struct Case {
  unsigned leases, crashes, losses, questions, attempts, copies;
  bool once;
  Without without;
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
  if (c.without == Without::nothing) {
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
    {1, 0, 0, 1, 2, 2, true, Without::nothing},      {1, 0, 0, 1, 2, 2, false, Without::nothing},
    {1, 1, 0, 1, 1, 2, true, Without::nothing},      {1, 0, 1, 1, 1, 2, false, Without::nothing},
    {1, 0, 0, 1, 2, 1, true, Without::nothing},      {2, 0, 0, 1, 1, 1, false, Without::nothing},
    {1, 0, 0, 1, 2, 2, true, Without::intents},      {1, 1, 1, 2, 2, 2, true, Without::lease},
    {1, 0, 0, 1, 1, 2, true, Without::lease_start},  {2, 0, 0, 1, 1, 2, true, Without::patience},
    {1, 0, 0, 1, 1, 2, true, Without::majority},     {2, 1, 0, 1, 1, 2, true, Without::promise},
    {1, 1, 0, 1, 1, 2, true, Without::restart_wait}, {1, 0, 0, 1, 1, 2, true, Without::fence},
    {1, 0, 0, 1, 2, 2, true, Without::merge},        {1, 0, 1, 1, 1, 2, true, Without::amnesia},
    {1, 0, 0, 1, 2, 2, false, Without::astray},
};
INSTANTIATE_TEST_SUITE_P(Bounds, Ownership, testing::ValuesIn(kCases));

}  // namespace
}  // namespace valedrum::lab
