// Median and worst over members, as every figure of a scale run is given.
#pragma once

#include <algorithm>
#include <boost/json/object.hpp>
#include <cmath>
#include <cstddef>
#include <utility>
#include <vector>

namespace valedrum::lab::scale {

class Distribution {
 public:
  void add(double value) {
    values_.push_back(value);
    sorted_ = false;
  }
  bool empty() const { return values_.empty(); }
  std::size_t size() const { return values_.size(); }
  double mean() const {
    double sum = 0;
    for (const double v : values_) sum += v;
    return values_.empty() ? 0 : sum / static_cast<double>(values_.size());
  }
  // The least value that `share` of all do not pass (nearest rank).
  double at(double share) {
    if (values_.empty()) return 0;
    if (!std::exchange(sorted_, true)) std::ranges::sort(values_);
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values_.size())));
    return values_[std::clamp<std::size_t>(rank, 1, values_.size()) - 1];
  }
  boost::json::object figure() { return {{"median", at(0.5)}, {"worst", at(1)}}; }
  boost::json::object times() { return {{"median", at(0.5)}, {"p99", at(0.99)}, {"last", at(1)}}; }

 private:
  std::vector<double> values_;
  bool sorted_ = false;
};

}  // namespace valedrum::lab::scale
