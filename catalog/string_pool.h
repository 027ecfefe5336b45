// Stores the ids of a table, packed one after another in memory chunks. A removed string leaves a hole. A
// chunk of which less than two thirds is in use is compacted: its strings are moved elsewhere, a few at a
// time, and the chunk is freed.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "memory_chunk.h"

namespace valedrum::catalog {

class StringPool {
 public:
  using Offset = std::uint32_t;

  // Stores a string of at most kMaxTextBytes. Throws std::length_error if offsets run out.
  Offset add(std::string_view text);
  std::string_view at(Offset offset) const;
  void remove(Offset offset);

  // Visits at most `max_strings` strings of chunks with holes and moves those that are still in use.
  // `owner(text, offset)` returns the variable that holds the offset of the string, which is set to the new
  // offset, or nullptr if the string has been removed.
  template <class Owner>
  void compact(std::size_t max_strings, Owner&& owner) {
    for (; max_strings > 0 && select_victim(); --max_strings) {
      const Offset offset = victim_ * kChunkBytes + next_;
      const std::string_view text = at(offset);
      next_ += stored_bytes(text.size());
      if (Offset* const kept = owner(text, offset)) {
        *kept = add(text);
        remove(offset);
      }
    }
  }

  std::size_t bytes() const;  // resident memory
  std::size_t chunk_count() const { return chunks_.size(); }
  void clear();
  // Frees one chunk of a pool whose strings are no longer needed. Returns false if there is none left.
  bool release_chunk();

 private:
  struct Chunk {
    MemoryChunk memory;
    std::uint32_t filled = 0;
    std::uint32_t live = 0;  // bytes of strings that have not been removed
    bool sparse = false;     // queued in sparse_ or being compacted
  };

  static constexpr std::uint32_t kNoChunk = ~std::uint32_t{0};

  // Returns the size of a string with its length prefix of one or two bytes.
  static std::uint32_t stored_bytes(std::size_t length) {
    return static_cast<std::uint32_t>(length + (length < 128 ? 1 : 2));
  }
  // Frees the chunk being compacted once it is empty and selects the next one. Returns false if no string is
  // left to visit; otherwise the next one is at next_ of victim_.
  bool select_victim();
  // Queues a chunk for compaction if less than two thirds of it is in use.
  void queue_if_sparse(std::uint32_t number);

  std::vector<Chunk> chunks_;
  std::vector<std::uint32_t> free_;    // chunks without memory
  std::vector<std::uint32_t> sparse_;  // chunks queued for compaction
  std::uint32_t open_ = kNoChunk;      // chunk to which strings are added
  std::uint32_t victim_ = kNoChunk;    // chunk being compacted, visited up to next_
  std::uint32_t next_ = 0;
  std::size_t mapped_ = 0;  // chunks with memory
};

}  // namespace valedrum::catalog
