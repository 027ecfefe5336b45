// Sends the platform the notices that end messages. The protocol requires each within 300 ms, and a notice is
// sent again until the platform has accepted it; duplicates are harmless.
//
// The timing of tries follows from the time left before the deadline: an unanswered try times out early
// enough for several more, and a try that fails at once is repeated within milliseconds. After the deadline,
// tries back off, so that a slow or unavailable service is not overloaded.
//
// A connection is kept open between notices. The next notice is sent on it in the same iteration of the event
// loop in which it is decided, and does not wait for a new connection until a later iteration, before which
// the process may stall.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "host_list.h"
#include "journal.h"
#include "spare_descriptor.h"

namespace myrtlegrade {

class NoticeSender {
 public:
  // Called for each notice that the platform has accepted, with the id of its message.
  using OnSettled = std::function<void(const std::string& message)>;

  NoticeSender(boost::asio::any_io_executor executor, Endpoint address, OnSettled on_settled);

  // Opens a connection ahead of the first notice, and reopens it whenever it ends while idle.
  void keep_connected();

  // Sends a notice until the platform has accepted it. The less time is left before its deadline, the shorter
  // its tries are.
  void send(Notice notice);
  bool pending() const { return !notices_.empty(); }

  // Unanswered notices are sent to the new address at once.
  void set_address(const Endpoint& address);
  // Drops all notices: another process sends them.
  void stop();

 private:
  using Clock = std::chrono::steady_clock;
  using Stream = std::shared_ptr<boost::beast::tcp_stream>;
  struct Pending {
    Notice notice;
    Clock::time_point due;
  };
  enum class Outcome { accepted, failed, timed_out, connection_replaced };

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> maintain_connection(unsigned generation);
  boost::asio::awaitable<void> await_end(Stream stream);
  boost::asio::awaitable<Outcome> try_once(std::size_t count);
  boost::asio::awaitable<boost::system::error_code> connect(boost::beast::tcp_stream& stream);
  std::string request(std::size_t count) const;
  void settle(std::size_t count);
  void drop_connection();
  bool has_stray_bytes() const;
  Clock::duration time_left() const;
  Clock::duration time_left_for_tries() const;
  Clock::duration try_timeout() const;
  Clock::duration retry_pause() const;

  boost::asio::any_io_executor executor_;
  Endpoint address_;
  OnSettled on_settled_;
  Stream stream_;           // kept between notices
  bool connected_ = false;  // stream_ is established
  bool keep_connected_ = false;
  unsigned generation_ = 0;  // of the newest maintain_connection(); older ones end
  SpareDescriptor spare_;
  bool running_ = false;
  std::deque<Pending> notices_;
  int failures_ = 0, timeouts_ = 0;  // consecutive
  boost::asio::steady_timer retry_, reopen_;
};

}  // namespace myrtlegrade
