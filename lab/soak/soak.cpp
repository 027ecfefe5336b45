#include "soak/soak.h"

#include <time.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>

namespace valedrum::lab {
namespace {

namespace fs = std::filesystem;

constexpr double kSeconds = 14;
constexpr double kMiddle = 5;           // around which all troubles lie
constexpr double kLongestStall = 0.15;  // of a relay that still keeps the rules (STANDING.md)
constexpr long kSecondMs = 1000;
constexpr unsigned kFewDescriptors = 128;  // that a crowd can fill

class Draws {
 public:
  explicit Draws(std::uint64_t seed) : engine_(seed) {}
  double between(double low, double high) { return low + (high - low) * unit(); }
  std::uint32_t whole(std::uint32_t low, std::uint32_t high) {
    return low + static_cast<std::uint32_t>(unit() * (high - low + 1));
  }
  bool chance(double share) { return unit() < share; }
  template <typename T, std::size_t n>
  const T& one_of(const T (&all)[n]) {
    return all[whole(0, n - 1)];
  }

 private:
  double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }  // the same with every library
  std::mt19937_64 engine_;
};

Range exactly(double value) { return {value, value}; }

ClassSpec draw_class(Draws& draws, const std::string& name, Effect effect) {
  ClassSpec c;
  c.name = name;
  c.effect = effect;
  c.aim = draws.between(0.6, 1.5);
  c.deadline = draws.between(2, 8);
  c.window = draws.chance(0.5) ? 1 : draws.between(1, 6);
  c.worth = draws.whole(1, 5);
  c.work = {0.05, 0.2};
  return c;
}

FaultSpec draw_process_fault(Draws& draws) {
  constexpr FaultKind kinds[] = {FaultKind::rolling, FaultKind::kill, FaultKind::restart, FaultKind::stall};
  FaultSpec f;
  f.kind = draws.one_of(kinds);
  f.at = exactly(draws.between(kMiddle - 2, kMiddle + 1));
  f.lasts = exactly(f.kind == FaultKind::rolling ? draws.between(3, 6) : draws.between(0.5, 3));
  f.part = exactly(draws.between(0.3, 0.9));
  if (f.kind == FaultKind::stall) f.lasts = exactly(draws.between(0.05, kLongestStall));
  return f;
}

FaultSpec draw_world_fault(Draws& draws) {
  constexpr FaultKind kinds[] = {FaultKind::hung,      FaultKind::silent,     FaultKind::outage,
                                 FaultKind::slow,      FaultKind::spoilt,     FaultKind::resets,
                                 FaultKind::lossy,     FaultKind::shut,       FaultKind::drain,
                                 FaultKind::discovery, FaultKind::lower_limit};
  FaultSpec f;
  f.kind = draws.one_of(kinds);
  f.at = exactly(draws.between(kMiddle - 2, kMiddle + 1));
  f.lasts = exactly(draws.between(2, 6));
  f.part = exactly(draws.between(0.2, 0.7));
  const bool of_calls =
      f.kind == FaultKind::resets || f.kind == FaultKind::lossy || f.kind == FaultKind::spoilt;
  const double size = f.kind == FaultKind::slow ? draws.between(3, 12) : draws.between(0.1, 0.5);
  f.size = exactly(of_calls ? draws.between(0.05, 0.3) : size);
  return f;
}

std::string span_text(const ShimSpan& span) {
  return std::to_string(span.from_ms) + ":" + std::to_string(span.until_ms) + ":" +
         std::to_string(span.share);
}

std::string hold_ups_text(const HoldUps& h) {
  return std::to_string(h.share) + ":" + std::to_string(h.from_ms) + ":" + std::to_string(h.until_ms) + ":" +
         std::to_string(h.gap_ms);
}

std::string upgrade_text(const UpgradeSeries& u) {
  return "upgrades x" + std::to_string(u.length) + (u.stall > 0 ? " stalled" : "") +
         (u.kill_last ? " killed" : "");
}

// The same load, in bulk calls that some messages leave earlier than others.
void make_bulk(Scenario& s, Draws& draws) {
  for (KindSpec& kind : s.kinds) kind.batch = 10;
  s.fleet.messages_per_relay *= 2;
  s.classes[1].aim = draws.between(2, 3);
  s.classes[2].aim = draws.between(0.3, 0.6);
  for (ClassSpec& c : s.classes) c.deadline = std::max(c.deadline, 2 * c.aim);
}

// What operators and the platform do to processes, drawn apart: what was drawn before stays as it was.
void draw_operations(SoakPlan& plan) {
  constexpr std::uint64_t kOperations = 0x6f70657261746573;
  Draws draws(plan.seed ^ kOperations);
  if (draws.chance(0.6)) {
    UpgradeSeries& u = plan.upgrades.emplace();
    u.at = draws.between(kMiddle - 3, kMiddle);
    u.length = draws.whole(1, 3);
    u.gap = draws.between(0.05, 2.5);
    u.stall = draws.chance(0.2) ? draws.between(0.1, 4) : 0;
    if (plan.calls || plan.folder) u.stall = 0;  // then a hand-over may take longer than a stop may wait
    u.kill_last = draws.chance(0.2);
    u.part = draws.between(0.4, 1);
  }
  plan.bulk = draws.chance(0.5);
  if (plan.bulk) make_bulk(plan.scenario, draws);
  if (draws.chance(0.3)) {
    const double from = draws.between(kMiddle - 3, kMiddle + 1);
    plan.ban = EndpointBan{draws.whole(0, 1000), from, from + draws.between(2, 6)};
  }
  if (draws.chance(0.25)) plan.crowd = CrowdSpan{draws.whole(20, 60), 1, kSeconds - 2};
  if (draws.chance(0.2)) plan.discovery_moves = draws.between(kMiddle - 2, kMiddle + 2);
  plan.signals_twice = draws.chance(0.3);
  plan.copies = draws.chance(0.1) && !plan.folder;
}

// Drawn apart, too. Earlier seeds have known days, which are named in lists of failures and in tests. Where
// the day stops processes itself, a stop and a hold-up would add up to more than a relay has to bear.
void draw_hold_ups(SoakPlan& plan) {
  constexpr std::uint64_t kHoldUps = 0x68656c642d757073, kFirstSeed = 2000;
  if (plan.seed < kFirstSeed) return;
  Draws draws(plan.seed ^ kHoldUps);
  const bool drawn = draws.chance(0.5);
  constexpr double shares[] = {0.005, 0.02, 0.05, 0.2};
  HoldUps h{.share = draws.one_of(shares)};
  h.from_ms = static_cast<long>(draws.between(0, kMiddle) * kSecondMs);
  h.until_ms = h.from_ms + static_cast<long>(draws.between(4, kSeconds) * kSecondMs);
  const bool stops = std::ranges::any_of(plan.scenario.faults,
                                         [](const FaultSpec& f) { return f.kind == FaultKind::stall; }) ||
                     (plan.upgrades && plan.upgrades->stall > 0);
  if (drawn && !stops) plan.hold_ups = h;
}

// What can be seen from outside, on the clock that the relays' traces tell.
std::function<void(const Observation&)> observations_to(const std::string& path) {
  return [file = std::make_shared<std::ofstream>(path)](const Observation& o) {
    timespec now{};
    ::clock_gettime(CLOCK_MONOTONIC, &now);
    char text[32];
    std::snprintf(text, sizeof text, "%.3f",
                  static_cast<double>(now.tv_sec) * kSecondMs + static_cast<double>(now.tv_nsec) / 1e6);
    *file << text << ' ' << to_text(o) << std::endl;
  };
}

// The relays' own count, from the last line of counters of each log.
std::uint64_t violations_in(const std::string& folder) {
  std::uint64_t sum = 0;
  for (const auto& entry : fs::recursive_directory_iterator(folder)) {
    if (entry.path().filename() != "log") continue;
    std::ifstream log(entry.path());
    for (std::string line; std::getline(log, line);)
      sum += line.find("myrtlegrade: VIOLATION") != std::string::npos;
  }
  return sum;
}

}  // namespace

std::vector<std::string> SoakPlan::troubles() const {
  std::vector<std::string> names;
  for (const FaultSpec& f : scenario.faults) names.emplace_back(name_of(f.kind));
  if (clock) names.push_back("clock " + std::to_string(clock->step_ms) + " ms");
  if (calls) names.push_back("system calls " + std::to_string(static_cast<int>(calls->share * 100)) + "%");
  if (folder) names.push_back("folder " + std::to_string(static_cast<int>(folder->share * 100)) + "%");
  if (hold_ups) {
    char text[32];
    std::snprintf(text, sizeof text, "hold-ups %g%%", hold_ups->share * 100);
    names.emplace_back(text);
  }
  if (reload_every) names.emplace_back("reloads");
  if (upgrades) names.push_back(upgrade_text(*upgrades));
  if (ban) names.emplace_back("ban");
  if (crowd) names.push_back("crowd " + std::to_string(crowd->connections));
  if (discovery_moves) names.emplace_back("moved discovery");
  if (signals_twice) names.emplace_back("second signals");
  return names;
}

SoakPlan SoakPlan::without(std::size_t trouble) const {
  SoakPlan less = *this;
  if (trouble < scenario.faults.size()) {
    less.scenario.faults.erase(less.scenario.faults.begin() + static_cast<std::ptrdiff_t>(trouble));
    return less;
  }
  const std::string name = troubles()[trouble];
  if (name.starts_with("clock")) less.clock.reset();
  if (name.starts_with("system calls")) less.calls.reset();
  if (name.starts_with("folder")) less.folder.reset();
  if (name.starts_with("hold-ups")) less.hold_ups.reset();
  if (name == "reloads") less.reload_every.reset();
  if (name.starts_with("upgrades")) less.upgrades.reset();
  if (name == "ban") less.ban.reset();
  if (name.starts_with("crowd")) less.crowd.reset();
  if (name == "moved discovery") less.discovery_moves.reset();
  if (name == "second signals") less.signals_twice = false;
  return less;
}

SoakPlan draw_soak(std::uint64_t seed, std::optional<double> only_calls) {
  Draws draws(seed);
  SoakPlan plan;
  plan.seed = seed;
  Scenario& s = plan.scenario = parse_scenario("version = 1\nname = \"soak\"\n", "soak");
  s.seconds = kSeconds;
  s.fleet.relays = draws.whole(8, 12);
  s.fleet.endpoints = exactly(draws.whole(8, 12));
  s.fleet.messages_per_relay = draws.between(5, 10);
  s.fleet.attempts = draws.whole(3, 6);
  s.fleet.least_slots = draws.whole(2, 6);
  s.fleet.connection_idle = draws.between(2, 8);
  s.network.between = {0.002, 0.01};
  s.classes = {draw_class(draws, "once", Effect::at_most_once),
               draw_class(draws, "any", draws.chance(0.5) ? Effect::at_most_once : Effect::idempotent),
               draw_class(draws, "free", Effect::idempotent)};
  s.faults.push_back(draw_process_fault(draws));
  if (only_calls) {
    plan.calls = ShimSpan{0, static_cast<long>(kSeconds) * kSecondMs, *only_calls};
    return plan;
  }
  s.faults.push_back(draw_world_fault(draws));
  if (draws.chance(0.5)) s.faults.push_back(draw_world_fault(draws));
  const long middle = static_cast<long>(draws.between(kMiddle - 1, kMiddle + 1) * kSecondMs);
  constexpr long steps[] = {-3'600'000, -3'000, 3'000, 3'600'000};
  if (draws.chance(0.4)) plan.clock = ClockStep{middle, draws.one_of(steps)};
  constexpr double shares[] = {0.02, 0.05, 0.1, 0.2};
  if (draws.chance(0.3))
    plan.calls = ShimSpan{middle - kSecondMs, middle + 4 * kSecondMs, draws.one_of(shares)};
  if (draws.chance(0.3)) {
    const long lasts = static_cast<long>(draws.between(1, 4) * kSecondMs);
    plan.folder = ShimSpan{middle, middle + lasts, draws.between(0.3, 1)};
  }
  if (draws.chance(0.3)) plan.reload_every = draws.between(0.2, 1);
  draw_operations(plan);
  draw_hold_ups(plan);
  return plan;
}

HoldUps hold_ups_all_day(double share) {
  // A day's last messages run on behind its end.
  return {.share = share, .until_ms = 10 * static_cast<long>(kSeconds) * kSecondMs};
}

SoakResult play_soak(const SoakPlan& plan, const SoakOptions& options) {
  SoakResult result;
  fs::remove_all(options.folder);
  fs::create_directories(options.folder);
  timespec now{};
  ::clock_gettime(CLOCK_MONOTONIC, &now);
  DriveOptions drive_options;
  drive_options.program = options.program;
  drive_options.folder = options.folder;
  drive_options.stop = options.stop;
  drive_options.watch = observations_to(options.folder + "/observations");
  drive_options.reload_every = plan.reload_every;
  drive_options.second_address = true;
  drive_options.signals_twice = plan.signals_twice;
  drive_options.upgrades = plan.upgrades;
  drive_options.ban = plan.ban;
  drive_options.crowd = plan.crowd;
  if (plan.crowd) drive_options.sockets = kFewDescriptors;
  drive_options.discovery_moves = plan.discovery_moves;
  if (plan.copies) {
    drive_options.fleet = true;
    drive_options.copies = 1;
    drive_options.trace_copies = true;
    drive_options.environment["PROXY_TRACE"] = "1";
  }
  auto& environment = drive_options.environment;
  if (plan.clock || plan.calls || plan.folder || plan.hold_ups) environment["LD_PRELOAD"] = options.shim;
  environment["SOAK_SEED"] = std::to_string(plan.seed);
  environment["SOAK_BEGIN_MS"] = std::to_string(now.tv_sec * kSecondMs + now.tv_nsec / 1'000'000);
  if (plan.clock) {
    environment["SOAK_CLOCK"] = std::to_string(plan.clock->at_ms) + ":" + std::to_string(plan.clock->step_ms);
  }
  if (plan.calls) environment["SOAK_CALLS"] = span_text(*plan.calls);
  if (plan.folder) environment["SOAK_FOLDER"] = span_text(*plan.folder);
  if (plan.hold_ups) environment["SOAK_HOLD_UPS"] = hold_ups_text(*plan.hold_ups);
  try {
    result.drive = drive(draw(plan.scenario, plan.seed), drive_options);
  } catch (const std::runtime_error& e) {
    result.failure = e.what();
  }
  result.violations = violations_in(options.folder);
  return result;
}

SoakPlan shrink(SoakPlan plan, const SoakOptions& options, unsigned runs) {
  for (std::size_t trouble = 0; trouble < plan.troubles().size() && runs > 0;) {
    const SoakPlan less = plan.without(trouble);
    --runs;
    if (play_soak(less, options).good()) {
      ++trouble;  // it is needed
    } else {
      plan = less;
    }
  }
  return plan;
}

}  // namespace valedrum::lab
