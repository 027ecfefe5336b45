// Which of two processes is the relay. One that is started while another serves stands by for it: it holds
// the clients' listening socket too, and takes over once the other gives over or dies.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "admin_server.h"
#include "config.h"
#include "fleet.h"
#include "frames.h"
#include "link.h"
#include "relay.h"
#include "state_lock.h"

namespace myrtlegrade {

class Succession {
 public:
  // `done` is called when the process may go, `read_again` when what it has read of its configuration may be
  // old: it leads to reload().
  Succession(boost::asio::any_io_executor executor, Config config, std::function<void()> done,
             std::function<void()> read_again);

  void start();

  // The process is to end: what it has goes to the one that stands by, or is brought to an end.
  void end();

  // What may change while it runs: where the platform's service is, and the fleet's seeds.
  void reload(const Config& config);

 private:
  using Links = std::shared_ptr<Link>;

  boost::asio::awaitable<void> seek();
  void open_admin();
  bool take_office();
  void become(std::optional<std::string> inherited);
  void enter_fleet();
  void join_copies();
  void publish_room();

  // As the one that stands by, and after that: what the earlier process still says.
  boost::asio::awaitable<void> stand_by();
  boost::asio::awaitable<void> take_over(std::string inherited);
  void heard_from_predecessor(const std::string& frame);

  // As the relay: who stands by, and after giving over: what the new process says.
  boost::asio::awaitable<void> invite_successors();
  boost::system::error_code open_successors();
  boost::asio::awaitable<void> await_successors();
  boost::asio::awaitable<void> attend(Links link);
  void heard_from_successor(const std::string& frame);
  void await_link();
  void ask_to_prepare();
  bool may_give_over() const;
  void give_over();
  bool heir_lives();
  bool heir_may_come();
  bool no_relay_serves();
  void watch_heir();
  void leave_alone();
  void close_successors();
  void tell_reloaded();
  void heard_reloaded(RecordReader& in);
  void tell_usage();

  void called(const std::string& line, const AdminServer::Reply& reply);
  void ask_other(const Links& link, const std::string& line, const AdminServer::Reply& reply);
  void replied(RecordReader& in, bool returned);
  void drop_questions();

  boost::asio::any_io_executor executor_;
  Config config_;
  std::function<void()> done_, read_again_;
  std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now();
  StateLock lock_;
  std::optional<AdminServer> admin_;
  std::optional<boost::asio::ip::tcp::acceptor> listening_;  // until the relay has it
  std::optional<Relay> relay_;
  std::shared_ptr<Fleet> fleet_;  // where one is configured, while this process is the relay
  boost::asio::steady_timer pause_;

  Links predecessor_, successor_;
  bool standing_by_ = false;      // could take over at once
  bool successor_ready_ = false;  // has said which version it speaks
  bool ending_ = false, given_over_ = false;
  std::optional<std::chrono::steady_clock::time_point> relay_missing_since_;  // the lock is free
  std::string heir_;          // the process that took over from this one, by its name among CallOwners
  bool awaits_link_ = false;  // it is to end, and its successor's link was lost a moment ago
  std::chrono::steady_clock::time_point told_to_end_{};
  std::optional<std::chrono::steady_clock::time_point> link_lost_;  // that a process stood by on
  boost::asio::local::stream_protocol::acceptor successors_;
  boost::asio::steady_timer invite_timer_, prepare_timer_, usage_timer_, room_timer_;
  std::string published_;  // in this relay's record

  struct Question {
    std::string line;
    AdminServer::Reply reply;
  };
  std::uint64_t last_token_ = 0;
  std::map<std::uint64_t, Question> questions_;         // calls that the other process answers
  std::map<std::uint64_t, Server::Respond> handed_in_;  // clients' messages that the successor answers
};

}  // namespace myrtlegrade
