// Decides which of two processes of a relay is active. A process that starts while another one is active
// becomes its standby: it shares the clients' listening socket, and takes over when the active process hands
// over or dies.
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
#include "handover_frames.h"
#include "handover_link.h"
#include "relay.h"
#include "state_lock.h"

namespace myrtlegrade {

class Handover {
 public:
  // Calls `on_done` when the process may exit, and `reread_config` when its configuration may be out of date;
  // the latter is expected to lead to reload().
  Handover(boost::asio::any_io_executor executor, Config config, std::function<void()> on_done,
           std::function<void()> reread_config);

  void start();

  // Begins the shutdown: hands the state over to the standby process, or drains the relay if there is none.
  void end();

  // Applies the settings that may change at runtime: discovery's address and the fleet's seeds.
  void reload(const Config& config);

 private:
  using LinkPtr = std::shared_ptr<HandoverLink>;

  boost::asio::awaitable<void> run_standby();
  void open_admin();
  bool try_become_active();
  void become_active(std::optional<std::string> handover_state);
  void join_fleet();
  void start_copies();
  void publish_free_space();

  // As standby, and after taking over: frames of the predecessor.
  boost::asio::awaitable<void> stand_by();
  boost::asio::awaitable<void> take_over(std::string handover_state);
  void on_predecessor_frame(const std::string& frame);

  // As active process, and after handing over: frames of the successor.
  boost::asio::awaitable<void> listen_for_successors();
  boost::system::error_code open_successor_socket();
  boost::asio::awaitable<void> accept_successors();
  boost::asio::awaitable<void> serve_successor(LinkPtr link);
  void on_successor_frame(const std::string& frame);
  void wait_for_link();
  void send_prepare();
  bool can_hand_over() const;
  void hand_over_when_settled();
  void hand_over();
  bool successor_alive();
  bool successor_may_start();
  bool is_state_lock_free();
  void watch_successor();
  void drain_without_successor();
  void close_successor_socket();
  void send_config_reload();
  void on_config_reload(RecordReader& in);
  void send_descriptor_usage();

  void on_admin_request(const std::string& line, const AdminServer::Reply& reply);
  void forward_admin_request(const LinkPtr& link, const std::string& line, const AdminServer::Reply& reply);
  void on_admin_reply(RecordReader& in, bool returned);
  void fail_forwarded_requests();

  boost::asio::any_io_executor executor_;
  Config config_;
  std::function<void()> on_done_, reread_config_;
  std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now();
  StateLock lock_;
  std::optional<AdminServer> admin_;
  std::optional<boost::asio::ip::tcp::acceptor> listener_;  // until it is passed to the relay
  std::optional<Relay> relay_;                              // while active, and after handing over
  std::shared_ptr<Fleet> fleet_;                            // if configured, while this process is active
  boost::asio::steady_timer poll_timer_;

  LinkPtr predecessor_, successor_;
  bool standing_by_ = false;      // linked to the active process, and able to take over at once
  bool successor_ready_ = false;  // its version is compatible
  bool ending_ = false, handed_over_ = false;
  std::optional<std::chrono::steady_clock::time_point> lock_free_since_;
  std::string successor_name_;     // its name among CallOwners, once it has taken over
  bool waiting_for_link_ = false;  // shutting down; the standby's link was lost a moment ago
  std::chrono::steady_clock::time_point end_requested_at_{};
  std::chrono::steady_clock::time_point settle_until_{};  // a handover waits no longer for acceptances
  std::optional<std::chrono::steady_clock::time_point> link_lost_at_;
  boost::asio::local::stream_protocol::acceptor successor_acceptor_;
  boost::asio::steady_timer listen_timer_, prepare_timer_, usage_timer_, free_space_timer_;
  std::string published_record_;  // in the fleet, for copies

  struct ForwardedRequest {
    std::string line;
    AdminServer::Reply reply;
  };
  std::uint64_t last_token_ = 0;
  std::map<std::uint64_t, ForwardedRequest> forwarded_requests_;  // admin requests for the other process
  std::map<std::uint64_t, Server::Respond> forwarded_messages_;   // messages that the successor answers
};

}  // namespace myrtlegrade
