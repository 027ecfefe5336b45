#include "idle_age.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

constexpr Duration kFirstBucketEnd = 25ms;  // upper end of the first bucket of reused connections
constexpr double kMemoryFactor = 2.0;       // time constant of the decay, multiple of the configured time
constexpr double kMaxCalls = 400;           // counts decay faster above this number of calls
constexpr double kMinLikelihoodGain = 2.5;  // gain of log likelihood over a single rate for all buckets
constexpr double kMinBrokenCalls = 1.5;     // fewest broken calls above an idle time
// Share of calls lost in excess that justifies a new connection. A repeat costs a pause and a new connection
// anyway, whereas a message that must not be repeated is lost. The first value is a minimum: if new
// connections take long to set up, as across zones, they are justified only where more calls are lost.
constexpr double kMaxExcessLoss = 0.15;
constexpr double kRetryPauseSeconds = 0.1;  // shortest pause before a repeat (policy.cpp)
constexpr double kMinTimedCalls = 8;        // successful calls, new and reused, needed for the connect time
constexpr double kMaxExcessLossAtMostOnce = 0.03;

// Log likelihood of the counts at the rate that fits them best.
double likelihood(double all, double broken) {
  const auto term = [all](double count) { return count > 0 ? count * std::log(count / all) : 0; };
  return term(broken) + term(all - broken);
}

}  // namespace

void IdleAge::record_broken(Time now, Duration idle) {
  record(now, idle, 1, {});
  update(now);
}

void IdleAge::update(Time now) {
  decay(now);
  const double cost = connect_time();
  max_idle_ = shortest_broken_idle(std::max(kMaxExcessLoss, cost / (cost + kRetryPauseSeconds)));
  max_idle_at_most_once_ = shortest_broken_idle(kMaxExcessLossAtMostOnce);
}

// Returns the seconds by which calls on new connections took longer than on reused ones; 0: not known.
double IdleAge::connect_time() const {
  Calls reused;
  for (std::size_t bucket = 1; bucket < kBuckets; ++bucket) {
    reused = {reused.all + buckets_[bucket].all, reused.broken + buckets_[bucket].broken,
              reused.seconds + buckets_[bucket].seconds};
  }
  const Calls& fresh = buckets_[0];
  const auto mean = [](const Calls& c) { return c.seconds / (c.all - c.broken); };
  if (std::min(fresh.all - fresh.broken, reused.all - reused.broken) < kMinTimedCalls) return 0;
  return std::max(0.0, mean(fresh) - mean(reused));
}

void IdleAge::record(Time now, Duration idle, int broken, Duration elapsed) {
  decay(now);
  std::size_t bucket = idle > 0us ? 1 : 0;
  for (Duration end = kFirstBucketEnd; bucket > 0 && idle >= end && bucket + 1 < kBuckets; end *= 2) ++bucket;
  buckets_[bucket].all += 1;
  buckets_[bucket].broken += broken;
  buckets_[bucket].seconds += std::chrono::duration<double>(elapsed).count();
}

void IdleAge::decay(Time now) {
  const std::chrono::duration<double> passed = now - decayed_at_, memory = kMemoryFactor * configured_;
  decayed_at_ = now;
  double all = 0;
  for (const Calls& c : buckets_) all += c.all;
  const double left =
      (memory.count() > 0 ? std::exp(-passed / memory) : 1) * kMaxCalls / std::max(kMaxCalls, all);
  for (Calls& c : buckets_) c = {c.all * left, c.broken * left, c.seconds * left};
}

// Returns the idle time that best separates rare from frequent breaks, if their rates differ by `excess` at
// least, else the configured time.
Duration IdleAge::shortest_broken_idle(double excess) const {
  Calls total;
  for (const Calls& c : buckets_) total = {total.all + c.all, total.broken + c.broken};
  Duration max_idle = configured_;
  double best_likelihood = likelihood(total.all, total.broken) + kMinLikelihoodGain;
  Calls below;
  Duration end = kFirstBucketEnd / 2;
  for (std::size_t bucket = 0; bucket + 1 < kBuckets; ++bucket, end *= 2) {
    below = {below.all + buckets_[bucket].all, below.broken + buckets_[bucket].broken};
    const Calls above = {total.all - below.all, total.broken - below.broken};
    if (above.broken < kMinBrokenCalls) break;
    const double rate_below = below.all > 0 ? below.broken / below.all : 0;
    if (above.broken / above.all < rate_below + excess) continue;
    const double split_likelihood = likelihood(below.all, below.broken) + likelihood(above.all, above.broken);
    // Of equals the longest idle time, so that no more connections are given up than the counts justify.
    if (split_likelihood < best_likelihood) continue;
    best_likelihood = split_likelihood;
    max_idle = bucket == 0 ? Duration(0) : end;
  }
  return std::min(max_idle, configured_);
}

}  // namespace vetchhinge
