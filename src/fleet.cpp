#include "fleet.h"

#include <algorithm>
#include <utility>

namespace vetchhinge {
namespace {

// In the place that is free, or a new one.
template <typename Record>
std::size_t put(std::vector<Record>& records, std::optional<std::size_t> place, Record record) {
  if (!place) {
    records.push_back(std::move(record));
    return records.size() - 1;
  }
  records[*place] = std::move(record);
  return *place;
}

std::optional<std::size_t> last_of(std::vector<std::size_t>& free) {
  if (free.empty()) return std::nullopt;
  const std::size_t place = free.back();
  free.pop_back();
  return place;
}

std::optional<std::size_t> highest_of(std::priority_queue<std::size_t>& free) {
  if (free.empty()) return std::nullopt;
  const std::size_t place = free.top();
  free.pop();
  return place;
}

}  // namespace

std::optional<std::size_t> Fleet::find(HostId id) const {
  const auto found = host_index_.find(id);
  if (found == host_index_.end()) return std::nullopt;
  return found->second;
}

std::size_t Fleet::destination_for(DestinationId id, const RateMeter& arrivals) {
  const auto [at, added] = destination_index_.try_emplace(id, 0);
  if (added) at->second = put(destinations, last_of(free_destinations_), Destination(id, arrivals));
  return at->second;
}

std::size_t Fleet::add(const HostEntry& entry, std::size_t destination, bool own_lane, const Lane& fresh) {
  Destination& d = destinations[destination];
  if (d.lanes.empty() || own_lane) {
    d.lanes.push_back(put(lanes, highest_of(free_lanes_), fresh));
    lanes[d.lanes.back()].destination = destination;
  }
  Host h;
  h.id = entry.host;
  h.zone = entry.zone;
  h.lane = d.lanes.back();
  const std::size_t place = put(hosts, last_of(free_hosts_), std::move(h));
  lanes[d.lanes.back()].hosts.push_back(place);
  host_index_.emplace(entry.host, place);
  unsettled_.push_back(place);  // not listed yet
  return place;
}

void Fleet::told(std::size_t host, HostState state) {
  hosts[host].listed = state != HostState::gone;
  hosts[host].running = state == HostState::running;
  if (!hosts[host].listed) unsettled_.push_back(host);
}

void Fleet::none_told() {
  unsettled_.clear();
  for (std::size_t h = 0; h < hosts.size(); ++h) {
    hosts[h].running = hosts[h].listed = false;
    unsettled_.push_back(h);
  }
}

std::vector<std::size_t> Fleet::forget_gone(const std::vector<KindSettings>& kinds) {
  std::vector<std::size_t> gone;
  std::ranges::sort(unsettled_);  // identical events must lead to identical actions
  std::erase_if(unsettled_, [&](std::size_t place) {
    const Host& h = hosts[place];
    if (h.listed || find(h.id) != place) return true;
    if (h.in_flight > 0) return false;
    gone.push_back(place);
    host_index_.erase(h.id);
    idle.erase({h.last_end, place});
    Lane& lane = lanes[h.lane];
    std::erase(lane.hosts, place);
    if (lane.hosts.empty() && std::exchange(lane.active, false)) std::erase(active, h.lane);
    Destination& d = destinations[lane.destination];
    if (lane.hosts.empty() && kinds[d.kind].per_host_limits) {
      std::erase(d.lanes, h.lane);
      free_lanes_.push(h.lane);
    }
    return true;
  });
  free_hosts_.insert(free_hosts_.end(), gone.begin(), gone.end());
  return gone;
}

void Fleet::put_away(std::size_t destination) {
  Destination& d = destinations[destination];
  for (const std::size_t l : d.lanes) {
    for (const std::size_t h : lanes[l].hosts) {
      host_index_.erase(hosts[h].id);
      idle.erase({hosts[h].last_end, h});
      hosts[h] = Host{};
      free_hosts_.push_back(h);
    }
    lanes[l].hosts = {};
    lanes[l].latencies = RecentSamples(0, {});
    free_lanes_.push(l);
  }
  destination_index_.erase(d.id);
  d.lanes = {};
  d.hold = {};
  free_destinations_.push_back(destination);
}

void Fleet::call_ended(std::size_t host, bool connection_kept, Time now) {
  Host& h = hosts[host];
  idle.erase({h.last_end, host});
  h.idle_connections = idle_connections(h, now) + (connection_kept ? 1 : 0);
  h.last_end = now;
  if (h.idle_connections > 0) idle.emplace(now, host);
}

void Fleet::drop_lapsed(Time now) {
  while (!idle.empty() && idle.begin()->first + connection_idle_ <= now) idle.erase(idle.begin());
}

}  // namespace vetchhinge
