// Replication of accepted messages between relays: the groups that this relay belongs to, their members, and
// what other members must have stored before a message may be acknowledged, called or reported. A state
// machine around the groups: time, random draws, actions of the relay and frames of other members go in;
// frames, records for the disk and events come out.
//
// Messages are spread over several groups at once, each with two other members on different machines, so that
// the loss of one relay does not burden a single new owner. The members of a group never change: if one is
// gone or slow, another group is opened for new messages, and the old one ends with its messages, which live
// for seconds.
//
// - A message is acknowledged to its client once `copies` other members have its body. A call leaves, and a
//   notice is sent, once one other member has stored it.
// - A message whose deadline has passed, and which has not completed as far as a holder knows, is ended by a
//   notice of each holder. That does no harm to a completed message and needs no ownership. So each accepted
//   message gets an end as long as one of its holders lives, even in a minority.
#pragma once

#include <functional>
#include <optional>
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

// How a message is treated that too few other members can store.
enum class ShortagePolicy : std::uint8_t {
  refuse,
  accept,  // and count it
};

struct CopiesSettings : Settings {
  unsigned copies = 1;       // members besides the origin that store message bodies: 1 or 2
  unsigned group_count = 4;  // groups in use at once (outer name: spread)
  bool other_zone = false;   // the first copy is placed in another zone
  ShortagePolicy on_shortage = ShortagePolicy::refuse;
  // Limit on waiting for acknowledgements while a client waits; shorter than the client's timeout
  // (answer_ms).
  Duration answer_timeout = std::chrono::milliseconds(200);
  // How long a member is not chosen after it did not answer or had no room.
  Duration avoidance_period = std::chrono::seconds(5);
  Duration group_lifetime = std::chrono::minutes(5);  // after that a new group takes the new messages
  // Bytes of bodies stored for other members; the same amount again for own messages.
  std::size_t body_budget = 1 << 20;
};
// Throws std::invalid_argument whose text begins with the outer name of the invalid setting.
void validate(const CopiesSettings& settings);

// Another relay in the fleet view that may store copies.
struct Candidate {
  MemberIdentity identity;
  std::string machine, zone;
  unsigned free_eighths = 8;  // of its body budget
};

// This relay as a member of groups.
struct LocalMember {
  MemberIdentity identity;
  std::string machine, zone;
};

// Events, in the order in which the relay has to handle them.

// The requirement of a ticket is met, or can no longer be met in time.
struct TicketCompleted {
  std::uint64_t ticket = 0;
  bool succeeded = false;
};
// This relay is the owner of the message now and has to complete it; without a body it can only be failed.
struct OwnershipGained {
  std::string id;
  Item item;
  // By attempt: its call may still be in flight, for as long as the destination works on it.
  std::vector<bool> orphaned;
};
// Another relay may act on the message now: this one must not send, answer or report anything more for it.
struct OwnershipLost {
  std::string id;
};
// Another relay has completed the message.
struct CompletedElsewhere {
  std::string id;
};
// No reachable member has completed the message in time; its notice is due.
struct Expired {
  std::string id;
  PendingNotice notice;
};
// A line for the log.
struct LogLine {
  std::string line;
};
using CopyEvent =
    std::variant<TicketCompleted, OwnershipGained, OwnershipLost, CompletedElsewhere, Expired, LogLine>;

inline constexpr Duration kSweepInterval = std::chrono::milliseconds(100);  // between sweeps over messages

struct CopyCounters {
  std::uint64_t placed = 0;            // messages added to a group
  std::uint64_t under_replicated = 0;  // messages accepted with fewer copies than set
  std::uint64_t local_only = 0;        // messages accepted without any copy
  std::uint64_t refused = 0;           // messages refused because too few members could store them
  std::uint64_t groups_opened = 0;
  std::uint64_t ownerships_gained = 0, ownerships_lost = 0;
  std::uint64_t taken_over = 0;  // messages received with an ownership
  std::uint64_t expired = 0;     // messages that nobody completed in time, as far as known here
  std::uint64_t ticket_timeouts = 0;
  std::uint64_t bodies_rejected = 0;   // because the body budget was used up
  std::uint64_t foreign_messages = 0;  // group messages dropped because the sender is not in the group
};

class Copies {
 public:
  // Restores the state that a previous process of the same state folder stored. Throws std::invalid_argument
  // if the settings are invalid.
  Copies(CopiesSettings settings, LocalMember self, StoredState stored, std::uint64_t seed, Time now);

  // ------------------------------------------------------------------ fleet view
  void set_candidates(Time now, std::vector<Candidate> candidates);
  std::uint8_t free_eighths() const;  // of the body budget

  // ------------------------------------------------------------------ messages of the relay
  enum class Placement : std::uint8_t { placed, local_only, refused };
  Placement add(Time now, const std::string& id, Item item);
  // Adds a message that was found in the local journal and that no other member stores, until complete().
  void add_local_only(const std::string& id) { local_only_.insert(id); }
  void add_attempt(Time now, const std::string& id, Attempt attempt);
  void set_attempt_state(Time now, const std::string& id, std::size_t attempt, AttemptState state);
  // Notes that the calls of this member's attempts have ended, but for that of the attempt `still_open`.
  void end_own_attempts(Time now, const std::string& id, std::optional<std::size_t> still_open);
  // Completes the message, with a notice that the platform has yet to acknowledge.
  void set_pending_notice(Time now, const std::string& id, PendingNotice notice);
  void complete(Time now, const std::string& id);

  // What must be true of a message before the relay continues.
  enum class Requirement : std::uint8_t {
    acceptance,  // as many members as the settings require have the body
    call,    // another member has the newest state, and this one holds the lease; for a first attempt also
             // the condition of `acceptance`
    notice,  // another member has the newest state, and this one holds the lease; waits no longer than a
             // holder would before it sends the notice itself
    withdrawal,  // as for a notice; the message was never accepted, and a client waits until the deadline
  };
  // Returns a ticket; a later take_events() returns its TicketCompleted event.
  std::uint64_t wait_for(Time now, std::vector<std::string> ids, Requirement requirement);
  // The same, with a deadline of the caller's choice.
  std::uint64_t wait_until(Time deadline, std::vector<std::string> ids, Requirement requirement);
  // Returns whether the last attempt of the message may be sent now. False for a forgotten message, whose
  // deadline is long past: a process that was stopped may resume with it.
  bool may_call(Time now, const std::string& id) const;
  // Returns the state of a message that this relay owns or stores for another one, until some time after its
  // deadline; null if it is unknown.
  const Item* find(const std::string& id) const;
  // Returns whether this relay may act on the message, including messages that no other member stores.
  bool is_owner(const std::string& id) const;
  // Returns whether the body of a message that was added here has left for another member, which then may
  // store it and become its owner.
  bool was_sent(const std::string& id) const;

  // ------------------------------------------------------------------ other members
  void receive(Time now, const std::string& from, const Frame& frame);
  // Handles a new connection to the member: everything it has not acknowledged is sent again.
  void connected(Time now, const std::string& name);
  // Notes that there is no connection to the member: frames to it are dropped until connected().
  void disconnected(const std::string& name) { disconnected_.insert(name); }

  void wake(Time now);
  Time next_wake() const;
  // Sends all changes; called at the end of a turn.
  void flush(Time now);

  struct OutgoingFrame {
    MemberIdentity to;
    std::string frame;
    bool expects_answer = false;
  };
  // The records must be on disk before the frames are sent and the events are handled.
  std::string take_records(Duration wall_offset);
  std::vector<OutgoingFrame> take_frames();
  std::vector<CopyEvent> take_events() { return std::exchange(events_, {}); }
  // Returns all records that a rewritten file needs.
  std::string snapshot(Duration wall_offset, std::uint64_t boot = 0) const;

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
  // A group that this relay is a member of, with what is known of the other members.
  struct JoinedGroup {
    GroupConfig config;
    Group group;
    Time opened_at{}, last_received_at{};
    bool sealed = false;                               // accepts no new messages
    std::array<bool, kGroupSize> knows_group{};        // has answered in the group
    std::array<bool, kGroupSize> forgot_group{};       // no longer knows the group
    std::set<std::string, std::less<>> sent_bodies{};  // messages whose bodies left for another member
    ExpiryQueue expiry_queue{};
    Time next_expiry() const { return expiry_queue.next(group.owner_silent_from()); }
  };
  using Groups = std::map<GroupId, JoinedGroup>;
  struct Ticket {
    std::uint64_t number = 0;
    std::vector<std::string> ids;
    Requirement requirement = Requirement::call;
    Time deadline{};
  };

  GroupId new_group_id();
  Groups::iterator open_group(Time now, unsigned shard);
  std::vector<const Candidate*> choose_members(Time now, unsigned shard) const;
  JoinedGroup* find_group(const std::string& id);
  const JoinedGroup* find_group(const std::string& id) const;
  template <typename Change>
  void update_item(Time now, const std::string& id, Change&& change);
  void add_outgoing(Groups::iterator at, MemberIndex to, GroupMessage message);
  // Collects records, events and outgoing messages after any operation on the group.
  void collect_output(Groups::iterator at);
  void expire_messages(Time now, JoinedGroup& joined);
  void emit_taken_over(Groups::iterator at, const std::string& id);
  enum class TicketState : std::uint8_t { waiting, succeeded, failed };
  TicketState evaluate(Time now, const Ticket& ticket);
  void resolve_tickets(Time now);
  void on_ticket_timeout(Time now, const Ticket& ticket);
  void avoid(Time now, const std::string& name);
  bool is_avoided(Time now, const std::string& name) const;
  void receive(Time now, const std::string& from, const Envelope& envelope);
  // Returns kGroupSize if the name is not in the group.
  MemberIndex index_of(const GroupConfig& config, std::string_view name) const;
  std::uint64_t shard_of(const std::string& id) const;

  CopiesSettings settings_;
  LocalMember self_;
  std::mt19937_64 engine_;
  std::vector<Candidate> candidates_;
  std::map<std::string, Time, std::less<>> avoided_until_;         // by member name
  std::map<std::string, ClockOffset, std::less<>> clock_offsets_;  // by member name, per connection
  std::set<std::string, std::less<>> disconnected_;                // names of members
  Groups groups_;
  std::vector<std::optional<GroupId>> current_groups_;  // by shard
  std::map<std::string, GroupId, std::less<>> group_by_message_;
  std::set<std::string, std::less<>> local_only_;
  std::vector<Ticket> tickets_;
  std::uint64_t last_ticket_ = 0;
  Time next_sweep_at_{};  // sweeps only free memory
  std::size_t held_bytes_ = 0, own_bytes_ = 0;
  bool no_room_ = false;  // set in the frames of this turn

  std::map<std::string, std::pair<MemberIdentity, std::vector<Envelope>>> outgoing_;  // by member name
  struct PendingRecord {
    GroupId group;
    enum class What : std::uint8_t { group, promise, item, drop } what{};
    std::string item;
  };
  std::vector<PendingRecord> pending_records_;
  std::vector<CopyEvent> events_;
  CopyCounters counters_;
};

}  // namespace valedrum::copies
