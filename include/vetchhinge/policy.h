/// Public interface of the decision module: settings, input events and output actions of one relay's sender.
/// The module does no I/O: the caller passes in what happened and carries out the returned actions.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

namespace vetchhinge {

/// The caller's monotonic clock. Time advances only through step(); the module never reads a system clock.
struct Clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;
};
using Duration = Clock::duration;
using Time = Clock::time_point;

// Identifiers are numbers that the caller assigns to names, from one table per Sender, in the order in which
// that Sender first meets the names. The module never sees the names themselves.
enum class MessageId : std::uint32_t {};
enum class HostId : std::uint32_t {};
enum class DestinationId : std::uint64_t {};
enum class ZoneId : std::uint32_t {};

/// What a repeated attempt does at the destination: nothing more (idempotent), nothing more within the
/// deduplication window of the key (deduplicated), or it may take effect again, so that a message is never
/// sent again once it may have run (at_most_once).
enum class Effect { idempotent, deduplicated, at_most_once };

/// Hosts that share the memory of deduplication keys: all hosts of the destination, or those of one zone.
enum class KeyScope { all, zone };

struct ClassSettings {
  Duration aim{};       // a message delivered within this time earns its full worth
  Duration deadline{};  // from submission until the message expires
  Duration window{};    // deduplicated: how long the destination remembers a key
  Effect effect = Effect::at_most_once;
  KeyScope scope = KeyScope::all;
  bool ordered = false;  // messages of one key are sent one at a time, in order of acceptance
  double worth = 1;
  double late_worth = 0;  // share of the worth that is left at the deadline
};

struct KindSettings {
  bool per_host_limits = false;  // each host has its own limit, rate limit and outages
  std::uint32_t batch = 1;       // largest number of messages in one call
};

struct TenantSettings {
  double fraction = 1;  // share of the service that is allotted to the tenant
};

struct Settings {
  std::uint64_t seed = 0;
  std::uint32_t slots = 1;     // largest number of calls in flight
  std::uint32_t max_open = 1;  // largest number of unfinished messages, queued or in flight
  std::uint32_t max_attempts = 1;
  std::uint32_t relays = 1;  // relays that call the same destinations, including this one
  // Largest number of destinations whose hosts and learned state are kept; 0: no bound. The bound is exceeded
  // while none of the destinations can be evicted.
  std::uint32_t max_destinations = 0;
  bool wait_hints = false;         // refusals carry a hint how long to wait
  bool list_on_request = false;    // the list of hosts is sent only on request
  bool late_worth_halves = false;  // late worth halves with each further `aim`; otherwise it falls linearly
  double over_share_worth = 1;     // factor on the worth of messages from tenants over their fraction
  double start_capacity = 1;       // share of its capacity that a destination has after an outage
  double overload_factor = 1;      // multiple of its present capacity that overloads a host in slow start
  Duration overload_window{};      // period over which that multiple is counted
  Duration slow_start_duration{};
  Duration max_wait_hint{};
  Duration connection_idle{};        // idle connections are closed after this time
  Duration ordered_key_delay{};      // pause of an ordered key after an attempt whose end is unknown
  Duration list_request_interval{};  // longest time between requests for the list while not subscribed
  Duration tick{};                   // shortest time between two calls of step()
  std::optional<ZoneId> zone{};      // of this relay, if known
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
};

enum class HostState { running, draining, gone };

struct HostEntry {
  HostId host{};
  DestinationId destination{};
  ZoneId zone{};
  std::uint32_t kind = 0;  // index into Settings::kinds
  HostState state = HostState::running;
  std::optional<double> rate{};  // calls per second that it accepts from all senders, if the list states it
};

/// An update of the list of hosts, or the loss of the subscription to it.
struct HostList {
  enum class Kind { changes, whole, cached, lost };
  Kind kind = Kind::whole;
  std::vector<HostEntry> entries;
  Duration silent_for{};  // lost: time without data before the loss was noticed
};

/// An attempt that was made before the relay restarted.
struct PastAttempt {
  ZoneId zone{};  // of the host that was called
  Time sent{};
  bool may_have_run = false;  // also if the outcome was lost with the process
  bool in_flight = false;     // the process that made the call is alive and the call has not ended
  HostId host{};              // of a call in flight
  std::uint64_t call = 0;     // attempts with the same number share one call
  // The relay that made the call may be frozen: nobody can end the call or tell whether it has ended. Implies
  // may_have_run.
  bool orphaned = false;
};

/// Measured state of hosts that share a limit (a limit group).
struct LimitGroupState {
  int cap = 1;  // limit on calls in flight
  bool slow = false, failing = false;
  int failure_weight = 0;  // sum over consecutive failures
  int consecutive_rejections = 0;
  Time rejected_since{};
  Time server_backoff_until{};  // as requested by the destination
  Time local_backoff_until{};   // chosen here after rejections that requested no wait
  double paced_rate = 0;        // rate limit after a rejection, in calls per second; 0: none
  Time paced_rate_cut_at{};
  double baseline_p95 = 0;        // seconds; 0: not known yet
  double rate_before_outage = 0;  // calls per second before the current or most recent outage
};

/// Measured health of one host.
struct HostHealth {
  bool in_slow_start = false;  // from the start of an outage until the host has full capacity again
  std::optional<Time> slow_start_since{};  // first success after the outage
  int failure_weight = 0;                  // sum over consecutive failures
  Time retry_at{};                         // circuit breaker open: time of the next single call
  Time last_success{};
  double slow_start_budget = 0;  // calls that the host may get at present while in slow start
};

/// Limit group as passed on by a previous process.
struct LimitGroupSnapshot : LimitGroupState {
  DestinationId destination{};
  // Any listed host of the group. None: the list names no host of the destination at present, and all its
  // hosts share this group.
  std::optional<HostId> host{};
  double baseline_rate = 0, arrival_rate = 0;
  std::vector<std::pair<Time, double>> latencies{};
};

/// Host as passed on by a previous process.
struct HostSnapshot : HostHealth {
  HostId host{};
};

/// Learned state of a previous process. It is passed to the first step, after the list of hosts.
struct LearnedState {
  std::vector<LimitGroupSnapshot> limit_groups;
  std::vector<HostSnapshot> hosts;
};

struct Message {
  MessageId id{};
  std::uint32_t cls = 0;  // index into Settings::classes
  DestinationId destination{};
  Time valid_until{};
  std::optional<std::uint32_t> tenant{};  // index into Settings::tenants
  std::optional<std::uint64_t> key{};
  std::vector<PastAttempt> past_attempts{};  // numbered before the attempts that follow
  bool recovered = false;                    // accepted by a previous process and found at the start
  // The last past attempt may still be in flight at a previous process: no other attempt is made before
  // PredecessorCallsEnded.
  bool predecessor_call_open = false;
};

/// No previous process has a call in flight any more, other than those passed in as in flight with their
/// messages.
struct PredecessorCallsEnded {};

struct Timer {
  std::uint64_t token = 0;
};

/// How an attempt ended. `full`: rejected for lack of capacity. `cancelled`: this side closed the connection
/// of a request that had been sent. `not_sent`: the request was not passed on completely, so it did not run.
enum class Result { delivered, error, full, timed_out, connect_failed, reset, cancelled, not_sent };

/// State of the rate limit of a destination, as reported in a response.
struct LimitReport {
  double share_left = 0;
  double calls_per_second = 0;  // 0: no limit
};

/// The connection that a call used.
struct ConnectionUsed {
  bool established = false;  // it had been established, whatever happened afterwards
  Duration idle{};           // idle time before the call; 0: a new connection
};

struct Outcome {
  MessageId id{};
  std::uint32_t attempt = 0;
  Result result = Result::delivered;
  bool terminal = false;  // the message has its final answer
  Duration wait{};        // server backoff that the destination requested; 0: none
  Duration elapsed{};
  std::optional<LimitReport> report{};
  std::optional<ConnectionUsed> connection{};  // if known to the caller
};

/// The client of a message went away before its answer.
struct Withdrawn {
  MessageId id{};
};

/// An operator disables a host, whatever state the list gives it, or enables it again. The HostId stays valid
/// while the host is disabled.
struct OperatorHostOverride {
  HostId host{};
  bool disabled = false;
};

using Event = std::variant<HostList, Message, Timer, Outcome, Withdrawn, OperatorHostOverride, LearnedState,
                           PredecessorCallsEnded>;

struct Send {
  MessageId id{};
  HostId host{};
  Duration timeout{};
  Duration max_connection_idle = Duration::max();  // the call must not use a connection idle for longer
  // The last byte of the request, without which it cannot run, is sent only after the connection has
  // accepted the other bytes.
  bool verify_connection = false;
  Time write_deadline = Time::max();  // the last byte must not be sent later, so that the request cannot run
};
struct Refuse {
  MessageId id{};
  Duration wait{};  // 0: no hint
};
struct Fail {
  MessageId id{};
};
struct SetTimer {
  std::uint64_t token = 0;
  Duration after{};
};

/// Subscribe to the list of hosts.
struct SubscribeHostList {};

/// Close the idle connections of this relay to a host.
struct CloseIdleConnections {
  HostId host{};
};

/// The module has dropped all state of this destination and its hosts. Before the next event that names the
/// destination, the caller passes its hosts in again, as changes of the list in the same step.
struct EvictDestination {
  DestinationId destination{};
};

using Action =
    std::variant<Send, Refuse, Fail, SetTimer, SubscribeHostList, CloseIdleConnections, EvictDestination>;

/// Decides for one relay which message is sent to which host and when. Instances are independent of each
/// other; none is thread-safe. The constructor throws std::invalid_argument, naming the field, if the
/// settings are invalid.
class Sender {
 public:
  explicit Sender(Settings settings);
  ~Sender();
  Sender(Sender&&) noexcept;
  Sender& operator=(Sender&&) noexcept;

  /// Processes all events up to `now`, in order, and returns the actions to be carried out, in order, at
  /// `now`. The first call starts the relay and should contain the list of hosts known so far.
  std::vector<Action> step(Time now, std::span<const Event> events);

  /// Returns the learned state for the successor process.
  LearnedState snapshot(Time now);

  /// Returns the number of destinations that state is kept for. It exceeds Settings::max_destinations while
  /// none of them can be evicted.
  std::size_t destinations() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace vetchhinge
