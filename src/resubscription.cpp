#include "resubscription.h"

#include <algorithm>

#include "durations.h"

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

constexpr Duration kRetryDelay = 700ms;  // after the first failure
constexpr int kMaxRetryGrowth = 3;       // number of times that it grows by as much again
// Time left to discovery for each other relay that may send a request.
constexpr Duration kDelayPerRelay = 50ms;
constexpr double kMaxIntervalShare = 0.9;  // of list_request_interval; the rest is left for the answer
constexpr double kRetryJitter = 0.1;       // relative, both ways

}  // namespace

Duration first_subscription_delay(const Settings& s, double unit) {
  return scaled(std::min(kDelayPerRelay * (s.relays - 1), scaled(s.list_request_interval, kMaxIntervalShare)),
                unit);
}

Duration next_subscription_delay(const Settings& s, int failures, Duration silent_for, double unit) {
  const int times = 1 + std::min(failures, kMaxRetryGrowth);
  return std::min(
      scaled(kRetryDelay, times * (1 + kRetryJitter * (2 * unit - 1))) +
          first_subscription_delay(s, times * unit),
      scaled(s.list_request_interval, kMaxIntervalShare * (1 - kRetryJitter * unit)) - silent_for);
}

}  // namespace vetchhinge
