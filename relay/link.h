// The Unix socket between an old process and the new one that takes its place: whole records each way, and
// the clients' listening socket once.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <optional>
#include <string>
#include <utility>

#include "record_stream.h"

namespace myrtlegrade {

class Link : public RecordStream<boost::asio::local::stream_protocol> {
 public:
  using Protocol = boost::asio::local::stream_protocol;

  explicit Link(Protocol::socket socket)
      : RecordStream(std::move(socket), kMostFrame, StreamUse::successors) {}

  // Where the relay of this folder listens for its successor, however long the folder's path is.
  static Protocol::endpoint place(const std::string& folder);

  // A descriptor of this process for the other one. False: the other end is gone.
  bool send_descriptor(int descriptor);
  // Waits for it. None: the other end is gone, or sent something else.
  boost::asio::awaitable<std::optional<int>> receive_descriptor();

 private:
  static constexpr std::size_t kMostFrame = 8 << 20;
};

}  // namespace myrtlegrade
