// Single figures of a run, by the names that the tool's options take.
#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "result.h"

namespace valedrum::lab {

struct Figure {
  std::string name;
  std::string what;  // with its unit
  std::function<double(const RunResult&)> of;
  bool more_is_better = true;
};

const std::vector<Figure>& figures();
const Figure* find_figure(const std::string& name);

}  // namespace valedrum::lab
