// The platform's side: the list of hosts, and the notices that end messages.
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
  // Of a reader that is whole, whose entries may be taken from it. Called again, in the next turn of the
  // loop, where it returns true: there is more of it to take.
  using OnList = std::function<bool(valedrum::catalog::ListReader&, bool first)>;
  // It had been silent so long, and may be opened again after so long.
  using OnLost =
      std::function<void(std::chrono::steady_clock::duration silent, std::chrono::milliseconds again)>;
  using OnSettled = NoticeSender::OnSettled;

  Discovery(boost::asio::any_io_executor executor, Endpoint address, OnList on_list, OnLost on_lost,
            OnSettled on_settled);

  // A watch on the changes after a version. It ends with on_lost; one that is running goes on.
  void watch(std::int64_t from);

  // Watches and reports at another address from now on: a watch begins there at once, and notices that have
  // no answer yet are sent there again.
  void set_address(const Endpoint& address, std::int64_t from);

  // Watches and reports no more: another process does.
  void stop();

  // Sent again until the platform has taken it.
  void send_notice(Notice notice) { notices_.send(std::move(notice)); }
  // Keeps a connection open ahead of notices.
  void keep_notices_connected() { notices_.keep_connected(); }
  bool notices_pending() const { return notices_.pending(); }

 private:
  using Stream = std::shared_ptr<boost::beast::tcp_stream>;

  void watch_again();
  boost::asio::awaitable<void> run_watch(Stream stream);
  boost::asio::awaitable<void> read_changes(Stream stream, WatchDeadline& deadline);
  boost::asio::awaitable<bool> take(valedrum::catalog::ListReader& reader, std::string_view bytes,
                                    Stream connection, bool& ended);
  bool may_take(std::int64_t version);

  boost::asio::any_io_executor executor_;
  Endpoint address_;
  OnList on_list_;
  OnLost on_lost_;
  int spoilt_ = 0;  // lists in a row that were cut or can't be read
  ListVersionFilter versions_;
  Stream watch_;  // the connection of the watch that counts; none: not watching
  NoticeSender notices_;
};

}  // namespace myrtlegrade
