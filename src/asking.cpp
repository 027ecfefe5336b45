#include "asking.h"

#include <algorithm>

#include "spans.h"

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

constexpr Duration kAskAgain = 700ms;  // before asking again, at first (ours)
constexpr int kAskGrowths = 3;         // how often it grows by as much (ours)
constexpr Duration kAskTurn = 50ms;    // time left to discovery for each other relay that may ask (ours)
constexpr double kAskMost = 0.9;       // latest, share of list_within; what is left is the answer's (ours)
constexpr double kAskJitter = 0.1;     // spread of these pauses, both ways (ours)

}  // namespace

Duration first_ask(const Settings& s, double unit) {
  return scaled(std::min(kAskTurn * (s.relays - 1), scaled(s.list_request_interval, kAskMost)), unit);
}

Duration next_ask(const Settings& s, int failures, Duration unheard, double unit) {
  const int times = 1 + std::min(failures, kAskGrowths);
  return std::min(scaled(kAskAgain, times * (1 + kAskJitter * (2 * unit - 1))) + first_ask(s, times * unit),
                  scaled(s.list_request_interval, kAskMost * (1 - kAskJitter * unit)) - unheard);
}

}  // namespace vetchhinge
