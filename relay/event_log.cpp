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
  tokens_ = std::min(kBurst, tokens_ + passed * kLinesPerSecond);
  if (tokens_ < 1) {
    ++suppressed_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

void EventLog::write(std::string_view event, std::string_view fields) {
  std::ostringstream line;
  line << "myrtlegrade: " << subject_ << ": " << event << ' ' << fields;
  if (suppressed_ > 0) line << " left_out=" << std::exchange(suppressed_, 0);
  line << '\n';
  std::cerr << line.str() << std::flush;
}

}  // namespace myrtlegrade
