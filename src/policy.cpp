/// The decision module: implementation of Sender. Types, events and actions: include/vetchhinge/policy.h
///
/// Messages are queued per destination and sent while the calls in flight stay below the cap of their limit
/// group, which is halved on errors, reduced when p95 rises well above its baseline and raised by one when
/// calls are healthy. The rest applies the rules of the platform and safeguards.

#include "vetchhinge/policy.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

#include "cap.h"
#include "durations.h"
#include "fleet.h"
#include "idle_age.h"
#include "message_table.h"
#include "parameters.h"
#include "rate_limits.h"
#include "recent.h"
#include "records.h"
#include "resubscription.h"
#include "settings.h"
#include "snapshot.h"
#include "working_set.h"

namespace vetchhinge {
using namespace std::chrono_literals;

class Sender::Impl {
 public:
  explicit Impl(Settings settings)
      : s_(std::move(settings)), random_(s_.seed), fleet_(s_.connection_idle), messages_(fleet_) {
    validate(s_);
  }

  std::vector<Action> step(Time now, std::span<const Event> events) {
    now_ = now;
    ++step_;
    const bool first = !total_rate_;
    if (first) start(now);
    actions_.clear();
    for (const Event& e : events) std::visit([this](const auto& event) { on(event); }, e);
    if (first && s_.list_on_request && fleet_.known() > 0)
      subscribe_at_ = now + first_subscription_delay(s_, unit());
    subscribe_to_list();
    control();
    expire();
    dispatch();
    close_idle();
    schedule_timer();
    return std::exchange(actions_, {});
  }

  LearnedState snapshot(Time now) { return vetchhinge::snapshot(fleet_, s_.kinds, now); }
  std::size_t destinations() const { return fleet_.known_destinations(); }

 private:
  void start(Time now) {
    started_ = now;
    control_at_ = now + kControlInterval;
    for (std::size_t i = 0; i < s_.tenants.size(); ++i) tenant_rates_.emplace_back(kTenantRateMemory, now);
    total_rate_.emplace(kTenantRateMemory, now);
    idle_ages_.assign(s_.kinds.size(), IdleAge(s_.connection_idle));
  }

  // Not std::uniform_real_distribution: its sequence may differ between standard libraries.
  double unit() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  double jitter(double spread) { return 1 + spread * (2 * unit() - 1); }

  // -------------------------------------------------------------------------- list tracking
  void on(const HostList& list) {
    if (list.kind == HostList::Kind::lost) {
      // A subscription that delivered a list but ended early cost discovery as much as a failed one.
      if (subscribed_since_ && now_ >= *subscribed_since_ + s_.list_request_interval)
        failed_subscriptions_ = 0;
      if (subscribed_since_) last_heard_at_ = now_ - scaled(list.silent_for, 1 + kPauseJitter * unit());
      subscribed_since_.reset();
      subscribe_at_ =
          now_ + next_subscription_delay(s_, failed_subscriptions_++, now_ - last_heard_at_, unit());
      return;
    }
    if (list.kind != HostList::Kind::cached && !subscribed_since_) subscribed_since_ = now_;
    if (list.kind != HostList::Kind::changes) {
      fleet_.mark_all_unlisted();  // hosts that a whole list does not name are gone
    }
    for (const HostEntry& e : list.entries) update(e);
  }

  void update(const HostEntry& e) {
    auto known = fleet_.find(e.host);
    if (!known) {
      if (e.state != HostState::running || e.kind >= s_.kinds.size()) return;
      known = add_host(e);
    }
    fleet_.update_state(*known, e.state);
    hosts_[*known].disabled = disabled_hosts_.contains(e.host);
  }

  // The host may be restarted while it is disabled, so it starts like a host after an outage. Messages
  // queued for it are sent to other hosts of the destination, or finished now if there are none.
  void on(const OperatorHostOverride& o) {
    if (o.disabled) disabled_hosts_.insert(o.host);
    if (!o.disabled) disabled_hosts_.erase(o.host);
    const auto known = fleet_.find(o.host);
    if (!known) return;
    Host& h = hosts_[*known];
    begin_outage(h);
    h.disabled = o.disabled;
    if (!o.disabled) h.failure_weight = 0;
    const std::size_t d = limit_groups_[h.limit_group].destination;
    if (!fleet_.disabled_by_operator(d)) return;
    for (const MessageId id : std::vector(destinations_[d].queue)) give_up(records_.at(id));
  }

  std::size_t add_host(const HostEntry& e) {
    const std::size_t d = destination_for(e.destination);
    destinations_[d].kind = e.kind;
    return fleet_.add(e, d, s_.kinds[e.kind].per_host_limits, fresh_group());
  }

  LimitGroup fresh_group() const {
    // The destination may have been known before and evicted while at rest (see WorkingSet): its rates begin
    // at 0.
    LimitGroup fresh(initial_cap(s_.slots), latency_window(), RateMeter(kMinRateWindow, started_),
                     RateMeter(kBaselineRateMemory, started_));
    fresh.evaluated_at = started_;
    return fresh;
  }

  std::size_t destination_for(DestinationId id) {
    const std::size_t known = fleet_.known_destinations();
    const std::size_t d = fleet_.destination_for(id, RateMeter(kBaselineRateMemory, started_));
    if (s_.max_destinations > 0 && fleet_.known_destinations() > known) working_set_.added(d);
    return d;
  }

  void evict_destinations() {
    if (fleet_.known_destinations() <= s_.max_destinations || s_.max_destinations == 0) return;
    for (const std::size_t d : working_set_.select_evictions(fleet_, s_, now_)) {
      actions_.push_back(EvictDestination{destinations_[d].id});
      fleet_.evict(d);
    }
  }

  void subscribe_to_list() {
    if (!s_.list_on_request || subscribed_since_ || now_ < subscribe_at_) return;
    actions_.push_back(SubscribeHostList{});
    last_heard_at_ = now_;
    subscribe_at_ = now_ + 2 * s_.list_request_interval;  // in case no answer arrives
  }

  // -------------------------------------------------------------------------- admission
  void on(const Message& m) {
    if (m.cls >= s_.classes.size() || records_.contains(m.id)) return;
    MessageState added;
    added.message = m;
    added.destination = destination_for(m.destination);
    added.worth = s_.classes[m.cls].worth * tenant_factor(m);
    added.ordered = s_.classes[m.cls].ordered && m.key.has_value();
    MessageState& state = messages_.add(std::move(added));
    destinations_[state.destination].arrivals.add(now_, 1);
    for (const PastAttempt& p : m.past_attempts) restore_attempt(state, p);
    if (state.in_flight > 0) return;
    queue_or_finish(state);
    if (state.queued) shed_excess(state);
  }

  // A call that a previous process still has in flight uses a slot and a part of the cap here, and its
  // message waits for it.
  void restore_attempt(MessageState& m, const PastAttempt& p) {
    if (!p.in_flight) {
      m.attempts.push_back(
          {0, 0, p.zone, p.sent, p.may_have_run ? AttemptState::may_have_run : AttemptState::never_ran});
      return;
    }
    const auto known = fleet_.find(p.host);
    const HostEntry entry{p.host, m.message.destination, p.zone, destinations_[m.destination].kind};
    const std::size_t h = known ? *known : add_host(entry);
    const std::uint64_t id = kPredecessorCallFlag | p.call;
    ++messages_.begin_call(id, Call{h, p.sent}).messages;
    ++m.in_flight;
    m.attempts.push_back({h, id, p.zone, p.sent});
    activate(hosts_[h].limit_group);
  }

  void on(const PredecessorCallsEnded&) {
    for (auto& [id, e] : records_) e.message.predecessor_call_open = false;
  }

  void on(const LearnedState& learned) {
    for (const LimitGroupSnapshot& group : learned.limit_groups) {
      if (group.host) continue;
      const std::size_t d = destination_for(group.destination);
      if (destinations_[d].limit_groups.empty()) fleet_.add_group(d, fresh_group());
    }
    for (const std::size_t l : restore(fleet_, learned, now_)) activate(l);
  }

  // Returns the factor on the worth of a message: lower if its tenant is well over its share of the traffic.
  double tenant_factor(const Message& m) {
    if (!m.tenant || *m.tenant >= tenant_rates_.size()) return 1;
    total_rate_->add(now_, 1);
    RateMeter& own = tenant_rates_[*m.tenant];
    own.add(now_, 1);
    const double share = own.per_second(now_, kMinRateWindow) / total_rate_->per_second(now_, kMinRateWindow);
    return share > s_.tenants[*m.tenant].fraction * kTenantOverShareFactor ? s_.over_share_worth : 1;
  }

  // Refuses messages of the lowest value until the queues are within their bounds again. An early refusal
  // lets the client try another relay, and the remaining messages can be served in time.
  void shed_excess(const MessageState& arrived) {
    const Destination& d = destinations_[arrived.destination];
    const auto room = static_cast<std::size_t>(std::max(1.0, s_.max_open * kMaxOpenShare));
    const auto bound =
        std::max(kMinQueueBound, static_cast<std::size_t>(static_cast<double>(room) * kMaxQueueShare));
    if (d.queue.size() > bound || waits_too_long(arrived, arrived.destination)) {
      shed(d.queue);
    } else if (messages_.open > room) {
      const Destination* longest = &d;
      for (const std::size_t other : waiting_) {
        if (destinations_[other].queue.size() > longest->queue.size()) longest = &destinations_[other];
      }
      shed(longest->queue);
    }
  }

  bool waits_too_long(const MessageState& m, std::size_t d) {
    if (recovering(d) || (!quota_limited(d) && destinations_[d].queue.size() <= kMinQueueBound)) return false;
    return backlog_time(d) > kMaxWaitShare * seconds(m.message.valid_until - now_);
  }

  // One of many relays gets its quota share and no more until its next call; with little traffic this can
  // mean one call in several seconds. With few relays the quota use changes many times while a message can
  // wait.
  bool quota_limited(const LimitGroup& l) const { return s_.relays > kFewRelays && near_limit(l, now_); }
  bool quota_limited(std::size_t d) const {
    return std::ranges::any_of(destinations_[d].limit_groups,
                               [this](std::size_t l) { return quota_limited(limit_groups_[l]); });
  }

  // Refuses messages that were accepted but can no longer be served in time.
  void shed_late(std::size_t d) {
    const std::vector<MessageId>& queue = destinations_[d].queue;
    for (std::size_t left = queue.size(); left > 0 && waits_too_long(records_.at(queue.back()), d); --left) {
      shed(queue);
      if (queue.size() == left) return;
    }
  }

  // The end of an outage is unknown, so messages wait and only the bound of the queue refuses any.
  bool recovering(std::size_t d) const {
    return fleet_.any_host(d, [](const Host& h) { return h.in_slow_start && h.usable(); });
  }

  // Returns the seconds in which the queue would drain at the present cap and latency.
  double backlog_time(std::size_t d) {
    double rate = 0, at_once = 0;
    for (const std::size_t at : destinations_[d].limit_groups) {
      LimitGroup& l = limit_groups_[at];
      double group_rate = l.cap / seconds(expected_latency(d));
      if (quota_limited(l)) {
        refill_tokens(l, s_, now_);
        at_once += std::max(0.0, l.tokens);
        group_rate = std::min(group_rate, quota_rate(l, s_, now_));
      }
      rate += group_rate;
    }
    rate *= s_.kinds[destinations_[d].kind].batch;
    const double queued = static_cast<double>(destinations_[d].queue.size());
    return rate > 0 ? std::max(0.0, queued - at_once) / rate : seconds(s_.max_wait_hint);
  }

  void shed(const std::vector<MessageId>& queue) {
    const MessageState* least = nullptr;
    for (const MessageId id : queue) {
      const MessageState& m = records_.at(id);
      if (!may_refuse(m) || m.waits_since_restart()) continue;
      if (!least || send_value(m, 0s) <= send_value(*least, 0s)) least = &m;  // the newest of equal ones
    }
    if (least) refuse(records_.at(least->message.id));
  }

  bool may_refuse(const MessageState& m) const {
    const bool unproven = m.first_risky_send().has_value();
    return repeatable(m) && (!unproven || s_.classes[m.message.cls].effect != Effect::deduplicated ||
                             s_.classes[m.message.cls].scope == KeyScope::all);
  }

  // The wait hint is the time to drain the queue, with jitter so that refused clients do not return
  // together.
  void refuse(MessageState& m) {
    const double backlog = std::min(backlog_time(m.destination), seconds(s_.max_wait_hint));
    Duration wait = to_duration(backlog);
    // The time at which an operator enables a host again is unknown; the hint leaves time for another
    // attempt.
    if (fleet_.disabled_by_operator(m.destination))
      wait = scaled(m.message.valid_until - now_, kDisabledWaitHintShare);
    wait = scaled(std::max(wait, kMinWaitHint), jitter(kWaitHintJitter));
    actions_.push_back(Refuse{m.message.id, s_.wait_hints ? std::min(wait, s_.max_wait_hint) : 0us});
    messages_.complete(m);
  }

  // Returns the value of sending now. Messages within their aim precede late ones. Among equal ones the
  // older precede, as they have less time left; among late ones those with the highest remaining worth.
  double send_value(const MessageState& m, Duration latency) const {
    const ClassSettings& c = s_.classes[m.message.cls];
    const Duration age = now_ + latency - (m.message.valid_until - c.deadline);
    if (age <= c.aim) return m.worth * (1 + std::max(0.0, seconds(age) / seconds(c.aim)));
    double left = c.late_worth;
    if (s_.late_worth_halves) {
      left = std::max(left, std::exp2(-seconds(age - c.aim) / seconds(c.aim)));
    } else if (c.deadline > c.aim) {
      left = 1 - (1 - left) * std::min(1.0, seconds(age - c.aim) / seconds(c.deadline - c.aim));
    }
    return m.worth * left;
  }

  // -------------------------------------------------------------------------- cap control
  void control() {
    if (now_ < control_at_) return;
    control_at_ = now_ + kControlInterval;
    fleet_.remove_gone(s_.kinds);
    evict_destinations();
    for (IdleAge& kind : idle_ages_) kind.update(now_);
    std::erase_if(active_, [this](std::size_t l) {
      adjust_cap(limit_groups_[l], now_, s_.slots);
      return !limit_groups_[l].active;
    });
    for (const std::size_t d : std::set(waiting_)) shed_late(d);
    messages_.erase_idle_keys(now_);
  }

  void activate(std::size_t group) {
    if (active_.empty()) control_at_ = std::max(control_at_, now_ + kControlInterval);
    if (!std::exchange(limit_groups_[group].active, true)) active_.push_back(group);
  }

  // -------------------------------------------------------------------------- dispatch
  // Recovered messages that were never tried: the client has been answered with 202 and cannot try another
  // relay, whereas new messages can still be refused. They are therefore sent first, earliest deadline
  // first, whatever their present worth.
  struct Priority {
    bool untried = false;  // recovered and never tried
    double value = 0;      // untried: minus the seconds left; else the value of sending now
    auto operator<=>(const Priority&) const = default;
  };
  struct Candidate {
    Priority priority;
    MessageId id{};
  };

  struct Queue {
    std::vector<Candidate> ready;  // best last
    double latency;                // expected seconds of a call
  };

  void dispatch() {
    std::vector<Queue> queues;
    for (const std::size_t d : waiting_) queues.push_back({candidates(d), seconds(expected_latency(d))});
    while (true) {
      Queue* best = nullptr;
      const auto value = [](const Queue& q) {
        const Priority& first = q.ready.back().priority;
        return first.untried ? first : Priority{false, first.value / q.latency};
      };
      for (Queue& q : queues) {
        if (!q.ready.empty() && (!best || value(q) > value(*best))) best = &q;
      }
      if (!best) return;
      MessageState& m = records_.at(best->ready.back().id);
      best->ready.pop_back();
      if (const auto host = choose_host(m)) {
        send(m, *host);
      } else if (m.attempts.empty()) {
        best->ready.clear();  // no host for a new message: none for the others either
      }
    }
  }

  // Returns the messages of a destination that may be sent, best last.
  std::vector<Candidate> candidates(std::size_t d) {
    std::vector<Candidate> result;
    const Destination& destination = destinations_[d];
    if (destination.queue.empty()) return result;
    const auto ready = [this](std::size_t l) { return group_ready(limit_groups_[l]); };
    if (std::ranges::none_of(destination.limit_groups, ready)) return result;
    const Duration latency = expected_latency(d);
    bool gathered = false;
    for (const MessageId id : destination.queue) {
      const MessageState& m = records_.at(id);
      if (!may_send(m)) continue;
      // The first message of an ordered key delays all that follow it.
      const std::size_t behind = m.ordered ? keys_.at(*m.message.key).waiting.size() : 1;
      const double worth = send_value(m, latency) * static_cast<double>(behind);
      const Duration left = m.message.valid_until - now_;
      const bool untried = m.untried_since_restart() && left > kUntriedMinLatencies * latency;
      result.push_back({untried ? Priority{true, -seconds(left)} : Priority{false, worth}, id});
      const ClassSettings& c = s_.classes[m.message.cls];
      const Time accepted = m.message.valid_until - c.deadline;
      gathered = gathered || now_ >= accepted + scaled(c.aim, kBatchWaitShare);
    }
    // With batches, messages wait briefly for others: this saves calls, slots and connections.
    const std::uint32_t batch = s_.kinds[destination.kind].batch;
    if (batch > 1 && !gathered && result.size() < batch) result.clear();
    std::ranges::stable_sort(result, {}, &Candidate::priority);
    return result;
  }

  bool may_send(const MessageState& m) const {
    if (m.in_flight > 0 || now_ < m.not_before || m.message.predecessor_call_open) return false;
    // A message that timed out may still run while its call stays open for the other messages of the batch.
    if (!m.attempts.empty() && calls_.contains(m.attempts.back().call)) return false;
    return (!m.ordered || messages_.is_next(m, now_)) && may_try(m);
  }

  Duration expected_latency(std::size_t d) const {
    double best = 0;
    for (const std::size_t l : destinations_[d].limit_groups) {
      const double mid = limit_groups_[l].latencies.quantile(0.5);
      if (mid > 0 && (best == 0 || mid < best)) best = mid;
    }
    if (best == 0) best = seconds(s_.classes.front().aim) * kDefaultLatencyShare;
    return to_duration(best);
  }

  bool group_ready(const LimitGroup& l) const {
    return now_ >= l.server_backoff_until && now_ >= l.local_backoff_until;
  }

  std::optional<std::size_t> choose_host(const MessageState& m) {
    std::optional<std::size_t> best;
    const Destination& d = destinations_[m.destination];
    const bool safe = s_.classes[m.message.cls].effect == Effect::idempotent;
    for (const std::size_t l : d.limit_groups) {
      if (!group_ready(limit_groups_[l])) continue;
      refill_tokens(limit_groups_[l], s_, now_);
      for (const std::size_t h : limit_groups_[l].hosts) {
        if (!hosts_[h].usable() || !in_scope(m, hosts_[h])) continue;
        if (joinable(hosts_[h], d)) return h;  // joining a call of this step uses neither slot nor limit
        if (!group_has_room(limit_groups_[l]) || !host_has_room(hosts_[h])) continue;
        if (!best || better(hosts_[h], hosts_[*best], safe)) best = h;
      }
    }
    return best;
  }

  bool joinable(const Host& h, const Destination& d) const {
    if (h.step != step_) return false;
    return calls_.at(h.step_call).messages < static_cast<int>(s_.kinds[d.kind].batch);
  }

  // Returns whether the key of a message that may have run is known at the host.
  bool in_scope(const MessageState& m, const Host& h) const {
    const ClassSettings& c = s_.classes[m.message.cls];
    if (c.effect != Effect::deduplicated || c.scope == KeyScope::all) return true;
    return std::ranges::none_of(
        m.attempts, [&](const Attempt& a) { return a.state != AttemptState::never_ran && a.zone != h.zone; });
  }

  bool group_has_room(const LimitGroup& l) const {
    if (l.in_flight >= l.cap || messages_.in_flight >= static_cast<int>(s_.slots)) return false;
    if (l.tokens < 1) return false;
    if (!l.impaired()) return true;
    // All impaired limit groups together leave half of the slots to the others.
    int impaired_calls = 0;
    for (const std::size_t other : active_)
      impaired_calls += limit_groups_[other].impaired() ? limit_groups_[other].in_flight : 0;
    return impaired_calls < impaired_cap(s_.slots);
  }

  bool host_has_room(Host& h) {
    const bool open = h.failure_weight >= kCircuitOpenWeight;  // half-open circuit: a single call
    if (open ? h.in_flight > 0 || now_ < h.retry_at : stalled(h)) return false;
    if (!h.in_slow_start) return true;
    refill_slow_start_budget(h, limit_groups_[h.limit_group], confident_rate(limit_groups_[h.limit_group]),
                             s_, now_);
    return !h.in_slow_start || h.slow_start_budget >= 1;
  }

  // Returns whether a call is overdue and nothing sent since has been answered. A host that never answers
  // has no latency samples; this check stops new calls to a hung, silent or suddenly slow host before the
  // first timeout. A single unlucky call may block the host until its next success.
  bool stalled(const Host& h) const {
    for (const std::uint64_t id : h.calls) {
      const Call& call = calls_.at(id);
      if (call.sent <= h.last_success) continue;
      return now_ - call.sent > overdue_after(limit_groups_[h.limit_group]);
    }
    return false;
  }

  Duration overdue_after(const LimitGroup& l) const {
    const double p95 = latency_p95(l);
    const double least = seconds(s_.classes.front().aim) * kOverdueAimShare;
    return to_duration(std::max(least, kOverdueP95Factor * p95));
  }

  // Returns the rank of a host by health, lower is better. After one or two failures a host ranks last for a
  // pause, and an open circuit lets a single call through after its pause, as only a call can show that the
  // host works again. Only work that may be repeated (`safe`) is used for this.
  int health_rank(const Host& h, bool safe) const {
    if (h.failure_weight >= kCircuitOpenWeight) return safe ? 0 : 3;
    if (h.failure_weight > 0 && now_ < h.retry_at) return 2;
    return 1;
  }

  // Prefers the better health rank, then the fewest calls in flight, then the zone of this relay, as a call
  // across zones holds its slot for an additional round trip, and for several on a new connection. Then hosts
  // with an idle connection.
  bool better(const Host& a, const Host& b, bool safe) const {
    if (health_rank(a, safe) != health_rank(b, safe)) return health_rank(a, safe) < health_rank(b, safe);
    if (!safe && a.in_slow_start != b.in_slow_start)
      return b.in_slow_start;  // otherwise its slow start budget limits it
    if (a.in_flight != b.in_flight) return a.in_flight < b.in_flight;
    if (s_.zone && a.zone != b.zone) return a.zone == *s_.zone;
    return idle(a) > idle(b);
  }

  int idle(const Host& h) const { return fleet_.idle_connections(h, now_); }

  void send(MessageState& m, std::size_t at) {
    Host& h = hosts_[at];
    LimitGroup& l = limit_groups_[h.limit_group];
    const Destination& d = destinations_[m.destination];
    if (joinable(h, d)) {
      h.slow_start_budget -= h.in_slow_start ? kBatchedMessageBudget : 0;
    } else {
      h.step = step_;
      h.step_call = ++last_call_;
      messages_.begin_call(last_call_, Call{at, now_, idle(h) > 0 ? now_ - h.last_end : 0us});
      h.idle_connections = std::max(0, idle(h) - 1);
      l.tokens -= 1;
      l.recent_calls.add(now_, 1);
      h.slow_start_budget -= h.in_slow_start ? 1 : 0;
    }
    ++calls_.at(h.step_call).messages;
    activate(h.limit_group);
    messages_.dequeue(m);
    ++m.in_flight;
    const Time write_deadline = window_end(m).value_or(Time::max());
    m.attempts.push_back({at, h.step_call, h.zone, now_});
    if (m.ordered) ++keys_.at(*m.message.key).in_flight;
    const IdleAge& age = idle_ages_[d.kind];
    const bool once = s_.classes[m.message.cls].effect == Effect::at_most_once;
    actions_.push_back(Send{m.message.id, h.id, timeout(m, l),
                            once ? age.max_idle_at_most_once() : age.max_idle(), once, write_deadline});
  }

  // Long enough for a slow destination that works, short enough that a silent one does not block slots.
  Duration timeout(const MessageState& m, const LimitGroup& l) const {
    const ClassSettings& c = s_.classes[m.message.cls];
    const double p95 = latency_p95(l);
    double timeout_seconds = std::max(kTimeoutAimShare * seconds(c.aim), kTimeoutP95Factor * p95);
    if (c.effect == Effect::at_most_once) timeout_seconds *= kTimeoutAtMostOnceFactor;
    if (messages_.in_flight >= static_cast<int>(s_.slots))
      timeout_seconds *= kTimeoutLastSlotFactor;  // other messages wait for the slot
    if (c.effect == Effect::deduplicated)
      timeout_seconds = std::min(timeout_seconds, kMaxTimeoutWindowShare * seconds(c.window));
    const Duration left = m.message.valid_until - now_;
    return std::max(Duration(1ms), std::min(left, to_duration(timeout_seconds)));
  }

  // -------------------------------------------------------------------------- outcomes
  void on(const Outcome& o) {
    MessageState* const found = messages_.find(o.id);
    if (!found) return;
    MessageState& m = *found;
    if (o.attempt >= m.attempts.size() || m.attempts[o.attempt].state != AttemptState::pending) return;
    Attempt& a = m.attempts[o.attempt];
    const bool ran =
        o.result != Result::full && o.result != Result::connect_failed && o.result != Result::not_sent;
    a.state = ran ? AttemptState::may_have_run : AttemptState::never_ran;
    --m.in_flight;
    const bool open =
        o.result == Result::timed_out || o.result == Result::reset || o.result == Result::cancelled;
    if (m.ordered) messages_.release_key(m, open ? now_ + s_.ordered_key_delay : Time{});
    record_hints(limit_groups_[hosts_[a.host].limit_group], o, a.sent);
    settle_call(a, o);
    if (o.terminal && !m.completed) messages_.complete(m);
    if (!m.completed) retry_or_finish(m, o.result);
    messages_.erase_if_ended(o.id, now_);
  }

  // Applies the wait of every outcome; outcomes of one call may request different ones.
  void record_hints(LimitGroup& l, const Outcome& o, Time sent) {
    if (o.report) record_limit_report(l, *o.report, sent, now_);
    if (o.wait > 0us)
      l.server_backoff_until = std::max(l.server_backoff_until, now_ + o.wait + kServerBackoffMargin);
  }

  void settle_call(const Attempt& a, const Outcome& o) {
    Call& call = calls_.at(a.call);
    Host& h = hosts_[a.host];
    LimitGroup& l = limit_groups_[h.limit_group];
    if (o.connection) call.idle = o.connection->idle;  // replaces the estimate from when it was sent
    if (!std::exchange(call.counted, true)) record_result(h, l, call, o);
    messages_.end_attempt(a, o.result == Result::delivered || o.result == Result::error, now_);
  }

  void record_idle(const LimitGroup& l, const Call& call, const Outcome& o) {
    IdleAge& kind = idle_ages_[destinations_[l.destination].kind];
    if (o.result == Result::delivered) kind.record_success(now_, call.idle, o.elapsed);
    if (connection_broke(o)) kind.record_broken(now_, call.idle);
  }

  void close_idle() {
    fleet_.drop_expired_idle(now_);
    std::erase_if(idle_, [this](const auto& i) {
      Host& h = hosts_[i.second];
      if (idle(h) == 0) return true;
      if (now_ < i.first + max_idle_time(limit_groups_[h.limit_group])) return false;
      h.idle_connections = 0;
      actions_.push_back(CloseIdleConnections{h.id});
      return true;
    });
  }

  // Idle connections of hundreds of relays can fill the connection tables of hosts with a small limit, which
  // is not known in advance; without idle connections each rare call costs a handshake. They are therefore
  // kept until a new connection is rejected although the rate limit has room, and then, for a while, only
  // where the next call is due soon. A few relays always keep theirs.
  Duration max_idle_time(LimitGroup& l) {
    const Duration known = idle_ages_[destinations_[l.destination].kind].max_idle();
    if (s_.relays <= kFewRelays || now_ >= l.conserve_connections_until) return known;
    const double call_interval =
        static_cast<double>(l.hosts.size()) / l.baseline_calls.per_second(now_, kMinRateWindow);
    return call_interval > kKeepConnectionLatencies * seconds(expected_latency(l.destination)) ? 0us : known;
  }

  void conserve_connections(LimitGroup& l) {
    l.conserve_connections_until = now_ + scaled(s_.connection_idle, kConserveConnectionsFactor);
  }

  void record_result(Host& h, LimitGroup& l, const Call& call, const Outcome& o) {
    activate(h.limit_group);
    record_idle(l, call, o);
    switch (o.result) {
      case Result::delivered:
        ++l.successes;
        l.latencies.add(now_, seconds(o.elapsed));
        ++l.latencies_since_cut;
        l.consecutive_rejections = l.failure_weight = 0;
        if (!h.in_slow_start) l.baseline_calls.add(now_, 1);
        if (l.reported_limit > 0) l.baseline_quota_use.add(now_, 1 / l.reported_limit);
        h.failure_weight = 0;
        h.last_success = now_;
        if (h.in_slow_start && !h.slow_start_since) {
          h.slow_start_since = h.slow_start_budget_at = now_;
          h.slow_start_budget = 0;
          l.conserve_connections_until = {};  // the host was down, its connection table not full
        }
        return;
      case Result::full:
        ++l.failures;
        if (call.idle == 0us && !near_limit(l, now_)) conserve_connections(l);
        record_rejection(l, call, o.wait);
        return;
      case Result::not_sent:
      case Result::cancelled:
        return;
      case Result::connect_failed:
      case Result::reset:
        if (connection_broke(o)) {
          ++l.broken_connections;  // no sign of load; a weak one of health, and none after idle time
          if (call.idle == 0us) record_failure(h, l, call, kBrokenConnectionWeight);
          return;
        }
        if (o.result == Result::connect_failed) conserve_connections(l);
        [[fallthrough]];
      default:
        l.failures += fails_alone(h, l) ? 0 : 1;
        record_failure(h, l, call, kFailureWeight);
        return;
    }
  }

  // Returns whether the host fails while another of its limit group works: the failure then counts for the
  // host alone.
  bool fails_alone(const Host& h, const LimitGroup& l) const {
    return std::ranges::any_of(l.hosts, [&](std::size_t o) {
      return hosts_[o].usable() && hosts_[o].failure_weight == 0 && hosts_[o].last_success > h.last_success;
    });
  }

  void record_failure(Host& h, LimitGroup& l, const Call& call, int weight) {
    if (call.sent < h.last_success) return;  // a later success: no evidence of an outage
    h.failure_weight += weight;
    if (call.sent >= l.failed_at && !fails_alone(h, l)) {  // calls in flight together count once
      l.failure_weight += weight;
      l.failed_at = now_;
    }
    const Duration pause = scaled(kProbePause, jitter(kProbeJitter));  // the slow start budget limits the sum
    if (l.failure_weight >= kCircuitOpenWeight) {
      for (const std::size_t other : l.hosts) begin_outage(hosts_[other]);
      l.local_backoff_until = std::max(l.local_backoff_until, now_ + pause);
    }
    h.retry_at = now_ + pause;
    if (h.failure_weight >= kCircuitOpenWeight || (weight == kFailureWeight && mostly_failing(l)))
      begin_outage(h);
  }

  void begin_outage(Host& h) {
    LimitGroup& l = limit_groups_[h.limit_group];
    // Stored at the start of the outage, as the meter decays during it.
    if (!h.in_slow_start) l.rate_before_outage = l.baseline_calls.per_second(now_, kMinRateWindow);
    l.paced_rate = 0;  // replaced by the slow start budget
    // A random first call: relays that see the same outage do not call together.
    h.slow_start_budget = std::min(h.in_slow_start ? h.slow_start_budget : 1, unit());
    h.in_slow_start = true;
    h.slow_start_since.reset();
    h.slow_start_budget_at = now_;
  }

  // A rejection without a requested wait leads to a backoff. After any rejection calls are paced, as a cap
  // alone does not limit the calls per second where calls are short, and rejected calls may count against
  // the limit. The paced rate never falls below the baseline, or small destinations would starve. Near a
  // reported limit each relay keeps to its quota share instead and retries at a random time, as all relays
  // were rejected, and told to wait, at once. Rejections over a longer time count as an outage, like a
  // destination that is shut down.
  void record_rejection(LimitGroup& l, const Call& call, Duration requested_wait) {
    if (l.consecutive_rejections++ == 0) l.rejected_since = now_;
    Duration pause = backoff(l) * (1 << std::min(l.consecutive_rejections - 1, kMaxBackoffDoublings));
    if (near_limit(l, now_)) {
      const double own_interval = kQuotaPauseShare / quota_rate(l, s_, now_);
      pause =
          std::min(scaled(to_duration(own_interval), unit()), kMaxQuotaPauseAims * s_.classes.front().aim);
      l.tokens = std::min(l.tokens, jitter(1) - 1);
    } else {
      // All relays would return together at the end of a requested wait, so a part of the backoff follows
      // it.
      const double backoff_share = requested_wait <= 0us    ? 1.0
                                   : s_.relays > kFewRelays ? kBackoffShareAfterWait
                                                            : 0.0;
      pause = scaled(pause, backoff_share * jitter(kBackoffJitter));
      cut_paced_rate(l, call, hosts_[call.host].in_slow_start, s_, now_);
    }
    l.local_backoff_until = std::max(l.local_backoff_until, now_ + requested_wait + pause);
    if (requested_wait <= s_.overload_window) limit_to_quota(l, call.sent, now_);
    const bool outage =
        l.consecutive_rejections >= kOutageRejections && now_ - l.rejected_since > kOutageRejectionSpan;
    // A relay with few calls would notice an outage only at its end, when all waiting messages are sent at
    // once.
    const bool outage_of_rare_calls = l.consecutive_rejections >= kOutageRejectionsRareCalls &&
                                      requested_wait <= 0us && !near_limit(l, now_) &&
                                      own_rate(l) * seconds(kOutageRejectionSpan) < 1;
    if (outage || outage_of_rare_calls || requested_wait > s_.overload_window) {
      for (const std::size_t h : l.hosts) begin_outage(hosts_[h]);
    }
  }

  // Returns the calls per second that this relay usually makes there or has demand for; backoffs depend on
  // it.
  double own_rate(LimitGroup& l) {
    return std::max({l.rate_before_outage, l.baseline_calls.per_second(now_, kMinRateWindow), demand(l),
                     kMinTotalRate / s_.relays});
  }

  // With per-host limits each host gets its part of the arrival rate: the capacity of one host is not that
  // of all.
  double demand(const LimitGroup& l) {
    Destination& d = destinations_[l.destination];
    const double arrivals = d.arrivals.per_second(now_, kMinRateWindow);
    return kArrivalRateShare * arrivals / static_cast<double>(d.limit_groups.size());
  }

  // Returns the same, weighted by the number of calls that it is known from: slow start budgets in
  // proportion to it limit the sum over all relays.
  double confident_rate(LimitGroup& l) {
    const double usual = std::max(l.rate_before_outage, l.baseline_calls.per_second(now_, kMinRateWindow));
    const double known_calls = usual * seconds(kBaselineRateMemory);
    return (known_calls * usual + demand(l)) / (known_calls + 1);
  }

  Duration backoff(LimitGroup& l) {
    return std::clamp(to_duration(kBackoffIntervalShare / own_rate(l)), kMinBackoff, s_.classes.front().aim);
  }

  // After an attempt that was not delivered: a pause, except after a rejection.
  void retry_or_finish(MessageState& m, Result result) {
    if (result != Result::full && may_try(m)) {
      LimitGroup& l = limit_groups_[hosts_[m.attempts.back().host].limit_group];
      const int more = std::min(static_cast<int>(m.attempts.size()) - 1, kMaxBackoffDoublings);
      m.not_before = now_ + scaled(backoff(l) * (1 << more), kRetryPauseShare * jitter(kPauseJitter));
    }
    queue_or_finish(m);
  }

  // Queues the message if another attempt may follow, else sends the final answer.
  void queue_or_finish(MessageState& m) {
    if (!may_try(m) || fleet_.disabled_by_operator(m.destination)) return give_up(m);
    if (const auto end = window_end(m)) expiries_.emplace(*end + kWindowMargin, m.message.id);
    messages_.enqueue(m);
  }

  void give_up(MessageState& m) { may_refuse(m) ? refuse(m) : fail(m); }

  bool may_try(const MessageState& m) const {
    return repeatable(m) && m.attempts.size() < s_.max_attempts &&
           std::ranges::none_of(m.message.past_attempts, &PastAttempt::orphaned);
  }

  bool repeatable(const MessageState& m) const {
    const bool idempotent = s_.classes[m.message.cls].effect == Effect::idempotent;
    return idempotent || !m.first_risky_send() || now_ < window_end(m).value_or(Time::min());
  }

  // Returns until when a message with a key that may have run can start to run again.
  std::optional<Time> window_end(const MessageState& m) const {
    const ClassSettings& c = s_.classes[m.message.cls];
    const std::optional<Time> risky = m.first_risky_send();
    if (!risky || c.effect != Effect::deduplicated) return std::nullopt;
    return *risky + c.window - kWindowMargin;
  }

  void on(const Withdrawn& w) {
    MessageState* const m = messages_.find(w.id);
    if (!m || m->completed) return;
    messages_.complete(*m);
    messages_.erase_if_ended(w.id, now_);
  }

  void on(const Timer&) {}  // the timer only triggers a call of step()

  void fail(MessageState& m) {
    actions_.push_back(Fail{m.message.id});
    messages_.complete(m);
  }

  // -------------------------------------------------------------------------- expiry and timers
  // Fails queued messages, and messages in flight without an answer, shortly before their deadline. A
  // message with a key whose window has passed can neither be sent again nor refused: it fails at once.
  void expire() {
    while (!expiries_.empty() && expiries_.begin()->first <= now_ + kExpiryMargin) {
      MessageState* const m = messages_.find(expiries_.begin()->second);
      expiries_.erase(expiries_.begin());
      if (!m || m->completed) continue;
      const bool over = m->message.valid_until <= now_ + kExpiryMargin;
      if (over || (m->queued && !repeatable(*m))) fail(*m);
    }
    messages_.erase_completed(now_);
  }

  // Sets a timer for the next event: a short poll interval while messages are queued, else the next
  // evaluation of caps, expiry of a message or request for the list. At most one timer is pending.
  void schedule_timer() {
    Time next = Time::max();
    if (!waiting_.empty()) next = now_ + kQueuedPollInterval;
    if (!active_.empty()) next = std::min(next, control_at_);
    const Time expiry = messages_.next_expiry();  // completed messages need no check
    if (expiry < Time::max()) next = std::min(next, expiry - kExpiryMargin);
    if (s_.list_on_request && !subscribed_since_) next = std::min(next, subscribe_at_);
    for (const IdleAge& kind : idle_ages_) {
      const Duration keep = kind.max_idle();
      if (!idle_.empty() && keep < s_.connection_idle) next = std::min(next, idle_.begin()->first + keep);
    }
    if (next == Time::max() || (timer_at_ > now_ && timer_at_ <= next)) return;
    const Duration after = std::max(next - now_, std::max(s_.tick, Duration(1ms)));
    timer_at_ = now_ + after;
    actions_.push_back(SetTimer{0, after});
  }

  Settings s_;
  std::mt19937_64 random_;
  Time now_{};
  std::vector<Action> actions_;
  Fleet fleet_;
  std::vector<Host>& hosts_ = fleet_.hosts;
  std::vector<LimitGroup>& limit_groups_ = fleet_.limit_groups;
  std::vector<Destination>& destinations_ = fleet_.destinations;
  std::vector<std::size_t>& active_ = fleet_.active;
  MessageTable messages_;
  std::unordered_map<MessageId, MessageState>& records_ = messages_.messages;
  std::map<std::uint64_t, KeyQueue>& keys_ = messages_.keys;
  std::unordered_map<std::uint64_t, Call>& calls_ = messages_.calls;
  std::multimap<Time, MessageId>& expiries_ = messages_.expiries;
  std::set<std::size_t>& waiting_ = messages_.waiting;  // destinations with queued messages
  std::set<std::pair<Time, std::size_t>>& idle_ = fleet_.idle;
  std::vector<RateMeter> tenant_rates_;
  std::optional<RateMeter> total_rate_;
  std::uint64_t last_call_ = 0;
  std::optional<Time> subscribed_since_;
  int failed_subscriptions_ = 0;
  Time subscribe_at_ = Time::min(),
       last_heard_at_{};  // next request; last time at which data could have arrived
  Time started_{}, control_at_{};
  WorkingSet working_set_;
  Time timer_at_ = Time::min();
  std::uint64_t step_ = 0;
  std::set<HostId> disabled_hosts_;  // whether listed or not
  std::vector<IdleAge> idle_ages_;   // by kind
};

Sender::Sender(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Sender::~Sender() = default;
Sender::Sender(Sender&&) noexcept = default;
Sender& Sender::operator=(Sender&&) noexcept = default;

std::vector<Action> Sender::step(Time now, std::span<const Event> events) { return impl_->step(now, events); }

LearnedState Sender::snapshot(Time now) { return impl_->snapshot(now); }

std::size_t Sender::destinations() const { return impl_->destinations(); }

}  // namespace vetchhinge
