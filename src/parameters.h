/// Tuning constants of the decision module.
#pragma once

#include <cstddef>
#include <cstdint>

#include "vetchhinge/policy.h"

namespace vetchhinge {

using namespace std::chrono_literals;

// Admission and queues
// Share of max_open that is used: beyond max_open the caller refuses messages whatever they are worth.
inline constexpr double kMaxOpenShare = 0.96;
// Longest queue of one destination, as a share of that number, and the length that is always allowed.
inline constexpr double kMaxQueueShare = 0.4;
inline constexpr std::size_t kMinQueueBound = 4;
// A message is refused if its wait would take more than this share of the time that is left to it.
inline constexpr double kMaxWaitShare = 0.5;
inline constexpr double kWaitHintJitter = 0.5;  // relative, both ways
// Wait hint while an operator has disabled all hosts, as a share of the time left.
inline constexpr double kDisabledWaitHintShare = 0.4;
inline constexpr Duration kMinWaitHint = 300ms;  // a hint of 15 s would outlast the messages
inline constexpr Duration kBaselineRateMemory = 20s;
inline constexpr Duration kTenantRateMemory = 10s;
inline constexpr double kTenantOverShareFactor = 1.15;  // above this multiple a tenant is over its share

// Dispatch
// A recovered message that was never tried loses its precedence with less time left than this multiple of the
// expected latency.
inline constexpr int kUntriedMinLatencies = 2;
inline constexpr double kBatchWaitShare = 0.06;      // share of the aim for which a batch may wait to fill
inline constexpr double kDefaultLatencyShare = 0.2;  // latency of an unknown destination, share of the aim
inline constexpr double kTimeoutP95Factor = 4.0;     // timeout, multiple of p95
inline constexpr double kTimeoutAimShare = 1.0;      // and at least this share of the aim
inline constexpr double kTimeoutAtMostOnceFactor = 2.0;  // longer for work that must not be repeated
inline constexpr double kTimeoutLastSlotFactor = 0.6;    // shorter while no slot is free
inline constexpr double kMaxTimeoutWindowShare = 0.6;    // longest timeout of keyed work, share of its window
inline constexpr double kFewRelays = 4.0;  // up to this number all relays may keep idle connections to a host
// Connections are conserved for this multiple of the time that hosts keep idle connections: for so long a
// full connection table matters.
inline constexpr double kConserveConnectionsFactor = 4.0;
// While connections are conserved they are kept where calls follow within this multiple of the latency.
inline constexpr double kKeepConnectionLatencies = 12.0;
// Part of a host's slow start budget that each further message of a call uses.
inline constexpr double kBatchedMessageBudget = 0.1;

// Outcomes and health
inline constexpr int kCircuitOpenWeight = 4;  // weight of consecutive failures that opens a host's circuit
inline constexpr int kFailureWeight = 2;
inline constexpr int kBrokenConnectionWeight = 1;      // less: connections also break by chance
inline constexpr Duration kProbePause = 500ms;         // pause of an open circuit
inline constexpr double kProbeJitter = 0.9;            // relative, both ways
inline constexpr double kOverdueP95Factor = 3.0;       // a call in flight for this multiple of p95 is overdue
inline constexpr double kOverdueAimShare = 0.3;        // and at least this share of the aim
inline constexpr Duration kServerBackoffMargin = 2ms;  // requested waits are rounded to whole milliseconds
inline constexpr double kBackoffIntervalShare = 0.25;  // first backoff, share of the time between own calls
inline constexpr Duration kMinBackoff = 250ms;         // the longest is one aim
inline constexpr double kBackoffShareAfterWait = 0.5;  // share of that backoff after a requested wait
inline constexpr double kBackoffJitter = 0.5;          // relative, both ways
inline constexpr double kQuotaPauseShare = 0.5;        // near a limit: share of the time between own calls
inline constexpr int kMaxQuotaPauseAims = 4;           // and at most this multiple of the aim
inline constexpr int kMaxBackoffDoublings = 3;
// Consecutive rejections over kOutageRejectionSpan that count as an outage, and the same where fewer than one
// call is made in that time. It is longer than the usual period of a rate limit.
inline constexpr int kOutageRejections = 3;
inline constexpr int kOutageRejectionsRareCalls = 2;
inline constexpr Duration kOutageRejectionSpan = 2500ms;
inline constexpr double kPauseJitter = 0.25;  // relative, both ways
// Share of the arrival rate that is used where few calls have been accepted yet.
inline constexpr double kArrivalRateShare = 0.7;
// Calls per second of all relays together; the rate of one relay counts as at least its part of this.
inline constexpr double kMinTotalRate = 3.0;
// Pause of a message after a failed attempt, share of a backoff.
inline constexpr double kRetryPauseShare = 0.4;
inline constexpr Duration kWindowMargin = 100ms;  // a key's window counts as ended this much earlier

// Expiry, timers
inline constexpr Duration kExpiryMargin = 15ms;  // the final failure is reported this early
inline constexpr Duration kQueuedPollInterval =
    20ms;  // between checks of pauses and budgets with work queued

// Calls
inline constexpr std::uint64_t kPredecessorCallFlag = 1ULL << 63;  // in call numbers of previous processes

}  // namespace vetchhinge
