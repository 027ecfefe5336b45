#include "host_client.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <string_view>
#include <utility>

#include "coroutine.h"
#include "host_client_call.h"
#include "host_protocol.h"
#include "stream_io.h"

namespace myrtlegrade {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using vetchhinge::Duration;
using vetchhinge::HostId;
using vetchhinge::Result;
using namespace std::chrono_literals;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxBodyBytes = 64 << 10;
constexpr std::size_t kMaxHeadBytes = 16 << 10;
constexpr std::size_t kReadBytes = 4 << 10;
constexpr std::size_t kUncountedBytes = 4 << 10;  // of an answer, without a part of the budget
constexpr int kMaxInterimAnswers = 16;            // 1xx answers before the final one
// An answer that has begun and is not complete counts as invalid when nothing of it arrives for this long.
constexpr auto kAnswerStallTimeout = 500ms;
// Stray bytes behind an answer have arrived this long after it.
constexpr auto kSettleTime = 20ms;
constexpr auto kIdleCheckInterval = 250ms;
// Time for a request that is sent at its write deadline to reach the host's kernel.
constexpr auto kArrivalGrace = 50ms;
// Idle connections are closed at this share of the host's idle timeout: a request that crosses the host's
// close is reset, and then has to count as possibly run.
constexpr double kIdleTimeoutShare = 0.9;

Duration since(SteadyTime start) {
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - start);
}

std::string_view view(const boost::beast::flat_buffer& buffer) {
  return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

}  // namespace

bool never_ran(Result result) {
  return result == Result::full || result == Result::connect_failed || result == Result::not_sent;
}

std::string_view name_of(CallEnd end) {
  constexpr std::string_view names[] = {"answered",      "timed_out", "broken",
                                        "not_connected", "withheld",  "cut"};
  return names[static_cast<std::size_t>(end)];
}

HostClient::HostClient(asio::any_io_executor executor, Limits limits, OnResult on_result,
                       OnCallEnd on_call_end)
    : executor_(std::move(executor)),
      limits_(limits),
      answer_memory_(limits.max_answer_bytes),
      on_result_(std::move(on_result)),
      on_call_end_(std::move(on_call_end)),
      idle_timer_(executor_) {
  spawn(executor_, close_expired_idle());
}

// Calls in flight end abruptly, as if the process had been killed.
HostClient::~HostClient() {
  for (const auto& call : calls_) {
    call->close(CallEnd::cut);
    call->memory.reset();  // the event loop may keep the call for longer than the budget exists
  }
}

void HostClient::call(std::uint64_t number, HostId host, const Endpoint& address,
                      std::vector<CallItem> items) {
  std::vector<std::vector<CallItem>> parts(1);
  std::size_t size = 2;
  for (CallItem& item : items) {
    const std::size_t share = bulk_item_size(*item.payload);
    if (!parts.back().empty() && size + share > kMaxBodyBytes) {
      parts.emplace_back();
      size = 2;
    }
    size += share;
    parts.back().push_back(std::move(item));
  }
  open_parts_[number] = parts.size();
  for (std::vector<CallItem>& part : parts) start(number, host, address, std::move(part));
}

void HostClient::start(std::uint64_t number, HostId host, const Endpoint& address,
                       std::vector<CallItem> items) {
  // The number of descriptors is limited: idle connections are closed first; a call that still has no
  // descriptor is not sent.
  if (calls_.size() + idle_count_ >= limits_.max_connections) close_longest_idle();
  auto call = std::make_shared<Call>(executor_);
  call->number = number;
  call->host = host;
  call->address = address;
  call->reported.assign(items.size(), false);
  call->items = std::move(items);
  if (calls_.size() >= limits_.max_connections) {
    asio::post(executor_, [this, call] {
      report_remaining(*call, Result::not_sent);
      report_end(*call, CallEnd::withheld);
    });
    return;
  }
  call->connect_deadline = call->started + limits_.connect_timeout;
  calls_.insert(call);
  spawn(executor_, run(call));
  spawn(executor_, enforce_timeouts(call));
}

void HostClient::cancel_unsent(HostId host) {
  for (const auto& call : calls_) {
    if (call->host != host || call->committed) continue;
    call->withheld = true;
    call->close(CallEnd::withheld);
  }
}

void HostClient::cancel_all_unsent() {
  for (const auto& call : all_calls()) {
    if (!call->committed) abort(*call, Result::not_sent, CallEnd::withheld);
  }
}

void HostClient::abort_all() {
  for (const auto& call : all_calls()) {
    abort(*call, call->committed ? Result::cancelled : Result::not_sent, CallEnd::cut);
  }
}

// The coroutines of the call find it closed and reported when they resume.
void HostClient::abort(Call& call, Result result, CallEnd why) {
  call.withheld = !call.committed;
  call.close(why);
  report_remaining(call, result);
  report_end(call, why);
}

void HostClient::close_idle(HostId host) {
  const auto found = idle_.find(host);
  if (found == idle_.end()) return;
  idle_count_ -= found->second.size();
  idle_.erase(found);
}

void HostClient::close_all_idle() {
  idle_.clear();
  idle_count_ = 0;
}

void HostClient::set_connection_limits(std::size_t max_idle, std::size_t max_connections) {
  limits_.max_idle = max_idle;
  limits_.max_connections = max_connections;
}

asio::awaitable<void> HostClient::run(std::shared_ptr<Call> call) {
  // No co_await inside a condition: GCC 12 generates code for it that crashes.
  const bool connected = co_await connect(*call);
  if (connected) co_await write(*call);
  if (call->written) co_await read_answer(*call);
  // A host begins a call when its last byte arrives, so a call that was not written completely never ran.
  // After an unreadable answer the call may have run, and the answer has no information about the host's
  // load.
  const Result unanswered = call->withheld  ? Result::not_sent
                            : call->written ? Result::reset
                                            : Result::connect_failed;
  if (!call->answered) call->close(call->committed ? CallEnd::broken : CallEnd::not_connected);
  report_remaining(*call, unanswered);
  call->finished = true;
  call->timer.cancel();
  // Before the end is reported: that may be the last use of the host, and close its idle connections.
  if (call->reusable) keep_idle(*call);
  call->connection = nullptr;
  report_end(*call, call->answered ? CallEnd::answered : call->end_reason);
  calls_.erase(call);
  if (limits_.after_results) limits_.after_results();
}

asio::awaitable<bool> HostClient::connect(Call& call) {
  if (!call.closed) call.connection = take_idle(call);
  if (call.connection) {
    call.used = {true, since(call.connection->idle_since)};
    // Bytes that the host sent after its last answer may still be in transit and would be taken for the
    // answer to this call. Waiting for them takes no longer than opening a connection.
    asio::steady_timer settled(executor_, call.connection->idle_since + kSettleTime);
    co_await settled.async_wait(kAwait);
    if (!call.closed && call.connection->stale()) call.connection = nullptr;
  }
  if (!call.connection && !call.closed) {
    call.used = {};
    call.connection = std::make_shared<Connection>(executor_);
    call.connection->address = call.address;
    const auto [error] = co_await call.connection->socket.async_connect(call.address, kAwait);
    if (error || !call.connection->socket.is_open()) co_return false;
    call.used.established = true;
    ++opened_;
    boost::system::error_code ignored;
    call.connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    // Closing the socket, or the end of this process, discards unsent bytes with a reset. Otherwise the
    // kernel would keep delivering an abandoned request to a host that reads late or is unreachable for a
    // while. When a socket object is merely destroyed, as for idle connections, boost::asio still closes it
    // gracefully.
    call.connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  co_return !call.closed;
}

// Sends all bytes of the request but the last and waits for the connection to break. A host begins a call
// with its last byte, so a connection that breaks before that has run nothing; after it this cannot be known,
// and work that may not be repeated is lost. A connection that was dropped while idle, or that the host or a
// middlebox resets at its start or at the request, breaks within a round trip of the first bytes. This
// detects no later break and no silent drop, and each call occupies its slot for the time of the wait.
asio::awaitable<bool> HostClient::verify_connection(Call& call, const std::string& bytes) {
  const std::shared_ptr<Connection> connection = call.connection;
  const auto error = co_await write_all(StreamUse::calls, connection->socket, bytes);
  if (error) co_return false;
  asio::steady_timer limit(executor_, limits_.verification_time);
  const auto waiting = std::make_shared<bool>(true);
  limit.async_wait([connection, waiting](boost::system::error_code aborted) {
    boost::system::error_code ignored;
    if (!aborted && *waiting) connection->socket.cancel(ignored);
  });
  (void)co_await connection->socket.async_wait(asio::socket_base::wait_read, kAwait);
  *waiting = false;
  co_return !call.closed && connection->is_open();
}

asio::awaitable<void> HostClient::write(Call& call) {
  std::string request = make_request(call.address, call.items, limits_.via);
  if (std::ranges::any_of(call.items, &CallItem::verify_connection)) {
    const std::string last(1, request.back());
    request.pop_back();
    const bool verified = co_await verify_connection(call, request);
    if (!verified) co_return;
    request = last;
  }
  const vetchhinge::Time write_deadline =
      std::ranges::min(call.items, {}, &CallItem::write_deadline).write_deadline;
  const auto too_late = [write_deadline] { return steady_time() > write_deadline; };
  const bool allowed = !too_late() && (!limits_.before_last_byte || limits_.before_last_byte(call.items));
  if (!allowed || too_late()) {  // before_last_byte may have taken some time
    call.withheld = true;
    call.close(CallEnd::withheld);
    co_return;
  }
  call.committed = true;
  const std::shared_ptr<Connection> connection = call.connection;
  const auto error = co_await write_all(StreamUse::calls, connection->socket, request);
  call.written = !error;
  if (!call.written) co_return;
  if (write_deadline < vetchhinge::Time::max()) {
    call.arrival_deadline = SteadyTime(write_deadline.time_since_epoch()) + kArrivalGrace;
  }
  call.timer.cancel();  // a deadline may have passed during the write, and the new arrival deadline applies
}

asio::awaitable<bool> HostClient::read_some(Call& call) {
  Connection& connection = *call.connection;
  const auto space = connection.buffer.prepare(kReadBytes);
  const auto [error, received] = co_await connection.socket.async_read_some(space, kAwait);
  const std::size_t count = error ? connection.read_rest(space) : received;
  if (count == 0) co_return false;
  connection.buffer.commit(count);
  call.answer_bytes += count;
  if (call.answer_bytes > kUncountedBytes && !call.memory) {
    call.memory = answer_memory_.take(kMaxHeadBytes + kMaxBodyBytes);
    if (!call.memory) co_return false;  // like an answer that is too long
  }
  call.answer_deadline = std::min(std::chrono::steady_clock::now() + kAnswerStallTimeout, call.deadline());
  if (!std::exchange(call.answer_begun, true))
    call.timer.cancel();  // the answer deadline applies from now on
  co_return true;
}

// Leaves items unreported for which there is no complete and valid answer.
asio::awaitable<void> HostClient::read_answer(Call& call) {
  boost::beast::flat_buffer& buffer = call.connection->buffer;
  for (int interim = 0; interim <= kMaxInterimAnswers; ++interim) {
    const auto has_head = [&] { return view(buffer).find("\r\n\r\n") != std::string_view::npos; };
    bool more = true;
    while (more && !has_head() && buffer.size() < kMaxHeadBytes) more = co_await read_some(call);
    // For a single message a status line of 200 is enough, even if nothing after it can be read.
    const bool single_delivered = call.items.size() == 1 && has_ok_status_line(view(buffer));
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    parser.header_limit(kMaxHeadBytes);
    parser.eager(true);
    if (single_delivered) {
      boost::system::error_code unreadable;
      http::response_parser<http::empty_body> head;
      head.put(buffer.data(), unreadable);
      process_answer(call, 200, {}, head.get());
    }
    if (!has_head()) co_return;
    boost::system::error_code error;
    while (!parser.is_done()) {
      buffer.consume(parser.put(buffer.data(), error));
      if (error && error != http::error::need_more) co_return;
      if (parser.is_done()) break;
      more = co_await read_some(call);
      if (more) continue;
      parser.put_eof(error);  // the body may be delimited by the end of the connection
      if (error || !parser.is_done()) co_return;
    }
    const unsigned status = parser.get().result_int();
    if (status == 101) co_return;  // no protocol switch was requested
    if (status / 100 == 1) continue;
    const bool each = call.items.size() > 1 && status == 200;
    if (each && read_bulk_states(parser.get().body()).empty()) co_return;
    call.answered = true;
    if (!single_delivered) process_answer(call, status, parser.get().body(), parser.get());
    // A connection with bytes beyond the answer is not reused.
    call.reusable = parser.keep_alive() && call.connection->socket.is_open() && buffer.size() == 0;
    co_return;
  }
}

void HostClient::process_answer(Call& call, unsigned status, const std::string& body,
                                const http::fields& head) {
  const Duration wait = read_wait_hint(head);
  const auto load = limits_.reads_limit_reports ? read_limit_report(head) : std::nullopt;
  const bool each = call.items.size() > 1 && status == 200;
  const auto states = each ? read_bulk_states(body) : decltype(read_bulk_states(body)){};
  for (std::size_t i = 0; i < call.items.size(); ++i) {
    CallResult result = result_of(status);
    // The relay exceeded its own slots: that is no information about the host's load.
    if (status == 503 && is_own_slot_limit(head)) result.result = Result::not_sent;
    if (each) {
      const auto found = states.find(call.items[i].payload->id);
      // A message that the answer does not name may have run.
      result = result_of(found == states.end() ? std::string_view("failed") : found->second);
    }
    result.wait_hint = wait;
    result.limit_report = load;
    report(call, i, result);
  }
}

void HostClient::report(Call& call, std::size_t item, CallResult result) {
  if (call.reported[item]) return;
  call.reported[item] = true;
  result.elapsed = since(call.started);
  result.connection = call.used;
  on_result_(call.host, call.items[item], result);
}

void HostClient::report_remaining(Call& call, Result result) {
  for (std::size_t i = 0; i < call.items.size(); ++i) report(call, i, {result, false, {}, {}});
}

void HostClient::report_end(Call& call, CallEnd end) {
  if (std::exchange(call.end_reported, true)) return;
  const auto parts = open_parts_.find(call.number);
  if (--parts->second > 0) return;
  open_parts_.erase(parts);
  on_call_end_(call.number, end);
}

// Returns the next deadline of the call, and whether an item still waits for its result.
HostClient::NextTimeout HostClient::next_timeout(const Call& call, SteadyTime now) const {
  NextTimeout timeout{call.answer_deadline, call.answer_begun};
  for (std::size_t i = 0; i < call.items.size() && !call.answer_begun; ++i) {
    if (call.item_deadline(i) <= now) continue;
    timeout.at = std::min(timeout.at, call.item_deadline(i));
    timeout.any_waiting = timeout.any_waiting || !call.reported[i];
  }
  return timeout;
}

void HostClient::report_timed_out(Call& call, SteadyTime now) {
  if (!call.written) return;
  for (std::size_t i = 0; i < call.items.size(); ++i) {
    if (call.item_deadline(i) <= now) report(call, i, {Result::timed_out, false, {}, {}});
  }
}

// Enforces the timeouts of a call. Each message has its own; the call continues for those that still wait.
// The timeout of the last one is reported after the connection is closed.
asio::awaitable<void> HostClient::enforce_timeouts(std::shared_ptr<Call> call) {
  while (!call->finished && !call->end_reported) {
    const SteadyTime now = std::chrono::steady_clock::now();
    const NextTimeout timeout = next_timeout(*call, now);
    const bool connect_timed_out = !call->committed && call->connect_deadline <= now;
    const bool not_arrived = call->arrival_deadline <= now && call->connection->has_unacknowledged_bytes();
    if (call->arrival_deadline <= now) call->arrival_deadline = SteadyTime::max();
    if (connect_timed_out || not_arrived || timeout.at <= now || timeout.at == SteadyTime::max() ||
        !timeout.any_waiting) {
      call->close(CallEnd::timed_out);
      report_timed_out(*call, now);
      if (limits_.after_results) limits_.after_results();
      co_return;
    }
    if (!call->answer_begun) report_timed_out(*call, now);  // else the answer may be about to name the item
    if (limits_.after_results) limits_.after_results();
    const SteadyTime next = std::min(timeout.at, call->arrival_deadline);
    call->timer.expires_at(call->committed ? next : std::min(next, call->connect_deadline));
    co_await call->timer.async_wait(kAwait);
  }
}

std::shared_ptr<HostClient::Connection> HostClient::take_idle(const Call& call) {
  const auto found = idle_.find(call.host);
  if (found == idle_.end()) return nullptr;
  const Duration max_idle =
      std::ranges::min(call.items, {}, &CallItem::max_connection_idle).max_connection_idle;
  std::shared_ptr<Connection> taken;
  auto& connections = found->second;
  while (!taken && !connections.empty()) {
    // Takes the most recently used connection that has settled, or else the one that settles first.
    const auto settled = [](const auto& c) { return since(c->idle_since) >= kSettleTime; };
    const auto newest = std::ranges::find_if(connections.rbegin(), connections.rend(), settled);
    const auto best = newest == connections.rend() ? connections.begin() : std::prev(newest.base());
    if (since((*best)->idle_since) > max_idle) break;  // another call may use it; the others are older
    auto connection = std::move(*best);
    connections.erase(best);
    --idle_count_;
    if (connection->address == call.address && !connection->stale()) taken = std::move(connection);
  }
  if (connections.empty()) idle_.erase(found);
  return taken;
}

void HostClient::keep_idle(Call& call) {
  if (idle_count_ >= limits_.max_idle) return;
  call.connection->idle_since = std::chrono::steady_clock::now();
  call.connection->buffer.shrink_to_fit();
  idle_[call.host].push_back(std::move(call.connection));
  ++idle_count_;
}

void HostClient::close_longest_idle() {
  const auto longest =
      std::ranges::min_element(idle_, {}, [](const auto& host) { return host.second.front()->idle_since; });
  if (longest == idle_.end()) return;
  longest->second.erase(longest->second.begin());
  if (longest->second.empty()) idle_.erase(longest);
  --idle_count_;
}

asio::awaitable<void> HostClient::close_expired_idle() {
  const auto max_idle = std::chrono::duration_cast<Duration>(kIdleTimeoutShare * limits_.server_idle_timeout);
  while (true) {
    idle_timer_.expires_after(kIdleCheckInterval);
    const auto [error] = co_await idle_timer_.async_wait(kAwait);
    if (error) co_return;
    for (auto at = idle_.begin(); at != idle_.end();) {
      idle_count_ -= std::erase_if(at->second, [&](const std::shared_ptr<Connection>& c) {
        return since(c->idle_since) >= max_idle || c->stale();
      });
      at = at->second.empty() ? idle_.erase(at) : std::next(at);
    }
  }
}

}  // namespace myrtlegrade
