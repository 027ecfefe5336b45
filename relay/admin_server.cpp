#include "admin_server.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <iostream>
#include <optional>
#include <utility>

#include "coroutine.h"
#include "stream_io.h"

namespace myrtlegrade {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// Fits the longest command with the longest id that a list may hold.
constexpr std::size_t kMaxLineBytes = 256;
// Counted from the start of the connection, so that a slow writer can't extend it.
constexpr auto kLineTimeout = 2s;
constexpr auto kReplyTimeout = 1s;  // for the client to read the reply and to close the connection
constexpr auto kAcceptRetryDelay = 5ms;

}  // namespace

struct AdminServer::Connection {
  explicit Connection(asio::ip::tcp::socket socket) : stream(std::move(socket)) {}
  boost::beast::tcp_stream stream;
  bool complete = false;  // the whole line has been received
};

AdminServer::AdminServer(asio::any_io_executor executor, const Endpoint& listen, Handler handler)
    : executor_(std::move(executor)),
      acceptor_(executor_, listen),
      accept_retry_timer_(executor_),
      handler_(std::move(handler)) {}

void AdminServer::start() { spawn(executor_, accept()); }

// Stalled connections must not keep out a client that sends its command at once.
void AdminServer::close_one_connection() {
  for (const auto& connection : connections_) {
    if (connection->complete) continue;
    connection->stream.close();
    connections_.remove(connection);
    return;
  }
  connections_.front()->stream.close();
  connections_.pop_front();
}

asio::awaitable<void> AdminServer::accept() {
  while (true) {
    auto [error, socket] = co_await accept_next(StreamUse::second_address, acceptor_);
    if (error == asio::error::operation_aborted) co_return;
    if (error) {
      accept_retry_timer_.expires_after(kAcceptRetryDelay);
      co_await accept_retry_timer_.async_wait(kAwait);
      continue;
    }
    while (connections_.size() >= kMaxConnections) close_one_connection();
    spawn(executor_, serve(connections_.emplace_back(std::make_shared<Connection>(std::move(socket)))));
  }
}

asio::awaitable<void> AdminServer::serve(std::shared_ptr<Connection> connection) {
  try {
    co_await respond(*connection);
  } catch (const std::exception& e) {  // a failing connection must not end the relay
    std::cerr << "second address: " << e.what() << '\n';
  }
  connection->stream.close();
  connections_.remove(connection);
}

asio::awaitable<void> AdminServer::respond(Connection& connection) {
  std::array<char, kMaxLineBytes> bytes;
  std::string line;
  connection.stream.expires_after(kLineTimeout);
  std::string reply;
  for (auto end = std::string::npos; !connection.complete;) {
    const auto [error, count] = co_await connection.stream.async_read_some(
        asio::buffer(bytes.data(), kMaxLineBytes - line.size()), kAwait);
    line.append(bytes.data(), count);
    end = line.find('\n');
    connection.complete = end != std::string::npos || (error == asio::error::eof && !line.empty());
    if (connection.complete) {
      line.resize(std::min(end, line.size()));
    } else if (error) {
      co_return;  // closed by the client, closed to make room, or timed out without a complete line
    } else if (line.size() == kMaxLineBytes) {
      reply = "NAK line too long";
      break;
    }
  }
  if (connection.complete) {
    if (line.ends_with('\r')) line.pop_back();
    reply = co_await handle(std::move(line));
  }
  reply += '\n';
  connection.stream.expires_after(kReplyTimeout);
  const auto error = co_await write_all(StreamUse::second_address, connection.stream, reply);
  if (error) co_return;
  // close() with unread bytes would reset the connection, and the client could lose the reply.
  boost::system::error_code ignored;
  connection.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  while (true) {
    const auto [ended, count] = co_await connection.stream.async_read_some(asio::buffer(bytes), kAwait);
    if (ended) co_return;
  }
}

asio::awaitable<std::string> AdminServer::handle(std::string line) {
  struct PendingReply {
    explicit PendingReply(const asio::any_io_executor& executor)
        : arrived(executor, asio::steady_timer::time_point::max()) {}
    std::optional<std::string> reply;
    asio::steady_timer arrived;
  };
  const auto pending = std::make_shared<PendingReply>(executor_);
  handler_(std::move(line), [pending](std::string reply) {
    pending->reply = std::move(reply);
    pending->arrived.cancel();
  });
  while (!pending->reply) co_await pending->arrived.async_wait(kAwait);
  co_return *std::move(pending->reply);
}

}  // namespace myrtlegrade
