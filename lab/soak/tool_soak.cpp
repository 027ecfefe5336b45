// valedrum_lab soak: one randomized day on real processes.
#include <unistd.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>

#include "soak/soak.h"
#include "tool.h"

namespace valedrum::lab {
namespace {

namespace fs = std::filesystem;
namespace json = boost::json;

struct SoakCommand {
  std::uint64_t seed = 1;
  double calls = 0, hold_ups = 0;
  unsigned shrink_runs = 0;
  std::string program = "build/myrtlegrade", shim, folder, json_path;

  int operator()() {
    std::ofstream json_file = open_output(json_path);
    std::string own;
    if (folder.empty()) {
      own = (fs::temp_directory_path() / "valedrum-soak-XXXXXX").string();
      if (!::mkdtemp(own.data())) throw ScenarioError(own + ": can't be made");
    }
    SoakOptions options{fs::absolute(program), shim_path(), folder.empty() ? own : folder, &stopped};
    SoakPlan plan = draw_soak(seed, calls > 0 ? std::optional(calls) : std::nullopt);
    if (hold_ups > 0) plan.hold_ups = hold_ups_all_day(hold_ups);
    const SoakResult result = play_soak(plan, options);
    const bool good = result.good();
    if (!good && shrink_runs > 0) plan = shrink(plan, options, shrink_runs);
    print(plan, result);
    if (json_file.is_open()) json_file << json::serialize(to_document(plan, result)) << '\n';
    if (!own.empty()) fs::remove_all(own);
    if (stopped) return kInterrupted;
    return good ? 0 : kRuleBroken;
  }

  // Beside the lab's own program, unless it was named.
  std::string shim_path() const {
    if (!shim.empty()) return fs::absolute(shim);
    return fs::read_symlink("/proc/self/exe").parent_path() / "libvaledrum_shim.so";
  }

  static std::string joined(const std::vector<std::string>& names) {
    std::string text;
    for (const std::string& name : names) text += (text.empty() ? "" : ", ") + name;
    return text;
  }

  static void print(const SoakPlan& plan, const SoakResult& result) {
    const RunResult& run = result.drive.run;
    std::string rules;
    for (const Breach& b : run.breaches) {
      if (rules.find(name_of(b.rule)) == std::string::npos)
        rules += std::string(" ") + std::string(name_of(b.rule));
    }
    std::printf(
        "seed %llu %s%s%s%s: %u relays, %s; requests %llu, delivered %llu, failed %llu, violations %llu, "
        "overdue %zu, starts %u, late %.2f%%\n",
        static_cast<unsigned long long>(plan.seed), result.good() ? "kept" : "BROKEN", rules.c_str(),
        result.failure.empty() ? "" : " ", result.failure.c_str(), plan.scenario.fleet.relays,
        joined(plan.troubles()).c_str(), static_cast<unsigned long long>(run.requests),
        static_cast<unsigned long long>(run.delivered), static_cast<unsigned long long>(run.failed),
        static_cast<unsigned long long>(result.violations), result.drive.overdue_peers.size(),
        result.drive.starts, result.drive.late_share * 100);
    for (const OverduePeer& peer : result.drive.overdue_peers) {
      std::printf("  overdue: relay %u, connected at %.3f s, %s\n", peer.relay, peer.connected,
                  peer.half_way ? "stopped within a request" : "said nothing");
    }
    for (const Breach& b : run.breaches) {
      std::printf("  %s at %.3f s, message %u:\n%s", std::string(name_of(b.rule)).c_str(), seconds(b.at),
                  b.message, b.history.c_str());
    }
    std::fflush(stdout);
  }

  static json::object to_document(const SoakPlan& plan, const SoakResult& result) {
    json::array troubles;
    for (const std::string& name : plan.troubles()) troubles.emplace_back(name);
    json::object document{{"seed", plan.seed},
                          {"good", result.good()},
                          {"failure", result.failure},
                          {"violations", result.violations},
                          {"crashes", result.drive.crashes},
                          {"overdue_peers", result.drive.overdue_peers.size()},
                          {"bulk", plan.bulk},
                          {"copies", plan.copies},
                          {"late_share", result.drive.late_share},
                          {"troubles", troubles}};
    if (result.failure.empty()) document["run"] = to_json(result.drive.run);
    return document;
  }
};

}  // namespace

void add_soak(CLI::App& app, int& status) {
  CLI::App* sub =
      app.add_subcommand("soak", "Play one randomized day with overlapping troubles on real relays");
  const auto command = std::make_shared<SoakCommand>();
  sub->add_option("--seed", command->seed, "Of settings, load and troubles")->capture_default_str();
  sub->add_option("--calls", command->calls,
                  "Share of system calls that fail, in place of most drawn troubles")
      ->check(CLI::Range(0.0, 0.5));
  sub->add_option("--hold-ups", command->hold_ups,
                  "Share of waits, reads, writes and syncs behind which a process is held up, all day")
      ->check(CLI::Range(0.0, 1.0));
  sub->add_option("--shrink", command->shrink_runs, "Further plays to find the troubles that are needed")
      ->check(CLI::Range(0, 20));
  sub->add_option("--program", command->program, "The relay")
      ->capture_default_str()
      ->check(CLI::ExistingFile);
  sub->add_option("--shim", command->shim, "The preloaded library")->check(CLI::ExistingFile);
  sub->add_option("--folder", command->folder, "For logs and state, emptied first; kept");
  sub->add_option("--json", command->json_path, "Result as JSON, to this file");
  sub->callback([command, &status] { status = (*command)(); });
}

}  // namespace valedrum::lab
