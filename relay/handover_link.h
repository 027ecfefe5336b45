// Unix socket between the active process of a relay and its successor. It carries records in both directions,
// and passes the descriptor of the clients' listening socket once.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <optional>
#include <string>
#include <utility>

#include "record_stream.h"

namespace myrtlegrade {

class HandoverLink : public RecordStream<boost::asio::local::stream_protocol> {
 public:
  using Protocol = boost::asio::local::stream_protocol;

  explicit HandoverLink(Protocol::socket socket)
      : RecordStream(std::move(socket), kMaxFrameBytes, StreamUse::successors) {}

  // Returns the address at which the active process of this state folder listens for its successor. Works for
  // paths that exceed the length of a Unix socket address.
  static Protocol::endpoint endpoint_in(const std::string& folder);

  // Passes a descriptor of this process to the other one. Returns false if the peer is gone.
  bool send_descriptor(int descriptor);
  // Waits for a descriptor. Returns nothing if the peer is gone or sent something else.
  boost::asio::awaitable<std::optional<int>> receive_descriptor();

 private:
  static constexpr std::size_t kMaxFrameBytes = 8 << 20;
};

}  // namespace myrtlegrade
