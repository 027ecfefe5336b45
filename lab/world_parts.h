// The emulator's parts, for its own files: world.cpp (clients, lists, faults), world_relays.cpp (what the
// real relay does around the module) and world_calls.cpp (connections, calls and hosts).
#pragma once

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "checker.h"
#include "clients.h"
#include "partner.h"
#include "policy.h"
#include "result.h"
#include "timeline.h"
#include "traffic.h"
#include "world.h"

namespace valedrum::lab {

class World : private Truth {
 public:
  World(const Day& day, const PolicyMaker& maker, const PlayOptions& options);
  RunResult run();

 private:
  struct Attempt {
    std::uint32_t host = 0;
    std::uint64_t call = 0;  // attempts that share one have the same number
    Time sent{};
    bool out = true, may_have_run = false;
  };
  struct Open {  // a message that is not over, or still has an attempt out
    std::uint32_t request = 0;
    Time until{};
    double wall = 0;     // the relay's clock when it was taken on, against the true one
    bool taken = false;  // else no step has seen it yet
    bool over = false;
    std::vector<Attempt> attempts;
    bool any_out() const {
      return std::ranges::any_of(attempts, [](const Attempt& a) { return a.out; });
    }
  };
  struct Known {  // of a host, at a relay
    vetchhinge::HostState state = vetchhinge::HostState::gone;
    bool listed = false;
  };
  struct RelayNode {
    std::unique_ptr<Policy> policy;
    std::uint32_t start = 0;  // grows with each: what an earlier process asked for is void
    bool up = false;
    bool closing = false;  // told to end: takes and decides nothing any more
    std::vector<vetchhinge::Event> events;
    std::vector<std::uint32_t> arrivals;  // messages that no step has seen
    Time step_at = Time::max(), last_step = Time::min();
    Time stalled_until{};
    std::map<std::uint32_t, Open> open;
    std::uint32_t held = 0;
    std::uint32_t in_flight = 0;
    std::vector<std::vector<Time>> idle;  // connections of each host: since when
    std::vector<Known> known;
    std::vector<vetchhinge::HostState>
        agent;       // what its machine has been sent, whether a process hears it or not
    Time list_at{};  // when the newest of its changes reaches it
    bool watching = false;
    double wall = 0;  // its clock against the true one, seconds
  };
  struct Host {
    Endpoint endpoint;
    std::uint32_t connections = 0, most_connections = 0;  // 0: any number
    Duration closes_idle{};
    vetchhinge::HostState state = vetchhinge::HostState::running;  // in the directory
    double on_the_way = 0;                                         // calls sent and not arrived
  };
  struct Call {
    std::uint32_t relay = 0, host = 0, incarnation = 0;
    std::uint32_t generation = 0;  // of its place: events of an earlier call are void
    std::uint32_t pending = 0;     // events that name it
    std::uint64_t number = 0;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> items;  // message and attempt
    std::vector<std::uint32_t> requests;                         // of the items
    Time sent{};
    Duration idle{};
    bool established = false;  // its connection is up
    bool counted = false;      // on the way
    bool arrived = false;
    bool done = false;  // the relay knows its outcome, or its process is gone
    double work = 0;    // seconds
    vetchhinge::Result result{};
    Duration wait{};
    std::optional<vetchhinge::LimitReport> report;
  };

  // ------------------------------------------------------------------ world.cpp
  void see(Observation o);
  void next_arrival();
  void hand_in(std::uint32_t request, std::uint32_t relay);
  void hand_in_later(std::uint32_t request, Duration after, bool elsewhere);
  void refused(std::uint32_t request, Duration hint);
  void second_over();
  void begin(const Fault& f);
  void flap(const Fault& f, std::uint32_t turn);
  void set_health(std::uint32_t host, Health health);
  void no_service(std::uint32_t host, bool on);
  void list_changed(std::uint32_t host, vetchhinge::HostState state);
  void push(std::uint32_t relay, std::uint32_t host);
  void told(std::uint32_t relay, std::uint32_t host, vetchhinge::HostState state);
  void ask_list(std::uint32_t relay);
  vetchhinge::HostEntry entry(std::uint32_t host, vetchhinge::HostState state) const;
  Duration latency(std::uint32_t from, std::uint32_t to);
  std::uint32_t live_relay();

  // ------------------------------------------------------------------ world_relays.cpp
  void start_relay(std::uint32_t relay);
  void upgrade(std::uint32_t relay);
  void end_relay(std::uint32_t relay, bool kept);
  void restart(std::uint32_t relay, Duration back_after);
  void happened(std::uint32_t relay, vetchhinge::Event event);
  void schedule(std::uint32_t relay);
  void step(std::uint32_t relay);
  void carry_out(std::uint32_t relay, const std::vector<vetchhinge::Action>& actions);
  void close(std::uint32_t relay, std::uint32_t message);
  void forget_if_over(std::uint32_t relay, std::uint32_t message);
  vetchhinge::Message message(const Open& open, std::uint32_t id, const RelayNode& r, bool out) const;
  vetchhinge::HostList list(const RelayNode& r, vetchhinge::HostList::Kind kind, bool all_running) const;

  // ------------------------------------------------------------------ world_calls.cpp
  void send(std::uint32_t relay, const std::vector<vetchhinge::Send>& sends);
  void begin_call(std::uint32_t call, Duration timeout, Duration max_connection_idle);
  void on_call(std::uint32_t call, Duration after, void (World::*then)(std::uint32_t));
  void arrive(std::uint32_t call);
  void finish(std::uint32_t call);
  void answer(std::uint32_t call, vetchhinge::Result result, Duration after = {});
  void answered(std::uint32_t call);
  void timed_out(std::uint32_t call);
  void not_connected(std::uint32_t call);
  void outcome(std::uint32_t call, vetchhinge::Result result);
  void release(std::uint32_t call);
  void drop_connections(std::uint32_t host);
  void break_calls(std::uint32_t host);
  bool reachable(std::uint32_t from, std::uint32_t to) const { return cuts_[from][to] == 0; }
  double room(std::uint32_t host) override;
  double answer_in(std::uint32_t relay, std::uint32_t host) override;

  const Day& day_;
  const PolicyMaker& maker_;
  const PlayOptions& options_;
  Timeline timeline_;
  Traffic traffic_;
  Clients clients_;
  Random network_, directory_;
  Checker checker_;
  RunResult& result_ = clients_.result;
  std::vector<RelayNode> relays_;
  std::vector<Partner> partners_;
  std::vector<Host> hosts_;
  std::vector<Call> calls_;
  std::vector<std::uint32_t> free_calls_;
  std::vector<double> on_the_way_;      // by partner
  std::vector<std::vector<int>> cuts_;  // from zone to zone
  double loss_ = 0, resets_ = 0;
  int discovery_down_ = 0;
  Time discovery_back_{};
  std::uint32_t answers_ = 0;  // of discovery in this second
  std::int64_t answers_second_ = -1;
  std::uint32_t last_message_ = 0;
  std::uint64_t last_call_ = 0;
};

}  // namespace valedrum::lab
