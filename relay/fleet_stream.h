// The frames of a stream between members: four bytes of length, the lowest first, ahead of each.
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
inline constexpr std::size_t kFrameHead = 4;  // bytes

inline std::string framed(const std::string& frame) {
  std::string all;
  for (int shift = 0; shift < 32; shift += 8) all += static_cast<char>(frame.size() >> shift & 0xff);
  return all + frame;
}

inline boost::asio::awaitable<std::optional<std::string>> read_frame(boost::beast::tcp_stream& stream) {
  std::array<unsigned char, kFrameHead> head;
  const auto [error, count] =
      co_await boost::asio::async_read(stream, boost::asio::buffer(head), kAwaitFrame);
  if (error) co_return std::nullopt;
  std::size_t size = 0;
  for (std::size_t i = 0; i < kFrameHead; ++i) size |= static_cast<std::size_t>(head[i]) << (8 * i);
  if (size == 0 || size > valedrum::membership::kMaxFrameBytes) co_return std::nullopt;
  std::string frame(size, '\0');
  const auto [cut, got] = co_await boost::asio::async_read(stream, boost::asio::buffer(frame), kAwaitFrame);
  if (cut) co_return std::nullopt;
  co_return frame;
}

}  // namespace myrtlegrade
