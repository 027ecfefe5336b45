// The page of capacity against its file: what must not pass.
#include "capacity/capacity.h"

#include <gtest/gtest.h>

#include <boost/json.hpp>

namespace valedrum::lab {
namespace {

constexpr const char* kFile = R"({
  "target": {"relays": {"value": 7400, "unit": "relays"}, "memory": {"value": 256, "unit": "MB"}},
  "runs": {"rest": {"command": "valedrum_lab scale", "result": {"view": [520.5], "members": [250, 2000]}}},
  "figures": {"view": {"at": "/view/0", "unit": "bytes a member", "run": "rest", "over": "relays",
                       "least": "/members/0", "most": "/members/1"}},
  "rows": [{"table": "relay", "what": "the view", "arithmetic": "view * relays / 1e6", "unit": "MB", "budget": "memory",
            "mechanism": "`membership/`", "verdict": "holds"}]})";
constexpr const char* kPage = "# Capacity\n<!-- capacity: relay -->\nold\n<!-- end -->\nafter\n";

std::string render(const std::string& file, const std::string& page = kPage) {
  return render_capacity(boost::json::parse(file), page);
}

std::string with(std::string_view from, std::string_view to) {
  std::string file = kFile;
  return file.replace(file.find(from), from.size(), to);
}

TEST(Capacity, ArithmeticIsDoneFromTheFileAndSaysWhereItReachesBeyondWhatWasMeasured) {
  const std::string page = render(kFile);
  EXPECT_EQ(page.substr(0, page.find('\n')), "# Capacity");
  EXPECT_NE(
      page.find("| the view | 520.5 bytes a member (rest) | 250 to 2,000 relays | 520.5 × 7,400 / 1e6 | "
                "3.852 MB, extrapolated | 256 MB | `membership/` | holds |\n"),
      std::string::npos)
      << page;
  EXPECT_EQ(page.find("\nold\n"), std::string::npos);
  EXPECT_EQ(page, render(kFile, page));  // made anew it stays as it is
}

TEST(Capacity, AFigureThatChangesChangesThePage) { EXPECT_NE(render(kFile), render(with("520.5", "521.5"))); }

TEST(Capacity, AVerdictThatTheArithmeticDoesNotGiveIsRefused) {
  EXPECT_THROW(render(with("520.5", "52050")), CapacityError);
  EXPECT_THROW(render(with("\"holds\"", "\"does not hold\"")), CapacityError);
  EXPECT_THROW(render(with("\"budget\": \"memory\",", "")), CapacityError);
  EXPECT_NO_THROW(render(with("\"holds\"", "\"not built\"")));
}

TEST(Capacity, AFigureWithoutItsRunARowWithoutItsPlaceAndArithmeticWithoutAValueAreRefused) {
  EXPECT_THROW(render(with("\"run\": \"rest\"", "\"run\": \"guess\"")), CapacityError);
  EXPECT_THROW(render(with("/view/0", "/view/1")), CapacityError);
  EXPECT_THROW(render(with("\"over\": \"relays\"", "\"over\": \"moons\"")), CapacityError);
  EXPECT_THROW(render(with("view * relays", "view * moons")), CapacityError);
  EXPECT_THROW(render(with("/ 1e6", "/ 0")), CapacityError);
  EXPECT_THROW(render(kFile, "# Capacity\n"), CapacityError);
  EXPECT_THROW(render(kFile, std::string(kPage) + "<!-- capacity: moon -->\n<!-- end -->\n"), CapacityError);
  EXPECT_THROW(render(kFile, "<!-- capacity: relay -->\n"), CapacityError);
}

}  // namespace
}  // namespace valedrum::lab
