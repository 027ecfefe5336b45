// When a watch on the list has to be given up and opened anew, and which of its lists may be taken. Fed with
// time: no sockets, no clock. Whatever became of calls before, a change counts as told 6 s after discovery
// had it and could be reached; what a watch misses that has fallen silent, 6 s after it fell silent (the
// standing page). Both spans here, the pause that follows and one answer have to fit in that.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace myrtlegrade {

// The time that one watch has left. It is renewed by what is whole, a list or an empty line, and not by
// bytes: one that drips them, or stops in the middle of a list, is as silent as one that says nothing. So
// that a long list is not cut for its length, each further `kProgressBytes` of its bytes renews the time as
// well: a list of up to that size comes within one span or not at all, a longer one has one span for each
// `kProgressBytes`, and no list has more than the reader's longest allows.
class WatchDeadline {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  // From the call to the first end of a list or of an empty line, connecting and the head in it. Who answers
  // is an agent on this machine, at once, or a service that works through calls in turn and gives up by
  // itself before (ours).
  static constexpr Duration kAnswerTimeout = std::chrono::seconds(3);
  // From one end to the next: an empty line comes every 2 s, and one may be late or lost (ours).
  static constexpr Duration kSilenceTimeout = std::chrono::seconds(4);
  static constexpr std::size_t kProgressBytes = 1 << 20;  // bytes: 256 KiB a second at the slowest (ours)

  explicit WatchDeadline(Time called) : last_complete_at_(called), deadline_(called + kAnswerTimeout) {}

  // Bytes of the answer have come and been worked through by `now`; `ended`: with them a list or an empty
  // line came to its end.
  void on_bytes(Time now, std::size_t bytes, bool ended);

  Time deadline() const { return deadline_; }
  // The last end, or the call: what was said after this may have been missed.
  Time last_complete_at() const { return last_complete_at_; }

 private:
  Time last_complete_at_;
  Time deadline_;
  std::size_t unfinished_ = 0;  // bytes since the last end, or since they renewed the time
};

// Which lists are taken, over all watches. One of a lower version than the list held is old: taken, it would
// send calls to endpoints that drain, or that are gone. So it is passed over, and so are the changes that
// lead up to the version held; what goes on from there is taken. But a service that was started anew may
// count anew, and refused for ever it would be told to nobody: if it has not come up to the version held
// within `kMaxTimeBehind`, or ends the watch before, it is asked at once, and once more, for the whole list,
// and that answer is taken whatever its version. The span is short, as it comes on top of all pauses: an old
// list that the service does not stand by is kept out, and one that counts anew is told within the 6 s.
class ListVersionFilter {
 public:
  using Time = WatchDeadline::Time;
  static constexpr WatchDeadline::Duration kMaxTimeBehind = std::chrono::milliseconds(400);  // (ours)

  explicit ListVersionFilter(std::int64_t held = 0) : held_(held) {}
  void set_held(std::int64_t version) { held_ = version; }
  // Another service speaks from now on: how long the one before has been behind says nothing of it.
  void reset() { *this = ListVersionFilter(held_); }

  // A watch is opened: the version after which it is to bring the changes, 0 for the whole list.
  std::int64_t begin_watch();
  // Whether a list of this version is to be taken; then it is the one held.
  bool accept(Time now, std::int64_t version);
  // When the watch that is open has to end, so that another brings the whole list.
  Time deadline() const { return needs_full_list() ? *behind_since_ + kMaxTimeBehind : Time::max(); }
  // Whether that is to be opened at once when this one ends.
  bool needs_full_list() const { return behind_since_ && !requested_full_list_; }
  // Since then lists have been passed over, if that is the case.
  std::optional<Time> behind_since() const { return behind_since_; }

 private:
  std::int64_t held_ = 0;
  std::optional<Time> behind_since_;
  bool requested_full_list_ =
      false;  // the watch that is open was asked for the whole list, as the service has been behind
};

}  // namespace myrtlegrade
