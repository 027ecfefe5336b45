// One day, drawn from a scenario by a seed: who is there, how much each sends and takes, and what goes wrong
// when. Nothing of it depends on the policy that is played.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "scenario.h"
#include "vetchhinge/policy.h"

namespace valedrum::lab {

using vetchhinge::Duration;
using vetchhinge::Time;

// Whatever discovery has to tell counts as told so long after it had it and could be reached (the page's).
inline constexpr Duration kToldAfter = std::chrono::seconds(6);

inline Duration span(double seconds) { return Duration(std::llround(seconds * 1e6)); }
inline double seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }
inline double seconds(Time t) { return seconds(t.time_since_epoch()); }

struct PartnerSpec {
  std::uint32_t kind = 0;
  double share = 0;      // of the traffic
  double full_rate = 0;  // messages a second at full load
  double pace = 1;       // its work takes so many times the usual
  Limit limit = Limit::none;
  double limit_rate = 0;  // calls a second that it takes from all relays
  Duration window{};
  double capacity = 0;  // calls a second that it can serve
  double listed_rate = 0;
  double tells_wait = 0;
  bool refused_count = false;
  double depth = 1;           // seconds
  std::uint32_t workers = 1;  // calls that each endpoint serves at once
  std::vector<std::uint32_t> endpoints;
};

struct EndpointSpec {
  std::uint32_t partner = 0;
  std::uint32_t zone = 0;
  bool listed_late = false;  // the first lists lack it
};

struct RelaySpec {
  std::uint32_t zone = 0;
  double share = 0;
  std::uint32_t slots = 1, max_open = 1;
};

struct Fault {
  FaultKind kind = FaultKind::outage;
  Time at{};
  Duration lasts{};
  std::vector<std::uint32_t> targets;  // relays, endpoints, partners or a zone, as the kind says
  double size = 1;
  bool kept = true;
  bool one_way = false;
};

struct Day {
  Scenario scenario;
  std::uint64_t seed = 0;
  std::vector<PartnerSpec> partners;
  std::vector<EndpointSpec> endpoints;
  std::vector<RelaySpec> relays;
  std::vector<Fault> faults;
  std::vector<std::vector<double>> latency;  // seconds one way, between zones
  double load = 1;
  double full_rate = 0;  // messages a second of all relays at full load

  Time end() const { return Time(span(scenario.seconds)); }
  // As a relay is told them. Each start has a seed of its own.
  vetchhinge::Settings settings(std::size_t relay, std::uint64_t start) const;
};

Day draw(const Scenario& scenario, std::uint64_t seed);

}  // namespace valedrum::lab
