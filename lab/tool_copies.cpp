// valedrum_lab copies: who may act on what was copied, explored; and fleets of relays that make copies.
#include <cmath>
#include <cstdio>
#include <memory>

#include "copies_world.h"
#include "ownership.h"
#include "plays.h"
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

struct CopiesSearch {
  std::size_t days = 1000;
  std::uint64_t seed = 1;
  std::uint32_t most = 24, relays = 0, copies = 0;
  double lose = 0;  // share of the relays that is lost at one moment, in place of drawn faults
  double stall = 0;
  double rate = 0;
  unsigned jobs = std::max(1U, std::thread::hardware_concurrency());
  copies::DisabledSafeguard without = copies::DisabledSafeguard::none;

  CopyDay day(std::uint64_t number) const {
    CopyDay d = copy_day(number, std::max(4U, most));
    if (relays > 0) d.relays = relays;
    if (copies > 0) d.settings.copies = copies;
    if (rate > 0) d.rate = rate;
    if (lose > 0 || stall > 0) {
      d.settings.body_budget = copies::CopiesSettings{}.body_budget;
      d.faults.clear();
      if (lose > 0) d.faults.push_back({CopyFault::lose, 8, 60, lose, 0});
      if (stall > 0) d.faults.push_back({CopyFault::stall, 10, 4, stall, 0});
    }
    d.settings.disabled_safeguard = without;
    return d;
  }

  static void tell(const CopyDay& d, const CopyResult& r) {
    std::printf("seed %llu: %u relays, copies %u, %u groups each\n", static_cast<unsigned long long>(d.seed),
                d.relays, d.settings.copies, d.settings.group_count);
    for (const CopyFaultSpec& f : d.faults) {
      std::printf("%9.4f %s for %.2f s, part %.2f, size %.2f\n", f.at, std::string(name_of(f.kind)).c_str(),
                  f.lasts, f.part, f.size);
    }
    std::printf("%s", r.first.c_str());
  }

  int operator()() {
    std::vector<CopyResult> results(days);
    for_all(
        days, jobs, [&](std::size_t i) { results[i] = play_copies(day(seed + i), &stopped); },
        [&](std::size_t done) { show_progress(static_cast<double>(done) / static_cast<double>(days)); });
    CopyResult all;
    std::size_t broken = 0, played = 0;
    for (std::size_t i = 0; i < days; ++i) {
      CopyResult& r = results[i];
      if (r.stopped) continue;
      ++played;
      if (!r.rules_kept() && ++broken == 1) tell(day(seed + i), r);
      for (std::size_t k = 0; k < kCopyRules; ++k) all.broken[k] += r.broken[k];
      for (const auto count :
           {&CopyResult::messages, &CopyResult::promised, &CopyResult::refused, &CopyResult::delivered,
            &CopyResult::ended, &CopyResult::unavoidable, &CopyResult::calls, &CopyResult::calls_of_heirs,
            &CopyResult::inherited, &CopyResult::handed_back, &CopyResult::expired, &CopyResult::won,
            &CopyResult::frames, &CopyResult::frame_bytes, &CopyResult::groups, &CopyResult::at_stake,
            &CopyResult::saved}) {
        all.*count += r.*count;
      }
      for (const auto list : {&CopyResult::first_calls, &CopyResult::promise_ms})
        (all.*list).insert((all.*list).end(), (r.*list).begin(), (r.*list).end());
    }
    const auto at = [](std::vector<double>& v, double share) {
      std::ranges::sort(v);
      return v.empty() ? std::nan("")
                       : v[static_cast<std::size_t>(share * static_cast<double>(v.size() - 1))];
    };
    const auto n = [](std::uint64_t count) { return static_cast<unsigned long long>(count); };
    std::printf("%zu days played, a rule broken on %zu\n", played, broken);
    for (std::size_t k = 0; k < kCopyRules; ++k) {
      if (all.broken[k] > 0)
        std::printf("  BROKEN %s: %llu times\n", std::string(name_of(static_cast<CopyRule>(k))).c_str(),
                    n(all.broken[k]));
    }
    std::printf(
        "  messages %llu: promised %llu, refused %llu; delivered %llu, ended by a notice %llu, without an "
        "end where "
        "all that knew of it were lost or stopped %llu\n",
        n(all.messages), n(all.promised), n(all.refused), n(all.delivered), n(all.ended), n(all.unavoidable));
    std::printf(
        "  calls %llu, of heirs %llu; inherited %llu, handed back %llu, ended by holders %llu; ownership won "
        "%llu "
        "times; groups %llu\n",
        n(all.calls), n(all.calls_of_heirs), n(all.inherited), n(all.handed_back), n(all.expired), n(all.won),
        n(all.groups));
    std::printf(
        "  held by lost machines with 4 s to go: %llu, delivered or handed back in time %llu; from the loss "
        "to an "
        "heir's call: median %.2f s, 95%% %.2f s\n",
        n(all.at_stake), n(all.saved), at(all.first_calls, 0.5), at(all.first_calls, 0.95));
    std::printf(
        "  to the promise: median %.1f ms, 99%% %.1f ms; a message %.1f frames, %.0f bytes\n",
        at(all.promise_ms, 0.5), at(all.promise_ms, 0.99),
        static_cast<double>(all.frames) / static_cast<double>(std::max<std::uint64_t>(1, all.messages)),
        static_cast<double>(all.frame_bytes) / static_cast<double>(std::max<std::uint64_t>(1, all.messages)));
    if (stopped) return kInterrupted;
    return broken == 0 ? 0 : kRuleBroken;
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
  const auto add_without = [](CLI::App* to, copies::DisabledSafeguard& without) {
    std::map<std::string, copies::DisabledSafeguard> all;
    for (const copies::SafeguardName& n : copies::kSafeguardNames) all.emplace(n.name, n.safeguard);
    to->add_option("--without", without, "Break the exchange on purpose, to see that it is noticed")
        ->transform(CLI::CheckedTransformer(std::move(all), CLI::ignore_case))
        ->type_name("PART");
  };
  add_without(check, b.without);
  check->callback([command, &status] { status = (*command)(); });

  CLI::App* search = sub->add_subcommand("search", "Play random days of relays that make copies");
  const auto seek = std::make_shared<CopiesSearch>();
  search->add_option("--days", seek->days, "Days drawn")
      ->check(CLI::Range(1, 1000000))
      ->capture_default_str();
  search->add_option("--seed", seek->seed, "Seed of the first day")->capture_default_str();
  search->add_option("--most", seek->most, "Relays at most")
      ->check(CLI::Range(4, 1000))
      ->capture_default_str();
  search->add_option("--relays", seek->relays, "Relays, instead of a drawn number")
      ->check(CLI::Range(4, 1000));
  search->add_option("--copies", seek->copies, "Instead of a drawn number")->check(CLI::Range(1, 2));
  search->add_option("--rate", seek->rate, "Messages a second and relay, likewise")
      ->check(CLI::Range(0.01, 100.0));
  search
      ->add_option("--lose", seek->lose, "In place of drawn faults: this share of the relays within a second")
      ->check(CLI::Range(0.0, 0.9));
  search->add_option("--stall", seek->stall, "Likewise: this share is stopped for 4 s")
      ->check(CLI::Range(0.0, 0.9));
  search->add_option("--jobs", seek->jobs, "Days side by side")->check(CLI::Range(1, 1024));
  add_without(search, seek->without);
  search->callback([seek, &status] { status = (*seek)(); });
}

}  // namespace valedrum::lab
