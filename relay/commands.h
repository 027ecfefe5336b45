// The command line of the relay program.
#pragma once

#include <functional>

namespace myrtlegrade {

// Runs the command that `argv` names, and returns the exit status: 0 success, 1 a negative result (a NAK, or
// a damaged journal), 2 bad usage or configuration, 3 no response. `serve` runs the relay itself, with its
// configuration and state folder named by the environment, and returns its exit status.
int run_commands(int argc, const char* const* argv, const std::function<int()>& serve);

}  // namespace myrtlegrade
