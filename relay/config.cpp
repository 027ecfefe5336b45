#include "config.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/json.hpp>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace myrtlegrade {
namespace {

namespace json = boost::json;

[[noreturn]] void reject(const std::string& field, const std::string& what) {
  throw std::invalid_argument("config: " + field + ": " + what);
}

const json::value& required_field(const json::object& object, const std::string& path,
                                  std::string_view name) {
  const json::value* found = object.if_contains(name);
  if (!found) reject(path + std::string(name), "missing");
  return *found;
}

std::string required_string(const json::object& object, std::string_view name) {
  const json::value& value = required_field(object, "", name);
  if (!value.is_string()) reject(std::string(name), "not a string");
  return std::string(value.as_string());
}

const json::object& required_object(const json::object& object, std::string_view name) {
  const json::value& value = required_field(object, "", name);
  if (!value.is_object()) reject(std::string(name), "not an object");
  return value.as_object();
}

double required_limit(const json::object& limits, std::string_view name) {
  const json::value& value = required_field(limits, "limits.", name);
  if (!value.is_number() || value.to_number<double>() <= 0) {
    reject("limits." + std::string(name), "not a number above 0");
  }
  return value.to_number<double>();
}

std::string scalar(const json::value& value) {
  if (value.is_null()) return "";
  if (!value.is_string()) return json::serialize(value);
  std::string plain(value.as_string());
  std::ranges::replace_if(
      plain, [](char c) { return c == ' ' || c == ','; }, '_');
  return plain;
}

// Writes the settings as the `path=value` pairs of the wire format, so that one parser serves both forms.
void flatten(const json::value& value, const std::string& path, std::ostream& line) {
  if (const json::object* object = value.if_object()) {
    for (const auto& [name, inner] : *object) {
      flatten(inner, path.empty() ? std::string(name) : path + "." + std::string(name), line);
    }
    return;
  }
  const json::array* array = value.if_array();
  if (array && std::ranges::any_of(*array, [](const json::value& v) { return v.is_object(); })) {
    line << ' ' << path << ".count=" << array->size();
    for (std::size_t i = 0; i < array->size(); ++i) {
      flatten((*array)[i], path + "." + std::to_string(i), line);
    }
    return;
  }
  line << ' ' << path << '=';
  if (!array) line << scalar(value);
  for (std::size_t i = 0; array && i < array->size(); ++i) line << (i > 0 ? "," : "") << scalar((*array)[i]);
}

std::uint64_t parse_seed(const std::string& hex) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(hex.data(), hex.data() + hex.size(), seed, 16);
  if (error != std::errc{} || end != hex.data() + hex.size()) reject("seed", "not a hexadecimal number");
  return seed;
}

std::string required_environment(const char* name) {
  const char* value = std::getenv(name);
  if (!value || !*value) throw std::invalid_argument(std::string(name) + ": not set");
  return value;
}

// Returns the limit of this process on open descriptors. Shares of a larger number would let clients take all
// descriptors and leave none for discovery, hosts and files.
std::size_t process_descriptor_limit() {
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0 || descriptors.rlim_cur == RLIM_INFINITY)
    return kNoDescriptorLimit;
  return static_cast<std::size_t>(descriptors.rlim_cur);
}

// Destinations whose learned state the decision module keeps. Simulated days have about 30, all of which fit.
// At 7,400 relays and 1.3 million events per second a relay meets about 176 destinations per second, so the
// limit covers at least the last 20 s. Each takes about 1.5 kB, about 6 MB in total.
constexpr std::uint32_t kMaxTrackedDestinations = 4'096;

constexpr std::size_t kReadChunkBytes = 64 << 10;

// Returns the part of the disk for the files in which processes that hand over record the ends of their calls
// (see call_ends.h). During an upgrade there are two of them.
std::uint64_t call_records_bytes(std::uint64_t disk_bytes, std::uint64_t max_open) {
  constexpr std::uint64_t kBytesPerMessage = 160, kFiles = 2, kMaxShare = 16;  // at most 1/16 of the disk
  return std::min(disk_bytes / kMaxShare, kFiles * kBytesPerMessage * max_open);
}

Config parse(ConfigReader& source, const std::string& state_folder, std::size_t descriptors) {
  boost::system::error_code error;
  const json::value parsed = json::parse(source.json_without_hosts(), error);
  if (error) throw std::invalid_argument("config: not JSON: " + error.message());
  if (!parsed.is_object()) throw std::invalid_argument("config: not an object");
  const json::object& root = parsed.as_object();

  Config config;
  config.name = required_string(root, "name");
  config.listen = parse_endpoint(required_string(root, "listen"), "config: listen");
  config.discovery = parse_endpoint(required_string(root, "discovery"), "config: discovery");
  if (root.contains("admin_addr"))
    config.admin = parse_endpoint(required_string(root, "admin_addr"), "config: admin_addr");
  config.state_folder = state_folder;
  const json::object& limits = required_object(root, "limits");
  config.descriptor_limit =
      std::min(static_cast<std::size_t>(required_limit(limits, "sockets")), descriptors);
  const auto memory_bytes = static_cast<std::uint64_t>(required_limit(limits, "memory_mb") * 1e6);
  config.memory = MemoryBudgets::of(memory_bytes);
  // Files count as memory, and the messages in them are held in memory too.
  const auto disk_bytes = std::min(static_cast<std::uint64_t>(required_limit(limits, "disk_mb") * 1e6),
                                   max_file_bytes(memory_bytes));

  std::ostringstream line;
  config.seed = parse_seed(required_string(root, "seed"));
  line << "config: entropy=" << config.seed;
  flatten(required_field(root, "", "settings"), "", line);
  const std::string pairs = line.str();
  const vetchhinge::drill::Line settings(pairs);
  config.settings = vetchhinge::drill::read_settings(settings, config.dialect);
  config.settings.max_destinations = kMaxTrackedDestinations;
  config.journal_disk_bytes = disk_bytes - call_records_bytes(disk_bytes, config.settings.max_open);
  config.connect_timeout = settings.duration("allowed.connectTimeout");

  if (const json::value* known = root.if_contains("known"); known && known->is_object()) {
    reject("known", "the field name must not contain JSON escapes");
  }
  config.known_hosts = std::make_shared<HostListSnapshot>(source.take_known_hosts());

  if (const json::value* fleet = root.if_contains("fleet")) {
    if (!fleet->is_object()) reject("fleet", "not an object");
    const json::value* zone = required_object(root, "settings").if_contains("zone");
    config.fleet = parse_fleet(fleet->as_object(), zone ? scalar(*zone) : "");
    if (config.descriptor_limit <= kFleetDescriptors)
      reject("limits.sockets", "too few for the descriptors that a fleet needs");
    config.descriptor_limit -= kFleetDescriptors;
  }
  if (root.contains("durability")) {
    const std::string durability = required_string(root, "durability");
    if (durability != "process" && durability != "power") reject("durability", "must be process or power");
    if (durability == "power") config.durability = valedrum::recovery::Durability::power;
  }
  if (const json::value* copies = root.if_contains("copies")) {
    if (!copies->is_object()) reject("copies", "not an object");
    if (!config.fleet) reject("copies", "requires `fleet`");
    config.copies = parse_copies(copies->as_object(), config.journal_disk_bytes);
    config.copies_disk_bytes =
        static_cast<std::uint64_t>(static_cast<double>(config.journal_disk_bytes) * kCopiesDiskShare);
    config.journal_disk_bytes -= config.copies_disk_bytes;
    const std::size_t needed = copies_descriptors(*config.copies);
    if (config.descriptor_limit <= 2 * needed)
      reject("limits.sockets", "too few for the descriptors that copies need");
    config.descriptor_limit -= needed;
  }
  return config;
}

}  // namespace

Config parse_config(const std::string& source, const std::string& state_folder, std::size_t descriptors) {
  ConfigReader reader(ConfigReader::KnownHosts::read);
  reader.feed(source);
  return parse(reader, state_folder, descriptors);
}

Config load_config(ConfigReader::KnownHosts known_hosts) {
  const std::string path = required_environment("PROXY_CONFIG");
  const std::string state_folder = required_environment("PROXY_STATE");
  const auto read_at = std::chrono::steady_clock::now();
  std::ifstream file(path, std::ios::binary);
  ConfigReader source(known_hosts);
  std::vector<char> chunk(kReadChunkBytes);
  do {
    file.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
    source.feed({chunk.data(), static_cast<std::size_t>(file.gcount())});
  } while (file);
  if (!file.eof()) throw std::invalid_argument("PROXY_CONFIG: cannot read " + path);
  Config config = parse(source, state_folder, process_descriptor_limit());
  const char* admin = std::getenv("PROXY_ADMIN_ADDR");
  config.read_at = read_at;
  if (!config.admin && admin && *admin) config.admin = parse_endpoint(admin, "PROXY_ADMIN_ADDR");
  return config;
}

}  // namespace myrtlegrade
