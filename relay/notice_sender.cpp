#include "notice_sender.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <utility>

#include "budgets.h"
#include "coroutine.h"
#include "stream_io.h"

namespace myrtlegrade {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxNoticesPerCall = 64;
constexpr std::uint64_t kMaxAnswerBytes = 64 << 10;
constexpr auto kMaxTryTimeout = 200ms;
constexpr int kPausesBeforeDeadline = 32;  // a pause is 1/32 of the time left, within bounds
constexpr auto kMinRetryPause = 2ms;       // before the deadline
constexpr auto kOverduePause = 20ms, kMaxOverduePause = 100ms;
constexpr int kMaxDoublings = 3;
constexpr auto kConnectTimeout = 1s;  // of a connection opened ahead of notices
constexpr auto kMinReopenPause = 50ms, kMaxReopenPause = 3200ms;

std::string to_json_line(const Notice& notice) {
  json::object line{{"message", notice.message},
                    {"outcome", notice.handed_back ? "handed_back" : "given_up"}};
  if (notice.handed_back && notice.retry_in > 0ms) line["retry_in_ms"] = notice.retry_in.count();
  return json::serialize(line) + "\n";
}

}  // namespace

NoticeSender::NoticeSender(asio::any_io_executor executor, Endpoint address, OnSettled on_settled)
    : executor_(std::move(executor)),
      address_(std::move(address)),
      on_settled_(std::move(on_settled)),
      retry_(executor_),
      reopen_(executor_) {}

void NoticeSender::send(Notice notice) {
  const Clock::time_point retry_end =
      Clock::now() + budgets::kNoticeRetryWindow + budgets::kNoticeDeliveryTime;
  const Clock::time_point deadline =
      notice.due_by ? Clock::time_point(notice.due_by->time_since_epoch()) : Clock::time_point::max();
  notices_.push_back({std::move(notice), std::min(retry_end, deadline)});
  if (std::exchange(running_, true)) {
    retry_.cancel();  // a running pause may be long, as it is meant for overdue notices
    return;
  }
  if (!connected_) drop_connection();  // its connect timeout is too long for a notice
  spawn(executor_, run());
}

void NoticeSender::keep_connected() {
  keep_connected_ = true;
  spawn(executor_, maintain_connection(++generation_));
}

void NoticeSender::set_address(const Endpoint& address) {
  address_ = address;
  failures_ = timeouts_ = 0;
  drop_connection();
  retry_.cancel();
  if (keep_connected_ && !running_) keep_connected();
}

void NoticeSender::stop() {
  notices_.clear();
  keep_connected_ = false;
  drop_connection();
  retry_.cancel();
  reopen_.cancel();
}

void NoticeSender::drop_connection() {
  if (const Stream old = std::exchange(stream_, nullptr)) old->close();
  connected_ = false;
  spare_.reserve();
}

// Returns the time left before the earliest deadline that has not passed, zero if all have. Overdue notices
// are sent along and take no time from the others.
NoticeSender::Clock::duration NoticeSender::time_left() const {
  const Clock::time_point present = Clock::now();
  Clock::duration least = Clock::duration::zero();
  for (const Pending& pending : notices_) {
    const Clock::duration left = pending.due - present;
    if (left > Clock::duration::zero() && (least == Clock::duration::zero() || left < least)) least = left;
  }
  return least;
}

// Returns the part of time_left() that tries may use: the last one still needs time for its delivery.
NoticeSender::Clock::duration NoticeSender::time_left_for_tries() const {
  return std::max<Clock::duration>(time_left() - budgets::kNoticeDeliveryTime, Clock::duration::zero());
}

// The lower bound doubles with each timeout, as a service that is slower than one try would otherwise never
// get to answer.
NoticeSender::Clock::duration NoticeSender::try_timeout() const {
  const Clock::duration least = budgets::kMinTryTimeout * (1 << std::min(timeouts_, kMaxDoublings));
  return std::clamp<Clock::duration>(time_left_for_tries() / budgets::kMinNoticeTries,
                                     std::min<Clock::duration>(least, kMaxTryTimeout), kMaxTryTimeout);
}

NoticeSender::Clock::duration NoticeSender::retry_pause() const {
  if (time_left() > Clock::duration::zero())
    return std::clamp<Clock::duration>(time_left_for_tries() / kPausesBeforeDeadline, kMinRetryPause,
                                       budgets::kMaxRetryPause);
  return std::min<Clock::duration>(kOverduePause * (1 << std::min(failures_, kMaxDoublings)),
                                   kMaxOverduePause);
}

asio::awaitable<void> NoticeSender::run() {
  while (!notices_.empty()) {
    const std::size_t count = std::min(notices_.size(), kMaxNoticesPerCall);
    const bool reused = connected_;
    const Outcome outcome = co_await try_once(count);
    if (outcome == Outcome::connection_replaced) continue;
    if (outcome == Outcome::accepted) {
      settle(count);
      continue;
    }
    ++failures_;
    timeouts_ = outcome == Outcome::timed_out ? timeouts_ + 1 : 0;
    drop_connection();
    if (reused && outcome == Outcome::failed) continue;  // the connection had ended while idle
    retry_.expires_after(retry_pause());
    co_await retry_.async_wait(kAwait);
  }
  running_ = false;
  if (keep_connected_) keep_connected();
}

// Runs until a notice uses the connection.
asio::awaitable<void> NoticeSender::maintain_connection(unsigned generation) {
  const auto is_current = [this, generation] {
    return keep_connected_ && !running_ && generation == generation_;
  };
  Clock::duration pause = kMinReopenPause;
  while (is_current()) {
    const Clock::time_point began = Clock::now();
    if (!stream_) {
      const Stream stream = stream_ = std::make_shared<beast::tcp_stream>(executor_);
      stream->expires_after(kConnectTimeout);
      const auto failed = co_await connect(*stream);
      if (stream_ != stream) co_return;
      if (failed) drop_connection();
    }
    if (stream_) co_await await_end(stream_);
    if (!is_current()) co_return;
    drop_connection();
    const bool was_stable = Clock::now() - began > kMaxReopenPause;
    pause =
        was_stable ? Clock::duration(kMinReopenPause) : std::min<Clock::duration>(2 * pause, kMaxReopenPause);
    reopen_.expires_after(pause);
    co_await reopen_.async_wait(kAwait);
  }
}

// Anything that arrives without a request is the end of the connection or not an answer.
asio::awaitable<void> NoticeSender::await_end(Stream stream) {
  (void)co_await stream->socket().async_wait(asio::socket_base::wait_read, kAwait);
}

void NoticeSender::settle(std::size_t count) {
  failures_ = timeouts_ = 0;
  for (std::size_t i = 0; i < count; ++i) {
    on_settled_(notices_.front().notice.message);
    notices_.pop_front();
  }
}

// Returns whether the kept connection holds bytes, which would be taken for the answer to the next notices,
// or its end.
bool NoticeSender::has_stray_bytes() const {
  char byte = 0;
  return ::recv(stream_->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

// Sends the first `count` notices in one call, on the kept connection or on a new one.
asio::awaitable<NoticeSender::Outcome> NoticeSender::try_once(std::size_t count) {
  if (connected_ && has_stray_bytes()) drop_connection();
  const bool fresh = !stream_;
  if (fresh) stream_ = std::make_shared<beast::tcp_stream>(executor_);
  const Stream stream = stream_;
  stream->expires_after(try_timeout());
  boost::system::error_code failed;
  if (fresh) failed = co_await connect(*stream);
  if (stream_ != stream) co_return Outcome::connection_replaced;
  if (!failed) {
    const std::string bytes = request(count);
    failed = co_await write_promptly(StreamUse::notices, *stream, bytes);
  }
  http::response_parser<http::string_body> answer;
  answer.body_limit(kMaxAnswerBytes);
  beast::flat_buffer buffer;
  if (!failed && stream_ == stream) {
    const auto [error, size] = co_await http::async_read(*stream, buffer, answer, kAwait);
    failed = error;
  }
  if (stream_ != stream) co_return Outcome::connection_replaced;
  if (failed) co_return failed == beast::error::timeout ? Outcome::timed_out : Outcome::failed;
  if (answer.get().result() != http::status::no_content) co_return Outcome::failed;
  if (!answer.keep_alive() || buffer.size() > 0) drop_connection();
  co_return Outcome::accepted;
}

asio::awaitable<boost::system::error_code> NoticeSender::connect(beast::tcp_stream& stream) {
  boost::system::error_code error;
  stream.socket().open(address_.protocol(), error);
  if (is_temporary_error(error)) {
    spare_.release();
    stream.socket().open(address_.protocol(), error);
  }
  if (error) co_return error;
  const auto [refused] = co_await stream.async_connect(address_, kAwait);
  connected_ = !refused && stream_.get() == &stream;
  co_return refused;
}

std::string NoticeSender::request(std::size_t count) const {
  http::request<http::string_body> request{http::verb::post, "/v1/outcomes", 11};
  request.set(http::field::host, address_.address().to_string() + ":" + std::to_string(address_.port()));
  request.set(http::field::content_type, "application/x-ndjson");
  for (std::size_t i = 0; i < count; ++i) request.body() += to_json_line(notices_[i].notice);
  request.prepare_payload();
  return to_bytes(request);
}

}  // namespace myrtlegrade
