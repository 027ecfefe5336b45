// The page of capacity: its tables are made from the file of runs, so that page and file cannot say different
// things, and each figure at the target comes from arithmetic that is done here and not by hand.
#pragma once

#include <boost/json/value.hpp>
#include <stdexcept>
#include <string>

namespace valedrum::lab {

// Names the row or figure at fault.
class CapacityError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The page with what stands between `<!-- capacity: TABLE -->` and `<!-- end -->` made anew from the file:
// `target` (name, value, unit), `runs` (command and result, as the run wrote it), `figures` (JSON pointers
// into a result: the figure, and the sizes between which it was measured) and `rows` (arithmetic over targets
// and figures, a budget, the mechanism that carries it). A row whose stated verdict is not what its
// arithmetic gives is an error, as is a table of the page without rows, or rows without a table.
std::string render_capacity(const boost::json::value& file, const std::string& page);

}  // namespace valedrum::lab
