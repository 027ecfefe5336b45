#include "capacity/capacity.h"

#include <muParser.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <cstdio>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <vector>

namespace valedrum::lab {
namespace {

namespace json = boost::json;

constexpr const char* kBegin = "<!-- capacity: ";
constexpr const char* kBeginEnd = " -->\n";
constexpr const char* kEnd = "<!-- end -->";

const json::object& object_in(const json::object& all, std::string_view name) {
  const json::value* found = all.if_contains(name);
  if (!found || !found->is_object()) throw CapacityError(std::string(name) + ": not an object");
  return found->as_object();
}

std::string text_in(const json::object& all, std::string_view name, const std::string& where) {
  const json::value* found = all.if_contains(name);
  if (!found || !found->is_string()) throw CapacityError(where + ": no text '" + std::string(name) + "'");
  return std::string(found->as_string());
}

std::string optional_text(const json::object& all, std::string_view name) {
  const json::value* found = all.if_contains(name);
  return found && found->is_string() ? std::string(found->as_string()) : std::string();
}

double number_in(const json::object& all, std::string_view name, const std::string& where) {
  const json::value* found = all.if_contains(name);
  if (!found || !found->is_number()) throw CapacityError(where + ": no number '" + std::string(name) + "'");
  return found->to_number<double>();
}

// Three or four significant digits, whole numbers whole, thousands apart: 1,900,000, 96.13, 0.0042.
std::string shown(double value) {
  const double size = std::abs(value);
  const int magnitude = size > 0 ? static_cast<int>(std::floor(std::log10(size))) : 0;
  const bool whole = size < 1e15 && value == std::round(value);
  char text[64];
  std::snprintf(text, sizeof text, "%.*f", whole ? 0 : std::clamp(3 - magnitude, 0, 15), value);
  std::string out = text;
  if (out.find('.') != std::string::npos) {
    out.erase(out.find_last_not_of('0') + 1);
    if (out.back() == '.') out.pop_back();
  }
  const std::size_t first = out.front() == '-' ? 1 : 0;
  for (std::size_t at = std::min(out.find('.'), out.size()); at > first + 3;) out.insert(at -= 3, 1, ',');
  return out;
}

struct Figure {
  double value = 0;
  std::string unit, run, over;        // over: the name of the target that it grows with, if any
  std::optional<double> least, most;  // sizes between which it was measured
};

class Capacity {
 public:
  explicit Capacity(const json::value& file) {
    if (!file.is_object()) throw CapacityError("not an object");
    const json::object& all = file.as_object();
    for (const auto& [name, value] : object_in(all, "target")) {
      if (!value.is_object()) throw CapacityError("target " + std::string(name) + ": not an object");
      define(std::string(name), {number_in(value.as_object(), "value", "target " + std::string(name)),
                                 optional_text(value.as_object(), "unit"),
                                 {},
                                 {},
                                 {},
                                 {}});
    }
    const json::object& runs = object_in(all, "runs");
    for (const auto& [name, value] : object_in(all, "figures")) read_figure(std::string(name), value, runs);
    const json::value* rows = all.if_contains("rows");
    if (!rows || !rows->is_array()) throw CapacityError("rows: not a list");
    for (const json::value& row : rows->as_array()) {
      if (!row.is_object()) throw CapacityError("rows: not an object");
      const std::string table = text_in(row.as_object(), "table", "row");
      tables_[table] += line(row.as_object());
    }
  }

  const std::map<std::string, std::string>& tables() const { return tables_; }

 private:
  void define(const std::string& name, Figure figure) {
    if (!figures_.emplace(name, std::move(figure)).second) throw CapacityError(name + ": given twice");
  }

  // A figure is where the run wrote it, and nobody's copy: a JSON pointer into the run's result.
  void read_figure(const std::string& name, const json::value& value, const json::object& runs) {
    const std::string where = "figure " + name;
    if (!value.is_object()) throw CapacityError(where + ": not an object");
    const json::object& o = value.as_object();
    const std::string run = text_in(o, "run", where);
    const json::value* found = runs.if_contains(run);
    const json::value* result =
        found && found->is_object() ? found->as_object().if_contains("result") : nullptr;
    if (!result) throw CapacityError(where + ": no run '" + run + "' with a result");
    const auto at = [&](std::string_view field) {
      const std::string pointer = text_in(o, field, where);
      boost::system::error_code error;
      const json::value* there = result->find_pointer(pointer, error);
      if (!there || !there->is_number())
        throw CapacityError(where + ": run '" + run + "' has no number at '" + pointer + "'");
      return there->to_number<double>();
    };
    Figure f{at("at"), text_in(o, "unit", where), run, optional_text(o, "over"), {}, {}};
    if (!f.over.empty()) {
      if (!figures_.contains(f.over)) throw CapacityError(where + ": grows with unknown '" + f.over + "'");
      f.least = at("least");
      f.most = at("most");
    }
    define(name, std::move(f));
  }

  // The value, the arithmetic with its figures put in, and the names used.
  struct Result {
    double value = 0;
    std::string arithmetic;
    std::set<std::string> used;
  };

  Result evaluate(const std::string& expression, const std::string& where) {
    try {
      mu::Parser parser;
      for (auto& [name, figure] : figures_) parser.DefineVar(name, &figure.value);
      parser.SetExpr(expression);
      Result result;
      for (const auto& [name, at] : parser.GetUsedVar()) result.used.insert(name);
      result.value = parser.Eval();
      if (!std::isfinite(result.value)) throw CapacityError(where + ": '" + expression + "' has no value");
      result.arithmetic = put_in(expression);
      return result;
    } catch (const mu::Parser::exception_type& e) {
      throw CapacityError(where + ": '" + expression + "': " + e.GetMsg());
    }
  }

  std::string put_in(const std::string& expression) const {
    std::string out, word;
    const auto flush = [&] {
      const auto known = figures_.find(word);
      out += known == figures_.end() ? word : shown(known->second.value);
      word.clear();
    };
    for (const char c : expression) {
      if (std::isalnum(static_cast<unsigned char>(c)) || c == '_' || c == '.') {
        word += c;
        continue;
      }
      flush();
      out += c == '*' ? std::string("×") : std::string(1, c);
    }
    flush();
    return out;
  }

  // What a row rests on: sizes, and whether the target lies beyond them.
  std::pair<std::string, bool> sizes(const std::set<std::string>& used) const {
    std::string out;
    bool beyond = false;
    for (const std::string& name : used) {
      const Figure& f = figures_.at(name);
      if (!f.least) continue;
      out += (out.empty() ? "" : "; ") + shown(*f.least) + " to " + shown(*f.most) + " " + f.over;
      beyond = beyond || figures_.at(f.over).value > *f.most;
    }
    return {out.empty() ? "—" : out, beyond};
  }

  std::string rests_on(const std::set<std::string>& used) const {
    std::string out;
    for (const std::string& name : used) {
      const Figure& f = figures_.at(name);
      if (f.run.empty()) continue;
      out += (out.empty() ? "" : "; ") + shown(f.value) + " " + f.unit + " (" + f.run + ")";
    }
    return out.empty() ? "—" : out;
  }

  std::string line(const json::object& row) {
    const std::string what = text_in(row, "what", "row");
    const std::string where = "row '" + what + "'";
    const std::string unit = text_in(row, "unit", where);
    const Result result = evaluate(text_in(row, "arithmetic", where), where);
    const auto [between, beyond] = sizes(result.used);
    const std::string stated = text_in(row, "verdict", where);
    std::string budget = "—", verdict = "no budget";
    if (const std::string limit = optional_text(row, "budget"); !limit.empty()) {
      const double most = evaluate(limit, where).value;
      budget = shown(most) + " " + unit;
      verdict = result.value <= most ? "holds" : "does not hold";
    }
    if (stated == "not built" && verdict != "no budget") verdict = "not built";
    if (stated != verdict)
      throw CapacityError(where + ": says '" + stated + "', its arithmetic '" + verdict + "'");
    std::ostringstream out;
    out << "| " << what << " | " << rests_on(result.used) << " | " << between << " | " << result.arithmetic
        << " | " << shown(result.value) << " " << unit << (beyond ? ", extrapolated" : "") << " | " << budget
        << " | " << text_in(row, "mechanism", where) << " | " << verdict << " |\n";
    return out.str();
  }

  std::map<std::string, Figure> figures_;
  std::map<std::string, std::string> tables_;
};

constexpr const char* kHead =
    "| what | measured (run) | between | arithmetic | at the target | budget | carried by | verdict |\n"
    "| --- | --- | --- | --- | --- | --- | --- | --- |\n";

}  // namespace

std::string render_capacity(const json::value& file, const std::string& page) {
  const Capacity capacity(file);
  std::set<std::string> placed;
  std::string out;
  std::size_t at = 0;
  for (std::size_t begin; (begin = page.find(kBegin, at)) != std::string::npos;) {
    const std::size_t name = begin + std::string_view(kBegin).size();
    const std::size_t body = page.find(kBeginEnd, name);
    const std::size_t end = page.find(kEnd, name);
    if (body == std::string::npos || end == std::string::npos || body > end)
      throw CapacityError("a table of the page does not end");
    const std::string table = page.substr(name, body - name);
    const auto rows = capacity.tables().find(table);
    if (rows == capacity.tables().end()) throw CapacityError("table '" + table + "': no rows in the file");
    if (!placed.insert(table).second) throw CapacityError("table '" + table + "': twice in the page");
    out.append(page, at, body + std::string_view(kBeginEnd).size() - at);
    out += kHead + rows->second;
    at = end;
  }
  out.append(page, at);
  for (const auto& [table, rows] : capacity.tables()) {
    if (!placed.contains(table)) throw CapacityError("table '" + table + "': not in the page");
  }
  return out;
}

}  // namespace valedrum::lab
