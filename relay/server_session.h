// A connection of a client, as Server sees it.
#pragma once

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "arrival_time.h"
#include "memory_budget.h"
#include "server.h"

namespace myrtlegrade {

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

  // Upper limit on the wait for the accept that the kernel reports, which a handover or a long accept queue
  // can explain.
  static constexpr auto kMaxUnacceptedTime = std::chrono::seconds(1);
  // New connections, and those that received part of a request, are not shed for this long.
  static constexpr auto kShedGracePeriod = std::chrono::milliseconds(250);
  static constexpr std::size_t kMaxBufferedBytes = 32 << 10;

  explicit Session(boost::asio::ip::tcp::socket socket)
      : stream(std::move(socket)), buffer(kMaxBufferedBytes) {
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

  // Returns whether the client has stopped within a request: what it sent has been read, and nothing
  // followed.
  bool has_stalled(Clock::time_point now) {
    return state == State::reading && now - since >= kShedGracePeriod && !has_unread_bytes();
  }

  std::size_t unread_bytes() {
    boost::system::error_code closed;
    const std::size_t count = stream.socket().is_open() ? stream.socket().available(closed) : 0;
    return closed ? 0 : count;
  }
  void expire_request_at(Clock::time_point at) {
    deadline = at;
    stream.expires_at(at);
  }

  // Returns whether received bytes have not been read yet. Closing the connection then would lose a request,
  // or at least make the client send it again.
  bool has_unread_bytes() { return unread_bytes() > 0; }

  void on_bytes_read(std::size_t count) {
    buffer.commit(count);
    arrival.on_read(stream.socket().native_handle());
  }

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  ArrivalTime arrival;
  State state = State::fresh;
  Clock::time_point since = Clock::now();
  Clock::time_point accepted = since;
  Clock::duration time_unaccepted{};  // wait of the connection for its accept
  bool has_requested = false;         // a request was read or answered with an error
  Clock::time_point deadline{};       // for the rest of the request that is being read
  // For the request that is being read, where it is a large one.
  std::optional<MemoryBudget::Lease> memory;
};

}  // namespace myrtlegrade
