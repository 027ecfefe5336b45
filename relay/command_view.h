// `myrtlegrade fleet` and `copies`: print how one relay sees the fleet or its copies, or where the fleet
// views of several relays differ.
#pragma once

#include <string>
#include <vector>

#include "command_admin.h"

namespace myrtlegrade {

struct ViewCommand : AdminCommand {
  std::vector<std::string> others;  // admin addresses of relays whose views are compared

  // Prints the view, and returns the exit status.
  int run() const;

 private:
  // Prints the members on which the compared views differ.
  int diff() const;
};

}  // namespace myrtlegrade
