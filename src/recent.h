/// Recent samples and event rates for the decision module.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

#include "vetchhinge/policy.h"

namespace vetchhinge {

/// The most recent samples of a value, bounded by number and age, with their quantiles.
class RecentSamples {
 public:
  RecentSamples(std::size_t max_samples, Duration max_age) : max_samples_(max_samples), max_age_(max_age) {}

  void add(Time now, double value) {
    samples_.push_back({now, value});
    if (samples_.size() > max_samples_) samples_.erase(samples_.begin());
    sorted_.clear();
  }

  void trim(Time now) {
    const auto old = [&](const Sample& s) { return s.at + max_age_ < now; };
    const auto kept = std::find_if_not(samples_.begin(), samples_.end(), old);
    if (kept == samples_.begin()) return;
    samples_.erase(samples_.begin(), kept);
    sorted_.clear();
  }

  std::size_t size() const { return samples_.size(); }

  struct Sample {
    Time at;
    double value;
  };
  const std::vector<Sample>& samples() const { return samples_; }

  /// Returns a quantile of all samples. They are sorted once and again after the next change.
  double quantile(double q) const {
    if (sorted_.size() != samples_.size()) sorted_ = newest_sorted(samples_.size());
    return between(sorted_, q);
  }

  /// Returns a quantile of the `newest` samples (at most size()), interpolated linearly between order
  /// statistics; 0 if there are none.
  double quantile(double q, std::size_t newest) const { return between(newest_sorted(newest), q); }

 private:
  std::vector<double> newest_sorted(std::size_t newest) const {
    std::vector<double> values;
    values.reserve(newest);
    for (std::size_t i = samples_.size() - newest; i < samples_.size(); ++i)
      values.push_back(samples_[i].value);
    std::sort(values.begin(), values.end());
    return values;
  }

  static double between(const std::vector<double>& values, double q) {
    if (values.empty()) return 0;
    const double at = q * static_cast<double>(values.size() - 1);
    const auto low = static_cast<std::size_t>(at);
    const auto high = std::min(low + 1, values.size() - 1);
    return std::lerp(values[low], values[high], at - static_cast<double>(low));
  }

  std::vector<Sample> samples_;
  mutable std::vector<double> sorted_;
  std::size_t max_samples_;
  Duration max_age_;
};

/// Decayed number of events below which a meter counts as empty.
constexpr double kNegligibleEvents = 0.05;

/// Events per second with exponential decay, unbiased from the first second on.
class RateMeter {
 public:
  RateMeter(Duration memory, Time start) : memory_(memory), start_(start), last_(start) {}

  /// Sets the decayed number of events below which the rate is 0. A destination that was evicted while idle
  /// then has the same rates as one that was kept all the time.
  void ignore_below(double events) { negligible_ = events; }

  void add(Time now, double amount) {
    decay(now);
    sum_ += amount;
  }

  /// Sets the state to that after a long time of events at this rate.
  void start_at(Time now, double per_second) {
    constexpr int kTimeConstants = 20;  // e^-20 of the rate is missing
    start_ = now - kTimeConstants * memory_;
    last_ = now;
    sum_ = per_second * seconds(memory_);
  }

  /// Returns the decayed number of events.
  double remaining(Time now) const { return sum_ * std::exp(-seconds(now - last_) / seconds(memory_)); }

  /// Returns the rate over at least `min_window`, which avoids extreme values shortly after the start.
  double per_second(Time now, Duration min_window) {
    decay(now);
    const double tau = seconds(memory_);
    const double observed = std::max(seconds(now - start_), seconds(min_window));
    return sum_ / (tau * (1 - std::exp(-observed / tau)));
  }

 private:
  static double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

  void decay(Time now) {
    sum_ *= std::exp(-seconds(now - last_) / seconds(memory_));
    last_ = now;
    if (sum_ <= negligible_) sum_ = 0;
  }

  Duration memory_;
  double sum_ = 0;
  double negligible_ = 0;
  Time start_;
  Time last_;
};

}  // namespace vetchhinge
