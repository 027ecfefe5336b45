// SWIM failure detector with Lifeguard extensions: one relay's view of which members of the fleet are alive,
// and of how many it can reach. A state machine without I/O: time, random draws, datagrams and frames are
// inputs, and what to send is output. It combines SWIM (indirect probes, piggybacked updates, suspicion) and
// Lifeguard (a member that is slow itself lengthens its timeouts) with anti-entropy exchanges and
// reconnection attempts, so that a partitioned fleet converges after it has healed.
//
// Guarantees, once live members can exchange messages again, directly or through others:
// - All live members converge on the same records of the same members, and hold no live member dead.
// - A member that is gone for good becomes dead at all of them, after a suspicion that other members
// confirmed
//   where there are any.
// - A statement about a member is not overridden by an older one within `tombstone_retention` of the member's
//   end, and only the member itself increments its stamp. Two processes with the same name are reported as a
//   conflict, and are never both alive.
//
// Not guaranteed: agreement. Views differ while updates are under way and for as long as a partition lasts.
// "Dead" means that some members could not reach it for a while, not that it has stopped. In a partition each
// side holds the other dead, also the smaller side. A caller must therefore not take a death as permission
// for anything that only one process may do: that needs a majority of a group that was fixed before, with
// epochs and leases. This view only helps to choose whom to ask. During a partition a caller reads
// `reachability()`, which counts members that died within `tombstone_retention` as lost, and refrains from
// what a minority must not do.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "membership/table.h"
#include "membership/types.h"
#include "membership/wire.h"

namespace valedrum::membership {

struct Datagram {
  Address to;
  std::string bytes;
};

// A frame to send on a new stream. The caller passes the response to Membership::on_response(), or reports
// any failure to Membership::on_request_failed().
struct StreamRequest {
  std::uint64_t token = 0;
  Address to;
  std::string frame;
};

// A change of the view, or a dropped message, as a line for the log.
struct ViewEvent {
  std::string member;  // empty: about no particular member
  std::string description;
};

struct Counters {
  std::uint64_t probes = 0, failed_probes = 0, indirect_probe_requests = 0;
  std::uint64_t suspicions = 0, refutations = 0, deaths = 0;
  std::uint64_t exchanges = 0, failed_exchanges = 0;
  std::uint64_t stalls = 0;  // delayed runs of this process
  std::array<std::uint64_t, kDropReasons> dropped{};
};

// How many members this one can reach, out of all live ones and those that died within
// `tombstone_retention`. Both counts include this member.
struct Reachability {
  std::size_t reachable = 1, known = 1;
  std::optional<Time> reduced_since;   // set while some are unreachable
  std::optional<Time> minority_since;  // set while half of them or fewer are reachable
  double share() const { return static_cast<double>(reachable) / static_cast<double>(known); }
};

class Membership {
 public:
  // `self` contains name, machine, zone, instance, address and incarnation. Throws std::invalid_argument.
  Membership(Settings settings, Record self, std::uint64_t seed, Time now);

  // Runs all timers that are due. Call it at next_wake() or later.
  void wake(Time now);
  Time next_wake() const;
  void receive(Time now, const Address& from, std::string_view datagram);
  // Returns the response to a frame received on a stream. Empty: close the stream.
  std::string serve(Time now, std::string_view frame);
  void on_response(Time now, std::uint64_t token, std::string_view frame);
  void on_request_failed(Time now, std::uint64_t token);

  std::vector<Datagram> take_datagrams() { return std::exchange(datagrams_, {}); }
  std::vector<StreamRequest> take_stream_requests() { return std::exchange(stream_requests_, {}); }
  std::vector<ViewEvent> take_view_events() { return std::exchange(view_events_, {}); }

  // After a change it has to be stored before anything taken later is sent.
  std::uint64_t incarnation() const { return self_.stamp.incarnation; }

  // Puts application data into this member's record; kMaxPublishedBytes at most.
  void publish(Time now, std::uint32_t version, std::string bytes);
  // Announces to some members that this one leaves. Nothing is sent after that.
  void leave(Time now);
  void reseed(Time now, std::vector<Address> seeds);

  // ------------------------------------------------------------------------------ state of the view
  const Record& self() const { return self_; }
  // True once another member was reached, or every seed was tried without an answer.
  bool joined() const { return joined_; }
  std::uint64_t version() const { return version_; }  // grows with each change of the view
  const Table& others() const { return table_; }
  // Returns by name the members that are alive, not in a name conflict, and accepted by `filter`.
  std::vector<Record> healthy_members(const std::function<bool(const Record&)>& filter) const;
  Reachability reachability(Time now) const;
  std::uint64_t digest() const { return table_.digest() ^ self_digest(); }
  // 0 (healthy) to kMaxLocalHealthScore: how slow this process itself seems to be.
  unsigned local_health_score() const { return local_health_score_; }
  // True while another process holds this name: this one follows the view without taking part.
  bool is_observer() const { return observer_; }
  const Counters& counters() const { return counters_; }

  static constexpr unsigned kMaxLocalHealthScore = 8;

 private:
  struct Probe {
    std::string target;
    std::uint64_t nonce = 0;
    Time indirect_at{}, ends_at{};
    std::uint32_t helpers = 0, nacks = 0;
    bool acked = false;
  };
  struct RelayedProbe {  // on behalf of another member
    Address requester;
    std::uint64_t nonce = 0;
    std::string target;
    Time nack_at{}, ends_at{};
    bool nacked = false;
  };
  struct Exchange {
    std::uint64_t token = 0;
    Address to;
    bool pushing = false;
  };
  // Checks whether an earlier holder of this member's name still runs.
  struct NameClaim {
    Record holder;
    std::uint64_t nonce = 0;
    unsigned tries = 0;
    Time next_try{};
  };

  // membership.cpp: timers, local health and public state
  void detect_stall(Time now);
  void on_stall(Time now, Duration late);
  double timeout_multiplier() const;  // local health multiplier
  unsigned retransmit_limit() const;
  Duration jittered(Duration duration, double part = 0.1);
  std::uint32_t random_below(std::size_t n);
  std::uint64_t random_number() { return engine_(); }
  void adjust_local_health(int by);
  std::uint64_t self_digest() const;
  void report(const std::string& member, std::string description);
  void count_drop(Time now, DropReason reason);
  void mark_changed(Time now);
  void finish_call(Time now);  // ends each public call: schedules timers
  void complete_join(Time now, const char* reason);
  void update_reachability(Time now);

  // merge.cpp: records and states of members
  void merge_record(Time now, const Record& record);
  void replace_record(Time now, Table::Entry& entry, const Record& record);
  void on_record_of_self(Time now, const Record& record);
  void on_message_from_namesake(Time now, const Message& message, const Address& from);
  void supersede(Time now, const Stamp& stamp);
  void refute(Time now, const Stamp& stamp);
  void announce_self(Time now);
  void suspect(Time now, Table::Entry& entry, const std::vector<std::string>& accusers, bool reported_dead);
  void declare_dead(Time now, Table::Entry& entry);
  void expire_suspicions(Time now);
  Duration suspicion_timeout(const Table::Entry& entry) const;
  void expire_tombstones(Time now);
  void check_name_claim(Time now);
  void become_observer(Time now, const Record& holder);

  // probes.cpp: datagrams
  Message make_message(MessageKind kind, const std::string& target, std::uint64_t nonce) const;
  void send(Time now, const Address& to, const Message& message, std::size_t room, const Table::Entry* first);
  void advance_probe(Time now);
  void send_ping_reqs(Time now);
  void fail_probe(Time now);
  void notify_suspects(Time now);
  void send_gossip(Time now);
  void advance_relayed_probes(Time now);
  void on_ping(Time now, const Address& from, const Message& message, std::size_t size);
  void on_ping_req(Time now, const Address& from, const Message& message);
  void on_ack(Time now, const Address& from, const Message& message);
  void on_nack(const Message& message);
  std::vector<Table::Entry*> random_live(std::size_t n, std::string_view except);
  Table::Entry* next_probe_target();
  void add_to_probe_round(const std::string& name);

  // exchange.cpp: streams
  void start_exchange(Time now, const Address& to);
  void compare_digest(Time now, const Message& message);
  void contact_peers(Time now);
  void schedule_contact(Time now, bool soon);
  std::vector<std::string> encoded_records(std::uint64_t mask, Time now) const;
  std::array<std::uint64_t, kDigestBuckets> buckets() const;
  std::vector<Address> unreached_addresses() const;

  Settings settings_;
  Record self_;
  Table table_;
  std::mt19937_64 engine_;
  unsigned self_transmissions_ = 0;  // of this member's own record since it changed
  bool joined_ = false, left_ = false, observer_ = false;
  unsigned local_health_score_ = 0;
  std::uint64_t version_ = 0;
  Time changed_at_{};  // last change of the view

  std::optional<Probe> probe_;
  Time probe_at_{};
  std::vector<std::string> probe_round_;  // remaining targets of this round, taken from the back
  std::map<std::uint64_t, RelayedProbe> relayed_probes_;
  std::vector<std::string> unnotified_suspects_;  // have not been sent the suspicion yet
  Time notify_suspects_at_ = Time::max();
  Time gossip_at_ = Time::max();
  std::uint64_t untracked_nonce_ = 0;  // of pings whose ack needs no further handling
  std::optional<NameClaim> name_claim_;
  std::uint64_t stopped_holder_ = 0;  // instance of an earlier holder of the name that does not answer
  Stamp stopped_holder_stamp_;        // newest stamp known of it
  Time conflict_heard_at_{};

  std::optional<Exchange> exchange_;
  Time exchange_from_{};  // earliest start of the next anti-entropy exchange
  Time contact_at_{};
  Duration contact_interval_{};
  std::vector<Address> untried_seeds_;        // of this round, while joining
  std::vector<Address> forgotten_addresses_;  // of dead members whose tombstones expired; a bounded number
  Time expire_tombstones_at_ = Time::max();

  std::optional<Time> reduced_since_, minority_since_;
  Time expected_wake_{};  // next_wake() as of the last call
  std::array<Time, kDropReasons> drop_logged_at_{};
  Counters counters_;
  std::vector<Datagram> datagrams_;
  std::vector<StreamRequest> stream_requests_;
  std::vector<ViewEvent> view_events_;
};

}  // namespace valedrum::membership
