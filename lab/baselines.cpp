// Policies from their public descriptions, so that the product is compared on the same work. They keep the
// rules that any sender has to (lists, told waits, what may be repeated) and differ in how much they send,
// when, and what they do after a failure.
#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <unordered_map>

#include "policy.h"

namespace valedrum::lab {
namespace {

using namespace std::chrono_literals;
using namespace vetchhinge;

constexpr Duration kLook = 20ms;  // between looks at what is held
constexpr Duration kExpiryMargin = 15ms;

class Textbook : public Policy {
 public:
  Textbook(Settings settings, std::size_t relay, Truth& truth)
      : s_(std::move(settings)), relay_(relay), truth_(truth), random_(s_.seed, 0) {}

  std::vector<Action> step(Time now, std::span<const Event> events) override {
    now_ = now;
    actions_.clear();
    for (const Event& e : events) std::visit([this](const auto& event) { on(event); }, e);
    expire();
    for (auto& [id, d] : destinations_) {
      tick(d);
      dispatch(d);
    }
    if (s_.list_on_request && !watched_ && now_ >= ask_at_) {
      actions_.push_back(SubscribeHostList{});
      ask_at_ = now_ + s_.list_request_interval / 2;
    }

    if ((!held_.empty() || s_.list_on_request) && timer_at_ <= now_) {
      timer_at_ = now_ + kLook;
      actions_.push_back(SetTimer{0, kLook});
    }
    return std::exchange(actions_, {});
  }

 protected:
  struct Held {
    Message message;
    std::uint32_t attempts = 0;
    bool may_have_run = false, out = false, over = false;
    Time not_before{};
    HostId host{};
    Time sent{};
  };
  struct HostState_ {
    DestinationId destination{};
    bool running = false;
    int in_flight = 0;
  };
  struct Destination {
    std::deque<MessageId> hold;
    std::vector<HostId> hosts;
    int in_flight = 0;
    double limit = 1;  // calls in flight
    Time wait_until{};
    // What the adaptive ones measure:
    std::deque<std::pair<Time, double>> latencies;
    int good = 0, bad = 0;
    double least = 0;    // latency without a queue
    double tokens = 10;  // retries that may be made
    Time judged{};
  };

  // What makes a policy.
  virtual void started(Destination& d) = 0;
  virtual void tick(Destination&) {}
  virtual void learn(Destination&, const Outcome&) {}
  virtual bool may_retry(Destination&) { return true; }
  virtual Duration pause(std::uint32_t) { return 200ms; }  // after so many attempts
  virtual std::size_t most_held(const Destination&) { return s_.max_open; }
  virtual Duration hint() { return 1s; }

  virtual std::optional<HostId> choose(Destination& d) {
    std::vector<HostId> running;
    for (const HostId h : d.hosts) {
      if (hosts_.at(h).running) running.push_back(h);
    }
    if (running.empty()) return std::nullopt;
    return running[random_.below(static_cast<std::uint32_t>(running.size()))];
  }

  // The next to leave of what is held; none if all rest.
  virtual std::optional<std::size_t> next(Destination& d) {
    for (std::size_t i = 0; i < d.hold.size(); ++i) {
      if (held_.at(d.hold[i]).not_before <= now_) return i;
    }
    return std::nullopt;
  }

  Destination& destination(DestinationId id) {
    const auto [at, added] = destinations_.try_emplace(id);
    if (added) {
      at->second.judged = now_;
      started(at->second);
    }
    return at->second;
  }

  Settings s_;
  std::size_t relay_;
  Truth& truth_;
  Random random_;
  Time now_{};
  std::map<DestinationId, Destination> destinations_;
  std::unordered_map<HostId, HostState_> hosts_;
  std::unordered_map<MessageId, Held> held_;

 private:
  void on(const HostList& list) {
    if (list.kind == HostList::Kind::lost) {
      watched_ = false;
      return;
    }
    if (list.kind != HostList::Kind::cached) watched_ = true;
    if (list.kind != HostList::Kind::changes) {
      for (auto& [id, h] : hosts_) h.running = false;
    }
    for (const HostEntry& e : list.entries) {
      const auto [at, added] = hosts_.try_emplace(e.host);
      at->second.running = e.state == HostState::running;
      at->second.destination = e.destination;
      if (added) destination(e.destination).hosts.push_back(e.host);
    }
  }

  void on(const Message& m) {
    Held h;
    h.message = m;
    h.attempts = static_cast<std::uint32_t>(m.past_attempts.size());
    for (const PastAttempt& p : m.past_attempts) h.may_have_run |= p.may_have_run;
    Held& held = held_.emplace(m.id, std::move(h)).first->second;
    expiries_.emplace(m.valid_until, m.id);
    if (!may_try(held)) return end(m.id);
    Destination& d = destination(m.destination);
    if (d.hold.size() >= most_held(d) && held.attempts == 0) {
      actions_.push_back(Refuse{m.id, hint()});
      held_.erase(m.id);
      return;
    }
    d.hold.push_back(m.id);
  }

  void on(const Timer&) {}
  void on(const OperatorHostOverride&) {}
  void on(const LearnedState&) {}
  void on(const vetchhinge::PredecessorCallsEnded&) {}
  void on(const Withdrawn& w) { drop(w.id); }

  void on(const Outcome& o) {
    const auto found = held_.find(o.id);
    if (found == held_.end()) return;
    Held& h = found->second;
    Destination& d = destination(h.message.destination);
    if (std::exchange(h.out, false)) {
      --d.in_flight;
      --hosts_.at(h.host).in_flight;
      --in_flight_;
    }
    if (o.wait > 0us) d.wait_until = std::max(d.wait_until, now_ + o.wait + 2ms);
    const bool never_ran =
        o.result == Result::full || o.result == Result::connect_failed || o.result == Result::not_sent;
    if (!never_ran) h.may_have_run = true;
    if (o.result != Result::not_sent) learn(d, o);
    if (o.terminal || h.over) {
      held_.erase(found);
    } else if (h.message.valid_until <= now_ + kExpiryMargin || !may_try(h) || !may_retry(d)) {
      end(o.id);
    } else {
      h.not_before = now_ + pause(h.attempts);
      d.hold.push_back(o.id);
    }
  }

  bool may_try(const Held& h) const {
    const bool repeatable = !h.may_have_run || s_.classes[h.message.cls].effect == Effect::idempotent;
    return repeatable && h.attempts < s_.max_attempts;
  }

  void end(MessageId id) {
    const Held& h = held_.at(id);
    if (h.may_have_run) actions_.push_back(Fail{id});
    if (!h.may_have_run) actions_.push_back(Refuse{id, hint()});
    held_.erase(id);
  }

  void drop(MessageId id) {
    const auto found = held_.find(id);
    if (found == held_.end()) return;
    if (found->second.out) {
      found->second.over = true;
      return;
    }
    Destination& d = destination(found->second.message.destination);
    std::erase(d.hold, id);
    held_.erase(found);
  }

  // What is out then gets its answer too; its attempt is heard of later.
  void expire() {
    while (!expiries_.empty() && expiries_.begin()->first <= now_ + kExpiryMargin) {
      const MessageId id = expiries_.begin()->second;
      expiries_.erase(expiries_.begin());
      const auto found = held_.find(id);
      if (found == held_.end() || found->second.over) continue;
      actions_.push_back(Fail{id});
      if (found->second.out) {
        found->second.over = true;
      } else {
        std::erase(destination(found->second.message.destination).hold, id);
        held_.erase(found);
      }
    }
  }

  void dispatch(Destination& d) {
    while (!d.hold.empty() && now_ >= d.wait_until && in_flight_ < static_cast<int>(s_.slots) &&
           d.in_flight < static_cast<int>(d.limit)) {
      const std::optional<std::size_t> at = next(d);
      const std::optional<HostId> host = at ? choose(d) : std::nullopt;
      if (!host) return;
      const MessageId id = d.hold[*at];
      d.hold.erase(d.hold.begin() + static_cast<std::ptrdiff_t>(*at));
      Held& h = held_.at(id);
      ++h.attempts;
      h.out = true;
      h.host = *host;
      h.sent = now_;
      ++d.in_flight;
      ++hosts_.at(*host).in_flight;
      ++in_flight_;
      const Duration left = h.message.valid_until - now_;
      actions_.push_back(Send{id, *host, std::min(left, timeout(h))});
    }
  }

 protected:
  virtual Duration timeout(const Held& h) { return 2 * s_.classes[h.message.cls].aim; }

 private:
  std::vector<Action> actions_;
  std::multimap<Time, MessageId> expiries_;
  int in_flight_ = 0;
  bool watched_ = false;
  Time ask_at_{}, timer_at_ = Time::min();
};

// One try for each message, in the order of arrival; no limit but the slots.
class OneTry : public Textbook {
  using Textbook::Textbook;
  void started(Destination& d) override { d.limit = 1e9; }
  bool may_retry(Destination&) override { return false; }
};

// A fixed share of the slots for each destination, and a retry after a fixed pause.
class FixedCap : public Textbook {
  using Textbook::Textbook;
  void started(Destination& d) override { d.limit = std::max(1.0, s_.slots / 2.0); }
  bool may_retry(Destination&) override { return true; }
};

double p95(const std::deque<std::pair<Time, double>>& samples) {
  std::vector<double> values;
  for (const auto& [at, v] : samples) values.push_back(v);
  if (values.empty()) return 0;
  const auto at = values.begin() + static_cast<std::ptrdiff_t>(0.95 * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), at, values.end());
  return *at;
}

// The Backpressure post as written: bounded lanes that refuse with 15 s, and next_concurrency().
class Post : public Textbook {
  using Textbook::Textbook;
  static constexpr std::size_t kDepth = 120;  // its first example has this and 8 workers
  void started(Destination& d) override { d.limit = 8; }
  std::size_t most_held(const Destination&) override { return std::min<std::size_t>(kDepth, s_.max_open); }
  Duration hint() override { return 15s; }
  void learn(Destination& d, const Outcome& o) override {
    ++(o.result == Result::delivered ? d.good : d.bad);
    d.latencies.emplace_back(now_, seconds(o.elapsed));
    while (d.latencies.front().first + 10s < now_) d.latencies.pop_front();
  }
  void tick(Destination& d) override {
    if (now_ < d.judged + 1s || d.good + d.bad == 0) return;
    d.judged = now_;
    const double errors = static_cast<double>(d.bad) / (d.good + d.bad);
    const double slow = p95(d.latencies);
    if (errors > 0.1) {
      d.limit = std::max(1.0, std::floor(d.limit / 2));
    } else if (slow > 4) {
      d.limit = std::max(1.0, d.limit - 2);
    } else if (slow < 1.2 && errors < 0.02) {
      d.limit = std::min(16.0, d.limit + 1);
    }
    d.good = d.bad = 0;
  }
};

// A limit that follows the gradient of latency, as TCP Vegas does: shortest over present latency, and room
// for a short queue; halved at a failure.
class Gradient : public Textbook {
  using Textbook::Textbook;
  static constexpr double kSmooth = 0.2;
  void started(Destination& d) override { d.limit = std::max(1.0, s_.slots / 4.0); }
  void learn(Destination& d, const Outcome& o) override {
    if (o.result != Result::delivered) {
      d.limit = std::max(1.0, d.limit / 2);
      return;
    }
    const double latency = seconds(o.elapsed);
    d.least = d.least == 0 ? latency : std::min(d.least * 1.001, latency);  // forgets slowly
    const double gradient = std::clamp(2 * d.least / latency, 0.5, 1.0);
    const double wanted = d.limit * gradient + std::sqrt(d.limit);
    d.limit = std::clamp((1 - kSmooth) * d.limit + kSmooth * wanted, 1.0, std::max(1.0, 0.75 * s_.slots));
  }
};

// Retries from a budget of tokens that successes fill, with exponential backoff and full jitter; calls go to
// the endpoint with the fewest out.
class RetryBudget : public Textbook {
  using Textbook::Textbook;
  static constexpr double kPerSuccess = 0.1, kMost = 10;
  void started(Destination& d) override {
    d.limit = 1e9;
    d.tokens = kMost;
  }
  void learn(Destination& d, const Outcome& o) override {
    if (o.result == Result::delivered) d.tokens = std::min(kMost, d.tokens + kPerSuccess);
  }
  bool may_retry(Destination& d) override {
    if (d.tokens < 1) return false;
    d.tokens -= 1;
    return true;
  }
  Duration pause(std::uint32_t attempts) override {
    const double most = std::min(5.0, 0.1 * std::exp2(attempts));
    return span(random_.unit() * most);
  }
  std::optional<HostId> choose(Destination& d) override {
    std::optional<HostId> best;
    for (const HostId h : d.hosts) {
      if (!hosts_.at(h).running) continue;
      if (!best || hosts_.at(h).in_flight < hosts_.at(*best).in_flight) best = h;
    }
    return best;
  }
};

// Sends where and when there is room, as the true state says; ranks what it holds by what it still earns.
class Oracle : public Textbook {
  using Textbook::Textbook;
  void started(Destination& d) override { d.limit = 1e9; }
  Duration pause(std::uint32_t) override { return 0us; }
  std::optional<HostId> choose(Destination& d) override {
    if (std::exchange(counted_at_, now_) != now_) sent_now_.clear();
    double& sent = sent_now_[&d];  // which the true state has not counted yet
    std::optional<HostId> best;
    double best_in = kUnreachable;
    for (const HostId h : d.hosts) {
      if (!hosts_.at(h).running || truth_.room(static_cast<std::uint32_t>(h)) - sent < 1) continue;
      const double in = truth_.answer_in(static_cast<std::uint32_t>(relay_), static_cast<std::uint32_t>(h));
      if (in < best_in) {
        best = h;
        best_in = in;
      }
    }
    if (best) sent += 1;
    return best;
  }
  // First what can still earn its full worth, the dearest of it that has waited longest; then what loses
  // most.
  std::optional<std::size_t> next(Destination& d) override {
    std::optional<std::size_t> best;
    double best_rank = -1;
    for (std::size_t i = 0; i < d.hold.size(); ++i) {
      const Held& h = held_.at(d.hold[i]);
      const ClassSettings& c = s_.classes[h.message.cls];
      const double left = seconds(h.message.valid_until - now_);
      if (left < seconds(c.aim) / 8) continue;
      const bool timely = left > seconds(c.deadline - c.aim) + 0.3;
      const double rank = c.worth * (timely ? 2.0 : 1.0) + 1 - left / seconds(c.deadline);
      if (rank > best_rank) {
        best = i;
        best_rank = rank;
      }
    }
    return best;
  }
  Duration timeout(const Held& h) override { return s_.classes[h.message.cls].deadline; }

  std::map<const Destination*, double> sent_now_;
  Time counted_at_ = Time::min();
};

template <typename P>
PolicyMaker maker() {
  return [](Settings settings, std::size_t relay, Truth& truth) -> std::unique_ptr<Policy> {
    return std::make_unique<P>(std::move(settings), relay, truth);
  };
}

const std::vector<std::pair<std::string, PolicyMaker>>& all() {
  static const std::vector<std::pair<std::string, PolicyMaker>> makers = {
      {kFloor, maker<OneTry>()},
      {"fixed_cap", maker<FixedCap>()},
      {"backpressure", maker<Post>()},
      {"gradient", maker<Gradient>()},
      {"retry_budget", maker<RetryBudget>()},
      {kTop, maker<Oracle>()}};
  return makers;
}

}  // namespace

const std::vector<std::string>& textbook_names() {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> n;
    for (const auto& [name, maker] : all()) n.push_back(name);
    return n;
  }();
  return names;
}

PolicyMaker textbook(const std::string& name) {
  const auto found = std::ranges::find(all(), name, &std::pair<std::string, PolicyMaker>::first);
  return found == all().end() ? nullptr : found->second;
}

}  // namespace valedrum::lab
