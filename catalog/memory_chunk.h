// Memory in chunks of one size, each of which is mapped from the system and unmapped on its own. A freed
// table thus leaves no holes in the heap, beside which the next full list would have to be allocated.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

namespace valedrum::catalog {

constexpr std::size_t kChunkBytes = 64 << 10;

struct ChunkDeleter {
  void operator()(std::byte* chunk) const;
};
using MemoryChunk = std::unique_ptr<std::byte, ChunkDeleter>;

// Maps kChunkBytes, aligned to a page. Pages that have not been written to take no memory. Throws
// std::bad_alloc.
MemoryChunk allocate_chunk();

// Returns the resident memory of a chunk of which the first `used` bytes have been written: whole pages.
constexpr std::size_t resident_bytes(std::size_t used) { return (used + 4095) / 4096 * 4096; }

// An array that grows and shrinks at its end without moving its elements. T is trivially copyable.
template <class T>
class ChunkedArray {
 public:
  T& operator[](std::size_t i) { return reinterpret_cast<T*>(chunks_[i / kPerChunk].get())[i % kPerChunk]; }
  const T& operator[](std::size_t i) const {
    return reinterpret_cast<const T*>(chunks_[i / kPerChunk].get())[i % kPerChunk];
  }
  std::size_t size() const { return size_; }

  void push_back(const T& value) {
    if (size_ == chunks_.size() * kPerChunk) chunks_.push_back(allocate_chunk());
    ++size_;
    (*this)[size_ - 1] = value;
    used_ = used_ < size_ ? size_ : used_;
  }

  // Keeps at least half a chunk of spare room, so that an array whose size changes around a chunk border does
  // not map and unmap memory at each step.
  void pop_back() {
    --size_;
    if (chunks_.size() * kPerChunk >= size_ + kPerChunk + kPerChunk / 2) unmap_last_chunk();
  }

  // Frees one chunk of an empty array. Returns false if there is none left.
  bool release_chunk() {
    if (chunks_.empty()) return false;
    unmap_last_chunk();
    return true;
  }

  void clear() { size_ = 0; }
  std::size_t chunk_count() const { return chunks_.size(); }

  // Returns the resident memory of the array.
  std::size_t bytes() const {
    return used_ / kPerChunk * kChunkBytes + resident_bytes(used_ % kPerChunk * sizeof(T)) +
           chunks_.capacity() * sizeof(MemoryChunk);
  }

 private:
  static constexpr std::size_t kPerChunk = kChunkBytes / sizeof(T);

  void unmap_last_chunk() {
    chunks_.pop_back();
    if (used_ > chunks_.size() * kPerChunk) used_ = chunks_.size() * kPerChunk;
  }

  std::vector<MemoryChunk> chunks_;
  std::size_t size_ = 0;
  // Number of elements written to since their chunk was mapped: their pages are resident.
  std::size_t used_ = 0;
};

}  // namespace valedrum::catalog
