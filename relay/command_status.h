// Exit status and input helpers shared by the commands of the relay program.
#pragma once

#include <optional>
#include <string>

#include "host_list.h"

namespace myrtlegrade {

// Exit status other than 0 (success) and 2 (bad usage or configuration).
enum CommandStatus : int {
  kNegativeResult = 1,  // the relay refused, or the check failed
  kNoResponse = 3,
};

// Returns the value of the variable, or an empty string if it is not set.
std::string from_environment(const char* name);

// Reads the whole file. Throws std::runtime_error if it can't be read.
std::string read_file(const std::string& path);

// Formats the address, such as 127.0.0.1:7171.
std::string to_string(const Endpoint& address);

}  // namespace myrtlegrade
