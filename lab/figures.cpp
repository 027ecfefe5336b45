#include "figures.h"

#include <algorithm>

namespace valedrum::lab {
namespace {

double per_request(std::uint64_t count, const RunResult& r) {
  return r.requests == 0 ? 0 : static_cast<double>(count) / static_cast<double>(r.requests);
}

double calls(const RunResult& r, vetchhinge::Result result) {
  return per_request(r.calls[static_cast<std::size_t>(result)], r);
}

}  // namespace

const std::vector<Figure>& figures() {
  static const std::vector<Figure> all = {
      {"g", "G", [](const RunResult& r) { return r.g; }},
      {"whole", "worth served, share", [](const RunResult& r) { return r.whole; }},
      {"worst_window", "worth served in the worst 10 s, share",
       [](const RunResult& r) { return r.worst_window; }},
      {"worst_class", "worth served of the worst class, share",
       [](const RunResult& r) { return r.worst_class; }},
      {"failed", "failed, by request", [](const RunResult& r) { return per_request(r.failed, r); }, false},
      {"failed_unsent", "failed and never sent, by request",
       [](const RunResult& r) { return per_request(r.unsent, r); }, false},
      {"refused", "refusals, by request", [](const RunResult& r) { return per_request(r.refused, r); },
       false},
      {"full_calls", "calls turned away, by request",
       [](const RunResult& r) { return calls(r, vetchhinge::Result::full); }, false},
      {"connections", "connections opened, by request",
       [](const RunResult& r) { return per_request(r.connections, r); }, false},
      {"cross_zone", "calls across zones, by request",
       [](const RunResult& r) { return per_request(r.cross_zone, r); }, false},
      {"list_calls", "calls for the list, by request",
       [](const RunResult& r) { return per_request(r.list_calls, r); }, false},
      {"probes", "probes, by request", [](const RunResult& r) { return per_request(r.probes, r); }, false},
      {"fell_over", "cold endpoints pushed over",
       [](const RunResult& r) { return static_cast<double>(r.fell_over); }, false},
      {"p50", "median latency of the first class, seconds",
       [](const RunResult& r) { return r.latencies.empty() ? 0 : r.latencies.front().quantile(0.5); }, false},
      {"p95", "95% latency of the first class, seconds",
       [](const RunResult& r) { return r.latencies.empty() ? 0 : r.latencies.front().quantile(0.95); },
       false},
      {"p99", "99% latency of the first class, seconds",
       [](const RunResult& r) { return r.latencies.empty() ? 0 : r.latencies.front().quantile(0.99); },
       false},
      {"broken", "rules broken, times",
       [](const RunResult& r) {
         double n = 0;
         for (const std::uint64_t b : r.broken) n += static_cast<double>(b);
         return n;
       },
       false},
  };
  return all;
}

const Figure* find_figure(const std::string& name) {
  const auto found = std::ranges::find(figures(), name, &Figure::name);
  return found == figures().end() ? nullptr : &*found;
}

}  // namespace valedrum::lab
