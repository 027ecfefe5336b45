// What a turn leaves for the disk, and all that matters for a file that is written anew.
#include "copies/copies.h"

namespace valedrum::copies {

// As things are by now: what has changed twice is written once.
std::string Copies::take_records(Duration wall) {
  std::string all;
  std::set<std::pair<GroupId, std::string>> written;
  for (const ToRecord& r : std::exchange(records_, {})) {
    const auto at = groups_.find(r.group);
    if (r.what == ToRecord::What::drop) {
      all += record_of_dropped(r.group);
    } else if (at == groups_.end()) {
      continue;
    } else if (r.what == ToRecord::What::group) {
      all += record_of(r.group, at->second.head, at->second.group.shape().self);
    } else if (r.what == ToRecord::What::promise) {
      const Group::Durable& d = at->second.group.durable();
      all += record_of(r.group, d.promised, d.owner);
    } else if (written.emplace(r.group, r.item).second) {
      const Item* item = at->second.group.find(r.item);
      all += item ? record_of(r.group, r.item, *item, wall) : record_of_forgotten(r.group, r.item);
    }
  }
  return all;
}

std::string Copies::snapshot(Duration wall, std::uint64_t boot) const {
  std::string all = record_of_format(self_.seat.life, self_.seat.name);
  if (boot != 0) all += record_of_clock(boot, wall);
  for (const auto& [id, held] : groups_) {
    const Group::Durable& d = held.group.durable();
    all += record_of(id, held.head, held.group.shape().self) + record_of(id, d.promised, d.owner);
    for (const auto& [item_id, item] : d.items) all += record_of(id, item_id, item, wall);
  }
  return all;
}

}  // namespace valedrum::copies
