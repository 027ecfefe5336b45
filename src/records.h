/// Plain records of the decision module: messages, calls, hosts, limit groups and destinations.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "recent.h"
#include "vetchhinge/policy.h"

namespace vetchhinge {

enum class AttemptState { pending, never_ran, may_have_run };

struct Attempt {
  std::size_t host;  // unused, as is `call`, for attempts made before a restart
  std::uint64_t call;
  ZoneId zone;
  Time sent;
  AttemptState state = AttemptState::pending;
};

/// A message from its arrival until its last attempt has an outcome.
struct MessageState {
  Message message;
  std::size_t destination = 0;
  std::vector<Attempt> attempts;
  Time not_before{};
  int in_flight = 0;  // attempts
  double worth = 1;
  bool completed = false;  // the message has its final answer
  bool queued = false;
  bool ordered = false;  // messages of the same key are sent one at a time

  /// Returns whether this process has sent the message. Attempts before a restart may have been withheld,
  /// which is no call.
  bool called() const { return attempts.size() > message.past_attempts.size(); }
  bool waits_since_restart() const { return message.recovered && !called(); }
  bool untried_since_restart() const { return waits_since_restart() && !first_risky_send(); }

  /// Returns when the first attempt that may have run was sent.
  std::optional<Time> first_risky_send() const {
    const auto a = std::ranges::find_if(
        attempts, [](AttemptState s) { return s != AttemptState::never_ran; }, &Attempt::state);
    return a == attempts.end() ? std::nullopt : std::optional(a->sent);
  }
};

/// A call in flight. It uses one slot and carries one message or a batch.
struct Call {
  std::size_t host;
  Time sent;
  Duration idle{};  // idle time of its connection, an estimate until it is reported; 0: a new connection
  int messages = 0;
  bool counted = false;  // its first outcome has been counted
};

struct Host : HostHealth {
  HostId id{};
  ZoneId zone{};
  std::size_t limit_group = 0;
  bool listed = false;
  bool running = false;   // according to the list: it accepts new messages
  bool disabled = false;  // by an operator, whatever the list says
  bool usable() const { return running && !disabled; }
  int in_flight = 0;
  Time slow_start_budget_at{};
  Time last_end{};
  int idle_connections = 0;
  std::uint64_t step = 0;       // in which the newest call was made
  std::uint64_t step_call = 0;  // the call that further messages of that step may join
  std::vector<std::uint64_t> calls;
};

/// Hosts that share one limit: all hosts of a destination, or a single one with per_host_limits.
struct LimitGroup : LimitGroupState {
  LimitGroup(int start_cap, RecentSamples samples, RateMeter recent, RateMeter baseline)
      : latencies(std::move(samples)),
        recent_calls(recent),
        baseline_calls(baseline),
        baseline_quota_use(baseline) {
    cap = start_cap;
    recent_calls.ignore_below(kNegligibleEvents);
    baseline_calls.ignore_below(kNegligibleEvents);
  }
  std::size_t destination = 0;
  bool impaired() const { return slow || failing; }
  std::vector<std::size_t> hosts;
  int in_flight = 0;
  int peak = 0;  // most calls in flight since the last evaluation of the cap
  RecentSamples latencies;
  RateMeter recent_calls;               // calls sent
  RateMeter baseline_calls;             // calls accepted outside of slow start
  RateMeter baseline_quota_use;         // same, each as a share of the limit reported with it
  std::size_t latencies_since_cut = 0;  // since the cap was last reduced for slowness
  int successes = 0, failures = 0;      // calls since the cap was last decided
  int broken_connections = 0;           // same, calls whose connection broke
  Time evaluated_at{};
  bool active = false;                // there may be something to evaluate
  Time conserve_connections_until{};  // idle connections are closed early
  Time failed_at{};
  double reported_limit = 0;  // calls per second from all relays, from a response; 0: never reported
  Time reported_at = Time::min();
  double reported_share_left = 1;  // of that limit, at that time
  double quota_use = 0;            // multiple of this relay's quota share that it may use; 0: unrestricted
  double tokens = 0;               // calls that the rate limit allows at present
  Time tokens_refilled_at{}, quota_use_cut_at = Time::min();
};

struct Destination {
  Destination(DestinationId d, RateMeter meter) : id(d), arrivals(meter) {
    arrivals.ignore_below(kNegligibleEvents);
  }
  DestinationId id;
  std::uint32_t kind = 0;
  std::vector<std::size_t> limit_groups;
  std::vector<MessageId> queue;         // in order of acceptance
  RateMeter arrivals;                   // messages
  std::size_t messages = 0;             // including completed ones with a call still in flight
  Time last_finished_at = Time::min();  // when the last of them was removed; min(): there was none yet
};

/// Messages of one key in order of acceptance, for classes with ordered delivery.
struct KeyQueue {
  std::deque<MessageId> waiting;
  int in_flight = 0;
  Time paused_until{};
};

/// Returns whether an established connection broke, by chance or because it had been idle.
inline bool connection_broke(const Outcome& o) {
  return o.result == Result::reset ||
         (o.result == Result::connect_failed && o.connection && o.connection->established);
}

}  // namespace vetchhinge
