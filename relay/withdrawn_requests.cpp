#include "withdrawn_requests.h"

#include "completed_messages.h"

namespace myrtlegrade {

using vetchhinge::Duration;

void WithdrawnRequests::remember(const std::string& id, std::uint64_t content, const Timestamp& deadline) {
  const Timestamp present = read_clocks();
  const auto is_expired = [&] {
    return until(entries_.at(order_.front()).expires_at, present) <= Duration{};
  };
  while (!order_.empty() && is_expired()) evict_oldest();
  const Entry entry{content, deadline, present + kResubmissionWindow};
  if (!entries_.insert_or_assign(id, entry).second) return;
  if (order_.size() >= kMaxEntries) evict_oldest();
  order_.push_back(id);
}

Timestamp WithdrawnRequests::deadline_of(const std::string& id, std::uint64_t content,
                                         const Timestamp& own_deadline) const {
  const auto found = entries_.find(id);
  if (found == entries_.end() || found->second.content != content) return own_deadline;
  const Timestamp present = read_clocks();
  if (until(found->second.expires_at, present) <= Duration{}) return own_deadline;
  const Timestamp& first = found->second.deadline;
  return until(first, present) < until(own_deadline, present) ? first : own_deadline;
}

void WithdrawnRequests::evict_oldest() {
  entries_.erase(order_.front());
  order_.pop_front();
}

}  // namespace myrtlegrade
