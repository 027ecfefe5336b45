/// Export of the learned state of limit groups and hosts, and its import by the successor process.
#pragma once

#include "fleet.h"
#include "vetchhinge/policy.h"

namespace vetchhinge {

LearnedState snapshot(Fleet& fleet, Time now);

/// Restores the learned state of all hosts that are still known. Returns the limit groups whose cap must be
/// evaluated.
std::vector<std::size_t> restore(Fleet& fleet, const LearnedState& state, Time now);

}  // namespace vetchhinge
