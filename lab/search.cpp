#include "search.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace valedrum::lab {
namespace {

constexpr std::uint64_t kStream = 50;
constexpr double kKeeps = 0.8;  // share of the loss that a smaller day has to show still
constexpr std::size_t kMostFaults = 3;

// What a drawn fault may be; times are shares of the day.
struct Kind {
  FaultKind kind;
  Range lasts, part, size;
};
constexpr Range kTimes{0.1, 0.5};

const std::vector<Kind>& kinds() {
  static const std::vector<Kind> all = {
      {FaultKind::kill, {0.02, 0.3}, {0.1, 0.8}, {1, 1}},
      {FaultKind::restart, {0.06, 0.1}, {0.1, 0.8}, {1, 1}},
      {FaultKind::rolling, {0.2, 0.6}, {1, 1}, {1, 1}},
      {FaultKind::upgrade, {0.01, 0.02}, {0.1, 1}, {1, 1}},
      {FaultKind::outage, {0.05, 0.3}, {0.05, 0.4}, {1, 1}},
      {FaultKind::single, {0.05, 0.3}, {0.1, 0.5}, {1, 1}},
      {FaultKind::silent, {0.05, 0.3}, {0.05, 0.3}, {1, 1}},
      {FaultKind::hung, {0.05, 0.3}, {0.05, 0.3}, {1, 1}},
      {FaultKind::slow, {0.1, 0.4}, {0.05, 0.4}, {2, 20}},
      {FaultKind::failing, {0.1, 0.5}, {0.1, 0.6}, {1, 1}},
      {FaultKind::spoilt, {0.1, 0.4}, {0.1, 0.5}, {0.05, 0.6}},
      {FaultKind::flapping, {0.1, 0.5}, {0.05, 0.4}, {0.2, 4}},
      {FaultKind::shut, {0.05, 0.3}, {0.05, 0.4}, {1, 1}},
      {FaultKind::drain, {0.1, 0.4}, {0.1, 0.6}, {1, 1}},
      {FaultKind::lower_limit, {0.1, 0.6}, {0.1, 0.6}, {0.1, 0.8}},
      {FaultKind::zone_cut, {0.05, 0.2}, {1, 1}, {1, 1}},
      {FaultKind::zone_down, {0.05, 0.2}, {1, 1}, {1, 1}},
      {FaultKind::lossy, {0.1, 0.4}, {1, 1}, {0.005, 0.1}},
      {FaultKind::resets, {0.1, 0.4}, {1, 1}, {0.005, 0.1}},
      {FaultKind::discovery, {0.1, 0.5}, {1, 1}, {1, 1}},
      {FaultKind::crowd, {0.1, 0.4}, {1, 1}, {1.1, 2}},
      {FaultKind::hot, {0.2, 0.5}, {1, 1}, {0.05, 0.3}},
  };
  return all;
}

double rounded(double v) { return std::round(v * 1000) / 1000; }
Range point(double v) { return {rounded(v), rounded(v)}; }

double by_ratio(const Range& r, Random& random) { return r.low * std::pow(r.high / r.low, random.unit()); }

Scenario drawn(const Scenario& base, const SearchOptions& options, Random& random) {
  Scenario s = base;
  if (options.relays) {
    s.fleet.relays = static_cast<std::uint32_t>(std::lround(by_ratio(*options.relays, random)));
  }
  if (options.rate) {
    s.fleet.endpoints = point(std::round(random.between(s.fleet.endpoints)));
    s.fleet.per_partner = point(random.between(s.fleet.per_partner));
    const double partners = std::max(1.0, s.fleet.endpoints.low / s.fleet.per_partner.low);
    s.fleet.messages_per_relay = by_ratio(*options.rate, random) * partners / s.fleet.relays;
  }
  s.fleet.load = point(random.between({0.5, 1.2}));
  const std::uint32_t n = 1 + random.below(kMostFaults);
  for (std::uint32_t i = 0; i < n; ++i) {
    const Kind& kind = kinds()[random.below(static_cast<std::uint32_t>(kinds().size()))];
    if ((kind.kind == FaultKind::zone_cut || kind.kind == FaultKind::zone_down) && s.fleet.zones < 2)
      continue;
    FaultSpec f;
    f.kind = kind.kind;
    f.at = point(random.between(kTimes) * s.seconds);
    f.lasts = point(random.between(kind.lasts) * s.seconds);
    f.part = point(random.between(kind.part));
    f.size = point(random.between(kind.size));
    f.kept = random.chance(0.7);
    f.one_way = random.chance(0.5);
    s.faults.push_back(f);
  }
  return s;
}

struct Trial {
  Scenario scenario;
  std::uint64_t seed = 0;
};

class Search {
 public:
  Search(const Scenario& base, const SearchOptions& options) : base_(base), options_(options) {}

  std::optional<Finding> run() {
    Random random(options_.seed, kStream);
    for (std::size_t done = 0; done < options_.runs && !stopped();) {
      std::vector<Trial> trials;
      while (trials.size() < std::max(1U, options_.jobs) && done + trials.size() < options_.runs) {
        Scenario scenario = drawn(base_, options_, random);
        trials.push_back({std::move(scenario), options_.seed + done + trials.size()});
      }
      for (Finding& f : judge(trials)) {
        if (!worst_ || worse(f, *worst_)) worst_ = std::move(f);
      }
      done += trials.size();
      if (options_.progress) options_.progress(done, worst_);
    }
    const std::size_t broken = broken_, runs = runs_;
    while (worst_ && !stopped() && shrink()) {
    }
    if (worst_) {
      worst_->runs = runs;
      worst_->broken = broken;
      worst_->scenario.name = base_.name + "-found";
      worst_->scenario.about = "Found by search from " + base_.name + "; shows itself with seed " +
                               std::to_string(worst_->seed) + ".";
    }
    return worst_;
  }

 private:
  bool stopped() const { return options_.stop && options_.stop->load(); }

  static bool worse(const Finding& a, const Finding& b) {
    if (a.rule.empty() != b.rule.empty()) return b.rule.empty();
    return a.loss > b.loss;
  }

  std::vector<Finding> judge(const std::vector<Trial>& trials) {
    std::vector<Play> plays;
    for (const Trial& t : trials) {
      plays.push_back({t.scenario, t.seed, options_.policy});
      plays.push_back({t.scenario, t.seed, kTop});
    }
    const std::vector<RunResult> results = play_all(plays, options_.jobs, options_.stop);
    std::vector<Finding> findings;
    for (std::size_t i = 0; i < trials.size(); ++i) {
      const RunResult &own = results[2 * i], &top = results[2 * i + 1];
      if (own.stopped || top.stopped) continue;
      ++runs_;
      Finding f{trials[i].scenario, trials[i].seed, top.g - own.g, {}, 0};
      for (std::size_t r = 0; r < kRules && f.rule.empty(); ++r) {
        if (own.broken[r] > 0) f.rule = name_of(static_cast<Rule>(r));
      }
      broken_ += f.rule.empty() ? 0 : 1;
      findings.push_back(std::move(f));
    }
    return findings;
  }

  // One step towards a smaller day that shows the same: fewer faults, then fewer relays, then less time.
  bool shrink() {
    std::vector<Trial> smaller;
    const Scenario& s = worst_->scenario;
    for (std::size_t i = 0; i < s.faults.size(); ++i) {
      Scenario less = s;
      less.faults.erase(less.faults.begin() + static_cast<std::ptrdiff_t>(i));
      smaller.push_back({std::move(less), worst_->seed});
    }
    if (s.fleet.relays >= 4) {
      Scenario less = s;
      less.fleet.relays /= 2;
      smaller.push_back({std::move(less), worst_->seed});
    }
    double last = 10;
    for (const FaultSpec& f : s.faults) last = std::max(last, f.at.high + f.lasts.high + 5);
    if (last < s.seconds - 1) {
      Scenario less = s;
      less.seconds = std::ceil(last);
      smaller.push_back({std::move(less), worst_->seed});
    }
    for (Finding& f : judge(smaller)) {
      const bool same = worst_->rule.empty() ? f.loss >= kKeeps * first_loss() : f.rule == worst_->rule;
      if (!same) continue;
      worst_ = std::move(f);
      return true;
    }
    return false;
  }

  double first_loss() {
    if (!first_loss_) first_loss_ = worst_->loss;
    return *first_loss_;
  }

  const Scenario& base_;
  const SearchOptions& options_;
  std::optional<Finding> worst_;
  std::optional<double> first_loss_;
  std::size_t runs_ = 0, broken_ = 0;
};

}  // namespace

std::optional<Finding> search(const Scenario& base, const SearchOptions& options) {
  return Search(base, options).run();
}

}  // namespace valedrum::lab
