#include "day.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace valedrum::lab {
namespace {

enum Stream : std::uint64_t { kSizes = 1, kPartners, kRelays, kFaults, kSeeds };

constexpr std::uint32_t kMostEndpoints = 4;  // of a partner
constexpr double kPaceSpread = 0.5;          // of the partners' paces (sigma)
constexpr double kLeanPull = 2.0;            // how far a lean kind goes to one end
constexpr double kRoughRate = 0.5;           // the list's figure may be so far off

// Places by a law of Zipf, adding up to 1.
std::vector<double> zipf(std::size_t n, double exponent) {
  std::vector<double> shares(n);
  for (std::size_t i = 0; i < n; ++i) shares[i] = std::pow(static_cast<double>(i + 1), -exponent);
  const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
  for (double& share : shares) share /= sum;
  return shares;
}

std::size_t weighted(const std::vector<double>& weights, Random& random) {
  double at = random.unit() * std::accumulate(weights.begin(), weights.end(), 0.0);
  for (std::size_t i = 0; i + 1 < weights.size(); ++i) {
    if ((at -= weights[i]) < 0) return i;
  }
  return weights.size() - 1;
}

double mean_work(const Scenario& s) {
  double all = 0;
  for (const ClassSpec& c : s.classes) all += c.share * (c.work.low + c.work.high) / 2;
  return all;
}

class Drawer {
 public:
  Drawer(const Scenario& scenario, std::uint64_t seed) : s_(scenario), seed_(seed) {
    day_.scenario = scenario;
    day_.seed = seed;
  }

  Day draw() {
    Random sizes(seed_, kSizes);
    day_.load = sizes.between(s_.fleet.load);
    day_.full_rate = s_.fleet.messages_per_relay * s_.fleet.relays;
    zones(sizes);
    partners(static_cast<std::uint32_t>(std::lround(sizes.between(s_.fleet.endpoints))),
             sizes.between(s_.fleet.per_partner));
    relays();
    Random random(seed_, kFaults);
    for (const FaultSpec& f : s_.faults) fault(f, random);
    std::ranges::stable_sort(day_.faults, {}, &Fault::at);
    return std::move(day_);
  }

 private:
  void zones(Random& random) {
    day_.latency.assign(s_.fleet.zones, std::vector<double>(s_.fleet.zones));
    for (std::uint32_t a = 0; a < s_.fleet.zones; ++a) {
      for (std::uint32_t b = 0; b <= a; ++b) {
        day_.latency[a][b] = day_.latency[b][a] =
            random.between(a == b ? s_.network.within : s_.network.between);
      }
    }
  }

  void partners(std::uint32_t endpoints, double per_partner) {
    Random random(seed_, kPartners);
    const auto n = std::max<std::size_t>(
        1, static_cast<std::size_t>(std::lround(endpoints / std::max(1.0, per_partner))));
    const std::vector<double> shares = zipf(n, s_.fleet.zipf);
    std::vector<std::uint32_t> counts(n, 1);
    for (std::uint32_t left = endpoints - std::min<std::uint32_t>(endpoints, n); left > 0; --left) {
      std::vector<double> open(n);
      for (std::size_t p = 0; p < n; ++p) open[p] = counts[p] < kMostEndpoints ? shares[p] : 0;
      if (std::ranges::all_of(open, [](double o) { return o == 0; })) break;
      ++counts[weighted(open, random)];
    }
    for (std::size_t p = 0; p < n; ++p) {
      day_.partners.push_back(
          partner(random, shares[p], static_cast<double>(p) / static_cast<double>(n), counts[p]));
      for (std::uint32_t e = 0; e < counts[p]; ++e) {
        day_.partners.back().endpoints.push_back(static_cast<std::uint32_t>(day_.endpoints.size()));
        // In turns over the zones: no zone is without endpoints.
        const auto zone = static_cast<std::uint32_t>(day_.endpoints.size()) % s_.fleet.zones;
        day_.endpoints.push_back({static_cast<std::uint32_t>(p), zone, random.chance(s_.discovery.stale)});
      }
      // What a partner's messages may go to is known in part at least.
      day_.endpoints[day_.partners.back().endpoints.front()].listed_late = false;
    }
  }

  PartnerSpec partner(Random& random, double share, double rank, std::uint32_t endpoints) {
    PartnerSpec p;
    std::vector<double> kinds;
    for (const KindSpec& k : s_.kinds)
      kinds.push_back(k.share * std::exp(k.lean * kLeanPull * (1 - 2 * rank)));
    p.kind = static_cast<std::uint32_t>(weighted(kinds, random));
    const KindSpec& kind = s_.kinds[p.kind];
    p.share = share;
    p.full_rate = share * day_.full_rate;
    p.pace = random.lognormal(kPaceSpread);
    p.limit = kind.limit;
    const double rate =
        std::max(p.full_rate * random.between(kind.headroom), random.between(kind.least_rate));
    const double spare = random.between(kind.spare);
    p.limit_rate = kind.limit == Limit::none ? 0 : rate;
    p.capacity = kind.limit == Limit::none ? rate : rate * spare;
    p.window = span(random.between(kind.window));
    p.listed_rate = rate * (1 + kRoughRate * (2 * random.unit() - 1));
    p.tells_wait = random.between(kind.tells_wait);
    p.refused_count = random.chance(kind.refused_count);
    p.depth = random.between(kind.depth);
    const double busy = p.capacity * mean_work(s_) * p.pace / endpoints;
    p.workers = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::ceil(busy)));
    return p;
  }

  void relays() {
    Random random(seed_, kRelays);
    std::vector<double> shares(s_.fleet.relays);
    for (double& share : shares) share = random.lognormal(s_.fleet.uneven);
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    const double trip = 2 * day_.latency[0][s_.fleet.zones - 1];
    for (std::uint32_t r = 0; r < s_.fleet.relays; ++r) {
      RelaySpec relay;
      relay.zone = r % s_.fleet.zones;
      relay.share = shares[r] / sum;
      const double rate = relay.share * day_.full_rate;
      relay.slots = std::max(s_.fleet.least_slots,
                             static_cast<std::uint32_t>(std::lround(rate * (mean_work(s_) + trip) *
                                                                    random.between(s_.fleet.slots))));
      relay.max_open = std::max(
          s_.fleet.least_hold, static_cast<std::uint32_t>(std::lround(rate * random.between(s_.fleet.hold))));
      day_.relays.push_back(relay);
    }
  }

  // `part` of the traffic at least; larger partners are as likely as smaller ones.
  std::vector<std::uint32_t> some_partners(double part, Random& random) {
    std::vector<std::uint32_t> order(day_.partners.size());
    std::iota(order.begin(), order.end(), 0U);
    shuffle(order, random);
    std::vector<std::uint32_t> some;
    double got = 0;
    for (const std::uint32_t p : order) {
      if (got >= part && !some.empty()) break;
      if (got + day_.partners[p].share > part * 1.5 && !some.empty()) continue;
      some.push_back(p);
      got += day_.partners[p].share;
    }
    return some;
  }

  std::vector<std::uint32_t> some_relays(double part, Random& random) {
    std::vector<std::uint32_t> order(day_.relays.size());
    std::iota(order.begin(), order.end(), 0U);
    shuffle(order, random);
    order.resize(std::max<std::size_t>(
        1, static_cast<std::size_t>(std::lround(part * static_cast<double>(order.size())))));
    return order;
  }

  static void shuffle(std::vector<std::uint32_t>& v, Random& random) {
    for (std::size_t i = v.size(); i > 1; --i)
      std::swap(v[i - 1], v[random.below(static_cast<std::uint32_t>(i))]);
  }

  std::vector<std::uint32_t> endpoints_of(const std::vector<std::uint32_t>& partners, bool one_each,
                                          Random& random) {
    std::vector<std::uint32_t> all;
    for (const std::uint32_t p : partners) {
      const std::vector<std::uint32_t>& own = day_.partners[p].endpoints;
      if (one_each) {
        all.push_back(own[random.below(static_cast<std::uint32_t>(own.size()))]);
      } else {
        all.insert(all.end(), own.begin(), own.end());
      }
    }
    return all;
  }

  void fault(const FaultSpec& spec, Random& random) {
    Fault f;
    f.kind = spec.kind;
    f.at = Time(span(random.between(spec.at)));
    f.lasts = span(random.between(spec.lasts));
    f.size = random.between(spec.size);
    f.kept = spec.kept;
    f.one_way = spec.one_way;
    const double part = random.between(spec.part);
    switch (spec.kind) {
      case FaultKind::kill:
      case FaultKind::restart:
      case FaultKind::upgrade:
      case FaultKind::stall:
      case FaultKind::clock:
      case FaultKind::split:
        f.targets = some_relays(part, random);
        break;
      case FaultKind::hot:
      case FaultKind::twin:
        f.targets = some_relays(0, random);
        break;
      case FaultKind::rolling:
        f.targets = some_relays(1, random);
        break;
      case FaultKind::zone_down:
      case FaultKind::zone_cut:
        f.targets = {random.below(s_.fleet.zones)};
        break;
      case FaultKind::shut:
      case FaultKind::lower_limit:
        f.targets = some_partners(part, random);
        break;
      case FaultKind::single:
      case FaultKind::failing:
      case FaultKind::drain:
        f.targets = endpoints_of(some_partners(part, random), true, random);
        break;
      case FaultKind::lossy:
      case FaultKind::resets:
      case FaultKind::discovery:
      case FaultKind::crowd:
      case FaultKind::links:
      case FaultKind::link_loss:
      case FaultKind::link_slow:
      case FaultKind::link_twice:
      case FaultKind::link_throttle:
      case FaultKind::link_garbage:
        break;
      default:
        f.targets = endpoints_of(some_partners(part, random), false, random);
    }
    day_.faults.push_back(std::move(f));
  }

  const Scenario& s_;
  std::uint64_t seed_;
  Day day_;
};

}  // namespace

vetchhinge::Settings Day::settings(std::size_t relay, std::uint64_t start) const {
  const FleetSpec& f = scenario.fleet;
  vetchhinge::Settings s;
  s.seed = mixed(mixed(seed, kSeeds), mixed(relay, start));
  s.slots = relays[relay].slots;
  s.max_open = relays[relay].max_open;
  s.max_attempts = f.attempts;
  s.relays = f.relays;
  s.wait_hints = true;
  s.list_on_request = scenario.discovery.on_request;
  s.list_request_interval = std::min(span(scenario.discovery.within), kToldAfter);
  s.over_share_worth = 0.1;
  s.start_capacity = f.start_capacity;
  s.overload_factor = f.overload_factor;
  s.overload_window = span(f.overload_for);
  s.slow_start_duration = span(f.warm_after);
  s.max_wait_hint = span(f.max_wait_hint);
  s.connection_idle = span(f.connection_idle);
  s.tick = span(f.tick);
  s.zone = vetchhinge::ZoneId(relays[relay].zone);
  for (const ClassSpec& c : scenario.classes) {
    s.classes.push_back({.aim = span(c.aim),
                         .deadline = span(c.deadline),
                         .window = span(c.window),
                         .effect = c.effect,
                         .worth = c.worth,
                         .late_worth = c.late_worth});
  }
  for (const KindSpec& k : scenario.kinds) s.kinds.push_back({false, k.batch});
  return s;
}

Day draw(const Scenario& scenario, std::uint64_t seed) { return Drawer(scenario, seed).draw(); }

}  // namespace valedrum::lab
