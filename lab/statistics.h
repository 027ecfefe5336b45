// What plays on several seeds show, and what they don't.
#pragma once

#include <string>
#include <vector>

namespace valedrum::lab {

struct Interval {
  double mean = 0, low = 0, high = 0;
};

// Mean with its interval at that confidence by Student's t; with fewer than two values the interval is
// infinite.
Interval mean_interval(const std::vector<double>& values, double confidence = 0.95);

// Of paired differences: "better", "worse" or "no difference shown".
std::string verdict(const Interval& difference);

// Spearman's rank correlation, ties with their mean rank; 0 where one side is constant. As long as each
// other.
double rank_correlation(const std::vector<double>& a, const std::vector<double>& b);

}  // namespace valedrum::lab
