// Interns pairs of zone and kind with a reference count. A fleet has few distinct pairs, so that each entry
// of the table stores a 16-bit number instead of two strings.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace valedrum::catalog {

class ZoneKindPool {
 public:
  struct ZoneKind {
    std::string zone, kind;
    std::uint32_t references = 0;
  };

  // Limit on pairs at a time, so that a corrupt list cannot fill the memory.
  static constexpr std::size_t kMaxPairs = 16384;

  // Returns the number of the pair, adding it if it is new, and counts one more reference. Returns nullopt if
  // the pair is new and the pool is full.
  std::optional<std::uint16_t> acquire(std::string_view zone, std::string_view kind);

  // Drops one reference; the last one removes the pair.
  void release(std::uint16_t number);

  const ZoneKind& at(std::uint16_t number) const { return pairs_[number]; }

  std::size_t size() const { return by_name_.size(); }
  std::size_t bytes() const { return bytes_; }  // approximate memory use
  void clear();

 private:
  static std::size_t memory_of(const ZoneKind& pair);

  std::deque<ZoneKind> pairs_;  // a deque keeps its elements in place: by_name_ refers to their strings
  std::map<std::pair<std::string_view, std::string_view>, std::uint16_t> by_name_;
  std::vector<std::uint16_t> free_numbers_;
  std::uint16_t last_ = 0;  // acquired last: most entries have the same pair as the entry before
  std::size_t bytes_ = 0;
};

}  // namespace valedrum::catalog
