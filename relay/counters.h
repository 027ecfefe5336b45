// What a relay has done since its start, for its log: one line every so often, and only if something changed.
#pragma once

#include <array>
#include <cstdint>
#include <ostream>
#include <string_view>

#include "vetchhinge/policy.h"

namespace myrtlegrade {

struct Counters {
  static constexpr std::size_t kResults = 8;

  std::uint64_t accepted = 0;               // messages
  std::uint64_t rejected_without_room = 0;  // by the relay itself, for want of room
  std::uint64_t rejected_by_policy = 0;     // by the module
  std::uint64_t delivered = 0;
  std::uint64_t given_up = 0;
  std::uint64_t retries = 0;                       // attempts after a message's first
  std::array<std::uint64_t, kResults> outcomes{};  // of attempts, by result
  std::uint64_t list_updates = 0;                  // whole lists and changes taken
  std::uint64_t watch_failures = 0;                // watches that failed or broke
  std::uint64_t violations = 0;  // calls that the relay's own check stopped: 0, or the program has a fault

  void count_outcome(vetchhinge::Result result) { ++outcomes[static_cast<std::size_t>(result)]; }
  bool operator==(const Counters&) const = default;
};

std::string_view name_of(vetchhinge::Result result);

std::ostream& operator<<(std::ostream& out, const Counters& c);

}  // namespace myrtlegrade
