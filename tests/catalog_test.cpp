// Tests of the endpoint table, against a simple model of it, and measurements of its memory and time.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "catalog/endpoint_table.h"
#include "catalog/list_reader.h"

namespace {

using namespace valedrum::catalog;

struct OwnedEntry {  // an entry that owns its strings
  std::string id, zone, kind;
  Entry entry;

  explicit OwnedEntry(const Entry& from) : id(from.id), zone(from.zone), kind(from.kind), entry(from) {}
  Entry view() const {
    Entry all = entry;
    all.id = id;
    all.zone = zone;
    all.kind = kind;
    return all;
  }
};

using Random = std::mt19937_64;

std::uint64_t random_below(Random& random, std::uint64_t bound) { return random() % bound; }

// Returns a random entry with one of `ids` ids and one of `cells` cells. Most entries fit a record; some have
// values that need an Extra.
OwnedEntry random_entry(Random& random, std::uint64_t ids, std::uint64_t cells) {
  OwnedEntry owned{Entry{}};
  const std::uint64_t n = random_below(random, ids);
  owned.id = "s-";
  owned.id.append(std::to_string(n)).append(n % 50 == 0 ? 200 : n % 9, 'x');
  owned.zone = std::string(1, static_cast<char>('a' + random_below(random, 4)));
  owned.kind = std::to_string(random_below(random, 3));
  Entry& entry = owned.entry;
  entry.cell = random_below(random, cells);
  entry.state = random_below(random, 5) == 0 ? EndpointState::draining : EndpointState::serving;
  entry.address.port = static_cast<std::uint16_t>(random());
  for (int i = 0; i < 4; ++i) entry.address.bytes[i] = static_cast<std::uint8_t>(random());
  if (random_below(random, 3) == 0)
    entry.started_ms = 1'760'000'000'000 + static_cast<std::int64_t>(random_below(random, 1 << 30));
  switch (random_below(random, 12)) {
    case 0:
      entry.weight = 0.1 * static_cast<double>(random_below(random, 40));
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

std::string id_of(std::uint64_t n, std::size_t length) {
  std::string id = std::to_string(n);
  return id.insert(0, "s-").insert(2, length > id.size() ? length - id.size() : 0, '0');
}

bool put_ordinary(EndpointTable& table, std::uint64_t n, std::size_t length, std::uint64_t cell = 3) {
  const std::string id = id_of(n, length);
  Entry entry;
  entry.id = id;
  entry.zone = "a";
  entry.kind = "m2";
  entry.cell = cell;
  return table.put(entry).has_value();
}

std::uint64_t from_environment(const char* name, std::uint64_t default_value) {
  const char* const text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : default_value;
}

// The expected contents of an EndpointTable: entries by id, and the ids of each cell in the order in which
// they were added to it.
struct Model {
  std::map<std::string, OwnedEntry> entries;
  std::map<std::uint64_t, std::vector<std::string>> cells;

  void put(const OwnedEntry& owned) {
    const auto found = entries.find(owned.id);
    if (found == entries.end() || found->second.entry.cell != owned.entry.cell) {
      remove_from_cell(owned.id);
      cells[owned.entry.cell].push_back(owned.id);
    }
    entries.insert_or_assign(owned.id, owned);
  }
  bool erase(const std::string& id) {
    remove_from_cell(id);
    return entries.erase(id) > 0;
  }
  void remove_from_cell(const std::string& id) {
    const auto found = entries.find(id);
    if (found == entries.end()) return;
    std::vector<std::string>& cell = cells[found->second.entry.cell];
    std::erase(cell, id);
    if (cell.empty()) cells.erase(found->second.entry.cell);
  }
};

void expect_equal(const EndpointTable& table, const Model& model) {
  ASSERT_EQ(table.size(), model.entries.size());
  ASSERT_EQ(table.cell_count(), model.cells.size());
  for (const auto& [id, owned] : model.entries) {
    const auto slot = table.find(id);
    ASSERT_TRUE(slot) << id;
    ASSERT_EQ(table.at(*slot), owned.view()) << id;
  }
  std::vector<Slot> slots;
  for (const auto& [cell, ids] : model.cells) {
    table.slots_of_cell(cell, slots);
    std::vector<std::string> got;
    for (const Slot slot : slots) got.emplace_back(table.at(slot).id);
    ASSERT_EQ(got, ids) << "cell " << cell;
  }
  std::size_t seen = 0;
  table.for_each(0, table.slot_end(), [&](Slot slot, const Entry& entry) {
    ++seen;
    ASSERT_EQ(table.find(entry.id), slot);
  });
  ASSERT_EQ(seen, model.entries.size());
}

TEST(CatalogTable, IsAsAModelUnderRandomChange) {
  for (const std::uint64_t ids : {3, 40, 3000}) {
    for (const std::uint64_t cells : {1, 7, 3000}) {
      Random random(ids * 7 + cells);
      EndpointTable table;
      Model model;
      for (int step = 0; step < 20'000; ++step) {
        // Long phases of growth and of shrinking, so that the indices split and merge buckets.
        const bool growing = step / 5000 % 2 == 0;
        const OwnedEntry owned = random_entry(random, ids, cells);
        if (random_below(random, 4) < (growing ? 3u : 1u)) {
          ASSERT_TRUE(table.put(owned.view()));
          model.put(owned);
        } else {
          ASSERT_EQ(table.erase(owned.id), model.erase(owned.id));
        }
        if (step % 2500 == 0) expect_equal(table, model);
      }
      expect_equal(table, model);
    }
  }
}

// Ids are replaced by new ones for as long as the process runs. Offsets, records and pairs of zone and kind
// must be reused, or memory grows without bound.
TEST(CatalogTable, StaysFlatUnderEndlessChange) {
  const std::uint64_t changes = from_environment("CATALOG_CHANGES", 1'000'000);
  constexpr std::uint64_t kLive = 20'000;
  EndpointTable table;
  Random random(1);
  std::size_t early_max = 0, late_max = 0;
  for (std::uint64_t n = 0; n < changes; ++n) {
    OwnedEntry owned = random_entry(random, 1, 1);
    owned.id = id_of(n, n / kLive % 2 == 0 ? 10 : 40);  // lengths change in waves
    owned.zone = std::to_string(n / 1000);
    owned.entry.cell = n * 7;
    ASSERT_TRUE(table.put(owned.view()));
    // Erases a random entry, and now and then half of all entries at once.
    while (table.size() > (n % 500'000 == 499'999 ? kLive / 2 : kLive)) {
      std::string erased_id;
      const auto from = static_cast<Slot>(random_below(random, table.slot_end()));
      table.for_each(from, 1, [&](Slot, const Entry& entry) { erased_id = entry.id; });
      if (!erased_id.empty()) {
        ASSERT_TRUE(table.erase(erased_id));
      }
    }
    (n < changes / 5 ? early_max : late_max) =
        std::max(n < changes / 5 ? early_max : late_max, table.bytes());
  }
  std::printf("%lu changes, %zu entries: at most %zu bytes in the first fifth, %zu afterwards\n", changes,
              table.size(), early_max, late_max);
  EXPECT_LT(late_max, early_max + early_max / 20);
}

TEST(CatalogTable, GivesBackInSlicesAndIsThenAsNew) {
  EndpointTable table;
  for (std::uint64_t n = 0; n < 50'000; ++n) ASSERT_TRUE(put_ordinary(table, n, 10));
  const std::size_t full = table.bytes();
  int steps = 0;
  while (!table.release_memory(256 << 10)) {
    ++steps;
    EXPECT_FALSE(table.find(id_of(3, 10)));
    EXPECT_EQ(table.size(), 0u);
  }
  EXPECT_GE(steps, static_cast<int>(full / (256 << 10)) - 1);
  EXPECT_LT(table.bytes(), 16u << 10);
  ASSERT_TRUE(put_ordinary(table, 3, 10));
  EXPECT_TRUE(table.find(id_of(3, 10)));
}

TEST(CatalogTable, GoesOnWhereForEachStoppedAlsoWhenItChanges) {
  EndpointTable table;
  for (std::uint64_t n = 0; n < 1000; ++n) ASSERT_TRUE(put_ordinary(table, n, 10));
  std::map<std::string, int> seen;
  Slot from = 0;
  for (std::uint64_t step = 0; from < table.slot_end(); ++step) {
    from = table.for_each(from, 7, [&](Slot, const Entry& entry) { ++seen[std::string(entry.id)]; });
    table.erase(id_of(step * 3, 10));                   // erases the multiples of 3 below 429
    ASSERT_TRUE(put_ordinary(table, 5000 + step, 10));  // new entries may or may not be visited
    ASSERT_TRUE(put_ordinary(table, 1 + step * 3, 10, 77));
  }
  for (std::uint64_t n = 0; n < 1000; ++n) {
    if (n % 3 != 0 || n >= 429) {
      EXPECT_EQ(seen[id_of(n, 10)], 1) << n;
    }
  }
  EXPECT_EQ(table.for_each(table.slot_end() + 5, 7, [](Slot, const Entry&) {}), table.slot_end() + 5);
}

TEST(CatalogTable, MayBePutWithItsOwnTexts) {
  EndpointTable table;
  for (std::uint64_t n = 0; n < 100; ++n) ASSERT_TRUE(put_ordinary(table, n, 30 + n));
  const std::string zone(40, 'z');
  for (std::uint64_t n = 0; n < 100; ++n) {
    Entry entry = table.at(*table.find(id_of(n, 30 + n)));
    entry.zone = zone;
    ASSERT_TRUE(table.put(entry));
    entry = table.at(*table.find(id_of(n, 30 + n)));
    entry.kind = entry.zone;  // belongs to the table; this put removes its only reference
    entry.zone = {};
    ASSERT_TRUE(table.put(entry));
    EXPECT_EQ(table.at(*table.find(id_of(n, 30 + n))).kind, zone);
    ASSERT_TRUE(table.erase(table.at(*table.find(id_of(n, 30 + n))).id));
  }
  EXPECT_EQ(table.size(), 0u);
}

TEST(CatalogTable, RefusesWhatItHasNoRoomFor) {
  EndpointTable table;
  Entry entry;
  EXPECT_FALSE(table.put(entry));  // no id
  const std::string longest(kMaxTextBytes, 'l'), longer(kMaxTextBytes + 1, 'l');
  for (std::string_view Entry::*text : {&Entry::id, &Entry::zone, &Entry::kind}) {
    entry = {};
    entry.id = "s-1";
    entry.*text = longer;
    EXPECT_FALSE(table.put(entry));
    entry.*text = longest;
    ASSERT_TRUE(table.put(entry));
    EXPECT_EQ(table.at(*table.find(entry.id)), entry);
  }
  // Beyond the limit on pairs of zone and kind, new pairs are rejected and the table stays as it is.
  EndpointTable zones;
  std::size_t accepted = 0;
  for (int n = 0; n < 20'000; ++n) {
    const std::string zone = std::to_string(n);
    entry = {};
    entry.id = entry.zone = zone;
    accepted += zones.put(entry).has_value();
  }
  EXPECT_EQ(accepted, zones.size());
  EXPECT_EQ(accepted, 16384u);
  entry = {};
  entry.id = "5";
  entry.zone = "one more";
  EXPECT_FALSE(zones.put(entry));
  EXPECT_EQ(zones.at(*zones.find("5")).zone, "5");
  ASSERT_TRUE(zones.erase("7"));
  EXPECT_TRUE(zones.put(entry));
}

// ------------------------------------------------------------------------------------- measurements

using Clock = std::chrono::steady_clock;

double ms_since(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

std::size_t resident_bytes() {
  std::size_t pages = 0, resident = 0;
  std::FILE* const file = std::fopen("/proc/self/statm", "r");
  if (file && std::fscanf(file, "%zu %zu", &pages, &resident) != 2) resident = 0;
  if (file) std::fclose(file);
  return resident * 4096;
}

// Returns an entry as discovery lists it.
std::string entry_json(std::uint64_t n, std::size_t length, std::uint64_t cell, const char* state) {
  std::string text = "{\"id\":\"" + id_of(n, length) + "\",\"addr\":\"10.";
  text.append(std::to_string(n >> 16 & 255)).append(".").append(std::to_string(n >> 8 & 255)).append(".");
  text.append(std::to_string(n & 255))
      .append(":7070\",\"zone\":\"")
      .append(1, static_cast<char>('a' + n % 6));
  text.append("\",\"kind\":\"m")
      .append(std::to_string(n % 3))
      .append("\",\"cell\":")
      .append(std::to_string(cell));
  return text.append(",\"state\":\"").append(state).append("\",\"weight\":1.0,\"started_ms\":1764650000123}");
}

// Measures memory and time of reading a whole list and of single changes. For other sizes, run
// `CATALOG_ENTRIES=1900000 valedrum_catalog_tests --gtest_filter=CatalogFigures.*`. Times are printed but not
// checked, since the machine may be busy.
TEST(CatalogFigures, ForAWholeListAndOneChange) {
  const std::uint64_t entries = from_environment("CATALOG_ENTRIES", 200'000);
  for (const std::size_t length : {10u, 20u}) {
    const std::size_t before = resident_bytes();
    ListReader reader;
    double read_ms = 0, longest_ms = 0;
    std::uint64_t bytes_read = 0;
    std::string input = "{\"version\":1,\"full\":true,\"servers\":[";
    for (std::uint64_t n = 0; n < entries;) {
      while (input.size() < 64 << 10 && n < entries) {
        input.append(n > 0 ? "," : "").append(entry_json(n, length, n, "SERVING"));
        ++n;
      }
      if (n == entries) input += "]}";
      std::string_view rest = input;
      const auto start = Clock::now();
      reader.feed(rest, 128 << 10);
      const double elapsed_ms = ms_since(start);
      read_ms += elapsed_ms;
      longest_ms = std::max(longest_ms, elapsed_ms);
      bytes_read += input.size();
      input.clear();
    }
    ASSERT_EQ(reader.status(), ListReader::Status::complete) << reader.error();
    EndpointTable table = reader.take_entries();
    ASSERT_EQ(table.size(), entries);
    const double bytes_per_entry = static_cast<double>(table.bytes()) / static_cast<double>(entries);
    const double resident_per_entry =
        static_cast<double>(resident_bytes() - before) / static_cast<double>(entries);
    std::printf(
        "%lu entries, ids of %zu: %.1f bytes an entry (%.1f by the system), %.1f MB read in %.0f ms, longest "
        "64 KB %.2f ms\n",
        entries, length, bytes_per_entry, resident_per_entry, static_cast<double>(bytes_read) / 1e6, read_ms,
        longest_ms);
    if (entries >= 2000) {
      EXPECT_LE(bytes_per_entry, 100);
    }
    if (entries >= 100'000) {
      EXPECT_LE(bytes_per_entry, 44.0 + 1.05 * static_cast<double>(length));
    }
#ifndef __SANITIZE_ADDRESS__  // AddressSanitizer uses memory of its own
    if (entries >= 100'000) {
      EXPECT_LE(resident_per_entry, bytes_per_entry * 1.1);
    }
#endif

    Random random(2);
    std::vector<double> changes, puts;
    for (int n = 0; n < 20'000; ++n) {  // in turn: an entry that moves, a deleted one, a new one
      const std::uint64_t known = random_below(random, entries);
      const std::string text =
          "{\"version\":2,\"full\":false,\"servers\":[" +
          (n % 3 == 0   ? entry_json(known, length, random_below(random, entries), "DRAINING")
           : n % 3 == 1 ? "{\"id\":\"" + id_of(known, length) + "\",\"state\":\"DELETED\"}"
                        : entry_json(entries + static_cast<std::uint64_t>(n), length, entries, "SERVING")) +
          "]}\n";
      std::string_view rest = text;
      const auto start = Clock::now();
      reader.reset();
      ASSERT_EQ(reader.feed(rest, 64 << 10), ListReader::Status::complete);
      const auto parsed = Clock::now();
      reader.entries().for_each(0, 10, [&](Slot, const Entry& entry) {
        if (entry.state == EndpointState::deleted) {
          table.erase(entry.id);
        } else {
          table.put(entry);
        }
      });
      const auto ended = Clock::now();
      changes.push_back(std::chrono::duration<double, std::milli>(ended - start).count());
      puts.push_back(std::chrono::duration<double, std::milli>(ended - parsed).count());
    }
    std::sort(changes.begin(), changes.end());
    std::sort(puts.begin(), puts.end());
    std::printf(
        "  one change: median %.4f ms, 99%% %.4f, longest %.4f; of it in the table %.4f, %.4f, %.4f\n",
        changes[changes.size() / 2], changes[changes.size() * 99 / 100], changes.back(),
        puts[puts.size() / 2], puts[puts.size() * 99 / 100], puts.back());
    double longest_step_ms = 0;
    int steps = 0;
    for (bool done = false; !done; ++steps) {
      const auto start = Clock::now();
      done = table.release_memory(1 << 20);
      longest_step_ms = std::max(longest_step_ms, ms_since(start));
    }
    std::printf("  released in %d steps of 1 MB, longest %.2f ms\n", steps, longest_step_ms);
  }
}

}  // namespace
