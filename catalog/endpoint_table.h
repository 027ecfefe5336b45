// The list of endpoints as a compact table. An entry takes 36 bytes of record, 4 of index, and its id with a
// length byte (docs/list.md has the figures). The cost of a put or an erase does not depend on the size of
// the table: storage is in chunks that never move, the indices grow one bucket at a time, and holes between
// ids are compacted a few strings at each change.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "entry.h"
#include "hash_index.h"

namespace valedrum::catalog {

// Maps endpoint ids to entries, with an index by destination. A slot is the table's own number for an entry:
// the entry keeps it until it is erased, after which another entry may use it.
class EndpointTable {
 public:
  EndpointTable();
  ~EndpointTable();
  EndpointTable(EndpointTable&&) noexcept;  // a moved-from table may only be assigned to or destroyed
  EndpointTable& operator=(EndpointTable&&) noexcept;

  std::optional<Slot> find(std::string_view id) const;

  // Returns the entry of a slot that find, put, slots_of_cell or for_each returned. Its strings are valid
  // until the next change of the table.
  Entry at(Slot slot) const;

  // Replaces `out` by the slots of all entries of a destination, in the order in which they were added to it.
  // An entry that moves to another destination is appended there.
  void slots_of_cell(std::uint64_t cell, std::vector<Slot>& out) const;

  // Returns whether the destination has an entry, in any state.
  bool has_cell(std::uint64_t cell) const;
  std::size_t cell_count() const;  // number of destinations that have an entry

  // Adds an entry or replaces the one with the same id. Returns nullopt, and changes nothing, if the id is
  // empty, if a string exceeds kMaxTextBytes or if there would be more than ZoneKindPool::kMaxPairs pairs of
  // zone and kind. The strings of `entry` may belong to this table.
  std::optional<Slot> put(const Entry& entry);
  // Returns false if there is no such entry.
  bool erase(std::string_view id);

  std::size_t size() const;
  std::size_t bytes() const;  // resident memory

  // Returns the end of the range of slots in use: all entries are in slots below it.
  Slot slot_end() const;

  // Calls fn(slot, entry) for the entries in at most `max_slots` slots from `from` on, in the order of slots:
  // for a table from which nothing was erased, this is the order in which entries were added. Returns the
  // slot to continue from. When the table changes between two calls, entries that stay are still visited
  // exactly once. `fn` must not change the table.
  template <class Fn>
  Slot for_each(Slot from, std::size_t max_slots, Fn&& fn) const {
    for (const Slot end = slot_end(); from < end && max_slots > 0; ++from, --max_slots) {
      if (in_use(from)) fn(from, at(from));
    }
    return from;
  }

  // Empties the table and returns its memory to the system in steps, since freeing 100 MB at once would block
  // the event loop for too long. Each call frees at most about `max_bytes`, and at least 64 KB. Returns true
  // once nothing is left; the table is then like a new one. Until then, only this and the destructor may be
  // called.
  bool release_memory(std::size_t max_bytes);

  // Empties a small table and keeps its memory. For large tables use release_memory.
  void clear();

 private:
  struct Impl;

  bool in_use(Slot slot) const;

  std::unique_ptr<Impl> impl_;
};

}  // namespace valedrum::catalog
