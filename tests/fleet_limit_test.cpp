/// Tests of the calls that a rate-limited destination gets from all relays together. Each relay is one Sender
/// that is stepped with given events.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "vetchhinge/policy.h"

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

Settings settings(std::uint32_t relays, std::uint64_t seed) {
  Settings s;
  s.seed = seed;
  s.slots = 5;
  s.max_open = 70;
  s.max_attempts = 6;
  s.relays = relays;
  s.wait_hints = true;
  s.start_capacity = 0.2;
  s.overload_factor = 2;
  s.overload_window = 1500ms;
  s.slow_start_duration = 10s;
  s.max_wait_hint = 3s;
  s.connection_idle = 5s;
  s.tick = 1ms;
  s.classes = {{.aim = 1500ms, .deadline = 8s, .effect = Effect::idempotent, .late_worth = 0.1}};
  s.kinds = {{}};
  return s;
}

using Answer = std::function<Outcome(Time)>;  // to a call at that time

// Relays with a steady rate of messages each. Every call is answered 100 ms after it was sent.
class RelayFleet {
 public:
  RelayFleet(std::uint32_t relays, double messages_per_second, Answer answer) : answer_(std::move(answer)) {
    for (std::uint32_t i = 0; i < relays; ++i) {
      members_.push_back(
          {Sender(settings(relays, 1 + i)), messages_per_second, i / double(relays), {}, {}, 0});
    }
  }

  // Sets the messages per second of one relay.
  void load(std::size_t member, double messages_per_second) { members_[member].rate = messages_per_second; }

  void run(Duration span) {
    for (const Time end = now_ + span; now_ < end; now_ += 20ms) {
      for (std::size_t i = 0; i < members_.size(); ++i) step(members_[i], i);
    }
  }

  // Returns the calls since the last query, per second of `span`.
  double calls(Duration span) {
    double all = 0;
    for (const auto& [member, count] : counts_) all += count;
    counts_.clear();
    return all / std::chrono::duration<double>(span).count();
  }
  std::size_t caller() const { return caller_; }  // the member whose call is being answered
  int expired() const { return expired_; }        // messages that expired in the queue
  double calls_of(std::size_t member, Duration span) {
    return counts_[member] / std::chrono::duration<double>(span).count();
  }

 private:
  struct Member {
    Sender sender;
    double rate;
    double due;  // accumulated messages that have not been submitted
    std::multimap<Time, Outcome> answers;
    std::map<MessageId, std::uint32_t> attempts;
    std::uint32_t last;
  };

  void step(Member& m, std::size_t place) {
    std::vector<Event> events;
    if (now_ == Time{}) {
      events.emplace_back(HostList{HostList::Kind::cached, {{HostId(1), DestinationId(1), ZoneId(0)}}});
    }
    for (m.due += m.rate * 0.02; m.due >= 1; m.due -= 1) {
      events.emplace_back(Message{MessageId(++m.last), 0, DestinationId(1), now_ + 8s, {}, {}, {}});
    }
    while (!m.answers.empty() && m.answers.begin()->first <= now_) {
      events.emplace_back(m.answers.begin()->second);
      m.answers.erase(m.answers.begin());
    }
    for (const Action& a : m.sender.step(now_, events)) {
      if (std::holds_alternative<Fail>(a)) ++expired_;
      const auto* send = std::get_if<Send>(&a);
      if (!send) continue;
      ++counts_[place];
      caller_ = place;
      Outcome outcome = answer_(now_);
      outcome.id = send->id;
      outcome.attempt = m.attempts[send->id]++;
      outcome.terminal = outcome.result == Result::delivered;
      outcome.elapsed = 100ms;
      m.answers.emplace(now_ + 100ms, outcome);
    }
  }

  Answer answer_;
  std::vector<Member> members_;
  std::map<std::size_t, int> counts_;
  int expired_ = 0;
  std::size_t caller_ = 0;
  Time now_{};
};

Outcome full(double left, double limit, Duration wait = 0us) {
  Outcome o;
  o.result = Result::full;
  o.wait = wait;
  o.report = LimitReport{left, limit};
  return o;
}

Outcome delivered(double left, double limit) {
  Outcome o;
  o.report = LimitReport{left, limit};
  return o;
}

// Rejected calls may count against the limit: nothing is accepted while more calls arrive than it allows.
TEST(FleetLimit, CallsOfAHundredFallUnderALimitThatHasNoneLeft) {
  for (const Duration wait : {0ms, 700ms}) {
    RelayFleet fleet(100, 1.4, [&](Time) { return full(0, 50, wait); });
    fleet.run(3s);
    fleet.calls(3s);
    fleet.run(4s);
    const double calls = fleet.calls(4s);
    EXPECT_LT(calls, 40) << wait.count();
    EXPECT_GT(calls, 10) << wait.count();
  }
}

TEST(FleetLimit, RelaysWithTheSameServerBackoffDoNotReturnTogether) {
  RelayFleet fleet(100, 1.0, [&](Time now) {
    return now < Time(4s) ? full(0, 50, Time(4s) - now) : full(0, 50);  // to the end of a limit period
  });
  fleet.run(4s);
  fleet.calls(4s);
  fleet.run(500ms);
  EXPECT_LE(fleet.calls(1s), 40);
}

// The demand is half as much again as the limit allows per second.
TEST(FleetLimit, NearTheLimitTheyUseItAndFewAreRefused) {
  std::map<std::int64_t, int> taken;
  int accepted = 0, refused = 0;
  RelayFleet fleet(100, 0.75, [&](Time now) {
    int& count = taken[now.time_since_epoch() / 1s];
    const bool room = count < 50;
    ++(room ? accepted : refused);
    if (room) ++count;
    return room ? delivered(1 - count / 50.0, 50) : full(0, 50);
  });
  fleet.run(10s);
  accepted = refused = 0;
  fleet.run(20s);
  EXPECT_GT(accepted, 20 * 50 * 0.75);
  EXPECT_LT(refused, accepted / 2);
}

// A limit that is available again soon after it was used up shows little: without restraint all relays would
// send their backlog at once.
TEST(FleetLimit, WhatIsLeftAgainIsNotUsedUpAtOnce) {
  double left = 0;
  RelayFleet fleet(100, 1.0, [&](Time) { return left > 0 ? delivered(left, 50) : full(left, 50); });
  fleet.run(6s);
  left = 1;
  fleet.run(1s);
  fleet.calls(1s);
  fleet.run(2s);
  EXPECT_LT(fleet.calls(2s), 65);
  fleet.run(15s);
  fleet.calls(15s);
  fleet.run(2s);
  EXPECT_GT(fleet.calls(2s), 90);  // in the end they use all of it
}

// Reports of a small bucket are outdated: rejected with much of it reported as left, all relays used to keep
// sending.
TEST(FleetLimit, ARejectionCountsMoreThanTheReportedShare) {
  RelayFleet fleet(100, 1.4, [&](Time) { return full(0.6, 50); });
  fleet.run(3s);
  fleet.calls(3s);
  fleet.run(2s);
  EXPECT_LT(fleet.calls(2s), 41);
}

TEST(FleetLimit, FarFromTheLimitNothingIsHeldBack) {
  RelayFleet fleet(100, 0.5, [&](Time) { return delivered(0.8, 80); });
  fleet.run(5s);
  fleet.calls(5s);
  fleet.run(10s);
  EXPECT_NEAR(fleet.calls(10s), 50, 3);
}

TEST(FleetLimit, CallsFollowALimitThatIsLowered) {
  double left = 0.8, limit = 80;
  RelayFleet fleet(100, 0.5, [&](Time) { return delivered(left, limit); });
  fleet.run(20s);
  left = 0;
  limit = 20;
  fleet.run(4s);
  fleet.calls(4s);
  fleet.run(4s);
  EXPECT_LT(fleet.calls(4s), 25);
}

TEST(FleetLimit, ABusierRelayHasALargerQuotaShare) {
  double left = 0.8;
  RelayFleet fleet(100, 0.2, [&](Time) { return delivered(left, 50); });
  fleet.load(0, 10);
  fleet.run(20s);
  left = 0;
  fleet.run(3s);
  fleet.calls(3s);
  fleet.run(5s);
  EXPECT_GT(fleet.calls_of(0, 5s), 4);
}

// A few relays carry nearly all traffic, most of it above an even share. One rejection must not reduce all
// of them to that share.
TEST(FleetLimit, QuotaUseAboveTheShareIsHalvedWhenRejected) {
  bool refuses = true;
  RelayFleet fleet(100, 0.02, [&](Time) { return refuses ? full(0, 50) : delivered(1, 50); });
  for (std::size_t hot = 0; hot < 10; ++hot) fleet.load(hot, 4);
  fleet.run(2s);
  refuses = false;
  fleet.run(12s);
  fleet.calls(12s);
  fleet.run(3s);
  EXPECT_GT(fleet.calls(3s), 35);
  refuses = true;
  fleet.run(300ms);
  refuses = false;
  fleet.calls(300ms);
  fleet.run(1s);
  EXPECT_GT(fleet.calls(1s), 40);  // 30 if all fall to an even share
  fleet.run(1s);
  EXPECT_LT(fleet.calls(1s), 55);  // otherwise 61 arrive together
}

// Unused quota shows nothing about demand: otherwise all relays would use it in the first burst.
TEST(FleetLimit, QuotaUseGrowsOnlyWhereItDelaysCalls) {
  double left = 0;
  RelayFleet fleet(100, 0.1, [&](Time) { return delivered(left, 50); });
  fleet.run(15s);
  left = 1;
  fleet.run(20s);
  for (std::size_t all = 0; all < 100; ++all) fleet.load(all, 3);
  fleet.calls(20s);
  fleet.run(1s);
  EXPECT_LT(fleet.calls(1s), 230);  // 300 if it grows all the time
}

// A message that is queued until it expires keeps its client from retrying, and has no value.
TEST(FleetLimit, WhatItsQuotaShareCannotCarryIsRefusedAtOnce) {
  RelayFleet fleet(100, 0.01, [&](Time) { return delivered(0, 10); });
  for (std::size_t hot = 0; hot < 10; ++hot) fleet.load(hot, 1.5);
  fleet.run(30s);
  EXPECT_LT(fleet.expired(), 20);  // 260 with the cap as the only limit
}

// One message each at relays that may call once in ten seconds: even in the shortest queue the wait can be
// too long.
TEST(FleetLimit, AFewQueuedAreRefusedTooWhereCallsAreRare) {
  RelayFleet fleet(100, 0.3, [&](Time) { return full(0, 10); });
  fleet.run(30s);
  EXPECT_LT(fleet.expired(), 100);  // 660 if up to four may always wait
}

// Messages that were accepted under a larger quota share are refused as soon as it is too small for them.
TEST(FleetLimit, WhatIsQueuedIsRefusedOnceTheQuotaShareNoLongerCarriesIt) {
  double left = 1, limit = 400;
  RelayFleet fleet(100, 0.01, [&](Time) { return left > 0 ? delivered(left, limit) : full(left, limit); });
  for (std::size_t hot = 0; hot < 10; ++hot) fleet.load(hot, 2);
  fleet.run(10s);
  left = 0;
  limit = 10;
  fleet.run(500ms);
  for (std::size_t hot = 0; hot < 10; ++hot) fleet.load(hot, 0);
  fleet.run(15s);
  EXPECT_LT(fleet.expired(), 5);
}

TEST(FleetLimit, TwoRelaysShareALimitInHalves) {
  RelayFleet fleet(2, 30, [&](Time) { return full(0, 20); });
  fleet.run(5s);
  fleet.calls(5s);
  fleet.run(10s);
  const double calls = fleet.calls(10s);
  EXPECT_LT(calls, 17);
  EXPECT_GT(calls, 4);
}

// Missing, zero, negative, non-finite or absurd values count as no report.
TEST(FleetLimit, WhatCannotBeALimitIsIgnored) {
  const auto calls = [](std::optional<LimitReport> report) {
    RelayFleet fleet(20, 1.0, [&](Time) {
      Outcome o;
      o.report = report;
      return o;
    });
    fleet.run(20s);
    return fleet.calls(20s);
  };
  const double none = calls(std::nullopt);
  EXPECT_GT(none, 18);
  const double inf = std::numeric_limits<double>::infinity(), nan = std::numeric_limits<double>::quiet_NaN();
  for (const double limit : {0.0, -3.0, inf, -inf, nan, 1e300, 1e-9}) {
    EXPECT_EQ(calls(LimitReport{0, limit}), none) << limit;
  }
  for (const double left : {-0.5, nan, -inf}) EXPECT_EQ(calls(LimitReport{left, 0.5}), none) << left;
  EXPECT_EQ(calls(LimitReport{inf, 50}), none);
}

TEST(FleetLimit, AReportIsForgottenOnceItIsOld) {
  bool tells = true;
  RelayFleet fleet(20, 1.0, [&](Time) { return tells ? delivered(0, 2) : Outcome{}; });
  fleet.run(5s);
  tells = false;
  fleet.run(15s);
  fleet.calls(15s);
  fleet.run(10s);
  EXPECT_GT(fleet.calls(10s), 18);
}

// Returns the most calls that a returning destination got within the window of the overload rule, relative
// to the bound of that rule. Before the outage it accepted `usual` calls per second. The bound is N calls,
// which the settings allow, plus 2 sqrt(N) + 2 for chance, or 3 sqrt(N) + 3 where N is below 30. As in the
// rule, calls count where more than two thirds of them came from relays that saw the outage.
double overload_ratio(std::uint32_t relays, double usual, const Outcome& out) {
  constexpr double kCapacity = 1.2;  // multiple of the usual rate
  const Time down(30s), back(42s);
  const Settings s = settings(relays, 1);
  std::deque<std::pair<Time, std::size_t>> came;
  std::set<std::size_t> informed;
  double most = 0;
  int tried = 0;  // after its return
  const RelayFleet* calling = nullptr;
  RelayFleet fleet(relays, usual / relays, [&](Time now) {
    if (now >= down && now < back) {
      informed.insert(calling->caller());
      return out;
    }
    tried += now >= back ? 1 : 0;
    came.emplace_back(now, calling->caller());
    while (came.front().first + s.overload_window < now) came.pop_front();
    const auto by_informed =
        std::ranges::count_if(came, [&](const auto& c) { return informed.contains(c.second); });
    if (3 * by_informed <= 2 * std::ssize(came)) return Outcome{};
    const double progress = std::chrono::duration<double>(now - back) / s.slow_start_duration;
    if (progress < 0 || progress >= 1) return Outcome{};
    const double capacity = kCapacity * usual * std::lerp(s.start_capacity, 1, progress);
    const double n = s.overload_factor * capacity * std::chrono::duration<double>(s.overload_window).count();
    const double slack = n < 30 ? 3 * std::sqrt(n) + 3 : 2 * std::sqrt(n) + 2;
    most = std::max(most, static_cast<double>(came.size()) / (n + slack));
    return Outcome{};
  });
  calling = &fleet;
  fleet.run(56s);
  EXPECT_GT(tried, 0);
  return most;
}

void expect_within_bound(const Outcome& out) {
  for (const auto& [relays, usual] : {std::pair{30U, 1.0}, {30U, 3.0}, {30U, 30.0}, {150U, 20.0}}) {
    EXPECT_LE(overload_ratio(relays, usual, out), 1) << relays << " relays, " << usual << " calls per second";
  }
}

TEST(SlowStart, WhatAllRelaysSendADestinationThatWasDownStaysInItsBound) {
  Outcome down;
  down.result = Result::connect_failed;
  expect_within_bound(down);
}

TEST(SlowStart, WhatAllRelaysSendADestinationThatRequestedAWaitStaysInItsBound) {
  expect_within_bound(full(1, 0, 4s));
}

TEST(SlowStart, WhatAllRelaysSendADestinationThatWasShutStaysInItsBound) { expect_within_bound(full(1, 0)); }

}  // namespace
}  // namespace vetchhinge
