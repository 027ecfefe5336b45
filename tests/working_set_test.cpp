/// Compares a Sender with max_destinations to one without: the same events lead to the same actions, except
/// for evictions. The caller passes in the hosts again before a message that needs them.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <tuple>
#include <vector>

#include "vetchhinge/policy.h"

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

Settings settings(std::uint32_t relays, std::uint64_t seed) {
  Settings s;
  s.seed = seed;
  s.slots = 24;
  s.max_open = 60;
  s.max_attempts = 5;
  s.relays = relays;
  s.wait_hints = true;
  s.start_capacity = 0.2;
  s.overload_factor = 2;
  s.overload_window = 1500ms;
  s.slow_start_duration = 10s;
  s.max_wait_hint = 3s;
  s.connection_idle = 5s;
  s.ordered_key_delay = 200ms;
  s.tick = 1ms;
  s.classes = {
      {.aim = 1500ms, .deadline = 8s, .effect = Effect::idempotent, .late_worth = 0.1},
      {.aim = 1500ms, .deadline = 20s, .window = 30s, .effect = Effect::deduplicated, .late_worth = 0.1}};
  s.kinds = {{}, {.per_host_limits = true, .batch = 4}};
  return s;
}

using ActionRecord = std::tuple<int, std::uint64_t, std::uint64_t, std::int64_t, std::int64_t, std::int64_t>;

ActionRecord record(const Action& a) {
  if (const auto* s = std::get_if<Send>(&a)) {
    return {0,
            std::uint64_t(s->id),
            std::uint64_t(s->host),
            s->timeout.count(),
            s->max_connection_idle.count(),
            s->write_deadline.time_since_epoch().count()};
  }
  if (const auto* r = std::get_if<Refuse>(&a)) return {1, std::uint64_t(r->id), 0, r->wait.count(), 0, 0};
  if (const auto* f = std::get_if<Fail>(&a)) return {2, std::uint64_t(f->id), 0, 0, 0, 0};
  if (const auto* t = std::get_if<SetTimer>(&a)) return {3, t->token, 0, t->after.count(), 0, 0};
  if (const auto* c = std::get_if<CloseIdleConnections>(&a)) return {4, std::uint64_t(c->host), 0, 0, 0, 0};
  return {5, 0, 0, 0, 0, 0};
}

// Plays the part of a relay: it keeps the list, passes hosts to the modules as needed and answers their
// calls.
class Pair {
 public:
  Pair(std::uint32_t relays, std::uint64_t seed, std::uint32_t max_destinations) : random_(seed) {
    Settings s = settings(relays, seed);
    unbounded_ = std::make_unique<Sender>(s);
    s.max_destinations = max_destinations;
    bounded_ = std::make_unique<Sender>(s);
  }

  // The first list is complete, later ones are changes.
  void list(std::vector<HostEntry> entries) {
    for (const HostEntry& e : entries) {
      auto& known = hosts_[e.destination];
      std::erase_if(known, [&](const HostEntry& h) { return h.host == e.host; });
      if (e.state != HostState::gone) known.push_back(e);
    }
    const auto kind = std::exchange(listed_, true) ? HostList::Kind::changes : HostList::Kind::cached;
    events_.emplace_back(HostList{kind, entries});
    std::erase_if(entries, [&](const HostEntry& e) { return evicted_.contains(e.destination); });
    if (!entries.empty()) bounded_events_.emplace_back(HostList{kind, entries});
  }

  void message(DestinationId to, std::uint32_t cls = 0, std::optional<std::uint64_t> key = {}) {
    pass_hosts(to);
    const Duration left = settings(1, 1).classes[cls].deadline + Duration(pick(1000));
    both(Message{MessageId(++last_), cls, to, now_ + left, {}, key, {}});
    destination_[MessageId(last_)] = to;
  }

  void set_disabled(DestinationId of, HostId host, bool disabled) {
    pass_hosts(of);
    both(OperatorHostOverride{host, disabled});
  }

  void step(Duration after = 0us) {
    now_ += after;
    while (!answers_.empty() && answers_.begin()->first <= now_) {
      both(answers_.begin()->second);
      answers_.erase(answers_.begin());
    }
    std::vector<ActionRecord> unbounded, bounded;
    const std::vector<Action> actions = unbounded_->step(now_, std::exchange(events_, {}));
    for (const Action& a : actions) unbounded.push_back(record(a));
    for (const Action& a : bounded_->step(now_, std::exchange(bounded_events_, {}))) {
      if (const auto* p = std::get_if<EvictDestination>(&a)) {
        ++evictions_;
        ASSERT_TRUE(evicted_.insert(p->destination).second);
      } else {
        bounded.push_back(record(a));
      }
    }
    ASSERT_EQ(unbounded, bounded) << "at " << now_.time_since_epoch().count() << " us";
    for (const Action& a : actions) carry_out(a);
  }

  // Runs for `span` of simulated time.
  void run(Duration span) {
    for (const Time end = now_ + span; now_ < end && !testing::Test::HasFatalFailure();) {
      Time next = end;
      if (!answers_.empty()) next = std::min(next, answers_.begin()->first);
      if (timer_ > now_) next = std::min(next, timer_);
      step(std::max(next - now_, Duration(1ms)));
    }
  }

  std::uint64_t pick(std::uint64_t below) { return random_() % below; }

  std::map<DestinationId, std::function<Outcome()>> answer;  // by destination; default: delivered
  Duration latency = 80ms;

  std::size_t kept() const { return bounded_->destinations(); }
  bool evicted(DestinationId d) const { return evicted_.contains(d); }
  std::size_t evictions() const { return evictions_; }
  std::size_t sends() const { return sends_; }
  std::map<DestinationId, std::vector<HostEntry>>& hosts() { return hosts_; }
  Time now() const { return now_; }

 private:
  void both(const Event& e) {
    events_.push_back(e);
    bounded_events_.push_back(e);
  }

  void pass_hosts(DestinationId d) {
    if (evicted_.erase(d) > 0) bounded_events_.emplace_back(HostList{HostList::Kind::changes, hosts_[d]});
  }

  void carry_out(const Action& a) {
    if (const auto* t = std::get_if<SetTimer>(&a)) timer_ = now_ + t->after;
    const auto* send = std::get_if<Send>(&a);
    if (!send) return;
    ++sends_;
    const DestinationId to = destination_.at(send->id);
    Outcome o = answer[to] ? answer[to]() : Outcome{};
    o.id = send->id;
    o.attempt = attempts_[send->id]++;
    o.terminal = o.result == Result::delivered;
    if (o.elapsed == 0us) o.elapsed = latency + Duration(pick(20000));
    answers_.emplace(now_ + std::min(o.elapsed, send->timeout), o);
  }

  std::mt19937_64 random_;
  std::unique_ptr<Sender> unbounded_, bounded_;
  Time now_{}, timer_{};
  std::vector<Event> events_, bounded_events_;
  std::multimap<Time, Outcome> answers_;
  std::map<DestinationId, std::vector<HostEntry>> hosts_;
  std::map<MessageId, DestinationId> destination_;
  std::map<MessageId, std::uint32_t> attempts_;
  std::set<DestinationId> evicted_;
  std::uint32_t last_ = 0;
  std::size_t evictions_ = 0, sends_ = 0;
  bool listed_ = false;
};

Outcome with(Result result, Duration wait = 0us) {
  Outcome o;
  o.result = result;
  o.wait = wait;
  return o;
}

HostEntry host(std::uint32_t id, std::uint64_t destination, std::uint32_t kind = 0,
               HostState state = HostState::running) {
  return {HostId(id), DestinationId(destination), ZoneId(0), kind, state, {}};
}

std::vector<HostEntry> one_each(std::uint32_t destinations) {
  std::vector<HostEntry> entries;
  for (std::uint32_t d = 0; d < destinations; ++d) entries.push_back(host(d, d));
  return entries;
}

class WorkingSetTest : public testing::Test {
 protected:
  WorkingSetTest() : pair_(4, 1, 2) { pair_.list(one_each(5)); }

  // Sends messages to the other destinations every second, so that the module checks for evictions.
  void others(Duration span) {
    for (const Time end = pair_.now() + span; pair_.now() < end && !HasFatalFailure();) {
      pair_.message(DestinationId(3));
      pair_.message(DestinationId(4));
      pair_.run(1s);
    }
  }
  void send_to(std::uint64_t of = 0) { pair_.message(DestinationId(of)); }

  Pair pair_;
};

TEST_F(WorkingSetTest, WhatNobodyAsksForIsEvictedAtOnceAndNoMoreThanNeeded) {
  others(2s);
  EXPECT_EQ(pair_.kept(), 2U);
  EXPECT_EQ(pair_.evictions(), 3U);
}

TEST_F(WorkingSetTest, AfterACallTheLeastRestIsWaitedFor) {
  send_to();
  others(58s);
  EXPECT_FALSE(pair_.evicted(DestinationId(0)));
  EXPECT_EQ(pair_.kept(), 3U) << "exceeds the bound while none can be evicted";
  others(10s);
  EXPECT_TRUE(pair_.evicted(DestinationId(0)));
  EXPECT_EQ(pair_.kept(), 2U);
}

TEST_F(WorkingSetTest, TheOneLongestAtRestGoesFirst) {
  send_to(1);
  others(5s);
  send_to(2);
  others(5s);
  send_to(0);
  std::vector<std::uint64_t> order;
  for (int i = 0; i < 80; ++i) {
    others(1s);
    for (const std::uint64_t d : {0, 1, 2}) {
      if (pair_.evicted(DestinationId(d)) && !std::ranges::count(order, d)) order.push_back(d);
    }
  }
  EXPECT_EQ(order, (std::vector<std::uint64_t>{1, 2, 0}));
}

TEST_F(WorkingSetTest, AServerBackoffIsKeptUntilItEnds) {
  pair_.answer[DestinationId(0)] = [] { return with(Result::delivered, 200s); };
  send_to();
  others(190s);
  EXPECT_FALSE(pair_.evicted(DestinationId(0)));
  send_to();
  others(5s);
  others(100s);
  EXPECT_TRUE(pair_.evicted(DestinationId(0)));
}

TEST_F(WorkingSetTest, ADestinationThatIsDownOrInSlowStartIsKept) {
  pair_.answer[DestinationId(0)] = [] { return with(Result::connect_failed); };
  send_to();
  others(700s);
  EXPECT_FALSE(pair_.evicted(DestinationId(0)));
  pair_.answer.clear();
  send_to();
  others(100s);
  EXPECT_FALSE(pair_.evicted(DestinationId(0))) << "its cap was reduced";
  others(600s);
  EXPECT_TRUE(pair_.evicted(DestinationId(0))) << "learned state this old is dropped";
}

TEST_F(WorkingSetTest, WhatIsDisabledByAnOperatorIsKept) {
  pair_.set_disabled(DestinationId(0), HostId(0), true);
  others(100s);
  EXPECT_FALSE(pair_.evicted(DestinationId(0)));
}

TEST_F(WorkingSetTest, WhatDrainsIsKept) {
  send_to();
  pair_.list({host(0, 0, 0, HostState::draining)});
  others(100s);
  EXPECT_FALSE(pair_.evicted(DestinationId(0)));
}

TEST_F(WorkingSetTest, NeededAgainWithinAMillisecondItIsCalledAtOnce) {
  others(2s);
  ASSERT_TRUE(pair_.evicted(DestinationId(0)));
  const std::size_t sends = pair_.sends();
  send_to();
  pair_.step(1ms);
  EXPECT_EQ(pair_.sends(), sends + 1);
}

// Destinations that are added, lose their only host at once and are never seen again: records must be reused.
TEST(WorkingSet, EndlessChangeKeepsNoMoreThanTheBoundAndWhatIsNotAtRest) {
  Settings s = settings(4, 1);
  s.max_destinations = 50;
  Sender sender(s);
  Time now{};
  std::size_t most = 0;
  std::vector<Event> events;
  for (std::uint32_t i = 0; i < 200'000; ++i) {
    events.emplace_back(HostList{HostList::Kind::changes, {host(i, i)}});
    events.emplace_back(HostList{HostList::Kind::changes, {host(i, i, 0, HostState::gone)}});
    if (i % 100 != 0) continue;
    sender.step(now += 100ms, std::exchange(events, {}));
    most = std::max(most, sender.destinations());
  }
  EXPECT_LE(most, 50U + 700U);
}

// Traffic moves between destinations; hosts fail, reject calls, request waits, report limits, are replaced
// and are disabled by an operator.
void play(std::uint32_t relays, std::uint64_t seed, std::size_t& all_evictions, std::size_t& all_sends) {
  SCOPED_TRACE(testing::Message() << relays << " relays, seed " << seed);
  constexpr std::uint32_t kAll = 12;
  Pair pair(relays, seed, 3);
  std::vector<HostEntry> entries;
  std::uint32_t last_host = 0;
  for (std::uint32_t d = 0; d < kAll; ++d) {
    const std::uint32_t hosts = d % 4 == 3 ? 3 : 1;
    for (std::uint32_t i = 0; i < hosts; ++i) entries.push_back(host(last_host++, d, d % 6 == 5 ? 1 : 0));
  }
  pair.list(entries);
  std::vector<std::uint64_t> busy;
  std::vector<std::pair<DestinationId, HostId>> disabled;
  while (pair.now() < Time(500s)) {  // long enough for learned state to be dropped
    busy = {pair.pick(kAll), pair.pick(kAll)};
    const std::uint64_t behaviour = pair.pick(9);
    const auto odd = DestinationId{busy[0]};
    pair.answer.clear();
    if (behaviour == 1) pair.answer[odd] = [] { return with(Result::connect_failed); };
    if (behaviour == 2) pair.answer[odd] = [] { return with(Result::full, 700ms); };
    if (behaviour == 3) pair.answer[odd] = [] { return with(Result::full, 150s); };
    if (behaviour == 4)
      pair.answer[odd] = [&pair] { return with(pair.pick(3) ? Result::delivered : Result::error); };
    if (behaviour == 5)
      pair.answer[odd] = [&pair] { return with(pair.pick(2) ? Result::reset : Result::delivered); };
    if (behaviour == 6) {
      pair.answer[odd] = [] {
        Outcome o;
        o.elapsed = 1200ms;
        return o;
      };
    }
    if (behaviour == 7) {
      pair.answer[odd] = [&pair] {
        Outcome o = with(pair.pick(3) ? Result::delivered : Result::full);
        o.report = LimitReport{static_cast<double>(pair.pick(10)) / 10, 20};
        return o;
      };
    }
    if (behaviour == 8) pair.answer[odd] = [] { return with(Result::delivered, 150s); };
    const std::uint64_t change = pair.pick(5);
    const auto changed = DestinationId{pair.pick(kAll)};
    if (change == 0 && pair.hosts()[changed].size() == 1) {
      const HostEntry old = pair.hosts()[changed][0];
      HostEntry gone = old, next = old;
      gone.state = HostState::gone;
      next.host = HostId(last_host++);
      pair.list({gone, next});
    }
    if (change == 1) {
      const HostId h = pair.hosts()[changed][0].host;
      pair.set_disabled(changed, h, true);
      disabled.emplace_back(changed, h);
    }
    if (change == 2) {
      for (const auto& [d, h] : std::exchange(disabled, {})) pair.set_disabled(d, h, false);
    }
    const int messages = 3 + static_cast<int>(pair.pick(25));
    const Duration between = Duration(100'000 + 1000 * static_cast<std::int64_t>(pair.pick(3000)));
    for (int i = 0; i < messages; ++i) {
      pair.message(DestinationId(busy[pair.pick(busy.size())]), static_cast<std::uint32_t>(pair.pick(2)), i);
      pair.run(between);
      if (testing::Test::HasFatalFailure()) return;
    }
    pair.run(Duration(1s) * static_cast<std::int64_t>(pair.pick(90)));
    if (testing::Test::HasFatalFailure()) return;
  }
  all_evictions += pair.evictions();
  all_sends += pair.sends();
}

TEST(WorkingSet, DecidesAsWithoutABound) {
  std::size_t evictions = 0, sends = 0;
  for (const std::uint32_t relays : {1, 4, 40}) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      play(relays, seed, evictions, sends);
      if (testing::Test::HasFatalFailure()) return;
    }
  }
  EXPECT_GT(evictions, 1200U);
  EXPECT_GT(sends, 15000U);
}

}  // namespace
}  // namespace vetchhinge
