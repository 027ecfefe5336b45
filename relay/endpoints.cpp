#include "endpoints.h"

#include <algorithm>
#include <utility>

#include "slices.h"

namespace myrtlegrade {

namespace catalog = valedrum::catalog;
using catalog::EndpointState;
using catalog::Entry;
using catalog::Slot;
using vetchhinge::DestinationId;
using vetchhinge::HostId;
using vetchhinge::HostState;

namespace {

// How many destinations that left the list are still accepted as destinations: all endpoints of a rack or a
// zone may be replaced at once, which takes minutes. Each takes 64 bytes.
constexpr std::size_t kMaxRecentlyGone = 65'536;

// Entries scanned in one call of run_cleanup_slice(), which takes less than a millisecond.
constexpr std::size_t kEntriesPerSlice = 1'024;

// Changes applied in one call of apply_changes(), which takes two or three milliseconds.
constexpr std::size_t kChangesPerPart = 1'024;

HostState state_of(EndpointState state) {
  switch (state) {
    case EndpointState::serving:
      return HostState::running;
    case EndpointState::draining:
      return HostState::draining;
    default:
      return HostState::gone;
  }
}

}  // namespace

Endpoints::Endpoints(vetchhinge::drill::Dialect& dialect, const vetchhinge::Settings& settings,
                     const Journal& journal, HostClient& client)
    : dialect_(dialect), settings_(settings), journal_(journal), client_(client) {}

// ------------------------------------------------------------------------------------------- the list

void Endpoints::replace_list(std::int64_t version, catalog::EndpointTable list,
                             vetchhinge::HostList::Kind kind, Events& events) {
  version_ = version;
  Change change;
  change.update.kind = kind;
  for (auto& [id, host] : hosts_) {
    if (host.running) change.were_running.push_back(id);
    change.affected.push_back(id);
    host.running = host.listed = false;  // an endpoint that a full list omits is gone
  }
  catalog::EndpointTable old = std::exchange(list_, std::move(list));
  if (old.size() > 0) replaced_lists_.push_back({std::move(old)});
  if (all_fit()) {
    list_.for_each(0, list_.slot_end(), [&](Slot, const Entry& entry) {
      if (kind_of(entry)) active_.try_emplace(entry.cell);
      add_entry(entry, change);
    });
  } else {
    std::vector<std::uint64_t> cells;
    for (const auto& [cell, hosts] : active_) cells.push_back(cell);
    std::ranges::sort(cells);  // identical lists must give identical events, whatever the hash order
    for (const std::uint64_t cell : cells) add_entries_of(cell, change);
  }
  finish(std::move(change), events);
}

bool Endpoints::apply_changes(std::int64_t version, const catalog::EndpointTable& changes, bool first,
                              Events& events) {
  if (first) next_change_ = 0;
  Change change;
  change.update.kind = vetchhinge::HostList::Kind::changes;
  next_change_ = changes.for_each(next_change_, kChangesPerPart,
                                  [&](Slot, const Entry& changed) { apply_change(changed, change); });
  finish(std::move(change), events);
  const bool more = next_change_ < changes.slot_end();
  if (!more) version_ = version;
  return more;
}

void Endpoints::apply_change(const Entry& changed, Change& change) {
  Entry entry = changed;
  const auto slot = list_.find(entry.id);
  const std::uint64_t cell = slot ? list_.at(*slot).cell : entry.cell;
  const bool was_usable = slot && kind_of(list_.at(*slot));
  // The entry of an endpoint that is not serving need not name its destination.
  if (entry.state != EndpointState::serving && entry.cell == 0) entry.cell = cell;
  if (entry.state == EndpointState::deleted) {
    list_.erase(entry.id);
  } else if (!list_.put(entry)) {
    return;
  }
  if (was_usable && !list_.has_cell(cell)) recently_gone_.add(cell);

  const bool usable = entry.state != EndpointState::deleted && kind_of(entry);
  if (const auto number = dialect_.hosts.find(entry.id)) {
    const auto known = hosts_.find(HostId(*number));
    const bool moved = known != hosts_.end() && known->second.cell != entry.cell;
    if (known != hosts_.end() && (!usable || moved)) add_gone_entry(known->first, known->second, change);
  }
  if (!usable) return;
  if (active_.contains(entry.cell)) {
    add_entry(entry, change);
  } else if (all_fit()) {
    add_entries_of(entry.cell, change);
  }
}

// Adds the removal of an endpoint that is no longer listed, has moved, or is of an unknown kind.
void Endpoints::add_gone_entry(HostId id, Host& host, Change& change) {
  if (!host.listed) return;
  if (host.running) change.were_running.push_back(id);
  change.affected.push_back(id);
  host.running = host.listed = false;
  change.update.entries.push_back({id, DestinationId(host.cell),
                                   vetchhinge::ZoneId(dialect_.zones.number(host.zone)), host.kind,
                                   HostState::gone, std::nullopt});
}

// Makes a destination active and adds all its endpoints.
void Endpoints::add_entries_of(std::uint64_t cell, Change& change) {
  active_.try_emplace(cell);
  list_.slots_of_cell(cell, scratch_slots_);
  for (const Slot slot : scratch_slots_) add_entry(list_.at(slot), change);
}

// Adds an endpoint of an active destination.
void Endpoints::add_entry(const Entry& entry, Change& change) {
  const auto kind = kind_of(entry);
  if (!kind) return;
  const std::string name(entry.id);
  HostId id = host_id(name);
  if (const auto known = hosts_.find(id); known != hosts_.end() && known->second.cell != entry.cell) {
    // It serves another destination now. The module's state under its old id belongs to the previous one.
    add_gone_entry(id, known->second, change);
    change.affected.push_back(id);
    dialect_.hosts.release_name(static_cast<std::uint32_t>(id));
    id = host_id(name);
    if (journal_.disabled_hosts().contains(name)) change.disabled_by_operator.push_back(id);
  }
  Host& host = hosts_[id];
  if (host.running) change.were_running.push_back(id);
  change.affected.push_back(id);
  host.running = entry.state == EndpointState::serving;
  host.listed = true;
  host.address = to_endpoint(entry.address);
  host.cell = entry.cell;
  host.zone = entry.zone;
  host.kind = *kind;
  if (!std::exchange(host.in_active_list, true)) active_[entry.cell].push_back(id);
  vetchhinge::HostEntry listed;
  listed.host = id;
  listed.destination = DestinationId(entry.cell);
  listed.zone = vetchhinge::ZoneId(dialect_.zones.number(entry.zone));
  listed.kind = *kind;
  listed.state = state_of(entry.state);
  if (dialect_.listed_rates) listed.rate = entry.weight;
  change.update.entries.push_back(listed);
}

void Endpoints::finish(Change change, Events& events) {
  for (const HostId id : change.were_running) {
    if (const auto host = hosts_.find(id); host != hosts_.end() && !host->second.running) cancel_unsent(id);
  }
  for (const HostId id : change.affected) remove_if_unused(id);
  has_seen_endpoints_ = has_seen_endpoints_ || !hosts_.empty() || !all_fit();
  events.emplace_back(std::move(change.update));
  for (const HostId id : change.disabled_by_operator)
    events.emplace_back(vetchhinge::OperatorHostOverride{id, true});
}

bool Endpoints::run_cleanup_slice() {
  if (replaced_lists_.empty()) return false;
  ReplacedList& old = replaced_lists_.front();
  if (!old.scanned) {
    old.next = old.list.for_each(old.next, kEntriesPerSlice, [this](Slot, const Entry& entry) {
      if (kind_of(entry) && !list_.has_cell(entry.cell)) recently_gone_.add(entry.cell);
    });
    old.scanned = old.next >= old.list.slot_end();
  } else if (old.list.release_memory(kReleaseBytesPerSlice)) {
    replaced_lists_.pop_front();
  }
  return !replaced_lists_.empty();
}

// Returns whether the list is short enough for all destinations to be active.
bool Endpoints::all_fit() const {
  return settings_.max_destinations == 0 || list_.cell_count() <= settings_.max_destinations;
}

// Returns nothing for a kind that the settings do not name; nothing is sent to such an endpoint.
std::optional<std::uint32_t> Endpoints::kind_of(const Entry& entry) const {
  const auto kind = dialect_.kinds.find(entry.kind);
  return kind && *kind < settings_.kinds.size() ? kind : std::nullopt;
}

bool Endpoints::has_usable_endpoint(const catalog::EndpointTable& list, std::uint64_t cell) const {
  std::vector<Slot> slots;
  list.slots_of_cell(cell, slots);
  return std::ranges::any_of(slots, [&](Slot slot) { return kind_of(list.at(slot)).has_value(); });
}

bool Endpoints::is_destination(std::uint64_t cell) const {
  const auto active = active_.find(cell);
  if (active != active_.end() && !active->second.empty()) return true;
  if (recently_gone_.contains(cell) || has_usable_endpoint(list_, cell)) return true;
  return std::ranges::any_of(replaced_lists_, [&](const ReplacedList& old) {
    return !old.scanned && has_usable_endpoint(old.list, cell);
  });
}

void Endpoints::RecentlyGone::add(std::uint64_t cell) {
  if (!cells_.insert(cell).second) return;
  order_.push_back(cell);
  if (order_.size() <= kMaxRecentlyGone) return;
  cells_.erase(order_.front());
  order_.pop_front();
}

// --------------------------------------------------------------------------------- active destinations

void Endpoints::activate(std::uint64_t cell, Events& events) {
  if (active_.contains(cell)) return;
  Change change;
  change.update.kind = vetchhinge::HostList::Kind::changes;
  add_entries_of(cell, change);
  if (!change.update.entries.empty()) finish(std::move(change), events);
}

void Endpoints::activate(HostId id, Events& events) {
  if (const auto slot = list_.find(name(id))) activate(list_.at(*slot).cell, events);
}

void Endpoints::activate_gone(std::uint64_t cell, Events& events) {
  if (!list_.has_cell(cell)) recently_gone_.add(cell);
  activate(cell, events);
}

void Endpoints::evict(std::uint64_t cell) {
  const auto active = active_.extract(cell);
  if (!active) return;
  for (const HostId id : active.mapped()) {
    Host& host = hosts_.at(id);
    host.running = host.listed = host.in_active_list = false;
    remove_if_unused(id);
  }
}

// Endpoints are replaced throughout the relay's lifetime: the record of one that is gone or inactive is kept
// only while a call to it is in flight.
void Endpoints::remove_if_unused(HostId id) {
  const auto found = hosts_.find(id);
  if (found == hosts_.end() || found->second.listed) return;
  client_.close_idle(id);
  if (found->second.attempts_in_flight > 0) return;
  if (found->second.in_active_list) std::erase(active_.at(found->second.cell), id);
  hosts_.erase(found);
  // An endpoint disabled by the operator keeps its id: the module's override refers to it.
  if (journal_.disabled_hosts().contains(name(id)) &&
      dialect_.hosts.find(name(id)) == static_cast<std::uint32_t>(id))
    return;
  dialect_.hosts.forget(static_cast<std::uint32_t>(id));
}

// ----------------------------------------------------------------------------------- single endpoints

bool Endpoints::is_known(const std::string& name) const {
  const auto number = dialect_.hosts.find(name);
  if (number && hosts_.contains(HostId(*number))) return true;
  const auto slot = list_.find(name);
  return slot && kind_of(list_.at(*slot));
}

void Endpoints::release_name(const std::string& name) {
  const auto number = dialect_.hosts.find(name);
  if (number && !hosts_.contains(HostId(*number))) dialect_.hosts.forget(*number);
}

void Endpoints::on_call_ended(HostId id) {
  --hosts_.at(id).attempts_in_flight;
  remove_if_unused(id);
}

// An endpoint that serves another destination now keeps its id there: calls that it got for the previous one
// belong to an id of their own.
HostId Endpoints::id_for_predecessor_call(const std::string& name, std::uint64_t cell) {
  const HostId current = host_id(name);
  const auto known = hosts_.find(current);
  if (known == hosts_.end() || known->second.cell == cell) return current;
  const auto previous = std::ranges::find_if(hosts_, [&](const auto& entry) {
    return !entry.second.listed && entry.second.cell == cell && this->name(entry.first) == name;
  });
  return previous == hosts_.end() ? HostId{dialect_.hosts.detached_number(name)} : previous->first;
}

HostId Endpoints::add_predecessor_call(const std::string& name, std::uint64_t cell, const std::string& zone) {
  const HostId id = id_for_predecessor_call(name, cell);
  const auto [host, added] = hosts_.try_emplace(id);
  if (added) {  // it has left the list meanwhile
    host->second.cell = cell;
    host->second.zone = zone;
  }
  ++host->second.attempts_in_flight;
  return id;
}

void Endpoints::cancel_unsent(HostId id) {
  const auto host = hosts_.find(id);
  if (host == hosts_.end()) return;  // inactive: no call to it is in flight
  ++host->second.unsent_cancellations;
  client_.cancel_unsent(id);
}

void Endpoints::cancel_unsent_in_limit_group(HostId id) {
  const Host& host = hosts_.at(id);
  cancel_unsent(id);
  const auto active = active_.find(host.cell);
  if (settings_.kinds[host.kind].per_host_limits || active == active_.end()) return;
  for (const HostId other : active->second) {
    if (other != id) cancel_unsent(other);
  }
}

}  // namespace myrtlegrade
