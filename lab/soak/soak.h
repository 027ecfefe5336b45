// A randomized day on real processes: settings, load and overlapping troubles are drawn from one seed, and
// the checker, which sees what clients, endpoints and discovery see, is the oracle.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "drive.h"

namespace valedrum::lab {

// What the shim (soak/shim.cpp) does to the relays. Times in milliseconds since the day's start.
struct ShimSpan {
  long from_ms = 0, until_ms = 0;
  double share = 0;  // of the calls that fail
};
// Of a process, each for 140 to 150 ms; `share` of its waits, reads, writes and syncs.
struct HoldUps {
  double share = 0;
  long from_ms = 0, until_ms = 0;
  long gap_ms = 500;  // one begins at most once in so long
};
struct ClockStep {
  long at_ms = 0, step_ms = 0;
};

struct SoakPlan {
  std::uint64_t seed = 1;
  Scenario scenario;  // settings, load, and what happens to processes, endpoints and the network
  std::optional<ClockStep> clock;
  std::optional<ShimSpan> calls, folder;
  std::optional<HoldUps> hold_ups;
  std::optional<double> reload_every;  // seconds between two SIGHUPs
  std::optional<UpgradeSeries> upgrades;
  std::optional<EndpointBan> ban;
  std::optional<CrowdSpan> crowd;
  std::optional<double> discovery_moves;  // seconds since the day's start
  bool signals_twice = false;
  bool bulk = false;    // all endpoints take bulk calls, of classes with different time-outs
  bool copies = false;  // of what each relay holds, by another one

  // Names of all troubles, in a fixed order.
  std::vector<std::string> troubles() const;
  // The same plan without the n-th of them.
  SoakPlan without(std::size_t trouble) const;
};

// The same plan from the same seed, with two to four troubles that overlap. `only_calls`: the share of
// failing system calls, all day, beside one drawn trouble of the processes.
SoakPlan draw_soak(std::uint64_t seed, std::optional<double> only_calls = std::nullopt);

// All day, behind that share of calls.
HoldUps hold_ups_all_day(double share);

struct SoakResult {
  DriveResult drive;
  std::string failure;           // the run could not be played: a relay did not start, or crashed
  std::uint64_t violations = 0;  // that the relays counted themselves
  bool good() const {
    return failure.empty() && drive.crashes == 0 && violations == 0 && drive.overdue_peers.empty() &&
           drive.run.rules_kept();
  }
};

struct SoakOptions {
  std::string program, shim, folder;
  const std::atomic<bool>* stop = nullptr;
};

SoakResult play_soak(const SoakPlan& plan, const SoakOptions& options);

// Leaves out one trouble after the other as long as a rule is still broken. At most `runs` further plays.
SoakPlan shrink(SoakPlan plan, const SoakOptions& options, unsigned runs);

}  // namespace valedrum::lab
