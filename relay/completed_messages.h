// Remembers completed messages for as long as their requests may be submitted again: a client can't tell
// whether its request was read before its connection broke.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>

#include "budgets.h"
#include "record_codec.h"
#include "timestamp.h"

namespace myrtlegrade {

// Longest time from the first read of a request to the read of the same request on a new connection: a client
// waits 400 ms in all, the relay may stall for 150 ms before it accepts the connection and again before it
// reads it, and time limits are 50 ms longer on sockets.
inline constexpr std::chrono::milliseconds kResubmissionWindow =
    budgets::kAnswerTimeout + budgets::kMaxUnreadTime + budgets::kSocketTolerance;

// The result is the same on every machine and in every version, as it is stored in files.
std::uint64_t fingerprint(std::string_view text, std::uint64_t seed = 0);

// Returns a fingerprint of all fields that must be equal for two requests with one id to be the same request.
std::uint64_t content_fingerprint(std::string_view cls, std::uint64_t destination, std::string_view key,
                                  std::string_view body);

// What is remembered of one completed message.
struct CompletedMessage {
  // The answer to the same request. The numbers are stored in files.
  enum class Reply : std::uint8_t { accepted, failed, refused };

  Reply reply = Reply::failed;
  std::chrono::milliseconds retry_in{};
  std::uint64_t content = 0;  // content_fingerprint()
  Timestamp expires_at;
};

RecordWriter& write(RecordWriter& out, const CompletedMessage& completed);
CompletedMessage read_completed_message(RecordReader& in);

// Completed messages by a fingerprint of their id. Where the fingerprints of two ids collide, the contents
// differ, and the request is rejected as one that reuses an id: both fingerprints (128 bits) must collide for
// a request to be mistaken for another.
class CompletedMessages {
 public:
  // Beyond this number the oldest entry is evicted. An entry takes 100 bytes.
  static constexpr std::size_t kMaxEntries = 4096;

  // Adds or replaces an entry, and evicts expired ones from the front of the queue.
  void remember(std::uint64_t id, const CompletedMessage& completed, const Timestamp& now);
  // Returns null if the id is unknown or its entry has expired.
  const CompletedMessage* find(std::uint64_t id, const Timestamp& now) const;

  std::size_t size() const { return entries_.size(); }
  // Visits the unexpired ones of the newest `max_count` entries, oldest first.
  template <typename Visitor>
  void for_each_newest(std::size_t max_count, const Timestamp& now, Visitor visit) const {
    for (std::size_t n = order_.size() - std::min(max_count, order_.size()); n < order_.size(); ++n) {
      if (const CompletedMessage* const completed = find(order_[n], now)) visit(order_[n], *completed);
    }
  }

 private:
  void evict_oldest();

  std::unordered_map<std::uint64_t, CompletedMessage> entries_;
  std::deque<std::uint64_t> order_;  // in order of insertion
};

}  // namespace myrtlegrade
