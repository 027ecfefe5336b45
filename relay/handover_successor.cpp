// What a process that has given over knows of the one that took over, once the link between them is lost.
#include "handover.h"

namespace myrtlegrade {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr auto kPollInterval = 20ms;  // between looks whether another process still is the relay
// Of a process that has what was given over: held up before it reads that, and before it takes the lock.
constexpr auto kTakeoverTimeout = 2 * CallOwners::kMaxStall;

}  // namespace

// One that took over, or a later one: it reads what becomes of the calls from this process's file. The heir's
// own file tells whether it died. Where it has gone in order, somebody else is the relay, or nobody.
bool Handover::successor_alive() {
  if (relay_->owner_name().empty()) return false;
  if (successor_name_.empty()) return successor_may_start();
  const auto life = relay_->owner_state(successor_name_);
  if (life != CallOwners::Liveness::released) return life == CallOwners::Liveness::alive;
  const bool is_free = is_state_lock_free();
  if (!is_free) lock_free_since_.reset();
  if (!is_free) return true;
  // One that takes over may be held up just before it takes the lock.
  if (!lock_free_since_) lock_free_since_ = SteadyClock::now();
  return SteadyClock::now() - *lock_free_since_ <= CallOwners::kMaxStall;
}

bool Handover::is_state_lock_free() {
  const bool is_free = lock_.try_acquire();
  if (is_free) lock_.release();
  return is_free;
}

// What was given over may have reached a process that is held up before it takes over. Calls that are cut now
// would be told only then; nobody else calls their messages meanwhile.
bool Handover::successor_may_start() {
  return is_state_lock_free() && SteadyClock::now() - *link_lost_at_ <= kTakeoverTimeout;
}

void Handover::watch_successor() {
  if (!successor_alive()) return relay_->on_successor_lost();
  usage_timer_.expires_after(kPollInterval);
  usage_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) watch_successor();
  });
}

}  // namespace myrtlegrade
