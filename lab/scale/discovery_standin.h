// The stand-in for discovery in a scale run, and its clients: a watch as relays keep one, a whole list first,
// then each change as it comes.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "scale_day.h"

namespace valedrum::lab::scale {

inline constexpr std::uint32_t kMostStandins = 5;  // processes

std::uint32_t standins(const Plan& plan);  // that a day wants

// One of these processes. Version 1 is the whole list, each change another one.
class DiscoveryStandin {
 public:
  DiscoveryStandin(const Plan& plan, boost::asio::ip::tcp::endpoint at);
  // As Host::run.
  void run(int in, int out);

 private:
  using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(Socket socket);

  const Plan& plan_;
  boost::asio::io_context context_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
  std::chrono::steady_clock::time_point begun_;
  std::string whole_;  // the first line
  std::uint64_t sent_bytes_ = 0;
  std::uint64_t watches_ = 0;
};

// The client: `on_version` is called when a list of that version has been taken whole, with the bytes that
// came for it. Ends when the other side does, or `runs` says no more.
boost::asio::awaitable<void> watch_list(
    boost::asio::ip::tcp::endpoint own, boost::asio::ip::tcp::endpoint at, std::function<bool()> runs,
    std::function<void(std::int64_t version, std::size_t bytes)> on_version);

}  // namespace valedrum::lab::scale
