#include "world.h"

#include <algorithm>
#include <utility>

#include "world_parts.h"

namespace valedrum::lab {
namespace {

using namespace std::chrono_literals;
using vetchhinge::HostEntry;
using vetchhinge::HostList;
using vetchhinge::HostState;

enum Stream : std::uint64_t { kNetwork = 40, kDirectory, kHosts };

constexpr Duration kAskFails = 2s;   // an asking that is not answered
constexpr Duration kAfterEnd = 2s;   // a day runs on until all times are up, and so much longer
constexpr Range kIdleShare{0.7, 1};  // of the settings' time, in which hosts close idle connections
constexpr double kGoneShare = 0.5;   // of a drain, after which the host is gone
constexpr Duration kFinishAfterTerm = 2800ms;

}  // namespace

World::World(const Day& day, const PolicyMaker& maker, const PlayOptions& options)
    : day_(day),
      maker_(maker),
      options_(options),
      traffic_(day),
      clients_(day, options.policy),
      network_(day.seed, kNetwork),
      directory_(day.seed, kDirectory),
      checker_(day),
      relays_(day.relays.size()),
      on_the_way_(day.partners.size()),
      cuts_(day.scenario.fleet.zones, std::vector<int>(day.scenario.fleet.zones)),
      loss_(day.scenario.network.loss),
      resets_(day.scenario.network.resets) {
  Random random(day.seed, kHosts);
  for (std::size_t p = 0; p < day.partners.size(); ++p) partners_.emplace_back(day, p, day.seed);
  for (const EndpointSpec& e : day.endpoints) {
    const PartnerSpec& p = day.partners[e.partner];
    const KindSpec& kind = day.scenario.kinds[p.kind];
    const double capacity = p.capacity / static_cast<double>(p.endpoints.size());
    hosts_.push_back({Endpoint(day.scenario.fleet, capacity, p.workers, p.depth), 0,
                      kind.connections * p.workers,
                      span(day.scenario.fleet.connection_idle * random.between(kIdleShare))});
  }
  for (RelayNode& r : relays_) {
    r.idle.resize(hosts_.size());
    r.known.resize(hosts_.size());
    for (std::size_t h = 0; h < hosts_.size(); ++h) {
      r.known[h].listed = !day.endpoints[h].listed_late;
      if (r.known[h].listed) r.known[h].state = HostState::running;
      r.agent.push_back(r.known[h].state);
    }
  }
}

RunResult World::run() {
  for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
    if (day_.endpoints[h].listed_late) list_changed(h, HostState::running);
  }
  for (const Fault& f : day_.faults) {
    timeline_.at(f.at, [this, &f] { begin(f); });
  }
  timeline_.at(Time{}, [this] {  // behind the faults of that moment
    for (std::uint32_t r = 0; r < relays_.size(); ++r) start_relay(r);
  });
  next_arrival();
  timeline_.at(Time(1s), [this] { second_over(); });
  double longest = 0;
  for (const ClassSpec& c : day_.scenario.classes) longest = std::max(longest, c.deadline);
  const Time last = day_.end() + span(longest) + kAfterEnd;
  while (!timeline_.empty() && timeline_.next() <= last) {
    if (options_.stop && options_.stop->load(std::memory_order_relaxed)) {
      result_.stopped = true;
      break;
    }
    timeline_.run_next();
  }
  if (!result_.stopped) checker_.finish(last);
  result_.events = timeline_.count();
  return clients_.close(checker_);
}

void World::see(Observation o) {
  o.at = timeline_.now();
  result_.fingerprint =
      mixed(result_.fingerprint ^ static_cast<std::uint64_t>(o.at.time_since_epoch().count()),
            (static_cast<std::uint64_t>(o.what) << 56) ^ (static_cast<std::uint64_t>(o.relay) << 40) ^
                (static_cast<std::uint64_t>(o.host) << 32) ^ o.message);
  checker_.see(o);
  if (options_.watch) options_.watch(o);
}

// -------------------------------------------------------------------------------------------- clients

void World::next_arrival() {
  const std::optional<Arrival> next = traffic_.next();
  if (!next) return;
  const std::uint32_t id = clients_.add(*next);
  timeline_.at(next->at, [this, id] {
    const Clients::Request& r = clients_[id];
    if (const auto patience = clients_.patience(id)) {
      timeline_.after(*patience, [this, id] {
        Clients::Request& impatient = clients_[id];
        if (std::exchange(impatient.over, true)) return;
        for (std::uint32_t at = 0; at < relays_.size(); ++at) {
          if (at != impatient.relay || !relays_[at].up) continue;
          for (auto& [message, open] : relays_[at].open) {
            if (open.request != id || open.over) continue;
            ++result_.withdrawn;
            see({.what = What::withdrawn, .relay = at, .message = message});
            happened(at, vetchhinge::Withdrawn{vetchhinge::MessageId(message)});
            return close(at, message);
          }
        }
      });
    }
    hand_in(id, r.relay);
    next_arrival();
  });
}

void World::hand_in(std::uint32_t request, std::uint32_t relay) {
  Clients::Request& r = clients_[request];
  if (r.over) return;
  RelayNode& node = relays_[relay];
  if (!node.up || node.closing) return hand_in_later(request, clients_.again(), true);
  ++r.tries;
  r.relay = relay;
  const std::uint32_t id = ++last_message_;
  if (node.held >= day_.relays[relay].max_open) {
    ++result_.door;
    return refused(request, span(day_.scenario.fleet.max_wait_hint));
  }
  Open& open = node.open[id];
  open.request = request;
  open.until = clients_.until(request);
  open.wall = node.wall;
  ++node.held;
  node.arrivals.push_back(id);
  see({.what = What::handed_in,
       .relay = relay,
       .message = id,
       .request = request,
       .cls = r.cls,
       .destination = r.partner,
       .until = open.until});
  happened(relay, message(open, id, node, false));
}

// At the same relay, or at another that lives: its own may be dead.
void World::hand_in_later(std::uint32_t request, Duration after, bool elsewhere) {
  if (timeline_.now() + after >= clients_.until(request)) {
    return clients_.failed(request, true, timeline_.now());
  };
  const auto at = static_cast<std::uint64_t>(request) << 1 | (elsewhere ? 1 : 0);
  timeline_.after(after, [this, at] {
    const auto again = static_cast<std::uint32_t>(at >> 1);
    const std::uint32_t own = clients_[again].relay;
    const bool other = (at & 1) != 0 && !relays_[own].up;
    hand_in(again, other ? live_relay() : own);
  });
}

std::uint32_t World::live_relay() {
  const auto n = static_cast<std::uint32_t>(relays_.size());
  const std::uint32_t from = clients_.random().below(n);
  for (std::uint32_t i = 0; i < n; ++i) {
    const RelayNode& r = relays_[(from + i) % n];
    if (r.up && !r.closing) return (from + i) % n;
  }
  return from;
}

void World::refused(std::uint32_t request, Duration hint) {
  const auto wait = clients_.refused(request, hint, timeline_.now());
  if (wait) hand_in_later(request, *wait, false);
}

void World::second_over() {
  for (const RelayNode& r : relays_) {
    clients_.second.held += r.held;
    clients_.second.in_flight += r.in_flight;
    if (!options_.caps || !r.up) continue;
    if (const auto learned = r.policy->snapshot(timeline_.now())) {
      for (const vetchhinge::LimitGroupSnapshot& lane : learned->limit_groups)
        clients_.second.cap += lane.cap;
    }
  }
  clients_.second_over();
  if (options_.progress) options_.progress(std::min(1.0, seconds(timeline_.now()) / day_.scenario.seconds));
  if (timeline_.now() < day_.end()) timeline_.after(1s, [this] { second_over(); });
}

// ------------------------------------------------------------------------------------------ directory

HostEntry World::entry(std::uint32_t host, HostState state) const {
  const EndpointSpec& e = day_.endpoints[host];
  const PartnerSpec& p = day_.partners[e.partner];
  return {vetchhinge::HostId(host),
          vetchhinge::DestinationId(e.partner),
          vetchhinge::ZoneId(e.zone),
          p.kind,
          state,
          p.listed_rate};
}

void World::list_changed(std::uint32_t host, HostState state) {
  hosts_[host].state = state;
  // While the directory is down it has nothing to tell.
  const Duration down =
      discovery_down_ > 0 ? std::max(Duration{}, discovery_back_ - timeline_.now()) : Duration{};
  for (std::uint32_t r = 0; r < relays_.size(); ++r) {
    push(r, host);
    const std::uint64_t at = static_cast<std::uint64_t>(r) << 32 | host;
    timeline_.after(down + kToldAfter, [this, at] {
      const auto relay = static_cast<std::uint32_t>(at >> 32), h = static_cast<std::uint32_t>(at);
      if (relays_[relay].up) see({.what = What::listed, .relay = relay, .host = h, .state = hosts_[h].state});
    });
  }
}

// A change travels late, and in order; while the directory is down, not before its end.
void World::push(std::uint32_t relay, std::uint32_t host) {
  RelayNode& r = relays_[relay];
  const Time leaves = discovery_down_ > 0 ? std::max(timeline_.now(), discovery_back_) : timeline_.now();
  r.list_at = std::max(r.list_at, leaves + span(directory_.between(day_.scenario.discovery.delay)));
  const std::uint64_t at = static_cast<std::uint64_t>(relay) << 32 | host;
  timeline_.at(r.list_at, [this, at] {
    const auto relay = static_cast<std::uint32_t>(at >> 32), h = static_cast<std::uint32_t>(at);
    relays_[relay].agent[h] = hosts_[h].state;
    const bool hears = !day_.scenario.discovery.on_request || relays_[relay].watching;
    if (relays_[relay].up && hears) told(relay, h, hosts_[h].state);
  });
}

void World::told(std::uint32_t relay, std::uint32_t host, HostState state) {
  RelayNode& r = relays_[relay];
  r.known[host] = {state, true};
  see({.what = What::listed, .relay = relay, .host = host, .state = state});
  happened(relay, HostList{HostList::Kind::changes, {entry(host, state)}});
}

void World::ask_list(std::uint32_t relay) {
  ++result_.list_calls;
  see({.what = What::asked, .relay = relay});
  const DiscoverySpec& d = day_.scenario.discovery;
  const auto second = timeline_.now().time_since_epoch() / 1s;
  if (std::exchange(answers_second_, second) != second) answers_ = 0;
  const bool overbooked = d.answers_per_second > 0 && ++answers_ > d.answers_per_second;
  const bool answered = discovery_down_ == 0 && !overbooked;
  const std::uint64_t who = static_cast<std::uint64_t>(relay) << 32 | relays_[relay].start;
  const auto same = [this](std::uint64_t w) {
    const RelayNode& r = relays_[w >> 32];
    return r.up && r.start == static_cast<std::uint32_t>(w);
  };
  timeline_.after(answered ? span(directory_.between({0.02, 0.1})) : kAskFails, [this, who, answered, same] {
    if (!same(who)) return;
    const auto relay = static_cast<std::uint32_t>(who >> 32);
    RelayNode& r = relays_[relay];
    if (!answered) return happened(relay, HostList{HostList::Kind::lost, {}});
    r.watching = true;
    for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
      r.known[h] = {hosts_[h].state, true};
      see({.what = What::listed, .relay = relay, .host = h, .state = hosts_[h].state});
    }
    happened(relay, list(r, HostList::Kind::whole, false));
    timeline_.after(span(directory_.between(day_.scenario.discovery.watch_lasts)), [this, who, same] {
      if (!same(who) || !std::exchange(relays_[who >> 32].watching, false)) return;
      happened(static_cast<std::uint32_t>(who >> 32), HostList{HostList::Kind::lost, {}});
    });
  });
}

// --------------------------------------------------------------------------------------------- faults

void World::set_health(std::uint32_t host, Health health) {
  Endpoint& e = hosts_[host].endpoint;
  const Health before = e.health();
  if (before == health) return;
  e.set_health(health, timeline_.now());
  if (health != Health::up) {
    if (before == Health::up) see({.what = What::host_down, .host = host});
    if (health == Health::refusing) break_calls(host);
  } else {
    see({.what = What::host_back, .host = host});
  }
  // Connections to a process that is gone are reset now, or once its machine is back.
  if (health != Health::hung && health != Health::silent) drop_connections(host);
}

// What turns all calls away or fails them is out too, and comes back cold.
void World::no_service(std::uint32_t host, bool on) {
  Endpoint& e = hosts_[host].endpoint;
  if (e.health() != Health::up) return;  // its return is told at its own end
  if (!on) e.come_back(timeline_.now());
  see({.what = on ? What::host_down : What::host_back, .host = host});
}

void World::flap(const Fault& f, std::uint32_t turn) {
  const bool over = timeline_.now() >= f.at + f.lasts;
  for (const std::uint32_t h : f.targets)
    set_health(h, turn % 2 == 0 && !over ? Health::refusing : Health::up);
  if (!over) timeline_.after(span(std::max(0.05, f.size)), [this, &f, turn] { flap(f, turn + 1); });
}

// Each fault is undone at its end by the same words.
void World::begin(const Fault& f) {
  const auto until_end = [&](auto change) {
    change(true);
    timeline_.after(f.lasts, [change] { change(false); });
  };
  const auto on_hosts = [&](auto change) {
    until_end([this, &f, change](bool on) {
      for (const std::uint32_t h : f.targets) change(h, on);
    });
  };
  const auto health = [&](Health bad) {
    on_hosts([this, bad](std::uint32_t h, bool on) { set_health(h, on ? bad : Health::up); });
  };
  switch (f.kind) {
    case FaultKind::kill:
      for (const std::uint32_t r : f.targets) {
        end_relay(r, f.kept);
        timeline_.after(f.lasts, [this, r] { start_relay(r); });
      }
      return;
    case FaultKind::restart:
      for (const std::uint32_t r : f.targets) restart(r, f.lasts);
      return;
    case FaultKind::rolling: {
      constexpr std::size_t kSteps = 10;
      for (std::size_t i = 0; i < f.targets.size(); ++i) {
        const std::size_t turn = i * kSteps / f.targets.size();
        const std::uint32_t r = f.targets[i];
        timeline_.after(f.lasts * static_cast<int>(turn) / static_cast<int>(kSteps),
                        [this, r] { restart(r, kFinishAfterTerm + 600ms); });
      }
      return;
    }
    case FaultKind::upgrade:
      for (const std::uint32_t r : f.targets) upgrade(r);
      return;
    case FaultKind::stall:
      for (const std::uint32_t r : f.targets) relays_[r].stalled_until = f.at + f.lasts;
      return;
    case FaultKind::clock:
      for (const std::uint32_t r : f.targets) relays_[r].wall += f.size;
      return;
    case FaultKind::outage:
    case FaultKind::single:
      return health(Health::refusing);
    case FaultKind::silent:
      return health(Health::silent);
    case FaultKind::hung:
      return health(Health::hung);
    case FaultKind::slow:
      return on_hosts([this, &f](std::uint32_t h, bool on) { hosts_[h].endpoint.slow = on ? f.size : 1; });
    case FaultKind::failing:
      return on_hosts([this](std::uint32_t h, bool on) {
        hosts_[h].endpoint.failing = on;
        no_service(h, on);
      });
    case FaultKind::spoilt:
      return on_hosts([this, &f](std::uint32_t h, bool on) { hosts_[h].endpoint.spoilt = on ? f.size : 0; });
    case FaultKind::flapping:
      return flap(f, 0);
    case FaultKind::shut:
      return on_hosts([this, &f](std::uint32_t p, bool on) {
        if (on) partners_[p].shut_until = f.at + f.lasts;
        for (const std::uint32_t h : day_.partners[p].endpoints) no_service(h, on);
      });
    case FaultKind::lower_limit:
      return on_hosts([this, &f](std::uint32_t p, bool on) { partners_[p].lowered = on ? f.size : 1; });
    case FaultKind::drain:
      for (const std::uint32_t h : f.targets) {
        list_changed(h, HostState::draining);
        timeline_.after(std::chrono::duration_cast<Duration>(f.lasts * kGoneShare), [this, h] {
          list_changed(h, HostState::gone);
          set_health(h, Health::refusing);
        });
        timeline_.after(f.lasts, [this, h] {
          set_health(h, Health::up);
          list_changed(h, HostState::running);
        });
      }
      return;
    case FaultKind::zone_down:
      return until_end([this, &f](bool on) {
        for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
          if (day_.endpoints[h].zone == f.targets.front()) set_health(h, on ? Health::silent : Health::up);
        }
      });
    case FaultKind::zone_cut:
      return until_end([this, &f](bool on) {
        const std::uint32_t cut = f.targets.front();
        for (std::uint32_t z = 0; z < cuts_.size(); ++z) {
          if (z == cut) continue;
          cuts_[cut][z] += on ? 1 : -1;
          if (!f.one_way) cuts_[z][cut] += on ? 1 : -1;
        }
      });
    case FaultKind::lossy:
      return until_end([this, &f](bool on) { loss_ += on ? f.size : -f.size; });
    case FaultKind::resets:
      return until_end([this, &f](bool on) { resets_ += on ? f.size : -f.size; });
    case FaultKind::discovery:
      discovery_back_ = std::max(discovery_back_, f.at + f.lasts);
      return until_end([this](bool on) {
        discovery_down_ += on ? 1 : -1;
        if (!on || !day_.scenario.discovery.on_request) return;
        for (std::uint32_t r = 0; r < relays_.size(); ++r) {
          if (!relays_[r].up || !std::exchange(relays_[r].watching, false)) continue;
          happened(r, HostList{HostList::Kind::lost, {}});
        }
      });
    case FaultKind::crowd:
    case FaultKind::hot:
      return;  // the traffic's
    case FaultKind::split:
    case FaultKind::links:
    case FaultKind::link_loss:
    case FaultKind::link_slow:
    case FaultKind::link_twice:
    case FaultKind::link_throttle:
    case FaultKind::link_garbage:
    case FaultKind::twin:
      return;  // between relays: play_fleet() has them
  }
}

Duration World::latency(std::uint32_t from, std::uint32_t to) {
  const double jitter = day_.scenario.network.jitter;
  return span(day_.latency[from][to] * (1 + jitter * network_.unit()));
}

RunResult play(const Day& day, const PolicyMaker& maker, const PlayOptions& options) {
  return World(day, maker, options).run();
}

}  // namespace valedrum::lab
