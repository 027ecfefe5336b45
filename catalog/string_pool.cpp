#include "string_pool.h"

#include <cstring>
#include <stdexcept>

namespace valedrum::catalog {

StringPool::Offset StringPool::add(std::string_view text) {
  const std::uint32_t length = stored(text.size());
  if (open_ == kNoPart || parts_[open_].filled + length > kChunkBytes) {
    MemoryChunk piece = allocate_chunk();
    const std::uint32_t full = open_;
    if (free_.empty()) {
      // A place has 32 bits: 65,536 pieces of 64 KB.
      if (parts_.size() > ~Offset{0} / kChunkBytes) throw std::length_error("catalog: over 4 GB of ids");
      open_ = static_cast<std::uint32_t>(parts_.size());
      parts_.emplace_back();
    } else {
      open_ = free_.back();
      free_.pop_back();
    }
    parts_[open_] = {std::move(piece), 0, 0, false};
    ++held_;
    if (full != kNoPart) look(full);
  }
  Part& part = parts_[open_];
  const Offset place = static_cast<Offset>(open_ * kChunkBytes + part.filled);
  std::byte* to = part.piece.get() + part.filled;
  if (text.size() < 128) {
    *to++ = static_cast<std::byte>(text.size());
  } else {
    *to++ = static_cast<std::byte>(0x80 | (text.size() >> 8));
    *to++ = static_cast<std::byte>(text.size() & 0xff);
  }
  std::memcpy(to, text.data(), text.size());
  part.filled += length;
  part.live += length;
  return place;
}

std::string_view StringPool::at(Offset place) const {
  const std::byte* from = parts_[place / kChunkBytes].piece.get() + place % kChunkBytes;
  std::size_t length = static_cast<std::size_t>(*from++);
  if (length >= 128) length = (length & 0x7f) << 8 | static_cast<std::size_t>(*from++);
  return {reinterpret_cast<const char*>(from), length};
}

void StringPool::drop(Offset place) {
  const auto part = static_cast<std::uint32_t>(place / kChunkBytes);
  parts_[part].live -= stored(at(place).size());
  look(part);
}

void StringPool::look(std::uint32_t number) {
  Part& part = parts_[number];
  if (number == open_ || part.sparse || part.live >= part.filled / 3 * 2) return;
  part.sparse = true;
  sparse_.push_back(number);
}

// True: there is a text to look at, at next_ of the victim.
bool StringPool::choose() {
  for (;;) {
    if (victim_ != kNoPart) {
      Part& part = parts_[victim_];
      if (part.live > 0 && next_ < part.filled) return true;
      part = {};
      --held_;
      free_.push_back(victim_);
      victim_ = kNoPart;
    }
    if (sparse_.empty()) return false;
    victim_ = sparse_.back();
    sparse_.pop_back();
    next_ = 0;
  }
}

std::size_t StringPool::bytes() const {
  const std::size_t full = held_ > 0 ? (held_ - 1) * kChunkBytes + resident(parts_[open_].filled) : 0;
  return full + parts_.capacity() * sizeof(Part) +
         (free_.capacity() + sparse_.capacity()) * sizeof(std::uint32_t);
}

void StringPool::clear() {
  while (parts_.size() > 1) parts_.pop_back();
  free_.clear();
  sparse_.clear();
  victim_ = kNoPart;
  held_ = 0;
  open_ = kNoPart;
  if (parts_.empty()) return;
  if (!parts_[0].piece) parts_[0].piece = allocate_chunk();
  parts_[0] = {std::move(parts_[0].piece), 0, 0, false};
  open_ = 0;
  held_ = 1;
}

bool StringPool::release_chunk() {
  free_.clear();
  sparse_.clear();
  victim_ = open_ = kNoPart;
  held_ = 0;
  if (parts_.empty()) return false;
  parts_.pop_back();
  return true;
}

}  // namespace valedrum::catalog
