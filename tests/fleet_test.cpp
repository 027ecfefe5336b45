/// Tests of the host table: records of removed hosts must be reused.
#include "fleet.h"

#include <gtest/gtest.h>

#include "codec.h"

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

class FleetTest : public testing::TestWithParam<bool> {
 protected:
  std::size_t add(std::uint32_t id) {
    const std::size_t d = fleet_.destination_for(DestinationId(7), RateMeter(1s, Time()));
    const std::size_t h = fleet_.add({.host = HostId(id), .destination = DestinationId(7)}, d,
                                     kinds_[0].per_host_limits, fresh_);
    fleet_.update_state(h, HostState::running);
    return h;
  }

  std::vector<KindSettings> kinds_{{GetParam(), 1}};
  LimitGroup fresh_{1, RecentSamples(4, 1s), RateMeter(1s, Time()), RateMeter(1s, Time())};
  Fleet fleet_{5s};
};

TEST_P(FleetTest, RecordsOfRemovedHostsAreReused) {
  add(0);
  for (std::uint32_t id = 1; id < 1000; ++id) {
    const std::size_t newer = add(id);
    fleet_.update_state(*fleet_.find(HostId(id - 1)), HostState::gone);
    ASSERT_EQ(fleet_.remove_gone(kinds_).size(), 1U);
    EXPECT_EQ(fleet_.find(HostId(id - 1)), std::nullopt);
    EXPECT_EQ(fleet_.find(HostId(id)), newer);
    EXPECT_EQ(fleet_.limit_groups[fleet_.hosts[newer].limit_group].hosts, std::vector{newer});
  }
  EXPECT_EQ(fleet_.known(), 1U);
  EXPECT_LE(fleet_.hosts.size(), 2U);
  EXPECT_LE(fleet_.limit_groups.size(), 2U);
  EXPECT_EQ(fleet_.destinations.size(), 1U);
  EXPECT_EQ(fleet_.destinations[0].limit_groups.size(), 1U);
}

TEST_P(FleetTest, AHostWithACallInFlightIsKept) {
  const std::size_t h = add(1);
  fleet_.update_state(h, HostState::gone);
  fleet_.hosts[h].in_flight = 1;
  EXPECT_TRUE(fleet_.remove_gone(kinds_).empty());
  EXPECT_NE(add(2), h) << "the outcome of its call still refers to that index";
  fleet_.hosts[h].in_flight = 0;
  EXPECT_EQ(fleet_.remove_gone(kinds_), std::vector{h});
}

INSTANTIATE_TEST_SUITE_P(LimitGroups, FleetTest, testing::Bool());

TEST(NamesTest, AForgottenNameComesBackUnderANewNumber) {
  drill::Names names;
  EXPECT_EQ(names.number("a"), 0U);
  EXPECT_EQ(names.number("b"), 1U);
  names.forget(0);
  EXPECT_EQ(names.find("a"), std::nullopt);
  EXPECT_EQ(names.number("a"), 2U) << "pending events may still carry the old number";
  EXPECT_EQ(names.name(1), "b");
}

}  // namespace
}  // namespace vetchhinge
