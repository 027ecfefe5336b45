#include "copies/expiry_queue.h"

#include <algorithm>

namespace valedrum::copies {

void ExpiryQueue::update(const std::string& id, const Item* item) {
  if (!item) told_.erase(id);
  const bool waits = item && item->live() && !told_.contains(id);
  const auto known = times_.find(id);
  if (known != times_.end()) {
    if (waits && known->second == item->deadline) return;
    by_time_.erase({known->second, id});
    times_.erase(known);
  }
  if (!waits) return;
  times_.emplace(id, item->deadline);
  by_time_.emplace(item->deadline, id);
}

Time ExpiryQueue::next(Time silent_from) const {
  if (by_time_.empty()) return Time::max();
  const Time first = by_time_.begin()->first;
  return std::clamp(silent_from, first, first + kOwnerGracePeriod);
}

std::string ExpiryQueue::pop_first() {
  std::string id = std::move(by_time_.extract(by_time_.begin()).value().second);
  times_.erase(id);
  told_.insert(id);
  return id;
}

}  // namespace valedrum::copies
