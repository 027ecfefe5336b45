// valedrum_lab search and report.
#include <cstdio>
#include <memory>

#include "policy.h"
#include "report.h"
#include "search.h"
#include "tool.h"

namespace valedrum::lab {
namespace {

struct Search {
  Common common;
  SearchOptions options;
  std::vector<double> relays, rate;
  std::string out = "found.toml";

  int operator()() {
    const Scenario scenario = common.read();
    (void)policy(options.policy);
    const auto range = [](const std::vector<double>& ends) -> std::optional<Range> {
      if (ends.empty()) return std::nullopt;
      if (!(ends[0] > 0 && ends[0] <= ends[1])) throw ScenarioError("a range of a search is upside down");
      return Range{ends[0], ends[1]};
    };
    options.relays = range(relays);
    options.rate = range(rate);
    std::ofstream file = open_output(out);
    options.jobs = common.jobs;
    options.stop = &stopped;
    options.progress = [this](std::size_t done, const std::optional<Finding>&) {
      show_progress(static_cast<double>(done) / static_cast<double>(options.runs));
    };
    const std::optional<Finding> found = search(scenario, options);
    if (!found) return kInterrupted;
    file << to_toml(found->scenario);
    std::printf("%zu days played, %zu with a broken rule; the worst loses %.3f against the oracle%s%s\n",
                found->runs, found->broken, found->loss, found->rule.empty() ? "" : " and breaks ",
                found->rule.c_str());
    std::printf("  %u relays, %.0f s, load %.2f:", found->scenario.fleet.relays, found->scenario.seconds,
                found->scenario.fleet.load.low);
    for (const FaultSpec& f : found->scenario.faults) {
      std::printf(" %s at %.1f for %.1f s;", std::string(name_of(f.kind)).c_str(), f.at.low, f.lasts.low);
    }
    std::printf("\n  valedrum_lab run %s --seed %llu --policy %s\n", out.c_str(),
                static_cast<unsigned long long>(found->seed), options.policy.c_str());
    if (stopped) return kInterrupted;
    return found->rule.empty() ? 0 : kRuleBroken;
  }
};

struct Report {
  std::vector<std::string> runs;
  std::string out = "report.html";
  bool by_relay = false;

  int operator()() const {
    std::vector<boost::json::object> documents;
    for (const std::string& path : runs) documents.push_back(read_run(path));
    std::ofstream file = open_output(out);
    try {
      file << report(documents, by_relay);
    } catch (const std::exception& e) {  // a field that is not there, or of another type
      throw ScenarioError("a run's document lacks what a report needs: " + std::string(e.what()));
    }
    std::printf("%s\n", out.c_str());
    return 0;
  }
};

}  // namespace

void add_search(CLI::App& app, int& status) {
  CLI::App* sub =
      app.add_subcommand("search", "Seek the worst day or a broken rule, and make what is found small");
  const auto search = std::make_shared<Search>();
  search->common.add_to(*sub);
  sub->add_option("--policy", search->options.policy, "Policy that is tried")->capture_default_str();
  sub->add_option("--runs", search->options.runs, "Days drawn")
      ->check(CLI::Range(1, 1000000))
      ->capture_default_str();
  sub->add_option("--between-relays", search->relays, "Draw the number of relays: least and most")
      ->expected(2);
  sub->add_option("--rate", search->rate, "Draw the calls a second of a partner: least and most")
      ->expected(2);
  sub->add_option("--seed", search->options.seed, "Seed of the search")->capture_default_str();
  sub->add_option("--out", search->out, "Scenario file that reproduces it")->capture_default_str();
  sub->callback([search, &status] { status = (*search)(); });
}

void add_report(CLI::App& app, int& status) {
  CLI::App* sub = app.add_subcommand("report", "One HTML page with plots, from what run --json wrote");
  const auto report = std::make_shared<Report>();
  sub->add_option("runs", report->runs, "Documents of runs")->required();
  sub->add_option("--out", report->out, "Page to write")->capture_default_str();
  sub->add_flag("--by-relay", report->by_relay, "Show the relays' shares too");
  sub->callback([report, &status] { status = (*report)(); });
}

}  // namespace valedrum::lab
