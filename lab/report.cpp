#include "report.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <numeric>

#include "plot.h"
#include "result.h"
#include "scenario.h"

namespace valedrum::lab {
namespace {

namespace json = boost::json;

double number(const json::value& v) { return v.is_null() ? NAN : v.to_number<double>(); }

std::string fixed(double value, int digits) {
  char text[40];
  std::snprintf(text, sizeof text, "%.*f", digits, value);
  return text;
}

std::string cell(const std::string& text, bool bad = false) {
  return std::string(bad ? "<td class='bad'>" : "<td>") + escaped(text) + "</td>";
}

std::string label(const json::object& run) {
  return std::string(run.at("policy").as_string()) + ", seed " +
         std::to_string(run.at("seed").to_number<std::uint64_t>());
}

Line over_time(const json::object& run, const char* field, const std::string& name, double per = 1) {
  Line line{name, {}};
  const json::array& seconds = run.at("seconds").as_array();
  for (std::size_t i = 0; i < seconds.size(); ++i) {
    line.points.emplace_back(static_cast<double>(i), number(seconds[i].at(field)) / per);
  }
  return line;
}

std::string table(const std::vector<json::object>& runs) {
  std::string html =
      "<table><tr><th>run</th><th>relays</th><th>G</th><th>all</th><th>worst 10 s</th><th>worst class</th>"
      "<th>prices</th><th>score</th><th>rules broken</th></tr>\n";
  for (const json::object& run : runs) {
    const json::object& parts = run.at("parts").as_object();
    double prices = 0;
    for (const auto& [name, value] : run.at("prices").as_object()) prices += number(value);
    std::string rules;
    for (const auto& [name, count] : run.at("rules").as_object())
      rules += (rules.empty() ? "" : ", ") + std::string(name);
    html += "<tr>" + cell(label(run)) + cell(std::to_string(run.at("relays").to_number<int>())) +
            cell(fixed(number(run.at("g")), 3)) + cell(fixed(number(parts.at("whole")), 3)) +
            cell(fixed(number(parts.at("worst_window")), 3)) +
            cell(fixed(number(parts.at("worst_class")), 3)) + cell(fixed(prices, 3)) +
            cell(run.contains("score") ? fixed(number(run.at("score")), 3) : "-") +
            cell(rules.empty() ? "none" : rules, !rules.empty()) + "</tr>\n";
  }
  return html + "</table>\n";
}

std::string latencies(const std::vector<json::object>& runs) {
  std::string html =
      "<table><tr><th>run</th><th>class</th><th>delivered</th><th>median, s</th><th>95%, s</th><th>99%, "
      "s</th></tr>\n";
  for (const json::object& run : runs) {
    for (const auto& [name, l] : run.at("latency").as_object()) {
      html += "<tr>" + cell(label(run)) + cell(std::string(name)) + cell(fixed(number(l.at("count")), 0)) +
              cell(fixed(number(l.at("p50")), 2)) + cell(fixed(number(l.at("p95")), 2)) +
              cell(fixed(number(l.at("p99")), 2)) + "</tr>\n";
    }
  }
  return html + "</table>\n";
}

Plot outcomes(const json::object& run) {
  Plot plot{"Calls by outcome: " + label(run), "second", "calls a second", {}};
  const json::array& seconds = run.at("seconds").as_array();
  for (std::size_t i = 0; i < kResults; ++i) {
    Line line{std::string(name_of(static_cast<vetchhinge::Result>(i))), {}};
    double sum = 0;
    for (std::size_t s = 0; s < seconds.size(); ++s) {
      const double n = number(seconds[s].at("calls").as_array().at(i));
      sum += n;
      line.points.emplace_back(static_cast<double>(s), n);
    }
    if (sum > 0) plot.lines.push_back(std::move(line));
  }
  return plot;
}

Plot by_relays(const std::vector<json::object>& runs) {
  Plot plot{"Worth served by relay, from the worst on", "relays, %", "share", {}};
  for (const json::object& run : runs) {
    std::vector<double> shares;
    for (const json::value& v : run.at("served_by_relay").as_array()) shares.push_back(number(v));
    std::ranges::sort(shares);
    Line line{label(run), {}};
    for (std::size_t i = 0; i < shares.size(); ++i) {
      line.points.emplace_back(100.0 * static_cast<double>(i + 1) / static_cast<double>(shares.size()),
                               shares[i]);
    }
    plot.lines.push_back(std::move(line));
  }
  return plot;
}

}  // namespace

json::object read_document(const std::string& path) {
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file || text.empty()) throw ScenarioError(path + ": can't be read");
  boost::system::error_code error;
  json::value value = json::parse(text, error);
  if (error || !value.is_object()) throw ScenarioError(path + ": is no document of the lab");
  json::object run = std::move(value.as_object());
  const json::value* schema = run.if_contains("schema");
  if (!schema || !schema->is_int64()) throw ScenarioError(path + ": is no document of the lab");
  if (schema->as_int64() != kRunSchema)
    throw ScenarioError(path + ": is of another schema than " + std::to_string(kRunSchema));
  return run;
}

json::object read_run(const std::string& path) {
  json::object run = read_document(path);
  if (!run.contains("seconds")) throw ScenarioError(path + ": is no run's document");
  return run;
}

std::string report(const std::vector<json::object>& runs, bool by_relay) {
  std::string title = "valedrum lab: " + std::string(runs.front().at("scenario").as_string());
  std::string body = "<h1>" + escaped(title) + "</h1>\n" + table(runs);
  std::vector<Plot> plots;
  const auto add = [&](const char* name, const char* y, const char* field) {
    Plot plot{name, "second", y, {}};
    for (const json::object& run : runs) {
      Line line = over_time(run, field, label(run));
      const bool told = std::ranges::any_of(line.points, [](const auto& p) { return p.second != 0; });
      if (told) plot.lines.push_back(std::move(line));  // not every policy tells its caps
    }
    plots.push_back(std::move(plot));
  };
  Plot served{"Worth served of what was asked for", "second", "share", {}};
  for (const json::object& run : runs) {
    Line line{label(run), {}};
    const json::array& seconds = run.at("seconds").as_array();
    for (std::size_t i = 0; i < seconds.size(); ++i) {
      const double asked = number(seconds[i].at("asked"));
      line.points.emplace_back(static_cast<double>(i),
                               asked > 0 ? number(seconds[i].at("served")) / asked : NAN);
    }
    served.lines.push_back(std::move(line));
  }
  plots.push_back(std::move(served));
  for (const json::object& run : runs) plots.push_back(outcomes(run));
  add("Messages delivered", "a second", "delivered");
  add("Messages refused", "a second", "refused");
  add("Messages failed", "a second", "failed");
  add("Latency of what was delivered, mean", "seconds", "latency");
  add("Messages held, sent or not", "at the second's end", "held");
  add("Calls in flight", "at the second's end", "in_flight");
  add("Sum of the caps", "at the second's end", "cap");
  if (by_relay) plots.push_back(by_relays(runs));
  body += "<h2>Over time</h2>\n<div class='plots'>\n";
  for (const Plot& plot : plots) body += to_svg(plot);
  body += "</div>\n<h2>Latency, from the first try to the delivery</h2>\n" + latencies(runs);
  for (const json::object& run : runs) {
    for (const json::value& b : run.at("breaches").as_array()) {
      body += "<h2 class='bad'>" + escaped(std::string(b.at("rule").as_string())) +
              " broken: " + escaped(label(run)) + "</h2>\n<pre>" +
              escaped(std::string(b.at("history").as_string())) + "</pre>\n";
    }
  }
  return page(title, body);
}

}  // namespace valedrum::lab
