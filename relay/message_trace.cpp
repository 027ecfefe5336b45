#include "message_trace.h"

#include <chrono>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <string>

namespace myrtlegrade {

bool MessageTrace::enabled() {
  static const bool set = [] {
    const char* value = std::getenv("PROXY_TRACE");
    return value && std::string_view(value) == "1";
  }();
  return set;
}

void MessageTrace::write(std::string_view message, std::string_view name, std::string_view fields) {
  using Milliseconds = std::chrono::duration<double, std::milli>;
  const Milliseconds now = std::chrono::steady_clock::now().time_since_epoch();
  std::ostringstream line;
  line << "myrtlegrade trace " << std::fixed << std::setprecision(3) << now.count() << ' ' << message << ' '
       << name << fields << '\n';
  std::cerr << line.str() << std::flush;
}

}  // namespace myrtlegrade
