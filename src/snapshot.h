/// Export of the learned state of limit groups and hosts, and its import by the successor process.
#pragma once

#include <vector>

#include "fleet.h"
#include "vetchhinge/policy.h"

namespace vetchhinge {

/// Exports what the successor can use: the state of listed hosts, of their limit groups, and of limit groups
/// whose destination has no listed host at present. Hosts that left the list are never named, because the
/// caller may have forgotten their ids.
LearnedState snapshot(Fleet& fleet, const std::vector<KindSettings>& kinds, Time now);

/// Restores the learned state of all hosts that are still known, and of limit groups without a host, whose
/// destinations must have a group already. Returns the limit groups whose cap must be evaluated.
std::vector<std::size_t> restore(Fleet& fleet, const LearnedState& state, Time now);

}  // namespace vetchhinge
