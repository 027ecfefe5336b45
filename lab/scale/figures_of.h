// What the processes of a scale run said of one phase, as one object of its document.
#pragma once

#include <boost/json/object.hpp>
#include <vector>

#include "scale_day.h"

namespace valedrum::lab::scale {

// `said`: one object of each process that carries hollow relays, as Host::end_phase tells them. `others`:
// members that run beside them.
boost::json::object figures_of(const Phase& phase, const std::vector<boost::json::object>& said,
                               std::size_t others);

// Likewise of the stand-ins for discovery.
boost::json::object figures_of_discovery(const Phase& phase, const std::vector<boost::json::object>& said);

}  // namespace valedrum::lab::scale
