/// Hosts from the list, their destinations, and the limit groups of hosts that share a limit.
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

/// Hosts and destinations are added and removed during the whole life of a relay. The records of removed
/// hosts and destinations, and of limit groups that only they used, are reused; until then all indices stay
/// valid.
class Fleet {
 public:
  explicit Fleet(Duration connection_idle) : connection_idle_(connection_idle) {}

  std::optional<std::size_t> find(HostId id) const;
  std::optional<std::size_t> find(DestinationId id) const;

  std::size_t destination_for(DestinationId id, const RateMeter& arrivals);

  void add_group(std::size_t destination, const LimitGroup& fresh);

  /// Adds a host that was not known to a limit group of its destination; a new group starts as `fresh`.
  std::size_t add(const HostEntry& entry, std::size_t destination, bool own_group, const LimitGroup& fresh);

  /// Applies the state from the list. Before a whole list all hosts are marked as unlisted.
  void update_state(std::size_t host, HostState state);
  void mark_all_unlisted();

  /// Removes hosts that are no longer listed and have no call in flight; they must not count when a
  /// destination's budget is divided among its hosts. Returns their indices, whose records stay unchanged
  /// until add() reuses them. Checks only the hosts that a list named or left out since the last call.
  std::vector<std::size_t> remove_gone(const std::vector<KindSettings>& kinds);

  /// Removes a destination with its limit groups and hosts, which must not be in use, and frees their
  /// records.
  void evict(std::size_t destination);

  template <typename Predicate>
  bool any_host(std::size_t destination, Predicate predicate) const {
    return std::ranges::any_of(destinations[destination].limit_groups, [&](std::size_t l) {
      return std::ranges::any_of(limit_groups[l].hosts,
                                 [&](std::size_t h) { return std::invoke(predicate, hosts[h]); });
    });
  }
  /// Returns whether no host of the destination is usable and at least one was disabled by an operator.
  bool disabled_by_operator(std::size_t d) const {
    return !any_host(d, &Host::usable) && any_host(d, [](const Host& h) { return h.disabled; });
  }

  /// Returns the number of idle connections to a host, as counted here; they expire after connection_idle.
  int idle_connections(const Host& h, Time now) const {
    return now < h.last_end + connection_idle_ ? h.idle_connections : 0;
  }
  void call_ended(std::size_t host, bool connection_kept, Time now);
  void drop_expired_idle(Time now);

  std::size_t known() const { return host_index_.size(); }
  std::size_t known_destinations() const { return destination_index_.size(); }

  std::vector<Host> hosts;
  std::vector<LimitGroup> limit_groups;
  std::vector<Destination> destinations;
  std::set<std::pair<Time, std::size_t>> idle;  // hosts with idle connections by end of their last call
  std::vector<std::size_t> active;              // limit groups whose cap must be evaluated

 private:
  Duration connection_idle_;
  std::unordered_map<HostId, std::size_t> host_index_;
  std::unordered_map<DestinationId, std::size_t> destination_index_;
  std::vector<std::size_t> free_hosts_;
  std::priority_queue<std::size_t> free_groups_;
  std::vector<std::size_t> free_destinations_;
  std::vector<std::size_t> removal_candidates_;  // hosts that may be gone
};

}  // namespace vetchhinge
