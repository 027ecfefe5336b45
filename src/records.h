// What the decision module keeps of messages, calls, hosts and destinations. Plain records: no decision and
// no tuned value is here.
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

enum class Fate { pending, never_ran, may_have_run };

struct Attempt {
  std::size_t host;  // not looked at, nor the call, where it was made before a restart
  std::uint64_t call;
  ZoneId zone;
  Time sent;
  Fate fate = Fate::pending;
};

struct Entry {  // a message from its arrival until its last attempt has an outcome
  Message message;
  std::size_t destination = 0;
  std::vector<Attempt> attempts;
  Time not_before{};
  int out = 0;
  double worth = 1;
  bool done = false;
  bool held = false;
  bool ordered = false;  // one at a time for each key

  // Here, by this process: attempts before a restart may have been withheld, which was no call.
  bool called() const { return attempts.size() > message.past_attempts.size(); }
  bool waits_since_restart() const { return message.recovered && !called(); }
  bool untried_since_restart() const { return waits_since_restart() && !first_risky_send(); }

  // When the first attempt that may have run was sent.
  std::optional<Time> first_risky_send() const {
    const auto a = std::ranges::find_if(
        attempts, [](Fate f) { return f != Fate::never_ran; }, &Attempt::fate);
    return a == attempts.end() ? std::nullopt : std::optional(a->sent);
  }
};

struct Call {  // what one slot is spent on: one message, or a batch
  std::size_t host;
  Time sent;
  Duration idle{};  // how long its connection had lain idle, as expected until it is told; 0: a new one
  int messages = 0;
  bool judged = false;  // its first outcome has been counted
};

struct Host : HostHealth {
  HostId id{};
  ZoneId zone{};
  std::size_t lane = 0;
  bool listed = false;
  bool running = false;  // as the list says: it may get something new
  bool by_hand = false;  // out by hand, whatever the list says
  bool usable() const { return running && !by_hand; }
  int in_flight = 0;
  Time budget_at{};
  Time last_end{};
  int idle_connections = 0;
  std::uint64_t step = 0;       // of the newest call
  std::uint64_t step_call = 0;  // call that sends of that step may join
  std::vector<std::uint64_t> calls;
};

struct Lane
    : LimitGroupState {  // what shares one limit: a destination, or one of its routes where these are apart
  Lane(int start_cap, RecentSamples samples, RateMeter recent, RateMeter usual)
      : latencies(std::move(samples)), recent_calls(recent), usual_calls(usual), usual_share(usual) {
    cap = start_cap;
    recent_calls.ignore_under(kNegligibleEvents);
    usual_calls.ignore_under(kNegligibleEvents);
  }
  std::size_t destination = 0;
  bool poor() const { return slow || failing; }
  std::vector<std::size_t> hosts;
  int in_flight = 0;
  int peak = 0;  // most in flight since the last judgement
  RecentSamples latencies;
  RateMeter recent_calls;  // calls sent
  RateMeter usual_calls;   // calls accepted while not cold
  RateMeter usual_share;   // the same as a share of the limit told with each
  std::size_t fresh = 0;   // latencies since the last cut for slowness
  int good = 0, bad = 0;   // calls since the last verdict
  int broken = 0;          // and those whose connection broke
  Time judged_at{};
  bool active = false;   // there may be something to judge
  Time thrifty_until{};  // idle connections are given up early
  Time failed_at{};
  double told_limit = 0;  // calls a second from all relays, as an answer told it; 0: none did
  Time told_at = Time::min();
  double share_left = 1;  // of that limit, at that moment
  double part = 0;        // multiple of this relay's part of it that it may use; 0: free
  double pace_budget = 0;
  Time pace_at{}, part_cut_at = Time::min();
};

struct Destination {
  Destination(DestinationId d, RateMeter meter) : id(d), arrivals(meter) {
    arrivals.ignore_under(kNegligibleEvents);
  }
  DestinationId id;
  std::uint32_t kind = 0;
  std::vector<std::size_t> lanes;
  std::vector<MessageId> hold;   // in the order taken
  RateMeter arrivals;            // messages
  std::size_t entries = 0;       // of messages, those that are over but for a call still out among them
  Time worked_at = Time::min();  // when the last of them was forgotten; never: it had none yet
};

struct KeyQueue {  // messages of one key, in the order taken, for classes that ask for it
  std::deque<MessageId> waiting;
  int out = 0;
  Time rest_until{};
};

// The connection was up and broke: by chance, or for having lain idle.
inline bool broke(const Outcome& o) {
  return o.result == Result::reset ||
         (o.result == Result::connect_failed && o.connection && o.connection->established);
}

}  // namespace vetchhinge
