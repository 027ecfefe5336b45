// Moments that outlast a process.
//
// The steady clock tells spans truly, and starts anew with the machine; the time of day goes on, and may be
// set at any moment. What is kept holds both. Within one run of the machine the steady clock alone counts.
// Over a restart of the machine the time of day is all there is: deadlines go by it, for a wrong one only
// ends work early or tries it late, but what was sent before counts as sent long ago, so that no key's window
// is taken for open.
#pragma once

#include <chrono>
#include <cstdint>

#include "vetchhinge/policy.h"

namespace myrtlegrade {

using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

// The steady clock in the module's unit.
inline vetchhinge::Time steady_time(
    std::chrono::steady_clock::time_point at = std::chrono::steady_clock::now()) {
  return vetchhinge::Time(std::chrono::duration_cast<vetchhinge::Duration>(at.time_since_epoch()));
}

struct Moment {
  WallTime wall{};
  std::uint64_t boot = 0;  // the machine's run that `steady` belongs to; 0: not known
  vetchhinge::Time steady{};
};

// Rounded up: what has to last for a span must not end before it.
inline std::chrono::milliseconds whole_ms(vetchhinge::Duration span) {
  return std::chrono::ceil<std::chrono::milliseconds>(span);
}

Moment read_clocks();

Moment operator+(const Moment& at, vetchhinge::Duration span);

// How long from now; negative: it has passed.
vetchhinge::Duration until(const Moment& at, const Moment& now);

// The same moments on this process's steady clock. What was sent in an earlier run of the machine counts as
// sent long ago; so does what a journal without the machine's run (of an earlier program) says was sent in
// times to come.
vetchhinge::Time due_at(const Moment& at, const Moment& now);
vetchhinge::Time sent_at(const Moment& at, const Moment& now);

}  // namespace myrtlegrade
