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

// Destinations that have left the list are still destinations, as long as they are among so many: those of a
// rack or a zone may all be replaced, which takes minutes. 64 bytes each (ours).
constexpr std::size_t kMostGone = 65'536;

// Entries looked through in one slice of run_cleanup_slice(): under a millisecond (ours).
constexpr std::size_t kLooked = 1'024;

constexpr std::size_t kChanges = 1'024;  // taken at once: two or three milliseconds (ours)

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
  change.told.kind = kind;
  for (auto& [id, host] : hosts_) {
    if (host.running) change.ran.push_back(id);
    change.named.push_back(id);
    host.running = host.listed = false;  // what a whole list does not name is gone
  }
  catalog::EndpointTable old = std::exchange(list_, std::move(list));
  if (old.size() > 0) replaced_.push_back({std::move(old)});
  if (has_room()) {
    list_.for_each(0, list_.slot_end(), [&](Slot, const Entry& entry) {
      if (kind_of(entry)) awake_.try_emplace(entry.cell);
      tell(entry, change);
    });
  } else {
    std::vector<std::uint64_t> cells;
    for (const auto& [cell, hosts] : awake_) cells.push_back(cell);
    std::ranges::sort(cells);  // not in the order of a hash table: identical lists, identical events
    for (const std::uint64_t cell : cells) tell_all(cell, change);
  }
  finish(std::move(change), events);
}

bool Endpoints::apply_changes(std::int64_t version, const catalog::EndpointTable& changes, bool first,
                              Events& events) {
  if (first) next_change_ = 0;
  Change change;
  change.told.kind = vetchhinge::HostList::Kind::changes;
  next_change_ = changes.for_each(next_change_, kChanges,
                                  [&](Slot, const Entry& changed) { take_change(changed, change); });
  finish(std::move(change), events);
  const bool more = next_change_ < changes.slot_end();
  if (!more) version_ = version;
  return more;
}

void Endpoints::take_change(const Entry& changed, Change& change) {
  Entry entry = changed;
  const auto slot = list_.find(entry.id);
  const std::uint64_t cell = slot ? list_.at(*slot).cell : entry.cell;
  const bool was_usable = slot && kind_of(list_.at(*slot));
  // One that doesn't serve need not name its destination.
  if (entry.state != EndpointState::serving && entry.cell == 0) entry.cell = cell;
  if (entry.state == EndpointState::deleted) {
    list_.erase(entry.id);
  } else if (!list_.put(entry)) {
    return;
  }
  if (was_usable && !list_.has_cell(cell)) gone_.add(cell);

  const bool usable = entry.state != EndpointState::deleted && kind_of(entry);
  if (const auto number = dialect_.hosts.find(entry.id)) {
    const auto known = hosts_.find(HostId(*number));
    const bool moved = known != hosts_.end() && known->second.cell != entry.cell;
    if (known != hosts_.end() && (!usable || moved)) tell_gone(known->first, known->second, change);
  }
  if (!usable) return;
  if (awake_.contains(entry.cell)) {
    tell(entry, change);
  } else if (has_room()) {
    tell_all(entry.cell, change);
  }
}

// What is not named any more, or has moved, or no kind of which is known.
void Endpoints::tell_gone(HostId id, Host& host, Change& change) {
  if (!host.listed) return;
  if (host.running) change.ran.push_back(id);
  change.named.push_back(id);
  host.running = host.listed = false;
  change.told.entries.push_back({id, DestinationId(host.cell),
                                 vetchhinge::ZoneId(dialect_.zones.number(host.zone)), host.kind,
                                 HostState::gone, std::nullopt});
}

// All of a destination, which is awake from now on.
void Endpoints::tell_all(std::uint64_t cell, Change& change) {
  awake_.try_emplace(cell);
  list_.slots_of_cell(cell, slots_);
  for (const Slot slot : slots_) tell(list_.at(slot), change);
}

// One of an awake destination.
void Endpoints::tell(const Entry& entry, Change& change) {
  const auto kind = kind_of(entry);
  if (!kind) return;
  const std::string name(entry.id);
  HostId id = host_id(name);
  if (const auto known = hosts_.find(id); known != hosts_.end() && known->second.cell != entry.cell) {
    // It serves another destination by now. What the module knows under its number belongs to the one before.
    tell_gone(id, known->second, change);
    change.named.push_back(id);
    dialect_.hosts.release_name(static_cast<std::uint32_t>(id));
    id = host_id(name);
    if (journal_.disabled_hosts().contains(name)) change.out_by_hand.push_back(id);
  }
  Host& host = hosts_[id];
  if (host.running) change.ran.push_back(id);
  change.named.push_back(id);
  host.running = entry.state == EndpointState::serving;
  host.listed = true;
  host.address = to_endpoint(entry.address);
  host.cell = entry.cell;
  host.zone = entry.zone;
  host.kind = *kind;
  if (!std::exchange(host.member, true)) awake_[entry.cell].push_back(id);
  vetchhinge::HostEntry told;
  told.host = id;
  told.destination = DestinationId(entry.cell);
  told.zone = vetchhinge::ZoneId(dialect_.zones.number(entry.zone));
  told.kind = *kind;
  told.state = state_of(entry.state);
  if (dialect_.listed_rates) told.rate = entry.weight;
  change.told.entries.push_back(told);
}

void Endpoints::finish(Change change, Events& events) {
  for (const HostId id : change.ran) {
    if (const auto host = hosts_.find(id); host != hosts_.end() && !host->second.running) cancel_unsent(id);
  }
  for (const HostId id : change.named) forget_if_gone(id);
  known_ = known_ || !hosts_.empty() || !has_room();
  events.emplace_back(std::move(change.told));
  for (const HostId id : change.out_by_hand) events.emplace_back(vetchhinge::OperatorHostOverride{id, true});
}

bool Endpoints::run_cleanup_slice() {
  if (replaced_.empty()) return false;
  Replaced& old = replaced_.front();
  if (!old.looked_through) {
    old.next = old.list.for_each(old.next, kLooked, [this](Slot, const Entry& entry) {
      if (kind_of(entry) && !list_.has_cell(entry.cell)) gone_.add(entry.cell);
    });
    old.looked_through = old.next >= old.list.slot_end();
  } else if (old.list.release_memory(kReleaseBytesPerSlice)) {
    replaced_.pop_front();
  }
  return !replaced_.empty();
}

// Whether all destinations may be awake.
bool Endpoints::has_room() const {
  return settings_.max_destinations == 0 || list_.cell_count() <= settings_.max_destinations;
}

// None: the settings don't name it, and nothing is sent to such an endpoint.
std::optional<std::uint32_t> Endpoints::kind_of(const Entry& entry) const {
  const auto kind = dialect_.kinds.find(entry.kind);
  return kind && *kind < settings_.kinds.size() ? kind : std::nullopt;
}

bool Endpoints::serves(const catalog::EndpointTable& list, std::uint64_t cell) const {
  std::vector<Slot> slots;
  list.slots_of_cell(cell, slots);
  return std::ranges::any_of(slots, [&](Slot slot) { return kind_of(list.at(slot)).has_value(); });
}

bool Endpoints::is_destination(std::uint64_t cell) const {
  const auto awake = awake_.find(cell);
  if (awake != awake_.end() && !awake->second.empty()) return true;
  if (gone_.contains(cell) || serves(list_, cell)) return true;
  return std::ranges::any_of(
      replaced_, [&](const Replaced& old) { return !old.looked_through && serves(old.list, cell); });
}

void Endpoints::Gone::add(std::uint64_t cell) {
  if (!cells_.insert(cell).second) return;
  order_.push_back(cell);
  if (order_.size() <= kMostGone) return;
  cells_.erase(order_.front());
  order_.pop_front();
}

// --------------------------------------------------------------------------------- awake destinations

void Endpoints::activate(std::uint64_t cell, Events& events) {
  if (awake_.contains(cell)) return;
  Change change;
  change.told.kind = vetchhinge::HostList::Kind::changes;
  tell_all(cell, change);
  if (!change.told.entries.empty()) finish(std::move(change), events);
}

void Endpoints::activate(HostId id, Events& events) {
  if (const auto slot = list_.find(name(id))) activate(list_.at(*slot).cell, events);
}

void Endpoints::evict(std::uint64_t cell) {
  const auto awake = awake_.extract(cell);
  if (!awake) return;
  for (const HostId id : awake.mapped()) {
    Host& host = hosts_.at(id);
    host.running = host.listed = host.member = false;
    forget_if_gone(id);
  }
}

// Endpoints are replaced for as long as the relay lives: one that is gone, or sleeps, is kept only while a
// call to it is out.
void Endpoints::forget_if_gone(HostId id) {
  const auto found = hosts_.find(id);
  if (found == hosts_.end() || found->second.listed) return;
  client_.close_idle(id);
  if (found->second.attempts_in_flight > 0) return;
  if (found->second.member) std::erase(awake_.at(found->second.cell), id);
  hosts_.erase(found);
  // What is taken out by hand comes back under its number: the module knows the ban by it.
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
  forget_if_gone(id);
}

HostId Endpoints::add_predecessor_call(const std::string& name, std::uint64_t cell, const std::string& zone) {
  const HostId id = host_id(name);
  const auto [host, added] = hosts_.try_emplace(id);
  if (added) {  // gone from the list meanwhile
    host->second.cell = cell;
    host->second.zone = zone;
  }
  ++host->second.attempts_in_flight;
  return id;
}

void Endpoints::cancel_unsent(HostId id) {
  const auto host = hosts_.find(id);
  if (host == hosts_.end()) return;  // it sleeps: nothing is on its way there
  ++host->second.unsent_cancellations;
  client_.cancel_unsent(id);
}

void Endpoints::cancel_unsent_in_limit_group(HostId id) {
  const Host& told = hosts_.at(id);
  cancel_unsent(id);
  const auto awake = awake_.find(told.cell);
  if (settings_.kinds[told.kind].per_host_limits || awake == awake_.end()) return;
  for (const HostId other : awake->second) {
    if (other != id) cancel_unsent(other);
  }
}

}  // namespace myrtlegrade
