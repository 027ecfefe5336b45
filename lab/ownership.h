// The exchange of copies/group.h, explored: one message, the three that know of it, and every order in which
// what they say arrives, is lost, comes again or late, while they crash, are stopped, and come back with
// their folder or without. The code that is explored is the code that runs.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "copies/types.h"

namespace valedrum::lab {

struct OwnershipBounds {
  unsigned ticks = 6;      // of a lease each: how long a story may be
  unsigned crashes = 1;    // of processes whose folder is kept
  unsigned losses = 1;     // of machines with their folder
  unsigned questions = 2;  // for votes, of all together
  unsigned attempts = 2;   // of the message
  unsigned copies = 2;     // of its body besides the origin's
  bool once = false;       // work that may not be repeated
  std::size_t most_states = 3'000'000;
  copies::DisabledSafeguard without = copies::DisabledSafeguard::none;
  const std::atomic<bool>* stop = nullptr;
};

struct OwnershipResult {
  std::size_t states = 0, steps = 0;  // different states, and steps between them that were taken
  bool whole = false;                 // all within the bounds, and not only the first `most_states`
  double seconds = 0;
  std::string broken;              // the invariant; empty: none
  std::vector<std::string> story;  // a shortest one that breaks it, a line a step
  // How often it came to this, so that nothing holds for want of a case.
  std::size_t takeovers = 0, calls = 0, calls_after_takeover = 0, ends_unknown = 0;
};

OwnershipResult explore(const OwnershipBounds& bounds);

}  // namespace valedrum::lab
