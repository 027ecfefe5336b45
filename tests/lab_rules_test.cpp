// Each rule of the checker is broken on purpose by a policy that commits one sin, and is named. The product
// keeps all of them on the same days.
#include <gtest/gtest.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <set>

#include "checker.h"
#include "copy_holders.h"
#include "plays.h"
#include "policy.h"
#include "scenario.h"
#include "world.h"

namespace valedrum::lab {
namespace {

using namespace std::chrono_literals;
using vetchhinge::Action;
using vetchhinge::Event;
using vetchhinge::Fail;
using vetchhinge::HostId;
using vetchhinge::HostList;
using vetchhinge::HostState;
using vetchhinge::Message;
using vetchhinge::MessageId;
using vetchhinge::Outcome;
using vetchhinge::Refuse;
using vetchhinge::Result;
using vetchhinge::Send;

// The product, with its events and actions spoilt.
class Sinner : public Policy {
 public:
  Sinner(Rule sin, vetchhinge::Settings settings, std::size_t relay, Truth& truth)
      : sin_(sin), inner_(policy(kProduct)(settings, relay, truth)) {}

  std::vector<Action> step(Time now, std::span<const Event> events) override {
    std::vector<Event> heard;
    std::vector<Action> extra;
    for (const Event& e : events) {
      if (const auto* m = std::get_if<Message>(&e)) {
        messages_.emplace(m->id, *m);
        if (sin_ == Rule::lost && ++seen_ % 10 == 0) continue;
        arrived(now, *m, extra);
      }
      if (const auto* o = std::get_if<Outcome>(&e)) ended(now, *o, extra);
      if (const auto* l = std::get_if<HostList>(&e)) listed(now, *l);
      heard.push_back(e);
    }
    std::vector<Action> actions = std::move(extra);  // before the module ends what they are for
    for (const Action& a : inner_->step(now, heard)) act(a, actions);
    while (!kept_back_.empty() && kept_back_.begin()->first <= now) {
      actions.emplace_back(Fail{kept_back_.begin()->second});
      kept_back_.erase(kept_back_.begin());
    }
    return actions;
  }

 private:
  void arrived(Time now, const Message& m, std::vector<Action>& extra) {
    for (const auto& [host, since] : barred_) {
      if (sin_ == Rule::drain_grace && destinations_.at(host) == m.destination && now > since + 2200ms) {
        extra.emplace_back(Send{m.id, host, 1s});
      }
    }
    const auto wait = waits_.find(m.destination);
    if (sin_ == Rule::told_wait && wait != waits_.end() && now < wait->second) {
      extra.emplace_back(Send{m.id, hosts_.at(m.destination), 1s});
    }
    for (const auto& [host, destination] : destinations_) {
      if (sin_ != Rule::foreign_endpoint || destination == m.destination) continue;
      extra.emplace_back(Send{m.id, host, 1s});
      break;
    }
    if (sin_ == Rule::invented)
      extra.emplace_back(Send{MessageId(4000000000), destinations_.begin()->first, 1s});
  }

  void ended(Time now, const Outcome& o, std::vector<Action>& extra) {
    const Message& m = messages_.at(o.id);
    if (o.wait > 0us) waits_[m.destination] = now + o.wait;
    const bool ran = o.result == Result::timed_out || o.result == Result::reset || o.result == Result::error;
    const bool again = (sin_ == Rule::effect_twice && m.cls == 1 && ran) ||
                       (sin_ == Rule::attempts && o.result != Result::delivered);
    if (!again || o.terminal) return;
    extra.emplace_back(Send{o.id, hosts_.at(m.destination), 1s});
    again_.insert(o.id);
  }

  void listed(Time now, const HostList& list) {
    for (const auto& e : list.entries) {
      destinations_[e.host] = e.destination;
      if (e.state == HostState::running) {
        hosts_[e.destination] = e.host;
        barred_.erase(e.host);
      } else {
        barred_.emplace(e.host, now);
      }
    }
  }

  void act(const Action& a, std::vector<Action>& actions) {
    const auto* fail = std::get_if<Fail>(&a);
    if (sin_ == Rule::held_back && fail) {
      kept_back_.emplace(messages_.at(fail->id).valid_until - 30ms, fail->id);
      return;
    }
    if (sin_ == Rule::effect_twice && fail && again_.contains(fail->id)) return;
    actions.push_back(a);
    if (sin_ == Rule::two_answers && fail) actions.push_back(a);
    if (sin_ == Rule::second_copy && std::holds_alternative<Send>(a)) actions.push_back(a);
  }

  Rule sin_;
  std::unique_ptr<Policy> inner_;
  std::map<MessageId, Message> messages_;
  std::map<HostId, vetchhinge::DestinationId> destinations_;
  std::map<vetchhinge::DestinationId, HostId> hosts_;
  std::map<HostId, Time> barred_;
  std::map<vetchhinge::DestinationId, Time> waits_;
  std::multimap<Time, MessageId> kept_back_;
  std::set<MessageId> again_;
  int seen_ = 0;
};

Scenario day_with(const std::string& fault) {
  return parse_scenario(
      "version = 1\nname = 'rules'\nseconds = 25\n[fleet]\nrelays = 6\nload = 0.9\n" + fault, "rules");
}

struct Case {
  Rule sin;
  std::string fault;
};

class Rules : public testing::TestWithParam<Case> {};

TEST_P(Rules, ASinIsNamedWithItsHistoryAndTheProductCommitsNone) {
  const auto& [sin, fault] = GetParam();
  const Scenario scenario = day_with(fault);
  const Day day = draw(scenario, 5);
  const PolicyMaker sinner = [sin = sin](vetchhinge::Settings s, std::size_t relay,
                                         Truth& truth) -> std::unique_ptr<Policy> {
    if (sin == Rule::cold_pushed_over) return textbook("fixed_cap")(std::move(s), relay, truth);
    return std::make_unique<Sinner>(sin, std::move(s), relay, truth);
  };
  const RunResult broken = play(day, sinner);
  EXPECT_GT(broken.broken[static_cast<std::size_t>(sin)], 0);
  const auto breach = std::ranges::find(broken.breaches, sin, &Breach::rule);
  ASSERT_NE(breach, broken.breaches.end());
  EXPECT_GT(breach->at, Time{});
  if (sin != Rule::invented && sin != Rule::two_answers) {
    const char* const begins = sin == Rule::cold_pushed_over ? "a witness" : "handed_in";
    EXPECT_NE(breach->history.find(begins), std::string::npos) << breach->history;
  }
  const RunResult kept = play(day, policy(kProduct));
  EXPECT_TRUE(kept.rules_kept());
  EXPECT_GT(kept.delivered, 300);
}

constexpr const char* kOutage = "[[fault]]\nkind = 'outage'\nat = 5\nlasts = 6\npart = 0.4\n";
constexpr const char* kHung = "[[fault]]\nkind = 'hung'\nat = 5\nlasts = 8\npart = 0.4\n";
constexpr const char* kDrain = "[[fault]]\nkind = 'drain'\nat = 5\nlasts = 16\npart = 0.9\n";
constexpr const char* kLowered =
    "[[fault]]\nkind = 'lower_limit'\nat = 5\nlasts = 9\npart = 0.9\nsize = 0.2\n";
constexpr const char* kNone = "";

INSTANTIATE_TEST_SUITE_P(All, Rules,
                         testing::Values(Case{Rule::second_copy, kNone}, Case{Rule::effect_twice, kHung},
                                         Case{Rule::attempts, kOutage}, Case{Rule::drain_grace, kDrain},
                                         Case{Rule::told_wait, kLowered},
                                         Case{Rule::cold_pushed_over, kOutage}, Case{Rule::lost, kNone},
                                         Case{Rule::held_back, kHung}, Case{Rule::foreign_endpoint, kNone},
                                         Case{Rule::invented, kNone}, Case{Rule::two_answers, kHung}),
                         [](const auto& c) { return std::string(name_of(c.param.sin)); });

// The page's bound to the letter: more than N + 2 x root of N + 2 calls in the rule's time, N being what the
// settings allow the host at that moment; and over two thirds of them from relays that had been told.
TEST(LabRules, AColdHostFallsOfMoreThanThePageAllows) {
  const Day day = draw(day_with(""), 3);
  const FleetSpec& fleet = day.scenario.fleet;
  const PartnerSpec& partner = day.partners[day.endpoints[0].partner];
  const double capacity = partner.capacity / static_cast<double>(partner.endpoints.size());
  const auto broken = [&](int calls, int told, Duration after, Duration apart) {
    Checker checker(day);
    checker.see({.at = Time(1s), .what = What::host_down});
    for (std::uint32_t relay = 0; static_cast<int>(relay) < told; ++relay) {
      checker.see({.at = Time(2s), .what = What::outcome, .relay = relay, .result = Result::connect_failed});
    }
    checker.see({.at = Time(3s), .what = What::host_back});
    for (std::uint32_t relay = 0; static_cast<int>(relay) < calls; ++relay) {
      const Time at = Time(3s) + after + relay * apart;
      checker.see({.at = at, .what = What::arrived, .relay = relay});
    }
    return checker.count(Rule::cold_pushed_over) > 0;
  };
  for (const Duration after : {Duration(0s), Duration(4s)}) {
    const double warm = fleet.start_capacity + (1 - fleet.start_capacity) * seconds(after) / fleet.warm_after;
    const double n = fleet.overload_factor * warm * capacity * fleet.overload_for;
    const double slack = n < 30 ? 3 * std::sqrt(n) + 3 : 2 * std::sqrt(n) + 2;  // STANDING.md, renewed
    const int most = static_cast<int>(std::floor(n + slack));
    EXPECT_FALSE(broken(most, most, after, 0s));
    EXPECT_TRUE(broken(most + 1, most + 1, after, 0s));
    const int two_thirds = 2 * (most + 1) / 3;
    EXPECT_FALSE(broken(most + 1, two_thirds, after, 0s)) << "two thirds of the fall, and no more";
    EXPECT_TRUE(broken(most + 1, two_thirds + 1, after, 0s));
    EXPECT_FALSE(broken(most + 1, most + 1, after, span(fleet.overload_for / most) + 1us)) << "spread";
  }
  EXPECT_FALSE(broken(1000, 1000, span(fleet.warm_after) + 1us, 0s)) << "warm again";
}

// A second effect of work that may not be repeated counts also where its message is over, as by its heir's
// delivery.
TEST(LabRules, AnEffectOfAMessageThatIsOverIsCounted) {
  const Day day = draw(day_with(""), 3);
  std::uint32_t once = 0;
  while (day.scenario.classes[once].effect != vetchhinge::Effect::at_most_once) ++once;
  constexpr std::uint32_t kMessage = 7;
  Checker checker(day);
  checker.see({.at = Time(1s), .what = What::handed_in, .message = kMessage, .cls = once, .until = Time(9s)});
  checker.see({.at = Time(1s), .what = What::taken, .message = kMessage});
  const auto run_once = [&](Time at) {
    checker.see({.at = at, .what = What::sent, .message = kMessage});
    checker.see({.at = at, .what = What::executed, .message = kMessage});
    checker.see({.at = at, .what = What::outcome, .message = kMessage, .result = Result::delivered});
  };
  run_once(Time(2s));
  EXPECT_EQ(checker.count(Rule::effect_twice), 0U);
  run_once(Time(3s));
  EXPECT_EQ(checker.count(Rule::effect_twice), 1U);
}

// Restarts, cuts, lies of the list: the product keeps the rules, and each message has its end.
TEST(LabFaults, TheProductKeepsTheRulesUnderEachKind) {
  for (const std::string kind :
       {"kill",     "restart", "rolling", "upgrade",   "outage", "single", "silent",      "hung",
        "slow",     "failing", "spoilt",  "flapping",  "shut",   "drain",  "lower_limit", "zone_down",
        "zone_cut", "lossy",   "resets",  "discovery", "crowd",  "hot"}) {
    const std::string size = kind == "slow"       ? "8"
                             : kind == "crowd"    ? "2"
                             : kind == "flapping" ? "0.7"
                                                  : "0.3";
    const std::string fault =
        "[[fault]]\nkind = '" + kind + "'\nat = 6\nlasts = 6\npart = 0.4\nsize = " + size + "\n";
    for (const char* kept : {"kept = true\n", "kept = false\n"}) {
      const RunResult r = play(draw(day_with(fault + kept), 3), policy(kProduct));
      EXPECT_TRUE(r.rules_kept()) << kind << " " << kept << (r.breaches.empty() ? "" : r.breaches[0].history);
      EXPECT_GT(r.whole, 0.4) << kind;
    }
  }
}

// What is taken and copied to relay 1 has no end by 0.3 s after its time. Whether that is a loss follows from
// who held it: in traced plays of soak seed 649 the relay and both holders were among six of eight that were
// killed together, and nobody was left to end it.
class CopiedMessage : public testing::Test {
 protected:
  CopiedMessage()
      : day_(draw(parse_scenario("version = 1\nname = \"copied\"\nseconds = 10\n", "copied"), 1)),
        checker_(day_,
                 {.copied = true, .heirs = 3s, .holders = [this](std::uint32_t) { return holders_(); }}) {
    see({.at = at(1s), .what = What::handed_in, .relay = 0, .message = 5, .until = at(2s)});
    see({.at = at(1s), .what = What::taken, .relay = 0, .message = 5});
  }
  static Time at(Duration since_start) { return Time(since_start); }
  void see(const Observation& o) { checker_.see(o); }
  void kill(std::uint32_t relay) {
    see({.at = at(1500ms), .what = What::died, .relay = relay, .kept = true});
  }
  std::size_t lost_by(Duration since_start) {
    checker_.finish(at(since_start));
    return checker_.count(Rule::lost);
  }

  void tell_to_end(std::uint32_t relay) { see({.at = at(1400ms), .what = What::leaving, .relay = relay}); }

  std::function<std::vector<std::uint32_t>()> holders_ = [] { return std::vector<std::uint32_t>{1}; };
  Day day_;
  Checker checker_;
};

TEST_F(CopiedMessage, IsLostWhereItsHolderRuns) {
  kill(0);
  EXPECT_EQ(lost_by(2400ms), 1U);
}

TEST_F(CopiedMessage, IsLostWhereItsRelayRuns) {
  kill(1);
  EXPECT_EQ(lost_by(2400ms), 1U);
}

TEST_F(CopiedMessage, IsOwedAfterTheFirstReturnWhereAllThatHeldItAreDown) {
  kill(0);
  kill(1);
  EXPECT_EQ(lost_by(2400ms), 0U);
  see({.at = at(4s), .what = What::ready, .relay = 1});
  EXPECT_EQ(lost_by(5400ms), 0U);
  EXPECT_EQ(lost_by(7100ms), 1U) << "1.5 s after its holder is ready, while its relay is down still";
}

TEST_F(CopiedMessage, IsEndedInTimeByTheFirstThatReturns) {
  kill(0);
  kill(1);
  see({.at = at(4s), .what = What::ready, .relay = 1});
  see({.at = at(4500ms), .what = What::failed, .relay = 1, .message = 5});
  EXPECT_EQ(lost_by(9s), 0U);
}

// A process that was told to end runs on for seconds, and can tell what it holds: excused from its SIGTERM
// on, it could sit on every message.
TEST_F(CopiedMessage, IsLostWhereItsHolderWasToldToEndAndRunsStill) {
  tell_to_end(1);
  kill(0);
  EXPECT_EQ(lost_by(2400ms), 1U);
}

TEST_F(CopiedMessage, IsLostWhereItsRelayWasToldToEndAndRunsStill) {
  tell_to_end(0);
  kill(1);
  EXPECT_EQ(lost_by(2400ms), 1U);
}

TEST_F(CopiedMessage, IsOwedAfterTheFirstReturnWhereAHolderEndedAfterItsSignal) {
  tell_to_end(1);
  kill(0);
  kill(1);
  EXPECT_EQ(lost_by(2400ms), 0U);
  see({.at = at(4s), .what = What::ready, .relay = 1});
  EXPECT_EQ(lost_by(5600ms), 1U);
}

// A holder that runs and says so late is no excuse for the 0.3 s.
TEST_F(CopiedMessage, IsLostWhereItsHolderTellsTenSecondsLate) {
  kill(0);
  see({.at = at(12s), .what = What::failed, .relay = 1, .message = 5});
  EXPECT_EQ(lost_by(13s), 1U);
}

// Who held it is what logs say: one that logs a copy and keeps none is a holder that runs, and tells nothing.
TEST_F(CopiedMessage, IsLostWhereAHolderThatRunsOnlyLoggedItsCopy) {
  std::string folder = (std::filesystem::temp_directory_path() / "copy-holders-XXXXXX").string();
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  const auto log = [&](std::uint32_t relay, const char* line) {
    std::filesystem::create_directories(folder + "/relay-" + std::to_string(relay));
    std::ofstream(folder + "/relay-" + std::to_string(relay) + "/log") << line << '\n';
  };
  log(0, "myrtlegrade trace 1.000 0000000000000005 taken");
  log(1, "myrtlegrade trace 1.001 0000000000000005 copy_held from=n0 body=1 epoch=1");
  log(2, "myrtlegrade trace 1.001 0000000000000005 copy_held from=n0 body=1 epoch=1");
  log(3, "myrtlegrade trace 1.001 0000000000000006 copy_held from=n0 body=1 epoch=1");
  holders_ = [&] { return copy_holders(folder, 4, "0000000000000005"); };
  EXPECT_EQ(holders_(), (std::vector<std::uint32_t>{1, 2}));
  kill(0);
  kill(1);
  EXPECT_EQ(lost_by(2400ms), 1U) << "relay 2 runs";
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace valedrum::lab
