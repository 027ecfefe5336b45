// What is remembered of messages that have ended, for as long as the same request may still come once more: a
// client can't tell whether its request was read before its connection broke.
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

// From a request's first reading to that of the same request on a new connection: a client waits 400 ms in
// all, the relay may be held up for 150 ms before it takes the connection and again before it reads it, and
// on sockets a time limit is 50 ms longer.
inline constexpr std::chrono::milliseconds kComesAgainWithin =
    budgets::kAnswerOwed + budgets::kUnread + budgets::kSlack;

// Equal on every machine and for every version: it is kept in files.
std::uint64_t fingerprint(std::string_view text, std::uint64_t seed = 0);

// Of all that makes two requests under one id the same one.
std::uint64_t fingerprint_of_content(std::string_view cls, std::uint64_t destination, std::string_view key,
                                     std::string_view body);

struct Ended {
  enum class Told : std::uint8_t { taken, failed, refused };

  Told told = Told::failed;  // what the same request is answered
  std::chrono::milliseconds retry_in{};
  std::uint64_t content = 0;
  Timestamp until;
};

RecordWriter& write(RecordWriter& out, const Ended& ended);
Ended read_ended(RecordReader& in);

// By a fingerprint of the id. Where those of two ids collide, the other message's content differs, and it is
// refused as one with another's id: it takes both fingerprints, 128 bits, to pass for another message.
class EndedMessages {
 public:
  // Beyond this the one that was remembered first is forgotten: 100 bytes each.
  static constexpr std::size_t kMost = 4096;

  // Forgets some of those whose time is up, too.
  void remember(std::uint64_t id, const Ended& ended, const Timestamp& now);
  // Null: not known, or not any more.
  const Ended* find(std::uint64_t id, const Timestamp& now) const;

  std::size_t size() const { return entries_.size(); }
  // The newest that are still remembered, so many at most, the oldest of them first.
  template <typename Use>
  void for_newest(std::size_t most, const Timestamp& now, Use use) const {
    for (std::size_t n = order_.size() - std::min(most, order_.size()); n < order_.size(); ++n) {
      if (const Ended* const ended = find(order_[n], now)) use(order_[n], *ended);
    }
  }

 private:
  void forget_first();

  std::unordered_map<std::uint64_t, Ended> entries_;
  std::deque<std::uint64_t> order_;  // as they were remembered
};

}  // namespace myrtlegrade
