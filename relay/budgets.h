// How long each thing that the relay owes may wait on its way, by the pages' figures. docs/budgets.md adds
// them up, and a test checks the sums.
#pragma once

#include <chrono>

namespace myrtlegrade::budgets {

using namespace std::chrono_literals;

// STANDING: a relay may be held up for so long at any one point.
inline constexpr auto kHoldUp = 150ms;
// A request's bytes may wait for its connection's accept, and again for their read.
inline constexpr auto kUnread = 2 * kHoldUp;

}  // namespace myrtlegrade::budgets
