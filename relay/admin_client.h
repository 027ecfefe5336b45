// The caller's side of a relay's second address: one line there and one back.
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "host_list.h"

namespace myrtlegrade {

// The reply without its line's end, of `most` bytes at most; none if nobody answers in time.
std::optional<std::string> ask_relay(const Endpoint& address, const std::string& line, std::size_t most);

}  // namespace myrtlegrade
