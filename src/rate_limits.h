/// Limits on calls per second where a cap on calls in flight is not enough: this relay's quota share of a
/// reported limit, the paced rate of a limit group after a rejection, and the budget of a host in slow start.
#pragma once

#include "records.h"

namespace vetchhinge {

constexpr Duration kMinRateWindow = std::chrono::seconds(2);  // shortest time over which a rate is computed

/// Records the limit reported in a response. Values that cannot be a limit are ignored.
void record_limit_report(LimitGroup& l, const LimitReport& report, Time sent, Time now);

/// Returns whether little of a reported limit was left recently. From then on the part of the quota that is
/// used grows with the share that is left.
bool near_limit(const LimitGroup& l, Time now);

/// After a rejection: restricts the relay to its quota share, whatever share of the limit was reported as
/// left. The report is some tenths of a second old, and a small bucket empties in less.
void limit_to_quota(LimitGroup& l, Time sent, Time now);

/// Returns the calls per second that this relay may make near the limit. The demand of the other relays is
/// unknown, so this is an even share, or the share that the relay usually used plus some room, so that a few
/// relays with much more traffic keep theirs. While nothing is left, all relays together stay below the
/// limit: some destinations count rejected calls against it and accept nothing until the calls of all fall
/// below it.
double quota_rate(LimitGroup& l, const Settings& s, Time now);

/// Reduces the paced rate after a rejection, once for calls that were in flight together.
void cut_paced_rate(LimitGroup& l, const Call& call, bool in_slow_start, const Settings& s, Time now);

/// Refills the tokens of the limit group and raises its paced rate and quota use again.
void refill_tokens(LimitGroup& l, const Settings& s, Time now);

/// Returns the most calls that a host in slow start handles within Settings::overload_window, where
/// `expected` (N) is the expected number: N + 2 sqrt(N) + 2, and N + 3 sqrt(N) + 3 below 30 calls
/// (STANDING.md).
double overload_bound(double expected);

/// Returns the mean number of calls that all relays together may make in that time so that random variation
/// rarely exceeds overload_bound(); the relays choose their times independently. About 0.8 for N = 0, 2.4 for
/// N = 0.7 and N + 4 for N = 20.
double safe_mean(double expected, std::uint32_t relays);

/// Refills the slow start budget of a host from the calls that it accepted before the outage. Its usual rate
/// is below its capacity, so the initial share of that rate, growing to the whole during slow start, stays
/// below the capacity at that time; so does an even share of a reported limit. Each relay uses its part of
/// safe_mean() as if all had the same rate: safe_mean() grows ever more slowly with N, so the sum stays below
/// safe_mean() of the sum, however unevenly the relays call. The budget does not grow during a server
/// backoff, which ends for all relays at once.
void refill_slow_start_budget(Host& h, const LimitGroup& l, double own_rate, const Settings& s, Time now);

}  // namespace vetchhinge
