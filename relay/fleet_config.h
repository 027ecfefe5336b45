// What the configuration's `fleet` object says, and who this relay was when it ran last.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "membership/types.h"

namespace myrtlegrade {

struct FleetConfig {
  valedrum::membership::Settings settings;
  valedrum::membership::Address bind;       // datagrams and streams, at one port
  valedrum::membership::Address advertise;  // where others reach it
  std::string machine, zone;
};

// Descriptors that a relay with a fleet keeps for it: two sockets that listen, streams each way, and a file.
inline constexpr std::size_t kFleetStreams = 8;
inline constexpr std::size_t kFleetDescriptors = kFleetStreams + 4;

// `zone` is the relay's own, where the object names none. Throws std::invalid_argument that names the field.
FleetConfig parse_fleet(const boost::json::object& fleet, const std::string& zone);

// The file `fleet` in the folder that lasts: which member of which fleet this is, and its incarnation.
class FleetIdentity {
 public:
  // Logs a line where what is there can't be used: damaged, or another member's. Throws std::runtime_error
  // where a later program wrote it: then nothing may be written there.
  FleetIdentity(const std::string& folder, std::string fleet, std::string name);

  std::uint64_t incarnation() const { return incarnation_; }  // 0: none is known
  // On disk when it returns true: the file and its name.
  bool save(std::uint64_t incarnation);

 private:
  const char* read(const std::string& bytes);

  std::string folder_, fleet_, name_;
  std::uint64_t incarnation_ = 0;
};

}  // namespace myrtlegrade
