// A call to a relay's second address from the command line: one line there, one line back.
#pragma once

#include <string>

#include "host_list.h"

namespace myrtlegrade {

struct AdminCommand {
  std::string verb, id;       // id: of an endpoint; empty: none
  std::string admin, config;  // the address, or the file that names it; empty: from the environment
  bool as_json = false;

  // Throws std::runtime_error where none is named.
  Endpoint address() const;

  // Prints the reply, and returns the exit status.
  int run() const;
};

}  // namespace myrtlegrade
