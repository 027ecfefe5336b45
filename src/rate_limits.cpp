#include "rate_limits.h"

#include <algorithm>
#include <cmath>

#include "durations.h"

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

constexpr double kPacedRateCut = 0.8;           // factor on the paced rate at a rejection
constexpr double kPacedRateGrowth = 0.1;        // relative growth per second
constexpr double kPacedRateQuietSeconds = 1.0;  // without a rejection, after which the growth accelerates
// The paced rate never falls below a minimum: the smaller of these two rates in calls per second, of this
// relay and of all relays together, or a multiple of the baseline rate if that is higher.
constexpr double kMinPacedRate = 1.0;
constexpr double kMinPacedRateAllRelays = 10.0;
constexpr double kMinPacedRateBaselineFactor = 1.3;
constexpr double kPacedRateReleaseFactor = 3.0;  // above this multiple of the minimum it is released
constexpr double kMinReportedLimit = 1.0;        // calls per second; lower values cannot be a limit
constexpr double kMaxReportedLimit = 1e6;        // nor can higher ones
constexpr Duration kReportMaxAge = 10s;
constexpr double kUnrestrictedShareLeft = 0.5;    // from this share left on, calls are not restricted
constexpr double kQuotaUseAtZeroLeft = 0.6;       // quota use while nothing of the limit is left
constexpr double kQuotaUsePerShareLeft = 2.0;     // additional quota use per share that is left
constexpr double kQuotaUseGrowth = 1.0;           // relative growth per second while all of the limit is left
constexpr double kQuotaUseGrowthAboveOwn = 0.25;  // same above the own share, which other relays may need
constexpr double kQuotaUseCut = 0.5;          // factor on quota use above the own share when little is left
constexpr double kBaselineQuotaFactor = 1.4;  // quota share, multiple of the share that is usually used
constexpr double kMaxBurstSeconds = 0.3;      // longest time for which a rate may be saved up
constexpr double kFewExpectedCalls = 30;      // below this the overload rule allows more slack
// Standard deviations between the mean number of calls of all relays and the overload bound.
constexpr double kSafeDeviationsFewCalls = 2.5;
constexpr double kSafeDeviationsManyCalls = 2.0;
constexpr double kMinWindowSeconds = 0.02;  // a budget is checked no more often

}  // namespace

void cut_quota_use(LimitGroup& l, double max_use, Time sent, Time now) {
  if (l.quota_use > 0 && (l.quota_use <= max_use || sent <= l.quota_use_cut_at)) return;
  l.quota_use = std::max(max_use, kQuotaUseCut * l.quota_use);
  l.quota_use_cut_at = now;
}

void limit_to_quota(LimitGroup& l, Time sent, Time now) { cut_quota_use(l, 1, sent, now); }

void record_limit_report(LimitGroup& l, const LimitReport& report, Time sent, Time now) {
  const double limit = report.calls_per_second;
  // NaN values fail these comparisons too.
  if (!(limit >= kMinReportedLimit && limit <= kMaxReportedLimit && report.share_left >= 0)) return;
  l.reported_limit = limit;
  l.reported_share_left = report.share_left;
  l.reported_at = now;
  if (l.reported_share_left < kUnrestrictedShareLeft)
    cut_quota_use(l, kQuotaUseAtZeroLeft + kQuotaUsePerShareLeft * l.reported_share_left, sent, now);
}

bool near_limit(const LimitGroup& l, Time now) {
  return l.quota_use > 0 && now < l.reported_at + kReportMaxAge;
}

double quota_rate(LimitGroup& l, const Settings& s, Time now) {
  const double even = 1.0 / s.relays;
  const double own = kBaselineQuotaFactor * l.baseline_quota_use.per_second(now, kMinRateWindow);
  return l.reported_limit * std::max(even, own) * l.quota_use;
}

double min_paced_rate(LimitGroup& l, const Settings& s, Time now) {
  return std::max(std::min(kMinPacedRate, kMinPacedRateAllRelays / s.relays),
                  kMinPacedRateBaselineFactor * l.baseline_calls.per_second(now, kMinRateWindow));
}

void cut_paced_rate(LimitGroup& l, const Call& call, bool in_slow_start, const Settings& s, Time now) {
  if (!in_slow_start && (l.paced_rate == 0 || call.sent > l.paced_rate_cut_at)) {
    const double recent = l.recent_calls.per_second(now, kMinRateWindow);
    l.paced_rate = std::max(min_paced_rate(l, s, now),
                            kPacedRateCut * (l.paced_rate > 0 ? std::min(l.paced_rate, recent) : recent));
    l.paced_rate_cut_at = l.tokens_refilled_at = now;
  }
  l.tokens = 0;
}

void refill_tokens(LimitGroup& l, const Settings& s, Time now) {
  const double passed = seconds(now - std::exchange(l.tokens_refilled_at, now));
  // Growth accelerates while nothing is rejected: limits that were low for a while are high again at once.
  const double quiet = std::max(1.0, seconds(now - l.paced_rate_cut_at) / kPacedRateQuietSeconds);
  l.paced_rate *= 1 + kPacedRateGrowth * passed * quiet;
  if (l.paced_rate > kPacedRateReleaseFactor * min_paced_rate(l, s, now)) l.paced_rate = 0;
  if (near_limit(l,
                 now)) {  // unused quota proves nothing: it grows only for the time in which it delayed calls
    const double delayed = std::clamp((1 - l.tokens) / quota_rate(l, s, now), 0.0, passed);
    l.quota_use *= 1 + (l.quota_use < 1 ? kQuotaUseGrowth : kQuotaUseGrowthAboveOwn) * delayed *
                           std::max(0.0, (l.reported_share_left - kUnrestrictedShareLeft) /
                                             (1 - kUnrestrictedShareLeft));
  }
  if (quota_rate(l, s, now) > l.reported_limit)
    l.quota_use = 0;  // the whole limit would belong to this relay
  double rate = l.paced_rate > 0 ? l.paced_rate : kMaxReportedLimit;
  if (near_limit(l, now)) rate = std::min(rate, quota_rate(l, s, now));
  l.tokens = rate == kMaxReportedLimit
                 ? 1
                 : std::min(l.tokens + rate * passed, std::max(1.0, rate * kMaxBurstSeconds));
}

double overload_bound(double expected) {
  return expected < kFewExpectedCalls ? expected + 3 * std::sqrt(expected) + 3
                                      : expected + 2 * std::sqrt(expected) + 2;
}

double safe_mean(double expected, std::uint32_t relays) {
  const double bound = overload_bound(expected);
  const double deviations = expected < kFewExpectedCalls ? kSafeDeviationsFewCalls : kSafeDeviationsManyCalls;
  // Mean of a Poisson distribution whose mean plus `deviations` standard deviations is `bound`.
  const double half = deviations / 2;
  const double root = std::sqrt(bound + half * half) - half;
  const double one_each = relays <= bound ? relays : 0;  // one call from each never exceeds the bound
  return std::max(root * root, one_each);
}

void refill_slow_start_budget(Host& h, const LimitGroup& l, double own_rate, const Settings& s, Time now) {
  const double passed = seconds(now - std::max(h.slow_start_budget_at, l.server_backoff_until));
  h.slow_start_budget_at = now;
  if (h.slow_start_since && now > *h.slow_start_since + s.slow_start_duration) {
    h.in_slow_start = false;
    return;
  }
  const double progress = h.slow_start_since && s.slow_start_duration > 0us
                              ? seconds(now - *h.slow_start_since) / seconds(s.slow_start_duration)
                              : 0;
  const double share = s.start_capacity + (1 - s.start_capacity) * progress;
  const double host_rate =
      std::max(own_rate, l.reported_limit / s.relays) / static_cast<double>(l.hosts.size());
  const double window = std::max(seconds(s.overload_window), kMinWindowSeconds);
  const double expected = s.overload_factor * share * host_rate * s.relays *
                          window;  // N, if all relays have the same rate as this one
  const double rate = safe_mean(expected, s.relays) / (s.relays * window);
  h.slow_start_budget = std::min(h.slow_start_budget + rate * passed, std::max(1.0, rate * kMaxBurstSeconds));
}

}  // namespace vetchhinge
