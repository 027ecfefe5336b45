// The decision module. Its types, events and actions: include/vetchhinge/policy.h
//
// Messages are held per destination and leave while its calls in flight sit under its cap: halved on errors,
// cut when p95 rises well above its usual, raised by one when healthy. The rest is what the rules need, and
// guards. "post" marks a value of the Backpressure post, "ours" the project's own.

#include "vetchhinge/policy.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>

#include "asking.h"
#include "cap.h"
#include "fleet.h"
#include "idle_age.h"
#include "learned.h"
#include "parameters.h"
#include "ramp.h"
#include "recent.h"
#include "records.h"
#include "settings.h"
#include "spans.h"
#include "work.h"
#include "working_set.h"

namespace vetchhinge {
using namespace std::chrono_literals;

class Sender::Impl {
 public:
  explicit Impl(Settings settings)
      : s_(std::move(settings)), random_(s_.seed), fleet_(s_.connection_idle), work_(fleet_) {
    validate(s_);
  }

  std::vector<Action> step(Time now, std::span<const Event> events) {
    now_ = now;
    ++step_;
    const bool first = !all_rate_;
    if (first) start(now);
    actions_.clear();
    for (const Event& e : events) std::visit([this](const auto& event) { on(event); }, e);
    if (first && s_.list_on_request && fleet_.known() > 0) ask_at_ = now + first_ask(s_, unit());
    ask_for_list();
    control();
    expire();
    dispatch();
    close_idle();
    keep_time();
    return std::exchange(actions_, {});
  }

  LearnedState snapshot(Time now) { return vetchhinge::learned(fleet_, now); }
  std::size_t destinations() const { return fleet_.known_destinations(); }

 private:
  void start(Time now) {
    started_ = now;
    control_at_ = now + kControlTick;
    for (std::size_t i = 0; i < s_.tenants.size(); ++i) tenant_rates_.emplace_back(kTenantMemory, now);
    all_rate_.emplace(kTenantMemory, now);
    idle_ages_.assign(s_.kinds.size(), IdleAge(s_.connection_idle));
  }

  // Not std::uniform_real_distribution: its sequence may differ between standard libraries.
  double unit() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  double jitter(double spread) { return 1 + spread * (2 * unit() - 1); }

  // -------------------------------------------------------------------------- list tracking
  void on(const HostList& list) {
    if (list.kind == HostList::Kind::lost) {
      // One that brought a list and ended early has cost discovery as much as one that failed.
      if (watched_since_ && now_ >= *watched_since_ + s_.list_request_interval) asks_failed_ = 0;
      if (watched_since_) heard_at_ = now_ - scaled(list.silent_for, 1 + kJitter * unit());
      watched_since_.reset();
      ask_at_ = now_ + next_ask(s_, asks_failed_++, now_ - heard_at_, unit());
      return;
    }
    if (list.kind != HostList::Kind::cached && !watched_since_) watched_since_ = now_;
    if (list.kind != HostList::Kind::changes) {
      fleet_.none_told();  // what a whole list does not name is gone
    }
    for (const HostEntry& e : list.entries) update(e);
  }

  void update(const HostEntry& e) {
    auto known = fleet_.find(e.host);
    if (!known) {
      if (e.state != HostState::running || e.kind >= s_.kinds.size()) return;
      known = add_host(e);
    }
    fleet_.told(*known, e.state);
    hosts_[*known].by_hand = by_hand_.contains(e.host);
  }

  // It may be restarted while it is out: it comes back cold, and gets what a host gets after an outage. What
  // is held for it goes to other hosts of the destination, or ends now if there are none.
  void on(const OperatorHostOverride& b) {
    if (b.disabled) by_hand_.insert(b.host);
    if (!b.disabled) by_hand_.erase(b.host);
    const auto known = fleet_.find(b.host);
    if (!known) return;
    Host& h = hosts_[*known];
    outage_seen(h);
    h.by_hand = b.disabled;
    if (!b.disabled) h.failure_weight = 0;
    const std::size_t d = lanes_[h.lane].destination;
    if (!fleet_.shut_by_hand(d)) return;
    for (const MessageId id : std::vector(destinations_[d].hold)) give_up(entries_.at(id));
  }

  std::size_t add_host(const HostEntry& e) {
    const std::size_t d = destination_for(e.destination);
    destinations_[d].kind = e.kind;
    // What is new here may have been known, and at rest, all along: see WorkingSet. Its rates begin at 0.
    Lane fresh(start_cap(s_.slots), watched_latencies(), RateMeter(kRateLeast, started_),
               RateMeter(kUsualMemory, started_));
    fresh.judged_at = started_;
    return fleet_.add(e, d, s_.kinds[e.kind].per_host_limits, fresh);
  }

  std::size_t destination_for(DestinationId id) {
    const std::size_t known = fleet_.known_destinations();
    const std::size_t d = fleet_.destination_for(id, RateMeter(kUsualMemory, started_));
    if (s_.max_destinations > 0 && fleet_.known_destinations() > known) working_set_.added(d);
    return d;
  }

  void put_away() {
    if (fleet_.known_destinations() <= s_.max_destinations || s_.max_destinations == 0) return;
    for (const std::size_t d : working_set_.surplus(fleet_, s_, now_)) {
      actions_.push_back(EvictDestination{destinations_[d].id});
      fleet_.put_away(d);
    }
  }

  void ask_for_list() {
    if (!s_.list_on_request || watched_since_ || now_ < ask_at_) return;
    actions_.push_back(SubscribeHostList{});
    heard_at_ = now_;
    ask_at_ = now_ + 2 * s_.list_request_interval;  // should the one answer that it gets never come
  }

  // -------------------------------------------------------------------------- admission
  void on(const Message& m) {
    if (m.cls >= s_.classes.size() || entries_.contains(m.id)) return;
    Entry e;
    e.message = m;
    e.destination = destination_for(m.destination);
    e.worth = s_.classes[m.cls].worth * share_worth(m);
    e.ordered = s_.classes[m.cls].ordered && m.key.has_value();
    Entry& entry = work_.add(std::move(e));
    destinations_[entry.destination].arrivals.add(now_, 1);
    for (const PastAttempt& p : m.past_attempts) take_up_attempt(entry, p);
    if (entry.out > 0) return;
    hold_or_end(entry);
    if (entry.held) make_room(entry);
  }

  // A call that an earlier process still has out holds its slot, its part of the cap and its message here.
  void take_up_attempt(Entry& e, const PastAttempt& p) {
    if (!p.in_flight) {
      e.attempts.push_back({0, 0, p.zone, p.sent, p.may_have_run ? Fate::may_have_run : Fate::never_ran});
      return;
    }
    const auto known = fleet_.find(p.host);
    const HostEntry entry{p.host, e.message.destination, p.zone, destinations_[e.destination].kind};
    const std::size_t h = known ? *known : add_host(entry);
    const std::uint64_t id = kEarlierCall | p.call;
    ++work_.begin(id, Call{h, p.sent}).messages;
    ++e.out;
    e.attempts.push_back({h, id, p.zone, p.sent});
    activate(hosts_[h].lane);
  }

  void on(const PredecessorCallsEnded&) {
    for (auto& [id, e] : entries_) e.message.predecessor_call_open = false;
  }

  void on(const LearnedState& learned) {
    for (const std::size_t lane : take_up(fleet_, learned, now_)) activate(lane);
  }

  // A tenant whose part of the traffic here is well over its fraction is worth less at the margin.
  double share_worth(const Message& m) {
    if (!m.tenant || *m.tenant >= tenant_rates_.size()) return 1;
    all_rate_->add(now_, 1);
    RateMeter& own = tenant_rates_[*m.tenant];
    own.add(now_, 1);
    const double share = own.per_second(now_, kRateLeast) / all_rate_->per_second(now_, kRateLeast);
    return share > s_.tenants[*m.tenant].fraction * kTenantSlack ? s_.over_share_worth : 1;
  }

  // Refuses, lowest rank first, until the holds fit their bounds again. Openly and early: the client may
  // still go elsewhere, and what stays can be served in time.
  void make_room(const Entry& arrived) {
    const Destination& d = destinations_[arrived.destination];
    const auto room = static_cast<std::size_t>(std::max(1.0, s_.max_open * kRoom));
    const auto bound = std::max(kHoldLeast, static_cast<std::size_t>(static_cast<double>(room) * kHoldShare));
    if (d.hold.size() > bound || waits_too_long(arrived, arrived.destination)) {
      shed(d.hold);
    } else if (work_.open > room) {
      const Destination* longest = &d;
      for (const std::size_t other : waiting_) {
        if (destinations_[other].hold.size() > longest->hold.size()) longest = &destinations_[other];
      }
      shed(longest->hold);
    }
  }

  bool waits_too_long(const Entry& e, std::size_t d) {
    if (recovering(d) || (!rationed(d) && destinations_[d].hold.size() <= kHoldLeast)) return false;
    return backlog_time(d) > kWaitShare * seconds(e.message.valid_until - now_);
  }

  // A relay of many gets its part of a limit and no more until it calls again: where little comes by, one
  // call in some seconds. Of few relays the part changes many times in the while that a message can wait.
  bool rationed(const Lane& l) const { return s_.relays > kFewRelays && near_limit(l, now_); }
  bool rationed(std::size_t d) const {
    return std::ranges::any_of(destinations_[d].lanes, [this](std::size_t l) { return rationed(lanes_[l]); });
  }

  // What was taken in good hope, and won't be served in time by now, is given back at once.
  void thin_out(std::size_t d) {
    const std::vector<MessageId>& held = destinations_[d].hold;
    for (std::size_t left = held.size(); left > 0 && waits_too_long(entries_.at(held.back()), d); --left) {
      shed(held);
      if (held.size() == left) return;
    }
  }

  // In an outage nothing tells when it ends: work waits, and the hold's bound alone refuses.
  bool recovering(std::size_t d) const {
    return fleet_.any_host(d, [](const Host& h) { return h.in_slow_start && h.usable(); });
  }

  // Seconds in which the hold could drain at the present cap and latency.
  double backlog_time(std::size_t d) {
    double rate = 0, at_once = 0;
    for (const std::size_t at : destinations_[d].lanes) {
      Lane& l = lanes_[at];
      double lane = l.cap / seconds(expected_latency(d));
      if (rationed(l)) {
        refill_pace(l, s_, now_);
        at_once += std::max(0.0, l.pace_budget);
        lane = std::min(lane, part_of_limit(l, s_, now_));
      }
      rate += lane;
    }
    rate *= s_.kinds[destinations_[d].kind].batch;
    const double held = static_cast<double>(destinations_[d].hold.size());
    return rate > 0 ? std::max(0.0, held - at_once) / rate : seconds(s_.max_wait_hint);
  }

  void shed(const std::vector<MessageId>& held) {
    const Entry* least = nullptr;
    for (const MessageId id : held) {
      const Entry& e = entries_.at(id);
      if (!may_refuse(e) || e.waits_since_restart()) continue;
      if (!least || rank(e, 0s) <= rank(*least, 0s)) least = &e;  // of equals the newest
    }
    if (least) refuse(entries_.at(least->message.id));
  }

  bool may_refuse(const Entry& e) const {
    const bool unproven = e.first_risky_send().has_value();
    return repeatable(e) && (!unproven || s_.classes[e.message.cls].effect != Effect::deduplicated ||
                             s_.classes[e.message.cls].scope == KeyScope::all);
  }

  // The hint is the time that the backlog takes, spread so that refused clients don't return together.
  void refuse(Entry& e) {
    const double backlog = std::min(backlog_time(e.destination), seconds(s_.max_wait_hint));
    Duration wait = span(backlog);
    // Nothing tells when a host comes back by hand: early enough to be tried again before the time is up.
    if (fleet_.shut_by_hand(e.destination)) wait = scaled(e.message.valid_until - now_, kOutHint);
    wait = scaled(std::max(wait, kHintLeast), jitter(kHintSpread));
    actions_.push_back(Refuse{e.message.id, s_.wait_hints ? std::min(wait, s_.max_wait_hint) : 0us});
    work_.close(e);
  }

  // Worth of sending now. Work still in time goes before late work; older work in time goes first among
  // equals, for it has less slack; of late work the one that is worth most.
  double rank(const Entry& e, Duration latency) const {
    const ClassSettings& c = s_.classes[e.message.cls];
    const Duration age = now_ + latency - (e.message.valid_until - c.deadline);
    if (age <= c.aim) return e.worth * (1 + std::max(0.0, seconds(age) / seconds(c.aim)));
    double left = c.late_worth;
    if (s_.late_worth_halves) {
      left = std::max(left, std::exp2(-seconds(age - c.aim) / seconds(c.aim)));
    } else if (c.deadline > c.aim) {
      left = 1 - (1 - left) * std::min(1.0, seconds(age - c.aim) / seconds(c.deadline - c.aim));
    }
    return e.worth * left;
  }

  // -------------------------------------------------------------------------- cap control
  void control() {
    if (now_ < control_at_) return;
    control_at_ = now_ + kControlTick;
    fleet_.forget_gone(s_.kinds);
    put_away();
    for (IdleAge& kind : idle_ages_) kind.judge(now_);
    std::erase_if(active_, [this](std::size_t l) {
      judge(lanes_[l], now_, s_.slots);
      return !lanes_[l].active;
    });
    for (const std::size_t d : std::set(waiting_)) thin_out(d);
    work_.forget_keys(now_);
  }

  void activate(std::size_t lane) {
    if (active_.empty()) control_at_ = std::max(control_at_, now_ + kControlTick);
    if (!std::exchange(lanes_[lane].active, true)) active_.push_back(lane);
  }

  // -------------------------------------------------------------------------- dispatch
  // Taken on before a restart and never tried: its client has its 202 and can't go elsewhere, while what
  // arrives now can still be refused. So it goes first, earliest deadline first, whatever it is worth by now.
  struct Priority {
    bool untried = false;  // since before a restart
    double value = 0;      // of what is untried: minus the seconds left; else the worth of sending now
    auto operator<=>(const Priority&) const = default;
  };
  struct Candidate {
    Priority priority;
    MessageId id{};
  };

  struct Queue {
    std::vector<Candidate> ready;  // best last
    double latency;                // seconds that a call is expected to take
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
      Entry& e = entries_.at(best->ready.back().id);
      best->ready.pop_back();
      if (const auto host = choose_host(e)) {
        send(e, *host);
      } else if (e.attempts.empty()) {
        best->ready.clear();  // what holds for a fresh message holds for the rest
      }
    }
  }

  // Sendable messages of a destination, best last.
  std::vector<Candidate> candidates(std::size_t d) {
    std::vector<Candidate> result;
    const Destination& destination = destinations_[d];
    if (destination.hold.empty()) return result;
    const auto ready = [this](std::size_t l) { return lane_ready(lanes_[l]); };
    if (std::ranges::none_of(destination.lanes, ready)) return result;
    const Duration latency = expected_latency(d);
    bool gathered = false;
    for (const MessageId id : destination.hold) {
      const Entry& e = entries_.at(id);
      if (!may_send(e)) continue;
      // The head of a key's queue holds up all behind it.
      const std::size_t behind = e.ordered ? keys_.at(*e.message.key).waiting.size() : 1;
      const double worth = rank(e, latency) * static_cast<double>(behind);
      const Duration left = e.message.valid_until - now_;
      const bool untried = e.untried_since_restart() && left > kTimeForUntried * latency;
      result.push_back({untried ? Priority{true, -seconds(left)} : Priority{false, worth}, id});
      const ClassSettings& c = s_.classes[e.message.cls];
      const Time taken = e.message.valid_until - c.deadline;
      gathered = gathered || now_ >= taken + scaled(c.aim, kGatherShare);
    }
    // Where calls carry batches, messages wait a little for company: fewer calls, slots and connections.
    const std::uint32_t batch = s_.kinds[destination.kind].batch;
    if (batch > 1 && !gathered && result.size() < batch) result.clear();
    std::ranges::stable_sort(result, {}, &Candidate::priority);
    return result;
  }

  bool may_send(const Entry& e) const {
    if (e.out > 0 || now_ < e.not_before || e.message.predecessor_call_open) return false;
    // What timed out alone is still there for as long as the call that carried it stays open for the others.
    if (!e.attempts.empty() && calls_.contains(e.attempts.back().call)) return false;
    return (!e.ordered || work_.is_next(e, now_)) && may_try(e);
  }

  Duration expected_latency(std::size_t d) const {
    double best = 0;
    for (const std::size_t l : destinations_[d].lanes) {
      const double mid = lanes_[l].latencies.quantile(0.5);
      if (mid > 0 && (best == 0 || mid < best)) best = mid;
    }
    if (best == 0) best = seconds(s_.classes.front().aim) * kGuessShare;
    return span(best);
  }

  bool lane_ready(const Lane& l) const {
    return now_ >= l.server_backoff_until && now_ >= l.local_backoff_until;
  }

  std::optional<std::size_t> choose_host(const Entry& e) {
    std::optional<std::size_t> best;
    const Destination& d = destinations_[e.destination];
    const bool safe = s_.classes[e.message.cls].effect == Effect::idempotent;
    for (const std::size_t l : d.lanes) {
      if (!lane_ready(lanes_[l])) continue;
      refill_pace(lanes_[l], s_, now_);
      for (const std::size_t h : lanes_[l].hosts) {
        if (!hosts_[h].usable() || !in_scope(e, hosts_[h])) continue;
        if (joinable(hosts_[h], d)) return h;  // joining a call of this step costs neither slot nor limit
        if (!lane_has_room(lanes_[l]) || !host_has_room(hosts_[h])) continue;
        if (!best || better(hosts_[h], hosts_[*best], safe)) best = h;
      }
    }
    return best;
  }

  bool joinable(const Host& h, const Destination& d) const {
    if (h.step != step_) return false;
    return calls_.at(h.step_call).messages < static_cast<int>(s_.kinds[d.kind].batch);
  }

  // A repeat that may have run may go only where its key is remembered.
  bool in_scope(const Entry& e, const Host& h) const {
    const ClassSettings& c = s_.classes[e.message.cls];
    if (c.effect != Effect::deduplicated || c.scope == KeyScope::all) return true;
    return std::ranges::none_of(
        e.attempts, [&](const Attempt& a) { return a.fate != Fate::never_ran && a.zone != h.zone; });
  }

  bool lane_has_room(const Lane& l) const {
    if (l.in_flight >= l.cap || work_.in_flight >= static_cast<int>(s_.slots)) return false;
    if (l.pace_budget < 1) return false;
    if (!l.poor()) return true;
    // All slow or failing destinations together leave half of the slots to the others.
    int poor_out = 0;
    for (const std::size_t other : active_) poor_out += lanes_[other].poor() ? lanes_[other].in_flight : 0;
    return poor_out < poor_share(s_.slots);
  }

  bool host_has_room(Host& h) {
    const bool open = h.failure_weight >= kOpenAfter;  // circuit half-open: one call
    if (open ? h.in_flight > 0 || now_ < h.retry_at : stalled(h)) return false;
    if (!h.in_slow_start) return true;
    refill_budget(h, lanes_[h.lane], sure_rate(lanes_[h.lane]), s_, now_);
    return !h.in_slow_start || h.slow_start_budget >= 1;
  }

  // Stall guard: what never answers has no latency to rise. While a call is overdue and nothing sent since
  // has come back, no more goes to that host: it answers a hung, silent or suddenly slow one before the first
  // time-out. It may hold back a host for one unlucky call, until the next success there.
  bool stalled(const Host& h) const {
    for (const std::uint64_t id : h.calls) {
      const Call& call = calls_.at(id);
      if (call.sent <= h.last_success) continue;
      return now_ - call.sent > overdue_after(lanes_[h.lane]);
    }
    return false;
  }

  Duration overdue_after(const Lane& l) const {
    const double p95 = watched_latency(l);
    const double least = seconds(s_.classes.front().aim) * kStallAim;
    return span(std::max(least, kStallP95 * p95));
  }

  // A failure or two put a host last for a pause, and an open circuit lets one call through after its pause:
  // only a call there can show that it works again. That is for work which may be repeated.
  int standing(const Host& h, bool safe) const {
    if (h.failure_weight >= kOpenAfter) return safe ? 0 : 3;
    if (h.failure_weight > 0 && now_ < h.retry_at) return 2;
    return 1;
  }

  // Healthy first, then the host with the fewest calls out, then one in the relay's own zone: a call across
  // zones holds its slot for a round trip more, and for several where its connection is new. Then one with an
  // idle connection.
  bool better(const Host& a, const Host& b, bool safe) const {
    if (standing(a, safe) != standing(b, safe)) return standing(a, safe) < standing(b, safe);
    if (!safe && a.in_slow_start != b.in_slow_start) return b.in_slow_start;  // else its budget bounds it
    if (a.in_flight != b.in_flight) return a.in_flight < b.in_flight;
    if (s_.zone && a.zone != b.zone) return a.zone == *s_.zone;
    return idle(a) > idle(b);
  }

  int idle(const Host& h) const { return fleet_.idle_connections(h, now_); }

  void send(Entry& e, std::size_t at) {
    Host& h = hosts_[at];
    Lane& l = lanes_[h.lane];
    const Destination& d = destinations_[e.destination];
    if (joinable(h, d)) {
      h.slow_start_budget -= h.in_slow_start ? kBatchWeight : 0;
    } else {
      h.step = step_;
      h.step_call = ++last_call_;
      work_.begin(last_call_, Call{at, now_, idle(h) > 0 ? now_ - h.last_end : 0us});
      h.idle_connections = std::max(0, idle(h) - 1);
      l.pace_budget -= 1;
      l.recent_calls.add(now_, 1);
      h.slow_start_budget -= h.in_slow_start ? 1 : 0;
    }
    ++calls_.at(h.step_call).messages;
    activate(h.lane);
    work_.unhold(e);
    ++e.out;
    const Time write_deadline = window_end(e).value_or(Time::max());
    e.attempts.push_back({at, h.step_call, h.zone, now_});
    if (e.ordered) ++keys_.at(*e.message.key).out;
    const IdleAge& age = idle_ages_[d.kind];
    const bool once = s_.classes[e.message.cls].effect == Effect::at_most_once;
    actions_.push_back(
        Send{e.message.id, h.id, timeout(e, l), once ? age.keep_once() : age.keep(), once, write_deadline});
  }

  // Long enough for a slow destination that works, short enough that a silent one doesn't pin slots.
  Duration timeout(const Entry& e, const Lane& l) const {
    const ClassSettings& c = s_.classes[e.message.cls];
    const double p95 = watched_latency(l);
    double t = std::max(kTimeoutAim * seconds(c.aim), kTimeoutP95 * p95);
    if (c.effect == Effect::at_most_once) t *= kTimeoutOnce;
    if (work_.in_flight >= static_cast<int>(s_.slots)) t *= kTimeoutShort;  // other work waits for the slot
    if (c.effect == Effect::deduplicated) t = std::min(t, kWindowShare * seconds(c.window));
    const Duration left = e.message.valid_until - now_;
    return std::max(Duration(1ms), std::min(left, span(t)));
  }

  // -------------------------------------------------------------------------- outcomes
  void on(const Outcome& o) {
    Entry* const found = work_.find(o.id);
    if (!found) return;
    Entry& e = *found;
    if (o.attempt >= e.attempts.size() || e.attempts[o.attempt].fate != Fate::pending) return;
    Attempt& a = e.attempts[o.attempt];
    const bool ran =
        o.result != Result::full && o.result != Result::connect_failed && o.result != Result::not_sent;
    a.fate = ran ? Fate::may_have_run : Fate::never_ran;
    --e.out;
    const bool open =
        o.result == Result::timed_out || o.result == Result::reset || o.result == Result::cancelled;
    if (e.ordered) work_.leave_key(e, open ? now_ + s_.ordered_key_delay : Time{});
    heed(lanes_[hosts_[a.host].lane], o, a.sent);
    settle_call(a, o);
    if (o.terminal && !e.done) work_.close(e);
    if (!e.done) retry_or_end(e, o.result);
    work_.forget_if_over(o.id, now_);
  }

  // Every outcome's wait binds, also those of one call that tell different ones.
  void heed(Lane& l, const Outcome& o, Time sent) {
    if (o.report) heed_report(l, *o.report, sent, now_);
    if (o.wait > 0us) l.server_backoff_until = std::max(l.server_backoff_until, now_ + o.wait + kWaitMargin);
  }

  void settle_call(const Attempt& a, const Outcome& o) {
    Call& call = calls_.at(a.call);
    Host& h = hosts_[a.host];
    Lane& l = lanes_[h.lane];
    if (o.connection) call.idle = o.connection->idle;  // what was only expected when it was sent
    if (!std::exchange(call.judged, true)) count(h, l, call, o);
    work_.end(a, o.result == Result::delivered || o.result == Result::error, now_);
  }

  void learn_idle(const Lane& l, const Call& call, const Outcome& o) {
    IdleAge& kind = idle_ages_[destinations_[l.destination].kind];
    if (o.result == Result::delivered) kind.answered(now_, call.idle, o.elapsed);
    if (broke(o)) kind.broke(now_, call.idle);
  }

  void close_idle() {
    fleet_.drop_lapsed(now_);
    std::erase_if(idle_, [this](const auto& i) {
      Host& h = hosts_[i.second];
      if (idle(h) == 0) return true;
      if (now_ < i.first + keep(lanes_[h.lane])) return false;
      h.idle_connections = 0;
      actions_.push_back(CloseIdleConnections{h.id});
      return true;
    });
  }

  // Idle connections of hundreds of relays fill the tables of hosts that take few, and nothing tells which
  // do; without one each rare call costs a handshake. So they are kept until a new one is turned away though
  // the limit has room, and then, for a while, only where the next call is soon. A few relays keep theirs.
  Duration keep(Lane& l) {
    const Duration known = idle_ages_[destinations_[l.destination].kind].keep();
    if (s_.relays <= kFewRelays || now_ >= l.thrifty_until) return known;
    const double between = static_cast<double>(l.hosts.size()) / l.usual_calls.per_second(now_, kRateLeast);
    return between > kKeepLatencies * seconds(expected_latency(l.destination)) ? 0us : known;
  }

  void turned_away(Lane& l) { l.thrifty_until = now_ + scaled(s_.connection_idle, kThriftyFor); }

  void count(Host& h, Lane& l, const Call& call, const Outcome& o) {
    activate(h.lane);
    learn_idle(l, call, o);
    switch (o.result) {
      case Result::delivered:
        ++l.good;
        l.latencies.add(now_, seconds(o.elapsed));
        ++l.fresh;
        l.consecutive_rejections = l.failure_weight = 0;
        if (!h.in_slow_start) l.usual_calls.add(now_, 1);
        if (l.told_limit > 0) l.usual_share.add(now_, 1 / l.told_limit);
        h.failure_weight = 0;
        h.last_success = now_;
        if (h.in_slow_start && !h.slow_start_since) {
          h.slow_start_since = h.budget_at = now_;
          h.slow_start_budget = 0;
          l.thrifty_until = {};  // it was down, not full
        }
        return;
      case Result::full:
        ++l.bad;
        if (call.idle == 0us && !near_limit(l, now_)) turned_away(l);
        refused(l, call, o.wait);
        return;
      case Result::not_sent:
      case Result::cancelled:
        return;
      case Result::connect_failed:
      case Result::reset:
        if (broke(o)) {
          ++l.broken;  // tells nothing of load; of health little, and none where the connection lay idle
          if (call.idle == 0us) failed(h, l, call, kBroken);
          return;
        }
        if (o.result == Result::connect_failed) turned_away(l);
        [[fallthrough]];
      default:
        l.bad += alone(h, l) ? 0 : 1;
        failed(h, l, call, kFailed);
        return;
    }
  }

  // One that fails while another of its lane works is judged by itself: the destination serves on.
  bool alone(const Host& h, const Lane& l) const {
    return std::ranges::any_of(l.hosts, [&](std::size_t o) {
      return hosts_[o].usable() && hosts_[o].failure_weight == 0 && hosts_[o].last_success > h.last_success;
    });
  }

  void failed(Host& h, Lane& l, const Call& call, int weight) {
    if (call.sent < h.last_success) return;  // it has answered since: no proof of an outage
    h.failure_weight += weight;
    if (call.sent >= l.failed_at && !alone(h, l)) {  // calls that were out together are one proof
      l.failure_weight += weight;
      l.failed_at = now_;
    }
    const Duration pause = scaled(kProbeFirst, jitter(kProbeJitter));  // the cold budget bounds the sum
    if (l.failure_weight >= kOpenAfter) {
      for (const std::size_t other : l.hosts) outage_seen(hosts_[other]);
      l.local_backoff_until = std::max(l.local_backoff_until, now_ + pause);
    }
    h.retry_at = now_ + pause;
    if (h.failure_weight >= kOpenAfter || (weight == kFailed && mostly_failing(l))) outage_seen(h);
  }

  void outage_seen(Host& h) {
    Lane& l = lanes_[h.lane];
    // Kept from before: the meter forgets during the outage.
    if (!h.in_slow_start) l.rate_before_outage = l.usual_calls.per_second(now_, kRateLeast);
    l.paced_rate = 0;  // the cold budget takes over
    // At any moment within its turn: relays that see the same don't call together.
    h.slow_start_budget = std::min(h.in_slow_start ? h.slow_start_budget : 1, unit());
    h.in_slow_start = true;
    h.slow_start_since.reset();
    h.budget_at = now_;
  }

  // A refusal that told no wait is backed off from. After any, calls go at a pace, for a cap alone doesn't
  // bound calls a second where they are quick, and refused calls may use up the limit. Never under the usual
  // rate: small destinations would starve. Near a told limit each relay keeps to its part of that instead,
  // and comes again at a moment of its own: all were refused, and told to wait, at once. Refusals over a
  // longer span count as an outage, as of a destination that is shut.
  void refused(Lane& l, const Call& call, Duration told) {
    if (l.consecutive_rejections++ == 0) l.rejected_since = now_;
    Duration pause = backoff(l) * (1 << std::min(l.consecutive_rejections - 1, kBackoffDoublings));
    if (near_limit(l, now_)) {
      const double turn = kTurnShare / part_of_limit(l, s_, now_);
      pause = std::min(scaled(span(turn), unit()), kTurnMost * s_.classes.front().aim);
      l.pace_budget = std::min(l.pace_budget, jitter(1) - 1);
    } else {
      // At the end of a told wait all relays told would come at once, so some of the pause follows it.
      const double part = told <= 0us ? 1.0 : s_.relays > kFewRelays ? kToldShare : 0.0;
      pause = scaled(pause, part * jitter(kBackoffJitter));
      cut_pace(l, call, hosts_[call.host].in_slow_start, s_, now_);
    }
    l.local_backoff_until = std::max(l.local_backoff_until, now_ + told + pause);
    if (told <= s_.overload_window) keep_to_part(l, call.sent, now_);
    const bool shut = l.consecutive_rejections >= kShutRefusals && now_ - l.rejected_since > kShutSpan;
    // A relay that seldom calls would find out only when it is over, and by then all that wait come at once.
    const bool seldom = l.consecutive_rejections >= kSeldomRefusals && told <= 0us && !near_limit(l, now_) &&
                        own_rate(l) * seconds(kShutSpan) < 1;
    if (shut || seldom || told > s_.overload_window) {
      for (const std::size_t h : l.hosts) outage_seen(hosts_[h]);
    }
  }

  // What this relay used to send there, or is asked to: pauses go by it.
  double own_rate(Lane& l) {
    return std::max(
        {l.rate_before_outage, l.usual_calls.per_second(now_, kRateLeast), asked(l), kOwnLeast / s_.relays});
  }

  // Where routes are apart each gets its part of what arrives: what one can take is not what all can.
  double asked(const Lane& l) {
    Destination& d = destinations_[l.destination];
    const double arrivals = d.arrivals.per_second(now_, kRateLeast);
    return kArrivalShare * arrivals / static_cast<double>(d.lanes.size());
  }

  // The same, the surer the more calls tell of it: cold budgets in proportion to it bound the relays' sum.
  double sure_rate(Lane& l) {
    const double usual = std::max(l.rate_before_outage, l.usual_calls.per_second(now_, kRateLeast));
    const double known = usual * seconds(kUsualMemory);
    return (known * usual + asked(l)) / (known + 1);
  }

  Duration backoff(Lane& l) {
    return std::clamp(span(kBackoffShare / own_rate(l)), kBackoffLeast, s_.classes.front().aim);
  }

  // After an attempt that did not deliver: a rest, but where it was refused.
  void retry_or_end(Entry& e, Result result) {
    if (result != Result::full && may_try(e)) {
      Lane& l = lanes_[hosts_[e.attempts.back().host].lane];
      const int more = std::min(static_cast<int>(e.attempts.size()) - 1, kBackoffDoublings);
      e.not_before = now_ + scaled(backoff(l) * (1 << more), kAgainShare * jitter(kJitter));
    }
    hold_or_end(e);
  }

  // Into the hold where an attempt may follow, else the final answer.
  void hold_or_end(Entry& e) {
    if (!may_try(e) || fleet_.shut_by_hand(e.destination)) return give_up(e);
    if (const auto end = window_end(e)) expiries_.emplace(*end + kWindowMargin, e.message.id);
    work_.hold(e);
  }

  void give_up(Entry& e) { may_refuse(e) ? refuse(e) : fail(e); }

  bool may_try(const Entry& e) const {
    return repeatable(e) && e.attempts.size() < s_.max_attempts &&
           std::ranges::none_of(e.message.past_attempts, &PastAttempt::orphaned);
  }

  bool repeatable(const Entry& e) const {
    const bool idempotent = s_.classes[e.message.cls].effect == Effect::idempotent;
    return idempotent || !e.first_risky_send() || now_ < window_end(e).value_or(Time::min());
  }

  // Until when keyed work that may have run can begin to run again.
  std::optional<Time> window_end(const Entry& e) const {
    const ClassSettings& c = s_.classes[e.message.cls];
    const std::optional<Time> risky = e.first_risky_send();
    if (!risky || c.effect != Effect::deduplicated) return std::nullopt;
    return *risky + c.window - kWindowMargin;
  }

  void on(const Withdrawn& w) {
    Entry* const e = work_.find(w.id);
    if (!e || e->done) return;
    work_.close(*e);
    work_.forget_if_over(w.id, now_);
  }

  void on(const Timer&) {}  // the one timer only makes the caller call

  void fail(Entry& e) {
    actions_.push_back(Fail{e.message.id});
    work_.close(e);
  }

  // -------------------------------------------------------------------------- expiry and timers
  // Held work ends unsent, and work in flight without its answer, shortly before the deadline. Keyed work
  // whose window has passed can neither be sent nor refused again: it ends at once and frees its room.
  void expire() {
    while (!expiries_.empty() && expiries_.begin()->first <= now_ + kExpiryMargin) {
      Entry* const e = work_.find(expiries_.begin()->second);
      expiries_.erase(expiries_.begin());
      if (!e || e->done) continue;
      const bool over = e->message.valid_until <= now_ + kExpiryMargin;
      if (over || (e->held && !repeatable(*e))) fail(*e);
    }
    work_.forget_closed(now_);
  }

  // Asks for the next moment that matters: with work held a short beat, else the next judgement, end of a
  // message's time or question for the list. At most one timer is needed at a time.
  void keep_time() {
    Time next = Time::max();
    if (!waiting_.empty()) next = now_ + kHeartbeat;
    if (!active_.empty()) next = std::min(next, control_at_);
    const Time expiry = work_.next_expiry();  // what has ended needs no look any more
    if (expiry < Time::max()) next = std::min(next, expiry - kExpiryMargin);
    if (s_.list_on_request && !watched_since_) next = std::min(next, ask_at_);
    for (const IdleAge& kind : idle_ages_) {
      const Duration keep = kind.keep();
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
  std::vector<Lane>& lanes_ = fleet_.lanes;
  std::vector<Destination>& destinations_ = fleet_.destinations;
  std::vector<std::size_t>& active_ = fleet_.active;
  Work work_;
  std::unordered_map<MessageId, Entry>& entries_ = work_.entries;
  std::map<std::uint64_t, KeyQueue>& keys_ = work_.keys;
  std::unordered_map<std::uint64_t, Call>& calls_ = work_.calls;
  std::multimap<Time, MessageId>& expiries_ = work_.expiries;
  std::set<std::size_t>& waiting_ = work_.waiting;  // destinations with held work
  std::set<std::pair<Time, std::size_t>>& idle_ = fleet_.idle;
  std::vector<RateMeter> tenant_rates_;
  std::optional<RateMeter> all_rate_;
  std::uint64_t last_call_ = 0;
  std::optional<Time> watched_since_;
  int asks_failed_ = 0;
  Time ask_at_ = Time::min(), heard_at_{};  // when to ask; since when nothing could be heard at worst
  Time started_{}, control_at_{};
  WorkingSet working_set_;
  Time timer_at_ = Time::min();
  std::uint64_t step_ = 0;
  std::set<HostId> by_hand_;        // out, listed or not
  std::vector<IdleAge> idle_ages_;  // for each kind
};

Sender::Sender(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
Sender::~Sender() = default;
Sender::Sender(Sender&&) noexcept = default;
Sender& Sender::operator=(Sender&&) noexcept = default;

std::vector<Action> Sender::step(Time now, std::span<const Event> events) { return impl_->step(now, events); }

LearnedState Sender::snapshot(Time now) { return impl_->snapshot(now); }

std::size_t Sender::destinations() const { return impl_->destinations(); }

}  // namespace vetchhinge
