#include "statistics.h"

#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <boost/math/statistics/bivariate_statistics.hpp>
#include <boost/math/statistics/univariate_statistics.hpp>
#include <cmath>
#include <limits>
#include <numeric>

namespace valedrum::lab {
namespace {

std::vector<double> ranks(const std::vector<double>& values) {
  std::vector<std::size_t> order(values.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::ranges::sort(order, {}, [&](std::size_t i) { return values[i]; });
  std::vector<double> ranks(values.size());
  for (std::size_t from = 0; from < order.size();) {
    std::size_t to = from;
    while (to < order.size() && values[order[to]] == values[order[from]]) ++to;
    for (std::size_t i = from; i < to; ++i) ranks[order[i]] = static_cast<double>(from + to - 1) / 2;
    from = to;
  }
  return ranks;
}

}  // namespace

Interval mean_interval(const std::vector<double>& values, double confidence) {
  if (values.empty()) return {};
  const double mean = boost::math::statistics::mean(values);
  constexpr double kInfinite = std::numeric_limits<double>::infinity();
  if (values.size() < 2) return {mean, -kInfinite, kInfinite};
  const auto n = static_cast<double>(values.size());
  const double error = std::sqrt(boost::math::statistics::sample_variance(values) / n);
  const double t = boost::math::quantile(boost::math::students_t(n - 1), (1 + confidence) / 2);
  return {mean, mean - t * error, mean + t * error};
}

std::string verdict(const Interval& difference) {
  if (difference.low > 0) return "better";
  if (difference.high < 0) return "worse";
  return "no difference shown";
}

double rank_correlation(const std::vector<double>& a, const std::vector<double>& b) {
  if (a.size() < 2 || a.size() != b.size()) return 0;
  const auto constant = [](const std::vector<double>& v) {
    return std::ranges::all_of(v, [&](double x) { return x == v.front(); });
  };
  if (constant(a) || constant(b)) return 0;
  return boost::math::statistics::correlation_coefficient(ranks(a), ranks(b));
}

}  // namespace valedrum::lab
