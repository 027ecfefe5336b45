#include "command_status.h"

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace myrtlegrade {

std::string from_environment(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

std::string to_string(const Endpoint& address) {
  std::ostringstream text;
  text << address;
  return text.str();
}

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file) throw std::runtime_error(path + ": can't be read");
  return text;
}

}  // namespace myrtlegrade
