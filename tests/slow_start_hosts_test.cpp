/// Tests of the slow start of hosts that each have their own limit and outages.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <optional>

#include "vetchhinge/policy.h"

namespace vetchhinge {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kHosts = 8;
constexpr Duration kStep = 5ms, kLatency = 50ms;
constexpr double kArrivals = 200;  // messages per second, for all hosts together

Settings per_host_limits() {
  Settings settings;
  settings.slots = 400;
  settings.max_open = 4000;
  settings.max_attempts = 6;
  settings.start_capacity = 0.2;
  settings.overload_factor = 2;
  settings.overload_window = 1500ms;
  settings.slow_start_duration = 10s;
  settings.connection_idle = 9s;
  settings.tick = kStep;
  settings.classes = {{.aim = 2s, .deadline = 8s, .effect = Effect::idempotent}};
  settings.kinds = {{.per_host_limits = true}};
  return settings;
}

// Simulates one relay and hosts that are down from the start until `back`.
class Day {
 public:
  explicit Day(Time back) : back_(back), sender_(per_host_limits()) {
    HostList list;
    for (std::uint32_t host = 0; host < kHosts; ++host)
      list.entries.push_back({HostId(host), DestinationId(1), ZoneId(0)});
    events_.emplace_back(list);
  }

  void run_until(Time end) {
    for (; now_ < end; now_ += kStep) step();
  }

  // Returns the most calls that one host received within `span` of its return.
  std::size_t most_within(Duration span) const {
    std::size_t most = 0;
    for (const auto& [host, times] : calls_) {
      const auto within =
          std::ranges::count_if(times, [&](Time at) { return at >= back_ && at < back_ + span; });
      most = std::max(most, static_cast<std::size_t>(within));
    }
    return most;
  }

 private:
  struct CallInFlight {
    Time ends_at;
    Outcome outcome;
  };

  void step() {
    arrived_ += kArrivals * std::chrono::duration<double>(kStep).count();
    for (; arrived_ >= 1; --arrived_)
      events_.emplace_back(Message{MessageId(++last_), 0, DestinationId(1), now_ + 8s});
    while (!in_flight_.empty() && in_flight_.front().ends_at <= now_) {
      events_.emplace_back(in_flight_.front().outcome);
      in_flight_.pop_front();
    }
    for (const Action& action : sender_.step(now_, std::exchange(events_, {}))) {
      if (const auto* send = std::get_if<Send>(&action)) call(*send);
    }
  }

  void call(const Send& send) {
    calls_[send.host].push_back(now_);
    const Result result = now_ < back_ ? Result::connect_failed : Result::delivered;
    const std::uint32_t attempt = attempts_[send.id]++;
    in_flight_.push_back(
        {now_ + kLatency, {send.id, attempt, result, result == Result::delivered, 0us, kLatency}});
  }

  Time now_{100s}, back_;
  Sender sender_;
  std::vector<Event> events_;
  std::deque<CallInFlight> in_flight_;
  std::map<HostId, std::vector<Time>> calls_;
  std::map<MessageId, std::uint32_t> attempts_;
  double arrived_ = 0;
  std::uint32_t last_ = 0;
};

// Nothing was delivered before, so only the arrival rate shows how much a host may get: an eighth of it for
// each of the eight hosts, not all of it.
TEST(SlowStartHosts, WhatOneHostGetsFollowsItsPartOfTheArrivalRate) {
  const Settings s = per_host_limits();
  const Time back(112s);
  Day day(back);
  day.run_until(back + s.overload_window);
  const double window = std::chrono::duration<double>(s.overload_window).count();
  const double progress = window / std::chrono::duration<double>(s.slow_start_duration).count();
  const double capacity = kArrivals / kHosts * std::lerp(s.start_capacity, 1, progress);
  const double n = s.overload_factor * capacity * window;
  EXPECT_LE(static_cast<double>(day.most_within(s.overload_window)), n + 3 * std::sqrt(n) + 3);
  EXPECT_GE(day.most_within(s.overload_window), 1U);
}

}  // namespace
}  // namespace vetchhinge
