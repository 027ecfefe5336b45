#include "counters.h"

#include <string_view>

namespace myrtlegrade {

std::ostream& operator<<(std::ostream& out, const Counters& c) {
  static constexpr std::array<std::string_view, Counters::kResults> names = {
      "ok", "error", "full", "timed_out", "connect_failed", "reset", "cancelled", "not_sent"};
  out << "taken=" << c.taken << " turned_away=" << c.turned_away << " refused=" << c.refused
      << " delivered=" << c.delivered << " given_up=" << c.given_up << " repeats=" << c.repeats;
  for (std::size_t i = 0; i < names.size(); ++i) out << ' ' << names[i] << '=' << c.outcomes[i];
  return out << " lists=" << c.lists << " lists_lost=" << c.lists_lost;
}

}  // namespace myrtlegrade
