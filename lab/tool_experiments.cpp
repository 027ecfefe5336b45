// valedrum_lab compare and sweep: what many days show.
#include <unistd.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cstdio>
#include <memory>

#include "figures.h"
#include "plays.h"
#include "plot.h"
#include "policy.h"
#include "report.h"
#include "statistics.h"
#include "tool.h"

namespace valedrum::lab {
namespace {

namespace json = boost::json;

// Settings of a policy are parted by commas too: "a,product:slots=3,tick=1" is a and one product.
std::vector<std::string> parted(const std::string& text) {
  std::vector<std::string> parts;
  for (std::size_t from = 0; from <= text.size();) {
    const std::size_t to = std::min(text.find(',', from), text.size());
    const std::string part = text.substr(from, to - from);
    const bool setting = part.find('=') != std::string::npos && part.find(':') == std::string::npos;
    if (setting && !parts.empty()) {
      parts.back() += "," + part;
    } else {
      parts.push_back(part);
    }
    from = to + 1;
  }
  return parts;
}

const Figure& figure_or_throw(const std::string& name) {
  if (const Figure* f = find_figure(name)) return *f;
  std::string known;
  for (const Figure& f : figures()) known += " " + f.name;
  throw ScenarioError("unknown figure '" + name + "'; known are" + known);
}

double broken(const RunResult& r) { return find_figure("broken")->of(r); }

struct Experiment {
  Common common;
  std::string policies = std::string(kProduct) + "," + kFloor, figure = "g", json_path;
  std::uint32_t seeds = 20;
  std::uint64_t first_seed = 1;

  void add_to(CLI::App& app) {
    common.add_to(app);
    app.add_option("--policies", policies,
                   "Policies, parted by commas; the first is what the others are held against")
        ->capture_default_str();
    app.add_option("--seeds", seeds, "Days played with each")
        ->check(CLI::Range(1, 100000))
        ->capture_default_str();
    app.add_option("--first-seed", first_seed, "Seed of the first day")->capture_default_str();
    app.add_option("--figure", figure, "What is compared")->capture_default_str();
    app.add_option("--json", json_path, "Write the result as one JSON document");
  }

  std::vector<std::string> names() const {
    std::vector<std::string> all = parted(policies);
    for (const std::string& name : all) (void)policy(name);  // fails before a day is played
    return all;
  }

  // By policy and seed.
  std::vector<std::vector<RunResult>> play(const std::vector<std::string>& names,
                                           const Scenario& scenario) const {
    std::vector<Play> plays;
    for (const std::string& name : names) {
      for (std::uint32_t i = 0; i < seeds; ++i) plays.push_back({scenario, first_seed + i, name});
    }
    std::vector<RunResult> all = play_all(plays, common.jobs, &stopped, [&](std::size_t done) {
      show_progress(static_cast<double>(done) / static_cast<double>(plays.size()));
    });
    std::vector<std::vector<RunResult>> results(names.size());
    for (std::size_t i = 0; i < all.size(); ++i) results[i / seeds].push_back(std::move(all[i]));
    return results;
  }
};

struct Compare : Experiment {
  std::string against;

  // What an earlier build reached on the same days, as it wrote them with --json.
  std::vector<double> earlier(const Scenario& scenario, const Figure& f) const {
    const json::object old = read_document(against);
    const auto same = [&](const char* field, const json::value& own) {
      const json::value* theirs = old.if_contains(field);
      if (!theirs || *theirs != own) throw ScenarioError(against + ": has another " + field);
    };
    same("days_hash", json::value(days_hash(scenario)));
    same("figure", json::value(f.name));
    same("first_seed", json::value(static_cast<std::int64_t>(first_seed)));
    std::vector<double> values;
    try {
      for (const json::value& v : old.at("policies").at(0).at("values").as_array()) {
        values.push_back(v.to_number<double>());
      }
    } catch (const std::exception&) {
      throw ScenarioError(against + ": is no document of compare");
    }
    if (values.size() < seeds) throw ScenarioError(against + ": has fewer days than --seeds");
    return values;
  }

  static std::string days_hash(const Scenario& scenario) {
    std::uint64_t hash = 0;
    for (const char c : to_toml(scenario)) hash = mixed(hash, static_cast<unsigned char>(c));
    return std::to_string(hash);
  }

  int operator()() {
    const Scenario scenario = common.read();
    const std::vector<std::string> all = names();
    if (all.size() < 2 && against.empty()) throw ScenarioError("--policies: needs two or more, or --against");
    const Figure& f = figure_or_throw(figure);
    const std::vector<double> old = against.empty() ? std::vector<double>{} : earlier(scenario, f);
    std::ofstream file = open_output(json_path);
    const auto results = play(all, scenario);
    std::printf("%s, %u relays, %s\n", scenario.name.c_str(), scenario.fleet.relays, f.what.c_str());
    json::array out;
    for (std::size_t p = 0; p < all.size(); ++p) {
      std::vector<double> values, differences;
      double breaks = 0;
      for (std::uint32_t i = 0; i < seeds; ++i) {
        const RunResult &own = results[p][i], &base = results[0][i];
        const double held_against = old.empty() ? f.of(base) : old[i];
        if (own.stopped || base.stopped) continue;  // pairs alone count
        values.push_back(f.of(own));
        differences.push_back(f.of(own) - held_against);
        breaks += broken(own) > 0 ? 1 : 0;
      }
      const Interval mean = mean_interval(values), difference = mean_interval(differences);
      std::printf("  %-28s %8.4f [%.4f, %.4f] over %zu days; days with a broken rule: %.0f\n", all[p].c_str(),
                  mean.mean, mean.low, mean.high, values.size(), breaks);
      json::object o{
          {"policy", all[p]}, {"days", values.size()}, {"mean", mean.mean}, {"broken_days", breaks}};
      o["values"] = json::array(values.begin(), values.end());
      if (p > 0 || !old.empty()) {
        const double sign = f.more_is_better ? 1 : -1;
        const Interval better{sign * difference.mean, std::min(sign * difference.low, sign * difference.high),
                              std::max(sign * difference.low, sign * difference.high)};
        std::printf("  %-28s %+8.4f [%+.4f, %+.4f] against %s: %s\n", "", difference.mean, difference.low,
                    difference.high, old.empty() ? all[0].c_str() : against.c_str(), verdict(better).c_str());
        o["difference"] = difference.mean;
        if (values.size() > 1) o["interval"] = {difference.low, difference.high};
        o["verdict"] = verdict(better);
      }
      out.push_back(std::move(o));
    }
    if (file.is_open()) {
      file << json::serialize(json::object{{"schema", 1},
                                           {"scenario", scenario.name},
                                           {"relays", scenario.fleet.relays},
                                           {"figure", f.name},
                                           {"days_hash", days_hash(scenario)},
                                           {"first_seed", static_cast<std::int64_t>(first_seed)},
                                           {"policies", std::move(out)}})
           << '\n';
    }
    return stopped ? kInterrupted : 0;
  }
};

// What can be swept: the fleet's size, its load, or any other field of the scenario that is one figure.
struct Sweep : Experiment {
  std::string over = "relays", values_text, html;

  std::vector<double> values() const {
    std::vector<double> all;
    for (std::size_t from = 0; from <= values_text.size();) {
      const std::size_t to = std::min(values_text.find(',', from), values_text.size());
      double value = 0;
      const char* const end = values_text.data() + to;
      const auto [at, error] = std::from_chars(values_text.data() + from, end, value);
      if (error != std::errc{} || at != end)
        throw ScenarioError("--values: must be numbers parted by commas");
      all.push_back(value);
      from = to + 1;
    }
    return all;
  }

  // The scenario with that figure, by the names that its file has.
  Scenario with(Scenario s, double value) const {
    const auto count = static_cast<std::uint32_t>(std::max(0.0, value));
    if (over == "relays") {
      s.fleet.relays = count;
    } else if (over == "load") {
      s.fleet.load = {value, value};
    } else if (over == "endpoints") {
      s.fleet.endpoints = {value, value};
    } else if (over == "zones") {
      s.fleet.zones = count;
    } else if (over == "uneven") {
      s.fleet.uneven = value;
    } else if (over == "clumps") {
      s.clients.clumps = value;
    } else if (over == "loss") {
      s.network.loss = value;
    } else if (over == "part" || over == "size" || over == "lasts") {
      for (FaultSpec& f : s.faults) {
        (over == "part" ? f.part : over == "size" ? f.size : f.lasts) = {value, value};
      }
    } else {
      throw ScenarioError(
          "--over: can be relays, load, endpoints, zones, uneven, clumps, loss, part, size or lasts");
    }
    // Read back: a value that no file may have is refused as there.
    return parse_scenario(to_toml(s), "--values");
  }

  int operator()() {
    const Scenario scenario = common.read();
    const std::vector<std::string> all = names();
    const Figure& f = figure_or_throw(figure);
    const std::vector<double> at = values();
    std::vector<Scenario> scenarios;
    for (const double value : at) scenarios.push_back(with(scenario, value));
    std::ofstream file = open_output(json_path), html_file = open_output(html);
    Plot plot{scenario.name + ": " + f.what, over, f.name, {}};
    plot.log_x = at.size() > 2 && at.front() > 0 && at.back() / at.front() >= 20;
    for (const std::string& name : all) plot.lines.push_back({name, {}});
    json::array out;
    std::printf("%s, %s over %s, %u days each\n", scenario.name.c_str(), f.what.c_str(), over.c_str(), seeds);
    for (std::size_t i = 0; i < at.size() && !stopped; ++i) {
      const auto results = play(all, scenarios[i]);
      for (std::size_t p = 0; p < all.size(); ++p) {
        std::vector<double> figures_of;
        for (const RunResult& r : results[p]) {
          if (!r.stopped) figures_of.push_back(f.of(r));
        }
        if (figures_of.empty()) continue;
        const Interval mean = mean_interval(figures_of);
        std::printf("  %s %-8g %-28s %10.4f [%.4f, %.4f]\n", over.c_str(), at[i], all[p].c_str(), mean.mean,
                    mean.low, mean.high);
        plot.lines[p].points.emplace_back(at[i], mean.mean);
        plot.lines[p].bounds.emplace_back(mean.low, mean.high);
        out.push_back({{over, at[i]}, {"policy", all[p]}, {"mean", mean.mean}, {"days", figures_of.size()}});
      }
    }
    if (file.is_open())
      file << json::serialize(json::object{{"schema", 1}, {"points", std::move(out)}}) << '\n';
    if (html_file.is_open())
      html_file << page(plot.title, "<h1>" + escaped(plot.title) + "</h1>\n" + to_svg(plot));
    return stopped ? kInterrupted : 0;
  }
};

}  // namespace

void add_compare(CLI::App& app, int& status) {
  CLI::App* sub = app.add_subcommand("compare", "Play policies on the same days, paired by seed");
  const auto compare = std::make_shared<Compare>();
  compare->add_to(*sub);
  sub->add_option("--against", compare->against,
                  "What an earlier build wrote with --json for the same days: held against that instead");
  sub->callback([compare, &status] { status = (*compare)(); });
}

void add_sweep(CLI::App& app, int& status) {
  CLI::App* sub = app.add_subcommand("sweep", "A figure against relays, load or another parameter");
  const auto sweep = std::make_shared<Sweep>();
  sweep->policies = kProduct;
  sweep->seeds = 5;
  sweep->add_to(*sub);
  sub->add_option("--over", sweep->over, "What is varied")->capture_default_str();
  sub->add_option("--values", sweep->values_text, "Its values, parted by commas")->required();
  sub->add_option("--html", sweep->html, "Write a page with the plot");
  sub->callback([sweep, &status] { status = (*sweep)(); });
}

}  // namespace valedrum::lab
