#include "admin_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>

#include "coroutine.h"
#include "stream_io.h"

namespace myrtlegrade {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr auto kReplyTimeout = 2s;  // the relay has to reply within 1 s

asio::awaitable<void> exchange_lines(const Endpoint& address, const std::string& text, std::size_t max_bytes,
                                     std::optional<std::string>& reply) {
  constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
  asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
  const auto [connect_error] = co_await socket.async_connect(address, kAwait);
  if (connect_error) co_return;
  const auto write_error = co_await write_all(StreamUse::second_address, socket, text);
  if (write_error) co_return;
  std::string line;
  const auto [read_error, size] =
      co_await asio::async_read_until(socket, asio::dynamic_buffer(line, max_bytes), '\n', kAwait);
  if (!read_error) reply = line.substr(0, line.find_first_of("\r\n"));
}

}  // namespace

std::optional<std::string> query_relay(const Endpoint& address, const std::string& line,
                                       std::size_t max_bytes) {
  std::optional<std::string> reply;
  const std::string text = line + "\n";
  asio::io_context context(1);
  spawn(context.get_executor(), exchange_lines(address, text, max_bytes, reply));
  context.run_for(kReplyTimeout);
  return reply;
}

}  // namespace myrtlegrade
