#include "handover.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <thread>
#include <utility>

#include "coroutine.h"
#include "stream_io.h"
#include "system_errors.h"

namespace myrtlegrade {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kPollInterval = 20ms;  // between checks whether another process is still active
constexpr auto kHelloTimeout = 1s;    // for the first frames; a stalled process sends none
constexpr auto kPrepareTimeout = 300ms;
constexpr auto kLinkReconnectTimeout = 200ms;  // for a standby that lost its link and reconnects
constexpr auto kHandoverTimeout =
    700ms;  // after the signal to end; a drain without handover needs the rest of the time
// Time for a process that has just died to release the listening address, or for the system to have free
// descriptors again.
constexpr auto kAddressTimeout = 6s;
// A handover waits this long for messages that wait for their acceptance, and checks for them this often.
constexpr auto kSettleTimeout = 250ms;
constexpr auto kSettlePollInterval = 2ms;
constexpr auto kUsageInterval = 50ms;
constexpr auto kListenRetryInterval = 100ms;

}  // namespace

Handover::Handover(asio::any_io_executor executor, Config config, std::function<void()> on_done,
                   std::function<void()> reread_config)
    : executor_(executor),
      config_(std::move(config)),
      on_done_(std::move(on_done)),
      reread_config_(std::move(reread_config)),
      lock_(config_.state_folder),
      poll_timer_(executor),
      successor_acceptor_(executor),
      listen_timer_(executor),
      prepare_timer_(executor),
      usage_timer_(executor),
      free_space_timer_(executor) {
  if (!config_.admin) return;
  open_admin();
  std::cerr << "myrtlegrade: second address on " << admin_->address() << std::endl;
}

// The configuration asks for the admin address, so a failure to bind it is fatal unless it is temporary.
void Handover::open_admin() {
  while (!admin_) {
    try {
      admin_.emplace(executor_, *config_.admin,
                     [this](const std::string& line, const AdminServer::Reply& reply) {
                       on_admin_request(line, reply);
                     });
    } catch (const boost::system::system_error& e) {
      if (!is_temporary_error(e.code()) || SteadyClock::now() - started_ > kAddressTimeout) throw;
      std::this_thread::sleep_for(kPollInterval);
    }
  }
}

void Handover::start() {
  if (admin_) admin_->start();
  // Tried synchronously first: without another process, the relay serves as soon as its process runs.
  if (!try_become_active()) spawn(executor_, run_standby());
}

void Handover::end() {
  if (std::exchange(ending_, true)) return;
  end_requested_at_ = SteadyClock::now();
  if (!relay_) return on_done_();
  if (successor_ready_) return send_prepare();
  const bool lost_just_now = link_lost_at_ && SteadyClock::now() - *link_lost_at_ < kLinkReconnectTimeout;
  if (!successor_ && !lost_just_now) return drain_without_successor();
  wait_for_link();
}

// Continues to serve while the standby reconnects: one failing system call is enough to break the link, and
// must not turn an upgrade into a restart.
void Handover::wait_for_link() {
  waiting_for_link_ = true;
  relay_->pause_submissions(false);
  prepare_timer_.expires_at(
      std::min(SteadyClock::now() + kLinkReconnectTimeout, end_requested_at_ + kHandoverTimeout));
  prepare_timer_.async_wait([this](boost::system::error_code error) {
    if (error || !std::exchange(waiting_for_link_, false)) return;
    std::cerr << "myrtlegrade: the link to the new process is down, ends alone unless it comes up"
              << std::endl;
    drain_without_successor();
  });
}

void Handover::send_prepare() {
  waiting_for_link_ = false;
  // Makes sure that the successor responds: a stalled process could not continue the work.
  successor_->send(RecordWriter(HandoverFrame::prepare));
  prepare_timer_.expires_after(kPrepareTimeout);
  prepare_timer_.async_wait([this](boost::system::error_code error) {
    if (error || handed_over_) return;
    std::cerr << "myrtlegrade: the new process does not answer" << std::endl;
    drain_without_successor();
  });
}

void Handover::close_successor_socket() {
  boost::system::error_code ignored;
  successor_acceptor_.close(ignored);
}

// A process that still makes decisions can hand over even after its drain has begun: a lost link or a slow
// answer must not turn an upgrade into a restart.
bool Handover::can_hand_over() const { return relay_ && !handed_over_ && !relay_->closing(); }

void Handover::drain_without_successor() {
  successor_ready_ = false;
  if (const LinkPtr link = std::exchange(successor_, nullptr)) link->close();
  relay_->pause_submissions(false);
  relay_->drain(
      [this] {
        if (fleet_) fleet_->leave();
        on_done_();
      },
      end_requested_at_);
}

void Handover::reload(const Config& config) {
  config_.discovery = config.discovery;
  config_.read_at = config.read_at;
  send_config_reload();
  if (relay_ && !handed_over_) relay_->move_discovery(config.discovery);
  if (!config_.fleet || !config.fleet) return;  // the fleet can't be switched on or off at runtime
  config_.fleet->settings.seeds = config.fleet->settings.seeds;
  if (fleet_) fleet_->reseed(config.fleet->settings.seeds);
}

// The successor may have read an older version of the file, and may not get a reload signal.
void Handover::send_config_reload() {
  if (successor_) successor_->send(write_config_reload({config_.read_at, config_.discovery}));
}

void Handover::on_config_reload(RecordReader& in) {
  const auto other = read_config_reload(in);
  if (!other || other->read_at <= config_.read_at) return;
  config_.read_at = other->read_at;
  if (other->discovery == config_.discovery) return;
  config_.discovery = other->discovery;
  if (relay_ && !handed_over_) relay_->move_discovery(config_.discovery);
}

// ----------------------------------------------------------------------------- becoming active

// Returns false while another process is active, or the listening address is not free yet.
bool Handover::try_become_active() {
  if (!lock_.try_acquire()) return false;
  if (!listener_) {
    try {
      listener_.emplace(executor_, config_.listen);
    } catch (const boost::system::system_error& e) {
      const bool temporary = e.code() == asio::error::address_in_use || is_temporary_error(e.code());
      if (!temporary || SteadyClock::now() - started_ > kAddressTimeout) throw;
      lock_.release();
      return false;
    }
  }
  become_active(std::nullopt);
  return true;
}

asio::awaitable<void> Handover::run_standby() {
  while (!relay_ && !ending_) {
    co_await stand_by();
    if (relay_ || ending_) co_return;
    // The file may have been replaced since this process read it, with a reload signal to the other one only.
    if (try_become_active()) co_return reread_config_();
    poll_timer_.expires_after(kPollInterval);
    co_await poll_timer_.async_wait(kAwait);
  }
}

void Handover::become_active(std::optional<std::string> handover_state) {
  relay_.emplace(executor_, config_, std::move(*listener_), std::move(handover_state));
  listener_.reset();
  relay_->start();
  std::cerr << "myrtlegrade: listening on " << relay_->address() << std::endl;
  join_fleet();
  spawn(executor_, listen_for_successors());
}

// A failure does not prevent the relay from serving. It is retried, since no process could take over
// otherwise.
asio::awaitable<void> Handover::listen_for_successors() {
  bool logged = false;
  while (!ending_ && !successor_acceptor_.is_open()) {
    const boost::system::error_code error = open_successor_socket();
    if (!error) break;
    if (!std::exchange(logged, true))
      std::cerr << "myrtlegrade: no successor can take over yet: " << error.message() << std::endl;
    listen_timer_.expires_after(kListenRetryInterval);
    co_await listen_timer_.async_wait(kAwait);
  }
  if (successor_acceptor_.is_open()) spawn(executor_, accept_successors());
}

boost::system::error_code Handover::open_successor_socket() {
  const auto endpoint = HandoverLink::endpoint_in(config_.state_folder);
  ::unlink(endpoint.path().c_str());  // left by a process that is no longer active
  boost::system::error_code error;
  successor_acceptor_.open(endpoint.protocol(), error);
  if (!error) successor_acceptor_.bind(endpoint, error);
  if (!error) successor_acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (!error) ::chmod(endpoint.path().c_str(), 0600);
  boost::system::error_code ignored;
  if (error) successor_acceptor_.close(ignored);
  return error;
}

// --------------------------------------------------------------------------------------- standing by

asio::awaitable<void> Handover::stand_by() {
  HandoverLink::Protocol::socket socket(executor_);
  const auto [error] = co_await socket.async_connect(HandoverLink::endpoint_in(config_.state_folder), kAwait);
  if (error) co_return;
  const auto link = std::make_shared<HandoverLink>(std::move(socket));
  poll_timer_.expires_after(kHelloTimeout);
  poll_timer_.async_wait([link](boost::system::error_code stopped) {
    if (!stopped) link->close();
  });
  const auto descriptor = co_await link->receive_descriptor();
  std::optional<std::string> hello;
  if (descriptor) {
    listener_.emplace(executor_);
    listener_->assign(config_.listen.protocol(), *descriptor);
    hello = co_await link->receive();
  }
  poll_timer_.cancel();
  if (!hello || ending_) co_return;
  RecordReader in(*hello);
  if (in.kind<HandoverFrame>() != HandoverFrame::hello || in.number() != kHandoverVersion) {
    std::cerr << "myrtlegrade: the old process uses another handover version; waiting for it to end"
              << std::endl;
    co_return;
  }
  link->send(RecordWriter(HandoverFrame::hello).number(kHandoverVersion));
  predecessor_ = link;
  standing_by_ = true;
  std::cerr << "myrtlegrade: standing by, listening on " << listener_->local_endpoint() << std::endl;
  // After the takeover, the predecessor still reports results of the calls that it has in flight.
  for (auto frame = co_await link->receive(); frame; frame = co_await link->receive()) {
    if (static_cast<HandoverFrame>(frame->front()) == HandoverFrame::handover) {
      co_await take_over(frame->substr(1));
    } else {
      on_predecessor_frame(*frame);
    }
  }
  standing_by_ = false;
  predecessor_ = nullptr;
  link->close();
  if (relay_) relay_->on_predecessor_disconnected();
  fail_forwarded_requests();
}

asio::awaitable<void> Handover::take_over(std::string handover_state) {
  // The predecessor has released the lock; another process may hold it for a moment to check it.
  while (!lock_.try_acquire()) {
    poll_timer_.expires_after(1ms);
    co_await poll_timer_.async_wait(kAwait);
  }
  become_active(std::move(handover_state));
  std::cerr << "myrtlegrade: took over" << std::endl;
  if (relay_->knows_predecessor_calls() && predecessor_)
    predecessor_->send(RecordWriter(HandoverFrame::took_over).text(relay_->owner_name()));
}

void Handover::on_predecessor_frame(const std::string& frame) {
  RecordReader in(frame);
  const auto kind = in.kind<HandoverFrame>();
  if (kind == HandoverFrame::prepare) {
    predecessor_->send(RecordWriter(HandoverFrame::prepared));
  } else if (kind == HandoverFrame::admin_reply || kind == HandoverFrame::admin_returned) {
    on_admin_reply(in, kind == HandoverFrame::admin_returned);
  } else if (kind == HandoverFrame::config_reloaded) {
    on_config_reload(in);
  } else if (!relay_) {
    return;
  } else if (kind == HandoverFrame::outcome) {
    const std::string id = in.text();
    const auto attempt = static_cast<std::uint32_t>(in.number());
    const CallResult result = read_result(in);
    if (in.good) relay_->on_predecessor_outcome(id, attempt, result);
    relay_->decide_due_completions();
  } else if (kind == HandoverFrame::call_ended) {
    const std::uint64_t call = in.number();
    const auto end = static_cast<CallEnd>(in.number());
    if (in.good) relay_->on_predecessor_call_ended(call, end);
    relay_->decide_due_completions();
  } else if (kind == HandoverFrame::submit) {
    const std::uint64_t token = in.number();
    SubmittedMessage message = read_submission(in);
    if (!in.good) return;
    relay_->submit(std::move(message), [link = predecessor_, token](const Answer& answer) {
      if (link) link->send(write_answer(token, answer));
    });
  } else if (kind == HandoverFrame::undelivered_response) {
    relay_->withdraw(in.text());
  } else if (kind == HandoverFrame::descriptor_usage) {
    relay_->reserve_descriptors(in.number());
  } else if (kind == HandoverFrame::admin_request) {
    const std::uint64_t token = in.number();
    on_admin_request(in.text(), [link = predecessor_, token](const std::string& reply) {
      if (link) link->send(RecordWriter(HandoverFrame::admin_reply).number(token).text(reply));
    });
  }
}

// ------------------------------------------------------------------------------- handing over

asio::awaitable<void> Handover::accept_successors() {
  while (true) {
    auto [error, socket] = co_await accept_next(StreamUse::successors, successor_acceptor_);
    if (!successor_acceptor_.is_open()) co_return;
    if (error) {
      usage_timer_.expires_after(kPollInterval);
      co_await usage_timer_.async_wait(kAwait);
      continue;
    }
    // One standby at a time; others retry. A relay that is not ready itself can't be taken over.
    if (successor_ || (ending_ && !can_hand_over()) || !relay_->ready()) continue;
    successor_ = std::make_shared<HandoverLink>(std::move(socket));
    spawn(executor_, serve_successor(successor_));
  }
}

asio::awaitable<void> Handover::serve_successor(LinkPtr link) {
  if (link->send_descriptor(relay_->listening_descriptor())) {
    link->send(RecordWriter(HandoverFrame::hello).number(kHandoverVersion));
    send_config_reload();
    for (auto frame = co_await link->receive(); frame && link == successor_;
         frame = co_await link->receive()) {
      on_successor_frame(*frame);
    }
  }
  link->close();
  if (successor_ != link) co_return;
  successor_ = nullptr;
  fail_forwarded_requests();
  // The successor may or may not have stored the forwarded messages, so their outcome is unknown.
  for (const auto& [token, respond] : std::exchange(forwarded_messages_, {}))
    respond({Answer::Kind::failed, {}});
  if (handed_over_) {
    std::cerr << "myrtlegrade: the link to the new process is lost" << std::endl;
    link_lost_at_ = SteadyClock::now();
    watch_successor();
  }
  if (!std::exchange(successor_ready_, false) || handed_over_) co_return;
  link_lost_at_ = SteadyClock::now();
  if (ending_ && can_hand_over()) wait_for_link();  // lost between `prepare` and `prepared`
}

void Handover::on_successor_frame(const std::string& frame) {
  RecordReader in(frame);
  const auto kind = in.kind<HandoverFrame>();
  if (kind == HandoverFrame::hello) {
    successor_ready_ = in.number() == kHandoverVersion;
    if (successor_ready_ && ending_ && can_hand_over()) send_prepare();
  } else if (kind == HandoverFrame::prepared) {
    settle_until_ = SteadyClock::now() + kSettleTimeout;
    hand_over_when_settled();
  } else if (kind == HandoverFrame::took_over) {
    successor_name_ = in.text();
  } else if (kind == HandoverFrame::answer) {
    const auto found = forwarded_messages_.find(in.number());
    if (found == forwarded_messages_.end()) return;
    const auto respond = std::move(found->second);
    forwarded_messages_.erase(found);
    respond(read_answer(in));
  } else if (kind == HandoverFrame::admin_reply) {
    on_admin_reply(in, false);
  } else if (kind == HandoverFrame::admin_request) {
    const std::uint64_t token = in.number();
    const std::string line = in.text();
    if (handed_over_) return successor_->send(RecordWriter(HandoverFrame::admin_returned).number(token));
    on_admin_request(line, [link = successor_, token](const std::string& reply) {
      if (link) link->send(RecordWriter(HandoverFrame::admin_reply).number(token).text(reply));
    });
  }
}

void Handover::hand_over_when_settled() {
  if (!ending_ || !can_hand_over() || !successor_ready_) return;
  relay_->pause_submissions(true);
  if (relay_->acceptances_settled() || SteadyClock::now() >= settle_until_) return hand_over();
  prepare_timer_.expires_after(kSettlePollInterval);
  prepare_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) hand_over_when_settled();
  });
}

void Handover::hand_over() {
  handed_over_ = true;
  prepare_timer_.cancel();
  close_successor_socket();
  Relay::Successor to;
  to.submit = [this](SubmittedMessage message, Server::Respond respond) {
    if (!successor_) return respond({Answer::Kind::refused, {}});
    successor_->send(write_submission(++last_token_, message));
    forwarded_messages_.emplace(last_token_, std::move(respond));
  };
  to.withdraw = [this](const std::string& id) {
    if (successor_) successor_->send(RecordWriter(HandoverFrame::undelivered_response).text(id));
  };
  to.outcome = [this](const std::string& id, std::uint32_t attempt, const CallResult& result) {
    if (successor_) successor_->send(write_outcome(id, attempt, result));
  };
  to.call_ended = [this](std::uint64_t call, CallEnd end) {
    if (successor_) successor_->send(write_call_ended(call, end));
  };
  // Results of calls of this process's own predecessor pass through this process.
  to.all_reported = [this] {
    return forwarded_messages_.empty() && (!successor_ || (successor_->sent() && !predecessor_));
  };
  const RecordWriter state = relay_->hand_over(std::move(to), on_done_, end_requested_at_);
  if (fleet_) fleet_->stop();  // no leave message: the successor is the same member
  lock_.release();
  successor_->send(state);
  send_descriptor_usage();
  std::cerr << "myrtlegrade: gave over" << std::endl;
}

void Handover::send_descriptor_usage() {
  if (!successor_) return;
  successor_->send(RecordWriter(HandoverFrame::descriptor_usage).number(relay_->descriptors()));
  usage_timer_.expires_after(kUsageInterval);
  usage_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) send_descriptor_usage();
  });
}

}  // namespace myrtlegrade
