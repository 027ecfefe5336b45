// The list of endpoints as a table, and its reader.
#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "catalog/list_reader.h"
#include "catalog/table.h"
#include "host_list.h"

namespace {

using namespace valedrum::catalog;
namespace json = boost::json;

struct Owned {  // an entry that owns its texts
  std::string id, zone, kind;
  Entry entry;

  explicit Owned(const Entry& from) : id(from.id), zone(from.zone), kind(from.kind), entry(from) {}
  Entry view() const {
    Entry all = entry;
    all.id = id;
    all.zone = zone;
    all.kind = kind;
    return all;
  }
};

using Random = std::mt19937_64;

std::uint64_t below(Random& random, std::uint64_t bound) { return random() % bound; }

// The ids of a range of `ids`, in a few cells each: most entries are ordinary, some have whatever can be odd.
Owned any_entry(Random& random, std::uint64_t ids, std::uint64_t cells) {
  Owned owned{Entry{}};
  const std::uint64_t n = below(random, ids);
  owned.id = "s-";
  owned.id.append(std::to_string(n)).append(n % 50 == 0 ? 200 : n % 9, 'x');
  owned.zone = std::string(1, static_cast<char>('a' + below(random, 4)));
  owned.kind = std::to_string(below(random, 3));
  Entry& entry = owned.entry;
  entry.cell = below(random, cells);
  entry.state = below(random, 5) == 0 ? State::draining : State::serving;
  entry.address.port = static_cast<std::uint16_t>(random());
  for (int i = 0; i < 4; ++i) entry.address.bytes[i] = static_cast<std::uint8_t>(random());
  if (below(random, 3) == 0)
    entry.started_ms = 1'760'000'000'000 + static_cast<std::int64_t>(below(random, 1 << 30));
  switch (below(random, 12)) {
    case 0:
      entry.weight = 0.1 * static_cast<double>(below(random, 40));
      break;
    case 1:
      entry.address.v6 = true;
      for (auto& byte : entry.address.bytes) byte = static_cast<std::uint8_t>(random());
      break;
    case 2:
      entry.started_ms = static_cast<std::int64_t>(random());
      break;
    case 3:
      entry.cell |= std::uint64_t{1} << 40;
      break;
  }
  return owned;
}

// What a Table has to be: entries by id, and the ids of each cell in the order in which they came there.
struct Model {
  std::map<std::string, Owned> entries;
  std::map<std::uint64_t, std::vector<std::string>> cells;

  void put(const Owned& owned) {
    const auto found = entries.find(owned.id);
    if (found == entries.end() || found->second.entry.cell != owned.entry.cell) {
      leave(owned.id);
      cells[owned.entry.cell].push_back(owned.id);
    }
    entries.insert_or_assign(owned.id, owned);
  }
  bool erase(const std::string& id) {
    leave(id);
    return entries.erase(id) > 0;
  }
  void leave(const std::string& id) {
    const auto found = entries.find(id);
    if (found == entries.end()) return;
    std::vector<std::string>& cell = cells[found->second.entry.cell];
    std::erase(cell, id);
    if (cell.empty()) cells.erase(found->second.entry.cell);
  }
};

void expect_same(const Table& table, const Model& model) {
  ASSERT_EQ(table.size(), model.entries.size());
  ASSERT_EQ(table.cells(), model.cells.size());
  for (const auto& [id, owned] : model.entries) {
    const auto slot = table.find(id);
    ASSERT_TRUE(slot) << id;
    ASSERT_EQ(table.at(*slot), owned.view()) << id;
  }
  std::vector<Slot> slots;
  for (const auto& [cell, ids] : model.cells) {
    table.of_cell(cell, slots);
    std::vector<std::string> got;
    for (const Slot slot : slots) got.emplace_back(table.at(slot).id);
    ASSERT_EQ(got, ids) << "cell " << cell;
  }
  std::size_t seen = 0;
  table.for_each(0, table.slots(), [&](Slot slot, const Entry& entry) {
    ++seen;
    ASSERT_EQ(table.find(entry.id), slot);
  });
  ASSERT_EQ(seen, model.entries.size());
}

TEST(CatalogTable, IsAsAModelUnderRandomChange) {
  for (const std::uint64_t ids : {3, 40, 3000}) {
    for (const std::uint64_t cells : {1, 7, 3000}) {
      Random random(ids * 7 + cells);
      Table table;
      Model model;
      for (int step = 0; step < 20'000; ++step) {
        // Long times of growing and of shrinking, so that the indices do both.
        const bool growing = step / 5000 % 2 == 0;
        const Owned owned = any_entry(random, ids, cells);
        if (below(random, 4) < (growing ? 3u : 1u)) {
          ASSERT_TRUE(table.put(owned.view()));
          model.put(owned);
        } else {
          ASSERT_EQ(table.erase(owned.id), model.erase(owned.id));
        }
        if (step % 2500 == 0) expect_same(table, model);
      }
      expect_same(table, model);
    }
  }
}

}  // namespace
