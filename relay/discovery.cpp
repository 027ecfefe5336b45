#include "discovery.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <iostream>
#include <utility>

#include "coroutine.h"
#include "slices.h"
#include "stream_io.h"
#include "watch_reader.h"

namespace myrtlegrade {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace catalog = valedrum::catalog;
using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadAtOnce = 64 << 10;  // bytes of the watch: they take a millisecond to read (ours)
constexpr std::chrono::milliseconds kWatchAgain = 200ms;  // the agent that answers is on this machine
// After lists that can't be used, doubled for each in a row: a long one takes much of a core to read. What
// was to be told has still to come within 6 s of a watch that broke.
constexpr std::chrono::milliseconds kWatchAgainMost = 3200ms;
constexpr int kMostDoublings = 4;
constexpr std::size_t kMostCleared = 1'000;  // entries of a list of changes whose memory is used again (ours)

std::string host_of(const Endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace

Discovery::Discovery(asio::any_io_executor executor, Endpoint address, OnList on_list, OnLost on_lost,
                     OnSettled on_settled)
    : executor_(std::move(executor)),
      address_(std::move(address)),
      on_list_(std::move(on_list)),
      on_lost_(std::move(on_lost)),
      notices_(executor_, address_, std::move(on_settled)) {}

void Discovery::watch(std::int64_t from) {
  if (watch_) return;
  versions_.set_held(from);
  watch_again();
}

void Discovery::watch_again() {
  watch_ = std::make_shared<beast::tcp_stream>(executor_);
  spawn(executor_, run_watch(watch_));
}

void Discovery::set_address(const Endpoint& address, std::int64_t from) {
  if (address == address_) return;
  address_ = address;
  // The old service may go on for a while: nothing that it still says may be mixed with what the new one
  // says.
  if (const Stream old = std::exchange(watch_, nullptr)) old->close();
  versions_.reset();
  watch(from);
  notices_.set_address(address);
}

void Discovery::stop() {
  notices_.stop();
  if (const Stream old = std::exchange(watch_, nullptr)) old->close();
}

asio::awaitable<void> Discovery::run_watch(Stream stream) {
  WatchDeadline deadline(SteadyClock::now());
  co_await read_changes(stream, deadline);
  if (watch_ != stream) co_return;  // another has taken its place
  watch_ = nullptr;
  if (versions_.needs_full_list()) co_return watch_again();
  on_lost_(SteadyClock::now() - std::min(deadline.last_complete_at(),
                                         versions_.behind_since().value_or(SteadyClock::time_point::max())),
           std::min(kWatchAgain * (1 << std::min(spoilt_, kMostDoublings)), kWatchAgainMost));
}

asio::awaitable<void> Discovery::read_changes(Stream connection, WatchDeadline& deadline) {
  beast::tcp_stream& stream = *connection;
  stream.expires_at(deadline.deadline());
  const auto [connect_error] = co_await stream.async_connect(address_, kAwait);
  if (connect_error || watch_ != connection) co_return;
  const std::string from = std::to_string(versions_.begin_watch());
  http::request<http::empty_body> request{http::verb::get, "/catalog/members?watch=1&from=" + from, 11};
  request.set(http::field::host, host_of(address_));
  const std::string bytes = to_bytes(request);
  const auto write_error = co_await write_all(StreamUse::watch, stream, bytes);
  if (write_error) co_return;
  beast::flat_buffer buffer;
  buffer.reserve(kReadAtOnce);
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  const auto [head_error, head] = co_await http::async_read_header(stream, buffer, parser, kAwait);
  if (head_error || parser.get().result() != http::status::ok) co_return;
  // Between two pieces the loop turns to what else there is.
  catalog::ListReader reader;
  bool good = true, open = true;
  while (good && open && !parser.is_done()) {
    stream.expires_at(std::min(deadline.deadline(), versions_.deadline()));
    const auto [error, count] = co_await http::async_read_some(stream, buffer, parser, kAwait);
    if (watch_ != connection) break;
    const std::string piece = std::exchange(parser.get().body(), {});
    bool ended = false;
    good = co_await take(reader, piece, connection, ended);
    deadline.on_bytes(SteadyClock::now(), piece.size(), ended);
    open = !error;
  }
  if (reader.entries().size() == 0) co_return;
  if (good && reader.status() == catalog::ListReader::Status::needs_more) {
    ++spoilt_;
    std::cerr << "discovery: a list of the watch was cut after byte " << reader.bytes_consumed() << '\n';
  }
  release_in_slices(executor_, reader.take_entries());
}

// False: the list held may lack what one said that can't be read, or another watch counts by now.
asio::awaitable<bool> Discovery::take(catalog::ListReader& reader, std::string_view bytes, Stream connection,
                                      bool& ended) {
  while (!bytes.empty()) {
    const auto status = read_watch(reader, bytes, ended);
    if (status == catalog::ListReader::Status::invalid) {
      ++spoilt_;
      std::cerr << "discovery: a list of the watch can't be read: " << reader.error() << '\n';
      co_return false;
    }
    if (status == catalog::ListReader::Status::needs_more) continue;
    spoilt_ = 0;
    if (may_take(reader.version())) {
      for (bool more = on_list_(reader, true); more; more = on_list_(reader, false)) {
        co_await asio::post(executor_, asio::use_awaitable);
        if (watch_ != connection) co_return false;
      }
    }
    if (reader.entries().size() > kMostCleared) release_in_slices(executor_, reader.take_entries());
    reader.reset();
  }
  co_return true;
}

bool Discovery::may_take(std::int64_t version) {
  const bool was_behind = versions_.behind_since().has_value();
  if (versions_.accept(SteadyClock::now(), version)) return true;
  if (!was_behind) {
    std::cerr << "discovery: a list of version " << version << " is older than the one held" << std::endl;
  }
  return false;
}

}  // namespace myrtlegrade
