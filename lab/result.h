// What a run measures, its score as the operators state it, and its forms for machines.
#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <boost/json/value.hpp>
#include <string>
#include <vector>

#include "checker.h"
#include "day.h"

namespace valedrum::lab {

inline constexpr std::size_t kResults = 8;  // of vetchhinge::Result
inline constexpr int kRunSchema = 1;        // of the JSON document

// Latencies from 1 ms to 100 s, so fine that a quantile is within 5%.
class Latencies {
 public:
  Latencies();
  void add(double seconds) { histogram_(seconds); }
  double quantile(double q) const;  // seconds; 0 where there is none
  std::size_t count() const;

 private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> histogram_;
};

struct Second {                  // of a day
  double asked = 0, served = 0;  // worth, by the moment of the first try
  std::uint32_t delivered = 0, refused = 0, failed = 0;
  std::array<std::uint32_t, kResults> calls{};  // by outcome
  std::uint32_t held = 0, in_flight = 0;        // at its end
  double latency = 0;                           // sum over what was delivered, seconds
  double cap = 0;                               // sum over relays and lanes, where the policy tells it
};

struct Prices {  // points of G
  double waste = 0, late_fail = 0, connections = 0, cross_zone = 0, probes = 0, refused_calls = 0;
  double sum() const { return waste + late_fail + connections + cross_zone + probes + refused_calls; }
};

struct RunResult {
  std::string scenario, policy;
  std::uint64_t seed = 0;
  std::uint32_t relays = 0;
  bool stopped = false;  // before its end

  double whole = 0, worst_window = 0, worst_class = 0;  // shares of worth asked for
  Prices prices;
  double g = 0;

  std::uint64_t requests = 0, hand_ins = 0, delivered = 0, refused = 0, door = 0, failed = 0, withdrawn = 0;
  std::uint64_t unsent = 0;   // ended as failed though never sent
  std::uint64_t repeats = 0;  // attempts after the first
  std::array<std::uint64_t, kResults> calls{};
  std::uint64_t probes = 0, connections = 0, cross_zone = 0, list_calls = 0, fell_over = 0;
  std::uint64_t messages_handed_over = 0;  // by relays that died with their folder
  std::uint64_t events = 0, steps = 0;
  std::uint64_t fingerprint = 0;     // of all that happened: two runs alike have the same
  std::vector<Latencies> latencies;  // by class, from the first try to the delivery
  std::vector<std::string> classes;
  std::vector<Second> seconds;
  std::vector<double> served_by_relay;  // share of worth asked for
  std::array<std::uint64_t, kRules> broken{};
  std::vector<Breach> breaches;

  RunResult() = default;
  RunResult(const Day& day, std::string policy_name);
  bool rules_kept() const;
};

// What became of each request's worth, and from it the parts of G.
class Ledger {
 public:
  explicit Ledger(const Day& day);
  void asked(Time first, std::size_t cls, std::size_t relay);
  // Worth now of a message that was first handed in then; 0 after its time.
  double worth(Time first, std::size_t cls, Time now) const;
  void served(Time first, std::size_t cls, std::size_t relay, double worth);
  // Fills in the parts of G, from what the result has counted so far too.
  void close(RunResult& result, double work_asked, double work_wasted, std::uint64_t late_fails) const;

 private:
  std::size_t second(Time at) const;
  const Day* day_;
  std::vector<Second> seconds_;
  std::vector<double> asked_class_, served_class_, asked_relay_, served_relay_;
};

// The place of a day's G between its floor and its top, as BENCH has it.
double score(double g, double floor, double top);

boost::json::object to_json(const RunResult& result);
std::string to_csv(const RunResult& result);  // a line for each second, with a head

}  // namespace valedrum::lab
