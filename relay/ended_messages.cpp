#include "ended_messages.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "journal_records.h"

namespace myrtlegrade {

std::uint64_t fingerprint(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t fingerprint_of_content(std::string_view cls, std::uint64_t destination, std::string_view key,
                                     std::string_view body) {
  return fingerprint(body, fingerprint(key, fingerprint(cls, destination)));
}

RecordWriter& write(RecordWriter& out, const Ended& e) {
  out.number(static_cast<std::uint64_t>(e.retry_in.count()) << 2 | static_cast<std::uint64_t>(e.told));
  out.number(e.content);
  return write(out, e.until);
}

Ended read_ended(RecordReader& in) {
  Ended e;
  const std::uint64_t how = in.number();
  e.told = static_cast<Ended::Told>(how & 3);
  e.retry_in = std::chrono::milliseconds(how >> 2);
  e.content = in.number();
  e.until = read_timestamp(in);
  return e;
}

void EndedMessages::remember(std::uint64_t id, const Ended& ended, const Timestamp& now) {
  while (!order_.empty() && !find(order_.front(), now)) forget_first();
  if (until(ended.until, now) <= vetchhinge::Duration{}) return;
  if (!entries_.insert_or_assign(id, ended).second) return;
  if (order_.size() >= kMost) forget_first();
  order_.push_back(id);
}

const Ended* EndedMessages::find(std::uint64_t id, const Timestamp& now) const {
  const auto found = entries_.find(id);
  const bool remembered = found != entries_.end() && until(found->second.until, now) > vetchhinge::Duration{};
  return remembered ? &found->second : nullptr;
}

void EndedMessages::forget_first() {
  entries_.erase(order_.front());
  order_.pop_front();
}

}  // namespace myrtlegrade
