// Supervision of the successor by a process that has handed over, once the link between them is lost.
#include "handover.h"

namespace myrtlegrade {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr auto kPollInterval = 20ms;  // between checks whether another process is still active
// For a successor that has received the handover state: it may be paused before it reads the state, and again
// before it locks the state folder.
constexpr auto kTakeoverTimeout = 2 * CallOwners::kMaxStall;

}  // namespace

// Returns whether the successor, or a later process, can still read the results of the calls from this
// process's file. The successor's own file shows whether it died. If it released its calls, another process
// may be active by now, or none.
bool Handover::successor_alive() {
  if (relay_->owner_name().empty()) return false;
  if (successor_name_.empty()) return successor_may_start();
  const auto life = relay_->owner_state(successor_name_);
  if (life != CallOwners::Liveness::released) return life == CallOwners::Liveness::alive;
  const bool is_free = is_state_lock_free();
  if (!is_free) lock_free_since_.reset();
  if (!is_free) return true;
  // A process that takes over may be paused just before it locks the folder.
  if (!lock_free_since_) lock_free_since_ = SteadyClock::now();
  return SteadyClock::now() - *lock_free_since_ <= CallOwners::kMaxStall;
}

bool Handover::is_state_lock_free() {
  const bool is_free = lock_.try_acquire();
  if (is_free) lock_.release();
  return is_free;
}

// The handover state may have reached a process that is paused before it takes over. Calls that are cut now
// would be reported only after that pause, and no other process repeats their messages in the meantime.
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
