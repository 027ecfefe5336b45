// The list of endpoints as a compact table: 36 bytes a record, 4 of index, and the id's text with one byte
// before it (docs/list.md has the figures). One put or erase costs the same at any size: storage is in pieces
// that are never moved, the indices grow by a bucket at a time, and holes among the ids are closed a few at
// each change.
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

// A slot is a private number of the table: an entry keeps it until it is erased, then another may have it.
class EndpointTable {
 public:
  EndpointTable();
  ~EndpointTable();
  EndpointTable(EndpointTable&&) noexcept;  // what has been moved from may only be assigned to or destroyed
  EndpointTable& operator=(EndpointTable&&) noexcept;

  std::optional<Slot> find(std::string_view id) const;
  Entry at(
      Slot slot) const;  // of one that find, put, slots_of_cell or for_each has given; texts as Entry says

  // All of a destination, in the order in which they were put there first; `out` is cleared. One that moves
  // to another cell comes last there.
  void slots_of_cell(std::uint64_t cell, std::vector<Slot>& out) const;
  bool has_cell(std::uint64_t cell) const;  // an entry of it, of whatever state, is in the table
  std::size_t cell_count() const;           // destinations with an entry

  // New, or in place of the one with its id. None, and nothing has changed: no id, a text over kMaxTextBytes,
  // or more pairs of zone and kind than ZoneKindPool::kMost. The entry may look at texts of this table.
  std::optional<Slot> put(const Entry& entry);
  bool erase(std::string_view id);  // false: there is none

  std::size_t size() const;
  std::size_t bytes() const;  // in memory

  // The slots that were ever given out are below this: with slot_end() as the end, for_each sees all entries.
  Slot slot_end() const;

  // fn(slot, entry) for the entries in the `most` slots from `from` on, in the order of slots: of a table
  // that was only added to, the order of listing. Gives where to go on. Entries that stay are seen once each,
  // also when the table changes between two calls; `fn` may not change it.
  template <class Fn>
  Slot for_each(Slot from, std::size_t most, Fn&& fn) const {
    for (const Slot end = slot_end(); from < end && most > 0; ++from, --most) {
      if (holds(from)) fn(from, at(from));
    }
    return from;
  }

  // Empties the table, giving at most about `most` bytes (at least 64 KB) back to the system with each call:
  // one hundred megabytes at once take longer than the loop may stand still. True: nothing is left, and the
  // table is as new. Until then only this and the destructor may be called.
  bool release_memory(std::size_t most);

  // Empties a small one and keeps its memory; release for others.
  void clear();

 private:
  struct Body;

  bool holds(Slot slot) const;

  std::unique_ptr<Body> body_;
};

}  // namespace valedrum::catalog
