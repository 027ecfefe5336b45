// Estimates the offset between the clock of another relay and the local one from the messages that it sends:
// the smallest observed difference of the last seconds has the least transit delay in it. The clocks need not
// agree and may drift, so samples expire.
#pragma once

#include <algorithm>
#include <chrono>

#include "copies/types.h"

namespace valedrum::copies {

class ClockOffset {
 public:
  // Adds a sample, the difference between local receipt time and remote send time. Returns the minimum over
  // at least the last kWindow and at most the last 2 * kWindow.
  Duration add_sample(Time now, Duration difference) {
    if (now >= window_start_ + kWindow) {
      previous_minimum_ = now < window_start_ + 2 * kWindow ? current_minimum_ : Duration::max();
      current_minimum_ = Duration::max();
      window_start_ = now;
    }
    current_minimum_ = std::min(current_minimum_, difference);
    return std::min(previous_minimum_, current_minimum_);
  }

 private:
  // Two windows limit the error from drift to 5 ms: time services let clocks drift by up to 500 ppm.
  static constexpr Duration kWindow = std::chrono::seconds(5);

  Time window_start_{};
  Duration current_minimum_ = Duration::max(), previous_minimum_ = Duration::max();
};

}  // namespace valedrum::copies
