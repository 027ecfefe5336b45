// The live messages of one group by deadline, and the time limits for reporting those that nobody completes.
//
// The notice of an undelivered message is due within kNoticeDeadline after the message's deadline. Each
// holder ensures this by itself, as it cannot know whether the other holder is alive or has sent the notice;
// a second notice of the same message does no harm. The time is divided into:
//
//   kClockError          how late the message's deadline may be on this member. It is the owner's deadline,
//                        translated by the smallest clock offset seen on the connection, and the owner knows
//                        it to one tick of the kernel's timer.
//   kOwnerGracePeriod    how long a holder leaves an expired message to an owner that it still hears from
//   kMaxStall            a single stall of a relay process anywhere on the way
//   kNoticeDeliveryTime  delivery of the notice: an unanswered attempt, the pause after it, and the transit
//                        of the next attempt (see NoticeSender for the case of little time left)
//
// A holder grants no grace period to an owner that has been silent for longer than a running owner would be.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "copies/types.h"

namespace valedrum::copies {

inline constexpr Duration kNoticeDeadline = std::chrono::milliseconds(300);
inline constexpr Duration kMaxStall = std::chrono::milliseconds(150);
inline constexpr Duration kNoticeDeliveryTime = std::chrono::milliseconds(100);
inline constexpr Duration kClockError = std::chrono::milliseconds(20);
inline constexpr Duration kOwnerGracePeriod = kNoticeDeadline - kMaxStall - kNoticeDeliveryTime - kClockError;

// The live messages of one group, ordered by deadline. Each message is removed for expiry at most once.
class ExpiryQueue {
 public:
  // Sets the current state of a message; null if the group has forgotten it.
  void update(const std::string& id, const Item* item);
  // Returns when the first message expires here, given the time from which its owner counts as silent.
  Time next(Time owner_silent_from) const;
  // Removes the message with the earliest deadline and returns its id. The queue must not be empty.
  std::string pop_first();

 private:
  std::map<std::string, Time, std::less<>> deadlines_;
  std::set<std::pair<Time, std::string>> by_deadline_;
  std::set<std::string, std::less<>> popped_;
};

}  // namespace valedrum::copies
