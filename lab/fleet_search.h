// Seeks days on which the fleet's view does not settle, or breaks another rule, and makes them small.
#pragma once

#include <optional>
#include <vector>

#include "fleet_world.h"
#include "plays.h"

namespace valedrum::lab {

struct FleetSearchOptions {
  std::size_t days = 1000;
  std::uint64_t seed = 1;
  Range members{3, 24};
  unsigned jobs = 1;
  membership::Settings settings;
  bool until_broken = false;  // stop at the first broken rule
  const std::atomic<bool>* stop = nullptr;
  std::function<void(double share)> progress{};
};

struct FleetFound {
  std::size_t days = 0;
  std::size_t broken = 0;       // days with a broken rule
  std::vector<double> settled;  // seconds after the last fault, of the others
  double bound_share = 0;       // the largest share of its bound that a day took
  std::uint64_t false_deaths = 0;
  // The first day that broke a rule, made small.
  std::optional<Scenario> scenario;
  std::uint64_t seed = 0;
  std::string how;
};

// One drawn day: every second has a short tombstone, so that partitions outlast it.
Scenario fleet_day(std::uint64_t seed, Range members);
// What a day's seed says of the options: how many seeds are named, whether all start at once, the tombstone.
FleetOptions fleet_options(const FleetSearchOptions& search, std::uint64_t seed);

FleetFound search_fleet(const FleetSearchOptions& options);

}  // namespace valedrum::lab
