// `myrtlegrade fleet` and `copies`: what one relay says of the others, or where several differ.
#pragma once

#include <string>
#include <vector>

#include "command_admin.h"

namespace myrtlegrade {

struct ViewCommand : AdminCommand {
  std::vector<std::string> others;  // second addresses whose views are held side by side

  // Prints the view, and returns the exit status.
  int run() const;

 private:
  int diff() const;
};

}  // namespace myrtlegrade
