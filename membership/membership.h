// One relay's view of the fleet, kept by the relays themselves: who is there, who is not, and whether this
// one is cut off. A state machine: time, random draws, datagrams and frames go in, and what to send comes
// out. After SWIM (probes by others, piggybacked news, suspicion) and Lifeguard (a member that doubts itself
// while it is the slow one), with what a fleet that is cut in parts and heals needs besides.
//
// What is guaranteed, once messages get through again between live members, directly or over others:
// - all live members come to hold the same records of the same members, and none of the live ones as dead;
// - one that is gone for good is dead for all of them, after suspicion that others confirmed where there are
// any;
// - a statement about a member is never taken back by an older one within `tombstone` of its end, and only
// the
//   member itself raises its stamp. Two processes with one name are named as a conflict, and never both
//   alive.
//
// What is not: agreement. Views differ while news is under way, and for as long as a cut lasts; "dead" says
// that some of us could not reach it for a while, not that it does nothing. In a cut each part holds the
// other for dead, also the smaller one. So a caller must not take a death for leave to do what only one may
// do: that wants a majority of a group named before, with epochs and leases; here it learns whom to ask.
// Under a cut it reads `reachability()`, which counts the dead of the last ten minutes as lost, and holds
// back what a minority must not do.
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

// A frame to send on a stream of its own; the answer goes to on_response(), whatever ends it without one to
// on_request_failed().
struct StreamRequest {
  std::uint64_t token = 0;
  Address to;
  std::string frame;
};

struct ViewEvent {
  std::string member;
  std::string description;  // one line with the evidence, for the log
};

struct Counters {
  std::uint64_t probes = 0, failed_probes = 0, indirect_probe_requests = 0;
  std::uint64_t suspicions = 0, refutations = 0, deaths = 0;
  std::uint64_t exchanges = 0, failed_exchanges = 0;
  std::uint64_t stalls = 0;
  std::array<std::uint64_t, kDropReasons> dropped{};
};

// How much of the fleet this member can reach: of all that are there or were lost within `tombstone`.
struct Reachability {
  std::size_t reachable = 1, known = 1;  // with itself
  std::optional<Time> reduced_since;     // since when some are missing
  std::optional<Time> minority_since;    // since when it is half of them or less
  double share() const { return static_cast<double>(reachable) / static_cast<double>(known); }
};

class Membership {
 public:
  // `self` says name, machine, zone, instance, address and incarnation. Throws std::invalid_argument.
  Membership(Settings settings, Record self, std::uint64_t seed, Time now);

  void wake(Time now);  // at next_wake(), or later
  Time next_wake() const;
  void receive(Time now, const Address& from, std::string_view datagram);
  // The answer to a frame that came by a stream; empty: close it.
  std::string serve(Time now, std::string_view frame);
  void on_response(Time now, std::uint64_t token, std::string_view frame);
  void on_request_failed(Time now, std::uint64_t token);

  std::vector<Datagram> take_datagrams() { return std::exchange(datagrams_, {}); }
  std::vector<StreamRequest> take_stream_requests() { return std::exchange(asks_, {}); }
  std::vector<ViewEvent> take_view_events() { return std::exchange(changes_, {}); }

  // To be on disk before anything is sent that was taken after it had changed.
  std::uint64_t incarnation() const { return self_.stamp.incarnation; }

  void publish(Time now, std::uint32_t version, std::string bytes);  // kMaxPublishedBytes bytes at most
  void leave(Time now);  // says so to some; nothing is said after it
  void reseed(Time now, std::vector<Address> seeds);

  // ------------------------------------------------------------------------------ what others ask
  const Record& self() const { return self_; }
  bool joined() const { return joined_; }             // has heard of others, or knows that none answers
  std::uint64_t version() const { return version_; }  // grows with each change of the view
  const Table& others() const { return table_; }
  // Alive, no suspect and no conflict, whom `wanted` takes; by name.
  std::vector<Record> healthy_members(const std::function<bool(const Record&)>& wanted) const;
  Reachability reachability(Time now) const;
  std::uint64_t digest() const { return table_.digest() ^ self_digest(); }
  unsigned local_health_score() const { return doubt_; }  // of itself: 0 none, kMaxLocalHealthScore at most
  bool is_observer() const { return yielded_; }           // the name is another's: this one only looks on
  const Counters& counters() const { return counters_; }

  static constexpr unsigned kMaxLocalHealthScore = 8;

 private:
  struct Probe {
    std::string target;
    std::uint64_t nonce = 0;
    Time others_at{}, ends_at{};
    std::uint32_t asked = 0, nacks = 0;
    bool acked = false;
  };
  struct Relayed {  // a probe in another's place
    Address asker;
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
  struct Claim {  // whether an earlier holder of this name still runs
    Record holder;
    std::uint64_t nonce = 0;
    unsigned tries = 0;
    Time next{};
  };

  // membership.cpp: the whole
  void notice(Time now);
  void stalled(Time now, Duration late);
  double factor() const;  // that a member in doubt of itself widens its time-outs by
  unsigned spread() const;
  Duration jittered(Duration span, double part = 0.1);
  std::uint32_t below(std::size_t n);
  std::uint64_t draw() { return engine_(); }
  void doubt_by(int by);
  std::uint64_t self_digest() const;
  void say(const std::string& name, std::string what);
  void dropped(Time now, DropReason why);
  void changed(Time now);
  void finish(Time now);  // of each call
  void join(Time now, const char* how);
  void look_at_reach(Time now);

  // merge.cpp: what is said of members
  void merge(Time now, const Record& record);
  void replace(Time now, Table::Entry& entry, const Record& record);
  void heard_of_self(Time now, const Record& record);
  void heard_rival(Time now, const Message& message, const Address& from);
  void exceed(Time now, const Stamp& stamp);
  void refute(Time now, const Stamp& stamp);
  void announce(Time now);
  void suspect(Time now, Table::Entry& entry, const std::vector<std::string>& accusers, bool confirmed);
  void bury(Time now, Table::Entry& entry);
  void judge_suspects(Time now);
  Duration patience(const Table::Entry& entry) const;
  void forget(Time now);
  void check_claim(Time now);
  void yield(Time now, const Record& holder);

  // probes.cpp: datagrams
  Message message(MessageKind kind, const std::string& target, std::uint64_t nonce) const;
  void send(Time now, const Address& to, const Message& message, std::size_t room, const Table::Entry* first);
  void probe(Time now);
  void ask_others(Time now);
  void end_probe(Time now);
  void verify(Time now);
  void gossip(Time now);
  void relayed_due(Time now);
  void on_ping(Time now, const Address& from, const Message& message, std::size_t size);
  void on_ping_req(Time now, const Address& from, const Message& message);
  void on_ack(Time now, const Address& from, const Message& message);
  void on_nack(const Message& message);
  std::vector<Table::Entry*> some_live(std::size_t n, std::string_view but);
  Table::Entry* next_target();
  void include(const std::string& name);

  // exchange.cpp: streams
  void exchange(Time now, const Address& to);
  void compare(Time now, const Message& message);
  void contact(Time now);
  void plan_contact(Time now, bool soon);
  std::vector<std::string> records_of(std::uint64_t mask, Time now) const;
  std::array<std::uint64_t, kDigestBuckets> buckets() const;
  std::vector<Address> lost() const;

  Settings settings_;
  Record self_;
  Table table_;
  std::mt19937_64 engine_;
  unsigned self_sent_ = 0;  // own record, passed on so often
  bool joined_ = false, left_ = false, yielded_ = false;
  unsigned doubt_ = 0;
  std::uint64_t version_ = 0;
  Time changed_at_{};  // of the view

  std::optional<Probe> probe_;
  Time probe_at_{};
  std::vector<std::string> round_;  // whom to probe next, from the back
  std::map<std::uint64_t, Relayed> relayed_;
  std::vector<std::string> verify_;  // suspects that have not been asked themselves yet
  Time verify_at_ = Time::max();
  Time gossip_at_ = Time::max();
  std::uint64_t quiet_nonce_ = 0;  // of questions whose answers need no more than being taken
  std::optional<Claim> claim_;
  std::uint64_t cleared_ = 0;  // instance of an earlier holder that does not answer,
  Stamp cleared_stamp_;        // and the newest that it had said
  Time rival_heard_{};

  std::optional<Exchange> exchange_;
  Time exchange_from_{};  // none before that for repair
  Time contact_at_{};
  Duration contact_pause_{};
  std::vector<Address> seeds_left_;  // of this round, while joining
  std::vector<Address> lost_;        // addresses of members that are forgotten: few
  Time forget_at_ = Time::max();

  std::optional<Time> lessened_, minority_;
  Time planned_{};  // wake that was told last
  std::array<Time, kDropReasons> drop_told_{};
  Counters counters_;
  std::vector<Datagram> datagrams_;
  std::vector<StreamRequest> asks_;
  std::vector<ViewEvent> changes_;
};

}  // namespace valedrum::membership
