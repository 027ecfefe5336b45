// Lines of the log about single calls and writes, at normal verbosity and bounded in rate: a relay in trouble
// must not spend its core on telling so. What was left out is counted and told with the next line.
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

  // `subject`: what its lines are about, behind the program's name. A literal.
  explicit EventLog(std::string_view subject) : subject_(subject) {}

  // True: a line may be written now, and counts.
  bool allow_line();
  // One that allow_line() let through; `what` names the event, `text` its fields.
  void write(std::string_view what, std::string_view text);

 private:
  static constexpr double kLinesPerSecond = 40;
  static constexpr double kBurst = 120;

  std::string_view subject_;
  double budget_ = kBurst;
  Clock::time_point refilled_ = Clock::now();
  std::uint64_t left_out_ = 0;
};

}  // namespace myrtlegrade
