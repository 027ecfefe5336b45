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
constexpr std::size_t kVoters = 3;
using Place = std::uint8_t;  // of a member in its group; 0: the origin

// A message as its client handed it in. It does not change.
struct Payload {
  std::string id, cls, key, body;
  std::uint64_t destination = 0;
  bool once = false;  // work that may not be repeated
  auto operator<=>(const Payload&) const = default;
};

enum class Fate : std::uint8_t { out, never_ran, may_have_run };

struct Attempt {
  std::string host, zone;
  Time sent{};  // on this member's clock
  Place by = 0;
  Fate fate = Fate::out;
  auto operator<=>(const Attempt&) const = default;
};

// Which of two states of an item is the newer one: those of a later owner are, then those written later.
struct Stamp {
  std::uint64_t epoch = 0, revision = 0;
  auto operator<=>(const Stamp&) const = default;
};

// How a message ended that was not delivered, until the platform has been told.
struct Owed {
  bool handed_back = false;  // otherwise given up
  Duration retry_in{};
  auto operator<=>(const Owed&) const = default;
};

// One message with all that is known of it. Each state holds all that the ones before it held.
struct Item {
  Stamp stamp;
  std::shared_ptr<const Payload> payload;  // none: this member only votes, or the message is over
  Time until{};                            // its deadline, on this member's clock
  std::vector<Attempt> attempts;           // by number
  bool over = false;                       // nothing more is sent for it
  std::optional<Owed> owed;                // over, but for a notice that the platform has not taken yet

  bool live() const { return !over || owed; }
};
using Items = std::map<std::string, Item, std::less<>>;

struct Shape {
  Place self = 0;
  unsigned copies = 2;  // of the two others, how many have the messages' bodies too
  bool has_bodies(Place p) const { return p <= copies; }
};

// The lab breaks the exchange on purpose, to see that its checks would notice. Never set by a relay.
enum class Without : std::uint8_t {
  nothing,
  intents,       // a call does not wait until its intent is held elsewhere
  lease,         // the owner acts without one
  lease_start,   // the owner counts its lease from the answer, not from the question
  patience,      // others vote while they are bound by a lease
  majority,      // a candidate needs nobody else
  promise,       // a vote is forgotten at a restart
  restart_wait,  // a lease is forgotten at a restart
  fence,         // what an earlier owner says is still taken
  merge,         // a vote brings nothing of what the voter knows
  amnesia,       // one that has lost its folder votes
  astray,        // what may still be out is sent again
};

struct WithoutName {
  std::string_view name;
  Without without;
};
inline constexpr WithoutName kWithoutNames[] = {
    {"nothing", Without::nothing},   {"intents", Without::intents},
    {"lease", Without::lease},       {"lease_start", Without::lease_start},
    {"patience", Without::patience}, {"majority", Without::majority},
    {"promise", Without::promise},   {"restart_wait", Without::restart_wait},
    {"fence", Without::fence},       {"merge", Without::merge},
    {"amnesia", Without::amnesia},   {"astray", Without::astray}};

struct Settings {
  Duration lease = std::chrono::milliseconds(1000);  // that an acknowledgement binds its sender for
  // Part of it that the owner leaves unused: for clocks that run apart (a tenth of the lease and more), and
  // for the moment between its last look at the clock and the last byte of a call.
  Duration margin = std::chrono::milliseconds(250);
  Duration renew =
      std::chrono::milliseconds(250);  // between two messages of an owner that has something to end
  Duration again = std::chrono::milliseconds(60);  // between two questions of a candidate
  Without without = Without::nothing;
};

}  // namespace valedrum::copies
