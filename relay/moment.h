// Moments that outlast a process.
//
// The steady clock tells spans truly, and starts anew with the machine; the time of day goes on, and may be
// set while nobody looks. What is kept holds both, and counts by the one that says more time has passed:
// work then ends too early where the other was right, and never takes effect twice.
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

Moment read_clocks();

Moment operator+(const Moment& at, vetchhinge::Duration span);

// How long from now; negative: it has passed.
vetchhinge::Duration until(const Moment& at, const Moment& now);

// The same moments on this process's steady clock. Something cannot have been sent in times to come: the
// clock was set back since, nothing tells how far, and it counts as long ago.
vetchhinge::Time due_at(const Moment& at, const Moment& now);
vetchhinge::Time sent_at(const Moment& at, const Moment& now);

}  // namespace myrtlegrade
