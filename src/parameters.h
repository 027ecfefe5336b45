// The tuned values of the decision module. "post" marks a value of the Backpressure post, "ours" the
// project's own.
#pragma once

#include <cstddef>
#include <cstdint>

#include "vetchhinge/policy.h"

namespace vetchhinge {

using namespace std::chrono_literals;

// Admission and hold
inline constexpr double kRoom = 0.96;      // share of max_open used; beyond it the door shuts blindly (ours)
inline constexpr double kHoldShare = 0.4;  // most of that room for one destination's hold (ours)
inline constexpr std::size_t kHoldLeast = 4;  // a hold is never bounded under this many messages (ours)
inline constexpr double kWaitShare =
    0.5;  // refuse when the wait would take this share of the time left (ours)
inline constexpr double kHintSpread = 0.5;  // wait hints are spread by this share, both ways (ours)
inline constexpr double kOutHint =
    0.4;  // hint where all hosts are out by hand, share of the time left (ours)
inline constexpr Duration kHintLeast =
    300ms;  // least wait hint (ours; the post's 15 s would outlast the work)
inline constexpr Duration kUsualMemory = 20s;   // memory of the usual rate of a destination (ours)
inline constexpr Duration kTenantMemory = 10s;  // memory of the tenants' shares (ours)
inline constexpr double kTenantSlack = 1.15;  // a tenant counts as over its share above this multiple (ours)

// Dispatch
inline constexpr int kTimeForUntried =
    2;  // expected latencies: with less time left it is not put first any more (ours)
inline constexpr double kGatherShare = 0.06;  // share of the aim that a batch may wait to fill (ours)
inline constexpr double kGuessShare = 0.2;  // latency taken for a destination never seen, share of aim (ours)
inline constexpr double kTimeoutP95 = 4.0;  // time-out, multiple of p95 (ours)
inline constexpr double kTimeoutAim = 1.0;  // and at least this share of the aim (ours)
inline constexpr double kTimeoutOnce = 2.0;   // multiple of that for work that may not be repeated (ours)
inline constexpr double kTimeoutShort = 0.6;  // multiple of it where no slot is left (ours)
inline constexpr double kWindowShare = 0.6;   // time-out of keyed work, most of the key's window (ours)
inline constexpr double kFewRelays = 4.0;     // so few relays may all keep idle connections to a host (ours)
inline constexpr double kThriftyFor =
    4.0;  // time that hosts keep them, multiple: so long a full table counts (ours)
inline constexpr double kKeepLatencies =
    12.0;  // else kept where calls come within this multiple of latency (ours)
inline constexpr double kBatchWeight =
    0.1;  // weight of each further message in a call on a cold budget (ours)

// Outcomes and health
inline constexpr int kOpenAfter = 4;  // weight of failures in a row that opens a host's circuit (ours)
inline constexpr int kFailed = 2;     // weight of one (ours)
inline constexpr int kBroken = 1;     // and of a call that broke: connections break by chance too (ours)
inline constexpr Duration kProbeFirst = 500ms;    // pause of an open circuit (ours)
inline constexpr double kProbeJitter = 0.9;       // spread of these pauses, both ways (ours)
inline constexpr double kStallP95 = 3.0;          // a call out for this multiple of p95 is overdue (ours)
inline constexpr double kStallAim = 0.3;          // and at least this share of the aim (ours)
inline constexpr Duration kWaitMargin = 2ms;      // told waits are rounded to whole milliseconds (ours)
inline constexpr double kBackoffShare = 0.25;     // first pause, share of own usual time between calls (ours)
inline constexpr Duration kBackoffLeast = 250ms;  // and at least so long; at most one aim (ours)
inline constexpr double kToldShare = 0.5;         // of such a pause, after a told wait (ours)
inline constexpr double kBackoffJitter = 0.5;     // spread of these pauses, both ways (ours)
inline constexpr double kTurnShare = 0.5;    // near a limit: most, share of the time between own calls (ours)
inline constexpr int kTurnMost = 4;          // and multiple of the aim (ours)
inline constexpr int kBackoffDoublings = 3;  // how often it doubles (ours)
inline constexpr int kShutRefusals = 3;  // refusals in a row, over kShutSpan, that count as an outage (ours)
inline constexpr int kSeldomRefusals = 2;      // the same where fewer than one call comes in kShutSpan (ours)
inline constexpr Duration kShutSpan = 2500ms;  // see above; longer than a limit's usual span (ours)
inline constexpr double kJitter = 0.25;        // spread of pauses, both ways (ours)
inline constexpr double kArrivalShare =
    0.7;  // of what arrives, where few calls have been accepted yet (ours)
inline constexpr double kOwnLeast =
    3.0;  // calls a second of all relays; an own rate is at least its part (ours)
inline constexpr double kAgainShare =
    0.4;  // of such a pause, rest of a message after a failed attempt (ours)
inline constexpr Duration kWindowMargin = 100ms;  // a key's window is held to end so much earlier (ours)

// Expiry, timers
inline constexpr Duration kExpiryMargin = 15ms;  // final failure so long before the deadline (ours)
inline constexpr Duration kHeartbeat = 20ms;  // between looks at waits and budgets while work is held (ours)

// Calls
inline constexpr std::uint64_t kEarlierCall = 1ULL << 63;  // marks those that an earlier process numbered

}  // namespace vetchhinge
