#include "copies/ends.h"

#include <algorithm>

namespace valedrum::copies {

void Ends::update(const std::string& id, const Item* item) {
  if (!item) told_.erase(id);
  const bool waits = item && item->live() && !told_.contains(id);
  const auto known = times_.find(id);
  if (known != times_.end()) {
    if (waits && known->second == item->until) return;
    by_time_.erase({known->second, id});
    times_.erase(known);
  }
  if (!waits) return;
  times_.emplace(id, item->until);
  by_time_.emplace(item->until, id);
}

Time Ends::next(Time silent_from) const {
  if (by_time_.empty()) return Time::max();
  const Time first = by_time_.begin()->first;
  return std::clamp(silent_from, first, first + kLeftToOwner);
}

std::string Ends::pop_first() {
  std::string id = std::move(by_time_.extract(by_time_.begin()).value().second);
  times_.erase(id);
  told_.insert(id);
  return id;
}

}  // namespace valedrum::copies
