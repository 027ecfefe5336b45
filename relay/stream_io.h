// The one way in which the relay accepts connections and writes to streams, and what it does about each
// failure that Linux documents there. It never waits for an event that may not come, and never spins.
//
//   call     failure                           what is done
//   -------  --------------------------------  ------------------------------------------------------------
//   accept   ECONNABORTED, EPROTO, EINTR,      that connection is gone: the next one is taken at once.
//   Without
//            EPERM and pending network errors  its option Boost.Asio keeps the first two to itself and waits
//                                              for an edge of the event queue, which connections that wait
//                                              already do not bring
//   accept   EMFILE, ENFILE, ENOBUFS, ENOMEM   told to the caller, who makes room and comes back after a
//   pause send     fewer bytes than were given       the rest goes out at once, or when there is room.
//   Boost.Asio
//                                              takes a short count for a full buffer and waits for an edge,
//                                              which a socket that is writable already does not bring
//   send     EINTR                             tried again by Boost.Asio
//   send     ENOBUFS, ENOMEM                   tried again after kResourcePause, until the stream is closed
//   send     ECONNRESET, EPIPE, ETIMEDOUT,     told to the caller: the connection is broken
//            EHOSTUNREACH and all else
//   recv     a short count, EINTR              Boost.Asio goes on: it keeps its speculative read unless the
//   end
//                                              of the stream was read
//   recv     ENOMEM, ECONNRESET, ETIMEDOUT     the connection is broken; of a call's answer what had come
//                                              before is read and counts (HostClient)
//   connect  EADDRNOTAVAIL, ENETUNREACH,       told to the caller at once: each outgoing connection has a
//            EHOSTUNREACH, ETIMEDOUT, EMFILE   retry of its own (calls, watch, notices, link, copies, fleet)
//   connect  EINPROGRESS                       Boost.Asio waits, and arms the event anew for it
//
// Waiting for a socket to become readable or writable (async_wait) arms the event anew, so that one that is
// ready already is seen: that is why it mends a short write.
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

enum class StreamUse : std::uint8_t {
  clients,
  second_address,
  successors,  // the link between two processes of one relay, also before it is up
  copies,
  fleet,
  calls,
  watch,
  notices,
};
inline constexpr std::size_t kStreamUses = 8;

// Failures that were absorbed since the start of the process.
struct AbsorbedFailures {
  struct Counts {
    std::uint64_t short_writes = 0;
    std::uint64_t aborted_accepts = 0;
    std::uint64_t no_buffers = 0;
  };
  std::array<Counts, kStreamUses> by_use{};

  Counts& of(StreamUse use) { return by_use[static_cast<std::size_t>(use)]; }
};
AbsorbedFailures& absorbed_failures();
// "clients.short_writes=3 link.aborted_accepts=1": what is not 0.
std::string to_text(const AbsorbedFailures& failures);

// One line in the log, bounded in rate, where a write took longer by what was absorbed.
void log_slow_write(StreamUse use, std::chrono::steady_clock::duration took);

namespace stream_io_detail {

inline constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);
inline constexpr auto kResourcePause = std::chrono::milliseconds(5);
inline constexpr auto kSlowWrite = std::chrono::milliseconds(20);

inline auto& socket_of(boost::beast::tcp_stream& stream) { return stream.socket(); }
template <typename Socket>
Socket& socket_of(Socket& socket) {
  return socket;
}

// Bytes that go out now, without a wait. What fails is found again by the next write.
std::size_t send_now(int socket, std::string_view bytes);

}  // namespace stream_io_detail

// All bytes, or an error. They have to live until then.
template <typename Stream>
boost::asio::awaitable<boost::system::error_code> write_all(StreamUse use, Stream& stream,
                                                            std::string_view bytes) {
  namespace detail = stream_io_detail;
  using Clock = std::chrono::steady_clock;
  std::optional<Clock::time_point> disturbed;
  while (true) {
    const auto [error, count] =
        co_await stream.async_write_some(boost::asio::buffer(bytes.data(), bytes.size()), detail::kAwait);
    bytes.remove_prefix(count);
    if (bytes.empty() || (error && !is_temporary_error(error))) {
      if (disturbed && Clock::now() - *disturbed > detail::kSlowWrite)
        log_slow_write(use, Clock::now() - *disturbed);
      co_return error;
    }
    if (!disturbed) disturbed = Clock::now();
    if (error) {
      ++absorbed_failures().of(use).no_buffers;
      boost::asio::steady_timer pause(stream.get_executor(), detail::kResourcePause);
      co_await pause.async_wait(detail::kAwait);
    } else {
      ++absorbed_failures().of(use).short_writes;
      // The next write waits behind this one, which sees room that there is already.
      detail::socket_of(stream).async_wait(boost::asio::socket_base::wait_write,
                                           [](boost::system::error_code) {});
    }
  }
}

// The same for what is owed within milliseconds: what the socket takes goes out before this suspends, also
// behind a short count, and not in a later turn of the event loop.
template <typename Stream>
boost::asio::awaitable<boost::system::error_code> write_promptly(StreamUse use, Stream& stream,
                                                                 std::string_view bytes) {
  namespace detail = stream_io_detail;
  bytes.remove_prefix(detail::send_now(detail::socket_of(stream).native_handle(), bytes));
  if (bytes.empty()) co_return boost::system::error_code();
  co_return co_await write_all(use, stream, bytes);
}

// The next connection that stands, or an error that has nothing to do with a single one.
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

// What a message of HTTP is on the wire.
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
