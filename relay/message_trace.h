// Trace of single messages: one line on standard error for each change of a message's state, so that `grep
// ID` over the logs of all processes shows the whole path of a message. Disabled unless the environment sets
// PROXY_TRACE=1; a disabled event costs one test of a flag.
//
//   myrtlegrade trace 1234.567 9b1f03aa5c7e2d41 outcome attempt=0 result=reset
//
// The time is the monotonic clock in milliseconds, comparable between processes on one machine.
#pragma once

#include <sstream>
#include <string_view>

namespace myrtlegrade {

class MessageTrace {
 public:
  static bool enabled();

  // `fields` alternate between names and values: event("id", "outcome", "attempt", 0, "result", "reset").
  template <typename... Fields>
  static void event(std::string_view message, std::string_view name, const Fields&... fields) {
    if (enabled()) write(message, name, format(fields...));
  }

 private:
  template <typename... Rest>
  static std::string format(std::string_view name, const auto& value, const Rest&... rest) {
    std::ostringstream text;
    text << ' ' << name << '=' << value;
    if constexpr (sizeof...(Rest) > 0) text << format(rest...);
    return text.str();
  }
  static std::string format() { return {}; }

  static void write(std::string_view message, std::string_view name, std::string_view fields);
};

}  // namespace myrtlegrade
