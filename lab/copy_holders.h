// Who held a copy of a message, from the traces that the relays of a run write (PROXY_TRACE=1): lines
// `ID copy_held from=...` of the holders' own logs.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace valedrum::lab {

// Numbers of the relays whose log says that they held it, in order. `folder` has the relays' folders.
std::vector<std::uint32_t> copy_holders(const std::string& folder, std::size_t relays, const std::string& id);

}  // namespace valedrum::lab
