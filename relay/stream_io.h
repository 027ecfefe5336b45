// Accepts connections and writes to streams for all of the relay, and handles each failure that Linux
// documents for these calls. It never waits for an event that may not arrive, and never spins.
//
//   call     failure                           handling
//   -------  --------------------------------  ------------------------------------------------------------
//   accept   ECONNABORTED, EPROTO, EINTR,      That connection is lost; the next one is accepted at once.
//            EPERM and pending network errors  Without the option that accept_next() sets, Boost.Asio hides
//                                              the first two and waits for an edge of the event queue, which
//                                              connections that already wait do not trigger.
//   accept   EMFILE, ENFILE, ENOBUFS, ENOMEM   Returned to the caller, which frees descriptors and retries
//                                              after a pause.
//   send     fewer bytes than given            The rest is sent at once, or when there is room. Boost.Asio
//                                              takes a short count for a full buffer and waits for an edge,
//                                              which a socket that is already writable does not trigger.
//   send     EINTR                             Retried by Boost.Asio.
//   send     ENOBUFS, ENOMEM                   Retried after kResourcePause, until the stream is closed.
//   send     ECONNRESET, EPIPE, ETIMEDOUT,     Returned to the caller: the connection is broken.
//            EHOSTUNREACH and all others
//   recv     a short count, EINTR              Boost.Asio continues: it keeps its speculative read unless the
//                                              end of the stream was read.
//   recv     ENOMEM, ECONNRESET, ETIMEDOUT     The connection is broken. Bytes of a call's answer that
//   arrived
//                                              before are read and count (HostClient).
//   connect  EADDRNOTAVAIL, ENETUNREACH,       Returned to the caller at once: each outgoing connection has a
//            EHOSTUNREACH, ETIMEDOUT, EMFILE   retry of its own (calls, watch, notices, link, copies, fleet).
//   connect  EINPROGRESS                       Boost.Asio waits, and arms the event anew for it.
//
// Waiting for a socket to become readable or writable (async_wait) arms the event anew, so that a socket that
// is already ready is noticed. This is how a short write is completed.
#pragma once

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

#include "system_errors.h"

namespace myrtlegrade {

// The purpose of a stream, under which failures are counted and logged.
enum class StreamUse : std::uint8_t {
  clients,
  second_address,
  successors,  // the link between two processes of one relay, and its setup
  copies,
  fleet,
  calls,
  watch,
  notices,
};
inline constexpr std::size_t kStreamUseCount = 8;

// Failures that were handled here without an error to the caller, since the start of the process.
struct AbsorbedFailures {
  struct Counts {
    std::uint64_t short_writes = 0;
    std::uint64_t aborted_accepts = 0;
    std::uint64_t no_buffers = 0;
  };
  std::array<Counts, kStreamUseCount> by_use{};

  Counts& of(StreamUse use) { return by_use[static_cast<std::size_t>(use)]; }
};
AbsorbedFailures& absorbed_failures();
// Returns the counts that are not 0, such as "clients.short_writes=3 successors.aborted_accepts=1".
std::string to_text(const AbsorbedFailures& failures);

// Logs a write that was delayed by absorbed failures. The rate of these lines is limited.
void log_slow_write(StreamUse use, std::chrono::steady_clock::duration elapsed);

namespace stream_io_detail {

inline constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
inline constexpr auto kResourcePause = std::chrono::milliseconds(5);
inline constexpr auto kSlowWrite = std::chrono::milliseconds(20);

inline auto& socket_of(boost::beast::tcp_stream& stream) { return stream.socket(); }
template <typename Socket>
Socket& socket_of(Socket& socket) {
  return socket;
}

// Sends what the socket accepts without blocking, and returns the number of bytes sent. An error is left to
// the next write, which meets it again.
std::size_t send_now(int socket, std::string_view bytes);

}  // namespace stream_io_detail

// Writes all bytes, or returns an error. The bytes must stay valid until it completes.
template <typename Stream>
boost::asio::awaitable<boost::system::error_code> write_all(StreamUse use, Stream& stream,
                                                            std::string_view bytes) {
  namespace detail = stream_io_detail;
  using Clock = std::chrono::steady_clock;
  std::optional<Clock::time_point> first_failure;
  while (true) {
    const auto [error, count] =
        co_await stream.async_write_some(boost::asio::buffer(bytes.data(), bytes.size()), detail::kAwait);
    bytes.remove_prefix(count);
    if (bytes.empty() || (error && !is_temporary_error(error))) {
      if (first_failure && Clock::now() - *first_failure > detail::kSlowWrite)
        log_slow_write(use, Clock::now() - *first_failure);
      co_return error;
    }
    if (!first_failure) first_failure = Clock::now();
    if (error) {
      ++absorbed_failures().of(use).no_buffers;
      boost::asio::steady_timer pause(stream.get_executor(), detail::kResourcePause);
      co_await pause.async_wait(detail::kAwait);
    } else {
      ++absorbed_failures().of(use).short_writes;
      // The next write queues behind this wait, which also notices that the socket is already writable.
      detail::socket_of(stream).async_wait(boost::asio::socket_base::wait_write,
                                           [](boost::system::error_code) {});
    }
  }
}

// Like write_all(), for data that is due within milliseconds: sends what the socket accepts before it
// suspends, even after a short count, rather than in a later iteration of the event loop.
template <typename Stream>
boost::asio::awaitable<boost::system::error_code> write_promptly(StreamUse use, Stream& stream,
                                                                 std::string_view bytes) {
  namespace detail = stream_io_detail;
  bytes.remove_prefix(detail::send_now(detail::socket_of(stream).native_handle(), bytes));
  if (bytes.empty()) co_return boost::system::error_code();
  co_return co_await write_all(use, stream, bytes);
}

// Returns the next established connection, or an error that does not concern a single connection.
template <typename Acceptor>
boost::asio::awaitable<std::tuple<boost::system::error_code, typename Acceptor::protocol_type::socket>>
accept_next(StreamUse use, Acceptor& acceptor) {
  while (true) {
    boost::system::error_code ignored;
    acceptor.set_option(boost::asio::socket_base::enable_connection_aborted(true), ignored);
    auto [error, socket] = co_await acceptor.async_accept(stream_io_detail::kAwait);
    if (!is_single_connection_error(error)) co_return std::tuple(error, std::move(socket));
    ++absorbed_failures().of(use).aborted_accepts;
  }
}

// Serializes an HTTP message to its wire format.
template <bool is_request, typename Body, typename Fields>
std::string to_bytes(boost::beast::http::message<is_request, Body, Fields>& message) {
  boost::beast::http::serializer<is_request, Body, Fields> serializer(message);
  std::string bytes;
  boost::system::error_code error;
  while (!serializer.is_done() && !error) {
    serializer.next(error, [&](boost::system::error_code&, const auto& buffers) {
      std::size_t count = 0;
      for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
        bytes.append(static_cast<const char*>(buffer.data()), buffer.size());
        count += buffer.size();
      }
      serializer.consume(count);
    });
  }
  return bytes;
}

}  // namespace myrtlegrade
