/// The limit on calls in flight (cap) of a limit group: its initial value, and when it is reduced or raised.
#pragma once

#include <cstdint>

#include "records.h"

namespace vetchhinge {

constexpr Duration kControlInterval = std::chrono::milliseconds(500);  // between two evaluations of a cap

/// Returns the initial cap of a limit group.
int initial_cap(std::uint32_t slots);

/// Returns the number of calls that all impaired limit groups together may have in flight.
int impaired_cap(std::uint32_t slots);

/// Returns an empty set of samples with the bounds used for latencies.
RecentSamples latency_window();

/// Returns the p95 of the latency, or its baseline if that is longer, in seconds.
double latency_p95(const LimitGroup& l);

/// Returns whether the failures since the last evaluation are frequent enough to count as an outage.
bool mostly_failing(const LimitGroup& l);

/// Evaluates the calls since the last evaluation: halves the cap on errors, reduces it when calls are slow
/// and raises it when they are healthy.
void adjust_cap(LimitGroup& l, Time now, std::uint32_t slots);

}  // namespace vetchhinge
