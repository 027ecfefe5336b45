// Frames on a TCP stream between fleet members: each is preceded by its length as four bytes, little-endian.
#pragma once

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>
#include <string>

#include "membership/wire.h"

namespace myrtlegrade {

inline constexpr auto kAwaitFrame = boost::asio::as_tuple(boost::asio::use_awaitable);
inline constexpr std::size_t kLengthBytes = 4;

// Returns `frame` with its length prefix.
inline std::string framed(const std::string& frame) {
  std::string prefixed;
  for (int shift = 0; shift < 32; shift += 8) prefixed += static_cast<char>(frame.size() >> shift & 0xff);
  return prefixed + frame;
}

// Reads one frame. Returns nothing if the stream ends or the length is invalid.
inline boost::asio::awaitable<std::optional<std::string>> read_frame(boost::beast::tcp_stream& stream) {
  std::array<unsigned char, kLengthBytes> length;
  const auto [error, count] =
      co_await boost::asio::async_read(stream, boost::asio::buffer(length), kAwaitFrame);
  if (error) co_return std::nullopt;
  std::size_t size = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) size |= static_cast<std::size_t>(length[i]) << (8 * i);
  if (size == 0 || size > valedrum::membership::kMaxFrameBytes) co_return std::nullopt;
  std::string frame(size, '\0');
  const auto [frame_error, frame_count] =
      co_await boost::asio::async_read(stream, boost::asio::buffer(frame), kAwaitFrame);
  if (frame_error) co_return std::nullopt;
  co_return frame;
}

}  // namespace myrtlegrade
