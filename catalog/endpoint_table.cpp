#include "endpoint_table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <bit>

#include "string_pool.h"
#include "zone_kind_pool.h"

namespace valedrum::catalog {
namespace {

constexpr std::size_t kTidied = 16;  // texts looked at for holes with each change (ours)
constexpr std::uint64_t kMostStarted = std::uint64_t{1} << 48;

// What almost no entry has is kept beside the table: the record's `address` is then the place of its Extra.
struct Extra {
  Address address;
  double weight = 1;
  std::int64_t started_ms = 0;
  std::uint64_t cell = 0;
};

struct Record {
  StringPool::Offset text;
  Slot next_id;           // in the chain of the index by id; in a free record: the next free one
  std::uint32_t address;  // IPv4 in the network's order, or the place of the Extra
  std::uint32_t cell;     // its lower half
  Slot next;              // in the cell, in the order of putting; kNoSlot: the last
  Slot link;              // see CellLinks
  std::uint32_t started;  // its lower 32 bits
  std::uint16_t started_high;
  std::uint16_t port;
  std::uint16_t label;
  std::uint8_t state : 2;
  std::uint8_t extra : 1;
  std::uint8_t used : 1;
  std::uint8_t tag;  // of the id's hash: most that don't match are told apart without their texts
};
static_assert(sizeof(Record) == 36);

std::uint64_t hash_of(std::string_view id) { return XXH3_64bits(id.data(), id.size()); }
std::uint64_t hash_of(std::uint64_t cell) { return XXH3_64bits(&cell, sizeof cell); }
std::uint8_t tag_of(std::uint64_t hash) { return static_cast<std::uint8_t>(hash >> 56); }

bool fits(const Entry& entry) {
  return !entry.address.v6 &&
         std::bit_cast<std::uint64_t>(entry.weight) == std::bit_cast<std::uint64_t>(1.0) &&
         static_cast<std::uint64_t>(entry.started_ms) < kMostStarted && entry.cell >> 32 == 0;
}

}  // namespace

struct EndpointTable::Body {
  struct IdLinks {
    Body& body;
    Slot& next(Slot slot) const { return body.records[slot].next_id; }
    std::uint64_t hash(Slot slot) const { return hash_of(body.texts.at(body.records[slot].text)); }
  };

  // Only a cell's first entry is in the index: its `link` is the chain's. The second's `link` is the cell's
  // last, where the next one is added. From the third on `link` is the entry before.
  struct CellLinks {
    Body& body;
    Slot& next(Slot slot) const { return body.records[slot].link; }
    std::uint64_t hash(Slot slot) const { return hash_of(body.cell_of(slot)); }
  };

  ChunkedArray<Record> records;
  ChunkedArray<Extra> extras;
  HashIndex<IdLinks> ids;
  HashIndex<CellLinks> cells;
  StringPool texts;
  ZoneKindPool labels;
  Slot free_record = kNoSlot;
  std::uint32_t free_extra = kNoSlot;  // the next one is in the Extra's address.scope

  std::uint64_t cell_of(Slot slot) const {
    const Record& record = records[slot];
    return record.extra ? extras[record.address].cell : record.cell;
  }

  // The links are only written to by the index's own changes.
  Body& self() const { return const_cast<Body&>(*this); }

  Slot find(std::string_view id, std::uint64_t hash) const {
    return ids.find(hash, IdLinks{self()}, [&](Slot slot) {
      return records[slot].tag == tag_of(hash) && texts.at(records[slot].text) == id;
    });
  }

  Slot first_of(std::uint64_t cell) const {
    return cells.find(hash_of(cell), CellLinks{self()}, [&](Slot slot) {
      return records[slot].cell == static_cast<std::uint32_t>(cell) && cell_of(slot) == cell;
    });
  }

  void join(std::uint64_t cell, Slot slot) {
    Record& record = records[slot];
    record.next = kNoSlot;
    const Slot first = first_of(cell);
    if (first == kNoSlot) return cells.insert(slot, hash_of(cell), CellLinks{*this});
    const Slot second = records[first].next;
    const Slot last = second == kNoSlot ? first : records[second].link;
    records[last].next = slot;
    record.link = second == kNoSlot ? slot : last;
    if (second != kNoSlot) records[second].link = slot;
  }

  void leave(std::uint64_t cell, Slot slot) {
    const Slot first = first_of(cell);
    const Slot second = records[first].next;
    const Slot next = records[slot].next;
    if (slot == first) {
      if (second == kNoSlot) return cells.erase(slot, hash_of(cell), CellLinks{*this});
      const Slot last = records[second].link;
      cells.replace(first, second, hash_of(cell), CellLinks{*this});
      if (records[second].next != kNoSlot) records[records[second].next].link = last;
    } else if (slot == second) {
      records[first].next = next;
      if (next != kNoSlot) records[next].link = records[second].link;
    } else {
      const Slot before = records[slot].link;
      records[before].next = next;
      if (next == kNoSlot) {
        records[second].link = before;
      } else {
        records[next].link = before;
      }
    }
  }

  Slot new_record() {
    if (free_record == kNoSlot) {
      records.push_back({});
      return static_cast<Slot>(records.size() - 1);
    }
    const Slot slot = free_record;
    free_record = records[slot].next_id;
    return slot;
  }

  std::uint32_t new_extra() {
    if (free_extra == kNoSlot) {
      extras.push_back({});
      return static_cast<std::uint32_t>(extras.size() - 1);
    }
    const std::uint32_t place = free_extra;
    free_extra = extras[place].address.scope;
    return place;
  }

  void free_extra_of(Record& record) {
    if (!record.extra) return;
    extras[record.address].address.scope = free_extra;
    free_extra = record.address;
    record.extra = 0;
  }

  // All but the id, the label and the place in the cell.
  void write(Record& record, const Entry& entry) {
    record.cell = static_cast<std::uint32_t>(entry.cell);
    record.state = static_cast<std::uint8_t>(entry.state) & 3;
    record.port = entry.address.port;
    if (fits(entry)) {
      free_extra_of(record);
      record.address = std::bit_cast<std::uint32_t>(std::array<std::uint8_t, 4>{
          entry.address.bytes[0], entry.address.bytes[1], entry.address.bytes[2], entry.address.bytes[3]});
      record.started = static_cast<std::uint32_t>(entry.started_ms);
      record.started_high = static_cast<std::uint16_t>(entry.started_ms >> 32);
    } else {
      if (!record.extra) record.address = new_extra();
      record.extra = 1;
      extras[record.address] = {entry.address, entry.weight, entry.started_ms, entry.cell};
    }
  }

  // No entries; the memory stays, and the texts.
  void reset() {
    records.clear();
    extras.clear();
    ids.clear();
    cells.clear();
    free_record = free_extra = kNoSlot;
  }

  void tidy() {
    texts.tidy(kTidied, [this](std::string_view text, StringPool::Offset place) -> StringPool::Offset* {
      const Slot slot = find(text, hash_of(text));
      return slot != kNoSlot && records[slot].text == place ? &records[slot].text : nullptr;
    });
  }
};

EndpointTable::EndpointTable() : body_(std::make_unique<Body>()) {}
EndpointTable::~EndpointTable() = default;
EndpointTable::EndpointTable(EndpointTable&&) noexcept = default;
EndpointTable& EndpointTable::operator=(EndpointTable&&) noexcept = default;

std::optional<Slot> EndpointTable::find(std::string_view id) const {
  const Slot slot = body_->find(id, hash_of(id));
  return slot == kNoSlot ? std::nullopt : std::optional(slot);
}

bool EndpointTable::holds(Slot slot) const { return body_->records[slot].used; }

Entry EndpointTable::at(Slot slot) const {
  const Record& record = body_->records[slot];
  const ZoneKindPool::Label& label = body_->labels.at(record.label);
  Entry entry;
  entry.id = body_->texts.at(record.text);
  entry.zone = label.zone;
  entry.kind = label.kind;
  entry.state = static_cast<EndpointState>(record.state);
  if (record.extra) {
    const Extra& extra = body_->extras[record.address];
    entry.address = extra.address;
    entry.weight = extra.weight;
    entry.started_ms = extra.started_ms;
    entry.cell = extra.cell;
  } else {
    const auto bytes = std::bit_cast<std::array<std::uint8_t, 4>>(record.address);
    std::copy(bytes.begin(), bytes.end(), entry.address.bytes.begin());
    entry.address.port = record.port;
    entry.started_ms = static_cast<std::int64_t>(std::uint64_t{record.started_high} << 32 | record.started);
    entry.cell = record.cell;
  }
  return entry;
}

void EndpointTable::slots_of_cell(std::uint64_t cell, std::vector<Slot>& out) const {
  out.clear();
  for (Slot at = body_->first_of(cell); at != kNoSlot; at = body_->records[at].next) out.push_back(at);
}

bool EndpointTable::has_cell(std::uint64_t cell) const { return body_->first_of(cell) != kNoSlot; }
std::size_t EndpointTable::cell_count() const { return body_->cells.size(); }
std::size_t EndpointTable::size() const { return body_->ids.size(); }
Slot EndpointTable::slot_end() const { return static_cast<Slot>(body_->records.size()); }

std::size_t EndpointTable::bytes() const {
  const Body& b = *body_;
  return b.records.bytes() + b.extras.bytes() + b.ids.bytes() + b.cells.bytes() + b.texts.bytes() +
         b.labels.bytes();
}

std::optional<Slot> EndpointTable::put(const Entry& entry) {
  Body& b = *body_;
  if (entry.id.empty() || entry.id.size() > kMaxTextBytes) return std::nullopt;
  if (entry.zone.size() > kMaxTextBytes || entry.kind.size() > kMaxTextBytes) return std::nullopt;
  const auto label = b.labels.take(entry.zone, entry.kind);
  if (!label) return std::nullopt;
  const std::uint64_t hash = hash_of(entry.id);
  Slot slot = b.find(entry.id, hash);
  const bool known = slot != kNoSlot;
  if (known) {
    // The old label goes last: the entry may look at its texts.
    const std::uint16_t old = std::exchange(b.records[slot].label, *label);
    const std::uint64_t from = b.cell_of(slot);
    const std::uint64_t to = entry.cell;
    if (from != to) b.leave(from, slot);
    b.write(b.records[slot], entry);
    if (from != to) b.join(to, slot);
    b.labels.give_back(old);
  } else {
    const StringPool::Offset text = b.texts.add(entry.id);
    slot = b.new_record();
    Record& record = b.records[slot];
    record = {};
    record.text = text;
    record.label = *label;
    record.used = 1;
    record.tag = tag_of(hash);
    b.write(record, entry);
    b.ids.insert(slot, hash, {b});
    b.join(entry.cell, slot);
  }
  b.tidy();
  return slot;
}

bool EndpointTable::erase(std::string_view id) {
  Body& b = *body_;
  const std::uint64_t hash = hash_of(id);
  const Slot slot = b.find(id, hash);
  if (slot == kNoSlot) return false;
  Record& record = b.records[slot];
  b.leave(b.cell_of(slot), slot);
  b.ids.erase(slot, hash, {b});
  b.texts.drop(record.text);
  b.labels.give_back(record.label);
  b.free_extra_of(record);
  record.used = 0;
  record.next_id = std::exchange(b.free_record, slot);
  b.tidy();
  return true;
}

bool EndpointTable::release_memory(std::size_t most) {
  Body& b = *body_;
  b.reset();
  bool left = true;
  for (std::size_t given = 0; left && (given == 0 || given + kChunkBytes <= most); given += kChunkBytes) {
    left = b.records.release_chunk() || b.texts.release_chunk() || b.ids.release_chunk() ||
           b.cells.release_chunk() || b.extras.release_chunk();
  }
  if (left) return false;
  b.labels.clear();
  return true;
}

void EndpointTable::clear() {
  body_->reset();
  body_->texts.clear();
  body_->labels.clear();
}

}  // namespace valedrum::catalog
