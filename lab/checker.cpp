#include "checker.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "partner.h"

namespace valedrum::lab {
namespace {

using namespace std::chrono_literals;
using vetchhinge::HostState;
using vetchhinge::Result;

// Figures of the protocol's rules, with its slack.
constexpr Duration kGrace = 2s + 50ms;      // after a host drains or is gone
constexpr Duration kLostAfter = 300ms;      // after a message's time is up
constexpr Duration kRestartSlack = 1500ms;  // nothing is overdue so long after a start
constexpr Duration kAnswerWithin = 100ms;   // what is given up on
constexpr double kWitnessShare = 2.0 / 3;   // over so much of what pushed a cold host over
constexpr std::size_t kEndedKept = 2000;    // messages that are over, for what still comes of them
constexpr std::size_t kBreachesKept = 5;    // of each rule, with their histories

bool never_ran(Result r) { return r == Result::full || r == Result::connect_failed || r == Result::not_sent; }

}  // namespace

std::string_view name_of(What what) {
  constexpr std::array<std::string_view, 19> names = {
      "handed_in", "taken",     "refused",   "failed", "withdrawn", "sent",  "arrived",
      "executed",  "outcome",   "leaving",   "died",   "ready",     "moved", "listed",
      "host_down", "host_back", "fell_over", "asked",  "stalled"};
  return names[static_cast<std::size_t>(what)];
}

std::string_view name_of(Result result) {
  constexpr std::array<std::string_view, 8> names = {"delivered",      "error", "full",      "timed_out",
                                                     "connect_failed", "reset", "cancelled", "not_sent"};
  return names[static_cast<std::size_t>(result)];
}

std::string_view name_of(Rule rule) {
  constexpr std::array<std::string_view, kRules> names = {
      "second_copy", "effect_twice", "attempts",         "drain_grace", "told_wait",  "cold_pushed_over",
      "lost",        "held_back",    "foreign_endpoint", "invented",    "two_answers"};
  return names[static_cast<std::size_t>(rule)];
}

std::string to_text(const Observation& o) {
  char text[200];
  std::snprintf(text, sizeof text, "%11.6f relay %u message %u %s", seconds(o.at), o.relay, o.message,
                std::string(name_of(o.what)).c_str());
  std::string line = text;
  if (o.what == What::handed_in) {
    std::snprintf(text, sizeof text, " request %u class %u partner %u until %.3f", o.request, o.cls,
                  o.destination, seconds(o.until));
    line += text;
  }
  if (o.what == What::sent || o.what == What::arrived || o.what == What::executed ||
      o.what == What::outcome) {
    std::snprintf(text, sizeof text, " host %u attempt %u", o.host, o.attempt);
    line += text;
  }
  if (o.what == What::outcome) line.append(1, ' ').append(name_of(o.result));
  if (o.span > 0us) {
    std::snprintf(text, sizeof text, " wait %.3f", seconds(o.span));
    line += text;
  }
  return line;
}

Checker::Message* Checker::find(std::uint32_t message) {
  const auto found = messages_.find(message);
  return found == messages_.end() ? nullptr : &found->second;
}

void Checker::break_rule(Rule rule, Time at, std::uint32_t message, const std::string& note) {
  if (++counts_[static_cast<std::size_t>(rule)] > kBreachesKept) return;
  Breach breach{rule, at, message, note};
  if (const Message* m = find(message)) {
    for (const Observation& o : m->history) breach.history += to_text(o) + "\n";
  }
  const auto ended = std::ranges::find(ended_, message, &Ended::first);
  if (ended != ended_.end()) {
    for (const Observation& o : ended->second) breach.history += to_text(o) + "\n";
  }
  breaches_.push_back(std::move(breach));
}

void Checker::see(const Observation& o) {
  check_due(o.at);
  if (Message* m = find(o.message); m && o.what < What::leaving) m->history.push_back(o);
  switch (o.what) {
    case What::handed_in: {
      Message& m = messages_[o.message];
      m.request = o.request;
      m.cls = o.cls;
      m.destination = o.destination;
      m.relay = o.relay;
      m.until = o.until;
      m.history.push_back(o);
      return;
    }
    case What::taken:
      if (Message* m = find(o.message)) {
        m->taken = true;
        due_.push({m->until + kLostAfter, o.message, Rule::lost});
      }
      return;
    case What::refused:
    case What::failed:
    case What::withdrawn:
      return answered(o);
    case What::sent:
      return sent(o);
    case What::arrived:
      return arrived(o);
    case What::executed:
      return executed(o);
    case What::outcome:
      return outcome(o);
    case What::leaving:
      ready_[o.relay] = Time::max();
      return;
    case What::died:
      return died(o);
    case What::ready:
      ready_[o.relay] = runs_[o.relay] = o.at;
      return;
    case What::moved:
      return moved(o);
    case What::listed: {
      const auto [at, added] = barred_.try_emplace({o.relay, o.host}, Time::max());
      if (o.state == HostState::running) at->second = Time::max();
      if (o.state != HostState::running) at->second = std::min(at->second, o.at);
      return;
    }
    case What::host_down: {
      Host& h = hosts_[o.host];
      h.witnesses.clear();
      h.came.clear();
      h.down = true;
      h.cold = false;
      return;
    }
    case What::host_back: {
      Host& h = hosts_[o.host];
      h.down = false;
      h.cold = true;
      h.back = o.at;
      return;
    }
    case What::asked:
    case What::fell_over:  // the checker counts for itself
      return;
    case What::stalled:
      if (o.kept) {
        stalled_.erase(o.relay);
      } else {
        stalled_.insert(o.relay);
      }
      return;
  }
}

void Checker::sent(const Observation& o) {
  Message* m = find(o.message);
  if (!m || (m->relay != o.relay && !slack_.copied) || m->over)
    return break_rule(Rule::invented, o.at, o.message);
  const auto out = [](const Attempt& a) { return a.out; };
  const auto risky = [](const Attempt& a) { return a.may_have_run; };
  if (std::ranges::any_of(m->attempts, out)) break_rule(Rule::second_copy, o.at, o.message);
  if (once(*m) && std::ranges::any_of(m->attempts, risky)) break_rule(Rule::effect_twice, o.at, o.message);
  m->attempts.push_back({o.host, o.relay, o.at});
  if (m->attempts.size() > day_->scenario.fleet.attempts) break_rule(Rule::attempts, o.at, o.message);
  const auto listed = barred_.find({o.relay, o.host});
  if (listed == barred_.end() || day_->endpoints[o.host].partner != m->destination) {
    break_rule(Rule::foreign_endpoint, o.at, o.message);
  } else if (listed->second != Time::max() && o.at > listed->second + kGrace) {
    break_rule(
        Rule::drain_grace, o.at, o.message,
        "told of host " + std::to_string(o.host) + " at " + std::to_string(seconds(listed->second)) + "\n");
  }
  const auto wait = waits_.find({o.relay, m->destination});
  if (wait != waits_.end() && o.at >= wait->second.first && o.at < wait->second.second)
    break_rule(Rule::told_wait, o.at, o.message);
}

void Checker::outcome(const Observation& o) {
  Message* m = find(o.message);
  const bool known = m && o.attempt < m->attempts.size();
  const bool failed = o.result != Result::delivered && o.result != Result::not_sent;
  // A call that was sent in the outage and fails after it tells of it as well.
  if (Host& h = hosts_[o.host]; failed && (h.down || (known && m->attempts[o.attempt].sent < h.back))) {
    h.witnesses.insert(o.relay);
  }
  if (o.span > 0us) {
    auto& [from, until] = waits_[{o.relay, day_->endpoints[o.host].partner}];
    if (until <= o.at) from = o.at + slack_.wait;
    until = std::max(until, o.at + o.span);
  }
  if (!known) return;
  Attempt& a = m->attempts[o.attempt];
  a.out = false;
  a.may_have_run = !never_ran(o.result);
  if (o.terminal || o.result == Result::delivered) {
    m->over = true;
  } else if (!m->over) {
    const bool used_up = m->attempts.size() >= day_->scenario.fleet.attempts;
    if (used_up || (once(*m) && a.may_have_run)) {
      m->owed = true;
      due_.push({o.at + kAnswerWithin + slack_.answer, o.message, Rule::held_back});
    }
  }
  forget_if_over(o.message);
}

// The same request under another number counts as well, and so does a message that is over.
void Checker::executed(const Observation& o) {
  std::optional<std::uint32_t> request;
  if (Message* m = find(o.message)) {
    ++m->executions;
    if (once(*m)) request = m->request;
  } else if (const auto over = once_over_.find(o.message); over != once_over_.end()) {
    request = over->second;
  }
  if (request && ++effects_[*request] > 1) break_rule(Rule::effect_twice, o.at, o.message);
}

// Its client did not hear that it was taken on and hands it in anew: "whatever the relay has sent or still
// sends under the old id counts for nothing" (PROTOCOL, clients to relays).
void Checker::moved(const Observation& o) {
  Message* m = find(o.message);
  if (!m) return;
  if (once(*m)) effects_[m->request] -= m->executions;
  m->executions = 0;
  m->over = true;
  forget_if_over(o.message);
}

void Checker::answered(const Observation& o) {
  Message* m = find(o.message);
  if (!m || m->over) {
    if (o.what != What::withdrawn) break_rule(Rule::two_answers, o.at, o.message);
    return;
  }
  m->over = true;
  forget_if_over(o.message);
}

void Checker::arrived(const Observation& o) {
  Host& h = hosts_[o.host];
  if (!h.cold) return;
  if (o.at > h.back + span(day_->scenario.fleet.warm_after)) {
    h.cold = false;
    h.came.clear();
    return;
  }
  h.came.emplace_back(o.at, o.relay);
  const FleetSpec& fleet = day_->scenario.fleet;
  while (h.came.front().first + span(fleet.overload_for) < o.at) h.came.pop_front();
  const PartnerSpec& partner = day_->partners[day_->endpoints[o.host].partner];
  const double capacity = partner.capacity / static_cast<double>(partner.endpoints.size());
  const auto came = static_cast<double>(h.came.size());
  if (came <= cold_bound(fleet, capacity, o.at - h.back)) return;
  h.cold = false;  // it falls
  const auto told = [&](const auto& c) { return h.witnesses.contains(c.second); };
  if (static_cast<double>(std::ranges::count_if(h.came, told)) <= kWitnessShare * came) return;
  std::string note;
  for (const auto& [at, relay] : h.came) {
    note += "came " + std::to_string(seconds(at)) + " relay " + std::to_string(relay) +
            (h.witnesses.contains(relay) ? " (a witness)\n" : "\n");
  }
  break_rule(Rule::cold_pushed_over, o.at, 0, "host " + std::to_string(o.host) + "\n" + note);
}

// Its calls may have run; its waits are forgotten with it. What its lost folder held is handed in anew.
void Checker::died(const Observation& o) {
  ready_[o.relay] = runs_[o.relay] = Time::max();
  std::erase_if(waits_, [&](const auto& w) { return w.first.first == o.relay; });
  std::vector<std::uint32_t> over;
  for (auto& [id, m] : messages_) {
    if (m.relay != o.relay && !slack_.copied) continue;
    for (Attempt& a : m.attempts) {
      if (a.relay != o.relay || !std::exchange(a.out, false)) continue;
      a.may_have_run = true;
    }
    if (m.relay != o.relay) continue;
    m.owed = false;
    if (!o.kept || !m.taken) m.over = true;
    if (m.over) over.push_back(id);
  }
  for (const std::uint32_t id : over) forget_if_over(id);
}

// None: this relay has been up for long enough.
std::optional<Time> Checker::due_by_restart(const Ready& ready, std::uint32_t relay, const Due& due,
                                            Time now) {
  const auto since = ready.find(relay);
  if (since == ready.end()) return std::nullopt;
  if (since->second == Time::max()) return now + kRestartSlack;
  if (since->second + kRestartSlack < due.at) return std::nullopt;
  return since->second + kRestartSlack + 1us;
}

// None: one of them could have ended it.
std::optional<Time> Checker::due_by_holders(const Message& m, const Due& due, Time now) const {
  const auto holders = slack_.holders ? slack_.holders(due.message) : std::vector<std::uint32_t>{};
  if (holders.empty()) return std::nullopt;
  std::optional<Time> first = due_by_restart(runs_, m.relay, due, now);
  for (const std::uint32_t holder : holders) {
    const auto later = due_by_restart(runs_, holder, due, now);
    if (!first || !later) return std::nullopt;
    first = std::min(*first, *later);
  }
  return first;
}

void Checker::check_due(Time now) {
  while (!due_.empty() && due_.top().at < now) {
    const Due due = due_.top();
    due_.pop();
    const Message* m = find(due.message);
    if (!m || m->over) continue;
    if (due.rule == Rule::held_back && !m->owed) continue;
    if (slack_.copied) {
      const std::uint32_t by = m->attempts.empty() ? m->relay : m->attempts.back().relay;
      const auto up = ready_.find(by);
      const bool away = stalled_.contains(by) || (up != ready_.end() && up->second > due.at - slack_.heirs);
      const auto later = due.rule == Rule::lost ? due_by_holders(*m, due, now) : std::nullopt;
      if (due.rule == Rule::held_back && away && now < due.at + slack_.heirs) {
        due_.push({due.at + slack_.heirs, due.message, due.rule});
      } else if (later) {
        due_.push({*later, due.message, due.rule});
      } else {
        break_rule(due.rule, due.at, due.message);
      }
      continue;
    }
    if (const auto later = due_by_restart(ready_, m->relay, due, now)) {
      due_.push({*later, due.message, due.rule});
    } else {
      break_rule(due.rule, due.at, due.message);
    }
  }
}

void Checker::finish(Time now) { check_due(now); }

void Checker::forget_if_over(std::uint32_t message) {
  const auto found = messages_.find(message);
  if (found == messages_.end() || !found->second.over) return;
  const auto out = [](const Attempt& a) { return a.out; };
  if (std::ranges::any_of(found->second.attempts, out)) return;
  if (once(found->second)) once_over_.emplace(message, found->second.request);
  ended_.emplace_back(message, std::move(found->second.history));
  if (ended_.size() > kEndedKept) ended_.pop_front();
  messages_.erase(found);
}

}  // namespace valedrum::lab
