// Tests of the `fleet` object of the configuration, and of the file that persists a member's identity.
#include "fleet_config.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <boost/json/parse.hpp>
#include <filesystem>
#include <fstream>

#include "record_codec.h"

namespace myrtlegrade {
namespace {

namespace fs = std::filesystem;
namespace json = boost::json;

std::string error_of(const std::string& text) {
  try {
    parse_fleet(json::parse(text).as_object(), "z");
  } catch (const std::exception& e) {
    return e.what();
  }
  return "";
}

TEST(FleetConfig, SaysWhatFollowsFromLittle) {
  const FleetConfig c = parse_fleet(
      json::parse(R"({"name":"f","bind":"10.0.0.4:7300","seeds":["10.0.0.5:7300"]})").as_object(), "z");
  EXPECT_EQ(to_text(c.advertise), "10.0.0.4:7300");
  EXPECT_EQ(c.machine, "10.0.0.4");
  EXPECT_EQ(c.zone, "z");
  EXPECT_EQ(c.settings.seeds.size(), 1U);
}

TEST(FleetConfig, RefusesWhatItCannotUseAndSaysWhere) {
  const std::pair<const char*, const char*> cases[] = {
      {R"({"name":"f"})", "fleet.bind"},
      {R"({"bind":"1.1.1.1:1"})", "fleet.name"},
      {R"({"name":"f","bind":"1.1.1.1:1","sedes":[]})", "fleet.sedes: unknown field"},
      {R"({"name":"f","bind":"1.1.1.1:1","without":"tombstones"})", "fleet.without: unknown field"},
      {R"({"name":"f","bind":"1.1.1.1"})", "fleet.bind"},
      {R"({"name":"f","bind":"1.1.1.1:0"})", "fleet.bind"},
      {R"({"name":"f","bind":"[::1]:7"})", "fleet.bind"},
      {R"({"name":"f","bind":"1.1.1.1:1","seeds":"1.1.1.1:1"})", "fleet.seeds"},
      {R"({"name":"f","bind":"1.1.1.1:1","seeds":[3]})", "fleet.seeds"},
      {R"({"name":"f","bind":"1.1.1.1:1","probe_ms":1})", "fleet.probe_ms"},
      {R"({"name":"f","bind":"1.1.1.1:1","probe_ms":1e9})", "fleet.probe_ms"},
      {R"({"name":"f","bind":"1.1.1.1:1","ack_ms":900})", "fleet.ack_ms"},
      {R"({"name":"f","bind":"1.1.1.1:1","confirmations":7})", "fleet.confirmations"},
      {R"({"name":"f","bind":"1.1.1.1:1","tombstone_s":-4})", "fleet.tombstone_s"},
      {R"({"name":"","bind":"1.1.1.1:1"})", "fleet.name"},
  };
  for (const auto& [text, where] : cases) {
    EXPECT_NE(error_of(text).find(where), std::string::npos) << text << ": " << error_of(text);
  }
}

TEST(FleetIdentity, IsKeptAndTrustedOnlyWhereItIsWholeAndItsOwn) {
  std::string folder = fs::temp_directory_path() / "identity-XXXXXX";
  ASSERT_TRUE(::mkdtemp(folder.data()));
  const auto stored_incarnation = [&](const char* fleet, const char* name) {
    return FleetIdentity(folder, fleet, name).incarnation();
  };
  EXPECT_EQ(stored_incarnation("f", "a"), 0U);
  EXPECT_TRUE(FleetIdentity(folder, "f", "a").save(7));
  EXPECT_EQ(stored_incarnation("f", "a"), 7U);
  EXPECT_EQ(stored_incarnation("g", "a"), 0U);
  EXPECT_EQ(stored_incarnation("f", "b"), 0U);
  const auto write = [&](const std::string& bytes) {
    std::ofstream(folder + "/fleet", std::ios::binary | std::ios::trunc) << bytes;
  };
  const std::string whole = RecordWriter(1).text("f").text("a").number(7).record();
  for (std::size_t n = 0; n < whole.size(); ++n) {
    write(whole.substr(0, n));
    EXPECT_EQ(stored_incarnation("f", "a"), 0U) << n;
    std::string flipped = whole;
    flipped[n] ^= 4;
    write(flipped);
    EXPECT_EQ(stored_incarnation("f", "a"), 0U) << n;
  }
  write(RecordWriter(2).text("f").text("a").number(7).record());
  EXPECT_THROW(stored_incarnation("f", "a"), std::runtime_error);
  FleetIdentity unwritable(folder + "/missing", "f", "a");
  EXPECT_FALSE(unwritable.save(1));
  fs::remove_all(folder);
}

}  // namespace
}  // namespace myrtlegrade
