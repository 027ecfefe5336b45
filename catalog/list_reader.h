// An incremental parser for the JSON lists of endpoints that discovery sends. It accepts input cut at any
// byte. The result of a list may be used only once the list is complete: a list that is cut off, corrupt or
// contradictory is rejected as a whole.
//
// It accepts the same lists as parse_list, the relay's former parser (tests/reference_list_parser.h): fields
// may be in any order and unknown ones are ignored. Unusable entries (no id, an unknown state, no address
// unless deleted, no cell while serving, a number of the wrong form) are skipped. If an id is listed twice,
// the last entry counts. The reader is stricter in these points: it rejects a list in which `version`, `full`
// or `servers` occurs twice, that exceeds ListLimits, or that has more pairs of zone and kind than a table
// holds, and it skips entries with a string over kMaxTextBytes.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "endpoint_table.h"

namespace valedrum::catalog {

// Limits on one list, so that corrupt input cannot fill the memory. They leave room for 1.9 million entries,
// which take at most about 130 MB with ids of 20 bytes.
struct ListLimits {
  static constexpr std::size_t kMaxElements = 4'000'000;     // of `servers` and of any other array
  static constexpr std::size_t kMaxStagedBytes = 256 << 20;  // memory of the entries read so far
  static constexpr std::size_t kMaxStringBytes = 1 << 20;    // of a string or key, also in ignored fields
  static constexpr std::size_t kMaxFields = 1 << 16;         // of one object
  static constexpr std::size_t kMaxDepth = 32;               // of nesting; the default of boost::json
  // DELETED entries of a full list that are read before its `full` field.
  static constexpr std::size_t kMaxDeletedBeforeFull = 10'000;
};

// Parses one list after another into endpoint tables.
class ListReader {
 public:
  enum class Status { needs_more, complete, invalid };

  ListReader();
  ~ListReader();
  ListReader(ListReader&&) noexcept;
  ListReader& operator=(ListReader&&) noexcept;

  // Parses at most `max_bytes` bytes and removes them from the front of `bytes`; 64 KB take one or two
  // milliseconds. Once the list is complete, the bytes after it (apart from white space) are left in `bytes`,
  // and no more are consumed until reset().
  Status feed(std::string_view& bytes, std::size_t max_bytes);

  Status status() const;
  std::uint64_t bytes_consumed() const;  // of the current list
  std::string error() const;             // why the list is invalid, in one line; otherwise empty

  // For a complete list.
  std::int64_t version() const;  // 0 if the list has none
  bool full() const;             // true: the list replaces all known endpoints; false: it lists changes only

  // Returns the endpoints in the order of the list. Those of a list of changes may be EndpointState::deleted;
  // those of a full list never are.
  const EndpointTable& entries() const;

  // Moves the entries out of the reader. Callers should also do this with a large list they do not need, and
  // free it in steps with EndpointTable::release_memory: the destructor and reset() free a large table at
  // once.
  EndpointTable take_entries();

  // Prepares for the next list.
  void reset();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace valedrum::catalog
