#include "copies/expiry_queue.h"

#include <algorithm>

namespace valedrum::copies {

void ExpiryQueue::update(const std::string& id, const Item* item) {
  if (!item) popped_.erase(id);
  const bool pending = item && item->live() && !popped_.contains(id);
  const auto known = deadlines_.find(id);
  if (known != deadlines_.end()) {
    if (pending && known->second == item->deadline) return;
    by_deadline_.erase({known->second, id});
    deadlines_.erase(known);
  }
  if (!pending) return;
  deadlines_.emplace(id, item->deadline);
  by_deadline_.emplace(item->deadline, id);
}

Time ExpiryQueue::next(Time owner_silent_from) const {
  if (by_deadline_.empty()) return Time::max();
  const Time first = by_deadline_.begin()->first;
  return std::clamp(owner_silent_from, first, first + kOwnerGracePeriod);
}

std::string ExpiryQueue::pop_first() {
  std::string id = std::move(by_deadline_.extract(by_deadline_.begin()).value().second);
  deadlines_.erase(id);
  popped_.insert(id);
  return id;
}

}  // namespace valedrum::copies
