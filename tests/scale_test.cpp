// The scale run's own arithmetic: what grows how, who is where, and a warm start that leaves no news.
#include <gtest/gtest.h>

#include <cmath>
#include <functional>

#include "distribution.h"
#include "fit.h"
#include "host.h"

namespace valedrum::lab::scale {
namespace {

std::vector<std::pair<double, double>> points(const std::function<double(double)>& of) {
  std::vector<std::pair<double, double>> all;
  for (const double n : {250.0, 500.0, 1000.0, 2000.0, 4000.0}) {
    const double noise = 1 + 0.01 * std::sin(n);
    all.emplace_back(n, of(n) * noise);
  }
  return all;
}

TEST(ScaleFit, NamesTheGrowth) {
  EXPECT_EQ(fit(points([](double) { return 230.0; })).chosen, Growth::constant);
  EXPECT_EQ(fit(points([](double n) { return 20 + 30 * std::log2(n); })).chosen, Growth::logarithmic);
  const FitChoice linear = fit(points([](double n) { return 100 + 2 * n; }));
  EXPECT_EQ(linear.chosen, Growth::linear);
  EXPECT_NEAR(linear.best().at(7400), 14900, 450);
  EXPECT_LT(linear.best().residual, linear.all[1].residual);
  // Noise alone is no growth.
  EXPECT_EQ(fit({{250, 10}, {500, 14}, {1000, 9}, {2000, 13}}).chosen, Growth::constant);
  EXPECT_THROW(fit({{250, 1}, {500, 2}, {1000, 3}, {1000, 4}}), std::invalid_argument);
}

TEST(ScaleFigures, RanksAreNearest) {
  Distribution d;
  for (int i = 100; i > 0; --i) d.add(i);
  EXPECT_EQ(d.at(0.5), 50);
  EXPECT_EQ(d.at(0.99), 99);
  EXPECT_EQ(d.at(1), 100);
}

TEST(ScaleDay, PlacesRacksInZonesAndZonesInRegions) {
  const DaySpec spec = parse_day(
      "version = 1\nname = 'x'\nseconds = 30\n[fleet]\nmembers = 100\nrack = 7\n"
      "[[fault]]\nkind = 'rack'\nat = 6\n[[fault]]\nkind = 'region_cut'\nat = 8\n"
      "lasts = 4\n",
      "x");
  const Plan plan = draw(spec, 3);
  for (const Member& m : plan.members) {
    for (const Member& o : plan.members) {
      EXPECT_TRUE(m.rack != o.rack || m.zone == o.zone);
      EXPECT_TRUE(m.zone != o.zone || m.region == o.region);
    }
  }
  EXPECT_EQ(plan.members.back().zone, 5U);
  EXPECT_EQ(plan.members.back().region, 1U);
  EXPECT_LE(plan.faults[0].targets.size(), 7U);
  EXPECT_EQ(plan.faults[1].targets.size(), 50U);
  EXPECT_EQ(to_text(plan), to_text(draw(spec, 3)));
  ASSERT_EQ(plan.phases.size(), 5U);  // start, rest, rack, region_cut, after region_cut
  EXPECT_EQ(plan.phases.back().name, "after region_cut");
}

TEST(ScaleWarm, KnowsAllAndHasNothingToSay) {
  const Plan plan = draw(parse_day("version = 1\nname = 'x'\nseconds = 30\n[fleet]\nmembers = 80\n"
                                   "start = 'warm'\npublished = 20\n",
                                   "x"),
                         1);
  Addresses addresses;
  addresses.base = (127U << 24) + (250U << 16);
  Host host(plan, addresses, 0, 80);
  const auto one = std::make_shared<Hollow>(host, 5), other = std::make_shared<Hollow>(host, 71);
  one->warm();
  other->warm();
  EXPECT_EQ(one->view().live, 79U);
  EXPECT_EQ(one->view().suspects, 0U);
  EXPECT_TRUE(one->view().settled);
  EXPECT_EQ(one->view().digest, other->view().digest);
  EXPECT_EQ(one->counters().suspicions, 0U);
}

}  // namespace
}  // namespace valedrum::lab::scale
