// The second address: where the operators' staff call. A line in, a line out, then the connection ends.
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
  // Called once for each line; the reply may come at once or later, but must come.
  using OnCall = std::function<void(std::string line, Reply reply)>;

  static constexpr std::size_t kMaxConnections = 8;  // descriptors that are set aside for them

  // Throws boost::system::system_error if the address can't be listened on.
  AdminServer(boost::asio::any_io_executor executor, const Endpoint& listen, OnCall on_call);

  void start();
  Endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  struct Caller;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<Caller> caller);
  boost::asio::awaitable<void> answer(Caller& caller);
  boost::asio::awaitable<std::string> ask(std::string line);
  void make_room();

  boost::asio::any_io_executor executor_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  OnCall on_call_;
  std::list<std::shared_ptr<Caller>> callers_;  // the longest connected first
};

}  // namespace myrtlegrade
