#include "snapshot.h"

#include <algorithm>

#include "rate_limits.h"

namespace vetchhinge {

LearnedState snapshot(Fleet& fleet, Time now) {
  LearnedState state;
  for (const Host& h : fleet.hosts) {
    if (fleet.find(h.id) != static_cast<std::size_t>(&h - fleet.hosts.data())) continue;  // a free record
    if (h.in_slow_start || h.failure_weight > 0 || h.last_success > Time{}) state.hosts.push_back({h, h.id});
  }
  for (LimitGroup& l : fleet.limit_groups) {
    if (l.hosts.empty()) continue;
    const auto listed = [&](std::size_t h) { return fleet.hosts[h].listed; };
    const auto named = std::ranges::find_if(l.hosts, listed);
    const HostId id = fleet.hosts[named == l.hosts.end() ? l.hosts.front() : *named].id;
    LimitGroupSnapshot group{l, id};
    group.baseline_rate = l.baseline_calls.per_second(now, kMinRateWindow);
    group.arrival_rate = fleet.destinations[l.destination].arrivals.per_second(now, kMinRateWindow);
    for (const auto& sample : l.latencies.samples()) group.latencies.emplace_back(sample.at, sample.value);
    state.limit_groups.push_back(std::move(group));
  }
  return state;
}

std::vector<std::size_t> restore(Fleet& fleet, const LearnedState& state, Time now) {
  std::vector<std::size_t> active;
  for (const HostSnapshot& host : state.hosts) {
    const auto found = fleet.find(host.host);
    if (!found) continue;
    Host& h = fleet.hosts[*found];
    static_cast<HostHealth&>(h) = host;
    h.slow_start_budget_at = now;
  }
  for (const LimitGroupSnapshot& group : state.limit_groups) {
    const auto found = fleet.find(group.host);
    if (!found) continue;
    LimitGroup& l = fleet.limit_groups[fleet.hosts[*found].limit_group];
    static_cast<LimitGroupState&>(l) = group;
    l.tokens_refilled_at = l.evaluated_at = now;
    fleet.destinations[l.destination].last_finished_at = now;
    l.baseline_calls.start_at(now, group.baseline_rate);
    fleet.destinations[l.destination].arrivals.start_at(now, group.arrival_rate);
    for (const auto& [at, value] : group.latencies) l.latencies.add(at, value);
    if (l.impaired()) active.push_back(fleet.hosts[*found].limit_group);
  }
  return active;
}

}  // namespace vetchhinge
