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
constexpr std::size_t kReadBytes = 64 << 10;  // of the watch at once, which takes a millisecond to process
constexpr std::chrono::milliseconds kWatchRetryDelay = 200ms;  // the answering agent runs on this machine
// The delay doubles with each consecutive unusable list, up to this: a long list takes much of a core to
// read. Changes must still arrive within 6 s of a watch that broke.
constexpr std::chrono::milliseconds kMaxWatchRetryDelay = 3200ms;
constexpr int kMaxDoublings = 4;
constexpr std::size_t kMaxReusedEntries = 1'000;  // the memory of longer lists of changes is released

std::string host_header(const Endpoint& address) {
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
  version_filter_.set_held(from);
  open_watch();
}

void Discovery::open_watch() {
  watch_ = std::make_shared<beast::tcp_stream>(executor_);
  spawn(executor_, run_watch(watch_));
}

void Discovery::set_address(const Endpoint& address, std::int64_t from) {
  if (address == address_) return;
  address_ = address;
  // The old service may continue for a while; its lists must not be mixed with those of the new one.
  if (const Stream previous = std::exchange(watch_, nullptr)) previous->close();
  version_filter_.reset();
  watch(from);
  notices_.set_address(address);
}

void Discovery::stop() {
  notices_.stop();
  if (const Stream previous = std::exchange(watch_, nullptr)) previous->close();
}

asio::awaitable<void> Discovery::run_watch(Stream stream) {
  WatchDeadline deadline(SteadyClock::now());
  co_await read_changes(stream, deadline);
  if (watch_ != stream) co_return;  // another watch has replaced it
  watch_ = nullptr;
  if (version_filter_.needs_full_list()) co_return open_watch();
  on_lost_(SteadyClock::now() - std::min(deadline.last_complete_at(), version_filter_.behind_since().value_or(
                                                                          SteadyClock::time_point::max())),
           std::min(kWatchRetryDelay * (1 << std::min(invalid_lists_, kMaxDoublings)), kMaxWatchRetryDelay));
}

asio::awaitable<void> Discovery::read_changes(Stream connection, WatchDeadline& deadline) {
  beast::tcp_stream& stream = *connection;
  stream.expires_at(deadline.deadline());
  const auto [connect_error] = co_await stream.async_connect(address_, kAwait);
  if (connect_error || watch_ != connection) co_return;
  const std::string from = std::to_string(version_filter_.begin_watch());
  http::request<http::empty_body> request{http::verb::get, "/catalog/members?watch=1&from=" + from, 11};
  request.set(http::field::host, host_header(address_));
  const std::string bytes = to_bytes(request);
  const auto write_error = co_await write_all(StreamUse::watch, stream, bytes);
  if (write_error) co_return;
  beast::flat_buffer buffer;
  buffer.reserve(kReadBytes);
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  const auto [head_error, head] = co_await http::async_read_header(stream, buffer, parser, kAwait);
  if (head_error || parser.get().result() != http::status::ok) co_return;
  // Between two reads the event loop runs other work.
  catalog::ListReader reader;
  bool valid = true, open = true;
  while (valid && open && !parser.is_done()) {
    stream.expires_at(std::min(deadline.deadline(), version_filter_.deadline()));
    const auto [error, count] = co_await http::async_read_some(stream, buffer, parser, kAwait);
    if (watch_ != connection) break;
    const std::string chunk = std::exchange(parser.get().body(), {});
    bool ended = false;
    valid = co_await process_bytes(reader, chunk, connection, ended);
    deadline.on_bytes(SteadyClock::now(), chunk.size(), ended);
    open = !error;
  }
  if (reader.entries().size() == 0) co_return;
  if (valid && reader.status() == catalog::ListReader::Status::needs_more) {
    ++invalid_lists_;
    std::cerr << "discovery: a list of the watch was cut after byte " << reader.bytes_consumed() << '\n';
  }
  release_in_slices(executor_, reader.take_entries());
}

// Processes the bytes of the watch. Returns false if a list is unreadable, after which the held list may lack
// changes, or if another watch has replaced this one.
asio::awaitable<bool> Discovery::process_bytes(catalog::ListReader& reader, std::string_view bytes,
                                               Stream connection, bool& ended) {
  while (!bytes.empty()) {
    const auto status = read_watch(reader, bytes, ended);
    if (status == catalog::ListReader::Status::invalid) {
      ++invalid_lists_;
      std::cerr << "discovery: a list of the watch can't be read: " << reader.error() << '\n';
      co_return false;
    }
    if (status == catalog::ListReader::Status::needs_more) continue;
    invalid_lists_ = 0;
    if (accepts_version(reader.version())) {
      for (bool more = on_list_(reader, true); more; more = on_list_(reader, false)) {
        co_await asio::post(executor_, asio::use_awaitable);
        if (watch_ != connection) co_return false;
      }
    }
    if (reader.entries().size() > kMaxReusedEntries) release_in_slices(executor_, reader.take_entries());
    reader.reset();
  }
  co_return true;
}

bool Discovery::accepts_version(std::int64_t version) {
  const bool was_behind = version_filter_.behind_since().has_value();
  if (version_filter_.accept(SteadyClock::now(), version)) return true;
  if (!was_behind) {
    std::cerr << "discovery: a list of version " << version << " is older than the one held" << std::endl;
  }
  return false;
}

}  // namespace myrtlegrade
