// The HTTP server on which clients submit messages.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "client_protocol.h"
#include "event_log.h"
#include "host_list.h"
#include "memory_budget.h"

namespace myrtlegrade {

class Server {
 public:
  // Must be called exactly once for each message, either at once or later.
  using Respond = std::function<void(Answer)>;
  // Returns what the health check reports.
  using Ready = std::function<bool()>;
  using OnSubmit = std::function<void(SubmittedMessage, Respond)>;
  // Called when the client went away before the answer that its message is accepted reached it.
  using OnUndeliveredResponse = std::function<void(const std::string& id)>;

  // `max_request_bytes` bounds the memory of all requests that are being read, beyond a little for each.
  Server(boost::asio::any_io_executor executor, boost::asio::ip::tcp::acceptor listening,
         std::size_t max_connections, std::size_t max_request_bytes, Ready ready, OnSubmit on_submit,
         OnUndeliveredResponse on_undelivered_response);
  ~Server();

  void start();
  // Closes each connection with its next answer, or once it has been idle for a while.
  void drain();

  // Closes the listening socket. Another process that shares it accepts further connections.
  void stop_accepting();

  // Limits the number of connections from now on; open ones are kept.
  void set_max_connections(std::size_t max_connections) { max_connections_ = max_connections; }

  // Like drain(), and /_health also reports 503, so that clients stop opening connections; those that still
  // do are served. join() reverts it.
  void leave();
  void join() { leaving_ = false; }
  bool leaving() const { return leaving_; }
  std::size_t connections() const { return open_sessions_; }
  const MemoryBudget& request_memory() const { return request_memory_; }
  std::uint64_t shed_for_memory() const { return shed_for_memory_; }
  Endpoint address() const { return acceptor_.local_endpoint(); }
  int listening_descriptor() { return acceptor_.native_handle(); }

  struct Session;  // server_session.h

 private:
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
  using HeaderParser = boost::beast::http::request_parser<boost::beast::http::empty_body>;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<Session> session);
  boost::asio::awaitable<void> serve_requests(Session& session);
  enum class RequestPart { header, all };
  template <typename AnyParser>
  boost::asio::awaitable<boost::beast::error_code> read_part(Session& session, AnyParser& parser,
                                                             RequestPart part);
  boost::asio::awaitable<boost::beast::error_code> read_request(Session& session,
                                                                std::optional<Parser>& parser);
  boost::asio::awaitable<bool> take_memory(Session& session, std::size_t bytes,
                                           std::optional<std::size_t> missing);
  bool shed_stalled_request();
  void shed(Session& session);
  boost::asio::awaitable<void> linger_and_close(Session& session);
  boost::asio::awaitable<Answer> submit(SubmittedMessage message);
  std::optional<ClientResponse> answer_directly(ClientRequest& request, const Timestamp& last_byte,
                                                SubmittedMessage& message) const;
  void send_internal_error(Session& session);
  void log_late_close(const Session& session);
  enum class Shedding { any, keeps_some_idle };
  bool shed_connection(Shedding shedding);
  void close_idle();

  boost::asio::any_io_executor executor_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::size_t max_connections_;
  MemoryBudget request_memory_;
  std::uint64_t shed_for_memory_ = 0;  // connections
  Ready ready_;
  OnSubmit on_submit_;
  OnUndeliveredResponse on_undelivered_response_;
  EventLog event_log_{"client"};
  bool draining_ = false;
  bool leaving_ = false;
  boost::asio::steady_timer idle_timer_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  std::size_t open_sessions_ = 0;  // sessions that hold a descriptor
};

}  // namespace myrtlegrade
