#include "withdrawn_requests.h"

#include "ended_messages.h"

namespace myrtlegrade {

using vetchhinge::Duration;

void WithdrawnRequests::remember(const std::string& id, std::uint64_t content, const Timestamp& deadline) {
  const Timestamp present = read_clocks();
  const auto is_over = [&] { return until(entries_.at(order_.front()).forgotten_at, present) <= Duration{}; };
  while (!order_.empty() && is_over()) forget_first();
  const Entry entry{content, deadline, present + kComesAgainWithin};
  if (!entries_.insert_or_assign(id, entry).second) return;
  if (order_.size() >= kMost) forget_first();
  order_.push_back(id);
}

Timestamp WithdrawnRequests::deadline_of(const std::string& id, std::uint64_t content,
                                         const Timestamp& own) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.content != content) return own;
  const Timestamp present = read_clocks();
  if (until(found->second.forgotten_at, present) <= Duration{}) return own;
  const Timestamp& first = found->second.deadline;
  return until(first, present) < until(own, present) ? first : own;
}

void WithdrawnRequests::forget_first() {
  entries_.erase(order_.front());
  order_.pop_front();
}

}  // namespace myrtlegrade
