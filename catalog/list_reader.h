// Reads one list of endpoints of discovery's form from pieces cut at any byte. Nothing of a list may be used
// before it is whole: one that is cut, spoilt or contradicts itself is worth nothing.
//
// What is taken is what parse_list takes, the relay's former reader (tests/landed_list.h): fields in any
// order, unknown ones ignored, and entries that cannot be used (no id, an unknown state, no address unless
// deleted, no cell where serving, a number of the wrong form) passed over. Of one id named twice the last
// counts. It is stricter in this: a list that says `version`, `full` or `servers` twice is refused, and one
// that passes the bounds below or has more pairs of zone and kind than a table holds; entries with a text
// over kMaxTextBytes are passed over.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "endpoint_table.h"

namespace valedrum::catalog {

// Bounds on what one list may hold, so that garbage can't fill the memory (ours). The target is 1.9 million
// entries, of at most about 130 MB with ids of 20 bytes.
struct ListLimits {
  static constexpr std::size_t kMaxElements = 4'000'000;     // also of any other array
  static constexpr std::size_t kMaxStagedBytes = 256 << 20;  // what is staged
  static constexpr std::size_t kMaxStringBytes = 1 << 20;    // one text or key, also one that is not kept
  static constexpr std::size_t kMaxFields = 1 << 16;         // of one object
  static constexpr std::size_t kMaxDepth = 32;               // nesting, as boost::json has it
  static constexpr std::size_t kMaxDeletedBeforeFull =
      10'000;  // DELETED in a whole list that says `full` only afterwards
};

class ListReader {
 public:
  enum class Status { needs_more, complete, invalid };

  ListReader();
  ~ListReader();
  ListReader(ListReader&&) noexcept;
  ListReader& operator=(ListReader&&) noexcept;

  // Takes at most `most` bytes off the front of `bytes`; 64 KB take one or two milliseconds. Whole: the list
  // has ended, and what comes after it (but for blanks) is still in `bytes`; nothing more is taken before
  // reset().
  Status feed(std::string_view& bytes, std::size_t most);

  Status status() const;
  std::uint64_t bytes_consumed() const;  // bytes of this list so far
  std::string error() const;             // of a bad one, in one line

  // Of a whole list.
  std::int64_t version() const;  // 0: it says none
  bool full() const;             // replaces what was known; otherwise only what has changed

  // What it says of each endpoint, in the order of listing: of a full one the entries, of the others the
  // changes, of which some may be EndpointState::deleted. No entry of a full one is.
  const EndpointTable& entries() const;

  // The same, to keep, or to give back in slices (EndpointTable::release_memory). Of one that is no longer
  // wanted too: a reader that is destroyed, or starts anew, with a large table gives it back all at once.
  EndpointTable take_entries();

  // Starts with the next list.
  void reset();

 private:
  struct Body;
  std::unique_ptr<Body> body_;
};

}  // namespace valedrum::catalog
