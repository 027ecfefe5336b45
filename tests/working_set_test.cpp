// A Sender with a bound of destinations beside one without: the same events lead to the same actions, but for
// what is put away. The caller tells the hosts again before a message that needs them.
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

using Told = std::tuple<int, std::uint64_t, std::uint64_t, std::int64_t, std::int64_t, std::int64_t>;

Told told(const Action& a) {
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

// What a relay is: it holds the list, tells what the module needs of it, and answers its calls.
class Pair {
 public:
  Pair(std::uint32_t relays, std::uint64_t seed, std::uint32_t most) : random_(seed) {
    Settings s = settings(relays, seed);
    free_ = std::make_unique<Sender>(s);
    s.max_destinations = most;
    bound_ = std::make_unique<Sender>(s);
  }

  // All at the start, and as changes later.
  void list(std::vector<HostEntry> entries) {
    for (const HostEntry& e : entries) {
      auto& known = hosts_[e.destination];
      std::erase_if(known, [&](const HostEntry& h) { return h.host == e.host; });
      if (e.state != HostState::gone) known.push_back(e);
    }
    const auto kind = std::exchange(listed_, true) ? HostList::Kind::changes : HostList::Kind::cached;
    events_.emplace_back(HostList{kind, entries});
    std::erase_if(entries, [&](const HostEntry& e) { return away_.contains(e.destination); });
    if (!entries.empty()) for_bound_.emplace_back(HostList{kind, entries});
  }

  void message(DestinationId to, std::uint32_t cls = 0, std::optional<std::uint64_t> key = {}) {
    wake(to);
    const Duration left = settings(1, 1).classes[cls].deadline + Duration(pick(1000));
    both(Message{MessageId(++last_), cls, to, now_ + left, {}, key, {}});
    destination_[MessageId(last_)] = to;
  }

  void by_hand(DestinationId of, HostId host, bool out) {
    wake(of);
    both(OperatorHostOverride{host, out});
  }

  void step(Duration after = 0us) {
    now_ += after;
    while (!answers_.empty() && answers_.begin()->first <= now_) {
      both(answers_.begin()->second);
      answers_.erase(answers_.begin());
    }
    std::vector<Told> free, bound;
    const std::vector<Action> actions = free_->step(now_, std::exchange(events_, {}));
    for (const Action& a : actions) free.push_back(told(a));
    for (const Action& a : bound_->step(now_, std::exchange(for_bound_, {}))) {
      if (const auto* p = std::get_if<EvictDestination>(&a)) {
        ++put_away_;
        ASSERT_TRUE(away_.insert(p->destination).second);
      } else {
        bound.push_back(told(a));
      }
    }
    ASSERT_EQ(free, bound) << "at " << now_.time_since_epoch().count() << " us";
    for (const Action& a : actions) carry_out(a);
  }

  // Until nothing is asked for any more.
  void run(Duration span) {
    for (const Time end = now_ + span; now_ < end && !testing::Test::HasFatalFailure();) {
      Time next = end;
      if (!answers_.empty()) next = std::min(next, answers_.begin()->first);
      if (timer_ > now_) next = std::min(next, timer_);
      step(std::max(next - now_, Duration(1ms)));
    }
  }

  std::uint64_t pick(std::uint64_t below) { return random_() % below; }

  std::map<DestinationId, std::function<Outcome()>> answer;  // by destination; else delivered
  Duration takes = 80ms;

  std::size_t kept() const { return bound_->destinations(); }
  bool away(DestinationId d) const { return away_.contains(d); }
  std::size_t put_away() const { return put_away_; }
  std::size_t sends() const { return sends_; }
  std::map<DestinationId, std::vector<HostEntry>>& hosts() { return hosts_; }
  Time now() const { return now_; }

 private:
  void both(const Event& e) {
    events_.push_back(e);
    for_bound_.push_back(e);
  }

  void wake(DestinationId d) {
    if (away_.erase(d) > 0) for_bound_.emplace_back(HostList{HostList::Kind::changes, hosts_[d]});
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
    if (o.elapsed == 0us) o.elapsed = takes + Duration(pick(20000));
    answers_.emplace(now_ + std::min(o.elapsed, send->timeout), o);
  }

  std::mt19937_64 random_;
  std::unique_ptr<Sender> free_, bound_;
  Time now_{}, timer_{};
  std::vector<Event> events_, for_bound_;
  std::multimap<Time, Outcome> answers_;
  std::map<DestinationId, std::vector<HostEntry>> hosts_;
  std::map<MessageId, DestinationId> destination_;
  std::map<MessageId, std::uint32_t> attempts_;
  std::set<DestinationId> away_;
  std::uint32_t last_ = 0;
  std::size_t put_away_ = 0, sends_ = 0;
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

  // Something is asked of the others every second, so that the module looks.
  void others(Duration span) {
    for (const Time end = pair_.now() + span; pair_.now() < end && !HasFatalFailure();) {
      pair_.message(DestinationId(3));
      pair_.message(DestinationId(4));
      pair_.run(1s);
    }
  }
  void ask(std::uint64_t of = 0) { pair_.message(DestinationId(of)); }

  Pair pair_;
};

TEST_F(WorkingSetTest, WhatNobodyAsksForIsPutAwayAtOnceAndNoMoreThanNeeded) {
  others(2s);
  EXPECT_EQ(pair_.kept(), 2U);
  EXPECT_EQ(pair_.put_away(), 3U);
}

TEST_F(WorkingSetTest, AfterACallTheLeastRestIsWaitedFor) {
  ask();
  others(58s);
  EXPECT_FALSE(pair_.away(DestinationId(0)));
  EXPECT_EQ(pair_.kept(), 3U) << "more than allowed where none may go";
  others(10s);
  EXPECT_TRUE(pair_.away(DestinationId(0)));
  EXPECT_EQ(pair_.kept(), 2U);
}

TEST_F(WorkingSetTest, TheOneLongestAtRestGoesFirst) {
  ask(1);
  others(5s);
  ask(2);
  others(5s);
  ask(0);
  std::vector<std::uint64_t> order;
  for (int i = 0; i < 80; ++i) {
    others(1s);
    for (const std::uint64_t d : {0, 1, 2}) {
      if (pair_.away(DestinationId(d)) && !std::ranges::count(order, d)) order.push_back(d);
    }
  }
  EXPECT_EQ(order, (std::vector<std::uint64_t>{1, 2, 0}));
}

TEST_F(WorkingSetTest, AToldWaitIsKeptUntilItIsOver) {
  pair_.answer[DestinationId(0)] = [] { return with(Result::delivered, 200s); };
  ask();
  others(190s);
  EXPECT_FALSE(pair_.away(DestinationId(0)));
  ask();
  others(5s);
  others(100s);
  EXPECT_TRUE(pair_.away(DestinationId(0)));
}

TEST_F(WorkingSetTest, ADestinationThatIsDownOrColdIsKept) {
  pair_.answer[DestinationId(0)] = [] { return with(Result::connect_failed); };
  ask();
  others(700s);
  EXPECT_FALSE(pair_.away(DestinationId(0)));
  pair_.answer.clear();
  ask();
  others(100s);
  EXPECT_FALSE(pair_.away(DestinationId(0))) << "its cap was cut";
  others(600s);
  EXPECT_TRUE(pair_.away(DestinationId(0))) << "nobody calls what was learned so long ago usual";
}

TEST_F(WorkingSetTest, WhatIsOutByHandIsKept) {
  pair_.by_hand(DestinationId(0), HostId(0), true);
  others(100s);
  EXPECT_FALSE(pair_.away(DestinationId(0)));
}

TEST_F(WorkingSetTest, WhatDrainsIsKept) {
  ask();
  pair_.list({host(0, 0, 0, HostState::draining)});
  others(100s);
  EXPECT_FALSE(pair_.away(DestinationId(0)));
}

TEST_F(WorkingSetTest, NeededAgainWithinAMillisecondItIsCalledAtOnce) {
  others(2s);
  ASSERT_TRUE(pair_.away(DestinationId(0)));
  const std::size_t sends = pair_.sends();
  ask();
  pair_.step(1ms);
  EXPECT_EQ(pair_.sends(), sends + 1);
}

// Ids that are never seen again, each with a call: places are taken again.
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

// Traffic moves from a few destinations to others; hosts fail, refuse, tell waits and limits, are replaced
// and taken out by hand.
void play(std::uint32_t relays, std::uint64_t seed, std::size_t& all_put_away, std::size_t& all_sends) {
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
  std::vector<std::pair<DestinationId, HostId>> out;
  while (pair.now() < Time(500s)) {  // then even what was learned may go
    busy = {pair.pick(kAll), pair.pick(kAll)};
    const std::uint64_t mood = pair.pick(9);
    const auto odd = DestinationId{busy[0]};
    pair.answer.clear();
    if (mood == 1) pair.answer[odd] = [] { return with(Result::connect_failed); };
    if (mood == 2) pair.answer[odd] = [] { return with(Result::full, 700ms); };
    if (mood == 3) pair.answer[odd] = [] { return with(Result::full, 150s); };
    if (mood == 4)
      pair.answer[odd] = [&pair] { return with(pair.pick(3) ? Result::delivered : Result::error); };
    if (mood == 5)
      pair.answer[odd] = [&pair] { return with(pair.pick(2) ? Result::reset : Result::delivered); };
    if (mood == 6) {
      pair.answer[odd] = [] {
        Outcome o;
        o.elapsed = 1200ms;
        return o;
      };
    }
    if (mood == 7) {
      pair.answer[odd] = [&pair] {
        Outcome o = with(pair.pick(3) ? Result::delivered : Result::full);
        o.report = LimitReport{static_cast<double>(pair.pick(10)) / 10, 20};
        return o;
      };
    }
    if (mood == 8) pair.answer[odd] = [] { return with(Result::delivered, 150s); };
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
      pair.by_hand(changed, h, true);
      out.emplace_back(changed, h);
    }
    if (change == 2) {
      for (const auto& [d, h] : std::exchange(out, {})) pair.by_hand(d, h, false);
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
  all_put_away += pair.put_away();
  all_sends += pair.sends();
}

TEST(WorkingSet, DecidesAsWithoutABound) {
  std::size_t put_away = 0, sends = 0;
  for (const std::uint32_t relays : {1, 4, 40}) {
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
      play(relays, seed, put_away, sends);
      if (testing::Test::HasFatalFailure()) return;
    }
  }
  EXPECT_GT(put_away, 1200U);
  EXPECT_GT(sends, 15000U);
}

}  // namespace
}  // namespace vetchhinge
