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
      all += drop_record(r.group);
    } else if (at == groups_.end()) {
      continue;
    } else if (r.what == ToRecord::What::group) {
      all += group_record(r.group, at->second.head, at->second.group.shape().index);
    } else if (r.what == ToRecord::What::promise) {
      const Group::DurableState& d = at->second.group.durable();
      all += promise_record(r.group, d.promised_epoch, d.owner);
    } else if (written.emplace(r.group, r.item).second) {
      const Item* item = at->second.group.find(r.item);
      all += item ? item_record(r.group, r.item, *item, wall) : forget_item_record(r.group, r.item);
    }
  }
  return all;
}

std::string Copies::snapshot(Duration wall, std::uint64_t boot) const {
  std::string all = format_record(self_.identity.storage_id, self_.identity.name);
  if (boot != 0) all += clock_record(boot, wall);
  for (const auto& [id, held] : groups_) {
    const Group::DurableState& d = held.group.durable();
    all +=
        group_record(id, held.head, held.group.shape().index) + promise_record(id, d.promised_epoch, d.owner);
    for (const auto& [item_id, item] : d.items) all += item_record(id, item_id, item, wall);
  }
  return all;
}

}  // namespace valedrum::copies
