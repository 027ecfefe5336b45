// Counters of a relay since its start. They are logged periodically, if one has changed. The log line uses
// other names for some: accepted is `taken`, rejected_without_room `turned_away`, rejected_by_journal
// `journal_full`, rejected_by_policy `refused`, retries `repeats`, list_updates `lists`, and watch_failures
// `lists_lost`.
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
  std::uint64_t rejected_without_room = 0;  // by the relay itself, because it has no room
  std::uint64_t rejected_by_journal = 0;    // those of them that did not fit into the journal
  std::uint64_t rejected_by_policy = 0;     // by the decision module
  std::uint64_t delivered = 0;
  std::uint64_t given_up = 0;
  std::uint64_t retries = 0;                       // attempts after the first of a message
  std::array<std::uint64_t, kResults> outcomes{};  // of attempts, by result
  std::uint64_t list_updates = 0;                  // whole lists and changes received
  std::uint64_t watch_failures = 0;                // failed or broken watches
  std::uint64_t violations = 0;  // calls stopped by the relay's self-check; above 0 only through a bug

  void count_outcome(vetchhinge::Result result) { ++outcomes[static_cast<std::size_t>(result)]; }
  bool operator==(const Counters&) const = default;
};

// Returns the name of the result in log lines.
std::string_view name_of(vetchhinge::Result result);

std::ostream& operator<<(std::ostream& out, const Counters& c);

}  // namespace myrtlegrade
