// The memory of requests that Server is reading. Peers may send most of a large request, and then nothing
// more: when memory is short, the connections of those that have stalled for longest are closed. A request
// that has arrived completely in the kernel is read even then, because it leaves the budget at once.
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "server_session.h"

namespace myrtlegrade {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kMemoryRetryPause = 20ms;
constexpr std::size_t kMaxExcessBytes = 256 << 10;  // for requests that have arrived completely

}  // namespace

// Waits until the memory budget has room for the request that is being read, of which `missing` bytes have
// not been read yet, if that is known. Returns false if the connection is closed, or if the time for the
// request ends before.
asio::awaitable<bool> Server::take_memory(Session& session, std::size_t bytes,
                                          std::optional<std::size_t> missing) {
  if (bytes == 0 || (session.memory && session.memory->bytes() >= bytes)) co_return true;
  session.memory.reset();
  while (true) {
    const bool has_arrived = missing && session.unread_bytes() + session.buffer.size() >= *missing;
    session.memory = request_memory_.take_beyond(bytes, has_arrived ? kMaxExcessBytes : 0);
    if (session.memory) co_return true;
    if (shed_stalled_request()) continue;
    asio::steady_timer pause(executor_, kMemoryRetryPause);
    co_await pause.async_wait(kAwait);
    if (!session.stream.socket().is_open() || Session::Clock::now() >= session.deadline) co_return false;
  }
}

// Closes the connection that holds memory for a request and has received nothing of it for the longest time.
// Returns false if none has stalled.
bool Server::shed_stalled_request() {
  const auto now = Session::Clock::now();
  Session* longest = nullptr;
  for (const auto& session : sessions_) {
    if (!session->memory || !session->has_stalled(now)) continue;
    if (!longest || session->since < longest->since) longest = session.get();
  }
  if (!longest) return false;
  shed(*longest);
  ++shed_for_memory_;
  return true;
}

}  // namespace myrtlegrade
