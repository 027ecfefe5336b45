// Rate-limited log of single calls and writes: a relay with many faults must not spend its CPU time on
// logging. Suppressed lines are counted, and the next line reports their number as `left_out`.
//
//   myrtlegrade: call: repeat message=9b1f03aa5c7e2d41 attempt=1 endpoint=s-5be2a07c
//   earlier=0@s-7e609c87:timed_out
#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace myrtlegrade {

class EventLog {
 public:
  using Clock = std::chrono::steady_clock;

  // `subject`: the prefix of the lines after the program's name. Must be a string literal.
  explicit EventLog(std::string_view subject) : subject_(subject) {}

  // Takes one line from the rate limit. Returns false, and counts the line as suppressed, if none is left.
  bool allow_line();
  // Writes a line that allow_line() permitted: the event's name and its fields.
  void write(std::string_view event, std::string_view fields);

 private:
  static constexpr double kLinesPerSecond = 40;
  static constexpr double kBurst = 120;

  std::string_view subject_;
  double tokens_ = kBurst;
  Clock::time_point refilled_ = Clock::now();
  std::uint64_t suppressed_ = 0;
};

}  // namespace myrtlegrade
