#include "fleet.h"

#include <algorithm>
#include <utility>

namespace vetchhinge {
namespace {

// Stores a record at the free index, or appends it. Returns its index.
template <typename Record>
std::size_t store(std::vector<Record>& records, std::optional<std::size_t> index, Record record) {
  if (!index) {
    records.push_back(std::move(record));
    return records.size() - 1;
  }
  records[*index] = std::move(record);
  return *index;
}

std::optional<std::size_t> take_last(std::vector<std::size_t>& free) {
  if (free.empty()) return std::nullopt;
  const std::size_t index = free.back();
  free.pop_back();
  return index;
}

std::optional<std::size_t> take_highest(std::priority_queue<std::size_t>& free) {
  if (free.empty()) return std::nullopt;
  const std::size_t index = free.top();
  free.pop();
  return index;
}

}  // namespace

std::optional<std::size_t> Fleet::find(HostId id) const {
  const auto found = host_index_.find(id);
  if (found == host_index_.end()) return std::nullopt;
  return found->second;
}

std::optional<std::size_t> Fleet::find(DestinationId id) const {
  const auto found = destination_index_.find(id);
  if (found == destination_index_.end()) return std::nullopt;
  return found->second;
}

std::size_t Fleet::destination_for(DestinationId id, const RateMeter& arrivals) {
  const auto [at, added] = destination_index_.try_emplace(id, 0);
  if (added) at->second = store(destinations, take_last(free_destinations_), Destination(id, arrivals));
  return at->second;
}

void Fleet::add_group(std::size_t destination, const LimitGroup& fresh) {
  Destination& d = destinations[destination];
  d.limit_groups.push_back(store(limit_groups, take_highest(free_groups_), fresh));
  limit_groups[d.limit_groups.back()].destination = destination;
}

std::size_t Fleet::add(const HostEntry& entry, std::size_t destination, bool own_group,
                       const LimitGroup& fresh) {
  Destination& d = destinations[destination];
  if (d.limit_groups.empty() || own_group) add_group(destination, fresh);
  Host h;
  h.id = entry.host;
  h.zone = entry.zone;
  h.limit_group = d.limit_groups.back();
  const std::size_t index = store(hosts, take_last(free_hosts_), std::move(h));
  limit_groups[d.limit_groups.back()].hosts.push_back(index);
  host_index_.emplace(entry.host, index);
  removal_candidates_.push_back(index);  // not listed yet
  return index;
}

void Fleet::update_state(std::size_t host, HostState state) {
  hosts[host].listed = state != HostState::gone;
  hosts[host].running = state == HostState::running;
  if (!hosts[host].listed) removal_candidates_.push_back(host);
}

void Fleet::mark_all_unlisted() {
  removal_candidates_.clear();
  for (std::size_t h = 0; h < hosts.size(); ++h) {
    hosts[h].running = hosts[h].listed = false;
    removal_candidates_.push_back(h);
  }
}

std::vector<std::size_t> Fleet::remove_gone(const std::vector<KindSettings>& kinds) {
  std::vector<std::size_t> gone;
  std::ranges::sort(removal_candidates_);  // identical events must lead to identical actions
  std::erase_if(removal_candidates_, [&](std::size_t index) {
    const Host& h = hosts[index];
    if (h.listed || find(h.id) != index) return true;
    if (h.in_flight > 0) return false;
    gone.push_back(index);
    host_index_.erase(h.id);
    idle.erase({h.last_end, index});
    LimitGroup& group = limit_groups[h.limit_group];
    std::erase(group.hosts, index);
    if (group.hosts.empty() && std::exchange(group.active, false)) std::erase(active, h.limit_group);
    Destination& d = destinations[group.destination];
    if (group.hosts.empty() && kinds[d.kind].per_host_limits) {
      std::erase(d.limit_groups, h.limit_group);
      free_groups_.push(h.limit_group);
    }
    return true;
  });
  free_hosts_.insert(free_hosts_.end(), gone.begin(), gone.end());
  return gone;
}

void Fleet::evict(std::size_t destination) {
  Destination& d = destinations[destination];
  for (const std::size_t l : d.limit_groups) {
    for (const std::size_t h : limit_groups[l].hosts) {
      host_index_.erase(hosts[h].id);
      idle.erase({hosts[h].last_end, h});
      hosts[h] = Host{};
      free_hosts_.push_back(h);
    }
    limit_groups[l].hosts = {};
    limit_groups[l].latencies = RecentSamples(0, {});
    free_groups_.push(l);
  }
  destination_index_.erase(d.id);
  d.limit_groups = {};
  d.queue = {};
  free_destinations_.push_back(destination);
}

void Fleet::call_ended(std::size_t host, bool connection_kept, Time now) {
  Host& h = hosts[host];
  idle.erase({h.last_end, host});
  h.idle_connections = idle_connections(h, now) + (connection_kept ? 1 : 0);
  h.last_end = now;
  if (h.idle_connections > 0) idle.emplace(now, host);
}

void Fleet::drop_expired_idle(Time now) {
  while (!idle.empty() && idle.begin()->first + connection_idle_ <= now) idle.erase(idle.begin());
}

}  // namespace vetchhinge
