// What the real relay does around the module: its ticks, its journal, its start and its end.
#include <algorithm>
#include <utility>

#include "world_parts.h"

namespace valedrum::lab {
namespace {

using namespace std::chrono_literals;
using vetchhinge::HostList;
using vetchhinge::HostState;
using vetchhinge::MessageId;

constexpr Duration kWorkOn = 1500ms;      // after SIGTERM messages are still taken on and sent
constexpr Duration kLeaveAfter = 2800ms;  // whatever is out then

}  // namespace

HostList World::list(const RelayNode& r, HostList::Kind kind, bool all_running) const {
  HostList list{kind, {}};
  for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
    if (!r.known[h].listed || r.known[h].state == HostState::gone) continue;
    list.entries.push_back(entry(h, all_running ? HostState::running : r.known[h].state));
  }
  return list;
}

// As the module is told it: attempts that were made before count. A clock that was set in between is
// believed.
vetchhinge::Message World::message(const Open& open, std::uint32_t id, const RelayNode& r, bool out) const {
  const Clients::Request& request = clients_[open.request];
  const Duration stepped = span(open.wall - r.wall);
  vetchhinge::Message m{MessageId(id),
                        request.cls,
                        vetchhinge::DestinationId(request.partner),
                        open.until + stepped,
                        {},
                        {},
                        {}};
  for (const Attempt& a : open.attempts) {
    const vetchhinge::ZoneId zone{day_.endpoints[a.host].zone};
    const bool is_out = out && a.out;
    m.past_attempts.push_back(
        {zone, a.sent + stepped, a.may_have_run || is_out, is_out, vetchhinge::HostId(a.host), a.call});
  }
  return m;
}

void World::start_relay(std::uint32_t relay) {
  RelayNode& r = relays_[relay];
  if (r.up) return;
  r.policy = maker_(day_.settings(relay, ++r.start), relay, *this);
  r.up = true;
  r.closing = r.watching = false;
  r.step_at = Time::max();
  r.last_step = Time::min();
  r.in_flight = 0;
  see({.what = What::ready, .relay = relay});
  for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
    if (r.known[h].listed) see({.what = What::listed, .relay = relay, .host = h, .state = r.known[h].state});
  }
  r.events.clear();
  r.events.emplace_back(list(r, HostList::Kind::cached, false));
  for (auto& [id, open] : r.open) r.events.emplace_back(message(open, id, r, false));
  step(relay);
  // Where the list comes by itself, the agent tells at once what it was sent meanwhile.
  if (day_.scenario.discovery.on_request) return;
  for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
    if (r.known[h].state != r.agent[h]) told(relay, h, r.agent[h]);
  }
}

// One owner at a time: the old process decides a last time, and the new one takes up what it knows, with the
// calls that are out. A policy that can't tell what it knows is killed and started anew.
void World::upgrade(std::uint32_t relay) {
  RelayNode& r = relays_[relay];
  if (!r.up || r.closing) return;
  step(relay);
  const auto learned = r.policy->snapshot(timeline_.now());
  if (!learned) {
    end_relay(relay, true);
    return start_relay(relay);
  }
  r.policy = maker_(day_.settings(relay, ++r.start), relay, *this);
  for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
    hosts_[h].connections -= static_cast<std::uint32_t>(r.idle[h].size());
    r.idle[h].clear();
  }
  r.step_at = Time::max();
  r.events.clear();
  r.events.emplace_back(list(r, HostList::Kind::cached, true));
  r.events.emplace_back(list(r, HostList::Kind::cached, false));
  r.events.emplace_back(*learned);
  for (auto& [id, open] : r.open) {
    r.events.emplace_back(message(open, id, r, true));
    if (open.over) r.events.emplace_back(vetchhinge::Withdrawn{MessageId(id)});
  }
  step(relay);
  if (day_.scenario.discovery.on_request && r.watching) {
    happened(relay, list(r, HostList::Kind::whole, false));
  }
}

// SIGTERM: it works on for a while, then lets calls out end.
void World::restart(std::uint32_t relay, Duration back_after) {
  RelayNode& r = relays_[relay];
  if (!r.up) return;
  see({.what = What::leaving, .relay = relay});
  const std::uint64_t who = static_cast<std::uint64_t>(relay) << 32 | r.start;
  timeline_.after(kWorkOn, [this, who] {
    RelayNode& r = relays_[who >> 32];
    if (!r.up || r.start != static_cast<std::uint32_t>(who)) return;
    if (!r.arrivals.empty()) step(static_cast<std::uint32_t>(who >> 32));
    r.closing = true;
  });
  timeline_.after(kLeaveAfter, [this, who] {
    const auto relay = static_cast<std::uint32_t>(who >> 32);
    if (relays_[relay].up && relays_[relay].start == static_cast<std::uint32_t>(who)) end_relay(relay, true);
  });
  timeline_.after(std::max(back_after, kLeaveAfter + 600ms), [this, relay] { start_relay(relay); });
}

void World::end_relay(std::uint32_t relay, bool kept) {
  RelayNode& r = relays_[relay];
  if (!r.up) return;
  r.up = false;
  ++r.start;
  // Its connections are reset, idle ones and those with a call out.
  for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
    hosts_[h].connections -= static_cast<std::uint32_t>(r.idle[h].size());
    r.idle[h].clear();
  }
  for (std::uint32_t c = 0; c < calls_.size(); ++c) {
    Call& call = calls_[c];
    if (call.done || call.relay != relay) continue;
    call.done = true;
    if (call.established) --hosts_[call.host].connections;
    release(c);
  }
  see({.what = What::died, .relay = relay, .kept = kept});
  for (auto it = r.open.begin(); it != r.open.end();) {
    Open& open = it->second;
    for (Attempt& a : open.attempts) {
      if (std::exchange(a.out, false)) a.may_have_run = true;
    }
    if (kept && open.taken && !open.over) {
      ++it;
      continue;
    }
    if (!open.over) {  // with its client again, where a repeat does no harm
      const bool ran = std::ranges::any_of(open.attempts, [](const Attempt& a) { return a.may_have_run; });
      const ClassSpec& cls = day_.scenario.classes[clients_[open.request].cls];
      see({.what = What::moved, .relay = relay, .message = it->first});
      --r.held;
      if (ran && cls.effect == vetchhinge::Effect::at_most_once) {
        clients_.failed(open.request, false, timeline_.now());
      } else {
        ++result_.messages_handed_over;
        hand_in_later(open.request, clients_.again(), true);
      }
    }
    it = r.open.erase(it);
  }
  r.arrivals.clear();
  r.events.clear();
  r.in_flight = 0;
}

void World::happened(std::uint32_t relay, vetchhinge::Event event) {
  RelayNode& r = relays_[relay];
  if (!r.up || r.closing) return;
  r.events.push_back(std::move(event));
  schedule(relay);
}

// The next step: a tick after the last at the earliest.
void World::schedule(std::uint32_t relay) {
  RelayNode& r = relays_[relay];
  const Duration tick = span(day_.scenario.fleet.tick);
  const Time free = std::max(timeline_.now(), r.stalled_until);
  const Time at = r.last_step == Time::min() ? free : std::max(free, r.last_step + tick);
  if (at >= r.step_at) return;
  r.step_at = at;
  const std::uint64_t who = static_cast<std::uint64_t>(relay) << 32 | r.start;
  timeline_.at(at, [this, who] {
    const RelayNode& r = relays_[who >> 32];
    if (r.up && r.start == static_cast<std::uint32_t>(who) && r.step_at <= timeline_.now()) {
      step(static_cast<std::uint32_t>(who >> 32));
    }
  });
}

void World::step(std::uint32_t relay) {
  RelayNode& r = relays_[relay];
  r.step_at = Time::max();
  if (!r.up || r.closing) return;
  if (timeline_.now() < r.stalled_until) return schedule(relay);
  r.last_step = timeline_.now();
  ++result_.steps;
  const std::vector<vetchhinge::Event> events = std::exchange(r.events, {});
  carry_out(relay, r.policy->step(timeline_.now(), events));
}

void World::carry_out(std::uint32_t relay, const std::vector<vetchhinge::Action>& actions) {
  RelayNode& r = relays_[relay];
  std::vector<vetchhinge::Send> sends;
  const auto owed = [&](MessageId id) -> Open* {
    const auto found = r.open.find(static_cast<std::uint32_t>(id));
    return found == r.open.end() ? nullptr : &found->second;
  };
  const auto end = [&](MessageId id, What what, Duration hint) {
    Open* open = owed(id);
    // What was over when its call was handed on needs no answer; any other second one is the checker's.
    if (open && open->over && open->any_out()) return;
    see({.what = what, .relay = relay, .message = static_cast<std::uint32_t>(id), .span = hint});
    if (!open || open->over) return;
    const std::uint32_t request = open->request;
    const bool unsent = open->attempts.empty();
    close(relay, static_cast<std::uint32_t>(id));
    if (what == What::refused) refused(request, hint);
    if (what == What::failed) clients_.failed(request, unsent, timeline_.now());
  };
  const std::vector<std::uint32_t> arrivals = std::exchange(r.arrivals, {});
  for (const auto& action : actions) {
    if (const auto* refuse = std::get_if<vetchhinge::Refuse>(&action))
      end(refuse->id, What::refused, refuse->wait);
    if (const auto* fail = std::get_if<vetchhinge::Fail>(&action)) end(fail->id, What::failed, {});
    if (const auto* send = std::get_if<vetchhinge::Send>(&action)) sends.push_back(*send);
  }
  for (const std::uint32_t id : arrivals) {
    const auto found = r.open.find(id);
    if (found == r.open.end() || found->second.over) continue;
    found->second.taken = true;
    see({.what = What::taken, .relay = relay, .message = id});
  }
  for (const auto& action : actions) {
    if (const auto* timer = std::get_if<vetchhinge::SetTimer>(&action)) {
      const std::uint64_t who = static_cast<std::uint64_t>(relay) << 32 | r.start;
      // One name serves all policies here: a timer is asked for when the one before is not needed any more.
      timeline_.after(std::max(timer->after, span(day_.scenario.fleet.tick)), [this, who] {
        const RelayNode& r = relays_[who >> 32];
        if (r.start == static_cast<std::uint32_t>(who)) {
          happened(static_cast<std::uint32_t>(who >> 32), vetchhinge::Timer{0});
        }
      });
    } else if (std::holds_alternative<vetchhinge::SubscribeHostList>(action)) {
      ask_list(relay);
    } else if (const auto* idle = std::get_if<vetchhinge::CloseIdleConnections>(&action)) {
      std::vector<Time>& connections = r.idle[static_cast<std::uint32_t>(idle->host)];
      hosts_[static_cast<std::uint32_t>(idle->host)].connections -=
          static_cast<std::uint32_t>(connections.size());
      connections.clear();
    }
  }
  send(relay, sends);
}

// It has its final answer. Attempts still out keep the entry until they are over.
void World::close(std::uint32_t relay, std::uint32_t message) {
  RelayNode& r = relays_[relay];
  Open& open = r.open.at(message);
  if (!std::exchange(open.over, true)) --r.held;
  forget_if_over(relay, message);
}

void World::forget_if_over(std::uint32_t relay, std::uint32_t message) {
  const auto found = relays_[relay].open.find(message);
  if (found == relays_[relay].open.end() || !found->second.over || found->second.any_out()) return;
  relays_[relay].open.erase(found);
}

}  // namespace valedrum::lab
