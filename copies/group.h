// Who may act on a group's messages: one member's part of the exchange between the three that know of them.
// A state machine: time and what others say go in, what to say comes out.
//
// - One owner an epoch, the origin in the first. Its word is taken by the others as long as they have
// promised no
//   later epoch; with each acknowledgement they promise, for the time of a lease from their own receipt, to
//   vote for nobody else. The owner may begin a call while a lease of one of them runs, counted from when it
//   asked.
// - What must not be done twice is known to two of three before it is done. A new owner needs the vote of
// another, and
//   with it takes all that this one knows: two of three have one in common with any other two.
// - Nobody is asked whether the owner is dead. Where its lease has run out it may not act, frozen or cut off
// as it may
//   be, and one that wakes up learns from the first that it asks that it owns nothing any more.
//
// What is assumed: clocks that count time while a process is stopped, and run apart by less than `margin` in
// a lease; that a machine whose disk is lost does not come back with an older copy of it (recovery looks at
// that). What nobody here can prevent: a process that is stopped between its last look at the clock and the
// last byte of a call, and a partner that works on a call for longer than its time-out while the relay that
// would end it is stopped.
#pragma once

#include <optional>
#include <set>
#include <utility>

#include "copies/types.h"

namespace valedrum::copies {

enum class GroupMessageKind : std::uint8_t {
  append,  // of the owner: what has changed; also asks for the lease again
  ack,
  vote_request,  // of a candidate: vote for me
  vote,          // with all that the voter knows
  reject,        // not taken, or no vote: with the epoch that is promised by now
};

struct GroupMessage {
  GroupMessageKind kind = GroupMessageKind::append;
  MemberIndex sender = 0;
  std::uint64_t epoch = 0;
  Time sent_at{};         // the sender's clock: all times in it are by that one
  Time echoed_sent_at{};  // of an acknowledgement: `at` of what it answers
  Items items;            // of an acknowledgement: their stamps alone
};

class Group {
 public:
  // What outlasts the process, where the folder does.
  struct DurableState {
    std::uint64_t promised_epoch = 1;  // epoch: nothing of an earlier one is taken
    MemberIndex owner = 0;             // that it was promised to
    Items items;
  };
  enum class Start : std::uint8_t { opened, restarted };

  // `opened`: by the origin's first word, or by the origin itself.
  Group(const Settings& settings, Role shape, DurableState durable, Start start, Time now);

  // ------------------------------------------------------------------ as the owner
  bool is_owner() const { return owns_; }
  // Whether it may act now.
  bool holds_lease(Time now) const;
  // Whether the last attempt of this message may leave now: it leads, and its intent is held elsewhere.
  bool may_call(std::string_view id, Time now) const;
  // A message that is new, or of which something is new; the stamp is put here. Goes out with the next
  // flush().
  void put(std::string id, Item item);
  const Item* find(std::string_view id) const;
  // How many others have the newest state of it; `bodies`: of those that hold the message itself.
  unsigned replica_count(std::string_view id, bool bodies) const;
  bool is_up_to_date(MemberIndex other, std::string_view id) const;

  // ------------------------------------------------------------------ events
  // `shift`: what the sender's clock shows is so much earlier on this one. Not how long this word took: it
  // may have lain for seconds before a process that was stopped.
  void receive(Time now, const GroupMessage& say, Duration shift);
  void wake(Time now);
  // What has changed since goes to the others; with nothing to send, nothing.
  void flush(Time now);
  // What `other` has not acknowledged may be lost with its connection. Its clock may be another one from now
  // on.
  void reconnected(MemberIndex other);
  Time next_wake() const;

  std::vector<std::pair<MemberIndex, GroupMessage>> take_messages() { return std::exchange(out_, {}); }

  // To be on disk before anything that was taken after it is sent: ids whose items have changed, and whether
  // the promise has.
  struct Changes {
    bool promise = false;
    std::vector<std::string> items;
  };
  Changes take_changes() { return std::exchange(changed_, {}); }

  // What became of the ownership since: at most one of them holds.
  enum class OwnershipChange : std::uint8_t { none, gained, lost };
  OwnershipChange take_ownership_change() { return std::exchange(turn_, OwnershipChange::none); }
  // Whether a call of this attempt may be out, with nobody here who could end it: of another member that may
  // be stopped. It is out for as long as its partner likes.
  bool is_orphaned(const Attempt& attempt) const;

  // Forgets what had its time until `keep` before `now`: whoever held it has seen to its end.
  void prune(Time now, Duration keep);

  const Items& items() const { return durable_.items; }
  const DurableState& durable() const { return durable_; }
  const Role& shape() const { return shape_; }
  bool live() const { return live_ > 0; }
  std::size_t live_count() const { return live_; }
  // When the promise to the owner ends; of the owner: when its lease does.
  Time lease_expires_at() const { return bound_until_; }
  // From when on an owner that is heard no more counts as silent: it has something to say each `renew`.
  Time owner_silent_from() const;
  std::uint64_t epoch() const { return durable_.promised_epoch; }

  // For the model check: everything that a later step can depend on, by the clock's distance from now.
  void describe(Time now, std::string& out) const;

 private:
  struct Peer {
    std::optional<Time> lease_from;  // when that was sent which it has acknowledged
    Time sent_at{};
    std::set<std::string, std::less<>> unsent;              // ids
    std::map<std::string, ItemVersion, std::less<>> acked;  // the newest state that it has said to have
  };

  void append(Time now, MemberIndex to);
  void win(Time now);
  void on_append(Time now, const GroupMessage& say, Duration shift);
  void on_ack(Time now, const GroupMessage& say);
  void on_ask(Time now, const GroupMessage& say);
  void on_vote(Time now, const GroupMessage& say, Duration shift);
  void on_refuse(const GroupMessage& say);
  void merge(const GroupMessage& say, Duration shift);
  void correct(MemberIndex from, Duration shift);
  void store(const std::string& id, Item item);
  void step_down();
  void promise(std::uint64_t epoch, MemberIndex owner);
  bool broken(DisabledSafeguard part) const { return settings_.disabled_safeguard == part; }
  GroupMessage say(Time now, GroupMessageKind kind) const;

  Settings settings_;
  Role shape_;
  DurableState durable_;
  bool owns_ = false;
  std::uint64_t revision_ = 0;
  std::uint64_t seen_ = 0;   // highest epoch heard of
  std::uint64_t asked_ = 0;  // epoch that votes are asked for; 0: none
  Time bound_until_{};       // by the promise to the owner
  Time ask_at_{};            // not before
  std::size_t live_ = 0;
  struct Told {
    MemberIndex by = 0;
    Time until{};  // on that one's clock
  };
  std::map<std::string, Told, std::less<>> told_;           // of what is held for others
  std::array<std::optional<Duration>, kGroupSize> shifts_;  // that times were translated with
  std::array<Peer, kGroupSize> peers_;
  std::vector<std::pair<MemberIndex, GroupMessage>> out_;
  Changes changed_;
  OwnershipChange turn_ = OwnershipChange::none;
};

}  // namespace valedrum::copies
