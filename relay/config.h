// What a relay is told at its start.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>

#include "codec.h"
#include "config_reader.h"
#include "copies_config.h"
#include "fleet_config.h"
#include "host_list.h"
#include "recovery/disk.h"
#include "vetchhinge/policy.h"

namespace myrtlegrade {

struct Config {
  std::string name;
  Endpoint listen;
  Endpoint discovery;
  std::optional<Endpoint> admin;        // the second address, where there is one
  std::optional<FleetConfig> fleet;     // off where there is none
  std::optional<CopiesConfig> copies;   // likewise
  std::uint64_t copies_disk_bytes = 0;  // bytes that they may take; `disk_bytes` is what the journal may
  std::uint64_t seed = 0;               // new with each start
  std::string state_folder;
  std::size_t descriptor_limit = 0;  // descriptors: the lesser of what it is told and what the system allows
  std::uint64_t journal_disk_bytes = 0;
  valedrum::recovery::Durability durability = valedrum::recovery::Durability::process;
  vetchhinge::Settings settings;
  vetchhinge::Duration connect_timeout{};
  vetchhinge::drill::Dialect dialect;
  std::chrono::steady_clock::time_point read_at{};  // when the file was opened
  std::shared_ptr<WholeList>
      known_hosts;  // the list of hosts as this relay last had it; whoever needs it takes it
};

inline constexpr std::size_t kNoLimit = std::numeric_limits<std::size_t>::max();

// From the text of the configuration, for a process that may hold so many descriptors. Throws std::exception
// whose text names the field at fault.
Config parse_config(const std::string& text, const std::string& state_folder,
                    std::size_t descriptors = kNoLimit);

// From the file that PROXY_CONFIG names, with PROXY_STATE for the folder. Where it is read again there is a
// list by then: `known` may be passed over.
Config load_config(ConfigReader::KnownHosts known = ConfigReader::KnownHosts::read);

}  // namespace myrtlegrade
