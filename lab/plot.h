// Line plots as SVG, for pages that need nothing else.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace valedrum::lab {

struct Line {
  std::string name;
  std::vector<std::pair<double, double>> points;
  std::vector<std::pair<double, double>> bounds{};  // low and high of each point, where there are any
};

struct Plot {
  std::string title, x, y;
  std::vector<Line> lines;
  bool from_zero = true;
  bool log_x = false;
};

std::string to_svg(const Plot& plot);
std::string escaped(const std::string& text);  // for HTML and SVG
// One page that holds all it shows.
std::string page(const std::string& title, const std::string& body);

}  // namespace valedrum::lab
