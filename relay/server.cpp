#include "server.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <iostream>
#include <string_view>
#include <utility>

#include "coroutine.h"
#include "server_session.h"
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
constexpr std::size_t kFirstReadBytes = 1 << 10;
constexpr auto kIdleTimeout = 10s;  // between requests
constexpr std::size_t kReadBytes = 8 << 10;
// Of a request, that each connection may read without a part of the budget.
constexpr std::size_t kUncountedBytes = 2 << 10;
constexpr auto kRequestTimeout = 2700ms;  // to receive a request; for the first, from the connection's start
// The protocol requires an error or a close within this time for a client that sends no request.
constexpr auto kLateCloseAge = 3s;
constexpr auto kMinIdleTime = 2s;          // idle time that clients may rely on between two requests
constexpr auto kIdleCheckInterval = 50ms;  // between checks for idle connections
constexpr auto kWriteTimeout = 2s;
constexpr auto kLingerTimeout = 500ms;            // for the client to read its last answer
constexpr std::size_t kMaxLingerBytes = 1 << 20;  // read and discarded meanwhile
// Of the connections, for clients that rest between requests: a crowd that sends none, or half of one, does
// not displace them.
constexpr double kKeptIdleShare = 0.25;
constexpr auto kAcceptRetryPause = 5ms;  // before the next try to accept a connection at the limit

// Returns how many bytes of the request have not been read yet; nothing if that is unknown.
template <typename Parser>
std::optional<std::size_t> missing_bytes(const Parser& parser) {
  if (!parser.is_header_done()) return std::nullopt;
  const auto missing = parser.content_length_remaining();
  return missing ? std::optional(static_cast<std::size_t>(*missing)) : std::nullopt;
}

// A header takes memory twice: as it was received, and parsed.
constexpr std::size_t kHeaderMemory = 2 * kMaxHeaderBytes;

// Returns the memory for a request whose header has been read; 0 if each connection may use it anyway.
template <typename Parser>
std::size_t memory_for_request(const Server::Session& session, const Parser& parser) {
  const auto length = parser.content_length();
  // A body of unknown length takes up to twice its length while its string grows.
  const std::size_t body = length ? static_cast<std::size_t>(*length) : 2 * kMaxBodyBytes;
  const std::size_t header = session.memory ? kHeaderMemory : 0;
  return header + body <= kUncountedBytes ? 0 : header + body;
}

}  // namespace

Server::Server(asio::any_io_executor executor, asio::ip::tcp::acceptor listening, std::size_t max_connections,
               std::size_t max_request_bytes, Ready ready, OnSubmit on_submit,
               OnUndeliveredResponse on_undelivered_response)
    : executor_(std::move(executor)),
      acceptor_(std::move(listening)),
      accept_timer_(executor_),
      max_connections_(max_connections),
      request_memory_(max_request_bytes),
      ready_(std::move(ready)),
      on_submit_(std::move(on_submit)),
      on_undelivered_response_(std::move(on_undelivered_response)),
      idle_timer_(executor_) {}

// The event loop may keep connections for longer than their budget exists.
Server::~Server() {
  for (const auto& session : sessions_) session->memory.reset();
}

void Server::start() { spawn(executor_, accept()); }

// Closes one connection to free its descriptor for a new one, and returns whether it could. Connections with
// a request that was read are not closed: a client that does not get its answer would have to assume that its
// message is lost.
bool Server::shed_connection(Shedding shedding) {
  const auto now = Session::Clock::now();
  const auto is_idle = [](const auto& session) { return session->state == Session::State::idle; };
  while (true) {
    const auto idle = static_cast<double>(std::ranges::count_if(sessions_, is_idle));
    const bool keeps_idle = shedding == Shedding::keeps_some_idle &&
                            idle <= kKeptIdleShare * static_cast<double>(max_connections_);
    Session* victim = nullptr;
    for (const auto& session : sessions_) {
      if (!session->may_be_shed(now) || (keeps_idle && is_idle(session))) continue;
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
    shed(*victim);
    return true;
  }
}

void Server::shed(Session& session) {
  session.enter(Session::State::shed);
  session.stream.close();
  session.memory.reset();
  --open_sessions_;
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
      if (is_temporary_error(error)) shed_connection(Shedding::any);
      accept_timer_.expires_after(kAcceptRetryPause);
      co_await accept_timer_.async_wait(kAwait);
      continue;
    }
    // While no connection can be shed, new ones wait in the listen backlog.
    while (open_sessions_ >= max_connections_ && !shed_connection(Shedding::keeps_some_idle)) {
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
std::optional<ClientResponse> Server::answer_directly(ClientRequest& request, const Timestamp& last_byte,
                                                      SubmittedMessage& message) const {
  const std::string_view target(request.target().data(), request.target().size());
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

// Reads until the parser is done, or only until it has the header. Each read restarts the grace period before
// the connection may be shed, so that a client that still sends is not mistaken for one that stopped halfway.
// Memory for a large request is taken before it is read.
template <typename AnyParser>
asio::awaitable<beast::error_code> Server::read_part(Session& session, AnyParser& parser, RequestPart part) {
  const auto finished = [&] {
    return part == RequestPart::header ? parser.is_header_done() : parser.is_done();
  };
  beast::error_code error;
  while (true) {
    while (session.buffer.size() > 0 && !finished()) {
      const std::size_t used = parser.put(session.buffer.data(), error);
      session.buffer.consume(used);
      if (part == RequestPart::header) drop_unused_fields(parser.get());
      if (error == http::error::need_more) error = {};
      if (error) co_return error;
      if (used == 0) break;
    }
    if (finished()) co_return error;
    if (part == RequestPart::header && session.buffer.size() >= kUncountedBytes) {
      const bool has_memory = co_await take_memory(session, kHeaderMemory, std::nullopt);
      if (!has_memory) co_return asio::error::timed_out;
    }
    session.arrival.begin_wait();
    std::size_t max_bytes = std::min(kReadBytes, Session::kMaxBufferedBytes - session.buffer.size());
    if (!session.memory) max_bytes = std::min(max_bytes, kUncountedBytes - session.buffer.size());
    const auto [read_error, count] =
        co_await session.stream.async_read_some(session.buffer.prepare(max_bytes), kAwait);
    if (read_error) co_return read_error;
    session.on_bytes_read(count);
    session.enter(Session::State::reading);
  }
}

// Reads a request, or the header alone if its framing is ambiguous. The body gets its space only once memory
// is taken for it, so `parser` is set after the header.
asio::awaitable<beast::error_code> Server::read_request(Session& session, std::optional<Parser>& parser) {
  HeaderParser header;
  header.body_limit(kMaxBodyBytes);
  header.header_limit(kMaxHeaderBytes);
  const beast::error_code header_error = co_await read_part(session, header, RequestPart::header);
  if (header_error) co_return header_error;
  parser.emplace(std::move(header));
  parser->eager(true);
  if (parser->is_done() || !has_unambiguous_framing(parser->get())) co_return header_error;
  const std::size_t needed = memory_for_request(session, *parser);
  const bool has_memory = co_await take_memory(session, needed, missing_bytes(*parser));
  if (!has_memory) co_return asio::error::timed_out;
  const beast::error_code error = co_await read_part(session, *parser, RequestPart::all);
  co_return error;
}

asio::awaitable<void> Server::serve_requests(Session& session) {
  // Clients that send nothing, or never complete a request, must not hold descriptors.
  session.expire_request_at(session.accepted - session.time_unaccepted + kRequestTimeout);
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
      if (session.state == Session::State::idle)
        session.expire_request_at(Session::Clock::now() + kRequestTimeout);
    }
    session.enter(Session::State::reading);
    std::optional<Parser> parser;
    std::optional<ClientResponse> response;
    std::string accepted_id;
    const beast::error_code error = co_await read_request(session, parser);
    if (!error && !has_unambiguous_framing(parser->get())) {
      response = plain_text_response(http::status::bad_request, "Transfer-Encoding: not supported");
    } else if (error) {
      response = response_to(error);
      if (!response) co_return;
    }
    open = !error && parser->is_done() && parser->keep_alive();
    session.enter(Session::State::answering);
    session.has_requested = true;
    if (!response) {
      ClientRequest request = parser->release();
      SubmittedMessage message;
      response = answer_directly(request, session.arrival.last_byte_at(), message);
      if (!response) {
        const std::string id = message.id;
        session.memory.reset();  // whoever takes the message bounds its memory
        const Answer answer = co_await submit(std::move(message));
        if (answer.kind == Answer::Kind::accepted) accepted_id = id;
        if (answer.kind == Answer::Kind::unknown_destination)
          open = false;  // for the reason given at may_keep_connection()
        response = response_to(answer);
      }
    }
    session.memory.reset();
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
    if (session.buffer.size() == 0) {
      session.stream.expires_after(kIdleTimeout);
    } else {
      session.expire_request_at(Session::Clock::now() + kRequestTimeout);
    }
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
