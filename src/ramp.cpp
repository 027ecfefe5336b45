#include "ramp.h"

#include <algorithm>
#include <cmath>

#include "spans.h"

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

constexpr double kPaceCut = 0.8;        // factor on the pace at a refusal (ours)
constexpr double kPaceGrowth = 0.1;     // growth of a pace in a second (ours)
constexpr double kPaceQuiet = 1.0;      // seconds without a refusal: from then on it grows ever faster (ours)
constexpr double kPaceLeast = 1.0;      // calls a second; a pace never goes under this (ours)
constexpr double kPaceLeastAll = 10.0;  // nor under its part of this, from all relays together (ours)
constexpr double kPaceRoom = 1.3;       // a pace never goes under this multiple of the usual rate (ours)
constexpr double kPaceFree = 3.0;       // multiple of that least pace above which a pace is dropped (ours)
constexpr double kLimitLeast = 1.0;     // calls a second; what is told under this can't be a limit (ours)
constexpr double kLimitMost = 1e6;      // nor above this (ours)
constexpr Duration kToldFor = 10s;      // so long what an answer told of it counts (ours)
constexpr double kFreeLeft = 0.5;       // share left of a limit from which on calls go freely (ours)
constexpr double kPartNone = 0.6;     // of its part of the limit that a relay uses while none is left (ours)
constexpr double kPartGrowth = 2.0;   // and more of it for each share left (ours)
constexpr double kPartRise = 1.0;     // growth of that in a second while all is left (ours)
constexpr double kPartBeyond = 0.25;  // the same above its part, which others may want (ours)
constexpr double kPartCut = 0.5;      // factor on what is used above its part when little is left (ours)
constexpr double kPartRoom = 1.4;     // a relay's part, multiple of the share that it usually uses (ours)
constexpr double kBurstSpan = 0.3;    // seconds of a cold host's budget that may be saved up (ours)
constexpr double kFewCalls = 30;      // expected calls under which the rule leaves more slack (the rule's)
// Standard deviations between the mean of all relays' calls and the most that is borne (ours).
constexpr double kSurelyFew = 2.5;
constexpr double kSurelyMany = 2.0;
constexpr double kShortestWindow = 0.02;  // seconds; the budget is looked at no more often (ours)

}  // namespace

void take_part(Lane& l, double most, Time sent, Time now) {
  if (l.part > 0 && (l.part <= most || sent <= l.part_cut_at)) return;
  l.part = std::max(most, kPartCut * l.part);
  l.part_cut_at = now;
}

void keep_to_part(Lane& l, Time sent, Time now) { take_part(l, 1, sent, now); }

void heed_report(Lane& l, const LimitReport& report, Time sent, Time now) {
  const double limit = report.calls_per_second;
  if (!(limit >= kLimitLeast && limit <= kLimitMost && report.share_left >= 0)) return;  // also where NaN
  l.told_limit = limit;
  l.share_left = report.share_left;
  l.told_at = now;
  if (l.share_left < kFreeLeft) take_part(l, kPartNone + kPartGrowth * l.share_left, sent, now);
}

bool near_limit(const Lane& l, Time now) { return l.part > 0 && now < l.told_at + kToldFor; }

double part_of_limit(Lane& l, const Settings& s, Time now) {
  const double even = 1.0 / s.relays;
  const double own = kPartRoom * l.usual_share.per_second(now, kRateLeast);
  return l.told_limit * std::max(even, own) * l.part;
}

double pace_floor(Lane& l, const Settings& s, Time now) {
  return std::max(std::min(kPaceLeast, kPaceLeastAll / s.relays),
                  kPaceRoom * l.usual_calls.per_second(now, kRateLeast));
}

void cut_pace(Lane& l, const Call& call, bool cold, const Settings& s, Time now) {
  if (!cold && (l.paced_rate == 0 || call.sent > l.paced_rate_cut_at)) {
    const double recent = l.recent_calls.per_second(now, kRateLeast);
    l.paced_rate = std::max(pace_floor(l, s, now),
                            kPaceCut * (l.paced_rate > 0 ? std::min(l.paced_rate, recent) : recent));
    l.paced_rate_cut_at = l.pace_at = now;
  }
  l.pace_budget = 0;
}

void refill_pace(Lane& l, const Settings& s, Time now) {
  const double passed = seconds(now - std::exchange(l.pace_at, now));
  // The longer nothing was refused, the faster: limits that were low for a while are high again at once.
  const double quiet = std::max(1.0, seconds(now - l.paced_rate_cut_at) / kPaceQuiet);
  l.paced_rate *= 1 + kPaceGrowth * passed * quiet;
  if (l.paced_rate > kPaceFree * pace_floor(l, s, now)) l.paced_rate = 0;
  if (near_limit(l, now)) {  // what isn't used proves nothing: it grows for as long as it held calls back
    const double held = std::clamp((1 - l.pace_budget) / part_of_limit(l, s, now), 0.0, passed);
    l.part *= 1 + (l.part < 1 ? kPartRise : kPartBeyond) * held *
                      std::max(0.0, (l.share_left - kFreeLeft) / (1 - kFreeLeft));
  }
  if (part_of_limit(l, s, now) > l.told_limit) l.part = 0;  // all of it would be its own
  double rate = l.paced_rate > 0 ? l.paced_rate : kLimitMost;
  if (near_limit(l, now)) rate = std::min(rate, part_of_limit(l, s, now));
  l.pace_budget =
      rate == kLimitMost ? 1 : std::min(l.pace_budget + rate * passed, std::max(1.0, rate * kBurstSpan));
}

double most_borne(double expected) {
  return expected < kFewCalls ? expected + 3 * std::sqrt(expected) + 3
                              : expected + 2 * std::sqrt(expected) + 2;
}

double surely_borne(double expected, std::uint32_t relays) {
  const double most = most_borne(expected);
  const double deviations = expected < kFewCalls ? kSurelyFew : kSurelyMany;
  // The mean of a Poisson distribution that reaches `most` so many of its standard deviations above it.
  const double half = deviations / 2;
  const double root = std::sqrt(most + half * half) - half;
  const double one_each = relays <= most ? relays : 0;  // one call of each is borne for certain
  return std::max(root * root, one_each);
}

void refill_budget(Host& h, const Lane& l, double own_rate, const Settings& s, Time now) {
  const double passed = seconds(now - std::max(h.budget_at, l.server_backoff_until));
  h.budget_at = now;
  if (h.slow_start_since && now > *h.slow_start_since + s.slow_start_duration) {
    h.in_slow_start = false;
    return;
  }
  const double warmed = h.slow_start_since && s.slow_start_duration > 0us
                            ? seconds(now - *h.slow_start_since) / seconds(s.slow_start_duration)
                            : 0;
  const double share = s.start_capacity + (1 - s.start_capacity) * warmed;
  const double part = std::max(own_rate, l.told_limit / s.relays) / static_cast<double>(l.hosts.size());
  const double window = std::max(seconds(s.overload_window), kShortestWindow);
  const double expected =
      s.overload_factor * share * part * s.relays * window;  // N, if all have as much as this one
  const double rate = surely_borne(expected, s.relays) / (s.relays * window);
  h.slow_start_budget = std::min(h.slow_start_budget + rate * passed, std::max(1.0, rate * kBurstSpan));
}

}  // namespace vetchhinge
