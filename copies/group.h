// The ownership protocol of one group: decides which of its three members may act on the group's messages. A
// state machine of one member: time and the messages of other members go in, messages to them come out.
//
// - Each epoch has one owner; the origin owns the first. Members accept the owner's messages unless they have
//   promised a later epoch. With each acknowledgement a member promises to vote for nobody else for the
//   duration of a lease, counted from its own receipt. The owner may begin a call while the lease of at least
//   one member is valid, counted from when the owner sent its request.
// - Anything that must not be done twice is stored by two of the three members before it is done. A new owner
//   needs the vote of another member, which carries all items of the voter: any two majorities of the three
//   have a member in common.
// - There is no failure detector for owners. An owner without a valid lease must not act, whether it is
//   stopped or partitioned, and an owner that resumes learns from the first reply that it is no longer the
//   owner.
//
// Assumptions: clocks count time while a process is stopped and drift apart by less than `lease_margin`
// within a lease; a machine whose disk was lost does not return with an older copy of it (recovery checks
// this). The protocol cannot prevent two cases: a process that is stopped between its last check of the clock
// and the last byte of a call, and a destination that works on a call for longer than its timeout while the
// relay that would end the call is stopped.
#pragma once

#include <optional>
#include <set>
#include <utility>

#include "copies/types.h"

namespace valedrum::copies {

enum class GroupMessageKind : std::uint8_t {
  append,        // from the owner: changed items; also requests a renewal of the lease
  ack,           // acknowledges an append
  vote_request,  // from a candidate
  vote,          // with all items of the voter
  reject,        // refuses an append or a vote; carries the epoch that the sender has promised
};

// A message between two members of a group.
struct GroupMessage {
  GroupMessageKind kind = GroupMessageKind::append;
  MemberIndex sender = 0;
  std::uint64_t epoch = 0;
  Time sent_at{};         // on the sender's clock, as all times in the message
  Time echoed_sent_at{};  // of an ack: `sent_at` of the append that it answers
  Items items;            // of an ack: only ids and versions
};

class Group {
 public:
  // The part of the state that survives the process if its state folder does.
  struct DurableState {
    std::uint64_t promised_epoch = 1;  // messages of earlier epochs are rejected
    MemberIndex owner = 0;             // the owner of the promised epoch
    Items items;
  };
  enum class Start : std::uint8_t { opened, restarted };

  // `opened` is the start by the origin itself or by the origin's first message.
  Group(const Settings& settings, Role role, DurableState durable, Start start, Time now);

  // ------------------------------------------------------------------ as the owner
  bool is_owner() const { return is_owner_; }
  // Returns whether this member is the owner and its lease is valid.
  bool holds_lease(Time now) const;
  // Returns whether the last attempt of the message may be sent now: this member holds the lease, and another
  // member has stored the attempt.
  bool may_call(std::string_view id, Time now) const;
  // Stores a new or changed message with the next version; the next flush() sends it.
  void put(std::string id, Item item);
  const Item* find(std::string_view id) const;
  // Returns how many other members have the newest version; with `bodies`, counts only those that store
  // bodies.
  unsigned replica_count(std::string_view id, bool bodies) const;
  bool is_up_to_date(MemberIndex other, std::string_view id) const;

  // ------------------------------------------------------------------ events
  // `clock_offset` is added to the sender's times to get local ones. It is an estimate over many messages:
  // the transit time of a single one may include seconds during which the receiving process was stopped.
  void receive(Time now, const GroupMessage& message, Duration clock_offset);
  void wake(Time now);
  // Sends changed items to the other members; nothing if there are none.
  void flush(Time now);
  // Handles a new connection to `other`: what it has not acknowledged may be lost and is sent again, and its
  // clock may be a different one.
  void reconnected(MemberIndex other);
  Time next_wake() const;

  std::vector<std::pair<MemberIndex, GroupMessage>> take_messages() { return std::exchange(outgoing_, {}); }

  // State that changed and has to be on disk before any message taken afterwards is sent.
  struct Changes {
    bool promise = false;
    std::vector<std::string> items;  // ids
  };
  Changes take_changes() { return std::exchange(changes_, {}); }

  enum class OwnershipChange : std::uint8_t { none, gained, lost };
  // Returns the last change of ownership since the previous call.
  OwnershipChange take_ownership_change() { return std::exchange(ownership_change_, OwnershipChange::none); }
  // Returns whether a call of this attempt may be in flight that this member cannot end: it was sent by
  // another member, which may be stopped. The destination alone determines how long such a call lasts.
  bool is_orphaned(const Attempt& attempt) const;

  // Removes messages whose deadline is at least `retention` ago: each holder has ensured their completion.
  void prune(Time now, Duration retention);

  const Items& items() const { return durable_.items; }
  const DurableState& durable() const { return durable_; }
  const Role& role() const { return role_; }
  bool live() const { return live_ > 0; }
  std::size_t live_count() const { return live_; }
  // Returns when this member's promise to the owner ends.
  Time promise_expires_at() const { return promise_expires_at_; }
  // Returns from when on the owner counts as silent unless it is heard again; it sends something every
  // `renewal_interval`.
  Time owner_silent_from() const;
  std::uint64_t epoch() const { return durable_.promised_epoch; }

  // Appends everything that later steps can depend on, with times relative to `now`, for the model checker.
  void describe(Time now, std::string& out) const;

 private:
  struct Peer {
    std::optional<Time> lease_start;  // when the last acknowledged append was sent
    Time sent_at{};
    std::set<std::string, std::less<>> unsent;              // ids
    std::map<std::string, ItemVersion, std::less<>> acked;  // newest version that it has acknowledged
  };

  void append(Time now, MemberIndex to);
  void become_owner(Time now);
  void on_append(Time now, const GroupMessage& message, Duration clock_offset);
  void on_ack(Time now, const GroupMessage& message);
  void on_vote_request(Time now, const GroupMessage& message);
  void on_vote(Time now, const GroupMessage& message, Duration clock_offset);
  void on_reject(const GroupMessage& message);
  void merge(const GroupMessage& message, Duration clock_offset);
  void update_clock_offset(MemberIndex sender, Duration clock_offset);
  void store(const std::string& id, Item item);
  void step_down();
  void promise(std::uint64_t epoch, MemberIndex owner);
  bool is_disabled(DisabledSafeguard safeguard) const { return settings_.disabled_safeguard == safeguard; }
  GroupMessage make_message(Time now, GroupMessageKind kind) const;

  Settings settings_;
  Role role_;
  DurableState durable_;
  bool is_owner_ = false;
  std::uint64_t revision_ = 0;
  std::uint64_t highest_epoch_seen_ = 0;
  std::uint64_t candidate_epoch_ = 0;  // epoch that votes are requested for; 0: none
  Time promise_expires_at_{};          // until when it is bound to the owner
  Time next_vote_request_at_{};
  std::size_t live_ = 0;
  struct ReportedDeadline {
    MemberIndex sender = 0;
    Time deadline{};  // on the sender's clock
  };
  std::map<std::string, ReportedDeadline, std::less<>> reported_deadlines_;  // of messages held for others
  std::array<std::optional<Duration>, kGroupSize> clock_offsets_;            // last used, by member
  std::array<Peer, kGroupSize> peers_;
  std::vector<std::pair<MemberIndex, GroupMessage>> outgoing_;
  Changes changes_;
  OwnershipChange ownership_change_ = OwnershipChange::none;
};

}  // namespace valedrum::copies
