// Timestamps that remain valid across a restart of the process.
//
// The steady clock measures durations exactly, but restarts with the machine. The wall clock continues, but
// may be adjusted at any time. A Timestamp therefore holds both. Within one boot of the machine only the
// steady clock counts. After a reboot only the wall clock is left: deadlines follow it, since an error there
// merely ends work early or tries it late. Sends from before the reboot count as long past instead, so that
// the retry window of a key is not taken to be open.
#pragma once

#include <chrono>
#include <cstdint>

#include "vetchhinge/policy.h"

namespace myrtlegrade {

using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::microseconds>;

// Returns the steady time in the unit of the decision module.
inline vetchhinge::Time steady_time(
    std::chrono::steady_clock::time_point at = std::chrono::steady_clock::now()) {
  return vetchhinge::Time(std::chrono::duration_cast<vetchhinge::Duration>(at.time_since_epoch()));
}

struct Timestamp {
  WallTime wall{};
  std::uint64_t boot = 0;  // id of the boot that `steady` belongs to; 0: unknown
  vetchhinge::Time steady{};
};

// Rounds up to whole milliseconds, so that a wait never ends before the duration has passed.
inline std::chrono::milliseconds whole_ms(vetchhinge::Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

// Returns the current time of both clocks.
Timestamp read_clocks();

Timestamp operator+(const Timestamp& at, vetchhinge::Duration duration);

// Returns the duration from `now` until `at`; negative if `at` has passed.
vetchhinge::Duration until(const Timestamp& at, const Timestamp& now);

// Converts the timestamp of a deadline to the steady clock of this process.
vetchhinge::Time due_at(const Timestamp& at, const Timestamp& now);

// Converts the timestamp of a send to the steady clock of this process. A send of an earlier boot counts as
// long past; so does one that lies in the future according to a journal without boot ids, which an older
// version of the program wrote.
vetchhinge::Time sent_at(const Timestamp& at, const Timestamp& now);

}  // namespace myrtlegrade
