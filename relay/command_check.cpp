#include "command_check.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <string_view>
#include <vector>

#include "command_status.h"
#include "vetchhinge/policy.h"

namespace myrtlegrade {

namespace json = boost::json;

namespace {

double ms(vetchhinge::Duration d) { return static_cast<double>(d.count()) / 1000; }

struct Position {
  std::size_t line = 1, column = 1;
};

Position position(const std::string& text, std::size_t at) {
  Position p;
  for (std::size_t i = 0; i < std::min(at, text.size()); ++i) {
    ++p.column;
    if (text[i] != '\n') continue;
    ++p.line;
    p.column = 1;
  }
  return p;
}

// Returns the offset in `text` of the field that an error names as "config: a.b.c: what" or "config: a.b.c is
// ...". If the text lacks part of the path, this is the offset of the last name found.
std::size_t offset_of_field(const std::string& text, const std::string& what) {
  constexpr std::string_view prefix = "config: ";
  std::string path = what.starts_with(prefix) ? what.substr(prefix.size()) : what;
  path = path.substr(0, path.find(':'));
  std::size_t at = 0;
  std::istringstream names(path);
  for (std::string name; std::getline(names, name, '.');) {
    const std::size_t found = text.find("\"" + name + "\"", at);
    if (found != std::string::npos) at = found;
  }
  return at;
}

// Returns the offset at which the text stops being valid JSON.
std::size_t offset_of_syntax_error(const std::string& text) {
  json::stream_parser parser;
  boost::system::error_code error;
  return parser.write_some(text, error);
}

}  // namespace

int CheckCommand::run() const {
  const std::string path = config.empty() ? from_environment("PROXY_CONFIG") : config;
  const std::string folder = state.empty() ? from_environment("PROXY_STATE") : state;
  if (path.empty()) throw std::runtime_error("no configuration: give --config or PROXY_CONFIG");
  const std::string text = read_file(path);
  Config c;
  try {
    c = parse_config(text, folder);
    // The decision module checks its settings on construction, as at the start of a relay.
    const vetchhinge::Sender probe(c.settings);
  } catch (const std::exception& e) {
    boost::system::error_code error;
    (void)json::parse(text, error);
    const Position at =
        position(text, error ? offset_of_syntax_error(text) : offset_of_field(text, e.what()));
    throw std::runtime_error(path + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " +
                             e.what());
  }
  if (!folder.empty() && !std::filesystem::is_directory(folder))
    throw std::runtime_error(folder + ": not a directory");
  print(c, path, folder);
  return 0;
}

void CheckCommand::print(const Config& c, const std::string& path, const std::string& folder) const {
  const std::string admin = from_environment("PROXY_ADMIN_ADDR");
  const auto& s = c.settings;
  struct Row {
    std::string name;
    json::value value;
    std::string source;
  };
  const std::string file = path;
  const std::string state_from = state.empty() ? "PROXY_STATE" : "--state";
  std::vector<Row> rows = {
      {"name", json::value(c.name), file},
      {"listen", json::value(to_string(c.listen)), file},
      {"discovery", json::value(to_string(c.discovery)), file},
      {"admin",
       json::value(c.admin         ? to_string(*c.admin)
                   : admin.empty() ? "none"
                                   : admin),
       c.admin         ? file
       : admin.empty() ? "default"
                       : "PROXY_ADMIN_ADDR"},
      {"state_folder", json::value(folder), folder.empty() ? "not given" : state_from},
      {"sockets", json::value(c.descriptor_limit), file},
      {"disk_bytes", json::value(c.journal_disk_bytes), file},
      {"durability", json::value(c.durability == valedrum::recovery::Durability::power ? "power" : "process"),
       file},
      {"known_endpoints", json::value(c.known_hosts->entries.size()), file},
      {"slots", json::value(s.slots), file},
      {"max_open", json::value(s.max_open), file},
      {"max_attempts", json::value(s.max_attempts), file},
      {"relays", json::value(s.relays), file},
      {"classes", json::value(s.classes.size()), file},
      {"kinds", json::value(s.kinds.size()), file},
      {"list_on_request", json::value(s.list_on_request), file},
      {"tick_ms", json::value(ms(s.tick)), file},
      {"connection_idle_ms", json::value(ms(s.connection_idle)), file},
      {"connect_timeout_ms", json::value(ms(c.connect_timeout)), file},
      {"start_capacity", json::value(s.start_capacity), file},
      {"warm_after_ms", json::value(ms(s.slow_start_duration)), file},
      {"fleet", json::value(c.fleet ? c.fleet->settings.fleet : "off"), c.fleet ? file : "default"},
  };
  rows.push_back({"copies", json::value(c.copies ? std::to_string(c.copies->settings.copies) : "off"),
                  c.copies ? file : "default"});
  if (c.copies) {
    rows.push_back({"copies_bind", json::value(to_text(c.copies->bind)), file});
    rows.push_back({"copies_disk_bytes", json::value(c.copies_disk_bytes), file});
  }
  if (c.fleet) {
    rows.push_back({"fleet_bind", json::value(to_text(c.fleet->bind)), file});
    rows.push_back({"fleet_advertise", json::value(to_text(c.fleet->advertise)), file});
    rows.push_back({"fleet_seeds", json::value(c.fleet->settings.seeds.size()), file});
  }
  if (as_json) {
    json::object all;
    for (const Row& r : rows) all[r.name] = {{"value", r.value}, {"from", r.source}};
    std::cout << json::serialize(all) << '\n';
    return;
  }
  for (const Row& r : rows) {
    const std::string value =
        r.value.is_string() ? std::string(r.value.as_string()) : json::serialize(r.value);
    std::printf("%-20s %-28s %s\n", r.name.c_str(), value.c_str(), r.source.c_str());
  }
}

}  // namespace myrtlegrade
