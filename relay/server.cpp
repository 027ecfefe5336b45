#include "server.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstdio>
#include <iostream>
#include <iterator>
#include <string_view>
#include <utility>

#include "arrival_time.h"
#include "coroutine.h"
#include "stream_io.h"
#include "system_errors.h"

namespace myrtlegrade {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using namespace std::chrono_literals;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxBodyBytes = 64 << 10;
constexpr std::uint32_t kMaxHeaderBytes = 16 << 10;
constexpr std::size_t kMaxNameBytes = 128;  // of an id or key, which are stored on disk
constexpr std::size_t kMaxBufferedBytes = 32 << 10;
constexpr std::size_t kFirstReadBytes = 1 << 10;
constexpr auto kIdleTimeout = 10s;  // between requests
constexpr std::size_t kReadBytes = 8 << 10;
constexpr auto kRequestTimeout = 2700ms;  // to receive a request; for the first, from the connection's start
// Upper limit on the wait for the accept that the kernel reports, which a handover or a long accept queue can
// explain.
constexpr auto kMaxUnacceptedTime = 1s;
// The protocol requires an error or a close within this time for a client that sends no request.
constexpr auto kLateCloseAge = 3s;
constexpr auto kMinIdleTime = 2s;          // idle time that clients may rely on between two requests
constexpr auto kIdleCheckInterval = 50ms;  // between checks for idle connections
// New connections, and those that received part of a request, are not shed for this long.
constexpr auto kShedGracePeriod = 250ms;
constexpr auto kWriteTimeout = 2s;
constexpr auto kLingerTimeout = 500ms;            // for the client to read its last answer
constexpr std::size_t kMaxLingerBytes = 1 << 20;  // read and discarded meanwhile
constexpr auto kAcceptRetryPause = 5ms;           // before the next try to accept a connection at the limit
constexpr std::int64_t kMaxTimeoutMs = 86'400'000;

using Request = Server::Request;
using Response = Server::Response;

std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

bool is_printable(std::string_view text) {
  return std::ranges::all_of(text, [](char c) { return c > ' ' && c <= '~'; });
}

template <typename Number>
std::optional<Number> parse_number(std::string_view text) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// Parses the value of `dest` in texts such as "dest=7" or "a=1; dest=7".
std::optional<std::uint64_t> parse_destination(std::string_view text) {
  constexpr std::string_view kSeparators = " ;,&\t";
  while (!text.empty()) {
    const std::size_t end = text.find_first_of(kSeparators);
    const std::string_view word = text.substr(0, end);
    if (word.starts_with("dest=")) return parse_number<std::uint64_t>(word.substr(5));
    if (end == std::string_view::npos) break;
    text.remove_prefix(end + 1);
  }
  return std::nullopt;
}

// Fills `message` from a request. Returns the name of the invalid header field, or an empty string.
std::string parse_message(Request& request, const Timestamp& last_byte, SubmittedMessage& message) {
  const std::string_view path = view(request.target()).substr(1);
  message.cls = path.substr(0, path.find_first_of("/?"));
  message.id = request["X-Request-ID"];
  if (message.id.empty() || message.id.size() > kMaxNameBytes || !is_printable(message.id))
    return "X-Request-ID";
  message.key = request["Idempotency-Key"];
  if (message.key.size() > kMaxNameBytes || !is_printable(message.key)) return "Idempotency-Key";
  const auto timeout = parse_number<std::int64_t>(view(request["X-Timeout-Ms"]));
  if (!timeout || *timeout < 0) return "X-Timeout-Ms";
  message.deadline = last_byte + std::chrono::milliseconds(std::min(*timeout, kMaxTimeoutMs));
  const auto destination = parse_destination(view(request["X-Addressing"]));
  if (!destination) return "X-Addressing";
  message.destination = *destination;
  message.body = std::move(request.body());
  return "";
}

// A body whose end another HTTP implementation would place elsewhere may hide a request (request smuggling).
// Beast rejects Content-Length next to chunked coding and contradictory lengths, but ignores transfer codings
// that it does not know and then parses the body as the next request.
bool has_unambiguous_framing(const Request& request) {
  const auto [first, last] = request.equal_range(http::field::transfer_encoding);
  if (first == last) return true;
  return request.version() == 11 && std::next(first) == last && beast::iequals(first->value(), "chunked") &&
         request.find(http::field::content_length) == request.end();
}

Response plain_text_response(http::status status, std::string text) {
  Response response{status, 11};
  if (!text.empty()) {
    response.set(http::field::content_type, "text/plain");
    response.body() = std::move(text) + "\n";
  }
  response.prepare_payload();
  return response;
}

Response with_retry_after(Response response, std::chrono::milliseconds after) {
  if (after > 0ms) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f", std::chrono::duration<double>(after).count());
    response.set(http::field::retry_after, seconds);
  }
  return response;
}

Response response_to(const Answer& answer) {
  switch (answer.kind) {
    case Answer::Kind::accepted:
      return plain_text_response(http::status::accepted, "");
    case Answer::Kind::failed:
      return plain_text_response(http::status::gateway_timeout, "failed");
    case Answer::Kind::unknown_class:
      return plain_text_response(http::status::not_found, "unknown class of message");
    case Answer::Kind::unknown_destination:
      return with_retry_after(
          plain_text_response(http::status::service_unavailable, "no host of this destination is known"),
          answer.retry_after);
    case Answer::Kind::key_missing:
      return plain_text_response(http::status::bad_request, "Idempotency-Key: missing");
    case Answer::Kind::other_content:
      return plain_text_response(http::status::conflict, "X-Request-ID: in use for another message");
    case Answer::Kind::refused:
      break;
  }
  return with_retry_after(plain_text_response(http::status::service_unavailable, "refused"),
                          answer.retry_after);
}

// Returns whether the connection may stay open after an answer of this class. A client that sends an invalid
// request might repeat it immediately and at full speed; having to reconnect slows it down.
bool may_keep_connection(http::status_class status) { return status != http::status_class::client_error; }

// Returns the response to a request that the parser rejected, none if the connection just ended.
std::optional<Response> response_to(beast::error_code error) {
  if (error == http::error::body_limit)
    return plain_text_response(http::status::payload_too_large, "body too large");
  if (error == http::error::header_limit) {
    return plain_text_response(http::status::request_header_fields_too_large, "header too large");
  }
  const bool malformed = error.category() == make_error_code(http::error::bad_method).category() &&
                         error != http::error::end_of_stream && error != http::error::partial_message;
  if (malformed) return plain_text_response(http::status::bad_request, "malformed request");
  return std::nullopt;
}

}  // namespace

std::string_view name_of(Answer::Kind kind) {
  constexpr std::array<std::string_view, 7> names = {
      "taken", "refused", "failed", "unknown_class", "unknown_destination", "key_missing", "other_content"};
  return names[static_cast<std::size_t>(kind)];
}

struct Server::Session {
  // In the order in which connections are shed. A new client may take a while to send its first request,
  // which fails if its connection is closed. A client that keeps a connection after a request loses nothing
  // by its close, and may never use it again. Many silent new connections thus displace idle connections, but
  // no requests, and are shed themselves once no idle ones are left.
  enum class State {
    closing,    // its last answer was sent
    idle,       // between requests
    fresh,      // no request yet
    reading,    // part of a request was received
    answering,  // a request was read: never shed
    shed
  };
  using Clock = std::chrono::steady_clock;

  explicit Session(asio::ip::tcp::socket socket) : stream(std::move(socket)), buffer(kMaxBufferedBytes) {
    const Clock::duration age = connection_age(stream.socket().native_handle());
    time_unaccepted = std::min<Clock::duration>(age, kMaxUnacceptedTime);
  }
  void enter(State next) {
    if (state == State::shed) return;
    state = next;
    since = Clock::now();
  }
  bool may_be_shed(Clock::time_point now) const {
    if (state == State::fresh || state == State::reading) return now - since >= kShedGracePeriod;
    return state == State::closing || state == State::idle;
  }

  // Returns whether received bytes have not been read yet. Closing the connection then would lose a request,
  // or at least make the client send it again.
  bool has_unread_bytes() {
    boost::system::error_code closed;
    return stream.socket().is_open() && stream.socket().available(closed) > 0;
  }

  void on_bytes_read(std::size_t count) {
    buffer.commit(count);
    arrival.on_read(stream.socket().native_handle());
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  ArrivalTime arrival;
  State state = State::fresh;
  Clock::time_point since = Clock::now();
  Clock::time_point accepted = since;
  Clock::duration time_unaccepted{};  // wait of the connection for its accept
  bool has_requested = false;         // a request was read or answered with an error
};

Server::Server(asio::any_io_executor executor, asio::ip::tcp::acceptor listening, std::size_t max_connections,
               Ready ready, OnSubmit on_submit, OnUndeliveredResponse on_undelivered_response)
    : executor_(std::move(executor)),
      acceptor_(std::move(listening)),
      accept_timer_(executor_),
      max_connections_(max_connections),
      ready_(std::move(ready)),
      on_submit_(std::move(on_submit)),
      on_undelivered_response_(std::move(on_undelivered_response)),
      idle_timer_(executor_) {}

Server::~Server() = default;

void Server::start() { spawn(executor_, accept()); }

// Closes one connection to free its descriptor for a new one, and returns whether it could. Connections with
// a request that was read are not closed: a client that does not get its answer would have to assume that its
// message is lost.
bool Server::shed_connection() {
  const auto now = Session::Clock::now();
  while (true) {
    Session* victim = nullptr;
    for (const auto& session : sessions_) {
      if (!session->may_be_shed(now)) continue;
      if (!victim || std::pair(session->state, session->since) < std::pair(victim->state, victim->since)) {
        victim = session.get();
      }
    }
    if (!victim) return false;
    const bool waiting = victim->state == Session::State::fresh || victim->state == Session::State::idle;
    if (waiting && victim->has_unread_bytes()) {
      victim->enter(Session::State::reading);  // its request has arrived and is about to be read
      continue;
    }
    victim->enter(Session::State::shed);
    victim->stream.close();
    --open_sessions_;
    return true;
  }
}

void Server::drain() {
  if (!std::exchange(draining_, true)) close_idle();
}

void Server::leave() {
  if (!std::exchange(leaving_, true)) close_idle();
}

void Server::stop_accepting() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
}

void Server::close_idle() {
  if (!leaving_ && !draining_) return;
  const auto now = Session::Clock::now();
  for (const auto& session : sessions_) {
    if (session->state != Session::State::idle || now - session->since < kMinIdleTime) continue;
    if (!session->has_unread_bytes()) session->stream.cancel();
  }
  idle_timer_.expires_after(kIdleCheckInterval);
  idle_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) close_idle();
  });
}

asio::awaitable<void> Server::accept() {
  while (true) {
    auto [error, socket] = co_await accept_next(StreamUse::clients, acceptor_);
    if (error && !acceptor_.is_open()) co_return;
    if (error) {
      // The system may be out of descriptors although this relay has not reached its own limit.
      if (is_temporary_error(error)) shed_connection();
      accept_timer_.expires_after(kAcceptRetryPause);
      co_await accept_timer_.async_wait(kAwait);
      continue;
    }
    // While no connection can be shed, new ones wait in the listen backlog.
    while (open_sessions_ >= max_connections_ && !shed_connection()) {
      accept_timer_.expires_after(kAcceptRetryPause);
      co_await accept_timer_.async_wait(kAwait);
    }
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto session = std::make_shared<Session>(std::move(socket));
    sessions_.insert(session);
    ++open_sessions_;
    spawn(executor_, serve(session));
  }
}

// Returns the response to a request that holds no valid message; otherwise fills `message` and returns none.
std::optional<Response> Server::answer_directly(Request& request, const Timestamp& last_byte,
                                                SubmittedMessage& message) const {
  const std::string_view target = view(request.target());
  if (request.method() == http::verb::get && target == "/_health") {
    if (leaving_) return plain_text_response(http::status::service_unavailable, "leaving");
    return ready_() ? plain_text_response(http::status::ok, "ready")
                    : plain_text_response(http::status::service_unavailable, "no host is known yet");
  }
  if (request.method() != http::verb::post)
    return plain_text_response(http::status::not_found, "no such page");
  if (target.size() < 2 || target.front() != '/') {
    return plain_text_response(http::status::not_found, "unknown class of message");
  }
  const std::string field = parse_message(request, last_byte, message);
  if (!field.empty()) return plain_text_response(http::status::bad_request, field + ": missing or malformed");
  return std::nullopt;
}

asio::awaitable<Answer> Server::submit(SubmittedMessage message) {
  struct PendingAnswer {
    explicit PendingAnswer(const asio::any_io_executor& executor)
        : answered(executor, asio::steady_timer::time_point::max()) {}
    std::optional<Answer> answer;
    asio::steady_timer answered;
  };
  const auto pending = std::make_shared<PendingAnswer>(executor_);
  on_submit_(std::move(message), [pending](Answer answer) {
    pending->answer = answer;
    pending->answered.cancel();
  });
  while (!pending->answer) co_await pending->answered.async_wait(kAwait);
  co_return *pending->answer;
}

asio::awaitable<void> Server::serve(std::shared_ptr<Session> session) {
  try {
    co_await serve_requests(*session);
    log_late_close(*session);
    session->enter(Session::State::closing);
    co_await linger_and_close(*session);
  } catch (const std::exception& e) {  // a failure of one connection must not end the relay
    std::cerr << "myrtlegrade: client: " << e.what() << std::endl;
    send_internal_error(*session);
  }
  session->stream.close();
  if (session->state != Session::State::shed) --open_sessions_;
  sessions_.erase(session);
}

// Logs a close without a request that is later than the protocol allows, and splits the delay into the wait
// for the accept and the time after it.
void Server::log_late_close(const Session& session) {
  const auto age = Session::Clock::now() - session.accepted + session.time_unaccepted;
  if (session.has_requested || age <= kLateCloseAge || !event_log_.allow_line()) return;
  const auto ms = [](Session::Clock::duration duration) { return std::to_string(duration / 1ms); };
  event_log_.write("closed_late", "age_ms=" + ms(age) + " unaccepted_ms=" + ms(session.time_unaccepted));
}

// Answers a request that was read and then failed here: its message may have been processed, and closing the
// connection without an answer would lose the request.
void Server::send_internal_error(Session& session) {
  if (session.state != Session::State::answering || !session.stream.socket().is_open()) return;
  constexpr std::string_view kError =
      "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  (void)::send(session.stream.socket().native_handle(), kError.data(), kError.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
  boost::system::error_code ignored;
  session.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

// Reads up to the end of a request, or to the end of a header with ambiguous framing. Each read restarts the
// grace period before the connection may be shed, so that a client that still sends is not mistaken for one
// that stopped halfway.
asio::awaitable<beast::error_code> Server::read_request(Session& session, Parser& parser) {
  beast::error_code error;
  while (true) {
    while (session.buffer.size() > 0 && !parser.is_done()) {
      const std::size_t used = parser.put(session.buffer.data(), error);
      session.buffer.consume(used);
      if (error == http::error::need_more) error = {};
      if (error) co_return error;
      if (parser.is_header_done() && !has_unambiguous_framing(parser.get())) co_return error;
      if (used == 0) break;
    }
    if (parser.is_done()) co_return error;
    session.arrival.begin_wait();
    const std::size_t max_bytes = std::min(kReadBytes, kMaxBufferedBytes - session.buffer.size());
    const auto [read_error, count] =
        co_await session.stream.async_read_some(session.buffer.prepare(max_bytes), kAwait);
    if (read_error) co_return read_error;
    session.on_bytes_read(count);
    session.enter(Session::State::reading);
  }
}

asio::awaitable<void> Server::serve_requests(Session& session) {
  // Clients that send nothing, or never complete a request, must not hold descriptors.
  session.stream.expires_at(session.accepted - session.time_unaccepted + kRequestTimeout);
  bool open = true;
  while (open) {
    if (session.buffer.size() == 0) {
      session.arrival.begin_wait();
      const auto [error, count] =
          co_await session.stream.async_read_some(session.buffer.prepare(kFirstReadBytes), kAwait);
      if (error == asio::error::operation_aborted && session.has_unread_bytes())
        continue;  // a request arrived while close_idle() closed the connection
      if (error) co_return;
      session.on_bytes_read(count);
      if (session.state == Session::State::idle) session.stream.expires_after(kRequestTimeout);
    }
    session.enter(Session::State::reading);
    Parser parser;
    parser.eager(true);
    parser.body_limit(kMaxBodyBytes);
    parser.header_limit(kMaxHeaderBytes);
    std::optional<Response> response;
    std::string accepted_id;
    const beast::error_code error = co_await read_request(session, parser);
    if (!error && !has_unambiguous_framing(parser.get())) {
      response = plain_text_response(http::status::bad_request, "Transfer-Encoding: not supported");
    } else if (error) {
      response = response_to(error);
      if (!response) co_return;
    }
    open = !error && parser.is_done() && parser.keep_alive();
    session.enter(Session::State::answering);
    session.has_requested = true;
    if (!response) {
      Request request = parser.release();
      SubmittedMessage message;
      response = answer_directly(request, session.arrival.last_byte_at(), message);
      if (!response) {
        const std::string id = message.id;
        const Answer answer = co_await submit(std::move(message));
        if (answer.kind == Answer::Kind::accepted) accepted_id = id;
        if (answer.kind == Answer::Kind::unknown_destination)
          open = false;  // for the reason given at may_keep_connection()
        response = response_to(answer);
      }
    }
    open = open && !draining_ && !leaving_ && may_keep_connection(http::to_status_class(response->result()));
    response->keep_alive(open);
    session.stream.expires_after(kWriteTimeout);
    const std::string bytes = to_bytes(*response);
    const auto write_error = co_await write_all(StreamUse::clients, session.stream, bytes);
    if (write_error) {
      if (!accepted_id.empty()) on_undelivered_response_(accepted_id);
      co_return;
    }
    session.enter(Session::State::idle);
    if (session.buffer.size() == 0) session.buffer.shrink_to_fit();  // there are many idle connections
    session.stream.expires_after(session.buffer.size() == 0 ? std::chrono::nanoseconds(kIdleTimeout)
                                                            : std::chrono::nanoseconds(kRequestTimeout));
  }
}

// Shuts down sending and discards what the client still sends: close() with unread bytes would reset the
// connection, and the client could lose the answer.
asio::awaitable<void> Server::linger_and_close(Session& session) {
  boost::system::error_code ignored;
  session.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  std::array<char, 4096> rest;
  session.stream.expires_after(kLingerTimeout);
  for (std::size_t total = 0; session.stream.socket().is_open() && total < kMaxLingerBytes;) {
    const auto [error, count] = co_await session.stream.async_read_some(asio::buffer(rest), kAwait);
    if (error) break;
    total += count;
  }
}

}  // namespace myrtlegrade
