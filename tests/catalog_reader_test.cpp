// Tests of the incremental list reader: it must give the same result as parse_list wherever its input is cut,
// and must reject lists that are corrupted at any byte.
#include <gtest/gtest.h>

#include <algorithm>
#include <bit>
#include <boost/json.hpp>
#include <cstdio>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "catalog/list_reader.h"
#include "reference_list_parser.h"

namespace {

using namespace valedrum::catalog;
namespace json = boost::json;

using Random = std::mt19937_64;

std::uint64_t random_below(Random& random, std::uint64_t bound) { return random() % bound; }

std::string text_of(const Address& address) {
  std::string text = std::to_string(address.port) + (address.v6 ? " v6" : "");
  for (const auto byte : address.bytes) text.append(" ").append(std::to_string(byte));
  return text.append(" ").append(std::to_string(address.scope));
}

// Descriptions of entries by id, without started_ms, which parse_list does not read.
using Descriptions = std::map<std::string, std::string>;

std::string describe(const Entry& entry) {
  std::string text(entry.zone);
  text.append("|").append(entry.kind).append("|").append(std::to_string(entry.cell)).append("|");
  text.append(std::to_string(std::bit_cast<std::uint64_t>(entry.weight))).append("|");
  text.append(std::to_string(static_cast<int>(entry.state))).append("|").append(text_of(entry.address));
  return text;
}

Descriptions describe_all(const EndpointTable& table) {
  Descriptions descriptions;
  table.for_each(0, table.slot_end(),
                 [&](Slot, const Entry& entry) { descriptions[std::string(entry.id)] = describe(entry); });
  return descriptions;
}

// The result of parse_list. If an id is listed twice, the last entry counts.
Descriptions describe_all(const myrtlegrade::ListUpdate& update) {
  Descriptions descriptions;
  for (const myrtlegrade::ListedHost& listed : update.hosts) {
    Entry entry;
    entry.zone = listed.host.zone;
    entry.kind = listed.host.kind;
    entry.cell = listed.host.cell;
    entry.weight = listed.host.scale;
    entry.state = listed.host.state == vetchhinge::HostState::running    ? EndpointState::serving
                  : listed.host.state == vetchhinge::HostState::draining ? EndpointState::draining
                                                                         : EndpointState::deleted;
    if (entry.state == EndpointState::deleted && update.full) {
      descriptions.erase(listed.host.host);
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
    descriptions[listed.host.host] = describe(entry);
  }
  return descriptions;
}

using Status = ListReader::Status;

Status feed_all(ListReader& reader, std::string_view text, std::size_t max_bytes = 64 << 10) {
  while (!text.empty() && reader.status() == Status::needs_more) reader.feed(text, max_bytes);
  if (reader.status() != Status::complete) return reader.status();
  return text.empty() ? Status::complete : Status::invalid;  // input after a complete list is an error here
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
  ASSERT_EQ(feed_all(whole, text), Status::complete) << whole.error();
  const Descriptions expected = describe_all(whole.entries());
  EXPECT_EQ(expected, describe_all(myrtlegrade::parse_list(json::parse(text))));
  EXPECT_EQ(expected.size(), 4u);
  EXPECT_EQ(whole.entries().at(*whole.entries().find("s-\u00e9\U0001F600\u00e9")).started_ms, 1764650000123);
  ListReader reader;
  for (std::size_t cut = 0; cut < text.size(); ++cut) {
    std::string_view first = std::string_view(text).substr(0, cut), rest = std::string_view(text).substr(cut);
    ASSERT_EQ(feed_all(reader, first), Status::needs_more) << cut;
    ASSERT_EQ(feed_all(reader, rest), Status::complete) << cut << ": " << reader.error();
    ASSERT_EQ(describe_all(reader.entries()), expected) << cut;
    ASSERT_EQ(reader.version(), 41);
    reader.reset();
    // The byte 1 is invalid anywhere in JSON.
    std::string corrupt = text;
    corrupt[cut] = '\x01';
    ASSERT_EQ(feed_all(reader, corrupt, 1 + cut % 13), Status::invalid) << cut;
    ASSERT_NE(reader.error(), "");
    reader.reset();
  }
  ASSERT_EQ(feed_all(reader, text, 1), Status::complete);
  ASSERT_EQ(describe_all(reader.entries()), expected);
}

TEST(CatalogReader, KnowsAWholeListThatSaysSoOnlyAtItsEnd) {
  for (const char* const form : {R"({"full":true,%s,"version":7})", R"({%s,"version":7,"full":true})"}) {
    std::string text(form);
    text.replace(text.find("%s"), 2, kServers);
    ListReader reader;
    ASSERT_EQ(feed_all(reader, text), Status::complete) << reader.error();
    EXPECT_TRUE(reader.full());
    EXPECT_EQ(reader.version(), 7);
    EXPECT_EQ(describe_all(reader.entries()), describe_all(myrtlegrade::parse_list(json::parse(text))));
    EXPECT_FALSE(reader.entries().find("s-gone"));
    EndpointTable kept = reader.take_entries();
    reader.reset();
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
  for (std::size_t max_bytes = 1; max_bytes < 200; max_bytes += 7) {
    ListReader reader;
    std::string_view rest = text;
    for (int n = 0; n < 50; ++n) {
      while (reader.feed(rest, max_bytes) == Status::needs_more) ASSERT_FALSE(rest.empty());
      ASSERT_EQ(reader.status(), Status::complete) << reader.error();
      ASSERT_EQ(reader.version(), n);
      ASSERT_EQ(reader.entries().size(), 1u);
      ASSERT_TRUE(reader.entries().find(std::string("s-").append(std::to_string(n % 7))));
      reader.reset();
    }
    ASSERT_EQ(feed_all(reader, rest), Status::needs_more);
  }
}

TEST(CatalogReader, KeepsNoMemoryOfALargeListForTheNextOne) {
  std::string text = "{\"servers\":[";
  for (int n = 0; n < 50'000; ++n) {
    text.append("{\"state\":\"DELETED\",\"id\":\"")
        .append(std::to_string(n))
        .append(n < 49'999 ? "\"}," : "\"}]}");
  }
  ListReader reader;
  ASSERT_EQ(feed_all(reader, text), Status::complete) << reader.error();
  EXPECT_EQ(reader.entries().size(), 50'000u);
  EXPECT_GT(reader.entries().bytes(), 2u << 20);
  reader.reset();
  EXPECT_LT(reader.entries().bytes(), 1u << 20);
  EXPECT_EQ(feed_all(reader, "{\"servers\":[{\"state\":\"DELETED\",\"id\":\"7\"}]}"), Status::complete);
  EXPECT_EQ(reader.entries().size(), 1u);
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
    EXPECT_EQ(feed_all(reader, text), Status::invalid) << text.substr(0, 60);
    EXPECT_EQ(reader.error().find('\n'), std::string::npos);
    EXPECT_GT(reader.error().size(), 20u);
  }
  ListReader reader;
  std::string_view first = "[0", more = ",0";
  std::string start = "{\"x\":";
  feed_all(reader, start);
  feed_all(reader, first);
  for (std::size_t n = 0; n < ListLimits::kMaxElements + 10 && reader.status() == Status::needs_more;
       n += 64) {
    std::string many;
    for (int i = 0; i < 64; ++i) many.append(more);
    feed_all(reader, many);
  }
  EXPECT_EQ(reader.status(), Status::invalid);
  // An entry with an id that is too long is skipped, like other unusable entries.
  reader.reset();
  std::string text =
      R"({"servers":[{"id":")" + std::string(kMaxTextBytes + 1, 'i') + R"(","state":"DELETED"},)";
  text.append(R"({"id":"s-1","x":")").append(100'000, 'x').append(R"(","state":"DELETED"}]})");
  EXPECT_EQ(feed_all(reader, text, 100), Status::complete) << reader.error();
  EXPECT_EQ(reader.entries().size(), 1u);
}

// Generates random lists, with valid and invalid values in any order, some of them corrupted.
class RandomList {
 public:
  explicit RandomList(std::uint64_t seed) : random_(seed) {}

  std::string operator()() {
    std::vector<std::string> fields;
    maybe_add(fields, "version",
              {"41", "41", "41", "41", "-3", "7.0", "7.5", "\"41\"", "null", "99999999999999999999"}, 8);
    maybe_add(fields, "full", {"true", "true", "false", "false", "null", "1", "\"true\"", "[]"}, 8);
    maybe_add(fields, "other", {"[1,{\"servers\":[]}]", "{}", "\"servers\"", "-0.5e3"}, 4);
    if (random_below(random_, 40) > 0) {
      std::string servers = "[";
      for (std::uint64_t n = random_below(random_, 9); n > 0; --n)
        servers.append(entry()).append(n > 1 ? "," : "");
      fields.push_back("\"servers\":" + maybe_whitespace() + servers + "]");
    } else {
      maybe_add(fields, "servers", {"{}", "null", "7"}, 5);
    }
    return maybe_corrupted(object(fields));
  }

 private:
  using Values = std::vector<std::string>;

  std::string maybe_whitespace() { return std::string(random_below(random_, 3) == 0 ? "\n  " : ""); }

  void maybe_add(Values& fields, const std::string& name, const Values& values, std::uint64_t tenths) {
    // Some fields of entries occur twice, and the last one counts. Fields of the list must not occur twice.
    const bool twice =
        !values.empty() && name.size() <= 6 && name != "full" && random_below(random_, 25) == 0;
    for (int n = random_below(random_, 10) < tenths ? (twice && name != "other" ? 2 : 1) : 0; n > 0; --n) {
      // Mostly one of the first two values, which are valid, so that most lists and entries are accepted.
      const std::size_t candidates =
          random_below(random_, 4) > 0 ? std::min<std::size_t>(values.size(), 2) : values.size();
      const std::string& value = values[random_below(random_, candidates)];
      fields.push_back(
          std::string("\"").append(name).append("\"").append(maybe_whitespace()).append(":").append(value));
    }
  }

  std::string object(Values& fields) {
    std::shuffle(fields.begin(), fields.end(), random_);
    std::string text = "{";
    for (const std::string& field : fields)
      text.append(text.size() > 1 ? "," : "").append(maybe_whitespace()).append(field);
    return text.append(maybe_whitespace()).append("}");
  }

  std::string entry() {
    if (random_below(random_, 30) == 0)
      return Values{"7", "null", "[]", "\"s-1\"", "[{\"id\":\"s-1\"}]"}[random_below(random_, 5)];
    Values fields;
    maybe_add(
        fields, "id",
        {"\"s-1\"", "\"s-2\"", "\"s-3\"", "\"\\u0073-4\"", "\"s-\\ud83d\\ude00\"", "\"s-5\"", "\"\"", "5"},
        10);
    maybe_add(fields, "addr",
              {"\"10.1.0.18:7070\"", "\"10.1.0.19:7070\"", "\"::1:80\"", "\"fe80::2%3:9\"", "\"10.1.0:7\"",
               "\"10.1.0.18\"", "\"1.2.3.4:99999\"", "\"1.2.3.4:080\"", "\"1.2.3.4\\u0000x:5\"",
               "\"1.2.3.4:+5\"", "\":\"", "\"a:1\"", "{}"},
              10);
    maybe_add(fields, "zone", {"\"a\"", "\"b\"", "\"\"", "7", "null"}, 9);
    maybe_add(fields, "kind", {"\"m2\"", "\"k\\n\"", "{\"kind\":\"m2\"}", "[\"m2\"]"}, 9);
    maybe_add(fields, "state",
              {"\"SERVING\"", "\"SERVING\"", "\"DRAINING\"", "\"DELETED\"", "\"serving\"", "1"}, 10);
    maybe_add(fields, "cell",
              {"3", "4", "5", "0", "3.0", "1e3", "3.5", "-1", "18446744073709551615", "1e30", "\"3\"", "null",
               "[3]", "{\"cell\":3}"},
              9);
    maybe_add(fields, "weight",
              {"1.0", "1", "0.25", "-2", "1e-3", "0.1", "18446744073709551615", "\"1\"", "null", "[]"}, 8);
    maybe_add(fields, "started_ms", {"0", "1764650000123", "-5", "\"x\"", "1.5"}, 6);
    maybe_add(fields, "x", {"{\"id\":\"s-9\",\"state\":[{}]}", "\"\\\\\"", "true"}, 2);
    return object(fields);
  }

  std::string maybe_corrupted(std::string text) {
    if (random_below(random_, 3) > 0) return text;
    const std::size_t at = random_below(random_, text.size());
    constexpr std::string_view kBytes = "{}[]\":,0 e\\u\xff\x01";
    switch (random_below(random_, 4)) {
      case 0:
        return text.substr(0, at);
      case 1:
        return text.erase(at, 1 + random_below(random_, 4));
      case 2:
        return text.insert(at, 1, kBytes[random_below(random_, kBytes.size())]);
      default:
        text[at] = kBytes[random_below(random_, kBytes.size())];
        return text;
    }
  }

  Random random_;
};

TEST(CatalogReader, TakesAndRefusesWhatParseListDoes) {
  RandomList random_list(34);
  Random random(35);
  int accepted = 0, rejected = 0, entries = 0, duplicate_fields = 0;
  ListReader reader;
  for (int n = 0; n < 20'000; ++n) {
    const std::string text = random_list();
    std::optional<myrtlegrade::ListUpdate> update;
    try {
      update = myrtlegrade::parse_list(json::parse(text));
    } catch (const std::exception&) {
    }
    reader.reset();
    const bool whole = feed_all(reader, text, 1 + random_below(random, 80)) == Status::complete;
    if (update && !whole && reader.error().find("duplicate field") != std::string::npos) {
      ++duplicate_fields;  // the list reader is stricter here, see its header
      continue;
    }
    ASSERT_EQ(whole, update.has_value()) << text << "\n" << reader.error();
    if (!whole) {
      ++rejected;
      continue;
    }
    ++accepted;
    ASSERT_EQ(reader.version(), update->version) << text;
    ASSERT_EQ(reader.full(), update->full) << text;
    const Descriptions expected = describe_all(*update);
    ASSERT_EQ(describe_all(reader.entries()), expected) << text;
    entries += static_cast<int>(expected.size());
  }
  std::printf("%d accepted with %d entries, %d rejected, %d with a duplicate field\n", accepted, entries,
              rejected, duplicate_fields);
  EXPECT_GT(accepted, 5000);
  EXPECT_GT(rejected, 3000);
  EXPECT_GT(entries, 10'000);
  EXPECT_LT(duplicate_fields, 100);
}

}  // namespace
