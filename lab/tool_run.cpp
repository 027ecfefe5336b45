// valedrum_lab run: one day with one policy.
#include <unistd.h>

#include <boost/json/serialize.hpp>
#include <cstdio>
#include <iostream>
#include <memory>
#include <set>

#include "plays.h"
#include "policy.h"
#include "tool.h"

namespace valedrum::lab {

std::ofstream open_output(const std::string& path) {
  std::ofstream file;
  if (path.empty()) return file;
  file.open(path);
  if (!file) throw ScenarioError(path + ": can't be written");
  return file;
}

void show_progress(double share) {
  if (!isatty(STDERR_FILENO)) return;
  constexpr int kWidth = 40;
  std::string bar(static_cast<std::size_t>(share * kWidth), '#');
  bar.resize(kWidth, '.');
  std::fprintf(stderr, "\r[%s] %3.0f%%%s", bar.c_str(), share * 100, share >= 1 ? "\r\x1b[K" : "");
  std::fflush(stderr);
}

void Common::add_to(CLI::App& app) {
  app.add_option("scenario", scenario, "Scenario file (TOML)")->required();
  app.add_option("--relays", relays, "Relays instead of the scenario's")->check(CLI::Range(1, 10000));
  app.add_option("--load", load, "Share of full load instead of the scenario's")
      ->check(CLI::Range(0.01, 100.0));
  app.add_option("--jobs", jobs, "Runs side by side; else one for each core")->check(CLI::Range(1, 1024));
}

Scenario Common::read() const {
  Scenario s = read_scenario(scenario);
  if (relays > 0) s.fleet.relays = relays;
  if (load > 0) s.fleet.load = {load, load};
  check(s);
  return s;
}

void print(const RunResult& r) {
  const auto n = [](std::uint64_t count) { return static_cast<unsigned long long>(count); };
  std::printf("%s, seed %llu, %u relays, policy %s%s\n", r.scenario.c_str(), n(r.seed), r.relays,
              r.policy.c_str(), r.stopped ? " (stopped early)" : "");
  std::printf(
      "  G %.3f = 0.4 x %.3f (all) + 0.4 x %.3f (worst 10 s) + 0.2 x %.3f (worst class) - %.3f (prices)\n",
      r.g, r.whole, r.worst_window, r.worst_class, r.prices.sum());
  std::printf(
      "  requests %llu: delivered %llu, failed %llu (%llu unsent); refusals %llu (%llu at the door)\n",
      n(r.requests), n(r.delivered), n(r.failed), n(r.unsent), n(r.refused), n(r.door));
  std::printf("  calls:");
  for (std::size_t i = 0; i < kResults; ++i) {
    if (r.calls[i] == 0) continue;
    std::printf(" %s %llu", std::string(name_of(static_cast<vetchhinge::Result>(i))).c_str(), n(r.calls[i]));
  }
  std::printf("; repeats %llu, connections %llu, across zones %llu, lists asked for %llu\n", n(r.repeats),
              n(r.connections), n(r.cross_zone), n(r.list_calls));
  for (std::size_t c = 0; c < r.classes.size(); ++c) {
    const Latencies& l = r.latencies[c];
    std::printf("  %s: median %.2f s, 95%% %.2f s, 99%% %.2f s\n", r.classes[c].c_str(), l.quantile(0.5),
                l.quantile(0.95), l.quantile(0.99));
  }
  if (r.rules_kept()) std::printf("  rules: all kept\n");
  for (std::size_t i = 0; i < kRules; ++i) {
    if (r.broken[i] > 0) {
      std::printf("  RULE BROKEN: %s, %llu times\n", std::string(name_of(static_cast<Rule>(i))).c_str(),
                  n(r.broken[i]));
    }
  }
  std::set<Rule> shown;
  for (const Breach& b : r.breaches) {
    if (!shown.insert(b.rule).second) continue;
    std::printf("  %s at %.3f s, message %u:\n%s", std::string(name_of(b.rule)).c_str(), seconds(b.at),
                b.message, b.history.c_str());
  }
}

namespace {

struct Run {
  Common common;
  std::uint64_t seed = 1;
  std::string policy = kProduct, json, csv, trace;
  bool references = true, baselines = false;

  int operator()() {
    const Scenario scenario = common.read();
    const PolicyMaker maker = lab::policy(policy);
    std::ofstream json_file = open_output(json), csv_file = open_output(csv), trace_file = open_output(trace);
    PlayOptions options;
    options.policy = policy;
    options.caps = true;
    options.stop = &stopped;
    options.progress = show_progress;
    if (trace_file.is_open()) options.watch = [&](const Observation& o) { trace_file << to_text(o) << '\n'; };
    const RunResult result = play(draw(scenario, seed), maker, options);
    print(result);
    boost::json::object document = to_json(result);
    if (references && !result.stopped) add_references(scenario, result, document);
    if (json_file.is_open()) json_file << boost::json::serialize(document) << '\n';
    if (csv_file.is_open()) csv_file << to_csv(result);
    if (stopped) return kInterrupted;
    return result.rules_kept() ? 0 : kRuleBroken;
  }

  // The same day by others: what one try reaches, and who sees the true state.
  void add_references(const Scenario& scenario, const RunResult& result,
                      boost::json::object& document) const {
    std::vector<std::string> names = {kFloor, kTop};
    if (baselines) names = textbook_names();
    std::vector<Play> plays;
    for (const std::string& name : names) plays.push_back({scenario, seed, name});
    const std::vector<RunResult> others = play_all(plays, common.jobs, &stopped);
    if (stopped) return;
    double floor = 0, top = result.g;
    const RunResult* best = nullptr;
    boost::json::object all;
    for (const RunResult& r : others) {
      all[r.policy] = r.g;
      if (r.policy == kFloor) floor = r.g;
      if (r.policy == kTop) top = std::max(top, r.g);
      if (r.policy != kTop && (!best || r.g > best->g)) best = &r;
      if (!baselines) continue;
      std::printf("  %-13s G %.3f", r.policy.c_str(), r.g);
      for (std::size_t i = 0; i < kRules; ++i) {
        if (r.broken[i] > 0) std::printf(", breaks %s", std::string(name_of(static_cast<Rule>(i))).c_str());
      }
      std::printf("\n");
    }
    const double placed = score(result.g, floor, top);
    document["floor"] = floor;
    document["top"] = top;
    document["score"] = placed;
    document["others"] = std::move(all);
    std::printf("  floor %.3f (%s), top %.3f (%s): score %.3f\n", floor, kFloor, top,
                top > result.g ? kTop : "this policy", placed);
    if (baselines && best && top > best->g) {
      std::printf("  place between the best baseline (%s, rules aside) and the top: %.2f\n",
                  best->policy.c_str(), (result.g - best->g) / (top - best->g));
    }
  }
};

}  // namespace

void add_run(CLI::App& app, int& status) {
  CLI::App* sub = app.add_subcommand("run", "Play one day with one policy");
  const auto run = std::make_shared<Run>();
  run->common.add_to(*sub);
  sub->add_option("--seed", run->seed, "Seed of the day")->capture_default_str();
  sub->add_option("--policy", run->policy, "A policy's name, or product:setting=value,...")
      ->capture_default_str();
  sub->add_option("--json", run->json, "Write the result as one JSON document");
  sub->add_option("--csv", run->csv, "Write a line for each second");
  sub->add_option("--trace", run->trace, "Write each observation, a line each");
  sub->add_flag("--no-references{false}", run->references, "Don't play floor and top");
  sub->add_flag("--baselines", run->baselines, "Play all baselines too, and give the place among them");
  sub->callback([run, &status] { status = (*run)(); });
}

}  // namespace valedrum::lab
