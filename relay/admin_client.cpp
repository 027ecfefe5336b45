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

constexpr auto kReplyWithin = 2s;  // the relay owes it within one

asio::awaitable<void> exchange_lines(const Endpoint& address, const std::string& text, std::size_t most,
                                     std::optional<std::string>& reply) {
  constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
  asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
  const auto [refused] = co_await socket.async_connect(address, kAwait);
  if (refused) co_return;
  const auto failed = co_await write_all(StreamUse::second_address, socket, text);
  if (failed) co_return;
  std::string line;
  const auto [ended, size] =
      co_await asio::async_read_until(socket, asio::dynamic_buffer(line, most), '\n', kAwait);
  if (!ended) reply = line.substr(0, line.find_first_of("\r\n"));
}

}  // namespace

std::optional<std::string> ask_relay(const Endpoint& address, const std::string& line, std::size_t most) {
  std::optional<std::string> reply;
  const std::string text = line + "\n";
  asio::io_context context(1);
  spawn(context.get_executor(), exchange_lines(address, text, most, reply));
  context.run_for(kReplyWithin);
  return reply;
}

}  // namespace myrtlegrade
