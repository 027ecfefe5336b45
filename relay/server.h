// The HTTP server on which clients submit messages.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include "event_log.h"
#include "host_list.h"
#include "timestamp.h"

namespace myrtlegrade {

// A message as a client submitted it.
struct SubmittedMessage {
  std::string id;
  std::string cls;
  std::uint64_t destination = 0;
  std::string key;  // empty if none was given
  std::string body;
  Timestamp deadline;  // the client's timeout, from the arrival of the request's last byte
};

// The answer to a submitted message. The outer names of the kinds are those of name_of().
struct Answer {
  enum class Kind {
    accepted,
    refused,
    failed,
    unknown_class,
    unknown_destination,
    key_missing,
    other_content
  };
  Kind kind = Kind::accepted;
  std::chrono::milliseconds retry_after{};  // with refused and unknown_destination; 0 if none is sent
};

// Returns the outer name of a kind: that of its enumerator, but "taken" for accepted.
std::string_view name_of(Answer::Kind kind);

class Server {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;
  // Must be called exactly once for each message, either at once or later.
  using Respond = std::function<void(Answer)>;
  // Returns what the health check reports.
  using Ready = std::function<bool()>;
  using OnSubmit = std::function<void(SubmittedMessage, Respond)>;
  // Called when the client went away before the answer that its message is accepted reached it.
  using OnUndeliveredResponse = std::function<void(const std::string& id)>;

  Server(boost::asio::any_io_executor executor, boost::asio::ip::tcp::acceptor listening,
         std::size_t max_connections, Ready ready, OnSubmit on_submit,
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
  Endpoint address() const { return acceptor_.local_endpoint(); }
  int listening_descriptor() { return acceptor_.native_handle(); }

 private:
  struct Session;
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<Session> session);
  boost::asio::awaitable<void> serve_requests(Session& session);
  boost::asio::awaitable<boost::beast::error_code> read_request(Session& session, Parser& parser);
  boost::asio::awaitable<void> linger_and_close(Session& session);
  boost::asio::awaitable<Answer> submit(SubmittedMessage message);
  std::optional<Response> answer_directly(Request& request, const Timestamp& last_byte,
                                          SubmittedMessage& message) const;
  void send_internal_error(Session& session);
  void log_late_close(const Session& session);
  bool shed_connection();
  void close_idle();

  boost::asio::any_io_executor executor_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_timer_;
  std::size_t max_connections_;
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
