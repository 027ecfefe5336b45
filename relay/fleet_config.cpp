#include "fleet_config.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <stdexcept>

#include "json_fields.h"
#include "record_codec.h"

namespace myrtlegrade {
namespace {

namespace json = boost::json;
namespace membership = valedrum::membership;

enum class FileVersion : std::uint8_t { version_1 = 1 };

using Field = fields::Field<FleetConfig>;

template <typename Unit>
Field span_of(membership::Duration membership::Settings::*where) {
  return [where](FleetConfig& c, const json::value& v, std::string_view f) {
    c.settings.*where = Unit(fields::whole(v, f));
  };
}

Field number_of(std::uint32_t membership::Settings::*where) {
  return [where](FleetConfig& c, const json::value& v, std::string_view f) {
    c.settings.*where = static_cast<std::uint32_t>(fields::whole(v, f));
  };
}

Field text_of(std::string FleetConfig::*where) {
  return [where](FleetConfig& c, const json::value& v, std::string_view f) { c.*where = fields::text(v, f); };
}

Field address_of(membership::Address FleetConfig::*where) {
  return
      [where](FleetConfig& c, const json::value& v, std::string_view f) { c.*where = fields::address(v, f); };
}

const std::map<std::string_view, Field>& known_fields() {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  using S = membership::Settings;
  static const std::map<std::string_view, Field> all = {
      {"name", [](FleetConfig& c, const json::value& v,
                  std::string_view f) { c.settings.fleet = fields::text(v, f); }},
      {"bind", address_of(&FleetConfig::bind)},
      {"advertise", address_of(&FleetConfig::advertise)},
      {"machine", text_of(&FleetConfig::machine)},
      {"zone", text_of(&FleetConfig::zone)},
      {"probe_ms", span_of<milliseconds>(&S::probe_interval)},
      {"ack_ms", span_of<milliseconds>(&S::ack_timeout)},
      {"tombstone_s", span_of<seconds>(&S::tombstone_retention)},
      {"reconnect_s", span_of<seconds>(&S::max_reconnect_interval)},
      {"indirect", number_of(&S::indirect_probes)},
      {"confirmations", number_of(&S::confirmations)},
      {"seeds",
       [](FleetConfig& c, const json::value& v, std::string_view f) {
         if (!v.is_array()) fields::reject(f, "not a list");
         for (const json::value& seed : v.as_array()) c.settings.seeds.push_back(fields::address(seed, f));
       }},
#ifdef VALEDRUM_BREAKABLE  // test builds only: tests disable a safeguard and check that the fault is detected
      {"without",
       [](FleetConfig& c, const json::value& v, std::string_view f) {
         const auto* named = std::ranges::find(membership::kDisabledSafeguardNames, fields::text(v, f),
                                               &membership::DisabledSafeguardName::name);
         if (named == std::end(membership::kDisabledSafeguardNames)) fields::reject(f, "no such part");
         c.settings.disabled_safeguard = named->disabled_safeguard;
       }},
#endif
  };
  return all;
}

}  // namespace

FleetConfig parse_fleet(const json::object& fleet, const std::string& zone) {
  FleetConfig c;
  c.zone = zone;
  fields::read(fleet, known_fields(), "fleet.", c);
  if (!c.bind) fields::reject("fleet.bind", "missing");
  if (!c.advertise) c.advertise = c.bind;
  if (c.machine.empty()) c.machine = boost::asio::ip::address_v4(c.advertise.ip).to_string();
  if (c.machine.size() > membership::kMaxNameBytes) fields::reject("fleet.machine", "has more than 64 bytes");
  if (c.zone.size() > membership::kMaxZoneBytes) fields::reject("fleet.zone", "has more than 32 bytes");
  try {
    membership::check(c.settings);
  } catch (const std::invalid_argument& e) {
    throw std::invalid_argument("config: fleet." + std::string(e.what()));
  }
  return c;
}

FleetIdentity::FleetIdentity(const std::string& folder, std::string fleet, std::string name)
    : folder_(folder), fleet_(std::move(fleet)), name_(std::move(name)) {
  const std::string path = folder_ + "/fleet";
  std::ifstream file(path, std::ios::binary);
  if (!file) return;
  if (const char* why = read({std::istreambuf_iterator<char>(file), {}})) {
    std::cerr << "myrtlegrade: fleet: " << path << " is not used: " << why << std::endl;
  }
}

const char* FleetIdentity::read(const std::string& bytes) {
  RecordReader outer(bytes);
  const auto payload = outer.record();
  if (!payload || payload->empty()) return "it is damaged";
  RecordReader in(*payload);
  if (in.kind<FileVersion>() != FileVersion::version_1)
    throw std::runtime_error(folder_ + "/fleet is of a later program");
  const std::string fleet = in.text(), name = in.text();
  const std::uint64_t incarnation = in.number();
  if (!in.good || !in.empty() || incarnation > membership::kMaxIncarnation) return "it is damaged";
  if (fleet != fleet_ || name != name_) return "it belongs to another member";
  incarnation_ = incarnation;
  return nullptr;
}

bool FleetIdentity::save(std::uint64_t incarnation) {
  incarnation_ = incarnation;
  const std::string bytes =
      RecordWriter(FileVersion::version_1).text(fleet_).text(name_).number(incarnation).record();
  const std::string path = folder_ + "/fleet", fresh = path + ".new";
  const int file = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (file < 0) return false;
  const bool written = ::write(file, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size());
  const bool synced = written && ::fdatasync(file) == 0;
  ::close(file);
  if (!synced || ::rename(fresh.c_str(), path.c_str()) != 0) return false;
  const int folder = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) return false;
  const bool named = ::fsync(folder) == 0;
  ::close(folder);
  return named;
}

}  // namespace myrtlegrade
