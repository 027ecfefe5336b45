#include "string_pool.h"

#include <cstring>
#include <stdexcept>

namespace valedrum::catalog {

StringPool::Offset StringPool::add(std::string_view text) {
  const std::uint32_t length = stored_bytes(text.size());
  if (open_ == kNoChunk || chunks_[open_].filled + length > kChunkBytes) {
    MemoryChunk memory = allocate_chunk();
    const std::uint32_t full = open_;
    if (free_.empty()) {
      // An offset has 32 bits, which address 65,536 chunks of 64 KB.
      if (chunks_.size() > ~Offset{0} / kChunkBytes) throw std::length_error("catalog: over 4 GB of ids");
      open_ = static_cast<std::uint32_t>(chunks_.size());
      chunks_.emplace_back();
    } else {
      open_ = free_.back();
      free_.pop_back();
    }
    chunks_[open_] = {std::move(memory), 0, 0, false};
    ++mapped_;
    if (full != kNoChunk) queue_if_sparse(full);
  }
  Chunk& chunk = chunks_[open_];
  const Offset offset = static_cast<Offset>(open_ * kChunkBytes + chunk.filled);
  std::byte* to = chunk.memory.get() + chunk.filled;
  if (text.size() < 128) {
    *to++ = static_cast<std::byte>(text.size());
  } else {
    *to++ = static_cast<std::byte>(0x80 | (text.size() >> 8));
    *to++ = static_cast<std::byte>(text.size() & 0xff);
  }
  std::memcpy(to, text.data(), text.size());
  chunk.filled += length;
  chunk.live += length;
  return offset;
}

std::string_view StringPool::at(Offset offset) const {
  const std::byte* from = chunks_[offset / kChunkBytes].memory.get() + offset % kChunkBytes;
  std::size_t length = static_cast<std::size_t>(*from++);
  if (length >= 128) length = (length & 0x7f) << 8 | static_cast<std::size_t>(*from++);
  return {reinterpret_cast<const char*>(from), length};
}

void StringPool::remove(Offset offset) {
  const auto chunk = static_cast<std::uint32_t>(offset / kChunkBytes);
  chunks_[chunk].live -= stored_bytes(at(offset).size());
  queue_if_sparse(chunk);
}

void StringPool::queue_if_sparse(std::uint32_t number) {
  Chunk& chunk = chunks_[number];
  if (number == open_ || chunk.sparse || chunk.live >= chunk.filled / 3 * 2) return;
  chunk.sparse = true;
  sparse_.push_back(number);
}

bool StringPool::select_victim() {
  for (;;) {
    if (victim_ != kNoChunk) {
      Chunk& chunk = chunks_[victim_];
      if (chunk.live > 0 && next_ < chunk.filled) return true;
      chunk = {};
      --mapped_;
      free_.push_back(victim_);
      victim_ = kNoChunk;
    }
    if (sparse_.empty()) return false;
    victim_ = sparse_.back();
    sparse_.pop_back();
    next_ = 0;
  }
}

std::size_t StringPool::bytes() const {
  const std::size_t full =
      mapped_ > 0 ? (mapped_ - 1) * kChunkBytes + resident_bytes(chunks_[open_].filled) : 0;
  return full + chunks_.capacity() * sizeof(Chunk) +
         (free_.capacity() + sparse_.capacity()) * sizeof(std::uint32_t);
}

void StringPool::clear() {
  while (chunks_.size() > 1) chunks_.pop_back();
  free_.clear();
  sparse_.clear();
  victim_ = kNoChunk;
  mapped_ = 0;
  open_ = kNoChunk;
  if (chunks_.empty()) return;
  if (!chunks_[0].memory) chunks_[0].memory = allocate_chunk();
  chunks_[0] = {std::move(chunks_[0].memory), 0, 0, false};
  open_ = 0;
  mapped_ = 1;
}

bool StringPool::release_chunk() {
  free_.clear();
  sparse_.clear();
  victim_ = open_ = kNoChunk;
  mapped_ = 0;
  if (chunks_.empty()) return false;
  chunks_.pop_back();
  return true;
}

}  // namespace valedrum::catalog
