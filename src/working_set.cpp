#include "working_set.h"

#include <algorithm>

#include "cap.h"
#include "ramp.h"

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

constexpr Duration kRestLeast =
    60s;  // at rest before: a rate's memory of one call fades to a twentieth (ours)
constexpr Duration kLearnedFor = 10min;  // rest after which a cap, p95 or part learned before is none (ours)
constexpr std::size_t kLooks = 500;      // looks at a tick; destinations that may not go take some too (ours)

// Nothing runs, is owed or told, and what broke or refused has answered since: none of that ends by resting.
bool host_clear(const Host& h, const Fleet& fleet, const Settings& s, Time now) {
  const bool warm =
      !h.in_slow_start || (h.slow_start_since && now > *h.slow_start_since + s.slow_start_duration);
  return h.usable() && h.in_flight == 0 && h.failure_weight == 0 && warm &&
         fleet.idle_connections(h, now) == 0;
}

bool lane_clear(const Lane& l, const Settings& s, Time now) {
  if (l.active || l.in_flight > 0 || l.failure_weight > 0 || l.consecutive_rejections > 0) return false;
  if (std::max({l.server_backoff_until, l.local_backoff_until, l.thrifty_until}) > now || near_limit(l, now))
    return false;
  const double used = std::max(l.usual_calls.left(now), l.usual_share.left(now) * l.told_limit);
  if (std::max(used, l.recent_calls.left(now)) > kNegligibleEvents) return false;
  if (l.paced_rate == 0) return true;
  Lane next = l;  // as the next message would find it
  refill_pace(next, s, now);
  return next.paced_rate == 0;
}

// What a new lane would not know. Of hosts that share one, who answered last tells who fails alone.
bool learned(const Lane& l, const Fleet& fleet, const Settings& s) {
  const auto answered = [&](std::size_t h) { return fleet.hosts[h].last_success > Time{}; };
  return l.cap != start_cap(s.slots) || l.baseline_p95 > 0 || l.rate_before_outage > 0 ||
         (l.part > 0 && l.told_limit > 0) || (l.hosts.size() > 1 && std::ranges::any_of(l.hosts, answered));
}

bool may_go(const Destination& d, const Fleet& fleet, const Settings& s, Time now) {
  const auto host = [&](std::size_t h) { return host_clear(fleet.hosts[h], fleet, s, now); };
  return d.arrivals.left(now) <= kNegligibleEvents && std::ranges::all_of(d.lanes, [&](std::size_t at) {
           const Lane& l = fleet.lanes[at];
           return lane_clear(l, s, now) && std::ranges::all_of(l.hosts, host) &&
                  (now >= d.worked_at + kLearnedFor || !learned(l, fleet, s));
         });
}

}  // namespace

void WorkingSet::added(std::size_t destination) {
  looks_.emplace(Time::min(), destination);
  ++added_;
}

std::vector<std::size_t> WorkingSet::surplus(const Fleet& fleet, const Settings& s, Time now) {
  std::vector<std::size_t> away;
  std::size_t looks = kLooks + 2 * std::exchange(added_, 0);
  for (; looks > 0 && fleet.known_destinations() > s.max_destinations + away.size(); --looks) {
    if (looks_.empty() || looks_.begin()->first > now) break;
    const std::size_t place = looks_.extract(looks_.begin()).value().second;
    const Destination& d = fleet.destinations[place];
    const Time rested = d.worked_at + kRestLeast;
    if (d.entries == 0 && rested <= now && may_go(d, fleet, s, now)) {
      away.push_back(place);
    } else {
      looks_.emplace(rested > now ? rested : now + kRestLeast, place);
    }
  }
  return away;
}

}  // namespace vetchhinge
