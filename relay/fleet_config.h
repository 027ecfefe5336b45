// The `fleet` object of the configuration, and the persisted identity of this relay as a fleet member.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "membership/types.h"

namespace myrtlegrade {

struct FleetConfig {
  valedrum::membership::Settings settings;
  valedrum::membership::Address bind;       // datagrams and streams on the same port
  valedrum::membership::Address advertise;  // where other members reach it
  std::string machine, zone;
};

// Descriptors reserved for the fleet: two listening sockets, streams in each direction, and a file.
inline constexpr std::size_t kFleetStreams = 8;
inline constexpr std::size_t kFleetDescriptors = kFleetStreams + 4;

// Reads the object. `zone` is the default for an object that names none. Throws std::invalid_argument that
// names the invalid field.
FleetConfig parse_fleet(const boost::json::object& fleet, const std::string& zone);

// The file `fleet` in the state folder: the fleet, the name of this member, and its last incarnation.
class FleetIdentity {
 public:
  // Reads the file. A file that is damaged or belongs to another member is logged and ignored. Throws
  // std::runtime_error if a newer version of the program wrote it, because it must not be overwritten then.
  FleetIdentity(const std::string& folder, std::string fleet, std::string name);

  std::uint64_t incarnation() const { return incarnation_; }  // 0: unknown
  // Saves the incarnation. Returns true once the file and its directory entry are on disk.
  bool save(std::uint64_t incarnation);

 private:
  // Returns why the file can't be used, or null.
  const char* read(const std::string& bytes);

  std::string folder_, fleet_, name_;
  std::uint64_t incarnation_ = 0;
};

}  // namespace myrtlegrade
