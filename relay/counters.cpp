#include "counters.h"

namespace myrtlegrade {

namespace {

constexpr std::array<std::string_view, Counters::kResults> kResultNames = {
    "ok", "error", "full", "timed_out", "connect_failed", "reset", "cancelled", "not_sent"};

}  // namespace

std::string_view name_of(vetchhinge::Result result) { return kResultNames[static_cast<std::size_t>(result)]; }

std::ostream& operator<<(std::ostream& out, const Counters& c) {
  out << "taken=" << c.accepted << " turned_away=" << c.rejected_without_room
      << " refused=" << c.rejected_by_policy << " delivered=" << c.delivered << " given_up=" << c.given_up
      << " repeats=" << c.retries;
  for (std::size_t i = 0; i < kResultNames.size(); ++i) out << ' ' << kResultNames[i] << '=' << c.outcomes[i];
  return out << " lists=" << c.list_updates << " lists_lost=" << c.watch_failures
             << " journal_full=" << c.rejected_by_journal << " violations=" << c.violations;
}

}  // namespace myrtlegrade
