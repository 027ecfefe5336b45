// Whole records (common/bytes.h) each way over a connection.
#pragma once

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "coroutine.h"
#include "record_codec.h"
#include "stream_io.h"

namespace myrtlegrade {

template <typename Protocol>
class RecordStream : public std::enable_shared_from_this<RecordStream<Protocol>> {
 public:
  using Socket = typename Protocol::socket;

  RecordStream(Socket socket, std::size_t most_frame, StreamUse use)
      : socket_(std::move(socket)), most_frame_(most_frame), use_(use) {}

  Socket& socket() { return socket_; }

  void send(const RecordWriter& frame) { send_record(frame.record()); }
  void send_record(const std::string& record) {
    if (!socket_.is_open()) return;
    queue_ += record;
    if (!std::exchange(writing_, true)) spawn(socket_.get_executor(), write_out(this->shared_from_this()));
  }
  bool sent() const { return queue_.empty() && !writing_; }
  std::size_t queued() const { return queue_.size(); }

  // None: the other end is gone, or what it says is spoilt.
  boost::asio::awaitable<std::optional<std::string>> receive() {
    const auto self = this->shared_from_this();
    while (buffer_.size() < kRecordHeaderBytes || buffer_.size() < kRecordHeaderBytes + length_of(buffer_)) {
      if (buffer_.size() >= kRecordHeaderBytes && length_of(buffer_) > most_frame_) co_return std::nullopt;
      std::array<char, kReadSize> bytes;
      const auto [error, count] = co_await socket_.async_read_some(boost::asio::buffer(bytes), kAwait);
      if (error) co_return std::nullopt;
      buffer_.append(bytes.data(), count);
    }
    RecordReader in(buffer_);
    const auto payload = in.record();
    if (!payload) co_return std::nullopt;
    std::string frame(*payload);
    buffer_.erase(0, kRecordHeaderBytes + frame.size());
    co_return frame;
  }

  void close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
  }

 protected:
  static constexpr auto kAwait = boost::asio::as_tuple(boost::asio::use_awaitable);

 private:
  static constexpr std::size_t kReadSize = 64 << 10;

  // The length that a record's first four bytes tell.
  static std::size_t length_of(std::string_view header) { return RecordReader(header).number(4); }

  boost::asio::awaitable<void> write_out([[maybe_unused]] std::shared_ptr<RecordStream> self) {
    while (!queue_.empty()) {
      const std::string bytes = std::exchange(queue_, {});
      const auto error = co_await write_all(use_, socket_, bytes);
      if (error) {
        close();  // who reads learns of it
        queue_.clear();
      }
    }
    writing_ = false;
  }

  Socket socket_;
  std::size_t most_frame_;
  StreamUse use_;
  std::string queue_;   // not written yet
  std::string buffer_;  // not read yet
  bool writing_ = false;
};

}  // namespace myrtlegrade
