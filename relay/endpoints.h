// The one owner of what the relay knows of endpoints: discovery's list as it stands, the numbers by which the
// module knows them, and which calls go on to them. What the module is to be told of a change is added to its
// events.
//
// The list is a compact table. Only of awake destinations, which are those that the module has been told of,
// a record is kept for each endpoint too. All are awake while the list has no more destinations than the
// module keeps; of a longer one those are that messages came for, until the module puts them away.
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
    std::uint64_t cell = 0;
    bool listed = false;
    bool running = false;
    std::string zone;
    std::uint32_t kind = 0;
    bool member = false;                     // of awake_'s list of its cell
    std::size_t attempts_in_flight = 0;      // attempts without an outcome
    std::uint64_t unsent_cancellations = 0;  // so often was what is on its way to it called back
  };

  // All four outlive it. What an endpoint that drains or goes must not get any more is called back from
  // `client`; one that the journal says is out by hand keeps its number.
  Endpoints(vetchhinge::drill::Dialect& dialect, const vetchhinge::Settings& settings, const Journal& journal,
            HostClient& client);

  // ------------------------------------------------------------------------------------- the list
  // In place of what was known; `kind` says to the module where it comes from. run_cleanup_slice() has work
  // then.
  void replace_list(std::int64_t version, valedrum::catalog::EndpointTable list,
                    vetchhinge::HostList::Kind kind, Events& events);
  // Costs the same at any size of the list. Many are taken in parts, the first of them with `first`; true: to
  // be called again for the rest, with nothing else taken in between. The version is the new one from the
  // last part on: until then all of them may have to be asked for again.
  bool apply_changes(std::int64_t version, const valedrum::catalog::EndpointTable& changes, bool first,
                     Events& events);
  // A part of what a whole list leaves to do, of about a millisecond. False: nothing is left.
  bool run_cleanup_slice();

  const valedrum::catalog::EndpointTable& list() const { return list_; }
  std::int64_t version() const { return version_; }
  bool has_seen_endpoints() const { return known_; }  // some endpoint is, or was

  // Listed, or lately: one whose endpoints are all being replaced is still a destination.
  bool is_destination(std::uint64_t cell) const;

  // ------------------------------------------------------------------------------ awake destinations
  // To be called before the module gets a message for it.
  void activate(std::uint64_t cell, Events& events);
  // That of an endpoint which another process knew.
  void activate(HostId id, Events& events);
  // The module has dropped all that it kept of it.
  void evict(std::uint64_t cell);

  // ------------------------------------------------------------------------------- single endpoints
  const Host& at(HostId id) const { return hosts_.at(id); }
  const std::string& name(HostId id) const { return dialect_.hosts.name(static_cast<std::uint32_t>(id)); }
  bool is_known(const std::string& name) const;
  HostId host_id(const std::string& name) { return HostId{dialect_.hosts.number(name)}; }
  // Where its ban was lifted: the number of one that is gone, or sleeps, is not needed any more.
  void release_name(const std::string& name);

  void on_call_started(HostId id) { ++hosts_.at(id).attempts_in_flight; }
  void on_call_ended(HostId id);
  // A call of an earlier process, which may have gone to one that is not listed any more. Its destination is
  // awake.
  HostId add_predecessor_call(const std::string& name, std::uint64_t cell, const std::string& zone);

  // What has not begun to go out must not any more: to one, or, after a told wait, to all that share it.
  void cancel_unsent(HostId id);
  void cancel_unsent_in_limit_group(HostId id);

 private:
  // Destinations that have left the list, the last kMost of them.
  class Gone {
   public:
    void add(std::uint64_t cell);
    bool contains(std::uint64_t cell) const { return cells_.contains(cell); }

   private:
    std::unordered_set<std::uint64_t> cells_;
    std::deque<std::uint64_t> order_;
  };
  struct Replaced {  // a list whose destinations are being looked through, up to `next`, or that is given
                     // back
    valedrum::catalog::EndpointTable list;
    valedrum::catalog::Slot next = 0;
    bool looked_through = false;
  };
  struct Change {  // of one list: what the module is to be told, and what is to be done behind it
    vetchhinge::HostList told;
    std::vector<HostId> ran, named;
    std::vector<HostId> out_by_hand;  // under a new number
  };

  bool has_room() const;
  std::optional<std::uint32_t> kind_of(const valedrum::catalog::Entry& entry) const;
  bool serves(const valedrum::catalog::EndpointTable& list, std::uint64_t cell) const;
  void take_change(const valedrum::catalog::Entry& changed, Change& change);
  void tell_gone(HostId id, Host& host, Change& change);
  void tell_all(std::uint64_t cell, Change& change);
  void tell(const valedrum::catalog::Entry& entry, Change& change);
  void finish(Change change, Events& events);
  void forget_if_gone(HostId id);

  vetchhinge::drill::Dialect& dialect_;
  const vetchhinge::Settings& settings_;
  const Journal& journal_;
  HostClient& client_;
  valedrum::catalog::EndpointTable list_;
  std::deque<Replaced> replaced_;
  Gone gone_;
  std::unordered_map<std::uint64_t, std::vector<HostId>> awake_;  // by cell, with their endpoints
  std::unordered_map<HostId, Host> hosts_;                        // of those
  std::vector<valedrum::catalog::Slot> slots_;                    // only to be used again
  valedrum::catalog::Slot next_change_ = 0;
  std::int64_t version_ = 0;
  bool known_ = false;
};

}  // namespace myrtlegrade
