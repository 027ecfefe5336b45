#include "cap.h"

#include <algorithm>
#include <cmath>

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

constexpr double kErrorRateToHalve = 0.1;    // the cap is halved above this error rate
constexpr double kErrorRateToGrow = 0.02;    // the cap may grow below this error rate
constexpr double kSlowP95Ratio = 2.0;        // p95 over baseline p95 above which the cap is reduced
constexpr double kGrowP95Ratio = 1.4;        // p95 over baseline p95 below which the cap may grow
constexpr int kSlowCapCut = 2;               // calls by which the cap is reduced when calls are slow
constexpr double kInitialCapShare = 0.34;    // initial cap, share of the slots
constexpr double kMaxCapShare = 0.75;        // highest cap of a limit group, share of the slots
constexpr double kImpairedCapShare = 0.5;    // same while failing or slow; also for all such groups together
constexpr int kMinErrors = 2;                // fewest errors that reduce a cap: a single one proves nothing
constexpr double kMaxBrokenShare = 0.4;      // broken connections count as errors above this share of calls
constexpr int kMinBrokenCalls = 4;           // and from this number on
constexpr double kOutageErrorShare = 0.4;    // share of failures that counts as an outage
constexpr std::size_t kMinCallsForP95 = 5;   // fewest calls for a decision by p95
constexpr Duration kEvidenceMaxAge = 4s;     // older counts are dropped
constexpr double kLatencyQuantile = 0.95;    // observed quantile of the latency
constexpr std::size_t kLatencySamples = 24;  // newest latencies from which it is computed
constexpr Duration kLatencyMaxAge = 12s;     // and their greatest age
constexpr double kBaselineStep = 0.1;        // step of the baseline p95 towards p95 per healthy evaluation
constexpr double kBaselineStepImpaired = 0.03;  // same while impaired, so that the baseline never freezes

int share_of(std::uint32_t slots, double share) {
  return std::max(1, static_cast<int>(std::floor(slots * share)));
}

// A broken connection is normally no sign of load: network elements reset some connections whatever they
// carry, and a cap that shrank each time would delay work that the destination could handle. This applies to
// resets, corrupt responses and connections that break during setup, for any reason, as long as most calls
// succeed. A destination that sheds load by resetting connections therefore keeps its cap until resets exceed
// kMaxBrokenShare of its calls.
int errors_of(const LimitGroup& l) {
  const bool mostly_broken =
      l.broken_connections >= kMinBrokenCalls &&
      l.broken_connections > kMaxBrokenShare * (l.successes + l.failures + l.broken_connections);
  return mostly_broken ? l.failures + l.broken_connections : l.failures;
}

}  // namespace

int initial_cap(std::uint32_t slots) { return share_of(slots, kInitialCapShare); }

int impaired_cap(std::uint32_t slots) { return share_of(slots, kImpairedCapShare); }

RecentSamples latency_window() { return {kLatencySamples, kLatencyMaxAge}; }

double latency_p95(const LimitGroup& l) {
  return std::max(l.latencies.quantile(kLatencyQuantile), l.baseline_p95);
}

bool mostly_failing(const LimitGroup& l) {
  return l.failures >= kMinErrors && l.failures > kOutageErrorShare * (l.successes + l.failures);
}

void adjust_cap(LimitGroup& l, Time now, std::uint32_t slots) {
  l.latencies.trim(now);
  const int errors = errors_of(l);
  const int calls = l.successes + errors;
  const double error_rate = calls > 0 ? static_cast<double>(errors) / calls : 0;
  const std::size_t new_latencies = std::min(l.latencies_since_cut, l.latencies.size());
  const double p95 = l.latencies.quantile(kLatencyQuantile, new_latencies);
  const bool enough =
      new_latencies >= kMinCallsForP95;  // each reduction needs calls that ended after the last one
  if (enough) l.slow = l.baseline_p95 > 0 && p95 > kSlowP95Ratio * l.baseline_p95;
  bool decided = true;
  if (errors >= kMinErrors && error_rate > kErrorRateToHalve) {
    l.failing = true;
    l.cap = std::max(1, l.cap / 2);
  } else if (l.slow && enough && calls > 0) {
    l.failing = false;
    l.cap = std::max(1, l.cap - kSlowCapCut);
    l.latencies_since_cut = 0;
  } else if (calls > 0 && error_rate < kErrorRateToGrow &&
             (!enough || p95 < kGrowP95Ratio * l.baseline_p95)) {
    l.failing = false;
    if (l.peak >= l.cap) ++l.cap;  // a cap that was not reached proves nothing
  } else {
    decided = now >= l.evaluated_at + kEvidenceMaxAge;
    l.failing = l.failing && !decided;
  }
  if (enough) {
    const double step = l.impaired() ? kBaselineStepImpaired : kBaselineStep;
    l.baseline_p95 = l.baseline_p95 > 0 ? std::lerp(l.baseline_p95, p95, step) : p95;
  }
  l.cap = std::clamp(l.cap, 1, share_of(slots, l.impaired() ? kImpairedCapShare : kMaxCapShare));
  l.peak = l.in_flight;
  if (decided) {
    l.successes = l.failures = l.broken_connections = 0;
    l.evaluated_at = now;
  }
  l.active = l.in_flight > 0 || l.successes + l.failures + l.broken_connections > 0 || l.impaired() ||
             l.latencies.size() > 0;
}

}  // namespace vetchhinge
