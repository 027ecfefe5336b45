// Private implementation types of HostClient: a connection to a host, and a call on it.
#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "host_client.h"

namespace myrtlegrade {

using SteadyTime = std::chrono::steady_clock::time_point;

struct HostClient::Connection {
  explicit Connection(const boost::asio::any_io_executor& executor) : socket(executor) {}

  // Returns whether the connection is closed or holds bytes that belong to no call.
  bool stale() { return !is_open() || peek_byte() > 0; }

  bool is_open() {
    const ssize_t waiting = peek_byte();
    return waiting > 0 || (waiting < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
  }

  // Peeks at the next received byte. Returns 1 if there is one, 0 at the end of the stream, and -1 with errno
  // set if nothing has been received or the connection is broken.
  ssize_t peek_byte() {
    char byte = 0;
    ssize_t waiting = 0;
    do {
      waiting = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    } while (waiting < 0 && errno == EINTR);
    return waiting;
  }

  // Reads what was received before the connection broke; used after a read has failed. Returns the number of
  // bytes.
  std::size_t read_rest(boost::asio::mutable_buffer space) {
    if (!socket.is_open()) return 0;
    const ssize_t count = ::recv(socket.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
  }

  // Returns whether the host's kernel has not yet acknowledged all bytes that were written.
  bool has_unacknowledged_bytes() {
    int bytes = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
  }

  boost::asio::ip::tcp::socket socket;
  boost::beast::flat_buffer buffer;
  Endpoint address;
  SteadyTime idle_since{};
};

struct HostClient::Call {
  explicit Call(const boost::asio::any_io_executor& executor) : timer(executor) {}

  SteadyTime item_deadline(std::size_t i) const { return SteadyTime(items[i].deadline.time_since_epoch()); }
  // The latest deadline of an item: the call's own.
  SteadyTime deadline() const {
    const auto last = std::ranges::max(items, {}, &CallItem::deadline).deadline;
    return SteadyTime(last.time_since_epoch());
  }
  // Closes the connection; the first reason is kept.
  void close(CallEnd reason) {
    boost::system::error_code ignored;
    if (!std::exchange(closed, true)) end_reason = reason;
    if (connection) connection->socket.close(ignored);
  }

  bool end_reported = false;
  CallEnd end_reason = CallEnd::broken;

  std::uint64_t number = 0;
  vetchhinge::HostId host{};
  Endpoint address;
  std::vector<CallItem> items;
  std::vector<bool> reported;
  SteadyTime started = std::chrono::steady_clock::now();
  SteadyTime connect_deadline{};
  std::shared_ptr<Connection> connection;
  boost::asio::steady_timer timer;
  vetchhinge::ConnectionUsed used;
  bool committed = false;     // the last byte is being sent: too late to cancel the call as unsent
  bool written = false;       // the last byte was sent: the call may have run
  bool answer_begun = false;  // the first bytes of the answer have arrived
  bool withheld = false;      // the call was cancelled and must not be sent
  bool closed = false;        // timeouts are no longer enforced: no connection may be opened for the call
  // Applies once the answer has begun, and moves on with each part of it. Without it an answer that stops
  // would hold its slot until the message's timeout.
  SteadyTime answer_deadline = SteadyTime::max();
  // When the host's kernel must have acknowledged a request that had a write deadline.
  SteadyTime arrival_deadline = SteadyTime::max();
  std::size_t answer_bytes = 0;               // received
  std::optional<MemoryBudget::Lease> memory;  // for a large answer
  bool answered = false;                      // the answer was read completely
  bool reusable = false;  // the answer was read completely, and the connection may carry another call
  bool finished = false;
};

}  // namespace myrtlegrade
