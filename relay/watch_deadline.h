// Decides when a watch on discovery's list must be abandoned and reopened, and which lists it accepts.
// Receives the time as an argument and uses no sockets and no clock.
//
// Whatever happened to earlier calls, a change must be known within 6 s after discovery had it and was
// reachable, and what a silent watch misses, within 6 s after it fell silent. Both timeouts here, the pause
// that follows and one answer have to fit into that.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace myrtlegrade {

// The deadline of one watch. It is extended by complete elements, a list or an empty line, and not by bytes:
// a watch that trickles bytes or stops in the middle of a list counts as silent. So that a long list is not
// cut off for its length, each further `kProgressBytes` bytes of it extend the deadline as well. A list of up
// to that size must arrive within one timeout; a longer one has one timeout for each `kProgressBytes`, and
// its length is limited by the reader.
class WatchDeadline {
 public:
  using Time = std::chrono::steady_clock::time_point;
  using Duration = std::chrono::steady_clock::duration;

  // From the request to the first complete list or empty line, including the connection and the header. The
  // peer is an agent on this machine that answers at once, or a service that processes requests in turn and
  // gives up by itself earlier.
  static constexpr Duration kAnswerTimeout = std::chrono::seconds(3);
  // Between complete elements: an empty line is sent every 2 s, and one may be late or lost.
  static constexpr Duration kSilenceTimeout = std::chrono::seconds(4);
  static constexpr std::size_t kProgressBytes = 1 << 20;  // at least 256 KiB/s

  explicit WatchDeadline(Time called) : last_complete_at_(called), deadline_(called + kAnswerTimeout) {}

  // Records that bytes of the answer were received and processed by `now`; `ended` is set if a list or an
  // empty line was completed with them.
  void on_bytes(Time now, std::size_t bytes, bool ended);

  Time deadline() const { return deadline_; }
  // Returns when the last list or empty line was complete, or else when the watch was opened. Changes after
  // that may have been missed.
  Time last_complete_at() const { return last_complete_at_; }

 private:
  Time last_complete_at_;
  Time deadline_;
  std::size_t unfinished_ = 0;  // bytes since the deadline was last extended
};

// Decides which lists are accepted, across all watches. A list with a lower version than the held one is out
// of date; accepting it would send calls to endpoints that drain or are gone. Such a list is skipped, and so
// are the changes up to the held version; later ones are accepted. But a service that was restarted may count
// its versions from the start again, and its lists must not be rejected forever. If the service has not
// reached the held version within `kMaxTimeBehind`, or ends the watch before that, the full list is requested
// once more, at once, and accepted whatever its version. The time is short because it adds to all other
// pauses: an old list that the service does not confirm is rejected, and restarted versions are accepted
// within the 6 s.
class ListVersionFilter {
 public:
  using Time = WatchDeadline::Time;
  static constexpr WatchDeadline::Duration kMaxTimeBehind = std::chrono::milliseconds(400);

  explicit ListVersionFilter(std::int64_t held = 0) : held_(held) {}
  void set_held(std::int64_t version) { held_ = version; }
  // Forgets that the service was behind, when another service is used from now on.
  void reset() { *this = ListVersionFilter(held_); }

  // Returns the version after which a new watch requests changes; 0 requests the full list.
  std::int64_t begin_watch();
  // Returns whether a list of this version is accepted; it is then the held version.
  bool accept(Time now, std::int64_t version);
  // Returns when the open watch has to end so that the next one requests the full list.
  Time deadline() const { return needs_full_list() ? *behind_since_ + kMaxTimeBehind : Time::max(); }
  // Returns whether the next watch requests the full list and must be opened at once.
  bool needs_full_list() const { return behind_since_ && !requested_full_list_; }
  // Returns since when lists have been skipped as out of date, if they are.
  std::optional<Time> behind_since() const { return behind_since_; }

 private:
  std::int64_t held_ = 0;
  std::optional<Time> behind_since_;
  bool requested_full_list_ = false;  // by the open watch, because the service had been behind
};

}  // namespace myrtlegrade
