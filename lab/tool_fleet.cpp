// valedrum_lab fleet: the relays' own view of the fleet, in virtual time.
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <memory>
#include <sstream>

#include "fleet_search.h"
#include "tool.h"

namespace valedrum::lab {
namespace {

namespace json = boost::json;
using membership::DisabledSafeguard;

void add_without(CLI::App& sub, DisabledSafeguard& without) {
  std::map<std::string, DisabledSafeguard> all;
  for (const membership::DisabledSafeguardName& n : membership::kDisabledSafeguardNames)
    all.emplace(n.name, n.disabled_safeguard);
  sub.add_option("--without", without, "Break the protocol on purpose, to see that it is noticed")
      ->transform(CLI::CheckedTransformer(std::move(all), CLI::ignore_case))
      ->type_name("PART");
}

void print(const FleetResult& r, std::size_t members) {
  std::printf("  %zu members, one view %.2f s after the start", members, r.started);
  if (r.settled >= 0) {
    std::printf(", %.2f s after the last fault (bound %.0f s)\n", r.settled, r.bound);
  } else {
    std::printf(", NOT within %.0f s after the last fault\n", r.bound);
  }
  if (r.known_by_all >= 0)
    std::printf("  the first killed: dead for half after %.2f s, for all after %.2f s\n", r.known_by_half,
                r.known_by_all);
  std::printf(
      "  each member a second: %.2f datagrams, %.0f bytes; %.4f frames, %.1f bytes; most %.0f bytes\n",
      r.datagrams, r.bytes, r.frames, r.frame_bytes, r.most_bytes);
  std::printf(
      "  buried %llu times, %llu of them while it ran; suspected while it ran %llu, refuted %llu; repairs "
      "%llu, "
      "stalls seen %llu\n",
      static_cast<unsigned long long>(r.deaths), static_cast<unsigned long long>(r.false_deaths),
      static_cast<unsigned long long>(r.false_suspicions), static_cast<unsigned long long>(r.refutations),
      static_cast<unsigned long long>(r.exchanges), static_cast<unsigned long long>(r.stalls));
  for (std::size_t i = 0; i < kFleetRules; ++i) {
    if (r.broken[i] > 0)
      std::printf("  BROKEN %s: %llu times\n", std::string(name_of(static_cast<FleetRule>(i))).c_str(),
                  static_cast<unsigned long long>(r.broken[i]));
  }
  std::printf("  rules: %s\n", r.rules_kept() ? "all kept" : r.first.c_str());
}

struct FleetRun {
  Common common;
  std::uint64_t seed = 1, search_seed = 0;
  FleetOptions options;
  std::string log;
  double tombstone = 0, seconds = 0;
  unsigned probe_ms = 1000;

  int operator()() {
    Scenario s = common.read();
    if (seconds > 0) s.seconds = seconds;
    check(s);
    std::ofstream file = open_output(log);
    const DisabledSafeguard without = options.settings.disabled_safeguard;
    options.settings = fleet_settings(probe_ms);
    options.settings.disabled_safeguard = without;
    if (tombstone > 0) options.settings.tombstone_retention = Duration(span(tombstone));
    if (search_seed > 0) {  // as the search has drawn them
      FleetSearchOptions all;
      all.settings = options.settings;
      seed = search_seed;
      const FleetOptions drawn = fleet_options(all, seed);
      options.seeds = drawn.seeds;
      options.start_within = drawn.start_within;
      options.settings.tombstone_retention = drawn.settings.tombstone_retention;
    }
    options.stop = &stopped;
    options.progress = show_progress;
    if (file.is_open()) {
      options.log = [&](double at, const std::string& line) {
        char text[24];
        std::snprintf(text, sizeof text, "%10.3f ", at);
        file << text << line << '\n';
      };
    }
    const FleetResult r = play_fleet(draw(s, seed), options);
    std::printf("%s, seed %llu\n", s.name.c_str(), static_cast<unsigned long long>(seed));
    print(r, s.fleet.relays);
    return r.stopped ? kInterrupted : r.rules_kept() ? 0 : kRuleBroken;
  }
};

struct FleetSearch {
  FleetSearchOptions options;
  std::string out = "found.toml";
  std::uint32_t most = 24;

  int operator()() {
    std::ofstream file = open_output(out);
    options.members = {std::min(3.0, static_cast<double>(most)), static_cast<double>(most)};
    options.stop = &stopped;
    options.progress = show_progress;
    const FleetFound found = search_fleet(options);
    std::printf("%zu days played, a rule broken on %zu; %llu members buried while they ran\n", found.days,
                found.broken, static_cast<unsigned long long>(found.false_deaths));
    if (!found.settled.empty()) {
      const auto at = [&](double share) {
        return found.settled[static_cast<std::size_t>(share * static_cast<double>(found.settled.size() - 1))];
      };
      std::printf(
          "  one view after the last fault: median %.2f s, 99%% %.2f s, most %.2f s; %.2f of the bound at "
          "most\n",
          at(0.5), at(0.99), at(1), found.bound_share);
    }
    if (found.scenario) {
      file << to_toml(*found.scenario);
      std::printf("  %s\n  valedrum_lab fleet run %s --search-seed %llu\n", found.how.c_str(), out.c_str(),
                  static_cast<unsigned long long>(found.seed));
    }
    if (stopped) return kInterrupted;
    return found.broken == 0 ? 0 : kRuleBroken;
  }
};

// One kind of day over sizes and losses: what grows, and how.
struct FleetSweep {
  std::string what = "crash", html;
  std::vector<std::uint32_t> members{3, 30, 300};
  std::vector<double> losses{0};
  std::uint32_t seeds = 3;
  unsigned jobs = std::max(1U, std::thread::hardware_concurrency());
  DisabledSafeguard without = DisabledSafeguard::none;

  Scenario day(std::uint32_t n, double loss) const {
    std::string fault;
    if (what == "crash") fault = "kind = 'kill'\nat = 30\nlasts = 1000\npart = 0\n";
    if (what == "join") fault = "kind = 'kill'\nat = 30\nlasts = 40\npart = 0\nkept = false\n";
    if (what == "heal") fault = "kind = 'split'\nat = 30\nlasts = 60\npart = 0.4\nsize = 2\n";
    std::ostringstream text;
    text << "version = 1\nname = '" << what << "'\nseconds = 120\n[fleet]\nrelays = " << n
         << "\n[network]\nloss = " << loss << "\n";
    if (!fault.empty()) text << "[[fault]]\n" << fault;
    return parse_scenario(text.str(), what);
  }

  int operator()() {
    struct Row {
      std::uint32_t n;
      double loss;
      std::vector<FleetResult> results;
    };
    std::vector<Row> rows;
    for (const double loss : losses) {
      for (const std::uint32_t n : members) rows.push_back({n, loss, std::vector<FleetResult>(seeds)});
    }
    for_all(rows.size() * seeds, jobs, [&](std::size_t i) {
      Row& row = rows[i / seeds];
      FleetOptions o;
      o.stop = &stopped;
      o.settings.disabled_safeguard = without;
      o.to_the_end = what == "rest";
      row.results[i % seeds] = play_fleet(draw(day(row.n, row.loss), 1 + i % seeds), o);
    });
    bool kept = true;
    std::printf("%s, %u seeds each: mean (most)\n", what.c_str(), seeds);
    std::printf("%8s %6s %16s %16s %14s %14s %12s %10s\n", "members", "loss", "one view, s",
                "known by all, s", "by half, s", "datagrams/s", "bytes/s", "buried");
    for (const Row& row : rows) {
      const auto figure = [&](auto of) {
        double sum = 0, most = 0;
        for (const FleetResult& r : row.results) {
          sum += of(r);
          most = std::max(most, of(r));
        }
        return std::pair(sum / seeds, most);
      };
      for (const FleetResult& r : row.results) kept = kept && r.rules_kept();
      const auto settled =
          figure([&](const FleetResult& r) { return what == "rest" ? r.started : r.settled; });
      const auto all = figure([](const FleetResult& r) { return r.known_by_all; });
      const auto half = figure([](const FleetResult& r) { return r.known_by_half; });
      const auto bytes = figure([](const FleetResult& r) { return r.bytes + r.frame_bytes; });
      std::printf("%8u %6.2f %8.2f (%5.2f) %8.2f (%5.2f) %14.2f %14.2f %12.0f %10.0f\n", row.n, row.loss,
                  settled.first, settled.second, all.first, all.second, half.first,
                  figure([](const FleetResult& r) { return r.datagrams; }).first, bytes.first,
                  figure([](const FleetResult& r) { return static_cast<double>(r.false_deaths); }).first);
    }
    if (stopped) return kInterrupted;
    return kept ? 0 : kRuleBroken;
  }
};

}  // namespace

void add_fleet(CLI::App& app, int& status) {
  CLI::App* sub = app.add_subcommand("fleet", "The relays' own view of the fleet, emulated (docs/fleet.md)");
  sub->require_subcommand(1);

  CLI::App* run = sub->add_subcommand("run", "Play the faults between relays of one day");
  const auto one = std::make_shared<FleetRun>();
  one->common.add_to(*run);
  run->add_option("--seed", one->seed, "Seed of the day")->capture_default_str();
  run->add_option("--search-seed", one->search_seed,
                  "Seed of a day of `fleet search`, with what it drew besides");
  run->add_option("--seconds", one->seconds, "Length of the day instead of the scenario's")
      ->check(CLI::Range(1.0, 86400.0));
  run->add_option("--seeds", one->options.seeds, "Members that all know at the start")->capture_default_str();
  run->add_option("--start-within", one->options.start_within, "Seconds in which all are started")
      ->capture_default_str();
  run->add_option("--tombstone", one->tombstone,
                  "Seconds that a dead one is remembered for; else 600 probes");
  run->add_option("--probe-ms", one->probe_ms, "Between two probes; other times follow")
      ->check(CLI::Range(60, 10000))
      ->capture_default_str();
  run->add_flag("--to-the-end", one->options.to_the_end, "Go on after the view has settled");
  run->add_flag("--no-false-deaths", one->options.no_false_deaths, "Burying one that runs breaks a rule");
  run->add_option("--log", one->log, "Write what each member sees, a line each");
  add_without(*run, one->options.settings.disabled_safeguard);
  run->callback([one, &status] { status = (*one)(); });

  CLI::App* search = sub->add_subcommand("search", "Seek a day on which the view does not settle");
  const auto seek = std::make_shared<FleetSearch>();
  seek->options.jobs = std::max(1U, std::thread::hardware_concurrency());
  search->add_option("--days", seek->options.days, "Days drawn")
      ->capture_default_str()
      ->check(CLI::Range(1, 1000000));
  search->add_option("--seed", seek->options.seed, "Seed of the first day")->capture_default_str();
  search->add_option("--members", seek->most, "At most")->capture_default_str()->check(CLI::Range(2, 2000));
  search->add_option("--jobs", seek->options.jobs, "Days side by side")->check(CLI::Range(1, 1024));
  search->add_option("--out", seek->out, "Scenario file that reproduces it")->capture_default_str();
  search->add_flag("--until-broken", seek->options.until_broken, "Stop at the first broken rule");
  add_without(*search, seek->options.settings.disabled_safeguard);
  search->callback([seek, &status] { status = (*seek)(); });

  CLI::App* sweep = sub->add_subcommand("sweep", "How times and traffic grow with the fleet");
  const auto grow = std::make_shared<FleetSweep>();
  sweep->add_option("--what", grow->what, "crash, join, heal (of 40/60) or rest")
      ->check(CLI::IsMember({"crash", "join", "heal", "rest"}))
      ->capture_default_str();
  sweep->add_option("--values", grow->members, "Members, parted by commas")
      ->delimiter(',')
      ->check(CLI::Range(2, 2000));
  sweep->add_option("--loss", grow->losses, "Shares of datagrams lost, parted by commas")
      ->delimiter(',')
      ->check(CLI::Range(0.0, 0.95));
  sweep->add_option("--seeds", grow->seeds, "Days of each")
      ->capture_default_str()
      ->check(CLI::Range(1, 1000));
  sweep->add_option("--jobs", grow->jobs, "Days side by side")->check(CLI::Range(1, 1024));
  add_without(*sweep, grow->without);
  sweep->callback([grow, &status] { status = (*grow)(); });
}

}  // namespace valedrum::lab
