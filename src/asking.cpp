#include "asking.h"

#include <algorithm>

#include "spans.h"

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

constexpr Duration kAskAgain = 700ms;  // before asking again, at first (ours)
constexpr int kAskDoublings = 4;       // how often that doubles (ours)
constexpr double kAskShare = 0.2;      // its most, share of the time in which it must be asked (ours)
constexpr Duration kAskTurn = 50ms;    // time left to discovery for each other relay that may ask (ours)
constexpr double kAskMost = 0.8;     // longest with that, share of the time in which it must be asked (ours)
constexpr double kAskJitter = 0.25;  // spread of these pauses, both ways (ours)

Duration turns(const Settings& s, double rounds) {
  return scaled(std::min(kAskTurn * (s.relays - 1), scaled(s.list_within, kAskMost)), rounds);
}

}  // namespace

Duration first_ask(const Settings& s, double unit) { return turns(s, unit); }

Duration next_ask(const Settings& s, int failures, double unit) {
  const int doublings = std::min(failures, kAskDoublings);
  const Duration pause = std::min(kAskAgain * (1 << doublings), scaled(s.list_within, kAskShare));
  return std::min(scaled(pause, 1 + kAskJitter * (2 * unit - 1)) + turns(s, (1 + doublings) * unit),
                  scaled(s.list_within, kAskMost * (1 - kAskJitter * unit)));
}

}  // namespace vetchhinge
