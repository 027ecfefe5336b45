// Model check of the ownership protocol: every order of events within small bounds, with and without each
// safeguard.
#include <gtest/gtest.h>

#include "ownership.h"

namespace valedrum::lab {
namespace {

using copies::DisabledSafeguard;

struct BoundedCase {
  unsigned leases, crashes, losses, questions, attempts, copies;
  bool once;
  DisabledSafeguard disabled;
};

OwnershipResult explore(const BoundedCase& parameters) {
  OwnershipBounds bounds;
  bounds.ticks = parameters.leases;
  bounds.crashes = parameters.crashes;
  bounds.losses = parameters.losses;
  bounds.questions = parameters.questions;
  bounds.attempts = parameters.attempts;
  bounds.copies = parameters.copies;
  bounds.once = parameters.once;
  bounds.without = parameters.disabled;
  return explore(bounds);
}

class Ownership : public testing::TestWithParam<BoundedCase> {};

TEST_P(Ownership, HoldsInEveryOrderAndIsSeenToBreak) {
  const BoundedCase parameters = GetParam();
  const OwnershipResult result = explore(parameters);
  std::string trace;
  for (const std::string& line : result.story) trace += line + "\n";
  if (parameters.disabled == DisabledSafeguard::none) {
    EXPECT_EQ(result.broken, "") << trace;
    EXPECT_TRUE(result.whole);
    EXPECT_GT(result.takeovers, 0U);
    EXPECT_GT(result.calls, 0U);
  } else {
    EXPECT_NE(result.broken, "");
    EXPECT_GT(result.story.size(), 2U);
  }
}

constexpr BoundedCase kCases[] = {
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
