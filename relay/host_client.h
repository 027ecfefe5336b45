// HTTP client for calls to hosts over keep-alive connections. It owns all calls in flight, reports the result
// of each message of a call and then the end of the call, and never retries by itself.
//
// A call has ended once its complete answer has arrived or its connection is closed. For a single message
// this is certain only when the end of its call is reported: a message of a bulk call may time out while the
// connection stays open for the other messages.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "host_list.h"
#include "memory_budget.h"
#include "timestamp.h"
#include "vetchhinge/policy.h"

namespace myrtlegrade {

// The part of a message that is sent to the host unchanged.
struct Payload {
  std::string id;
  std::string key;  // empty: no key
  std::string body;
};

// One message of a call. All times are those of steady_time().
struct CallItem {
  vetchhinge::MessageId message{};
  std::uint32_t attempt = 0;
  std::shared_ptr<const Payload> payload;
  vetchhinge::Time deadline{};  // an answer after this is ignored
  // A connection that was idle for longer than this is not used for the call.
  vetchhinge::Duration max_connection_idle = vetchhinge::Duration::max();
  bool verify_connection = false;  // send the last byte only after the connection has survived the others
  vetchhinge::Time write_deadline = vetchhinge::Time::max();  // the last byte is not sent after this
};

// The outcome of one message of a call.
struct CallResult {
  vetchhinge::Result result = vetchhinge::Result::delivered;
  bool terminal = false;             // the host has settled the message: nothing remains to be done for it
  vetchhinge::Duration wait_hint{};  // how long to stay away from the destination
  vetchhinge::Duration elapsed{};
  std::optional<vetchhinge::LimitReport> limit_report{};
  vetchhinge::ConnectionUsed connection{};
};

// Returns whether the result proves that the host has not begun the work.
bool never_ran(vetchhinge::Result result);

// Why a call has ended.
enum class CallEnd { answered, timed_out, broken, not_connected, withheld, cut };

std::string_view name_of(CallEnd end);

class HostClient {
 public:
  struct Limits {
    vetchhinge::Duration connect_timeout{};
    vetchhinge::Duration server_idle_timeout{};  // hosts close connections that were idle for this long
    std::size_t max_idle = 0;                    // idle connections to all hosts together
    std::size_t max_connections = 0;             // connections to all hosts, idle or with a call
    bool reads_limit_reports = false;            // answers may report the state of a host's limit
    // How long verification waits after the first bytes: a connection that was dropped, or that the host
    // rejects, breaks within this time.
    vetchhinge::Duration verification_time = std::chrono::milliseconds(20);
    // Called just before the last byte of a call is sent, after which the call may run. It records that and
    // returns whether the call may be sent; an empty function allows all calls.
    std::function<bool(const std::vector<CallItem>&)> before_last_byte{};
    std::size_t max_answer_bytes = 256 << 10;  // memory of all answers, beyond a little for each
    std::string via{};                         // this relay's name for the Via header; empty: no header
    // Called after results were reported, in the same turn of the event loop. It may call this client.
    std::function<void()> after_results{};
  };
  using OnResult = std::function<void(vetchhinge::HostId, const CallItem&, const CallResult&)>;
  // Called when the call with that number has ended, after the results of all its items.
  using OnCallEnd = std::function<void(std::uint64_t call, CallEnd end)>;

  HostClient(boost::asio::any_io_executor executor, Limits limits, OnResult on_result, OnCallEnd on_call_end);
  ~HostClient();

  // Starts a call under a unique number. Several items are sent as one bulk call, or as several where they
  // do not fit into one body. The result of each item is reported exactly once.
  void call(std::uint64_t number, vetchhinge::HostId host, const Endpoint& address,
            std::vector<CallItem> items);

  // Ends the calls to a host whose last byte has not been sent, as not sent. A call that was decided before
  // the host began to drain or asked for a wait must not reach it once its connection is up.
  void cancel_unsent(vetchhinge::HostId host);

  // Does the same for all hosts before it returns. Calls still in flight after that may already be running.
  void cancel_all_unsent();

  // Ends all calls: their connections are closed when it returns.
  void abort_all();

  void close_idle(vetchhinge::HostId host);

  void close_all_idle();

  // Changes the limits on idle connections and on all connections.
  void set_connection_limits(std::size_t max_idle, std::size_t max_connections);

  const MemoryBudget& answer_memory() const { return answer_memory_; }
  std::size_t calls_in_flight() const { return calls_.size(); }
  std::size_t connection_count() const { return calls_.size() + idle_count_; }
  std::uint64_t connections_opened() const { return opened_; }  // since the process started

 private:
  struct Connection;
  struct Call;

  void start(std::uint64_t number, vetchhinge::HostId host, const Endpoint& address,
             std::vector<CallItem> items);
  boost::asio::awaitable<void> run(std::shared_ptr<Call> call);
  boost::asio::awaitable<bool> connect(Call& call);
  boost::asio::awaitable<void> write(Call& call);
  boost::asio::awaitable<bool> verify_connection(Call& call, const std::string& bytes);
  boost::asio::awaitable<void> read_answer(Call& call);
  boost::asio::awaitable<bool> read_some(Call& call);
  boost::asio::awaitable<void> enforce_timeouts(std::shared_ptr<Call> call);
  boost::asio::awaitable<void> close_expired_idle();

  struct NextTimeout {
    std::chrono::steady_clock::time_point at;
    bool any_waiting = false;
  };
  NextTimeout next_timeout(const Call& call, std::chrono::steady_clock::time_point now) const;
  void report_timed_out(Call& call, std::chrono::steady_clock::time_point now);

  void process_answer(Call& call, unsigned status, const std::string& body,
                      const boost::beast::http::fields& head);
  void report(Call& call, std::size_t item, CallResult result);
  void report_remaining(Call& call, vetchhinge::Result result);
  void report_end(Call& call, CallEnd end);
  void abort(Call& call, vetchhinge::Result result, CallEnd end);
  std::vector<std::shared_ptr<Call>> all_calls() const { return {calls_.begin(), calls_.end()}; }
  std::shared_ptr<Connection> take_idle(const Call& call);
  void keep_idle(Call& call);
  void close_longest_idle();

  boost::asio::any_io_executor executor_;
  Limits limits_;
  MemoryBudget answer_memory_;  // must outlive the calls
  OnResult on_result_;
  OnCallEnd on_call_end_;
  boost::asio::steady_timer idle_timer_;
  // Most recently used last.
  std::unordered_map<vetchhinge::HostId, std::vector<std::shared_ptr<Connection>>> idle_;
  std::size_t idle_count_ = 0;
  std::uint64_t opened_ = 0;
  std::unordered_set<std::shared_ptr<Call>> calls_;
  // How many parts of a call have not ended, by call number.
  std::unordered_map<std::uint64_t, std::size_t> open_parts_;
};

}  // namespace myrtlegrade
