#include "event_log.h"

#include <algorithm>
#include <iostream>
#include <sstream>
#include <utility>

namespace myrtlegrade {

bool EventLog::allow_line() {
  const Clock::time_point now = Clock::now();
  const double passed = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  budget_ = std::min(kBurst, budget_ + passed * kLinesPerSecond);
  if (budget_ < 1) {
    ++left_out_;
    return false;
  }
  budget_ -= 1;
  return true;
}

void EventLog::write(std::string_view what, std::string_view text) {
  std::ostringstream line;
  line << "myrtlegrade: " << subject_ << ": " << what << ' ' << text;
  if (left_out_ > 0) line << " left_out=" << std::exchange(left_out_, 0);
  line << '\n';
  std::cerr << line.str() << std::flush;
}

}  // namespace myrtlegrade
