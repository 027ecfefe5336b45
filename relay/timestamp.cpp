#include "timestamp.h"

#include <charconv>
#include <fstream>
#include <string>

namespace myrtlegrade {

using vetchhinge::Duration;
using vetchhinge::Time;

namespace {

constexpr Duration kLongAgo = std::chrono::years(1);  // longer than any retry window

// Returns the first 16 of the 32 hexadecimal digits of Linux's boot id (64 of its 122 random bits), or 0 if
// it is not available.
std::uint64_t read_boot_id() {
  std::string name;
  std::getline(std::ifstream("/proc/sys/kernel/random/boot_id"), name);
  std::erase(name, '-');
  std::uint64_t boot = 0;
  constexpr std::size_t kDigits = 16;
  if (name.size() < kDigits) return 0;
  const auto [end, error] = std::from_chars(name.data(), name.data() + kDigits, boot, 16);
  return error == std::errc{} && end == name.data() + kDigits ? boot : 0;
}

}  // namespace

Timestamp read_clocks() {
  static const std::uint64_t boot = read_boot_id();
  return {std::chrono::time_point_cast<std::chrono::microseconds>(std::chrono::system_clock::now()), boot,
          steady_time()};
}

Timestamp operator+(const Timestamp& at, Duration duration) {
  return {at.wall + duration, at.boot, at.steady + duration};
}

Duration until(const Timestamp& at, const Timestamp& now) {
  const bool same_boot = at.boot != 0 && at.boot == now.boot;
  return same_boot ? at.steady - now.steady : at.wall - now.wall;
}

Time due_at(const Timestamp& at, const Timestamp& now) { return now.steady + until(at, now); }

Time sent_at(const Timestamp& at, const Timestamp& now) {
  const bool earlier_boot = at.boot != 0 && at.boot != now.boot;
  return earlier_boot || until(at, now) > Duration::zero() ? now.steady - kLongAgo : due_at(at, now);
}

}  // namespace myrtlegrade
