// Remembers the deadlines of withdrawn requests, whose clients went away before they were told that their
// message was accepted. The protocol lets a client submit the same request again on a new connection with its
// original timeout, which counts from the first submission.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "timestamp.h"

namespace myrtlegrade {

class WithdrawnRequests {
 public:
  // Beyond this number the oldest entry is evicted.
  static constexpr std::size_t kMaxEntries = 1024;

  // Remembers a request for as long as it may be submitted again. `content` is its content_fingerprint().
  void remember(const std::string& id, std::uint64_t content, const Timestamp& deadline);
  // Returns the earlier of a request's own deadline and the one that is remembered for it.
  Timestamp deadline_of(const std::string& id, std::uint64_t content, const Timestamp& own_deadline) const;

  bool empty() const { return entries_.empty(); }

 private:
  struct Entry {
    std::uint64_t content = 0;
    Timestamp deadline;
    Timestamp expires_at;
  };
  void evict_oldest();

  std::unordered_map<std::string, Entry> entries_;
  std::deque<std::string> order_;  // in order of withdrawal
};

}  // namespace myrtlegrade
