// What a relay holds for its clients, as it is copied to others. Nothing here knows sockets, clocks or
// threads.
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

// Those who know of a group's messages: the origin, and two that it has chosen. It never changes: for other
// members the origin opens another group.
constexpr std::size_t kGroupSize = 3;
using MemberIndex = std::uint8_t;  // of a member in its group; 0: the origin

// A message as its client handed it in. It does not change.
struct Payload {
  std::string id, cls, key, body;
  std::uint64_t destination = 0;
  bool at_most_once = false;  // work that may not be repeated
  auto operator<=>(const Payload&) const = default;
};

enum class AttemptState : std::uint8_t { in_flight, never_ran, may_have_run };

struct Attempt {
  std::string host, zone;
  Time sent_at{};  // on this member's clock
  MemberIndex sender = 0;
  AttemptState state = AttemptState::in_flight;
  auto operator<=>(const Attempt&) const = default;
};

// Which of two states of an item is the newer one: those of a later owner are, then those written later.
struct ItemVersion {
  std::uint64_t epoch = 0, revision = 0;
  auto operator<=>(const ItemVersion&) const = default;
};

// How a message ended that was not delivered, until the platform has been told.
struct PendingNotice {
  bool handed_back = false;  // otherwise given up
  Duration retry_in{};
  auto operator<=>(const PendingNotice&) const = default;
};

// One message with all that is known of it. Each state holds all that the ones before it held.
struct Item {
  ItemVersion version;
  std::shared_ptr<const Payload> payload;       // none: this member only votes, or the message is over
  Time deadline{};                              // its deadline, on this member's clock
  std::vector<Attempt> attempts;                // by number
  bool completed = false;                       // nothing more is sent for it
  std::optional<PendingNotice> pending_notice;  // over, but for a notice that the platform has not taken yet

  bool live() const { return !completed || pending_notice; }
};
using Items = std::map<std::string, Item, std::less<>>;

struct Role {
  MemberIndex index = 0;
  unsigned copies = 2;  // of the two others, how many have the messages' bodies too
  bool stores_bodies(MemberIndex p) const { return p <= copies; }
};

// The lab breaks the exchange on purpose, to see that its checks would notice. Never set by a relay.
enum class DisabledSafeguard : std::uint8_t {
  none,
  replicated_intent,  // a call does not wait until its intent is held elsewhere
  lease,              // the owner acts without one
  lease_start,        // the owner counts its lease from the answer, not from the question
  vote_withholding,   // others vote while they are bound by a lease
  majority,           // a candidate needs nobody else
  durable_promise,    // a vote is forgotten at a restart
  restart_wait,       // a lease is forgotten at a restart
  epoch_fence,        // what an earlier owner says is still taken
  vote_merge,         // a vote brings nothing of what the voter knows
  lost_state_check,   // one that has lost its folder votes
  orphan_check,       // what may still be out is sent again
};

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

struct Settings {
  Duration lease = std::chrono::milliseconds(1000);  // that an acknowledgement binds its sender for
  // Part of it that the owner leaves unused: for clocks that run apart (a tenth of the lease and more), and
  // for the moment between its last look at the clock and the last byte of a call.
  Duration lease_margin = std::chrono::milliseconds(250);
  Duration renewal_interval =
      std::chrono::milliseconds(250);  // between two messages of an owner that has something to end
  Duration vote_retry_interval = std::chrono::milliseconds(60);  // between two questions of a candidate
  DisabledSafeguard disabled_safeguard = DisabledSafeguard::none;
};

}  // namespace valedrum::copies
