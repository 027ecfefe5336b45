#include "watch_deadline.h"

namespace myrtlegrade {

void WatchDeadline::on_bytes(Time now, std::size_t bytes, bool ended) {
  unfinished_ += bytes;
  if (ended) last_complete_at_ = now;
  if (!ended && unfinished_ < kProgressBytes) return;
  unfinished_ = 0;
  deadline_ = now + kSilenceTimeout;
}

std::int64_t ListVersionFilter::begin_watch() {
  requested_full_list_ = behind_since_.has_value();
  return requested_full_list_ ? 0 : held_;
}

bool ListVersionFilter::accept(Time now, std::int64_t version) {
  if (version >= held_ || requested_full_list_) {
    held_ = version;
    behind_since_.reset();
    requested_full_list_ = false;
    return true;
  }
  if (!behind_since_) behind_since_ = now;
  return false;
}

}  // namespace myrtlegrade
