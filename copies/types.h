// Data types of message replication: the state of an accepted message as the members of its group hold it,
// and the settings of the protocol between them. Independent of sockets, clocks and threads.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/types.h"

namespace valedrum::copies {

using membership::Duration;
using membership::Time;

// Members of a group: the origin and the two other members that it chose. The members of a group never
// change; to use other members the origin opens another group.
constexpr std::size_t kGroupSize = 3;
using MemberIndex = std::uint8_t;  // position of a member in its group; 0 is the origin

// A message as its client submitted it; immutable.
struct Payload {
  std::string id, cls, key, body;
  std::uint64_t destination = 0;
  bool at_most_once = false;  // the work must not be repeated
  auto operator<=>(const Payload&) const = default;
};

enum class AttemptState : std::uint8_t { in_flight, never_ran, may_have_run };

struct Attempt {
  std::string host, zone;
  Time sent_at{};  // on the local clock
  MemberIndex sender = 0;
  AttemptState state = AttemptState::in_flight;
  auto operator<=>(const Attempt&) const = default;
};

// Orders the states of an item: by the epoch of the owner that wrote it, then by the order of writing.
struct ItemVersion {
  std::uint64_t epoch = 0, revision = 0;
  auto operator<=>(const ItemVersion&) const = default;
};

// The notice of an undelivered message that the platform has not acknowledged yet.
struct PendingNotice {
  bool handed_back = false;  // true: returned to the client for a retry; false: failed
  Duration retry_in{};
  auto operator<=>(const PendingNotice&) const = default;
};

// The replicated state of one message. Each version contains everything that earlier versions contained.
struct Item {
  ItemVersion version;
  std::shared_ptr<const Payload> payload;       // null: this member only votes, or the message is completed
  Time deadline{};                              // on the local clock
  std::vector<Attempt> attempts;                // indexed by attempt number
  bool completed = false;                       // no further attempts
  std::optional<PendingNotice> pending_notice;  // completed, but the notice is not acknowledged yet

  // Returns whether an attempt or a notice may still be due.
  bool live() const { return !completed || pending_notice; }
};
using Items = std::map<std::string, Item, std::less<>>;
// Returns the bytes of the body and what goes with it, as they count in the budget for bodies.
inline std::size_t size_of(const Item& item) {
  return item.payload ? item.payload->body.size() + item.payload->key.size() + item.payload->id.size() : 0;
}

// What a member stores for its group.
struct Role {
  MemberIndex index = 0;
  unsigned copies = 2;  // how many of the two members besides the origin store message bodies
  bool stores_bodies(MemberIndex member) const { return member <= copies; }
};

// A part of the protocol that the lab switches off to show that its checks detect the fault. A relay never
// sets it.
enum class DisabledSafeguard : std::uint8_t {
  none,
  replicated_intent,  // a call starts before another member has stored the attempt
  lease,              // the owner acts without a lease
  lease_start,        // the owner counts its lease from the acknowledgement instead of from its request
  vote_withholding,   // members vote while they are bound by a lease
  majority,           // a candidate wins without any vote
  durable_promise,    // a restart forgets the vote
  restart_wait,       // a restart forgets the lease
  epoch_fence,        // messages of earlier owners are accepted
  vote_merge,         // a vote carries none of the voter's items
  lost_state_check,   // a member that lost its state folder votes
  orphan_check,       // attempts that may still be in flight are repeated
};

// Maps the outer name of a safeguard, as configurations and command lines spell it, to its value.
struct SafeguardName {
  std::string_view name;
  DisabledSafeguard safeguard;
};
inline constexpr SafeguardName kSafeguardNames[] = {{"nothing", DisabledSafeguard::none},
                                                    {"intents", DisabledSafeguard::replicated_intent},
                                                    {"lease", DisabledSafeguard::lease},
                                                    {"lease_start", DisabledSafeguard::lease_start},
                                                    {"patience", DisabledSafeguard::vote_withholding},
                                                    {"majority", DisabledSafeguard::majority},
                                                    {"promise", DisabledSafeguard::durable_promise},
                                                    {"restart_wait", DisabledSafeguard::restart_wait},
                                                    {"fence", DisabledSafeguard::epoch_fence},
                                                    {"merge", DisabledSafeguard::vote_merge},
                                                    {"amnesia", DisabledSafeguard::lost_state_check},
                                                    {"astray", DisabledSafeguard::orphan_check}};

// Timing of the protocol in one group.
struct Settings {
  Duration lease = std::chrono::milliseconds(1000);  // how long an acknowledgement binds its sender
  // Part of the lease that the owner does not use. Covers clocks that drift apart (up to a tenth of the lease
  // and more) and the time between the owner's last check of the clock and the last byte of a call.
  Duration lease_margin = std::chrono::milliseconds(250);
  // Between two appends of an owner that has live messages.
  Duration renewal_interval = std::chrono::milliseconds(250);
  Duration vote_retry_interval = std::chrono::milliseconds(60);  // between two vote requests of a candidate
  DisabledSafeguard disabled_safeguard = DisabledSafeguard::none;
};

}  // namespace valedrum::copies
