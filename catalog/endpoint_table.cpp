#include "endpoint_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <bit>

#include "string_pool.h"
#include "zone_kind_pool.h"

namespace valedrum::catalog {
namespace {

constexpr std::size_t kCompactedPerChange = 16;                        // strings visited by each put or erase
constexpr std::uint64_t kInlineStartedLimit = std::uint64_t{1} << 48;  // a record has 48 bits for started_ms

// Values that a record has no room for; few entries need one. The record's `address` is then the index of its
// Extra.
struct Extra {
  Address address;
  double weight = 1;
  std::int64_t started_ms = 0;
  std::uint64_t cell = 0;
};

struct Record {
  StringPool::Offset id;
  Slot id_link;               // next record in the chain of the index by id, or next free record
  std::uint32_t address;      // IPv4 in network byte order, or the index of the Extra
  std::uint32_t cell;         // lower 32 bits
  Slot next_in_cell;          // next entry of the cell, in the order of adding, or kNoSlot
  Slot cell_link;             // see CellLinks
  std::uint32_t started_low;  // lower 32 bits of started_ms
  std::uint16_t started_high;
  std::uint16_t port;
  std::uint16_t zone_kind;  // number in the ZoneKindPool
  std::uint8_t state : 2;
  std::uint8_t has_extra : 1;
  std::uint8_t used : 1;
  std::uint8_t hash_tag;  // part of the id's hash, which rules out most other ids without comparing strings
};
static_assert(sizeof(Record) == 36);

std::uint64_t hash_of(std::string_view id) { return XXH3_64bits(id.data(), id.size()); }
std::uint64_t hash_of(std::uint64_t cell) { return XXH3_64bits(&cell, sizeof cell); }
// Returns the part of the hash that records keep.
std::uint8_t tag_of(std::uint64_t hash) { return static_cast<std::uint8_t>(hash >> 56); }

// Returns whether a record can hold the entry without an Extra.
bool fits_record(const Entry& entry) {
  return !entry.address.v6 &&
         std::bit_cast<std::uint64_t>(entry.weight) == std::bit_cast<std::uint64_t>(1.0) &&
         static_cast<std::uint64_t>(entry.started_ms) < kInlineStartedLimit && entry.cell >> 32 == 0;
}

}  // namespace

struct EndpointTable::Impl {
  struct IdLinks {
    Impl& impl;
    Slot& next(Slot slot) const { return impl.records[slot].id_link; }
    std::uint64_t hash(Slot slot) const { return hash_of(impl.id_strings.at(impl.records[slot].id)); }
  };

  // Only the first entry of a cell is in the index, and its `cell_link` is the link of the hash chain. The
  // `cell_link` of the second entry is the cell's last entry, to which the next one is appended. From the
  // third entry on, `cell_link` is the previous entry.
  struct CellLinks {
    Impl& impl;
    Slot& next(Slot slot) const { return impl.records[slot].cell_link; }
    std::uint64_t hash(Slot slot) const { return hash_of(impl.cell_of(slot)); }
  };

  ChunkedArray<Record> records;
  ChunkedArray<Extra> extras;
  HashIndex<IdLinks> ids;
  HashIndex<CellLinks> cells;
  StringPool id_strings;
  ZoneKindPool zone_kinds;
  Slot free_record = kNoSlot;
  std::uint32_t free_extra = kNoSlot;  // first free Extra; address.scope of a free one is the next

  std::uint64_t cell_of(Slot slot) const {
    const Record& record = records[slot];
    return record.has_extra ? extras[record.address].cell : record.cell;
  }

  // For searches in the index, which takes mutable links but writes to them only when it changes.
  Impl& self() const { return const_cast<Impl&>(*this); }

  Slot find(std::string_view id, std::uint64_t hash) const {
    return ids.find(hash, IdLinks{self()}, [&](Slot slot) {
      return records[slot].hash_tag == tag_of(hash) && id_strings.at(records[slot].id) == id;
    });
  }

  Slot first_of(std::uint64_t cell) const {
    return cells.find(hash_of(cell), CellLinks{self()}, [&](Slot slot) {
      return records[slot].cell == static_cast<std::uint32_t>(cell) && cell_of(slot) == cell;
    });
  }

  // Appends the entry to the list of the cell.
  void link_to_cell(std::uint64_t cell, Slot slot) {
    Record& record = records[slot];
    record.next_in_cell = kNoSlot;
    const Slot first = first_of(cell);
    if (first == kNoSlot) return cells.insert(slot, hash_of(cell), CellLinks{*this});
    const Slot second = records[first].next_in_cell;
    const Slot last = second == kNoSlot ? first : records[second].cell_link;
    records[last].next_in_cell = slot;
    record.cell_link = second == kNoSlot ? slot : last;
    if (second != kNoSlot) records[second].cell_link = slot;
  }

  // Removes the entry from the list of the cell.
  void unlink_from_cell(std::uint64_t cell, Slot slot) {
    const Slot first = first_of(cell);
    const Slot second = records[first].next_in_cell;
    const Slot next = records[slot].next_in_cell;
    if (slot == first) {
      if (second == kNoSlot) return cells.erase(slot, hash_of(cell), CellLinks{*this});
      const Slot last = records[second].cell_link;
      cells.replace(first, second, hash_of(cell), CellLinks{*this});
      if (records[second].next_in_cell != kNoSlot) records[records[second].next_in_cell].cell_link = last;
    } else if (slot == second) {
      records[first].next_in_cell = next;
      if (next != kNoSlot) records[next].cell_link = records[second].cell_link;
    } else {
      const Slot before = records[slot].cell_link;
      records[before].next_in_cell = next;
      if (next == kNoSlot) {
        records[second].cell_link = before;
      } else {
        records[next].cell_link = before;
      }
    }
  }

  Slot allocate_record() {
    if (free_record == kNoSlot) {
      records.push_back({});
      return static_cast<Slot>(records.size() - 1);
    }
    const Slot slot = free_record;
    free_record = records[slot].id_link;
    return slot;
  }

  std::uint32_t allocate_extra() {
    if (free_extra == kNoSlot) {
      extras.push_back({});
      return static_cast<std::uint32_t>(extras.size() - 1);
    }
    const std::uint32_t index = free_extra;
    free_extra = extras[index].address.scope;
    return index;
  }

  void free_extra_of(Record& record) {
    if (!record.has_extra) return;
    extras[record.address].address.scope = free_extra;
    free_extra = record.address;
    record.has_extra = 0;
  }

  // Writes all fields but the id, the pair of zone and kind, and the links of the cell.
  void write(Record& record, const Entry& entry) {
    record.cell = static_cast<std::uint32_t>(entry.cell);
    record.state = static_cast<std::uint8_t>(entry.state) & 3;
    record.port = entry.address.port;
    if (fits_record(entry)) {
      free_extra_of(record);
      record.address = std::bit_cast<std::uint32_t>(std::array<std::uint8_t, 4>{
          entry.address.bytes[0], entry.address.bytes[1], entry.address.bytes[2], entry.address.bytes[3]});
      record.started_low = static_cast<std::uint32_t>(entry.started_ms);
      record.started_high = static_cast<std::uint16_t>(entry.started_ms >> 32);
    } else {
      if (!record.has_extra) record.address = allocate_extra();
      record.has_extra = 1;
      extras[record.address] = {entry.address, entry.weight, entry.started_ms, entry.cell};
    }
  }

  // Removes all entries, but keeps the memory and the strings.
  void remove_all() {
    records.clear();
    extras.clear();
    ids.clear();
    cells.clear();
    free_record = free_extra = kNoSlot;
  }

  // Compacts a few strings.
  void compact_ids() {
    id_strings.compact(kCompactedPerChange,
                       [this](std::string_view id, StringPool::Offset offset) -> StringPool::Offset* {
                         const Slot slot = find(id, hash_of(id));
                         return slot != kNoSlot && records[slot].id == offset ? &records[slot].id : nullptr;
                       });
  }
};

EndpointTable::EndpointTable() : impl_(std::make_unique<Impl>()) {}
EndpointTable::~EndpointTable() = default;
EndpointTable::EndpointTable(EndpointTable&&) noexcept = default;
EndpointTable& EndpointTable::operator=(EndpointTable&&) noexcept = default;

std::optional<Slot> EndpointTable::find(std::string_view id) const {
  const Slot slot = impl_->find(id, hash_of(id));
  return slot == kNoSlot ? std::nullopt : std::optional(slot);
}

bool EndpointTable::in_use(Slot slot) const { return impl_->records[slot].used; }

Entry EndpointTable::at(Slot slot) const {
  const Record& record = impl_->records[slot];
  const ZoneKindPool::ZoneKind& pair = impl_->zone_kinds.at(record.zone_kind);
  Entry entry;
  entry.id = impl_->id_strings.at(record.id);
  entry.zone = pair.zone;
  entry.kind = pair.kind;
  entry.state = static_cast<EndpointState>(record.state);
  if (record.has_extra) {
    const Extra& extra = impl_->extras[record.address];
    entry.address = extra.address;
    entry.weight = extra.weight;
    entry.started_ms = extra.started_ms;
    entry.cell = extra.cell;
  } else {
    const auto bytes = std::bit_cast<std::array<std::uint8_t, 4>>(record.address);
    std::copy(bytes.begin(), bytes.end(), entry.address.bytes.begin());
    entry.address.port = record.port;
    entry.started_ms =
        static_cast<std::int64_t>(std::uint64_t{record.started_high} << 32 | record.started_low);
    entry.cell = record.cell;
  }
  return entry;
}

void EndpointTable::slots_of_cell(std::uint64_t cell, std::vector<Slot>& out) const {
  out.clear();
  for (Slot at = impl_->first_of(cell); at != kNoSlot; at = impl_->records[at].next_in_cell)
    out.push_back(at);
}

bool EndpointTable::has_cell(std::uint64_t cell) const { return impl_->first_of(cell) != kNoSlot; }
std::size_t EndpointTable::cell_count() const { return impl_->cells.size(); }
std::size_t EndpointTable::size() const { return impl_->ids.size(); }
Slot EndpointTable::slot_end() const { return static_cast<Slot>(impl_->records.size()); }

std::size_t EndpointTable::bytes() const {
  const Impl& impl = *impl_;
  return impl.records.bytes() + impl.extras.bytes() + impl.ids.bytes() + impl.cells.bytes() +
         impl.id_strings.bytes() + impl.zone_kinds.bytes();
}

std::optional<Slot> EndpointTable::put(const Entry& entry) {
  Impl& impl = *impl_;
  if (entry.id.empty() || entry.id.size() > kMaxTextBytes) return std::nullopt;
  if (entry.zone.size() > kMaxTextBytes || entry.kind.size() > kMaxTextBytes) return std::nullopt;
  const auto zone_kind = impl.zone_kinds.acquire(entry.zone, entry.kind);
  if (!zone_kind) return std::nullopt;
  const std::uint64_t hash = hash_of(entry.id);
  Slot slot = impl.find(entry.id, hash);
  const bool known = slot != kNoSlot;
  if (known) {
    // The old pair is released last, because the strings of `entry` may belong to it.
    const std::uint16_t old_zone_kind = std::exchange(impl.records[slot].zone_kind, *zone_kind);
    const std::uint64_t old_cell = impl.cell_of(slot);
    const std::uint64_t new_cell = entry.cell;
    if (old_cell != new_cell) impl.unlink_from_cell(old_cell, slot);
    impl.write(impl.records[slot], entry);
    if (old_cell != new_cell) impl.link_to_cell(new_cell, slot);
    impl.zone_kinds.release(old_zone_kind);
  } else {
    const StringPool::Offset id = impl.id_strings.add(entry.id);
    slot = impl.allocate_record();
    Record& record = impl.records[slot];
    record = {};
    record.id = id;
    record.zone_kind = *zone_kind;
    record.used = 1;
    record.hash_tag = tag_of(hash);
    impl.write(record, entry);
    impl.ids.insert(slot, hash, {impl});
    impl.link_to_cell(entry.cell, slot);
  }
  impl.compact_ids();
  return slot;
}

bool EndpointTable::erase(std::string_view id) {
  Impl& impl = *impl_;
  const std::uint64_t hash = hash_of(id);
  const Slot slot = impl.find(id, hash);
  if (slot == kNoSlot) return false;
  Record& record = impl.records[slot];
  impl.unlink_from_cell(impl.cell_of(slot), slot);
  impl.ids.erase(slot, hash, {impl});
  impl.id_strings.remove(record.id);
  impl.zone_kinds.release(record.zone_kind);
  impl.free_extra_of(record);
  record.used = 0;
  record.id_link = std::exchange(impl.free_record, slot);
  impl.compact_ids();
  return true;
}

bool EndpointTable::release_memory(std::size_t max_bytes) {
  Impl& impl = *impl_;
  impl.remove_all();
  bool left = true;
  for (std::size_t freed = 0; left && (freed == 0 || freed + kChunkBytes <= max_bytes);
       freed += kChunkBytes) {
    left = impl.records.release_chunk() || impl.id_strings.release_chunk() || impl.ids.release_chunk() ||
           impl.cells.release_chunk() || impl.extras.release_chunk();
  }
  if (left) return false;
  impl.zone_kinds.clear();
  return true;
}

void EndpointTable::clear() {
  impl_->remove_all();
  impl_->id_strings.clear();
  impl_->zone_kinds.clear();
}

}  // namespace valedrum::catalog
