#include "working_set.h"

#include <algorithm>

#include "cap.h"
#include "rate_limits.h"

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

constexpr Duration kMinRest = 60s;  // a rate's memory of one call decays to a twentieth in this time
// At rest, after which learned caps, p95 and quotas are dropped.
constexpr Duration kLearnedStateMaxAge = 10min;
constexpr std::size_t kChecksPerTick = 500;  // destinations that cannot be evicted use some of them too

// No call is in flight and nothing is pending, and the last failure or rejection was followed by a success:
// none of these end merely by waiting.
bool host_at_rest(const Host& h, const Fleet& fleet, const Settings& s, Time now) {
  const bool full_capacity =
      !h.in_slow_start || (h.slow_start_since && now > *h.slow_start_since + s.slow_start_duration);
  return h.usable() && h.in_flight == 0 && h.failure_weight == 0 && full_capacity &&
         fleet.idle_connections(h, now) == 0;
}

bool group_at_rest(const LimitGroup& l, const Settings& s, Time now) {
  if (l.active || l.in_flight > 0 || l.failure_weight > 0 || l.consecutive_rejections > 0) return false;
  if (std::max({l.server_backoff_until, l.local_backoff_until, l.conserve_connections_until}) > now ||
      near_limit(l, now))
    return false;
  const double used =
      std::max(l.baseline_calls.remaining(now), l.baseline_quota_use.remaining(now) * l.reported_limit);
  if (std::max(used, l.recent_calls.remaining(now)) > kNegligibleEvents) return false;
  if (l.paced_rate == 0) return true;
  LimitGroup next = l;  // state at the next message
  refill_tokens(next, s, now);
  return next.paced_rate == 0;
}

// Returns whether the group has state that a new group would lack. Of hosts that share a group, the last
// successes show which one fails alone.
bool has_learned_state(const LimitGroup& l, const Fleet& fleet, const Settings& s) {
  const auto answered = [&](std::size_t h) { return fleet.hosts[h].last_success > Time{}; };
  return l.cap != initial_cap(s.slots) || l.baseline_p95 > 0 || l.rate_before_outage > 0 ||
         (l.quota_use > 0 && l.reported_limit > 0) ||
         (l.hosts.size() > 1 && std::ranges::any_of(l.hosts, answered));
}

bool evictable(const Destination& d, const Fleet& fleet, const Settings& s, Time now) {
  const auto host = [&](std::size_t h) { return host_at_rest(fleet.hosts[h], fleet, s, now); };
  return d.arrivals.remaining(now) <= kNegligibleEvents &&
         std::ranges::all_of(d.limit_groups, [&](std::size_t at) {
           const LimitGroup& l = fleet.limit_groups[at];
           return group_at_rest(l, s, now) && std::ranges::all_of(l.hosts, host) &&
                  (now >= d.last_finished_at + kLearnedStateMaxAge || !has_learned_state(l, fleet, s));
         });
}

}  // namespace

void WorkingSet::added(std::size_t destination) {
  checks_.emplace(Time::min(), destination);
  ++added_;
}

std::vector<std::size_t> WorkingSet::select_evictions(const Fleet& fleet, const Settings& s, Time now) {
  std::vector<std::size_t> evicted;
  std::size_t checks = kChecksPerTick + 2 * std::exchange(added_, 0);
  for (; checks > 0 && fleet.known_destinations() > s.max_destinations + evicted.size(); --checks) {
    if (checks_.empty() || checks_.begin()->first > now) break;
    const std::size_t index = checks_.extract(checks_.begin()).value().second;
    const Destination& d = fleet.destinations[index];
    const Time at_rest_from = d.last_finished_at + kMinRest;
    if (d.messages == 0 && at_rest_from <= now && evictable(d, fleet, s, now)) {
      evicted.push_back(index);
    } else {
      checks_.emplace(at_rest_from > now ? at_rest_from : now + kMinRest, index);
    }
  }
  return evicted;
}

}  // namespace vetchhinge
