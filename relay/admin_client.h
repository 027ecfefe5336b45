// Client of a relay's admin address: sends one line and receives one.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "host_list.h"

namespace myrtlegrade {

// Returns the reply without its line end, or nothing if no complete reply of at most `max_bytes` arrives in
// time.
std::optional<std::string> query_relay(const Endpoint& address, const std::string& line,
                                       std::size_t max_bytes);

}  // namespace myrtlegrade
