// Sends and receives records (common/record_codec.h) over a stream socket.
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

// `Protocol` is the Asio protocol of the socket. Writes are queued and run in the background on the socket's
// executor; receive() must not be called concurrently.
template <typename Protocol>
class RecordStream : public std::enable_shared_from_this<RecordStream<Protocol>> {
 public:
  using Socket = typename Protocol::socket;

  RecordStream(Socket socket, std::size_t max_frame_bytes, StreamUse use)
      : socket_(std::move(socket)), max_frame_bytes_(max_frame_bytes), use_(use) {}

  Socket& socket() { return socket_; }

  // Queues a frame for sending. Drops it if the socket is closed.
  void send(const RecordWriter& frame) { send_record(frame.record()); }
  void send_record(const std::string& record) {
    if (!socket_.is_open()) return;
    queue_ += record;
    if (!std::exchange(writing_, true)) spawn(socket_.get_executor(), write_out(this->shared_from_this()));
  }
  // Returns whether everything that was queued has been written or dropped.
  bool sent() const { return queue_.empty() && !writing_; }
  // Returns the number of bytes whose write has not started.
  std::size_t queued() const { return queue_.size(); }

  // Receives the payload of the next record. Returns nothing if the connection is closed or the record is
  // invalid.
  boost::asio::awaitable<std::optional<std::string>> receive() {
    const auto self = this->shared_from_this();
    while (buffer_.size() < kRecordHeaderBytes || buffer_.size() < kRecordHeaderBytes + length_of(buffer_)) {
      if (buffer_.size() >= kRecordHeaderBytes && length_of(buffer_) > max_frame_bytes_)
        co_return std::nullopt;
      std::array<char, kReadBytes> bytes;
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
  static constexpr std::size_t kReadBytes = 64 << 10;

  // Returns the payload length from the first four bytes of a record's header.
  static std::size_t length_of(std::string_view header) { return RecordReader(header).number(4); }

  boost::asio::awaitable<void> write_out([[maybe_unused]] std::shared_ptr<RecordStream> self) {
    while (!queue_.empty()) {
      const std::string bytes = std::exchange(queue_, {});
      const auto error = co_await write_all(use_, socket_, bytes);
      if (error) {
        close();  // a pending receive() then fails
        queue_.clear();
      }
    }
    writing_ = false;
  }

  Socket socket_;
  std::size_t max_frame_bytes_;
  StreamUse use_;
  std::string queue_;   // records whose write has not started
  std::string buffer_;  // received bytes that are not consumed yet
  bool writing_ = false;
};

}  // namespace myrtlegrade
