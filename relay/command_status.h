// What the commands of the relay's program share: their exit status, and where their input comes from.
#pragma once

#include <optional>
#include <string>

#include "host_list.h"

namespace myrtlegrade {

// Exit status beside 0 (done) and 2 (bad usage or configuration).
enum CommandStatus : int {
  kAnswerIsNo = 1,
  kNobodyAnswers = 3,
};

// Empty where the variable is not set.
std::string from_environment(const char* name);

// The whole file. Throws std::runtime_error if it can't be read.
std::string read_file(const std::string& path);

// As 127.0.0.1:7171.
std::string text_of(const Endpoint& address);

}  // namespace myrtlegrade
