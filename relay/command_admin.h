// Commands that send one line to the admin address of a running relay and print the one-line reply.
#pragma once

#include <string>

#include "host_list.h"

namespace myrtlegrade {

struct AdminCommand {
  std::string verb, id;       // `id` of an endpoint; empty: none
  std::string admin, config;  // the admin address, or the file that names it; empty: from the environment
  bool as_json = false;

  // Returns the admin address. Throws std::runtime_error if none is given.
  Endpoint address() const;

  // Prints the reply, and returns the exit status.
  int run() const;
};

}  // namespace myrtlegrade
