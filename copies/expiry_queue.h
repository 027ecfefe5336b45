// When the messages of a group have to have their ends, and how long those that hold them leave that to their
// owner.
//
// A notice is owed kNoticeOwed after a message's time, and each holder keeps that by itself: it can't know
// whether the other one lives, nor what that one has told. Two notices of one message do no harm. These add
// up to what is owed:
//
//   kClockError     by which a message's time may be late here: it is the owner's, translated by the quickest
//                   word of the connection, and that one knows it to a tick of the kernel's timer
//   kLeftToOwner    that a holder waits for an owner that it hears
//   kLongestHoldUp  that a relay may be held up for, once, anywhere on this way
//   kNoticeTakes    that its notice takes: a try that gets no answer, the pause behind it, and the next one's
//                   way (NoticeSender, where so little time is left)
//
// An owner that has been silent for longer than one that runs would be is not waited for.
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

// The messages of one group that have no end yet, by their time. Each comes out once.
class ExpiryQueue {
 public:
  // As it is by now; none: it is forgotten.
  void update(const std::string& id, const Item* item);
  // When the first one is to be ended here, where its owner counts as silent from then on.
  Time next(Time silent_from) const;
  std::string pop_first();

 private:
  std::map<std::string, Time, std::less<>> times_;
  std::set<std::pair<Time, std::string>> by_time_;
  std::set<std::string, std::less<>> told_;
};

}  // namespace valedrum::copies
