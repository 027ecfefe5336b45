// Calls to hosts over kept-alive connections: the one owner of what is out. It reports what became of each
// message of a call, tells the end of the call, and never sends one again by itself.
//
// A call is over once its whole answer has come or its connection is closed, and nothing else proves that. Of
// a message alone that is proven when its call is told to be over: a message of a bulk call may time out
// while the connection stays open for the others.
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
#include "timestamp.h"
#include "vetchhinge/policy.h"

namespace myrtlegrade {

// What goes to a host unchanged.
struct Payload {
  std::string id;
  std::string key;  // empty: none
  std::string body;
};

struct CallItem {
  vetchhinge::MessageId message{};
  std::uint32_t attempt = 0;
  std::shared_ptr<const Payload> payload;
  vetchhinge::Time deadline{};  // its answer counts no longer; by steady_time(), as all moments here
  vetchhinge::Duration max_connection_idle =
      vetchhinge::Duration::max();  // of the connection that carries it
  bool verify_connection = false;   // the last byte waits until the connection has stood the others
  vetchhinge::Time write_deadline = vetchhinge::Time::max();  // the last byte goes out by then, or never
};

struct CallResult {
  vetchhinge::Result result = vetchhinge::Result::delivered;
  bool terminal = false;             // the host knows that nothing more is owed for the message
  vetchhinge::Duration wait_hint{};  // stay away from the destination so long
  vetchhinge::Duration elapsed{};
  std::optional<vetchhinge::LimitReport> limit_report{};
  vetchhinge::ConnectionUsed connection{};
};

// Whether the host has surely not begun the work.
bool never_ran(vetchhinge::Result result);

// Why a call is over.
enum class CallEnd { answered, timed_out, broken, not_connected, withheld, cut };

std::string_view name_of(CallEnd end);

class HostClient {
 public:
  struct Limits {
    vetchhinge::Duration connect_timeout{};
    vetchhinge::Duration server_idle_timeout{};  // the host closes a connection that has stood idle so long
    std::size_t max_idle = 0;                    // idle connections to all hosts
    std::size_t max_connections = 0;             // connections to all hosts, idle or with a call
    bool reads_limit_reports = false;            // answers may tell what is left of a host's limit
    // What breaks a connection that was dropped or is not wanted comes this soon after the first bytes on it.
    vetchhinge::Duration verification_time = std::chrono::milliseconds(20);
    // Asked just before the last byte of a call goes out, from which on it may run. It records that, and
    // answers whether the call may go out; empty: it may.
    std::function<bool(const std::vector<CallItem>&)> before_last_byte{};
    std::string via{};  // who says so in each call; empty: nobody
    // Behind reports, in the same turn of the event loop: this client may be called again by then.
    std::function<void()> after_results{};
  };
  using OnResult = std::function<void(vetchhinge::HostId, const CallItem&, const CallResult&)>;
  // The call of that number is over, and each of its items was reported before.
  using OnCallEnd = std::function<void(std::uint64_t call, CallEnd end)>;

  HostClient(boost::asio::any_io_executor executor, Limits limits, OnResult on_result, OnCallEnd on_call_end);
  ~HostClient();

  // One call, under a number that no other has; several items travel as a bulk call, or as more where one
  // body can't hold them. Each item is reported once.
  void call(std::uint64_t number, vetchhinge::HostId host, const Endpoint& address,
            std::vector<CallItem> items);

  // Ends calls whose request has not begun to go out, as never sent. What was decided before a host drained,
  // or before it told us to wait, must not reach it once its connection is up.
  void cancel_unsent(vetchhinge::HostId host);

  // The same of all hosts, done when it returns: what is out after that may run already.
  void cancel_all_unsent();

  // Ends all calls at once: their connections are closed when it returns.
  void abort_all();

  void close_idle(vetchhinge::HostId host);

  void close_all_idle();

  // So many connections at most from now on, and so many of them idle.
  void set_connection_limits(std::size_t max_idle, std::size_t max_connections);

  std::size_t calls_in_flight() const { return calls_.size(); }
  std::size_t connection_count() const { return calls_.size() + idle_count_; }
  std::uint64_t connections_opened() const { return opened_; }  // connections, since the start

 private:
  struct Connection;
  struct Call;

  void start(std::uint64_t number, vetchhinge::HostId host, const Endpoint& address,
             std::vector<CallItem> items);
  boost::asio::awaitable<void> run(std::shared_ptr<Call> call);
  boost::asio::awaitable<bool> connect(Call& call);
  boost::asio::awaitable<void> write(Call& call);
  boost::asio::awaitable<bool> prove(Call& call, const std::string& bytes);
  boost::asio::awaitable<void> read_answer(Call& call);
  boost::asio::awaitable<bool> read_some(Call& call);
  boost::asio::awaitable<void> keep_time(std::shared_ptr<Call> call);
  boost::asio::awaitable<void> reap();

  struct Due {
    std::chrono::steady_clock::time_point at;
    bool one_waits = false;
  };
  Due next_due(const Call& call, std::chrono::steady_clock::time_point now) const;
  void report_timed_out(Call& call, std::chrono::steady_clock::time_point now);

  void answered(Call& call, unsigned status, const std::string& body, const boost::beast::http::fields& head);
  void report(Call& call, std::size_t item, CallResult result);
  void report_rest(Call& call, vetchhinge::Result result);
  void end(Call& call, CallEnd end);
  void cut(Call& call, vetchhinge::Result result, CallEnd end);
  std::vector<std::shared_ptr<Call>> all_calls() const { return {calls_.begin(), calls_.end()}; }
  std::shared_ptr<Connection> take_idle(const Call& call);
  void keep_idle(Call& call);
  void drop_longest_idle();

  boost::asio::any_io_executor executor_;
  Limits limits_;
  OnResult on_result_;
  OnCallEnd on_call_end_;
  boost::asio::steady_timer reap_timer_;
  std::unordered_map<vetchhinge::HostId, std::vector<std::shared_ptr<Connection>>> idle_;  // newest last
  std::size_t idle_count_ = 0;
  std::uint64_t opened_ = 0;
  std::unordered_set<std::shared_ptr<Call>> calls_;
  std::unordered_map<std::uint64_t, std::size_t> parts_;  // that are not over, by number of their call
};

}  // namespace myrtlegrade
