// Rate of the requests to discovery for the host list, from all relays of a fleet together.
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

// Returns the times of all list requests on an emulated day without messages. All relays start at once with a
// known list.
std::vector<Time> list_requests(std::uint32_t relays, Duration duration, const std::string& discovery) {
  const lab::Scenario scenario =
      lab::parse_scenario("version = 1\nname = 'asking'\nseconds = " + std::to_string(duration / 1s) +
                              "\n[fleet]\nload = 0\nrelays = " + std::to_string(relays) +
                              "\n[discovery]\non_request = true\n" + discovery,
                          "asking");
  std::vector<Time> requests;
  lab::PlayOptions options;
  options.watch = [&](const lab::Observation& o) {
    if (o.what == lab::What::asked) requests.push_back(o.at);
  };
  lab::play(lab::draw(scenario, 1), lab::policy(lab::kProduct), options);
  return requests;
}

// Discovery does not answer: every request fails after two seconds.
const std::string kSilent = "[[fault]]\nkind = 'discovery'\nat = 0\nlasts = 100\n";
// Every watch delivers the list and ends 0.1 s later, during the whole day.
const std::string kCutShort = "watch_lasts = 0.1\n";

std::ptrdiff_t count_within(const std::vector<Time>& requests, Time from, Duration duration) {
  return std::ranges::count_if(requests, [&](Time t) { return t >= from && t < from + duration; });
}

TEST(FleetAsking, AHundredThatStartTogetherAskOneAfterTheOther) {
  const auto requests = list_requests(100, 60s, kSilent);
  for (Time from{}; from < Time(60s); from += 1s)
    EXPECT_LE(count_within(requests, from, 1s), 32) << from.time_since_epoch().count();
}

TEST(FleetAsking, WhileDiscoveryIsSilentTheyAskLessOftenThanItCanAnswer) {
  const auto requests = list_requests(100, 70s, kSilent);
  EXPECT_LE(count_within(requests, Time(20s), 50s), 50 * 20);  // 50 ms for each
  // Each relay at least once in the 6 s allowed between requests.
  EXPECT_GE(count_within(requests, Time(20s), 50s), 50 * 17);
}

TEST(FleetAsking, TwoRelaysAskAtOnceAndSoonAgain) {
  const auto requests = list_requests(2, 30s, kSilent);
  EXPECT_EQ(count_within(requests, Time{}, 200ms), 2);
  EXPECT_GE(count_within(requests, Time(10s), 20s), 2 * 4);
}

TEST(FleetAsking, WatchesThatEndEarlyAreAskedForWithGrowingPauses) {
  const auto few = list_requests(2, 60s, kCutShort);
  EXPECT_LE(count_within(few, Time(20s), 40s), 2 * 25);  // 97 without a growing backoff
  EXPECT_GE(count_within(few, Time(20s), 40s), 2 * 4);  // each relay within the time allowed between requests
  const auto many = list_requests(300, 60s, kCutShort);
  EXPECT_LE(count_within(many, Time(20s), 40s), 40 * 60);  // 68 a second without a growing backoff
  EXPECT_GE(count_within(many, Time(20s), 40s), 300 * 4);
}

TEST(FleetAsking, AWatchThatLastedIsAskedForAgainSoon) {
  Sender sender(settings(2, 1));
  const HostList whole{HostList::Kind::whole, {{HostId(1), DestinationId(1), ZoneId(0)}}};
  const HostList lost{HostList::Kind::lost, {}};
  Time now{};
  for (int cut = 0; cut < 6; ++cut, now += 10s) {  // raises the backoff
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
