// The `copies` object of the configuration: replication of accepted messages to other relays.
#pragma once

#include <boost/json/object.hpp>

#include "copies/copies.h"
#include "membership/types.h"

namespace myrtlegrade {

struct CopiesConfig {
  valedrum::copies::CopiesSettings settings;
  valedrum::membership::Address bind;       // where this relay accepts streams
  valedrum::membership::Address advertise;  // where other relays reach it
};

// Returns the number of descriptors reserved for copies: connections in each direction to the relays that
// hold its copies and to those whose copies it holds, a listening socket, and two files during a rewrite.
std::size_t copies_descriptors(const CopiesConfig& config);

// Share of the disk budget for copies; the journal takes the rest.
inline constexpr double kCopiesDiskShare = 0.5;

// Reads the object. `disk_bytes` is the whole disk budget of the relay. Throws std::invalid_argument that
// names the invalid field.
CopiesConfig parse_copies(const boost::json::object& copies, std::uint64_t disk_bytes);

}  // namespace myrtlegrade
