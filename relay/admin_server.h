// Server of the admin address (the "second address" of the command-line help), where operators send commands.
// Each connection carries one line in each direction and is closed then.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "host_list.h"

namespace myrtlegrade {

class AdminServer {
 public:
  using Reply = std::function<void(std::string line)>;
  // Called once for each line. It has to call `reply` exactly once, immediately or later.
  using Handler = std::function<void(std::string line, Reply reply)>;

  static constexpr std::size_t kMaxConnections = 8;  // descriptors are reserved for them

  // Throws boost::system::system_error if it can't listen on the address.
  AdminServer(boost::asio::any_io_executor executor, const Endpoint& listen, Handler handler);

  void start();
  Endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  struct Connection;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
  boost::asio::awaitable<void> respond(Connection& connection);
  boost::asio::awaitable<std::string> handle(std::string line);
  // Closes the oldest connection without a complete line, or else the oldest one.
  void close_one_connection();

  boost::asio::any_io_executor executor_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  Handler handler_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
};

}  // namespace myrtlegrade
