#include "notice_sender.h"

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
constexpr std::size_t kMostNotices = 64;  // in one call
constexpr auto kLongestTry = 200ms;
constexpr int kPausesInTime = 32;
constexpr auto kShortestPause = 2ms;  // in time
constexpr auto kLatePause = 20ms, kLongestLatePause = 100ms;
constexpr int kMostDoublings = 3;
constexpr auto kConnectWithin = 1s;  // ahead of notices
constexpr auto kReopenAfter = 50ms, kReopenMost = 3200ms;

std::string line_of(const Notice& notice) {
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
  const Clock::time_point paced = Clock::now() + budgets::kNoticePaced + budgets::kNoticeWay;
  const Clock::time_point owed =
      notice.due_by ? Clock::time_point(notice.due_by->time_since_epoch()) : Clock::time_point::max();
  notices_.push_back({std::move(notice), std::min(paced, owed)});
  if (std::exchange(running_, true)) {
    retry_.cancel();  // a pause that is long, for what is late already
    return;
  }
  if (!connected_) drop_connection();  // it was coming up with a time that fits no notice
  spawn(executor_, run());
}

void NoticeSender::stand_ready() {
  ready_wanted_ = true;
  spawn(executor_, keep_ready(++ready_number_));
}

void NoticeSender::move(const Endpoint& address) {
  address_ = address;
  failures_ = time_outs_ = 0;
  drop_connection();
  retry_.cancel();
  if (ready_wanted_ && !running_) stand_ready();
}

void NoticeSender::stop() {
  notices_.clear();
  ready_wanted_ = false;
  drop_connection();
  retry_.cancel();
  reopen_.cancel();
}

void NoticeSender::drop_connection() {
  if (const Stream old = std::exchange(stream_, nullptr)) old->close();
  connected_ = false;
  spare_.reserve();
}

// Of the next notice that is still in time. One that is late is told with it, and takes no time from it.
NoticeSender::Clock::duration NoticeSender::left() const {
  const Clock::time_point present = Clock::now();
  Clock::duration least = Clock::duration::zero();
  for (const Pending& pending : notices_) {
    const Clock::duration left = pending.due - present;
    if (left > Clock::duration::zero() && (least == Clock::duration::zero() || left < least)) least = left;
  }
  return least;
}

// Of that, what tries may use: the last one has its way still to go.
NoticeSender::Clock::duration NoticeSender::left_for_tries() const {
  return std::max<Clock::duration>(left() - budgets::kNoticeWay, Clock::duration::zero());
}

// A service that is slower than that is given more with each try, or it would never be heard to answer.
NoticeSender::Clock::duration NoticeSender::try_length() const {
  const Clock::duration least = budgets::kShortestTry * (1 << std::min(time_outs_, kMostDoublings));
  return std::clamp<Clock::duration>(left_for_tries() / budgets::kNoticeTries,
                                     std::min<Clock::duration>(least, kLongestTry), kLongestTry);
}

NoticeSender::Clock::duration NoticeSender::pause() const {
  if (left() > Clock::duration::zero())
    return std::clamp<Clock::duration>(left_for_tries() / kPausesInTime, kShortestPause,
                                       budgets::kLongestPause);
  return std::min<Clock::duration>(kLatePause * (1 << std::min(failures_, kMostDoublings)),
                                   kLongestLatePause);
}

asio::awaitable<void> NoticeSender::run() {
  while (!notices_.empty()) {
    const std::size_t count = std::min(notices_.size(), kMostNotices);
    const bool kept = connected_;
    const Outcome outcome = co_await try_once(count);
    if (outcome == Outcome::moved) continue;
    if (outcome == Outcome::taken) {
      settle(count);
      continue;
    }
    ++failures_;
    time_outs_ = outcome == Outcome::timed_out ? time_outs_ + 1 : 0;
    drop_connection();
    if (kept && outcome == Outcome::failed) continue;  // it had ended while it was idle
    retry_.expires_after(pause());
    co_await retry_.async_wait(kAwait);
  }
  running_ = false;
  if (ready_wanted_) stand_ready();
}

// Until a notice takes the connection over.
asio::awaitable<void> NoticeSender::keep_ready(unsigned number) {
  const auto is_wanted = [this, number] { return ready_wanted_ && !running_ && number == ready_number_; };
  Clock::duration pause = kReopenAfter;
  while (is_wanted()) {
    const Clock::time_point began = Clock::now();
    if (!stream_) {
      const Stream stream = stream_ = std::make_shared<beast::tcp_stream>(executor_);
      stream->expires_after(kConnectWithin);
      const auto failed = co_await connect(*stream);
      if (stream_ != stream) co_return;
      if (failed) drop_connection();
    }
    if (stream_) co_await await_end(stream_);
    if (!is_wanted()) co_return;
    drop_connection();
    const bool stood = Clock::now() - began > kReopenMost;
    pause = stood ? Clock::duration(kReopenAfter) : std::min<Clock::duration>(2 * pause, kReopenMost);
    reopen_.expires_after(pause);
    co_await reopen_.async_wait(kAwait);
  }
}

// What comes on it without a request is its end, or answers nothing.
asio::awaitable<void> NoticeSender::await_end(Stream stream) {
  (void)co_await stream->socket().async_wait(asio::socket_base::wait_read, kAwait);
}

void NoticeSender::settle(std::size_t count) {
  failures_ = time_outs_ = 0;
  for (std::size_t i = 0; i < count; ++i) {
    on_settled_(notices_.front().notice.message);
    notices_.pop_front();
  }
}

// One call with the first `count` notices, on the connection that is kept or on a new one.
asio::awaitable<NoticeSender::Outcome> NoticeSender::try_once(std::size_t count) {
  const bool fresh = !stream_;
  if (fresh) stream_ = std::make_shared<beast::tcp_stream>(executor_);
  const Stream stream = stream_;
  stream->expires_after(try_length());
  boost::system::error_code failed;
  if (fresh) failed = co_await connect(*stream);
  if (stream_ != stream) co_return Outcome::moved;
  if (!failed) {
    const std::string bytes = request(count);
    failed = co_await write_promptly(StreamUse::notices, *stream, bytes);
  }
  http::response_parser<http::string_body> answer;
  beast::flat_buffer buffer;
  if (!failed && stream_ == stream) {
    const auto [error, size] = co_await http::async_read(*stream, buffer, answer, kAwait);
    failed = error;
  }
  if (stream_ != stream) co_return Outcome::moved;
  if (failed) co_return failed == beast::error::timeout ? Outcome::timed_out : Outcome::failed;
  if (answer.get().result() != http::status::no_content) co_return Outcome::failed;
  if (!answer.keep_alive() || buffer.size() > 0) drop_connection();
  co_return Outcome::taken;
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
  for (std::size_t i = 0; i < count; ++i) request.body() += line_of(notices_[i].notice);
  request.prepare_payload();
  return to_bytes(request);
}

}  // namespace myrtlegrade
