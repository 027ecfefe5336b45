// What a process that has given over knows of the one that took over, once the link between them is lost.
#include "succession.h"

namespace myrtlegrade {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr auto kLook = 20ms;  // between looks whether another process still is the relay
// Of a process that has what was given over: held up before it reads that, and before it takes the lock.
constexpr auto kTakesOverWithin = 2 * CallOwners::kLongestHoldUp;

}  // namespace

// One that took over, or a later one: it reads what becomes of the calls from this process's file. The heir's
// own file tells whether it died. Where it has gone in order, somebody else is the relay, or nobody.
bool Succession::heir_lives() {
  if (relay_->owner_name().empty()) return false;
  if (heir_.empty()) return heir_may_come();
  const auto life = relay_->owner_state(heir_);
  if (life != CallOwners::Life::released) return life == CallOwners::Life::lives;
  const bool is_free = no_relay_serves();
  if (!is_free) relay_missing_since_.reset();
  if (!is_free) return true;
  // One that takes over may be held up just before it takes the lock.
  if (!relay_missing_since_) relay_missing_since_ = SteadyClock::now();
  return SteadyClock::now() - *relay_missing_since_ <= CallOwners::kLongestHoldUp;
}

bool Succession::no_relay_serves() {
  const bool is_free = lock_.try_acquire();
  if (is_free) lock_.release();
  return is_free;
}

// What was given over may have reached a process that is held up before it takes over. Calls that are cut now
// would be told only then; nobody else calls their messages meanwhile.
bool Succession::heir_may_come() {
  return no_relay_serves() && SteadyClock::now() - *link_lost_ <= kTakesOverWithin;
}

void Succession::watch_heir() {
  if (!heir_lives()) return relay_->on_successor_lost();
  usage_timer_.expires_after(kLook);
  usage_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) watch_heir();
  });
}

}  // namespace myrtlegrade
