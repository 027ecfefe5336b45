// Persistence of Copies: the records of one turn, and the snapshot for a rewritten file.
#include "copies/copies.h"

namespace valedrum::copies {

// Writes the current state of each changed item once, however often it changed in the turn.
std::string Copies::take_records(Duration wall_offset) {
  std::string records;
  std::set<std::pair<GroupId, std::string>> written;
  for (const PendingRecord& pending : std::exchange(pending_records_, {})) {
    const auto at = groups_.find(pending.group);
    if (pending.what == PendingRecord::What::drop) {
      records += drop_record(pending.group);
    } else if (at == groups_.end()) {
      continue;
    } else if (pending.what == PendingRecord::What::group) {
      records += group_record(pending.group, at->second.config, at->second.group.role().index);
    } else if (pending.what == PendingRecord::What::promise) {
      const Group::DurableState& durable = at->second.group.durable();
      records += promise_record(pending.group, durable.promised_epoch, durable.owner);
    } else if (written.emplace(pending.group, pending.item).second) {
      const Item* item = at->second.group.find(pending.item);
      records += item ? item_record(pending.group, pending.item, *item, wall_offset)
                      : forget_item_record(pending.group, pending.item);
    }
  }
  return records;
}

std::string Copies::snapshot(Duration wall_offset, std::uint64_t boot) const {
  std::string records = format_record(self_.identity.storage_id, self_.identity.name);
  if (boot != 0) records += clock_record(boot, wall_offset);
  for (const auto& [id, joined] : groups_) {
    const Group::DurableState& durable = joined.group.durable();
    records += group_record(id, joined.config, joined.group.role().index) +
               promise_record(id, durable.promised_epoch, durable.owner);
    for (const auto& [item_id, item] : durable.items) records += item_record(id, item_id, item, wall_offset);
  }
  return records;
}

}  // namespace valedrum::copies
