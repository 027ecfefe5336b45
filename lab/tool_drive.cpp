// valedrum_lab drive: a day on real sockets.
#include <unistd.h>

#include <boost/json/serialize.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>

#include "drive.h"
#include "tool.h"

namespace valedrum::lab {
namespace {

namespace fs = std::filesystem;

struct DriveCommand {
  Common common;
  std::uint64_t seed = 1;
  double seconds = 0;
  std::string program = "build/myrtlegrade", json, trace, folder;
  DriveOptions options;

  int operator()() {
    Scenario scenario = common.read();
    if (seconds > 0) scenario.seconds = seconds;
    check(scenario);
    std::ofstream json_file = open_output(json), trace_file = open_output(trace);
    options.program = program;
    options.stop = &stopped;
    options.progress = show_progress;
    if (trace_file.is_open()) options.watch = [&](const Observation& o) { trace_file << to_text(o) << '\n'; };
    std::string own;
    if (folder.empty()) {
      own = (fs::temp_directory_path() / "valedrum-lab-XXXXXX").string();
      if (!::mkdtemp(own.data())) throw ScenarioError(own + ": can't be made");
    }
    options.folder = folder.empty() ? own : folder;
    DriveResult result;
    try {
      result = drive(draw(scenario, seed), options);
    } catch (...) {
      if (!own.empty()) fs::remove_all(own);
      throw;
    }
    if (!own.empty()) fs::remove_all(own);
    print(result.run);
    std::printf(
        "  relays started %u times, crashed %u; own timers late by %.1f ms at most, %.2f%% by more than 20 "
        "ms%s\n",
        result.starts, result.crashes, result.late_most * 1000, result.late_share * 100,
        result.late_share > 0.01 ? ": THE MACHINE RAN LATE, the figures are its own too" : "");
    const FleetSeen& fleet = result.fleet;
    if (options.fleet) {
      std::printf(
          "  fleet: one view %.2f s after the start, %s%.2f s after the last fault (bound %.0f s)%s%s\n",
          fleet.started, fleet.settled < 0 ? "NOT " : "", fleet.settled < 0 ? fleet.bound : fleet.settled,
          fleet.bound, fleet.trouble.empty() ? "" : ": ", fleet.trouble.c_str());
      std::printf(
          "  fleet: buried while it ran %llu; each relay a second %.2f datagrams, %.0f bytes; %llu lost on "
          "the "
          "wire, %llu streams\n",
          static_cast<unsigned long long>(fleet.false_deaths), fleet.datagrams, fleet.bytes,
          static_cast<unsigned long long>(fleet.lost), static_cast<unsigned long long>(fleet.streams));
    }
    const CopiesSeen& c = result.copies;
    if (options.copies > 0) {
      std::printf(
          "  copies: %llu messages placed, %llu refused for want of holders, %llu waits ran out; ownership "
          "won %llu "
          "times and lost %llu, %llu messages inherited, %llu ended by their holders\n",
          static_cast<unsigned long long>(c.placed), static_cast<unsigned long long>(c.refused),
          static_cast<unsigned long long>(c.late), static_cast<unsigned long long>(c.won),
          static_cast<unsigned long long>(c.lost), static_cast<unsigned long long>(c.inherited),
          static_cast<unsigned long long>(c.expired));
      std::printf("  copies: heirs made %llu calls, %llu of them delivered; the first %.2f s after a loss\n",
                  static_cast<unsigned long long>(c.sent_by_heirs),
                  static_cast<unsigned long long>(c.delivered_by_heirs), c.first_call);
    }
    if (json_file.is_open()) {
      boost::json::object document = to_json(result.run);
      document["late_share"] = result.late_share;
      document["crashes"] = result.crashes;
      if (options.fleet) {
        document["fleet"] = {{"started", fleet.started},
                             {"settled", fleet.settled},
                             {"bound", fleet.bound},
                             {"trouble", fleet.trouble},
                             {"false_deaths", fleet.false_deaths},
                             {"datagrams", fleet.datagrams},
                             {"bytes", fleet.bytes},
                             {"streams", fleet.streams}};
      }
      if (options.copies > 0) {
        document["copies"] = {{"placed", c.placed},
                              {"refused", c.refused},
                              {"late", c.late},
                              {"won", c.won},
                              {"lost", c.lost},
                              {"inherited", c.inherited},
                              {"expired", c.expired},
                              {"sent_by_heirs", c.sent_by_heirs},
                              {"delivered_by_heirs", c.delivered_by_heirs},
                              {"first_call", c.first_call}};
      }
      json_file << boost::json::serialize(document) << '\n';
    }
    if (stopped) return kInterrupted;
    const bool one_view = !options.fleet || fleet.settled >= 0;
    return result.run.rules_kept() && result.crashes == 0 && one_view ? 0 : kRuleBroken;
  }
};

}  // namespace

void add_drive(CLI::App& app, int& status) {
  CLI::App* sub = app.add_subcommand("drive", "Play a day on loopback sockets against real relays");
  const auto command = std::make_shared<DriveCommand>();
  command->common.add_to(*sub);
  sub->add_option("--seed", command->seed, "Seed of the day")->capture_default_str();
  sub->add_option("--seconds", command->seconds, "Length of the day instead of the scenario's")
      ->check(CLI::Range(1.0, 600.0));
  sub->add_option("--program", command->program, "The relay")->capture_default_str();
  sub->add_flag("--fleet", command->options.fleet,
                "Relays keep a view of the fleet, over a wire with the day's faults");
  sub->add_option("--without", command->options.without,
                  "Break that view on purpose; the tests' build alone knows how");
  sub->add_option("--copies", command->options.copies, "Of what each relay holds, by others; with --fleet")
      ->check(CLI::Range(0, 2))
      ->capture_default_str();
  sub->add_flag("--accept-short", command->options.accept_short, "What too few others hold is taken on too");
  sub->add_option("--lease-ms", command->options.lease_ms, "Of who acts on what was copied")
      ->check(CLI::Range(100, 10000))
      ->capture_default_str();
  sub->add_option("--copies-without", command->options.copies_without,
                  "Break that exchange on purpose; the tests' build alone knows how");
  sub->add_option("--probe-ms", command->options.probe_ms,
                  "Between two probes of that view; its other times follow")
      ->check(CLI::Range(60, 10000))
      ->capture_default_str();
  sub->add_option("--json", command->json, "Write the result as one JSON document");
  sub->add_option("--trace", command->trace, "Write each observation, a line each");
  sub->add_option("--folder", command->folder, "Keep the relays' folders and logs there");
  sub->callback([command, &status] { status = (*command)(); });
}

}  // namespace valedrum::lab
