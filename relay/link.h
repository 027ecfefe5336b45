// The Unix socket between an old process and the new one that takes its place: whole records each way, and
// the clients' listening socket once.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <memory>
#include <optional>
#include <string>

#include "bytes.h"

namespace myrtlegrade {

class Link : public std::enable_shared_from_this<Link> {
 public:
  using Protocol = boost::asio::local::stream_protocol;

  explicit Link(Protocol::socket socket) : socket_(std::move(socket)) {}

  // Where the relay of this folder listens for its successor, however long the folder's path is.
  static Protocol::endpoint place(const std::string& folder);

  // A descriptor of this process for the other one. False: the other end is gone.
  bool send_descriptor(int descriptor);
  // Waits for it. None: the other end is gone, or sent something else.
  boost::asio::awaitable<std::optional<int>> receive_descriptor();

  void send(const Writer& frame);
  bool sent() const { return queue_.empty() && !writing_; }

  // None: the other end is gone, or what it says is spoilt.
  boost::asio::awaitable<std::optional<std::string>> receive();

  void close();

 private:
  boost::asio::awaitable<void> write_out(std::shared_ptr<Link> self);

  Protocol::socket socket_;
  std::string queue_;   // not written yet
  std::string buffer_;  // not read yet
  bool writing_ = false;
};

}  // namespace myrtlegrade
