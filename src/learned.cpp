#include "learned.h"

#include <algorithm>

#include "ramp.h"

namespace vetchhinge {

LearnedState learned(Fleet& fleet, Time now) {
  LearnedState all;
  for (const Host& h : fleet.hosts) {
    if (fleet.find(h.id) != static_cast<std::size_t>(&h - fleet.hosts.data())) continue;  // a free place
    if (h.in_slow_start || h.failure_weight > 0 || h.last_success > Time{}) all.hosts.push_back({h, h.id});
  }
  for (Lane& l : fleet.lanes) {
    if (l.hosts.empty()) continue;
    const auto listed = [&](std::size_t h) { return fleet.hosts[h].listed; };
    const auto named = std::ranges::find_if(l.hosts, listed);
    const HostId id = fleet.hosts[named == l.hosts.end() ? l.hosts.front() : *named].id;
    LimitGroupSnapshot lane{l, id};
    lane.baseline_rate = l.usual_calls.per_second(now, kRateLeast);
    lane.arrival_rate = fleet.destinations[l.destination].arrivals.per_second(now, kRateLeast);
    for (const auto& sample : l.latencies.samples()) lane.latencies.emplace_back(sample.at, sample.value);
    all.limit_groups.push_back(std::move(lane));
  }
  return all;
}

std::vector<std::size_t> take_up(Fleet& fleet, const LearnedState& learned, Time now) {
  std::vector<std::size_t> active;
  for (const HostSnapshot& host : learned.hosts) {
    const auto found = fleet.find(host.host);
    if (!found) continue;
    Host& h = fleet.hosts[*found];
    static_cast<HostHealth&>(h) = host;
    h.budget_at = now;
  }
  for (const LimitGroupSnapshot& lane : learned.limit_groups) {
    const auto found = fleet.find(lane.host);
    if (!found) continue;
    Lane& l = fleet.lanes[fleet.hosts[*found].lane];
    static_cast<LimitGroupState&>(l) = lane;
    l.pace_at = l.judged_at = now;
    fleet.destinations[l.destination].worked_at = now;
    l.usual_calls.start_at(now, lane.baseline_rate);
    fleet.destinations[l.destination].arrivals.start_at(now, lane.arrival_rate);
    for (const auto& [at, value] : lane.latencies) l.latencies.add(at, value);
    if (l.poor()) active.push_back(fleet.hosts[*found].lane);
  }
  return active;
}

}  // namespace vetchhinge
