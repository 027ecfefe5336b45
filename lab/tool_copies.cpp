// valedrum_lab copies: who may act on what was copied, explored.
#include <cstdio>
#include <memory>

#include "ownership.h"
#include "tool.h"

namespace valedrum::lab {
namespace {

struct CopiesCheck {
  OwnershipBounds bounds;

  int operator()() {
    bounds.stop = &stopped;
    const OwnershipResult r = explore(bounds);
    std::printf("%zu states, %zu steps in %.1f s: %s\n", r.states, r.steps, r.seconds,
                !r.broken.empty() ? "broken"
                : r.whole         ? "all there are within the bounds"
                                  : "the first ones only");
    std::printf(
        "  ownership won %zu times, calls left %zu times, %zu of them of an heir, ended as failed %zu\n",
        r.takeovers, r.calls, r.calls_after_takeover, r.ends_unknown);
    for (const std::string& line : r.story) std::printf("  %s\n", line.c_str());
    if (!r.broken.empty()) std::printf("  BROKEN: %s\n", r.broken.c_str());
    if (stopped) return kInterrupted;
    return r.broken.empty() ? 0 : kRuleBroken;
  }
};

}  // namespace

void add_copies(CLI::App& app, int& status) {
  CLI::App* sub = app.add_subcommand("copies", "Copies of what a relay holds (docs/fleet.md)");
  sub->require_subcommand(1);
  CLI::App* check =
      sub->add_subcommand("check", "Explore who may act on a message, in every order of events");
  const auto command = std::make_shared<CopiesCheck>();
  OwnershipBounds& b = command->bounds;
  check->add_option("--leases", b.ticks, "How long a story is")
      ->check(CLI::Range(0, 20))
      ->capture_default_str();
  check->add_option("--crashes", b.crashes, "Processes killed at most")->capture_default_str();
  check->add_option("--losses", b.losses, "Machines lost with their folder at most")->capture_default_str();
  check->add_option("--questions", b.questions, "Questions for votes at most")->capture_default_str();
  check->add_option("--attempts", b.attempts, "Of the message, at most")
      ->check(CLI::Range(1, 6))
      ->capture_default_str();
  check->add_option("--copies", b.copies, "Of its body")->check(CLI::Range(1, 2))->capture_default_str();
  check->add_flag("--once", b.once, "Work that may not be repeated");
  check->add_option("--most-states", b.most_states, "Then it ends")->capture_default_str();
  std::map<std::string, copies::Without> all;
  for (const copies::WithoutName& n : copies::kWithoutNames) all.emplace(n.name, n.without);
  check->add_option("--without", b.without, "Break the exchange on purpose, to see that it is noticed")
      ->transform(CLI::CheckedTransformer(std::move(all), CLI::ignore_case))
      ->type_name("PART");
  check->callback([command, &status] { status = (*command)(); });
}

}  // namespace valedrum::lab
