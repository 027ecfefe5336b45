// Copies in virtual time: the state machines of copies/ that relays run, on an emulated network with faults,
// under a load whose relays do no more than the exchange needs: they hold messages, call a partner, give up
// and are frozen, killed or lost. What must hold is checked at the partner and at the platform.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "copies/copies.h"

namespace valedrum::lab {

enum class CopyFault : std::uint8_t {
  kill,     // processes, for `lasts`; their folders are kept
  lose,     // machines with their folders; they come back empty after `lasts`
  stall,    // processes are stopped for `lasts`
  split,    // `part` of the fleet and the others do not hear each other
  one_way,  // `part` of the fleet is heard by nobody else
  breaks,   // of connections, a share `size` of frames a second
  slow,     // frames take up to `size` seconds more
  full      // holders' room is a thousandth
};
std::string_view name_of(CopyFault fault);

struct CopyFaultSpec {
  CopyFault kind{};
  double at = 0, lasts = 0, part = 0, size = 0;
};

struct CopyDay {
  std::uint64_t seed = 1;
  std::uint32_t relays = 8;
  double seconds = 30, rate = 2;  // messages a second and relay
  std::vector<CopyFaultSpec> faults;
  copies::CopiesSettings settings;
};

enum class CopyRule : std::uint8_t { second_copy, effect_twice, attempts, lost, two_leaders };
inline constexpr std::size_t kCopyRules = 5;
std::string_view name_of(CopyRule rule);

struct CopyResult {
  std::array<std::uint64_t, kCopyRules> broken{};
  std::string first;  // what broke first, a line a step
  std::uint64_t messages = 0, promised = 0, refused = 0, delivered = 0, ended = 0;
  std::uint64_t unavoidable = 0;  // without an end, where all that knew of the message were lost or stopped
  std::uint64_t calls = 0, calls_of_heirs = 0, inherited = 0, handed_back = 0, expired = 0;
  std::uint64_t won = 0, frames = 0, frame_bytes = 0, groups = 0;
  // What lost machines held with four seconds or more to go, had promised, and was not delivered by then.
  std::uint64_t at_stake = 0, saved = 0;
  std::vector<double> first_calls;  // seconds from a loss to an heir's call of a message that it had held
  std::vector<double> promise_ms;
  bool stopped = false;
  bool rules_kept() const {
    for (const std::uint64_t b : broken) {
      if (b > 0) return false;
    }
    return true;
  }
};

CopyResult play_copies(const CopyDay& day, const std::atomic<bool>* stop = nullptr);

// One drawn day: 4 to `most` relays, up to four faults.
CopyDay copy_day(std::uint64_t seed, std::uint32_t most);

}  // namespace valedrum::lab
