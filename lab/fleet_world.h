// The fleet's own view in virtual time: the state machines that relays run, on an emulated network with the
// day's faults between them. The same days are played by drive() with real processes.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "day.h"
#include "membership/membership.h"

namespace valedrum::lab {

enum class FleetRule {
  not_settled,  // live members hold different views too long after the last fault
  revived,      // a member that was buried lives again by a statement that is no newer
  two_alive,    // two processes with one name are both alive, or somebody has not heard of the conflict
  amplified,    // an answer to a stranger was larger than three times the question
  false_death   // one that ran and could be reached was buried; only where `no_false_deaths` asks for it
};
inline constexpr std::size_t kFleetRules = 5;
std::string_view name_of(FleetRule rule);

struct FleetOptions {
  membership::Settings settings;  // fleet and seeds are set by the day
  std::uint32_t seeds = 3;
  double start_within = 1;  // seconds within which all are started; 0: at one moment
  bool no_false_deaths = false;
  bool to_the_end = false;  // play all of the day, and not only until the view has settled
  std::function<void(double at, const std::string& line)> log{};
  const std::atomic<bool>* stop = nullptr;
  std::function<void(double share)> progress{};
};

struct FleetResult {
  std::vector<std::uint64_t> broken = std::vector<std::uint64_t>(kFleetRules);
  std::string first;   // what broke first, one line
  double started = 0;  // seconds until all had settled on one view at the start
  double settled = 0;  // after the last fault's end; -1: not within the bound
  double bound = 0;
  // Of the first fault that kills: until half and all of the others hold the first target for dead.
  double known_by_half = -1, known_by_all = -1;
  std::uint64_t deaths = 0, false_deaths = 0, false_suspicions = 0, refutations = 0;
  std::uint64_t exchanges = 0, stalls = 0;
  double member_seconds = 0;
  double datagrams = 0, bytes = 0;  // sent, for each member and second
  double frames = 0, frame_bytes = 0;
  double most_bytes = 0;  // of one member in one second
  bool stopped = false;

  bool rules_kept() const {
    for (const std::uint64_t b : broken) {
      if (b > 0) return false;
    }
    return true;
  }
};

// As drive() gives them to real relays: all times follow the one between two probes.
membership::Settings fleet_settings(unsigned probe_ms);

// When the last fault is over. One that would be back only after the day's end is gone for good.
Time last_fault(const Day& day);

// Seconds after the last fault within which the view has settled, with `members`.
double settle_bound(const membership::Settings& settings, std::size_t members);

FleetResult play_fleet(const Day& day, const FleetOptions& options);

}  // namespace valedrum::lab
