// Time budgets of the relay's answers and notices: the bounds that the protocol sets and the delays that the
// relay allows itself within them. docs/budgets.md adds up these delays for each bound, and a test checks
// that no sum exceeds its bound.
#pragma once

#include <chrono>

namespace myrtlegrade::budgets {

using namespace std::chrono_literals;

// --------------------------------------------------------------------------- bounds set by the protocol

// Longest stall of a relay process between any two of its steps.
inline constexpr auto kMaxStall = 150ms;
// From the end of a message's time to its notice.
inline constexpr auto kNoticeDeadline = 300ms;
// Added to every other time limit when it is measured on sockets.
inline constexpr auto kSocketTolerance = 50ms;
// From readiness after a start to the notices of messages that the start found.
inline constexpr auto kStartupNoticeDeadline = 1500ms;
// How long a client waits for its answer.
inline constexpr auto kAnswerTimeout = 400ms;
// From the end of a request's time to its final answer.
inline constexpr auto kFinalAnswerDeadline = 500ms;
// Calls may still be sent for this long after an answer that asked for backoff.
inline constexpr auto kBackoffReactionTime = 100ms;

// ----------------------------------------------------------------------------------- incoming requests

// A request's bytes may wait through one stall for the accept of their connection, and through another for
// the read.
inline constexpr auto kMaxUnreadTime = 2 * kMaxStall;
// The kernel reports arrival times with the resolution of its timer tick, at most 10 ms.
inline constexpr auto kKernelTimerTick = 10ms;

// After the wait for the copies of a message that is not accepted: until other relays know that.
inline constexpr auto kRefusalRecordTimeout = 30ms;

// ---------------------------------------------------------------------------------------------- notices

// Reserved for the transmission of a notice and the platform's answer.
inline constexpr auto kNoticeDeliveryTime = 50ms;
// Tries are spread over at most this long.
inline constexpr auto kNoticeRetryWindow = 250ms;
// Unanswered tries that fit into the window when nothing else takes time.
inline constexpr int kMinNoticeTries = 4;
// The platform's agent runs on the same machine and answers immediately.
inline constexpr auto kMinTryTimeout = 40ms;
// Longest pause between two tries before the deadline.
inline constexpr auto kMaxRetryPause = 8ms;

// One unanswered try and the pause after it.
inline constexpr auto kLostTryTime = kNoticeRetryWindow / kMinNoticeTries + kMaxRetryPause;

// ----------------------------------------------------------------- outcomes that the journal must record

// Interval between writes to a journal directory that fails.
inline constexpr auto kJournalRetryInterval = 60ms;
// A message that is handed back is reported as failed when the journal has not recorded it by then.
inline constexpr auto kHandBackRecordTimeout = 150ms;
// Time kept free before the deadline of a notice: enough for one stall and one lost try.
inline constexpr auto kNoticeReserve = kMaxStall + kLostTryTime + kNoticeDeliveryTime + kKernelTimerTick;

}  // namespace myrtlegrade::budgets
