// The relay's view of endpoints: discovery's current list, the ids by which the decision module knows them,
// and the number of calls in flight to each. Changes that the module has to learn of are appended to its
// events.
//
// The list is a compact table. A record per endpoint is kept only for active destinations, which are those
// that the module knows. All destinations are active while the list has no more of them than the module
// keeps; in a longer list, those that have received messages are, until the module evicts them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "catalog/endpoint_table.h"
#include "codec.h"
#include "host_client.h"
#include "host_list.h"
#include "journal.h"
#include "vetchhinge/policy.h"

namespace myrtlegrade {

class Endpoints {
 public:
  using HostId = vetchhinge::HostId;
  using Events = std::vector<vetchhinge::Event>;

  struct Host {
    Endpoint address;
    std::uint64_t cell = 0;  // its destination
    bool listed = false;
    bool running = false;
    std::string zone;
    std::uint32_t kind = 0;
    bool in_active_list = false;             // whether active_ lists it under its cell
    std::size_t attempts_in_flight = 0;      // attempts without an outcome
    std::uint64_t unsent_cancellations = 0;  // how often its unsent calls were cancelled
  };

  // All arguments must outlive this object. Calls to an endpoint that drains or is removed are cancelled at
  // `client` if they are not sent yet; an endpoint that `journal` lists as disabled keeps its id.
  Endpoints(vetchhinge::drill::Dialect& dialect, const vetchhinge::Settings& settings, const Journal& journal,
            HostClient& client);

  // ------------------------------------------------------------------------------------- the list
  // Replaces the whole list; `kind` tells the module where it comes from. run_cleanup_slice() has to be
  // called afterwards.
  void replace_list(std::int64_t version, valedrum::catalog::EndpointTable list,
                    vetchhinge::HostList::Kind kind, Events& events);
  // Applies a list of changes; the cost does not depend on the size of the whole list. Long lists are applied
  // in parts: the first call has `first` set, and while the result is true, the call must be repeated for the
  // rest with no other update in between. The version changes with the last part only, so that an interrupted
  // update is requested again.
  bool apply_changes(std::int64_t version, const valedrum::catalog::EndpointTable& changes, bool first,
                     Events& events);
  // Does about a millisecond of the work that replace_list() leaves. Returns false when none is left.
  bool run_cleanup_slice();

  const valedrum::catalog::EndpointTable& list() const { return list_; }
  std::int64_t version() const { return version_; }
  bool has_seen_endpoints() const { return has_seen_endpoints_; }  // now or earlier

  // Returns whether the destination is listed, or was until recently: while all endpoints of a destination
  // are being replaced it is still a destination.
  bool is_destination(std::uint64_t cell) const;

  // ------------------------------------------------------------------------------ active destinations
  // Makes a destination active. Must be called before the module receives a message for it.
  void activate(std::uint64_t cell, Events& events);
  // Activates the destination of an endpoint that another process knew.
  void activate(HostId id, Events& events);
  // Makes a destination active that another process knew, and whose endpoints have all left the list.
  void activate_gone(std::uint64_t cell, Events& events);
  // Makes a destination inactive after the module has dropped its state.
  void evict(std::uint64_t cell);

  // ------------------------------------------------------------------------------- single endpoints
  const Host& at(HostId id) const { return hosts_.at(id); }
  const std::string& name(HostId id) const { return dialect_.hosts.name(static_cast<std::uint32_t>(id)); }
  bool is_known(const std::string& name) const;
  // Returns the id of an endpoint; assigns one if it has none.
  HostId host_id(const std::string& name) { return HostId{dialect_.hosts.number(name)}; }
  // Releases the id of an endpoint that is gone or inactive, after the operator has enabled it again.
  void release_name(const std::string& name);

  void on_call_started(HostId id) { ++hosts_.at(id).attempts_in_flight; }
  void on_call_ended(HostId id);
  // Adds a call of a predecessor, possibly to an endpoint that is no longer listed, or that serves another
  // destination by now. The destination of the call must be active.
  HostId add_predecessor_call(const std::string& name, std::uint64_t cell, const std::string& zone);

  // Cancels calls that are not sent yet: to one endpoint, or to all that share its limit group, as after a
  // wait hint.
  void cancel_unsent(HostId id);
  void cancel_unsent_in_limit_group(HostId id);

 private:
  // The destinations that have left the list most recently, up to a maximum number.
  class RecentlyGone {
   public:
    void add(std::uint64_t cell);
    bool contains(std::uint64_t cell) const { return cells_.contains(cell); }

   private:
    std::unordered_set<std::uint64_t> cells_;
    std::deque<std::uint64_t> order_;
  };
  // An old list. Its entries up to `next` were scanned for destinations that are gone; after that its memory
  // is released in slices.
  struct ReplacedList {
    valedrum::catalog::EndpointTable list;
    valedrum::catalog::Slot next = 0;
    bool scanned = false;
  };
  // The effects of one list: the update for the module and what has to be done after it.
  struct Change {
    vetchhinge::HostList update;
    std::vector<HostId> were_running, affected;
    std::vector<HostId> disabled_by_operator;  // under a new id
  };

  bool all_fit() const;
  std::optional<std::uint32_t> kind_of(const valedrum::catalog::Entry& entry) const;
  bool has_usable_endpoint(const valedrum::catalog::EndpointTable& list, std::uint64_t cell) const;
  void apply_change(const valedrum::catalog::Entry& changed, Change& change);
  void add_gone_entry(HostId id, Host& host, Change& change);
  void add_entries_of(std::uint64_t cell, Change& change);
  void add_entry(const valedrum::catalog::Entry& entry, Change& change);
  void finish(Change change, Events& events);
  HostId id_for_predecessor_call(const std::string& name, std::uint64_t cell);
  void remove_if_unused(HostId id);

  vetchhinge::drill::Dialect& dialect_;
  const vetchhinge::Settings& settings_;
  const Journal& journal_;
  HostClient& client_;
  valedrum::catalog::EndpointTable list_;
  std::deque<ReplacedList> replaced_lists_;
  RecentlyGone recently_gone_;
  std::unordered_map<std::uint64_t, std::vector<HostId>> active_;  // endpoints by cell
  std::unordered_map<HostId, Host> hosts_;              // of active destinations, or with calls in flight
  std::vector<valedrum::catalog::Slot> scratch_slots_;  // reused buffer
  valedrum::catalog::Slot next_change_ = 0;
  std::int64_t version_ = 0;
  bool has_seen_endpoints_ = false;
};

}  // namespace myrtlegrade
