// A hash index over the slots of a table. It uses linear hashing (Litwin 1980): buckets are added and removed
// one at a time, so that the cost of a single operation does not grow with the size of the index. Collision
// chains are linked through the records themselves.
#pragma once

#include <bit>
#include <cstdint>

#include "memory_chunk.h"

namespace valedrum::catalog {

// The number of a record in a table.
using Slot = std::uint32_t;
constexpr Slot kNoSlot = ~Slot{0};

// `Links` gives access to the records: `Slot& next(Slot)` is the field that holds the next record of the
// chain, and `std::uint64_t hash(Slot)` is the hash of the record's key.
template <class Links>
class HashIndex {
 public:
  // Returns the first slot in the chain of `hash` for which equal(slot) is true, or kNoSlot.
  template <class Equal>
  Slot find(std::uint64_t hash, Links links, Equal&& equal) const {
    if (heads_.size() == 0) return kNoSlot;
    Slot at = heads_[bucket(hash)];
    while (at != kNoSlot && !equal(at)) at = links.next(at);
    return at;
  }

  void insert(Slot slot, std::uint64_t hash, Links links) {
    if (++count_ > heads_.size() * kMaxLoad) split(links);
    push(bucket(hash), slot, links);
  }

  void erase(Slot slot, std::uint64_t hash, Links links) {
    *link_to(slot, hash, links) = links.next(slot);
    if (--count_ < heads_.size() * kMinLoad) merge(links);
  }

  // Puts `replacement` into the chain instead of `slot`. Both have the same hash.
  void replace(Slot slot, Slot replacement, std::uint64_t hash, Links links) {
    const Slot next = links.next(slot);
    *link_to(slot, hash, links) = replacement;
    links.next(replacement) = next;
  }

  std::size_t size() const { return count_; }
  std::size_t bytes() const { return heads_.bytes(); }  // resident memory of the buckets
  std::size_t chunk_count() const { return heads_.chunk_count(); }
  void clear() {
    heads_.clear();
    count_ = 0;
  }
  // Frees one memory chunk of an empty index. Returns false if there is none left.
  bool release_chunk() { return heads_.release_chunk(); }

 private:
  // Records per bucket. At the maximum, two records share one bucket of four bytes.
  static constexpr std::size_t kMaxLoad = 2;
  static constexpr std::size_t kMinLoad = 1;

  std::size_t bucket(std::uint64_t hash) const {
    const std::size_t doubled = std::bit_ceil(heads_.size());
    const std::size_t at = hash & (doubled - 1);
    return at < heads_.size() ? at : at - doubled / 2;
  }

  void push(std::size_t at, Slot slot, Links links) {
    links.next(slot) = heads_[at];
    heads_[at] = slot;
  }

  // Returns the bucket head or chain link that holds `slot`.
  Slot* link_to(Slot slot, std::uint64_t hash, Links links) {
    Slot* link = &heads_[bucket(hash)];
    while (*link != slot) link = &links.next(*link);
    return link;
  }

  // Adds one bucket and moves into it the records of its buddy bucket that now hash to it.
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

  // Removes the last bucket and moves its records into its buddy bucket.
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

  ChunkedArray<Slot> heads_;  // first slot of each bucket's chain
  std::size_t count_ = 0;
};

}  // namespace valedrum::catalog
