// What the configuration's `copies` object says.
#pragma once

#include <boost/json/object.hpp>

#include "copies/copies.h"
#include "membership/types.h"

namespace myrtlegrade {

struct CopiesConfig {
  valedrum::copies::CopiesSettings settings;
  valedrum::membership::Address bind;       // streams
  valedrum::membership::Address advertise;  // where others reach it
};

// Descriptors that a relay with copies keeps for them: connections to its holders and to those that it holds
// for, each way, a socket that listens, and its file twice while it is written anew.
std::size_t copies_descriptors(const CopiesConfig& config);

// Part of the disk that copies may take; the journal has the rest.
inline constexpr double kCopiesDisk = 0.5;

// Throws std::invalid_argument that names the field.
CopiesConfig parse_copies(const boost::json::object& copies, std::uint64_t disk_bytes);

}  // namespace myrtlegrade
