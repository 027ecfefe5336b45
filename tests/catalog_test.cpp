// The list of endpoints as a table, and its reader.
#include <gtest/gtest.h>

#include <algorithm>
#include <bit>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "catalog/list_reader.h"
#include "catalog/table.h"
#include "landed_list.h"

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

std::string id_of(std::uint64_t n, std::size_t length) {
  std::string id = std::to_string(n);
  return id.insert(0, "s-").insert(2, length > id.size() ? length - id.size() : 0, '0');
}

bool put_plain(Table& table, std::uint64_t n, std::size_t length, std::uint64_t cell = 3) {
  const std::string id = id_of(n, length);
  Entry entry;
  entry.id = id;
  entry.zone = "a";
  entry.kind = "m2";
  entry.cell = cell;
  return table.put(entry).has_value();
}

std::uint64_t from_environment(const char* name, std::uint64_t otherwise) {
  const char* const text = std::getenv(name);
  return text ? std::strtoull(text, nullptr, 10) : otherwise;
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

// Ids are replaced by new ones for as long as the process lives: places, records and labels must be used
// again.
TEST(CatalogTable, StaysFlatUnderEndlessChange) {
  const std::uint64_t changes = from_environment("CATALOG_CHANGES", 1'000'000);
  constexpr std::uint64_t kLive = 20'000;
  Table table;
  Random random(1);
  std::size_t settled = 0, most = 0;
  for (std::uint64_t n = 0; n < changes; ++n) {
    Owned owned = any_entry(random, 1, 1);
    owned.id = id_of(n, n / kLive % 2 == 0 ? 10 : 40);  // lengths change in waves
    owned.zone = std::to_string(n / 1000);
    owned.entry.cell = n * 7;
    ASSERT_TRUE(table.put(owned.view()));
    // One that is anywhere among the oldest half goes, and now and then half of all at once.
    while (table.size() > (n % 500'000 == 499'999 ? kLive / 2 : kLive)) {
      std::string gone;
      const auto from = static_cast<Slot>(below(random, table.slots()));
      table.for_each(from, 1, [&](Slot, const Entry& entry) { gone = entry.id; });
      if (!gone.empty()) {
        ASSERT_TRUE(table.erase(gone));
      }
    }
    (n < changes / 5 ? settled : most) = std::max(n < changes / 5 ? settled : most, table.bytes());
  }
  std::printf("%lu changes, %zu entries: at most %zu bytes in the first fifth, %zu afterwards\n", changes,
              table.size(), settled, most);
  EXPECT_LT(most, settled + settled / 20);
}

TEST(CatalogTable, GivesBackInSlicesAndIsThenAsNew) {
  Table table;
  for (std::uint64_t n = 0; n < 50'000; ++n) ASSERT_TRUE(put_plain(table, n, 10));
  const std::size_t full = table.bytes();
  int slices = 0;
  while (!table.release(256 << 10)) {
    ++slices;
    EXPECT_FALSE(table.find(id_of(3, 10)));
    EXPECT_EQ(table.size(), 0u);
  }
  EXPECT_GE(slices, static_cast<int>(full / (256 << 10)) - 1);
  EXPECT_LT(table.bytes(), 16u << 10);
  ASSERT_TRUE(put_plain(table, 3, 10));
  EXPECT_TRUE(table.find(id_of(3, 10)));
}

TEST(CatalogTable, GoesOnWhereForEachStoppedAlsoWhenItChanges) {
  Table table;
  for (std::uint64_t n = 0; n < 1000; ++n) ASSERT_TRUE(put_plain(table, n, 10));
  std::map<std::string, int> seen;
  Slot from = 0;
  for (std::uint64_t step = 0; from < table.slots(); ++step) {
    from = table.for_each(from, 7, [&](Slot, const Entry& entry) { ++seen[std::string(entry.id)]; });
    table.erase(id_of(step * 3, 10));                // those of a multiple of 3 below 429 go
    ASSERT_TRUE(put_plain(table, 5000 + step, 10));  // new ones may be seen, or not
    ASSERT_TRUE(put_plain(table, 1 + step * 3, 10, 77));
  }
  for (std::uint64_t n = 0; n < 1000; ++n) {
    if (n % 3 != 0 || n >= 429) {
      EXPECT_EQ(seen[id_of(n, 10)], 1) << n;
    }
  }
  EXPECT_EQ(table.for_each(table.slots() + 5, 7, [](Slot, const Entry&) {}), table.slots() + 5);
}

TEST(CatalogTable, RefusesWhatItHasNoRoomFor) {
  Table table;
  Entry entry;
  EXPECT_FALSE(table.put(entry));  // no id
  const std::string longest(kMostText, 'l'), longer(kMostText + 1, 'l');
  for (std::string_view Entry::*text : {&Entry::id, &Entry::zone, &Entry::kind}) {
    entry = {};
    entry.id = "s-1";
    entry.*text = longer;
    EXPECT_FALSE(table.put(entry));
    entry.*text = longest;
    ASSERT_TRUE(table.put(entry));
    EXPECT_EQ(table.at(*table.find(entry.id)), entry);
  }
  // More pairs of zone and kind than are kept: what is there stays as it is.
  Table zones;
  std::size_t taken = 0;
  for (int n = 0; n < 20'000; ++n) {
    const std::string zone = std::to_string(n);
    entry = {};
    entry.id = entry.zone = zone;
    taken += zones.put(entry).has_value();
  }
  EXPECT_EQ(taken, zones.size());
  EXPECT_EQ(taken, 16384u);
  entry.id = "5";
  EXPECT_FALSE(zones.put(entry));
  EXPECT_EQ(zones.at(*zones.find("5")).zone, "5");
  ASSERT_TRUE(zones.erase("7"));
  EXPECT_TRUE(zones.put(entry));
}

// ---------------------------------------------------------------------------------------- the reader

std::string text_of(const Address& address) {
  std::string text = std::to_string(address.port) + (address.v6 ? " v6" : "");
  for (const auto byte : address.bytes) text.append(" ").append(std::to_string(byte));
  return text.append(" ").append(std::to_string(address.scope));
}

// All but started_ms, which parse_list doesn't read.
using Lines = std::map<std::string, std::string>;

std::string line_of(const Entry& entry) {
  std::string line(entry.zone);
  line.append("|").append(entry.kind).append("|").append(std::to_string(entry.cell)).append("|");
  line.append(std::to_string(std::bit_cast<std::uint64_t>(entry.weight))).append("|");
  line.append(std::to_string(static_cast<int>(entry.state))).append("|").append(text_of(entry.address));
  return line;
}

Lines lines_of(const Table& table) {
  Lines lines;
  table.for_each(0, table.slots(),
                 [&](Slot, const Entry& entry) { lines[std::string(entry.id)] = line_of(entry); });
  return lines;
}

// As parse_list has it; of one id named twice the last counts.
Lines lines_of(const myrtlegrade::ListUpdate& update) {
  Lines lines;
  for (const myrtlegrade::ListedHost& listed : update.hosts) {
    Entry entry;
    entry.zone = listed.host.zone;
    entry.kind = listed.host.kind;
    entry.cell = listed.host.cell;
    entry.weight = listed.host.scale;
    entry.state = listed.host.state == vetchhinge::HostState::running    ? State::serving
                  : listed.host.state == vetchhinge::HostState::draining ? State::draining
                                                                         : State::deleted;
    if (entry.state == State::deleted && update.full) {
      lines.erase(listed.host.host);
      continue;
    }
    const auto address = listed.address.address();
    entry.address.port = listed.address.port();
    entry.address.v6 = address.is_v6();
    if (address.is_v6()) {
      entry.address.bytes = address.to_v6().to_bytes();
      entry.address.scope = static_cast<std::uint32_t>(address.to_v6().scope_id());
    } else {
      const auto bytes = address.to_v4().to_bytes();
      std::copy(bytes.begin(), bytes.end(), entry.address.bytes.begin());
    }
    lines[listed.host.host] = line_of(entry);
  }
  return lines;
}

using Status = ListReader::Status;

Status feed_all(ListReader& reader, std::string_view text, std::size_t most = 64 << 10) {
  while (!text.empty() && reader.status() == Status::more) reader.feed(text, most);
  if (reader.status() != Status::whole) return reader.status();
  return text.empty() ? Status::whole : Status::bad;  // something after the list, where there is one a line
}

constexpr const char* kServers =
    R"("servers":[
      {"id":"s-5be2a07c","addr":"10.1.0.18:7070","zone":"a","kind":"m2","cell":3,"state":"SERVING","weight":1.0,"started_ms":0},
      {"started_ms":1764650000123,"note":{"id":["s-9",{"cell":4}]},"weight":0.25,"state":"DRAINING","id":"s-\u00e9\ud83d\ude00é"
       ,"addr":"fe80::1%7:80","zone":"b\n","kind":"m\"1","cell":18446744073709551615},
      {"id":"s-gone","state":"DELETED"},
      {"id":"s-1","addr":"10.1.0.1:1","cell":5,"state":"SERVING","weight":-2.5e-3},
      {"id":"s-bad","addr":"10.1.0.1","cell":5,"state":"SERVING"}, 7, [{"id":"s-2"}]
    ])";

TEST(CatalogReader, ReadsAListCutAtAnyByteAndNothingOfOneThatIsCutOff) {
  const std::string text =
      std::string("\n{\"version\":41, \"full\":false, \"more\":[[], {\"servers\":[1]}, null],\r\n") +
      kServers + "}";
  ListReader whole;
  ASSERT_EQ(feed_all(whole, text), Status::whole) << whole.error();
  const Lines lines = lines_of(whole.entries());
  EXPECT_EQ(lines, lines_of(myrtlegrade::parse_list(json::parse(text))));
  EXPECT_EQ(lines.size(), 4u);
  EXPECT_EQ(whole.entries().at(*whole.entries().find("s-\u00e9\U0001F600\u00e9")).started_ms, 1764650000123);
  ListReader reader;
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    std::string_view first = std::string_view(text).substr(0, cut), rest = std::string_view(text).substr(cut);
    ASSERT_EQ(feed_all(reader, first), Status::more) << cut;
    ASSERT_EQ(feed_all(reader, rest), Status::whole) << cut << ": " << reader.error();
    ASSERT_EQ(lines_of(reader.entries()), lines) << cut;
    ASSERT_EQ(reader.version(), 41);
    reader.next();
    // A byte that has no place anywhere in a list.
    std::string spoilt = text;
    spoilt[cut] = '\x01';
    ASSERT_EQ(feed_all(reader, spoilt, 1 + cut % 13), Status::bad) << cut;
    ASSERT_NE(reader.error(), "");
    reader.next();
  }
  ASSERT_EQ(feed_all(reader, text, 1), Status::whole);
  ASSERT_EQ(lines_of(reader.entries()), lines);
}

TEST(CatalogReader, KnowsAWholeListThatSaysSoOnlyAtItsEnd) {
  for (const char* const form : {R"({"full":true,%s,"version":7})", R"({%s,"version":7,"full":true})"}) {
    std::string text(form);
    text.replace(text.find("%s"), 2, kServers);
    ListReader reader;
    ASSERT_EQ(feed_all(reader, text), Status::whole) << reader.error();
    EXPECT_TRUE(reader.full());
    EXPECT_EQ(reader.version(), 7);
    EXPECT_EQ(lines_of(reader.entries()), lines_of(myrtlegrade::parse_list(json::parse(text))));
    EXPECT_FALSE(reader.entries().find("s-gone"));
    Table kept = reader.take_entries();
    reader.next();
    EXPECT_EQ(kept.size(), 3u);
    EXPECT_EQ(reader.entries().size(), 0u);
  }
}

TEST(CatalogReader, ReadsTheLinesOfAWatchOneAfterAnother) {
  std::string text;
  for (int n = 0; n < 50; ++n) {
    text.append(n % 3, '\n')
        .append("{\"version\":")
        .append(std::to_string(n))
        .append(",\"servers\":[{\"id\":\"s-");
    text.append(std::to_string(n % 7)).append("\",\"state\":\"DELETED\"}]}\r\n");
  }
  for (std::size_t most = 1; most < 200; most += 7) {
    ListReader reader;
    std::string_view rest = text;
    for (int n = 0; n < 50; ++n) {
      while (reader.feed(rest, most) == Status::more) ASSERT_FALSE(rest.empty());
      ASSERT_EQ(reader.status(), Status::whole) << reader.error();
      ASSERT_EQ(reader.version(), n);
      ASSERT_EQ(reader.entries().size(), 1u);
      ASSERT_TRUE(reader.entries().find(id_of(n % 7, 3)));
      reader.next();
    }
    ASSERT_EQ(feed_all(reader, rest), Status::more);
  }
}

TEST(CatalogReader, RefusesWhatContradictsItselfOrPassesItsBounds) {
  const std::string deep = "{\"x\":" + std::string(40, '[');
  const std::string overlong = std::string("{\"x\":\"").append(2 << 20, 'x');
  const std::string key = std::string("{\"").append(2 << 20, 'x');
  for (const std::string& text :
       {std::string(R"({"version":1,"servers":[],"version":1})"),
        std::string(R"({"servers":[],"servers":[]})"),
        std::string(R"({"full":true,"servers":[],"full":false})"), std::string(R"({"version":1})"),
        std::string("[]"), std::string("7 "), std::string("\"servers\""), deep, overlong, key}) {
    ListReader reader;
    EXPECT_EQ(feed_all(reader, text), Status::bad) << text.substr(0, 60);
    EXPECT_EQ(reader.error().find('\n'), std::string::npos);
    EXPECT_GT(reader.error().size(), 20u);
  }
  ListReader reader;
  std::string_view first = "[0", more = ",0";
  std::string start = "{\"x\":";
  feed_all(reader, start);
  feed_all(reader, first);
  for (std::size_t n = 0; n < Bounds::kEntries + 10 && reader.status() == Status::more; n += 64) {
    std::string many;
    for (int i = 0; i < 64; ++i) many.append(more);
    feed_all(reader, many);
  }
  EXPECT_EQ(reader.status(), Status::bad);
  // What is longer than an id may be is passed over, as other entries that cannot be used.
  reader.next();
  std::string text = R"({"servers":[{"id":")" + std::string(kMostText + 1, 'i') + R"(","state":"DELETED"},)";
  text.append(R"({"id":"s-1","x":")").append(100'000, 'x').append(R"(","state":"DELETED"}]})");
  EXPECT_EQ(feed_all(reader, text, 100), Status::whole) << reader.error();
  EXPECT_EQ(reader.entries().size(), 1u);
}

class AnyList {
 public:
  explicit AnyList(std::uint64_t seed) : random_(seed) {}

  std::string operator()() {
    std::vector<std::string> fields;
    maybe(fields, "version",
          {"41", "41", "41", "41", "-3", "7.0", "7.5", "\"41\"", "null", "99999999999999999999"}, 8);
    maybe(fields, "full", {"true", "true", "false", "false", "null", "1", "\"true\"", "[]"}, 8);
    maybe(fields, "other", {"[1,{\"servers\":[]}]", "{}", "\"servers\"", "-0.5e3"}, 4);
    if (below(random_, 40) > 0) {
      std::string servers = "[";
      for (std::uint64_t n = below(random_, 9); n > 0; --n) servers.append(entry()).append(n > 1 ? "," : "");
      fields.push_back("\"servers\":" + blank() + servers + "]");
    } else {
      maybe(fields, "servers", {"{}", "null", "7"}, 5);
    }
    return spoilt(object(fields));
  }

 private:
  using Values = std::vector<std::string>;

  std::string blank() { return std::string(below(random_, 3) == 0 ? "\n  " : ""); }

  void maybe(Values& fields, const std::string& name, const Values& values, std::uint64_t often) {
    // Once in a while twice: of an entry's fields the last counts. Those of the list must not be.
    const bool twice = !values.empty() && name.size() <= 6 && name != "full" && below(random_, 25) == 0;
    for (int n = below(random_, 10) < often ? (twice && name != "other" ? 2 : 1) : 0; n > 0; --n) {
      // The first two are ones that can be used: most lists and entries are to be taken.
      const std::size_t among =
          below(random_, 4) > 0 ? std::min<std::size_t>(values.size(), 2) : values.size();
      const std::string& value = values[below(random_, among)];
      fields.push_back(std::string("\"").append(name).append("\"").append(blank()).append(":").append(value));
    }
  }

  std::string object(Values& fields) {
    std::shuffle(fields.begin(), fields.end(), random_);
    std::string text = "{";
    for (const std::string& field : fields)
      text.append(text.size() > 1 ? "," : "").append(blank()).append(field);
    return text.append(blank()).append("}");
  }

  std::string entry() {
    if (below(random_, 30) == 0)
      return Values{"7", "null", "[]", "\"s-1\"", "[{\"id\":\"s-1\"}]"}[below(random_, 5)];
    Values fields;
    maybe(fields, "id",
          {"\"s-1\"", "\"s-2\"", "\"s-3\"", "\"\\u0073-4\"", "\"s-\\ud83d\\ude00\"", "\"s-5\"", "\"\"", "5"},
          10);
    maybe(fields, "addr",
          {"\"10.1.0.18:7070\"", "\"10.1.0.19:7070\"", "\"::1:80\"", "\"fe80::2%3:9\"", "\"10.1.0:7\"",
           "\"10.1.0.18\"", "\"1.2.3.4:99999\"", "\"1.2.3.4:080\"", "\"1.2.3.4\\u0000x:5\"", "\"1.2.3.4:+5\"",
           "\":\"", "\"a:1\"", "{}"},
          10);
    maybe(fields, "zone", {"\"a\"", "\"b\"", "\"\"", "7", "null"}, 9);
    maybe(fields, "kind", {"\"m2\"", "\"k\\n\"", "{\"kind\":\"m2\"}", "[\"m2\"]"}, 9);
    maybe(fields, "state", {"\"SERVING\"", "\"SERVING\"", "\"DRAINING\"", "\"DELETED\"", "\"serving\"", "1"},
          10);
    maybe(fields, "cell",
          {"3", "4", "5", "0", "3.0", "1e3", "3.5", "-1", "18446744073709551615", "1e30", "\"3\"", "null",
           "[3]", "{\"cell\":3}"},
          9);
    maybe(fields, "weight",
          {"1.0", "1", "0.25", "-2", "1e-3", "0.1", "18446744073709551615", "\"1\"", "null", "[]"}, 8);
    maybe(fields, "started_ms", {"0", "1764650000123", "-5", "\"x\"", "1.5"}, 6);
    maybe(fields, "x", {"{\"id\":\"s-9\",\"state\":[{}]}", "\"\\\\\"", "true"}, 2);
    return object(fields);
  }

  std::string spoilt(std::string text) {
    if (below(random_, 3) > 0) return text;
    const std::size_t at = below(random_, text.size());
    constexpr std::string_view kBytes = "{}[]\":,0 e\\u\xff\x01";
    switch (below(random_, 4)) {
      case 0:
        return text.substr(0, at);
      case 1:
        return text.erase(at, 1 + below(random_, 4));
      case 2:
        return text.insert(at, 1, kBytes[below(random_, kBytes.size())]);
      default:
        text[at] = kBytes[below(random_, kBytes.size())];
        return text;
    }
  }

  Random random_;
};

TEST(CatalogReader, TakesAndRefusesWhatParseListDoes) {
  AnyList any(34);
  Random random(35);
  int taken = 0, refused = 0, entries = 0, twice = 0;
  ListReader reader;
  for (int n = 0; n < 20'000; ++n) {
    const std::string text = any();
    std::optional<myrtlegrade::ListUpdate> update;
    try {
      update = myrtlegrade::parse_list(json::parse(text));
    } catch (const std::exception&) {
    }
    reader.next();
    const bool whole = feed_all(reader, text, 1 + below(random, 80)) == Status::whole;
    if (update && !whole && reader.error().find("said twice") != std::string::npos) {
      ++twice;  // stricter there, as the header says
      continue;
    }
    ASSERT_EQ(whole, update.has_value()) << text << "\n" << reader.error();
    if (!whole) {
      ++refused;
      continue;
    }
    ++taken;
    ASSERT_EQ(reader.version(), update->version) << text;
    ASSERT_EQ(reader.full(), update->full) << text;
    const Lines lines = lines_of(*update);
    ASSERT_EQ(lines_of(reader.entries()), lines) << text;
    entries += static_cast<int>(lines.size());
  }
  std::printf("%d taken with %d entries, %d refused, %d said a field twice\n", taken, entries, refused,
              twice);
  EXPECT_GT(taken, 5000);
  EXPECT_GT(refused, 3000);
  EXPECT_GT(entries, 10'000);
  EXPECT_LT(twice, 100);
}

// ------------------------------------------------------------------------------------------ figures

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

std::string listed(std::uint64_t n, std::size_t length, std::uint64_t cell, const char* state) {
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

// `CATALOG_ENTRIES=1900000 valedrum_catalog_tests --gtest_filter=CatalogFigures.*` for other sizes. The
// figures of time are printed only: the machine may be busy.
TEST(CatalogFigures, ForAWholeListAndOneChange) {
  const std::uint64_t entries = from_environment("CATALOG_ENTRIES", 200'000);
  for (const std::size_t length : {10u, 20u}) {
    const std::size_t before = resident_bytes();
    ListReader reader;
    double read = 0, longest = 0;
    std::uint64_t taken = 0;
    std::string piece = "{\"version\":1,\"full\":true,\"servers\":[";
    for (std::uint64_t n = 0; n < entries;) {
      while (piece.size() < 64 << 10 && n < entries) {
        piece.append(n > 0 ? "," : "").append(listed(n, length, n, "SERVING"));
        ++n;
      }
      if (n == entries) piece += "]}";
      std::string_view rest = piece;
      const auto start = Clock::now();
      reader.feed(rest, 128 << 10);
      const double took = ms_since(start);
      read += took;
      longest = std::max(longest, took);
      taken += piece.size();
      piece.clear();
    }
    ASSERT_EQ(reader.status(), Status::whole) << reader.error();
    Table table = reader.take_entries();
    ASSERT_EQ(table.size(), entries);
    const double each = static_cast<double>(table.bytes()) / static_cast<double>(entries);
    const double in_memory = static_cast<double>(resident_bytes() - before) / static_cast<double>(entries);
    std::printf(
        "%lu entries, ids of %zu: %.1f bytes an entry (%.1f by the system), %.1f MB read in %.0f ms, longest "
        "64 KB %.2f ms\n",
        entries, length, each, in_memory, static_cast<double>(taken) / 1e6, read, longest);
    if (entries >= 2000) {
      EXPECT_LE(each, 100);
    }
    if (entries >= 100'000) {
      EXPECT_LE(each, 44.0 + 1.05 * static_cast<double>(length));
    }
    if (entries >= 100'000) {
      EXPECT_LE(in_memory, each * 1.1);
    }

    Random random(2);
    std::vector<double> changes, puts;
    for (int n = 0; n < 20'000; ++n) {  // one that moves, one that goes, a new one
      const std::uint64_t known = below(random, entries);
      const std::string text =
          "{\"version\":2,\"full\":false,\"servers\":[" +
          (n % 3 == 0   ? listed(known, length, below(random, entries), "DRAINING")
           : n % 3 == 1 ? "{\"id\":\"" + id_of(known, length) + "\",\"state\":\"DELETED\"}"
                        : listed(entries + static_cast<std::uint64_t>(n), length, entries, "SERVING")) +
          "]}\n";
      std::string_view rest = text;
      const auto start = Clock::now();
      reader.next();
      ASSERT_EQ(reader.feed(rest, 64 << 10), Status::whole);
      const auto applied = Clock::now();
      reader.entries().for_each(0, 10, [&](Slot, const Entry& entry) {
        if (entry.state == State::deleted) {
          table.erase(entry.id);
        } else {
          table.put(entry);
        }
      });
      changes.push_back(ms_since(start));
      puts.push_back(ms_since(applied));
    }
    std::sort(changes.begin(), changes.end());
    std::sort(puts.begin(), puts.end());
    std::printf(
        "  one change: median %.4f ms, 99%% %.4f, longest %.4f; of it in the table %.4f, %.4f, %.4f\n",
        changes[changes.size() / 2], changes[changes.size() * 99 / 100], changes.back(),
        puts[puts.size() / 2], puts[puts.size() * 99 / 100], puts.back());
    double slice = 0;
    int slices = 0;
    for (bool done = false; !done; ++slices) {
      const auto start = Clock::now();
      done = table.release(1 << 20);
      slice = std::max(slice, ms_since(start));
    }
    std::printf("  given back in %d slices of 1 MB, longest %.2f ms\n", slices, slice);
  }
}

}  // namespace
