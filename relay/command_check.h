// `myrtlegrade check`: reads a configuration as a relay would, and prints the resulting settings.
#pragma once

#include <string>

#include "config.h"

namespace myrtlegrade {

struct CheckCommand {
  std::string config, state;  // file and folder; empty: from the environment
  bool as_json = false;

  // Prints each setting with its source, and returns the exit status. If the configuration is invalid, throws
  // std::runtime_error that names file, line and column.
  int run() const;

 private:
  void print(const Config& c, const std::string& path, const std::string& folder) const;
};

}  // namespace myrtlegrade
