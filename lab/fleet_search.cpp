#include "fleet_search.h"

#include <algorithm>
#include <cmath>

namespace valedrum::lab {
namespace {

constexpr std::uint32_t kMostFaults = 5;
constexpr Range kWithin{5, 60};  // seconds in which faults begin

struct Kind {
  FaultKind kind;
  Range lasts, part, size;
};

const std::vector<Kind>& kinds() {
  static const std::vector<Kind> all = {
      {FaultKind::kill, {0.2, 60}, {0, 0.6}, {1, 1}},
      {FaultKind::restart, {0.6, 10}, {0, 0.6}, {1, 1}},
      {FaultKind::rolling, {5, 40}, {1, 1}, {1, 1}},
      {FaultKind::upgrade, {0.1, 0.1}, {0, 1}, {1, 1}},
      {FaultKind::stall, {0.5, 30}, {0, 1}, {1, 1}},
      {FaultKind::split, {1, 100}, {0.05, 0.5}, {2, 3.99}},
      {FaultKind::links, {1, 60}, {1, 1}, {0.02, 0.5}},
      {FaultKind::zone_cut, {1, 60}, {1, 1}, {1, 1}},
      {FaultKind::link_loss, {1, 60}, {1, 1}, {0.02, 0.5}},
      {FaultKind::link_slow, {1, 40}, {1, 1}, {0.05, 3}},
      {FaultKind::link_twice, {1, 60}, {1, 1}, {0.05, 0.8}},
      {FaultKind::link_throttle, {1, 60}, {1, 1}, {100, 3000}},
      {FaultKind::link_garbage, {1, 60}, {1, 1}, {0.02, 0.5}},
      {FaultKind::twin, {1, 1}, {0, 0}, {1, 1}},
  };
  return all;
}

Range point(double v) {
  v = std::round(v * 1000) / 1000;
  return {v, v};
}

}  // namespace

Scenario fleet_day(std::uint64_t seed, Range members) {
  Random random(seed, 80);
  Scenario s;
  s.name = "fleet-" + std::to_string(seed);
  s.fleet.relays = static_cast<std::uint32_t>(
      std::lround(std::exp(random.between({std::log(members.low), std::log(members.high)}))));
  s.fleet.zones = 1 + random.below(3);
  s.fleet.endpoints = {4, 4};
  s.network.loss = random.chance(0.5) ? 0 : std::round(random.unit() * 100) / 2000;
  bool twin = false;
  for (std::uint32_t n = 1 + random.below(kMostFaults); n > 0; --n) {
    const Kind& k = kinds()[random.below(static_cast<std::uint32_t>(kinds().size()))];
    if (k.kind == FaultKind::zone_cut && s.fleet.zones < 2) continue;
    if (k.kind == FaultKind::twin && std::exchange(twin, true)) continue;
    FaultSpec f;
    f.kind = k.kind;
    f.at = point(random.between(kWithin));
    f.lasts = point(std::exp(random.between({std::log(k.lasts.low), std::log(k.lasts.high)})));
    f.part = point(random.between(k.part));
    f.size = k.kind == FaultKind::split ? point(std::floor(random.between(k.size)))
                                        : point(random.between(k.size));
    f.kept = random.chance(0.7);
    f.one_way = random.chance(0.3);
    s.faults.push_back(f);
  }
  s.seconds = 200;
  return parse_scenario(to_toml(s), s.name);  // what a file of it would be
}

FleetOptions fleet_options(const FleetSearchOptions& search, std::uint64_t seed) {
  Random random(seed, 81);
  FleetOptions o;
  o.settings = search.settings;
  o.seeds = 1 + random.below(3);
  o.start_within = random.chance(0.5) ? 0 : random.unit() * 20;
  if (random.chance(0.5)) o.settings.tombstone_retention = o.settings.probe_interval * 60;
  return o;
}

FleetFound search_fleet(const FleetSearchOptions& options) {
  FleetFound found;
  std::vector<FleetResult> results(options.days);
  std::atomic<bool> enough = false;
  const auto stopping = [&] { return enough || (options.stop && options.stop->load()); };
  const auto play_one = [&](const Scenario& s, std::uint64_t seed) {
    FleetOptions o = fleet_options(options, seed);
    o.stop = options.stop;
    return play_fleet(draw(s, seed), o);
  };
  const auto work = [&](std::size_t i) {
    results[i].stopped = true;
    if (stopping()) return;
    results[i] = play_one(fleet_day(options.seed + i, options.members), options.seed + i);
    if (options.until_broken && !results[i].rules_kept()) enough = true;
  };
  for_all(options.days, options.jobs, work, [&](std::size_t done) {
    if (options.progress) options.progress(static_cast<double>(done) / static_cast<double>(options.days));
  });
  for (std::size_t i = 0; i < results.size(); ++i) {
    const FleetResult& r = results[i];
    if (r.stopped) continue;
    ++found.days;
    found.false_deaths += r.false_deaths;
    if (r.rules_kept()) {
      found.settled.push_back(r.settled);
      found.bound_share = std::max(found.bound_share, r.settled / r.bound);
      continue;
    }
    if (++found.broken > 1) continue;
    found.seed = options.seed + i;
    found.how = r.first;
    found.scenario = fleet_day(found.seed, options.members);
  }
  // Smaller, as long as a rule is broken still: without one fault after the other.
  for (bool smaller = found.scenario.has_value(); smaller && !(options.stop && options.stop->load());) {
    smaller = false;
    for (std::size_t i = 0; i < found.scenario->faults.size() && !smaller; ++i) {
      Scenario s = *found.scenario;
      s.faults.erase(s.faults.begin() + static_cast<std::ptrdiff_t>(i));
      const FleetResult r = play_one(s, found.seed);
      if (r.stopped || r.rules_kept()) continue;
      found.scenario = s;
      found.how = r.first;
      smaller = true;
    }
  }
  std::ranges::sort(found.settled);
  return found;
}

}  // namespace valedrum::lab
