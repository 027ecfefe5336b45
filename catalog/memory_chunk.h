// Memory in pieces of one size, each given back to the system by itself: a table that is let go of leaves no
// holes in the heap, which a second whole list would otherwise be laid beside.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace valedrum::catalog {

constexpr std::size_t kChunkBytes = 64 << 10;

struct ChunkDeleter {
  void operator()(std::byte* piece) const;
};
using MemoryChunk = std::unique_ptr<std::byte, ChunkDeleter>;

// kChunkBytes, aligned to a page; what has not been written to takes no memory. Throws std::bad_alloc.
MemoryChunk allocate_chunk();

// Of the first `used` bytes of a piece, those that are in memory.
constexpr std::size_t resident(std::size_t used) { return (used + 4095) / 4096 * 4096; }

// An array that grows and shrinks at its end without moving what it holds. T is trivially copyable.
template <class T>
class ChunkedArray {
 public:
  T& operator[](std::size_t i) { return reinterpret_cast<T*>(pieces_[i / kEach].get())[i % kEach]; }
  const T& operator[](std::size_t i) const {
    return reinterpret_cast<const T*>(pieces_[i / kEach].get())[i % kEach];
  }
  std::size_t size() const { return size_; }

  void push_back(const T& value) {
    if (size_ == pieces_.size() * kEach) pieces_.push_back(allocate_chunk());
    ++size_;
    (*this)[size_ - 1] = value;
    used_ = used_ < size_ ? size_ : used_;
  }

  // Half a piece is kept beyond the end, so that an array at a border doesn't ask the system at each step.
  void pop_back() {
    --size_;
    if (pieces_.size() * kEach >= size_ + kEach + kEach / 2) drop_chunk();
  }

  // The memory of one piece of an empty array. False: there is none.
  bool release_chunk() {
    if (pieces_.empty()) return false;
    drop_chunk();
    return true;
  }

  void clear() { size_ = 0; }
  std::size_t chunk_count() const { return pieces_.size(); }

  // In memory now.
  std::size_t bytes() const {
    return used_ / kEach * kChunkBytes + resident(used_ % kEach * sizeof(T)) +
           pieces_.capacity() * sizeof(MemoryChunk);
  }

 private:
  static constexpr std::size_t kEach = kChunkBytes / sizeof(T);

  void drop_chunk() {
    pieces_.pop_back();
    if (used_ > pieces_.size() * kEach) used_ = pieces_.size() * kEach;
  }

  std::vector<MemoryChunk> pieces_;
  std::size_t size_ = 0;
  std::size_t used_ = 0;  // elements that have been written to since their piece came
};

}  // namespace valedrum::catalog
