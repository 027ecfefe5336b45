// Connections, calls under way, and what hosts do with them.
#include <algorithm>
#include <utility>

#include "world_parts.h"

namespace valedrum::lab {
namespace {

using namespace std::chrono_literals;
using vetchhinge::Result;

constexpr Duration kQuick = 5ms;    // a host that fails at once
constexpr double kRoomShare = 0.8;  // of what a cold host stands, that the oracle uses

bool answers(Result r) { return r == Result::delivered || r == Result::error || r == Result::full; }

}  // namespace

// Sends of one step to one host travel together, as many as a call there carries.
void World::send(std::uint32_t relay, const std::vector<vetchhinge::Send>& sends) {
  RelayNode& r = relays_[relay];
  struct Group {
    std::uint32_t call;
    Duration timeout, max_connection_idle;
  };
  std::map<std::uint32_t, std::vector<Group>> groups;  // by host
  std::vector<std::uint32_t> order;
  for (const vetchhinge::Send& s : sends) {
    const auto id = static_cast<std::uint32_t>(s.id), host = static_cast<std::uint32_t>(s.host);
    const auto found = r.open.find(id);
    const bool known = found != r.open.end() && host < hosts_.size();
    const auto number = known ? static_cast<std::uint32_t>(found->second.attempts.size()) : 0;
    see({.what = What::sent, .relay = relay, .message = id, .host = host, .attempt = number});
    if (!known) continue;
    Open& open = found->second;
    if (number > 0) ++result_.repeats;
    const std::uint32_t partner = day_.endpoints[host].partner;
    std::vector<Group>& own = groups[host];
    const bool joins = !own.empty() && calls_[own.back().call].items.size() <
                                           day_.scenario.kinds[day_.partners[partner].kind].batch;
    const bool no_slot = !joins && r.in_flight >= day_.relays[relay].slots;
    if (no_slot || number >= day_.scenario.fleet.attempts || open.over) {
      open.attempts.push_back({host, 0, timeline_.now(), false, false});
      vetchhinge::Outcome o{s.id, number, Result::not_sent, open.over, {}, {}, {}, {}};
      clients_.count(Result::not_sent);
      see({.what = What::outcome,
           .relay = relay,
           .message = id,
           .host = host,
           .attempt = number,
           .result = Result::not_sent,
           .terminal = open.over});
      happened(relay, o);
      continue;
    }
    if (!joins) {
      std::uint32_t place = 0;
      if (free_calls_.empty()) {
        place = static_cast<std::uint32_t>(calls_.size());
        calls_.emplace_back();
      } else {
        place = free_calls_.back();
        free_calls_.pop_back();
      }
      const std::uint32_t generation = calls_[place].generation + 1;
      calls_[place] = {};
      Call& c = calls_[place];
      c.generation = generation;
      c.relay = relay;
      c.host = host;
      c.number = ++last_call_;
      c.sent = timeline_.now();
      own.push_back({place, s.timeout, s.max_connection_idle});
      order.push_back(host);
      ++r.in_flight;
    }
    Call& c = calls_[own.back().call];
    c.items.emplace_back(id, number);
    c.requests.push_back(open.request);
    own.back().timeout = std::max(own.back().timeout, s.timeout);
    own.back().max_connection_idle = std::min(own.back().max_connection_idle, s.max_connection_idle);
    open.attempts.push_back({host, c.number, timeline_.now(), true, false});
    const double work = clients_.work(open.request, number, c.items.size() > 1);
    c.work += work;
    if (number == 0) clients_.work_asked += work;
  }
  std::map<std::uint32_t, std::size_t> begun;
  for (const std::uint32_t host : order) {
    const Group& g = groups[host][begun[host]++];
    begin_call(g.call, g.timeout, g.max_connection_idle);
  }
}

void World::on_call(std::uint32_t call, Duration after, void (World::*then)(std::uint32_t)) {
  ++calls_[call].pending;
  timeline_.after(after, [this, call, then] {
    (this->*then)(call);
    --calls_[call].pending;
    release(call);
  });
}

void World::release(std::uint32_t call) {
  Call& c = calls_[call];
  if (!c.done || c.pending > 0 || c.items.empty()) return;
  c.items.clear();
  free_calls_.push_back(call);
}

void World::begin_call(std::uint32_t call, Duration timeout, Duration max_connection_idle) {
  Call& c = calls_[call];
  Host& h = hosts_[c.host];
  const std::uint32_t zone = day_.relays[c.relay].zone, there = day_.endpoints[c.host].zone;
  if (zone != there) result_.cross_zone += c.items.size();
  on_call(call, timeout, &World::timed_out);
  std::vector<Time>& idle = relays_[c.relay].idle[c.host];
  const Time now = timeline_.now();
  const Duration kept = span(day_.scenario.fleet.connection_idle);
  while (!idle.empty() && idle.front() + kept <= now) {  // the relay closes them by itself
    idle.erase(idle.begin());
    --h.connections;
  }
  if (!idle.empty() && now - idle.back() <= max_connection_idle) {
    c.idle = std::max(Duration(1), now - idle.back());
    idle.pop_back();
    c.established = true;
    if (c.idle >= h.closes_idle) {  // closed there already: what is written to it ends as a reset
      c.result = Result::reset;
      return on_call(call, 2 * latency(zone, there), &World::answered);
    }
    ++on_the_way_[day_.endpoints[c.host].partner];
    ++h.on_the_way;
    c.counted = true;
    return on_call(call, latency(zone, there), &World::arrive);
  }
  ++result_.connections;
  const bool silent =
      h.endpoint.health() == Health::silent || !reachable(zone, there) || !reachable(there, zone);
  const Duration up = 2 * latency(zone, there);  // a round trip
  if (silent) return on_call(call, span(day_.scenario.fleet.connect_timeout), &World::not_connected);
  if (h.endpoint.health() == Health::refusing) return on_call(call, up, &World::not_connected);
  if (h.most_connections > 0 && h.connections >= h.most_connections) {
    for (RelayNode& r : relays_) {  // those that have lain idle for too long are closed by now
      std::vector<Time>& others = r.idle[c.host];
      while (!others.empty() && others.front() + h.closes_idle <= now) {
        others.erase(others.begin());
        --h.connections;
      }
    }
    if (h.connections >= h.most_connections) return on_call(call, up, &World::not_connected);
  }
  ++h.connections;
  c.established = true;
  ++on_the_way_[day_.endpoints[c.host].partner];
  ++h.on_the_way;
  c.counted = true;
  on_call(call, up + latency(zone, there), &World::arrive);
}

void World::not_connected(std::uint32_t call) { outcome(call, Result::connect_failed); }

void World::timed_out(std::uint32_t call) {
  const Call& c = calls_[call];
  // A connection that is not up yet has carried nothing.
  outcome(call, c.established ? Result::timed_out : Result::connect_failed);
}

void World::arrive(std::uint32_t call) {
  Call& c = calls_[call];
  Host& h = hosts_[c.host];
  const std::uint32_t partner = day_.endpoints[c.host].partner;
  if (std::exchange(c.counted, false)) {
    --on_the_way_[partner];
    --h.on_the_way;
  }
  const std::uint32_t zone = day_.relays[c.relay].zone, there = day_.endpoints[c.host].zone;
  if (c.done) return;  // its connection was closed before its last byte
  if (!reachable(zone, there) || network_.chance(loss_)) return;
  if (h.endpoint.health() == Health::silent) return;
  if (h.endpoint.health() == Health::refusing) return answer(call, Result::reset);
  if (network_.chance(resets_)) return answer(call, Result::reset);
  const Time now = timeline_.now();
  c.incarnation = h.endpoint.incarnation();
  see({.what = What::arrived, .relay = c.relay, .message = c.items.front().first, .host = c.host});
  if (h.endpoint.overloaded(now, 1)) {
    ++result_.fell_over;
    see({.what = What::fell_over, .host = c.host});
    set_health(c.host, Health::refusing);
    const std::uint32_t host = c.host;
    timeline_.after(span(day_.scenario.fleet.falls_for), [this, host] {
      if (hosts_[host].endpoint.health() == Health::refusing) set_health(host, Health::up);
    });
    return answer(call, Result::reset);
  }
  c.arrived = true;
  if (h.endpoint.health() == Health::hung) return;
  if (h.endpoint.failing) return answer(call, Result::error, kQuick);
  Partner& p = partners_[partner];
  c.report = p.report(now);
  if (!p.admit(now)) {
    c.wait = p.wait(now);
    return answer(call, Result::full);
  }
  const std::optional<Time> done = h.endpoint.serve(now, c.work);
  if (!done) return answer(call, Result::full);
  on_call(call, *done - now, &World::finish);
}

void World::finish(std::uint32_t call) {
  Call& c = calls_[call];
  Host& h = hosts_[c.host];
  if (c.incarnation != h.endpoint.incarnation()) return;  // its process died; its connection told so
  const bool spoilt = h.endpoint.spoilt > 0 && network_.chance(h.endpoint.spoilt);
  bool useful = false;
  for (std::size_t i = 0; i < c.items.size(); ++i) {
    see({.what = What::executed,
         .relay = c.relay,
         .message = c.items[i].first,
         .host = c.host,
         .attempt = c.items[i].second});
    useful |= !clients_[c.requests[i]].over && !c.done;
  }
  if (!useful || spoilt) clients_.work_wasted += c.work;
  // A single message's answer that still says 200 is true however it goes on; others can't be read.
  if (!c.done) answer(call, spoilt ? Result::error : Result::delivered);
}

// What the host writes reaches the relay, or not.
void World::answer(std::uint32_t call, Result result, Duration after) {
  Call& c = calls_[call];
  const std::uint32_t zone = day_.relays[c.relay].zone, there = day_.endpoints[c.host].zone;
  c.result = result;
  if (c.done || !reachable(there, zone) || network_.chance(loss_)) return;
  on_call(call, after + latency(there, zone), &World::answered);
}

void World::answered(std::uint32_t call) { outcome(call, calls_[call].result); }

void World::outcome(std::uint32_t call, Result result) {
  Call& c = calls_[call];
  if (std::exchange(c.done, true)) return;
  RelayNode& r = relays_[c.relay];
  --r.in_flight;
  clients_.count(result);
  if (c.established && answers(result)) {
    r.idle[c.host].push_back(timeline_.now());
  } else if (c.established) {
    --hosts_[c.host].connections;
  }
  const bool never_ran = result == Result::full || result == Result::connect_failed;
  for (const auto& [id, attempt] : c.items) {
    const auto found = r.open.find(id);
    if (found == r.open.end()) continue;
    Open& open = found->second;
    open.attempts[attempt].out = false;
    open.attempts[attempt].may_have_run = !never_ran;
    const bool terminal = result == Result::delivered || open.over;
    const Duration wait = result == Result::full ? c.wait : Duration{};
    see({.what = What::outcome,
         .relay = c.relay,
         .message = id,
         .host = c.host,
         .attempt = attempt,
         .result = result,
         .span = wait,
         .terminal = terminal});
    vetchhinge::Outcome o{vetchhinge::MessageId(id), attempt, result, terminal, wait,
                          timeline_.now() - c.sent,  {},      {}};
    if (answers(result)) o.report = c.report;
    o.connection = vetchhinge::ConnectionUsed{c.established, c.idle};
    happened(c.relay, o);
    if (result == Result::delivered && !open.over) {
      const std::uint32_t request = open.request;
      close(c.relay, id);
      clients_.delivered(request, timeline_.now());
    } else {
      forget_if_over(c.relay, id);
    }
  }
}

// Connections of all relays to a host whose process is gone.
void World::drop_connections(std::uint32_t host) {
  for (RelayNode& r : relays_) {
    hosts_[host].connections -= static_cast<std::uint32_t>(r.idle[host].size());
    r.idle[host].clear();
  }
}

// Calls that a host had taken when its process died: their connections say so.
void World::break_calls(std::uint32_t host) {
  for (std::uint32_t c = 0; c < calls_.size(); ++c) {
    Call& call = calls_[c];
    if (!call.done && call.arrived && call.host == host && !call.items.empty()) answer(c, Result::reset);
  }
}

double World::room(std::uint32_t host) {
  const Host& h = hosts_[host];
  const Time now = timeline_.now();
  if (h.endpoint.health() != Health::up || h.endpoint.failing || h.state != vetchhinge::HostState::running)
    return 0;
  const std::uint32_t partner = day_.endpoints[host].partner;
  double room = partners_[partner].room(now) - on_the_way_[partner];
  const double capacity = h.endpoint.capacity(now);
  room = std::min(room, std::floor(capacity * day_.partners[partner].depth / 2 + 1) - h.on_the_way);
  if (h.endpoint.queue(now) > day_.partners[partner].depth / 2) return 0;
  if (h.endpoint.cold(now)) room = std::min(room, h.endpoint.stands(now) * kRoomShare - h.on_the_way);
  return room;
}

double World::answer_in(std::uint32_t relay, std::uint32_t host) {
  const std::uint32_t zone = day_.relays[relay].zone, there = day_.endpoints[host].zone;
  if (!reachable(zone, there) || !reachable(there, zone)) return kUnreachable;
  const PartnerSpec& p = day_.partners[day_.endpoints[host].partner];
  const Endpoint& e = hosts_[host].endpoint;
  const double trip = 2 * day_.latency[zone][there];
  const double connects = relays_[relay].idle[host].empty() ? trip : 0;
  return trip + connects + e.queue(timeline_.now()) + 0.2 * p.pace * e.slow;
}

}  // namespace valedrum::lab
