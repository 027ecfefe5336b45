#include "copies_config.h"

#include <algorithm>

#include "json_fields.h"

namespace myrtlegrade {
namespace {

namespace json = boost::json;
namespace copies = valedrum::copies;
using std::chrono::milliseconds;
using Field = fields::Field<CopiesConfig>;

constexpr std::size_t kMinDiskBytes = 256 << 10;

Field span_of(copies::Duration copies::CopiesSettings::*where) {
  return [where](CopiesConfig& c, const json::value& v, std::string_view f) {
    c.settings.*where = milliseconds(fields::whole(v, f));
  };
}

Field number_of(unsigned copies::CopiesSettings::*where) {
  return [where](CopiesConfig& c, const json::value& v, std::string_view f) {
    c.settings.*where = static_cast<unsigned>(fields::whole(v, f));
  };
}

Field address_of(valedrum::membership::Address CopiesConfig::*where) {
  return [where](CopiesConfig& c, const json::value& v, std::string_view f) {
    c.*where = fields::address(v, f);
  };
}

// A field with one of two values; `set` receives whether it is the second.
template <typename Set>
Field choice_of(std::string_view first, std::string_view second, Set set) {
  return [=](CopiesConfig& c, const json::value& v, std::string_view f) {
    const std::string word = fields::text(v, f);
    if (word != first && word != second)
      fields::reject(f, "must be " + std::string(first) + " or " + std::string(second));
    set(c, word == second);
  };
}

const std::map<std::string_view, Field>& known_fields() {
  using S = copies::CopiesSettings;
  static const std::map<std::string_view, Field> all = {
      {"bind", address_of(&CopiesConfig::bind)},
      {"advertise", address_of(&CopiesConfig::advertise)},
      {"copies", number_of(&S::copies)},
      {"spread", number_of(&S::group_count)},
      {"lease_ms", span_of(&S::lease)},
      {"answer_ms", span_of(&S::answer_timeout)},
      {"zones",
       choice_of("any", "other", [](CopiesConfig& c, bool other) { c.settings.other_zone = other; })},
      {"on_shortage", choice_of("refuse", "accept",
                                [](CopiesConfig& c, bool accept) {
                                  c.settings.on_shortage = accept ? copies::ShortagePolicy::accept
                                                                  : copies::ShortagePolicy::refuse;
                                })},
#ifdef VALEDRUM_BREAKABLE  // test builds only: tests disable a safeguard and check that the fault is detected
      {"without",
       [](CopiesConfig& c, const json::value& v, std::string_view f) {
         const auto* named =
             std::ranges::find(copies::kSafeguardNames, fields::text(v, f), &copies::SafeguardName::name);
         if (named == std::end(copies::kSafeguardNames)) fields::reject(f, "no such part");
         c.settings.disabled_safeguard = named->safeguard;
       }},
#endif
  };
  return all;
}

}  // namespace

std::size_t copies_descriptors(const CopiesConfig& config) {
  return 4 * std::size_t{config.settings.group_count} * (valedrum::copies::kGroupSize - 1) + 4;
}

CopiesConfig parse_copies(const json::object& object, std::uint64_t disk_bytes) {
  CopiesConfig c;
  fields::read(object, known_fields(), "copies.", c);
  if (!c.bind) fields::reject("copies.bind", "missing");
  if (!c.advertise) c.advertise = c.bind;
  c.settings.lease_margin = c.settings.renewal_interval = c.settings.lease / 4;
  c.settings.vote_retry_interval = c.settings.lease / 16;
  // During a rewrite, which starts at 6/10 of the disk budget, the old and the new file exist side by side.
  // The live data (bodies held for others, own bodies, and their metadata) therefore has to fit into 3/10.
  const auto disk = static_cast<std::size_t>(static_cast<double>(disk_bytes) * kCopiesDiskShare);
  if (disk < kMinDiskBytes) fields::reject("limits.disk_mb", "too small for copies");
  c.settings.body_budget = disk / 8;
  try {
    copies::validate(c.settings);
  } catch (const std::invalid_argument& e) {
    throw std::invalid_argument("config: copies." + std::string(e.what()));
  }
  return c;
}

}  // namespace myrtlegrade
