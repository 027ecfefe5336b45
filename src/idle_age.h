/// Estimates after which idle time connections to hosts of one kind break.
#pragma once

#include <array>
#include <cstddef>

#include "vetchhinge/policy.h"

namespace vetchhinge {

/// Network elements may silently drop idle connections earlier than the hosts state, for some of the hosts or
/// only for a while; the next call on such a connection breaks. Connections also break by chance at any idle
/// time. The estimator therefore counts successful and broken calls by the idle time of their connection,
/// including new connections, with exponential decay. It takes connections as dropped from an idle time on if
/// calls above it break clearly more often than calls below. This covers any cause that grows with idle time,
/// whenever it starts, also if only some hosts are affected. A series of chance failures can have the same
/// effect; it costs a new connection for each call above that idle time until the counts have decayed.
class IdleAge {
 public:
  explicit IdleAge(Duration configured) : configured_(configured) {}

  /// Records a call on a connection that had been idle for this time; 0: a new connection.
  void record_success(Time now, Duration idle, Duration elapsed = {}) { record(now, idle, 0, elapsed); }
  void record_broken(Time now, Duration idle);

  /// Applies the decay and updates the estimates. To be called periodically.
  void update(Time now);

  /// Returns the longest useful idle time, and the same for work that must not be repeated.
  Duration max_idle() const { return max_idle_; }
  Duration max_idle_at_most_once() const { return max_idle_at_most_once_; }

 private:
  static constexpr std::size_t kBuckets = 12;
  struct Calls {
    double all = 0, broken = 0;
    double seconds = 0;  // total duration of the successful calls
  };

  void record(Time now, Duration idle, int broken, Duration elapsed);
  void decay(Time now);
  double connect_time() const;
  Duration shortest_broken_idle(double excess) const;

  Duration configured_;  // the hosts close idle connections after this time
  Duration max_idle_ = configured_, max_idle_at_most_once_ = configured_;
  std::array<Calls, kBuckets>
      buckets_{};  // new connections, then idle times that double from bucket to bucket
  Time decayed_at_{};
};

}  // namespace vetchhinge
