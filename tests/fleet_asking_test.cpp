// What all relays of a fleet ask of discovery together.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "vetchhinge/policy.h"
#include "world.h"

namespace vetchhinge {
namespace {

namespace lab = valedrum::lab;
using namespace std::chrono_literals;

Settings settings(std::uint32_t relays, std::uint64_t seed) {
  Settings s;
  s.seed = seed;
  s.relays = relays;
  s.list_on_request = true;
  s.list_request_interval = 6s;
  s.connection_idle = 5s;
  s.classes = {{.aim = 1s, .deadline = 8s, .effect = Effect::idempotent}};
  s.kinds = {{}};
  return s;
}

// When all relays ask, in the lab, where no message comes: all start at once with a known list.
std::vector<Time> asks_of(std::uint32_t relays, Duration span, const std::string& discovery) {
  const lab::Scenario scenario =
      lab::parse_scenario("version = 1\nname = 'asking'\nseconds = " + std::to_string(span / 1s) +
                              "\n[fleet]\nload = 0\nrelays = " + std::to_string(relays) +
                              "\n[discovery]\non_request = true\n" + discovery,
                          "asking");
  std::vector<Time> asks;
  lab::PlayOptions options;
  options.watch = [&](const lab::Observation& o) {
    if (o.what == lab::What::asked) asks.push_back(o.at);
  };
  lab::play(lab::draw(scenario, 1), lab::policy(lab::kProduct), options);
  return asks;
}

// Discovery answers no call, and each fails after two seconds.
const std::string kSilent = "[[fault]]\nkind = 'discovery'\nat = 0\nlasts = 100\n";
// Every watch brings the list and ends a moment later, from the start to the end.
const std::string kCutShort = "watch_lasts = 0.1\n";

std::ptrdiff_t within(const std::vector<Time>& asks, Time from, Duration span) {
  return std::ranges::count_if(asks, [&](Time t) { return t >= from && t < from + span; });
}

TEST(FleetAsking, AHundredThatStartTogetherAskOneAfterTheOther) {
  const auto asks = asks_of(100, 60s, kSilent);
  for (Time from{}; from < Time(60s); from += 1s)
    EXPECT_LE(within(asks, from, 1s), 32) << from.time_since_epoch().count();
}

TEST(FleetAsking, WhileDiscoveryIsSilentTheyAskLessOftenThanItCanAnswer) {
  const auto asks = asks_of(100, 70s, kSilent);
  EXPECT_LE(within(asks, Time(20s), 50s), 50 * 20);  // 50 ms for each
  EXPECT_GE(within(asks, Time(20s), 50s), 50 * 17);  // each one within the 6 s in which it must ask
}

TEST(FleetAsking, TwoRelaysAskAtOnceAndSoonAgain) {
  const auto asks = asks_of(2, 30s, kSilent);
  EXPECT_EQ(within(asks, Time{}, 200ms), 2);
  EXPECT_GE(within(asks, Time(10s), 20s), 2 * 4);
}

TEST(FleetAsking, WatchesThatEndEarlyAreAskedForWithGrowingPauses) {
  const auto few = asks_of(2, 60s, kCutShort);
  EXPECT_LE(within(few, Time(20s), 40s), 2 * 25);  // 97 with pauses that don't grow
  EXPECT_GE(within(few, Time(20s), 40s), 2 * 4);   // each one within the time in which it must ask
  const auto many = asks_of(300, 60s, kCutShort);
  EXPECT_LE(within(many, Time(20s), 40s), 40 * 60);  // 68 a second with pauses that don't grow
  EXPECT_GE(within(many, Time(20s), 40s), 300 * 4);
}

TEST(FleetAsking, AWatchThatLastedIsAskedForAgainSoon) {
  Sender sender(settings(2, 1));
  const HostList whole{HostList::Kind::whole, {{HostId(1), DestinationId(1), ZoneId(0)}}};
  const HostList lost{HostList::Kind::lost, {}};
  Time now{};
  for (int cut = 0; cut < 6; ++cut, now += 10s) {  // asked for with long pauses by now
    (void)sender.step(now, std::vector<Event>{whole});
    (void)sender.step(now + 100ms, std::vector<Event>{lost});
  }
  (void)sender.step(now, std::vector<Event>{whole});
  now += 10s;
  (void)sender.step(now, std::vector<Event>{lost});
  const auto actions = sender.step(now + 950ms, {});
  EXPECT_TRUE(std::ranges::any_of(
      actions, [](const Action& a) { return std::holds_alternative<SubscribeHostList>(a); }));
}

TEST(FleetAsking, WhoKnowsNoHostAsksAtOnce) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Sender sender(settings(100, seed));
    const std::vector<Event> nothing{HostList{HostList::Kind::cached, {}}};
    const auto actions = sender.step(Time{}, nothing);
    EXPECT_TRUE(std::ranges::any_of(
        actions, [](const Action& a) { return std::holds_alternative<SubscribeHostList>(a); }));
  }
}

}  // namespace
}  // namespace vetchhinge
