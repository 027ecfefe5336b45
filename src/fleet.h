// What the module holds of the list: hosts, the destinations that they serve, and the lanes that share a
// limit. No decision and no tuned value is here.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "records.h"
#include "vetchhinge/policy.h"

namespace vetchhinge {

// Hosts and destinations come and go for as long as a relay lives. Places of those that have gone, and of
// lanes that were theirs alone, are taken again; until then every index stays good.
class Fleet {
 public:
  explicit Fleet(Duration connection_idle) : connection_idle_(connection_idle) {}

  std::optional<std::size_t> find(HostId id) const;

  std::size_t destination_for(DestinationId id, const RateMeter& arrivals);

  // A host that was not known, in a lane of its destination; `fresh` is used where it needs one.
  std::size_t add(const HostEntry& entry, std::size_t destination, bool own_lane, const Lane& fresh);

  // As the list tells of one, and before a whole list, which leaves out what has gone.
  void told(std::size_t host, HostState state);
  void none_told();

  // Gone from the list, with no call out: nothing names it any more, and it must not count where a
  // destination's budget is shared out among its hosts. Returns their places, which stay what they were until
  // add() takes them. It looks only at those that a list told or left out since.
  std::vector<std::size_t> forget_gone(const std::vector<KindSettings>& kinds);

  // Forgets a destination, its lanes and its hosts, none of which anything else may name. Their places are
  // free.
  void put_away(std::size_t destination);

  template <typename Is>
  bool any_host(std::size_t destination, Is is) const {
    return std::ranges::any_of(destinations[destination].lanes, [&](std::size_t l) {
      return std::ranges::any_of(lanes[l].hosts, [&](std::size_t h) { return std::invoke(is, hosts[h]); });
    });
  }
  bool shut_by_hand(std::size_t d) const {
    return !any_host(d, &Host::usable) && any_host(d, [](const Host& h) { return h.by_hand; });
  }

  // Idle connections to a host, as counted here; they lapse by themselves.
  int idle_connections(const Host& h, Time now) const {
    return now < h.last_end + connection_idle_ ? h.idle_connections : 0;
  }
  void call_ended(std::size_t host, bool connection_kept, Time now);
  void drop_lapsed(Time now);

  std::size_t known() const { return host_index_.size(); }
  std::size_t known_destinations() const { return destination_index_.size(); }

  std::vector<Host> hosts;
  std::vector<Lane> lanes;
  std::vector<Destination> destinations;
  std::set<std::pair<Time, std::size_t>> idle;  // hosts with idle connections, by the end of their last call
  std::vector<std::size_t> active;              // lanes with something to judge

 private:
  Duration connection_idle_;
  std::unordered_map<HostId, std::size_t> host_index_;
  std::unordered_map<DestinationId, std::size_t> destination_index_;
  std::vector<std::size_t> free_hosts_;
  std::priority_queue<std::size_t> free_lanes_;
  std::vector<std::size_t> free_destinations_;
  std::vector<std::size_t> unsettled_;  // hosts that may have gone
};

}  // namespace vetchhinge
