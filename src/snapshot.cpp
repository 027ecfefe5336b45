#include "snapshot.h"

#include <algorithm>

#include "rate_limits.h"

namespace vetchhinge {

namespace {

// Returns whether the record at this index is in use: its destination may have been evicted meanwhile, and
// the destination's record reused.
bool is_in_use(const Fleet& fleet, std::size_t group) {
  const Destination& d = fleet.destinations[fleet.limit_groups[group].destination];
  return std::ranges::find(d.limit_groups, group) != d.limit_groups.end();
}

std::optional<HostId> listed_host(const Fleet& fleet, const LimitGroup& group) {
  const auto listed = [&](std::size_t h) { return fleet.hosts[h].listed; };
  const auto found = std::ranges::find_if(group.hosts, listed);
  return found == group.hosts.end() ? std::nullopt : std::optional(fleet.hosts[*found].id);
}

// Returns the group that the snapshot describes, if it still exists here.
std::optional<std::size_t> find_group(const Fleet& fleet, const LimitGroupSnapshot& group) {
  if (!group.host) {
    const auto destination = fleet.find(group.destination);
    if (!destination || fleet.destinations[*destination].limit_groups.empty()) return std::nullopt;
    return fleet.destinations[*destination].limit_groups.front();
  }
  const auto host = fleet.find(*group.host);
  return host ? std::optional(fleet.hosts[*host].limit_group) : std::nullopt;
}

}  // namespace

LearnedState snapshot(Fleet& fleet, const std::vector<KindSettings>& kinds, Time now) {
  LearnedState state;
  for (const Host& h : fleet.hosts) {
    if (fleet.find(h.id) != static_cast<std::size_t>(&h - fleet.hosts.data())) continue;  // a free record
    if (!h.listed) continue;
    if (h.in_slow_start || h.failure_weight > 0 || h.last_success > Time{}) state.hosts.push_back({h, h.id});
  }
  for (std::size_t at = 0; at < fleet.limit_groups.size(); ++at) {
    if (!is_in_use(fleet, at)) continue;
    LimitGroup& l = fleet.limit_groups[at];
    Destination& d = fleet.destinations[l.destination];
    const std::optional<HostId> host = listed_host(fleet, l);
    if (!host && kinds[d.kind].per_host_limits) continue;  // the limit of a host that is gone
    LimitGroupSnapshot group{l, d.id, host};
    group.baseline_rate = l.baseline_calls.per_second(now, kMinRateWindow);
    group.arrival_rate = d.arrivals.per_second(now, kMinRateWindow);
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
    const auto found = find_group(fleet, group);
    if (!found) continue;
    LimitGroup& l = fleet.limit_groups[*found];
    static_cast<LimitGroupState&>(l) = group;
    l.tokens_refilled_at = l.evaluated_at = now;
    fleet.destinations[l.destination].last_finished_at = now;
    l.baseline_calls.start_at(now, group.baseline_rate);
    fleet.destinations[l.destination].arrivals.start_at(now, group.arrival_rate);
    for (const auto& [at, value] : group.latencies) l.latencies.add(at, value);
    if (l.impaired()) active.push_back(*found);
  }
  return active;
}

}  // namespace vetchhinge
