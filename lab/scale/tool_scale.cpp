// valedrum_lab scale: hundreds of hollow relays on real sockets.
#include <unistd.h>

#include <boost/json/serialize.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>

#include "fit.h"
#include "scale_run.h"
#include "tool.h"

namespace valedrum::lab {
namespace {

struct TemporaryFolder {  // gone with its owner
  std::string path;
  ~TemporaryFolder() {
    std::error_code ignored;
    if (!path.empty()) std::filesystem::remove_all(path, ignored);
  }
};

struct ScaleCommand {
  std::string day, json;
  std::uint32_t members = 0, relays = kDays;
  static constexpr std::uint32_t kDays = ~0U;  // as many as the day has
  std::uint64_t seed = 1;
  bool plan = false;
  std::vector<std::string> fit;
  scale::RunOptions options;

  int operator()() {
    std::ofstream file = open_output(json);
    if (!fit.empty()) {
      const boost::json::object fitted = scale::fit_files(fit);
      std::fputs(scale::to_text(fitted).c_str(), stdout);
      if (file.is_open()) file << boost::json::serialize(fitted) << '\n';
      return 0;
    }
    if (day.empty()) throw ScenarioError("a day's file is missing");
    scale::DaySpec spec = scale::read_day(day, members);
    if (relays != kDays) spec.fleet.relays = relays;
    const scale::Plan drawn = scale::draw(spec, seed);
    if (plan) {
      std::fputs(scale::to_text(drawn).c_str(), stdout);
      return 0;
    }
    std::string own;
    if (drawn.spec.fleet.relays > 0) {
      if (::access(options.program.c_str(), X_OK) != 0)
        throw ScenarioError(options.program + ": is no program");
      own = (std::filesystem::temp_directory_path() / "valedrum-scale-XXXXXX").string();
      if (!::mkdtemp(own.data())) throw ScenarioError(own + ": can't be made");
      options.folder = own;
    }
    const TemporaryFolder kept{own};
    options.stop = &stopped;
    options.progress = show_progress;
    const boost::json::object document = scale::play(drawn, options);
    std::fputs(scale::summary(document).c_str(), stdout);
    if (file.is_open()) file << boost::json::serialize(document) << '\n';
    if (stopped) return kInterrupted;
    return scale::one_view(document) ? 0 : kRuleBroken;
  }
};

}  // namespace

void add_scale(CLI::App& app, int& status) {
  CLI::App* sub = app.add_subcommand("scale", "Play a day with hundreds of hollow relays on real sockets");
  const auto command = std::make_shared<ScaleCommand>();
  sub->add_option("day", command->day, "A day's file (lab/scenarios/scale)");
  sub->add_option("--members", command->members, "Hollow relays instead of the day's")
      ->check(CLI::Range(2U, scale::kMostMembers));
  sub->add_option("--seed", command->seed, "Seed of the day")->capture_default_str();
  sub->add_option("--program", command->options.program, "The relay, for days that have real ones")
      ->capture_default_str();
  sub->add_option("--relays", command->relays, "Real relays instead of the day's")->check(CLI::Range(0, 30));
  sub->add_option("--json", command->json, "Write the result as one JSON document");
  sub->add_flag("--plan", command->plan, "Say who the members are and what befalls them, and play nothing");
  sub->add_option("--fit", command->fit,
                  "Say what grows how with the members, from at least four --json files");
  sub->callback([command, &status] { status = (*command)(); });
}

}  // namespace valedrum::lab
