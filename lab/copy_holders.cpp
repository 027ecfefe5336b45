#include "copy_holders.h"

#include <fstream>

namespace valedrum::lab {

std::vector<std::uint32_t> copy_holders(const std::string& folder, std::size_t relays,
                                        const std::string& id) {
  const std::string held = " " + id + " copy_held ";
  std::vector<std::uint32_t> holders;
  for (std::uint32_t relay = 0; relay < relays; ++relay) {
    std::ifstream log(folder + "/relay-" + std::to_string(relay) + "/log");
    for (std::string line; std::getline(log, line);) {
      if (line.find(held) == std::string::npos) continue;
      holders.push_back(relay);
      break;
    }
  }
  return holders;
}

}  // namespace valedrum::lab
