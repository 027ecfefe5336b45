// Configuration of a relay: its settings at start, and the functions that read them.
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
#include "memory_budget.h"
#include "recovery/disk.h"
#include "vetchhinge/policy.h"

namespace myrtlegrade {

struct Config {
  std::string name;
  Endpoint listen;
  Endpoint discovery;
  std::optional<Endpoint> admin;        // address of the admin server; none: no admin server
  std::optional<FleetConfig> fleet;     // none: the relay joins no fleet
  std::optional<CopiesConfig> copies;   // none: accepted messages are not replicated
  std::uint64_t copies_disk_bytes = 0;  // disk budget of the copies
  std::uint64_t seed = 0;               // differs with each start
  std::string state_folder;
  std::size_t descriptor_limit = 0;      // `limits.sockets`, capped by the limit of the process
  std::uint64_t journal_disk_bytes = 0;  // disk budget of the journal
  MemoryBudgets memory;                  // from `limits.memory_mb`
  valedrum::recovery::Durability durability = valedrum::recovery::Durability::process;
  vetchhinge::Settings settings;
  vetchhinge::Duration connect_timeout{};
  vetchhinge::drill::Dialect dialect;
  std::chrono::steady_clock::time_point read_at{};  // when the file was opened

  // The field `known`: the list of hosts that this relay last received. Its consumer moves it out.
  std::shared_ptr<HostListSnapshot> known_hosts;
};

inline constexpr std::size_t kNoDescriptorLimit = std::numeric_limits<std::size_t>::max();

// Parses the text of a configuration for a process that may open at most `descriptors` descriptors. Throws a
// std::exception whose text names the invalid field.
Config parse_config(const std::string& text, const std::string& state_folder,
                    std::size_t descriptors = kNoDescriptorLimit);

// Loads the file that PROXY_CONFIG names, with PROXY_STATE as the state folder. A reload may skip the list of
// hosts, because the relay has received a newer one since its start.
Config load_config(ConfigReader::KnownHosts known_hosts = ConfigReader::KnownHosts::read);

}  // namespace myrtlegrade
