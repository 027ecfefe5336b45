#include "fit.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <cmath>
#include <cstdio>
#include <map>
#include <set>
#include <stdexcept>

#include "toml_reader.h"

namespace valedrum::lab::scale {

namespace json = boost::json;

namespace {

constexpr std::size_t kLeastSizes = 4;
constexpr double kFlat = 0.03;  // of the mean, that a constant may leave (ours)
constexpr double kMustHalve =
    0.5;                          // of the constant's residual, that another growth has to come under (ours)
constexpr double kTarget = 7400;  // members that the fit is carried on to

double growing(Growth growth, double members) {
  return growth == Growth::constant ? 0 : growth == Growth::logarithmic ? std::log2(members) : members;
}

Fit least_squares(Growth growth, const std::vector<std::pair<double, double>>& points) {
  const auto n = static_cast<double>(points.size());
  double sx = 0, sy = 0, sxx = 0, sxy = 0;
  for (const auto& [members, y] : points) {
    const double x = growing(growth, members);
    sx += x;
    sy += y;
    sxx += x * x;
    sxy += x * y;
  }
  Fit f;
  f.growth = growth;
  const double spread = sxx - sx * sx / n;
  f.slope = growth == Growth::constant ? 0 : (sxy - sx * sy / n) / spread;
  f.base = (sy - f.slope * sx) / n;
  double square = 0;
  for (const auto& [members, y] : points) square += std::pow(y - f.at(members), 2);
  f.residual = std::sqrt(square / (n - (growth == Growth::constant ? 1 : 2)));
  return f;
}

}  // namespace

const char* name_of(Growth growth) {
  return growth == Growth::constant ? "constant" : growth == Growth::logarithmic ? "log n" : "linear";
}

double Fit::at(double members) const { return base + slope * growing(growth, members); }

FitChoice fit(const std::vector<std::pair<double, double>>& points) {
  std::set<double> sizes;
  double mean = 0;
  for (const auto& [members, y] : points) {
    sizes.insert(members);
    mean += y / static_cast<double>(points.size());
  }
  if (sizes.size() < kLeastSizes)
    throw std::invalid_argument("a fit needs " + std::to_string(kLeastSizes) + " sizes, and has " +
                                std::to_string(sizes.size()));
  FitChoice c;
  for (const Growth g : {Growth::constant, Growth::logarithmic, Growth::linear})
    c.all.push_back(least_squares(g, points));
  c.chosen = c.all[1].residual <= c.all[2].residual ? Growth::logarithmic : Growth::linear;
  const double flat = c.all[0].residual;
  if (flat <= kFlat * std::abs(mean) || c.best().residual > kMustHalve * flat) c.chosen = Growth::constant;
  return c;
}

json::object fit_files(const std::vector<std::string>& paths) {
  std::map<std::string, std::vector<std::pair<double, double>>> figures;
  std::string day;
  json::array sizes;
  for (const std::string& path : paths) {
    boost::system::error_code error;
    const json::value read = json::parse(read_toml_text(path), error);
    if (error || !read.is_object() || !read.as_object().contains("phases"))
      throw ScenarioError(path + ": is no result of a scale run");
    const json::object& run = read.as_object();
    const std::string its(run.at("day").as_string());
    if (!day.empty() && day != its)
      throw ScenarioError(path + ": is of another day: " + its + ", not " + day);
    day = its;
    const double members = run.at("members").to_number<double>();
    sizes.push_back(members);
    for (const json::value& phase : run.at("phases").as_array()) {
      for (const auto& [name, value] : phase.as_object()) {
        const json::object* figure = value.if_object();
        if (!figure || !figure->contains("median")) continue;
        for (const char* of : {"median", "p99", "last", "worst"}) {
          if (!figure->contains(of)) continue;
          const std::string key =
              std::string(phase.at("name").as_string()) + "/" + std::string(name) + "/" + of;
          figures[key].emplace_back(members, figure->at(of).to_number<double>());
        }
      }
    }
  }
  json::object fits;
  for (const auto& [key, points] : figures) {
    if (points.size() != paths.size()) continue;  // not in all of the runs
    FitChoice c;
    try {
      c = fit(points);
    } catch (const std::invalid_argument& e) {
      throw ScenarioError(e.what());
    }
    json::object models;
    for (const Fit& f : c.all)
      models[name_of(f.growth)] = {{"base", f.base}, {"slope", f.slope}, {"residual", f.residual}};
    json::array measured;
    for (const auto& [members, y] : points) measured.push_back({{"members", members}, {"value", y}});
    fits[key] = {{"growth", name_of(c.chosen)},
                 {"extrapolated", {{"members", kTarget}, {"value", c.best().at(kTarget)}}},
                 {"models", std::move(models)},
                 {"measured", std::move(measured)}};
  }
  return {{"schema", 1}, {"day", day}, {"sizes", std::move(sizes)}, {"fits", std::move(fits)}};
}

std::string to_text(const json::object& fitted) {
  std::string text = std::string(fitted.at("day").as_string()) + ": growth with n members\n";
  char line[256];
  for (const auto& [key, value] : fitted.at("fits").as_object()) {
    const std::string growth(value.at("growth").as_string());
    const json::object& f = value.at("models").at(growth).as_object();
    std::snprintf(line, sizeof line,
                  "  %-52s %-8s %12.5g + %10.4g x  residual %10.4g  at 7400 (extrapolated) %.5g\n",
                  std::string(key).c_str(), growth.c_str(), f.at("base").to_number<double>(),
                  f.at("slope").to_number<double>(), f.at("residual").to_number<double>(),
                  value.at("extrapolated").at("value").to_number<double>());
    text += line;
  }
  return text;
}

}  // namespace valedrum::lab::scale
