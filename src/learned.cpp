#include "learned.h"

#include <algorithm>

#include "ramp.h"

namespace vetchhinge {

Learned learned(Fleet& fleet, Time now) {
  Learned all;
  for (const Host& h : fleet.hosts) {
    if (fleet.find(h.id) != static_cast<std::size_t>(&h - fleet.hosts.data())) continue;  // a free place
    if (h.cold || h.failures > 0 || h.last_success > Time{}) all.hosts.push_back({h, h.id});
  }
  for (Lane& l : fleet.lanes) {
    if (l.hosts.empty()) continue;
    const auto listed = [&](std::size_t h) { return fleet.hosts[h].listed; };
    const auto named = std::ranges::find_if(l.hosts, listed);
    const HostId id = fleet.hosts[named == l.hosts.end() ? l.hosts.front() : *named].id;
    LaneLearned lane{l, id};
    lane.usual_rate = l.usual_calls.per_second(now, kRateLeast);
    lane.arrivals = fleet.destinations[l.destination].arrivals.per_second(now, kRateLeast);
    for (const auto& sample : l.latencies.samples()) lane.latencies.emplace_back(sample.at, sample.value);
    all.lanes.push_back(std::move(lane));
  }
  return all;
}

std::vector<std::size_t> take_up(Fleet& fleet, const Learned& learned, Time now) {
  std::vector<std::size_t> active;
  for (const HostLearned& host : learned.hosts) {
    const auto found = fleet.find(host.host);
    if (!found) continue;
    Host& h = fleet.hosts[*found];
    static_cast<HostMemory&>(h) = host;
    h.budget_at = now;
  }
  for (const LaneLearned& lane : learned.lanes) {
    const auto found = fleet.find(lane.host);
    if (!found) continue;
    Lane& l = fleet.lanes[fleet.hosts[*found].lane];
    static_cast<LaneMemory&>(l) = lane;
    l.pace_at = l.judged_at = now;
    fleet.destinations[l.destination].worked_at = now;
    l.usual_calls.start_at(now, lane.usual_rate);
    fleet.destinations[l.destination].arrivals.start_at(now, lane.arrivals);
    for (const auto& [at, value] : lane.latencies) l.latencies.add(at, value);
    if (l.poor()) active.push_back(fleet.hosts[*found].lane);
  }
  return active;
}

}  // namespace vetchhinge
