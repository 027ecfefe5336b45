/// Tests of the estimate of safe idle times of connections.
#include "idle_age.h"

#include <gtest/gtest.h>

#include <utility>

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

const Time kNow{100s};

void record_successes(IdleAge& age, Duration idle, int calls) {
  for (int i = 0; i < calls; ++i) age.record_success(kNow, idle);
}

TEST(IdleAgeTest, WhatDropsAllOfAnAgeIsKeptUnder) {
  IdleAge age(15s);
  record_successes(age, 0us, 4);
  record_successes(age, 2s, 2);
  age.record_broken(kNow, 6s);
  EXPECT_EQ(age.max_idle(), 15s) << "a single break may be chance";
  age.record_broken(kNow, 6s);
  EXPECT_LT(age.max_idle(), 6s);
  EXPECT_GT(age.max_idle(), 2s);
  age.update(kNow + 120s);
  EXPECT_EQ(age.max_idle(), 15s) << "the counts decay";
}

// If only some hosts drop connections, or only from some time on, other connections of that idle time still
// work.
TEST(IdleAgeTest, WhatDropsPartOfAnAgeIsKeptUnderToo) {
  IdleAge age(15s);
  record_successes(age, 10s, 3);
  record_successes(age, 40ms, 30);
  record_successes(age, 150ms, 10);
  for (int i = 0; i < 8; ++i) age.record_broken(kNow, 150ms);
  EXPECT_EQ(age.max_idle(), 100ms);
}

// Chance resets at any idle time must not lead to a new connection for every call.
TEST(IdleAgeTest, ResetsOfEveryAgeProveNothing) {
  IdleAge age(15s);
  for (const Duration idle : {0ms, 10ms, 40ms, 150ms, 1000ms, 3000ms}) {
    record_successes(age, idle, 18);
    for (int i = 0; i < 2; ++i) age.record_broken(kNow, idle);
  }
  EXPECT_EQ(age.max_idle(), 15s);
  EXPECT_EQ(age.max_idle_at_most_once(), 15s);
}

// A repeat costs a short pause. If a new connection takes longer than that, it is worth it only if more
// connections break.
TEST(IdleAgeTest, ConnectionsThatTakeLongToSetUpAreKeptForLonger) {
  const auto idle_times = [](Duration setup) {
    IdleAge age(15s);
    for (int i = 0; i < 30; ++i) {
      age.record_success(kNow, 0us, 150ms + setup);
      age.record_success(kNow, 40ms, 150ms);
    }
    for (int i = 0; i < 20; ++i) age.record_success(kNow, 300ms, 150ms);
    for (int i = 0; i < 10; ++i) age.record_broken(kNow, 300ms);
    return std::pair(age.max_idle(), age.max_idle_at_most_once());
  };
  EXPECT_LT(idle_times(10ms).first, 300ms);
  EXPECT_EQ(idle_times(200ms).first, 15s);
  EXPECT_LT(idle_times(200ms).second, 300ms) << "at-most-once work avoids these connections all the same";
}

// A lost message costs more than a new connection.
TEST(IdleAgeTest, WorkThatMayNotBeRepeatedKeepsFurtherOff) {
  IdleAge age(15s);
  record_successes(age, 10ms, 100);
  record_successes(age, 500ms, 90);
  for (int i = 0; i < 10; ++i) age.record_broken(kNow, 500ms);
  EXPECT_EQ(age.max_idle(), 15s);
  EXPECT_LT(age.max_idle_at_most_once(), 500ms);
}

}  // namespace
}  // namespace vetchhinge
