// Client of the platform: watches discovery's list of endpoints and sends notices about undelivered messages.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "catalog/list_reader.h"
#include "host_list.h"
#include "journal.h"
#include "notice_sender.h"
#include "watch_deadline.h"

namespace myrtlegrade {

class Discovery {
 public:
  // Receives a reader with a complete list; it may take the entries out of it. While it returns true it is
  // called again in the next turn of the event loop, with `first` false, to process the rest.
  using OnList = std::function<bool(valedrum::catalog::ListReader&, bool first)>;
  // Called when the watch has ended, with the time for which it had been silent and the delay after which the
  // next one may be opened.
  using OnLost =
      std::function<void(std::chrono::steady_clock::duration silent, std::chrono::milliseconds retry_delay)>;
  using OnSettled = NoticeSender::OnSettled;

  Discovery(boost::asio::any_io_executor executor, Endpoint address, OnList on_list, OnLost on_lost,
            OnSettled on_settled);

  // Opens a watch on the changes after a version, unless one is open. When it ends, on_lost is called.
  void watch(std::int64_t from);

  // Switches to another address: a watch is opened there at once, and unanswered notices are sent there
  // again.
  void set_address(const Endpoint& address, std::int64_t from);

  // Stops the watch and the notices; another process continues them.
  void stop();

  // Sends a notice, with retries until the platform has accepted it.
  void send_notice(Notice notice) { notices_.send(std::move(notice)); }
  // Keeps a connection open for future notices.
  void keep_notices_connected() { notices_.keep_connected(); }
  bool notices_pending() const { return notices_.pending(); }

 private:
  using Stream = std::shared_ptr<boost::beast::tcp_stream>;

  void open_watch();
  boost::asio::awaitable<void> run_watch(Stream stream);
  boost::asio::awaitable<void> read_changes(Stream stream, WatchDeadline& deadline);
  boost::asio::awaitable<bool> process_bytes(valedrum::catalog::ListReader& reader, std::string_view bytes,
                                             Stream connection, bool& ended);
  bool accepts_version(std::int64_t version);

  boost::asio::any_io_executor executor_;
  Endpoint address_;
  OnList on_list_;
  OnLost on_lost_;
  int invalid_lists_ = 0;  // consecutive lists that were truncated or unreadable
  ListVersionFilter version_filter_;
  Stream watch_;  // the connection of the current watch; null: no watch
  NoticeSender notices_;
};

}  // namespace myrtlegrade
