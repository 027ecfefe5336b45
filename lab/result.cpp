#include "result.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cmath>
#include <sstream>

namespace valedrum::lab {
namespace {

// Weights and prices of the operators' score.
constexpr double kWhole = 0.4, kWorstWindow = 0.4, kWorstClass = 0.2;
constexpr std::size_t kWindow = 10;  // seconds
constexpr double kWaste = 0.043, kLateFail = 0.04, kConnection = 0.04, kCrossZone = 0.033, kProbe = 0.01,
                 kRefusedCall = 0.05;
constexpr double kLeastSpan = 0.1;  // of floor and top

constexpr double kLatencyLeast = 0.001, kLatencyMost = 100;
constexpr unsigned kLatencyBins = 240;

double share(double part, double whole) { return whole > 0 ? part / whole : 0; }

}  // namespace

Latencies::Latencies()
    : histogram_(boost::histogram::make_histogram(Axis(kLatencyBins, kLatencyLeast, kLatencyMost))) {}

std::size_t Latencies::count() const {
  return static_cast<std::size_t>(
      boost::histogram::algorithm::sum(histogram_, boost::histogram::coverage::all));
}

double Latencies::quantile(double q) const {
  const double wanted = q * static_cast<double>(count());
  double seen = 0;
  if (wanted <= 0) return 0;
  for (auto&& bin : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
    seen += *bin;
    if (seen >= wanted) return std::clamp(bin.bin().upper(), kLatencyLeast, kLatencyMost);
  }
  return kLatencyMost;
}

RunResult::RunResult(const Day& day, std::string policy_name)
    : scenario(day.scenario.name),
      policy(std::move(policy_name)),
      seed(day.seed),
      relays(static_cast<std::uint32_t>(day.relays.size())),
      latencies(day.scenario.classes.size()) {
  for (const ClassSpec& c : day.scenario.classes) classes.push_back(c.name);
}

bool RunResult::rules_kept() const {
  return std::ranges::all_of(broken, [](std::uint64_t n) { return n == 0; });
}

Ledger::Ledger(const Day& day)
    : day_(&day),
      seconds_(static_cast<std::size_t>(std::ceil(day.scenario.seconds))),
      asked_class_(day.scenario.classes.size()),
      served_class_(day.scenario.classes.size()),
      asked_relay_(day.relays.size()),
      served_relay_(day.relays.size()) {}

std::size_t Ledger::second(Time at) const {
  return std::min(seconds_.size() - 1, static_cast<std::size_t>(seconds(at)));
}

void Ledger::asked(Time first, std::size_t cls, std::size_t relay) {
  const double worth = day_->scenario.classes[cls].worth;
  seconds_[second(first)].asked += worth;
  asked_class_[cls] += worth;
  asked_relay_[relay] += worth;
}

double Ledger::worth(Time first, std::size_t cls, Time now) const {
  const ClassSpec& c = day_->scenario.classes[cls];
  const double age = seconds(now - first);
  if (age <= c.aim) return c.worth;
  if (age > c.deadline) return 0;
  return c.worth * (1 - (1 - c.late_worth) * (age - c.aim) / (c.deadline - c.aim));
}

void Ledger::served(Time first, std::size_t cls, std::size_t relay, double worth) {
  seconds_[second(first)].served += worth;
  served_class_[cls] += worth;
  served_relay_[relay] += worth;
}

void Ledger::close(RunResult& r, double work_asked, double work_wasted, std::uint64_t late_fails) const {
  r.seconds.resize(std::max(r.seconds.size(), seconds_.size()));
  double asked = 0, served = 0;
  for (std::size_t i = 0; i < seconds_.size(); ++i) {
    r.seconds[i].asked = seconds_[i].asked;
    r.seconds[i].served = seconds_[i].served;
    asked += seconds_[i].asked;
    served += seconds_[i].served;
  }
  r.whole = share(served, asked);
  r.worst_window = r.whole;
  for (std::size_t from = 0; from + kWindow <= seconds_.size(); ++from) {
    double window_asked = 0, window_served = 0;
    for (std::size_t i = from; i < from + kWindow; ++i) {
      window_asked += seconds_[i].asked;
      window_served += seconds_[i].served;
    }
    if (window_asked > 0) r.worst_window = std::min(r.worst_window, window_served / window_asked);
  }
  r.worst_class = r.whole;
  for (std::size_t c = 0; c < asked_class_.size(); ++c) {
    if (asked_class_[c] > 0) r.worst_class = std::min(r.worst_class, served_class_[c] / asked_class_[c]);
  }
  for (std::size_t i = 0; i < asked_relay_.size(); ++i) {
    r.served_by_relay.push_back(share(served_relay_[i], asked_relay_[i]));
  }
  const auto n = static_cast<double>(r.requests);
  r.prices.waste = kWaste * share(work_wasted, work_asked);
  r.prices.late_fail = kLateFail * share(static_cast<double>(late_fails), n);
  r.prices.connections = kConnection * share(static_cast<double>(r.connections), n);
  r.prices.cross_zone = kCrossZone * share(static_cast<double>(r.cross_zone), n);
  r.prices.probes = kProbe * share(static_cast<double>(r.probes), n);
  const auto full = static_cast<std::size_t>(vetchhinge::Result::full);
  r.prices.refused_calls = kRefusedCall * share(static_cast<double>(r.calls[full]), n);
  r.g = kWhole * r.whole + kWorstWindow * r.worst_window + kWorstClass * r.worst_class - r.prices.sum();
}

double score(double g, double floor, double top) { return 1 - (top - g) / std::max(kLeastSpan, top - floor); }

boost::json::object to_json(const RunResult& r) {
  namespace json = boost::json;
  json::object o;
  o["schema"] = kRunSchema;
  o["scenario"] = r.scenario;
  o["seed"] = r.seed;
  o["policy"] = r.policy;
  o["relays"] = r.relays;
  o["stopped"] = r.stopped;
  o["g"] = r.g;
  o["parts"] = {{"whole", r.whole}, {"worst_window", r.worst_window}, {"worst_class", r.worst_class}};
  o["prices"] = {{"waste", r.prices.waste},
                 {"late_fail", r.prices.late_fail},
                 {"connections", r.prices.connections},
                 {"cross_zone", r.prices.cross_zone},
                 {"probes", r.prices.probes},
                 {"refused_calls", r.prices.refused_calls}};
  json::object rules;
  for (std::size_t i = 0; i < kRules; ++i) {
    if (r.broken[i] > 0) rules[name_of(static_cast<Rule>(i))] = r.broken[i];
  }
  o["rules"] = std::move(rules);
  json::array breaches;
  for (const Breach& b : r.breaches) {
    breaches.push_back(
        {{"rule", name_of(b.rule)}, {"at", seconds(b.at)}, {"message", b.message}, {"history", b.history}});
  }
  o["breaches"] = std::move(breaches);
  o["counts"] = {{"requests", r.requests},
                 {"hand_ins", r.hand_ins},
                 {"delivered", r.delivered},
                 {"refused", r.refused},
                 {"turned_away", r.door},
                 {"failed", r.failed},
                 {"withdrawn", r.withdrawn},
                 {"failed_unsent", r.unsent},
                 {"repeats", r.repeats},
                 {"probes", r.probes},
                 {"connections", r.connections},
                 {"cross_zone", r.cross_zone},
                 {"list_calls", r.list_calls},
                 {"fell_over", r.fell_over},
                 {"came_again", r.messages_handed_over},
                 {"events", r.events},
                 {"steps", r.steps},
                 {"fingerprint", r.fingerprint}};
  json::object calls;
  for (std::size_t i = 0; i < kResults; ++i) calls[name_of(static_cast<vetchhinge::Result>(i))] = r.calls[i];
  o["calls"] = std::move(calls);
  json::object latency;
  for (std::size_t c = 0; c < r.classes.size(); ++c) {
    const Latencies& l = r.latencies[c];
    latency[r.classes[c]] = {
        {"count", l.count()}, {"p50", l.quantile(0.5)}, {"p95", l.quantile(0.95)}, {"p99", l.quantile(0.99)}};
  }
  o["latency"] = std::move(latency);
  json::array seconds_out;
  for (const Second& s : r.seconds) {
    json::array calls_out(s.calls.begin(), s.calls.end());
    seconds_out.push_back({{"asked", s.asked},
                           {"served", s.served},
                           {"delivered", s.delivered},
                           {"refused", s.refused},
                           {"failed", s.failed},
                           {"held", s.held},
                           {"in_flight", s.in_flight},
                           {"cap", s.cap},
                           {"latency", s.delivered > 0 ? s.latency / s.delivered : 0},
                           {"calls", std::move(calls_out)}});
  }
  o["seconds"] = std::move(seconds_out);
  o["served_by_relay"] = json::array(r.served_by_relay.begin(), r.served_by_relay.end());
  return o;
}

std::string to_csv(const RunResult& r) {
  std::ostringstream text;
  text << "second,asked,served,delivered,refused,failed,held,in_flight,cap,latency";
  for (std::size_t i = 0; i < kResults; ++i) text << ",calls_" << name_of(static_cast<vetchhinge::Result>(i));
  text << '\n';
  for (std::size_t i = 0; i < r.seconds.size(); ++i) {
    const Second& s = r.seconds[i];
    text << i << ',' << s.asked << ',' << s.served << ',' << s.delivered << ',' << s.refused << ','
         << s.failed << ',' << s.held << ',' << s.in_flight << ',' << s.cap << ','
         << (s.delivered > 0 ? s.latency / s.delivered : 0);
    for (const std::uint32_t n : s.calls) text << ',' << n;
    text << '\n';
  }
  return text.str();
}

}  // namespace valedrum::lab
