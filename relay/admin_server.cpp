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
constexpr std::size_t kMostLine = 256;  // the longest call with the longest id that a list may name
constexpr auto kLineWithin = 2s;        // from the connection's start: dripping gains nothing
constexpr auto kReplyWithin = 1s;       // for the caller to take its reply, and to go
constexpr auto kPause = 5ms;            // before accepting again where that failed

}  // namespace

struct AdminServer::Caller {
  explicit Caller(asio::ip::tcp::socket socket) : stream(std::move(socket)) {}
  boost::beast::tcp_stream stream;
  bool complete = false;  // its line has come
};

AdminServer::AdminServer(asio::any_io_executor executor, const Endpoint& listen, OnCall on_call)
    : executor_(std::move(executor)),
      acceptor_(executor_, listen),
      pause_(executor_),
      on_call_(std::move(on_call)) {}

void AdminServer::start() { spawn(executor_, accept()); }

// One that has said nothing whole goes first: who comes with a call must get in at once.
void AdminServer::make_room() {
  for (const auto& caller : callers_) {
    if (caller->complete) continue;
    caller->stream.close();
    callers_.remove(caller);
    return;
  }
  callers_.front()->stream.close();
  callers_.pop_front();
}

asio::awaitable<void> AdminServer::accept() {
  while (true) {
    auto [error, socket] = co_await accept_next(StreamUse::second_address, acceptor_);
    if (error == asio::error::operation_aborted) co_return;
    if (error) {
      pause_.expires_after(kPause);
      co_await pause_.async_wait(kAwait);
      continue;
    }
    while (callers_.size() >= kMaxConnections) make_room();
    spawn(executor_, serve(callers_.emplace_back(std::make_shared<Caller>(std::move(socket)))));
  }
}

asio::awaitable<void> AdminServer::serve(std::shared_ptr<Caller> caller) {
  try {
    co_await answer(*caller);
  } catch (const std::exception& e) {  // one caller must not end the relay
    std::cerr << "second address: " << e.what() << '\n';
  }
  caller->stream.close();
  callers_.remove(caller);
}

asio::awaitable<void> AdminServer::answer(Caller& caller) {
  std::array<char, kMostLine> bytes;
  std::string line;
  caller.stream.expires_after(kLineWithin);
  std::string reply;
  for (auto end = std::string::npos; !caller.complete;) {
    const auto [error, count] =
        co_await caller.stream.async_read_some(asio::buffer(bytes.data(), kMostLine - line.size()), kAwait);
    line.append(bytes.data(), count);
    end = line.find('\n');
    caller.complete = end != std::string::npos || (error == asio::error::eof && !line.empty());
    if (caller.complete) {
      line.resize(std::min(end, line.size()));
    } else if (error) {
      co_return;  // gone, shed, or out of time with nothing said that could be answered
    } else if (line.size() == kMostLine) {
      reply = "NAK line too long";
      break;
    }
  }
  if (caller.complete) {
    if (line.ends_with('\r')) line.pop_back();
    reply = co_await ask(std::move(line));
  }
  reply += '\n';
  caller.stream.expires_after(kReplyWithin);
  const auto error = co_await write_all(StreamUse::second_address, caller.stream, reply);
  if (error) co_return;
  // A plain close() with unread bytes would reset the connection and may take the reply with it.
  boost::system::error_code ignored;
  caller.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  while (true) {
    const auto [ended, count] = co_await caller.stream.async_read_some(asio::buffer(bytes), kAwait);
    if (ended) co_return;
  }
}

asio::awaitable<std::string> AdminServer::ask(std::string line) {
  struct Pending {
    explicit Pending(const asio::any_io_executor& executor)
        : came(executor, asio::steady_timer::time_point::max()) {}
    std::optional<std::string> reply;
    asio::steady_timer came;
  };
  const auto pending = std::make_shared<Pending>(executor_);
  on_call_(std::move(line), [pending](std::string reply) {
    pending->reply = std::move(reply);
    pending->came.cancel();
  });
  while (!pending->reply) co_await pending->came.async_wait(kAwait);
  co_return *std::move(pending->reply);
}

}  // namespace myrtlegrade
