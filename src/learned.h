// What a process has learned of lanes and hosts, put in words for the one that takes its place, and taken up
// there. Nothing is decided here.
#pragma once

#include "fleet.h"
#include "vetchhinge/policy.h"

namespace vetchhinge {

LearnedState learned(Fleet& fleet, Time now);

// Of hosts that are not known any more, nothing is taken up. Returns the lanes that have something to judge.
std::vector<std::size_t> take_up(Fleet& fleet, const LearnedState& learned, Time now);

}  // namespace vetchhinge
