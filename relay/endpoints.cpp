#include "endpoints.h"

#include <utility>
#include <vector>

namespace myrtlegrade {

using vetchhinge::HostId;
using vetchhinge::HostState;

Endpoints::Endpoints(vetchhinge::drill::Dialect& dialect, const vetchhinge::Settings& settings,
                     const Journal& journal, HostClient& client)
    : dialect_(dialect), settings_(settings), journal_(journal), client_(client) {}

vetchhinge::HostList Endpoints::take(const ListUpdate& update) {
  vetchhinge::HostList list;
  list.kind = update.full ? vetchhinge::HostList::Kind::whole : vetchhinge::HostList::Kind::changes;
  version_ = update.version;
  std::vector<HostId> were_running, gone;
  for (auto& [id, host] : hosts_) {
    if (host.running) were_running.push_back(id);
    if (update.full) host.running = host.listed = false;  // what a whole list does not name is gone
  }
  for (const ListedHost& listed : update.hosts) {
    const vetchhinge::HostEntry entry = to_entry(listed.host, dialect_);
    list.entries.push_back(entry);
    if (entry.kind >= settings_.kinds.size()) continue;  // as the module does
    Host& host = hosts_[entry.host];
    host.running = entry.state == HostState::running;
    host.listed = entry.state != HostState::gone;
    if (!host.listed) continue;
    destinations_.insert(listed.host.cell);
    host.address = listed.address;
    host.cell = listed.host.cell;
    host.zone = listed.host.zone;
    host.kind = entry.kind;
    host.weight = listed.host.scale;
  }
  for (const HostId id : were_running) {
    if (!hosts_.at(id).running) withhold(id);
  }
  for (const auto& [id, host] : hosts_) {
    if (!host.listed) gone.push_back(id);
  }
  for (const HostId id : gone) forget_if_gone(id);
  known_ = known_ || !hosts_.empty();
  return list;
}

ListUpdate Endpoints::list() const {
  ListUpdate list;
  list.version = version_;
  list.full = true;
  for (const auto& [id, host] : hosts_) {
    if (!host.listed) continue;
    vetchhinge::drill::WireHost listed;
    listed.host = name(id);
    listed.kind = dialect_.kinds.name(host.kind);
    listed.zone = host.zone;
    listed.cell = host.cell;
    listed.state = host.running ? HostState::running : HostState::draining;
    listed.scale = host.weight;
    list.hosts.push_back({std::move(listed), host.address});
  }
  return list;
}

// Hosts are replaced for as long as the relay lives: one that is gone is kept only while a call to it is out.
void Endpoints::forget_if_gone(HostId id) {
  const auto found = hosts_.find(id);
  if (found == hosts_.end() || found->second.listed) return;
  client_.close_idle(id);
  if (found->second.out > 0) return;
  hosts_.erase(found);
  // What is taken out by hand comes back under its number: the module knows the ban by it.
  if (!journal_.banned().contains(name(id))) dialect_.hosts.forget(static_cast<std::uint32_t>(id));
}

bool Endpoints::listed_as(const std::string& name) const {
  const auto number = dialect_.hosts.find(name);
  return number && hosts_.contains(HostId(*number));
}

void Endpoints::forget_name(const std::string& name) {
  const auto number = dialect_.hosts.find(name);
  if (number && !hosts_.contains(HostId(*number))) dialect_.hosts.forget(*number);
}

void Endpoints::call_over(HostId id) {
  --hosts_.at(id).out;
  forget_if_gone(id);
}

HostId Endpoints::call_elsewhere(const std::string& name, std::uint64_t cell, const std::string& zone) {
  const HostId id = number(name);
  const auto [host, added] = hosts_.try_emplace(id);
  if (added) {  // gone from the list meanwhile
    host->second.cell = cell;
    host->second.zone = zone;
  }
  ++host->second.out;
  return id;
}

void Endpoints::withhold(HostId id) {
  ++hosts_.at(id).withheld;
  client_.withhold(id);
}

void Endpoints::withhold_told(HostId id) {
  const Host& told = hosts_.at(id);
  if (settings_.kinds[told.kind].routes_apart) return withhold(id);
  for (const auto& [other, host] : hosts_) {
    if (host.cell == told.cell) withhold(other);
  }
}

}  // namespace myrtlegrade
