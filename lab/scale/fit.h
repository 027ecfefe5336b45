// How a figure grows with the members: constant, with their logarithm, or with their number, said from runs
// of different sizes.
#pragma once

#include <boost/json/object.hpp>
#include <string>
#include <utility>
#include <vector>

namespace valedrum::lab::scale {

enum class Growth { constant, logarithmic, linear };
const char* name_of(Growth growth);

struct Fit {
  Growth growth = Growth::constant;
  double base = 0, slope = 0;  // base + slope * x; x: 1 where constant (slope 0), log2 n, or n
  double residual = 0;         // root of the mean square, over the degrees of freedom that are left

  double at(double members) const;
};

struct FitChoice {
  std::vector<Fit> all;  // one for each growth, in its order
  Growth chosen = Growth::constant;
  const Fit& best() const { return all[static_cast<std::size_t>(chosen)]; }
};

// Least squares for each growth. The one with the least residual is chosen, but constant where what it leaves
// is under 3% of the mean, or no other growth halves it. Needs four sizes that differ; throws
// std::invalid_argument.
FitChoice fit(const std::vector<std::pair<double, double>>& figure_by_members);

// Of the documents of runs of one day: each figure of each phase. Throws ScenarioError.
boost::json::object fit_files(const std::vector<std::string>& paths);
std::string to_text(const boost::json::object& fitted);

}  // namespace valedrum::lab::scale
