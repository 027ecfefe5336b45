// A hash index over the slots of a table by linear hashing (Litwin 1980): buckets come and go one at a time,
// so that no single step costs more with size. The chains run through the records themselves.
#pragma once

#include <bit>
#include <cstdint>

#include "memory_chunk.h"

namespace valedrum::catalog {

using Slot = std::uint32_t;
constexpr Slot kNoSlot = ~Slot{0};

// Links: `Slot& next(Slot)`, where a record keeps the next of its chain, and `std::uint64_t hash(Slot)`.
template <class Links>
class HashIndex {
 public:
  // The first in the chain of `hash` for which equal(slot) is true.
  template <class Equal>
  Slot find(std::uint64_t hash, Links links, Equal&& equal) const {
    if (heads_.size() == 0) return kNoSlot;
    Slot at = heads_[bucket(hash)];
    while (at != kNoSlot && !equal(at)) at = links.next(at);
    return at;
  }

  void insert(Slot slot, std::uint64_t hash, Links links) {
    if (++count_ > heads_.size() * kMostLoad) split(links);
    push(bucket(hash), slot, links);
  }

  void erase(Slot slot, std::uint64_t hash, Links links) {
    *place_of(slot, hash, links) = links.next(slot);
    if (--count_ < heads_.size() * kLeastLoad) merge(links);
  }

  // `with` takes the place of `slot`; both have the same hash.
  void replace(Slot slot, Slot with, std::uint64_t hash, Links links) {
    const Slot next = links.next(slot);
    *place_of(slot, hash, links) = with;
    links.next(with) = next;
  }

  std::size_t size() const { return count_; }
  std::size_t bytes() const { return heads_.bytes(); }
  std::size_t chunk_count() const { return heads_.chunk_count(); }
  void clear() {
    heads_.clear();
    count_ = 0;
  }
  bool release_chunk() { return heads_.release_chunk(); }

 private:
  static constexpr std::size_t kMostLoad = 2;  // records a bucket: four bytes of heads for two records (ours)
  static constexpr std::size_t kLeastLoad = 1;

  std::size_t bucket(std::uint64_t hash) const {
    const std::size_t doubled = std::bit_ceil(heads_.size());
    const std::size_t at = hash & (doubled - 1);
    return at < heads_.size() ? at : at - doubled / 2;
  }

  void push(std::size_t at, Slot slot, Links links) {
    links.next(slot) = heads_[at];
    heads_[at] = slot;
  }

  Slot* place_of(Slot slot, std::uint64_t hash, Links links) {
    Slot* place = &heads_[bucket(hash)];
    while (*place != slot) place = &links.next(*place);
    return place;
  }

  // One bucket more: what belongs there now leaves the one that had it.
  void split(Links links) {
    heads_.push_back(kNoSlot);
    const std::size_t added = heads_.size() - 1;
    if (added == 0) return;
    const std::size_t from = added - std::bit_floor(added);
    Slot at = std::exchange(heads_[from], kNoSlot);
    while (at != kNoSlot) {
      const Slot next = links.next(at);
      push(bucket(links.hash(at)), at, links);
      at = next;
    }
  }

  void merge(Links links) {
    if (heads_.size() < 2) return;
    const std::size_t last = heads_.size() - 1;
    Slot at = heads_[last];
    heads_.pop_back();
    while (at != kNoSlot) {
      const Slot next = links.next(at);
      push(last - std::bit_floor(last), at, links);
      at = next;
    }
  }

  ChunkedArray<Slot> heads_;
  std::size_t count_ = 0;
};

}  // namespace valedrum::catalog
