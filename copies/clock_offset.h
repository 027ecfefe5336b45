// How far another relay's clock is from this one's, by the words that it sends: the quickest of the last
// seconds tells best. Clocks need not agree and may run apart, so that what was true minutes ago is not
// believed.
#pragma once

#include <algorithm>
#include <chrono>

#include "copies/types.h"

namespace valedrum::copies {

class ClockOffset {
 public:
  // A word came that took so long by both clocks. Returns the least of the last kWindow at least, and of
  // twice that at most.
  Duration add_sample(Time now, Duration took) {
    if (now >= began_ + kWindow) {
      before_ = now < began_ + 2 * kWindow ? least_ : Duration::max();
      least_ = Duration::max();
      began_ = now;
    }
    least_ = std::min(least_, took);
    return std::min(before_, least_);
  }

 private:
  // Clocks that run apart by 500 millionths, as far as time services let them, are 5 ms apart after two.
  static constexpr Duration kWindow = std::chrono::seconds(5);

  Time began_{};
  Duration least_ = Duration::max(), before_ = Duration::max();
};

}  // namespace valedrum::copies
