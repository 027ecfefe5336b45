#include "completed_messages.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "journal_records.h"

namespace myrtlegrade {

std::uint64_t fingerprint(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t content_fingerprint(std::string_view cls, std::uint64_t destination, std::string_view key,
                                  std::string_view body) {
  return fingerprint(body, fingerprint(key, fingerprint(cls, destination)));
}

RecordWriter& write(RecordWriter& out, const CompletedMessage& completed) {
  out.number(static_cast<std::uint64_t>(completed.retry_in.count()) << 2 |
             static_cast<std::uint64_t>(completed.reply));
  out.number(completed.content);
  return write(out, completed.expires_at);
}

CompletedMessage read_completed_message(RecordReader& in) {
  CompletedMessage completed;
  const std::uint64_t reply_and_retry = in.number();
  completed.reply = static_cast<CompletedMessage::Reply>(reply_and_retry & 3);
  completed.retry_in = std::chrono::milliseconds(reply_and_retry >> 2);
  completed.content = in.number();
  completed.expires_at = read_timestamp(in);
  return completed;
}

void CompletedMessages::remember(std::uint64_t id, const CompletedMessage& completed, const Timestamp& now) {
  while (!order_.empty() && !find(order_.front(), now)) evict_oldest();
  if (until(completed.expires_at, now) <= vetchhinge::Duration{}) return;
  if (!entries_.insert_or_assign(id, completed).second) return;
  if (order_.size() >= kMaxEntries) evict_oldest();
  order_.push_back(id);
}

const CompletedMessage* CompletedMessages::find(std::uint64_t id, const Timestamp& now) const {
  const auto found = entries_.find(id);
  const bool remembered =
      found != entries_.end() && until(found->second.expires_at, now) > vetchhinge::Duration{};
  return remembered ? &found->second : nullptr;
}

void CompletedMessages::evict_oldest() {
  entries_.erase(order_.front());
  order_.pop_front();
}

}  // namespace myrtlegrade
