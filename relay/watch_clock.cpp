#include "watch_clock.h"

namespace myrtlegrade {

void WatchClock::came(Time now, std::size_t bytes, bool ended) {
  unfinished_ += bytes;
  if (ended) heard_ = now;
  if (!ended && unfinished_ < kProgress) return;
  unfinished_ = 0;
  deadline_ = now + kSilentFor;
}

std::int64_t ListVersions::open() {
  anew_ = behind_.has_value();
  return anew_ ? 0 : held_;
}

bool ListVersions::take(Time now, std::int64_t version) {
  if (version >= held_ || anew_) {
    held_ = version;
    behind_.reset();
    anew_ = false;
    return true;
  }
  if (!behind_) behind_ = now;
  return false;
}

}  // namespace myrtlegrade
