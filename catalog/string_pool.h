// The ids of a table, packed one after another in pieces. A text that goes leaves a hole; a piece of which
// less than two thirds is still in use is emptied a few texts at a time, and given back.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "memory_chunk.h"

namespace valedrum::catalog {

class StringPool {
 public:
  using Offset = std::uint32_t;

  Offset add(std::string_view text);  // at most kMaxTextBytes bytes
  std::string_view at(Offset place) const;
  void drop(Offset place);

  // Looks through at most `most` texts of pieces with holes. `owner(text, place)` gives where the place of
  // the text is kept, or none for one that has been dropped; it is set to the new place.
  template <class Owner>
  void tidy(std::size_t most, Owner&& owner) {
    for (; most > 0 && choose(); --most) {
      const Offset place = victim_ * kChunkBytes + next_;
      const std::string_view text = at(place);
      next_ += stored(text.size());
      if (Offset* const kept = owner(text, place)) {
        *kept = add(text);
        drop(place);
      }
    }
  }

  std::size_t bytes() const;
  std::size_t chunk_count() const { return parts_.size(); }
  void clear();
  bool release_chunk();

 private:
  struct Part {
    MemoryChunk piece;
    std::uint32_t filled = 0;
    std::uint32_t live = 0;  // bytes of texts that have not been dropped
    bool sparse = false;     // waits in sparse_, or is being emptied
  };

  static constexpr std::uint32_t kNoPart = ~std::uint32_t{0};

  static std::uint32_t stored(std::size_t length) {
    return static_cast<std::uint32_t>(length + (length < 128 ? 1 : 2));
  }
  bool choose();
  void look(std::uint32_t part);

  std::vector<Part> parts_;
  std::vector<std::uint32_t> free_;    // parts without a piece
  std::vector<std::uint32_t> sparse_;  // parts with holes
  std::uint32_t open_ = kNoPart;       // where texts are added
  std::uint32_t victim_ = kNoPart;     // being emptied, looked through up to next_
  std::uint32_t next_ = 0;
  std::size_t held_ = 0;  // pieces
};

}  // namespace valedrum::catalog
