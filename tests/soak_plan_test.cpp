// The plans that seeds of the soak stand for.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "soak/soak.h"

namespace valedrum::lab {
namespace {

using Troubles = std::vector<std::string>;

// The list of known failures and the tests name these seeds: a new trouble that slips into one of their days
// makes another day of it.
TEST(SoakPlan, KnownSeedsKeepTheirDays) {
  const std::map<std::uint64_t, Troubles> known = {
      {1, {"kill", "slow", "clock 3000 ms", "folder 92%", "upgrades x1 killed", "ban"}},
      {2, {"rolling", "drain", "spoilt", "reloads", "ban", "crowd 53"}},
      {13, {"restart", "shut", "resets", "clock -3600000 ms", "ban", "crowd 45"}},
      {15, {"restart", "shut", "folder 88%", "reloads", "upgrades x2", "ban", "moved discovery"}},
      {502, {"stall", "silent", "resets", "reloads", "upgrades x3", "ban"}},
      {510, {"restart", "lower_limit", "shut", "upgrades x3", "crowd 45"}},
      {517, {"restart", "lower_limit", "upgrades x2"}},
      {524, {"kill", "silent", "reloads", "upgrades x2", "ban", "second signals"}},
      {530, {"stall", "resets", "clock 3000 ms", "system calls 5%", "reloads", "crowd 28", "second signals"}},
      {542,
       {"kill", "lossy", "discovery", "clock -3600000 ms", "system calls 20%", "upgrades x3",
        "second signals"}},
      {605, {"stall", "slow", "system calls 20%", "upgrades x2", "moved discovery", "second signals"}},
      {649, {"kill", "drain", "system calls 5%", "upgrades x3", "crowd 42"}},
      {1318, {"restart", "hung", "clock 3000 ms", "system calls 2%", "upgrades x3"}},
  };
  for (const auto& [seed, troubles] : known) {
    const SoakPlan plan = draw_soak(seed);
    EXPECT_EQ(plan.troubles(), troubles) << seed;
    EXPECT_FALSE(plan.hold_ups) << seed;
  }
}

// Hold-ups that are never drawn, or that come on top of a stop of the whole process, would show nothing of
// the page's 0.15 s.
TEST(SoakPlan, LaterSeedsAreHeldUpButNotWhereProcessesAreStoppedToo) {
  std::size_t held_up = 0;
  for (std::uint64_t seed = 2000; seed < 2100; ++seed) {
    const SoakPlan plan = draw_soak(seed);
    EXPECT_EQ(draw_soak(seed).troubles(), plan.troubles()) << seed;
    if (!plan.hold_ups) continue;
    ++held_up;
    for (const FaultSpec& f : plan.scenario.faults) EXPECT_NE(f.kind, FaultKind::stall) << seed;
    EXPECT_TRUE(!plan.upgrades || plan.upgrades->stall == 0) << seed;
  }
  EXPECT_GE(held_up, 20u);
}

// A trouble that can't be left out is never found needless by shrinking.
TEST(SoakPlan, HoldUpsAreATroubleThatCanBeLeftOut) {
  SoakPlan plan = draw_soak(649);
  const Troubles before = plan.troubles();
  plan.hold_ups = hold_ups_all_day(0.05);
  const Troubles names = plan.troubles();
  const auto at = std::find(names.begin(), names.end(), "hold-ups 5%");
  ASSERT_NE(at, names.end());
  const SoakPlan less = plan.without(static_cast<std::size_t>(at - names.begin()));
  EXPECT_FALSE(less.hold_ups);
  EXPECT_EQ(less.troubles(), before);
}

}  // namespace
}  // namespace valedrum::lab
