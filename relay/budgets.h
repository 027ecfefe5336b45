// How long each thing that the relay owes may wait on its way. docs/budgets.md adds these lengths up beside
// the pages' bounds, and a test fails where a sum is over its bound.
#pragma once

#include <chrono>

namespace myrtlegrade::budgets {

using namespace std::chrono_literals;

// ------------------------------------------------------------------------------- what the pages say

inline constexpr auto kHoldUp = 150ms;      // STANDING: of a relay, between any two of its steps
inline constexpr auto kNoticeOwed = 300ms;  // PROTOCOL: from the end of a message's time to its notice
inline constexpr auto kSlack = 50ms;        // PROTOCOL: every other time limit is so much longer on sockets
inline constexpr auto kStartOwed = 1500ms;  // PROTOCOL: the same, of what a start finds, from its being ready
inline constexpr auto kAnswerOwed = 400ms;  // PROTOCOL: a client waits so long for its answer
inline constexpr auto kAnswerLate = 500ms;  // STANDING: from the end of a request's time to its final answer
inline constexpr auto kToldTooLate = 100ms;  // PROTOCOL: calls let through after an answer that told a wait

// ------------------------------------------------------------------------------------ a request's way in

// A request's bytes may wait for its connection's accept, and again for their read.
inline constexpr auto kUnread = 2 * kHoldUp;
// What the kernel tells of their arrival is exact to a tick of its timer, 10 ms at the coarsest.
inline constexpr auto kKernelTick = 10ms;

// ---------------------------------------------------------------------------------------- notices

inline constexpr auto kNoticeWay = 50ms;     // left for a notice's way and the platform's answer
inline constexpr auto kNoticePaced = 250ms;  // tries are spread over so long at most
inline constexpr int kNoticeTries = 4;       // that get no answer, at least, where nothing else takes time
inline constexpr auto kShortestTry = 40ms;   // the agent is on this machine and answers at once
inline constexpr auto kLongestPause = 8ms;   // between two tries, in time

// One try that gets no answer, and the pause behind it.
inline constexpr auto kLostTry = kNoticePaced / kNoticeTries + kLongestPause;

// ------------------------------------------------------------------------------- ends that must be written

inline constexpr auto kJournalRetry = 60ms;  // of a folder that fails
// What is handed back is told as failed where the journal does not take it by then.
inline constexpr auto kHandedBackWithin = 150ms;
// It waits no longer than this before its notice is owed: a hold-up and a lost try have their time.
inline constexpr auto kKeptForNotice = kHoldUp + kLostTry + kNoticeWay + kKernelTick;

}  // namespace myrtlegrade::budgets
