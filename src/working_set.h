/// Selects the destinations to evict while more are known than Settings::max_destinations allows: those for
/// which a new record would lead to the same decisions, longest at rest first. If there are none, the bound
/// is exceeded.
#pragma once

#include <cstddef>
#include <set>
#include <utility>
#include <vector>

#include "fleet.h"

namespace vetchhinge {

class WorkingSet {
 public:
  /// Adds a destination that was not known.
  void added(std::size_t destination);

  /// Returns the destinations to evict at a tick. All checks cost the same, and a tick makes a few hundred of
  /// them and two for each destination that was added since the last tick.
  std::vector<std::size_t> select_evictions(const Fleet& fleet, const Settings& s, Time now);

 private:
  std::set<std::pair<Time, std::size_t>> checks_;  // next check of each destination
  std::size_t added_ = 0;
};

}  // namespace vetchhinge
