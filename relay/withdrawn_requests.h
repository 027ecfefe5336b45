// The ends of messages whose clients did not hear that they were taken on. The same request may come once
// more on a new connection (PROTOCOL), with the time that it stated at first: that counts from its first
// sending.
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
  // Beyond this the one that was withdrawn first is forgotten.
  static constexpr std::size_t kMost = 1024;

  // `content`: by fingerprint_of_content(). Remembered for as long as it may come again.
  void remember(const std::string& id, std::uint64_t content, const Timestamp& deadline);
  // The earlier of a request's own end and the one that is remembered of it.
  Timestamp deadline_of(const std::string& id, std::uint64_t content, const Timestamp& own) const;

  bool empty() const { return entries_.empty(); }

 private:
  struct Entry {
    std::uint64_t content = 0;
    Timestamp deadline;
    Timestamp forgotten_at;
  };
  void forget_first();

  std::unordered_map<std::string, Entry> entries_;
  std::deque<std::string> order_;  // as they were withdrawn
};

}  // namespace myrtlegrade
