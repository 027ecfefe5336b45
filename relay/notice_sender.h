// The notices that end messages, told to the platform: each is owed within 300 ms (PROTOCOL, the rules on
// sockets) and is told again until the platform has taken it. One that is told twice does no harm.
//
// Tries follow from what is left of that time: a try that gets no answer is given up early enough for several
// more, and one that fails at once is followed by the next within milliseconds. Once the time is over they
// grow apart, so that a service that is slow or gone is not stormed.
//
// A connection stands ready between notices. The next one leaves on it in the turn of the event loop in which
// it is decided, and does not wait for a new connection in another turn, which may be held up.
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
  using OnSettled = std::function<void(const std::string& message)>;

  NoticeSender(boost::asio::any_io_executor executor, Endpoint address, OnSettled on_settled);

  // Opens a connection ahead of the first notice, and again whenever one that stood ready ends.
  void stand_ready();

  // Sent again until the platform has taken it, with more tries the less is left until it is owed.
  void send(Notice notice);
  bool pending() const { return !notices_.empty(); }

  // What has no answer yet is sent to the new address at once.
  void move(const Endpoint& address);
  // Sends no more: another process does.
  void stop();

 private:
  using Clock = std::chrono::steady_clock;
  using Stream = std::shared_ptr<boost::beast::tcp_stream>;
  struct Pending {
    Notice notice;
    Clock::time_point due;
  };
  enum class Outcome { taken, failed, timed_out, moved };

  boost::asio::awaitable<void> run();
  boost::asio::awaitable<void> keep_ready(unsigned number);
  boost::asio::awaitable<void> await_end(Stream stream);
  boost::asio::awaitable<Outcome> try_once(std::size_t count);
  boost::asio::awaitable<boost::system::error_code> connect(boost::beast::tcp_stream& stream);
  std::string request(std::size_t count) const;
  void settle(std::size_t count);
  void drop_connection();
  Clock::duration left() const;
  Clock::duration left_for_tries() const;
  Clock::duration try_length() const;
  Clock::duration pause() const;

  boost::asio::any_io_executor executor_;
  Endpoint address_;
  OnSettled on_settled_;
  Stream stream_;           // kept between notices
  bool connected_ = false;  // it stands
  bool ready_wanted_ = false;
  unsigned ready_number_ = 0;  // of the last keep_ready(): an earlier one ends
  SpareDescriptor spare_;
  bool running_ = false;
  std::deque<Pending> notices_;
  int failures_ = 0, time_outs_ = 0;  // in a row
  boost::asio::steady_timer retry_, reopen_;
};

}  // namespace myrtlegrade
