// The copies that one relay makes of what it holds, and keeps of what others do: which groups there are, who
// is in them, and what has to be known elsewhere before something may be said or done. A state machine around
// the groups: time, draws, what the relay does and what others say go in; frames, records for the disk and
// events come out.
//
// Messages are spread over some groups at once, each with two other members on machines of their own, so that
// one loss does not fall on one heir. A group keeps its members; where one is gone or slow, another group is
// opened for what comes from then on, and the old one ends with its messages, which live for seconds.
//
// - A message is promised to its client once its body is with `copies` others; a call leaves, and a notice is
// told,
//   once what it does is known to one other.
// - What has its time behind it and no end that this member knows of is ended by a notice of each that holds
// it: that
//   does no harm to a message that is over, and needs no ownership. So nothing promised is left without an
//   end as long as one that holds it lives, in a minority too.
#pragma once

#include <functional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "copies/clock_offset.h"
#include "copies/codec.h"
#include "copies/expiry_queue.h"

namespace valedrum::copies {

enum class ShortagePolicy : std::uint8_t {
  refuse,  // what too few others hold is not taken
  accept,  // it is, and counted
};

struct CopiesSettings : Settings {
  unsigned copies = 1;       // 1 or 2
  unsigned group_count = 4;  // groups at once
  bool other_zone = false;   // the first copy is in another zone
  ShortagePolicy on_shortage = ShortagePolicy::refuse;
  Duration answer_timeout =
      std::chrono::milliseconds(200);                   // for a client that waits: less than its patience
  Duration avoidance_period = std::chrono::seconds(5);  // one that did not answer or had no room
  Duration group_lifetime = std::chrono::minutes(5);    // then another one is opened in its place
  std::size_t body_budget = 1 << 20;                    // bytes of bodies held for others; as many of its own
};
// Throws std::invalid_argument whose text begins with the field at fault.
void validate(const CopiesSettings& settings);

// Another relay of the view that may hold copies.
struct Candidate {
  MemberIdentity identity;
  std::string machine, zone;
  unsigned free_eighths = 8;  // eighths
};

struct LocalMember {
  MemberIdentity identity;
  std::string machine, zone;
};

// What the relay has to do, in order.
struct TicketCompleted {  // what a ticket waited for
  std::uint64_t ticket = 0;
  bool succeeded = false;
};
struct OwnershipGained {  // to be brought to its end here; without a body it can only be given up
  std::string id;
  Item item;
  std::vector<bool> orphaned;  // by attempt: its call may be out still, for as long as its partner likes
};
struct OwnershipLost {  // another may act on it now: nothing more is sent, answered or told for it here
  std::string id;
};
struct CompletedElsewhere {  // elsewhere
  std::string id;
};
struct Expired {  // nobody who could be heard has ended it: its notice is due
  std::string id;
  PendingNotice notice;
};
struct LogLine {  // for the log
  std::string line;
};
using CopyEvent =
    std::variant<TicketCompleted, OwnershipGained, OwnershipLost, CompletedElsewhere, Expired, LogLine>;

struct CopyCounters {
  std::uint64_t placed = 0, under_replicated = 0,
                local_only = 0;  // messages: to groups; taken with fewer; with none
  std::uint64_t refused = 0;     // for want of holders
  std::uint64_t groups_opened = 0, ownerships_gained = 0, ownerships_lost = 0;  // opened; ownerships
  std::uint64_t taken_over = 0, expired = 0;                                    // messages
  std::uint64_t ticket_timeouts = 0, bodies_rejected = 0,
                foreign_messages = 0;  // tickets that ran out; bodies not taken; words dropped
};

class Copies {
 public:
  // With what an earlier process of the same folder kept. Throws std::invalid_argument.
  Copies(CopiesSettings settings, LocalMember self, StoredState stored, std::uint64_t seed, Time now);

  // ------------------------------------------------------------------ the view
  void set_candidates(Time now, std::vector<Candidate> candidates);
  std::uint8_t free_eighths() const;  // eighths of the budget that are free

  // ------------------------------------------------------------------ what the relay holds
  enum class Placement : std::uint8_t { placed, local_only, refused };
  Placement add(Time now, const std::string& id, Item item);
  // One that this relay holds with nobody else, as it found it in its journal. Until over().
  void add_local_only(const std::string& id) { alone_.insert(id); }
  void add_attempt(Time now, const std::string& id, Attempt attempt);
  void set_attempt_state(Time now, const std::string& id, std::size_t attempt, AttemptState state);
  void set_pending_notice(Time now, const std::string& id, PendingNotice notice);
  void complete(Time now, const std::string& id);

  enum class Requirement : std::uint8_t {
    acceptance,  // the bodies are with as many as the settings ask for
    call,    // the newest state is known to another one, and this one leads; of a first attempt also what a
             // promise needs
    notice,  // as act, for a notice, which is owed: it waits no longer than a holder would
  };
  // A Done event follows, not before the caller has returned to take_events().
  std::uint64_t wait_for(Time now, std::vector<std::string> ids, Requirement requirement);
  // Whether the last attempt of this message may leave now. Of one that is forgotten, for its time is long
  // over, none may: a process that was stopped may wake up with it.
  bool may_call(Time now, const std::string& id) const;
  // What is known of it here, as owner or for somebody, until some time after its deadline. None: nothing.
  const Item* find(const std::string& id) const;
  // Whether this relay may act on it: also where nobody else knows of it.
  bool is_owner(const std::string& id) const;

  // ------------------------------------------------------------------ what others say
  void receive(Time now, const std::string& from, const Frame& frame);
  // A connection to it has come up; what was not acknowledged before goes out again.
  void connected(Time now, const std::string& name);

  void wake(Time now);
  Time next_wake() const;
  // At the end of a turn: what has changed goes out.
  void flush(Time now);

  struct OutgoingFrame {
    MemberIdentity to;
    std::string frame;
    bool expects_answer = false;  // an answer is due
  };
  // First the records have to be on disk.
  std::string take_records(Duration wall);
  std::vector<OutgoingFrame> take_frames();
  std::vector<CopyEvent> take_events() { return std::exchange(events_, {}); }
  // All that matters, for a file that is written anew.
  std::string snapshot(Duration wall, std::uint64_t boot = 0) const;

  const CopyCounters& counters() const { return counters_; }
  struct GroupState {
    GroupId id;
    GroupConfig config;
    MemberIndex self = 0, owner = 0;
    std::uint64_t epoch = 0;
    std::size_t live_count = 0;
    bool is_owner = false, holds_lease = false, sealed = false;
  };
  std::vector<GroupState> groups(Time now) const;
  std::optional<GroupId> group_of(const std::string& id) const;
  std::size_t held_bytes() const { return held_bytes_; }
  std::uint64_t storage_id() const { return self_.identity.storage_id; }

 private:
  struct Held {
    GroupConfig head;
    Group group;
    Time opened{}, heard{};
    bool sealed = false;                     // takes no more messages
    std::array<bool, kGroupSize> knows{};    // has answered in it
    std::array<bool, kGroupSize> useless{};  // does not know it any more
    ExpiryQueue ends{};
    Time next_end() const { return ends.next(group.owner_silent_from()); }
  };
  using Groups = std::map<GroupId, Held>;
  struct Ticket {
    std::uint64_t number = 0;
    std::vector<std::string> ids;
    Requirement need = Requirement::call;
    Time until{};
  };

  GroupId new_group_id();
  Groups::iterator open(Time now, unsigned shard);
  std::vector<const Candidate*> choose(Time now, unsigned shard) const;
  Held* find_group(const std::string& id);
  const Held* find_group(const std::string& id) const;
  template <typename Change>
  void change(Time now, const std::string& id, Change&& how);
  void settle(Groups::iterator at);  // after anything that a group has heard or done
  void tell_ends(Time now, Held& held);
  void hand_out(Groups::iterator at, const std::string& id);
  enum class Answer : std::uint8_t { wait, good, bad };
  Answer answer(Time now, const Ticket& ticket);
  void judge_tickets(Time now);
  void late(Time now, const Ticket& ticket);
  void avoid(Time now, const std::string& name);
  bool avoided(Time now, const std::string& name) const;
  void receive(Time now, const std::string& from, const Envelope& word);
  MemberIndex place_of(const GroupConfig& head, std::string_view name) const;
  std::uint64_t shard_of(const std::string& id) const;

  CopiesSettings settings_;
  LocalMember self_;
  std::mt19937_64 engine_;
  std::vector<Candidate> candidates_;
  std::map<std::string, Time, std::less<>> avoided_;
  std::map<std::string, ClockOffset, std::less<>> offsets_;  // of a connection
  Groups groups_;
  std::vector<std::optional<GroupId>> current_;  // by shard
  std::map<std::string, GroupId, std::less<>> where_;
  std::set<std::string, std::less<>> alone_;
  std::vector<Ticket> tickets_;
  std::uint64_t last_ticket_ = 0;
  Time look_at_{};  // next sweep, for memory alone
  std::size_t held_bytes_ = 0, own_bytes_ = 0;
  bool no_room_ = false;  // said with the frames of this turn

  std::map<std::string, std::pair<MemberIdentity, std::vector<Envelope>>> words_;  // to be sent, by name
  struct ToRecord {
    GroupId group;
    enum class What : std::uint8_t { group, promise, item, drop } what{};
    std::string item;
  };
  std::vector<ToRecord> records_;
  std::vector<CopyEvent> events_;
  CopyCounters counters_;
};

}  // namespace valedrum::copies
