// Which destinations are put away while more are known than the settings allow: those of which a new record
// would decide the same, longest at rest first. Where none may go the bound is exceeded.
#pragma once

#include <cstddef>
#include <set>
#include <utility>
#include <vector>

#include "fleet.h"

namespace vetchhinge {

class WorkingSet {
 public:
  // A destination that was not known.
  void added(std::size_t destination);

  // Those to put away, at a tick. Each look costs the same, and there are no more of them than a few hundred
  // and two for each destination that was added since the last tick.
  std::vector<std::size_t> surplus(const Fleet& fleet, const Settings& s, Time now);

 private:
  std::set<std::pair<Time, std::size_t>> looks_;  // when each destination is to be looked at
  std::size_t added_ = 0;
};

}  // namespace vetchhinge
