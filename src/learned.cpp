#include "learned.h"

#include <algorithm>

#include "ramp.h"

namespace vetchhinge {

Learned learned(Fleet& fleet, Time now) {
  Learned all;
  for (const Host& h : fleet.hosts) {
    if (fleet.find(h.id) != static_cast<std::size_t>(&h - fleet.hosts.data())) continue;  // a free place
    HostLearned host{h.id, h.cold, h.warm_since, h.failures, h.retry_at, h.last_success, h.budget};
    if (h.cold || h.failures > 0 || h.last_success > Time{}) all.hosts.push_back(host);
  }
  for (Lane& l : fleet.lanes) {
    if (l.hosts.empty()) continue;
    LaneLearned lane;
    const auto listed = [&](std::size_t h) { return fleet.hosts[h].listed; };
    const auto named = std::ranges::find_if(l.hosts, listed);
    lane.host = fleet.hosts[named == l.hosts.end() ? l.hosts.front() : *named].id;
    lane.cap = l.cap;
    lane.slow = l.slow;
    lane.failing = l.failing;
    lane.failures = l.failures;
    lane.refusals = l.refusals;
    lane.refused_since = l.refused_since;
    lane.wait_until = l.wait_until;
    lane.pause_until = l.pause_until;
    lane.pace = l.pace;
    lane.pace_cut_at = l.pace_cut_at;
    lane.usual_p95 = l.usual_p95;
    lane.usual_before = l.usual_before;
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
    h.cold = host.cold;
    h.warm_since = host.warm_since;
    h.failures = host.failures;
    h.retry_at = host.retry_at;
    h.last_success = host.last_success;
    h.budget = host.budget;
    h.budget_at = now;
  }
  for (const LaneLearned& lane : learned.lanes) {
    const auto found = fleet.find(lane.host);
    if (!found) continue;
    Lane& l = fleet.lanes[fleet.hosts[*found].lane];
    l.cap = lane.cap;
    l.slow = lane.slow;
    l.failing = lane.failing;
    l.failures = lane.failures;
    l.refusals = lane.refusals;
    l.refused_since = lane.refused_since;
    l.wait_until = lane.wait_until;
    l.pause_until = lane.pause_until;
    l.pace = lane.pace;
    l.pace_cut_at = lane.pace_cut_at;
    l.pace_at = l.judged_at = now;
    l.usual_p95 = lane.usual_p95;
    l.usual_before = lane.usual_before;
    l.usual_calls.start_at(now, lane.usual_rate);
    fleet.destinations[l.destination].arrivals.start_at(now, lane.arrivals);
    for (const auto& [at, value] : lane.latencies) l.latencies.add(at, value);
    if (l.poor()) active.push_back(fleet.hosts[*found].lane);
  }
  return active;
}

}  // namespace vetchhinge
