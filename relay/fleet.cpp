#include "fleet.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <iostream>
#include <random>
#include <utility>

#include "coroutine.h"
#include "fleet_stream.h"
#include "stream_io.h"

namespace myrtlegrade {

namespace asio = boost::asio;
namespace json = boost::json;
namespace membership = valedrum::membership;
using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr int kMaxDatagramsPerWake = 32;  // lets other work on the event loop run in between
constexpr auto kExchangeTimeout = 3s;     // for a whole exchange over a stream
constexpr auto kListenRetryInterval = 100ms;
constexpr auto kLogPeriod = 10s;
constexpr unsigned kMaxLinesPerPeriod = 200;  // further lines are only counted

asio::ip::address_v4 ip_of(const membership::Address& a) { return asio::ip::address_v4(a.ip); }

}  // namespace

Fleet::Fleet(asio::any_io_executor executor, const FleetConfig& config, const std::string& name,
             const std::string& folder, std::uint64_t seed)
    : executor_(executor),
      config_(config),
      identity_(folder, config.settings.fleet, name),
      datagrams_(executor),
      streams_(executor),
      timer_(executor),
      retry_(executor),
      buffer_(std::size_t{1} << 16) {
  membership::Record self;
  self.name = name;
  self.machine = config.machine;
  self.zone = config.zone;
  // A copied configuration has the same seed, but two processes must never share an instance number.
  std::random_device device;
  self.instance = seed ^ (std::uint64_t{device()} << 32 | device());
  const bool persistent = config.settings.disabled_safeguard != membership::DisabledSafeguard::incarnation;
  self.stamp.incarnation = persistent ? identity_.incarnation() + 1 : 1;
  self.address = config.advertise;
  members_.emplace(config.settings, std::move(self), seed, now());
}

membership::Time Fleet::now() {
  return membership::Time(
      std::chrono::duration_cast<membership::Duration>(SteadyClock::now().time_since_epoch()));
}

bool Fleet::open() {
  const auto ip = ip_of(config_.bind);
  try {
    datagrams_.open(udp::v4());
    datagrams_.bind({ip, config_.bind.port});
    datagrams_.non_blocking(true);
    streams_.open(tcp::v4());
    streams_.set_option(tcp::acceptor::reuse_address(true));
    streams_.bind({ip, config_.bind.port});
    streams_.listen();
    return true;
  } catch (const boost::system::system_error&) {
    boost::system::error_code ignored;
    datagrams_.close(ignored);
    streams_.close(ignored);
    return false;
  }
}

void Fleet::start() {
  if (stopped_) return;
  if (!open()) {
    if (!std::exchange(bind_failed_, true))
      std::cerr << "myrtlegrade: fleet: " << to_text(config_.bind) << " is not free yet" << std::endl;
    retry_.expires_after(kListenRetryInterval);
    retry_.async_wait([self = shared_from_this()](boost::system::error_code error) {
      if (!error) self->start();
    });
    return;
  }
  std::cerr << "myrtlegrade: fleet: " << config_.settings.fleet << ", at " << to_text(config_.bind)
            << ", reached at " << to_text(config_.advertise) << std::endl;
  wait_for_datagrams();
  spawn(executor_, accept());
  flush();
}

void Fleet::leave() {
  if (stopped_) return;
  members_->leave(now());
  if (datagrams_.is_open()) flush();
  stop();
}

void Fleet::stop() {
  if (std::exchange(stopped_, true)) return;
  boost::system::error_code ignored;
  datagrams_.close(ignored);
  streams_.close(ignored);
  timer_.cancel();
  retry_.cancel();
  for (const Stream& s : incoming_) s->close();
  if (outgoing_) outgoing_->close();
}

void Fleet::reseed(std::vector<membership::Address> seeds) {
  if (stopped_) return;
  members_->reseed(now(), std::move(seeds));
  flush();
}

// The incarnation is written before anything is sent, since other members must not learn an incarnation that
// this relay would not know after a crash.
void Fleet::flush() {
  if (stopped_ || !datagrams_.is_open()) return;
  if (members_->incarnation() != identity_.incarnation() && !identity_.save(members_->incarnation())) {
    std::cerr << "myrtlegrade: fleet: cannot write the incarnation; after a restart it is learned from other "
                 "members"
              << std::endl;
  }
  for (const membership::Datagram& d : members_->take_datagrams()) {
    boost::system::error_code error;
    datagrams_.send_to(asio::buffer(d.bytes), {ip_of(d.to), d.to.port}, 0, error);
    if (error) ++unsent_;
  }
  for (membership::StreamRequest& request : members_->take_stream_requests())
    spawn(executor_, exchange(std::move(request)));
  for (const membership::ViewEvent& event : members_->take_view_events()) log(event);
  schedule_wake();
  if (on_change_ && std::exchange(reported_version_, members_->version()) != members_->version())
    on_change_(*members_);
}

void Fleet::publish(std::uint32_t version, std::string bytes) {
  if (stopped_) return;
  members_->publish(now(), version, std::move(bytes));
  flush();
}

void Fleet::on_change(std::function<void(const membership::Membership&)> callback) {
  on_change_ = std::move(callback);
  on_change_(*members_);
}

void Fleet::log(const membership::ViewEvent& event) {
  const auto at = SteadyClock::now();
  if (at > log_period_start_ + kLogPeriod) {
    if (suppressed_lines_ > 0)
      std::cerr << "myrtlegrade: fleet: " << suppressed_lines_ << " lines more" << std::endl;
    log_period_start_ = at;
    logged_lines_ = suppressed_lines_ = 0;
  }
  if (++logged_lines_ > kMaxLinesPerPeriod) {
    ++suppressed_lines_;
    return;
  }
  std::cerr << "myrtlegrade: fleet: " << event.member << (event.member.empty() ? "" : " ")
            << event.description << std::endl;
}

void Fleet::schedule_wake() {
  const membership::Time at = members_->next_wake();
  if (at == membership::Time::max()) return;
  timer_.expires_at(SteadyClock::time_point(at.time_since_epoch()));
  timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
    if (error || self->stopped_) return;
    self->members_->wake(now());
    self->flush();
  });
}

void Fleet::wait_for_datagrams() {
  datagrams_.async_wait(udp::socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
    if (error || self->stopped_) return;
    for (int n = 0; n < kMaxDatagramsPerWake; ++n) {
      udp::endpoint from;
      boost::system::error_code receive_error;
      const std::size_t size =
          self->datagrams_.receive_from(asio::buffer(self->buffer_), from, 0, receive_error);
      if (receive_error == asio::error::would_block || receive_error == asio::error::try_again) break;
      if (receive_error) continue;  // e.g. ICMP port unreachable: the probe's own timeout detects it
      self->members_->receive(now(), {from.address().to_v4().to_uint(), from.port()},
                              {self->buffer_.data(), size});
    }
    self->flush();
    self->wait_for_datagrams();
  });
}

asio::awaitable<void> Fleet::accept() {
  const auto self = shared_from_this();
  while (!stopped_) {
    auto [error, socket] = co_await accept_next(StreamUse::fleet, streams_);
    if (stopped_) co_return;
    if (error) {
      retry_.expires_after(kListenRetryInterval);
      co_await retry_.async_wait(kAwait);
      continue;
    }
    if (incoming_.size() >= kFleetStreams) continue;  // over the limit: closed, the peer tries again
    spawn(executor_,
          serve(incoming_.emplace_back(std::make_shared<boost::beast::tcp_stream>(std::move(socket)))));
  }
}

asio::awaitable<void> Fleet::serve(Stream stream) {
  const auto self = shared_from_this();
  stream->expires_after(kExchangeTimeout);
  const auto frame = co_await read_frame(*stream);
  if (frame && !stopped_) {
    const std::string reply = members_->serve(now(), *frame);
    flush();
    const std::string bytes = framed(reply);
    if (!reply.empty()) (void)co_await write_all(StreamUse::fleet, *stream, bytes);
  }
  stream->close();
  incoming_.remove(stream);
}

asio::awaitable<void> Fleet::exchange(membership::StreamRequest request) {
  const auto self = shared_from_this();
  const auto stream = std::make_shared<boost::beast::tcp_stream>(executor_);
  outgoing_ = stream;
  stream->expires_after(kExchangeTimeout);
  boost::system::error_code error;
  // Bound to the relay's own address, so that the peer and intermediaries can identify the sender.
  stream->socket().open(tcp::v4(), error);
  if (!error) stream->socket().bind({ip_of(config_.bind), 0}, error);
  std::optional<std::string> reply;
  if (!error) {
    const auto [connect_error] = co_await stream->async_connect({ip_of(request.to), request.to.port}, kAwait);
    if (!connect_error) {
      const std::string bytes = framed(request.frame);
      const auto write_error = co_await write_all(StreamUse::fleet, *stream, bytes);
      if (!write_error) reply = co_await read_frame(*stream);
    }
  }
  stream->close();
  if (outgoing_ == stream) outgoing_ = nullptr;
  if (stopped_) co_return;
  if (reply) {
    members_->on_response(now(), request.token, *reply);
  } else {
    members_->on_request_failed(now(), request.token);
  }
  flush();
}

std::string Fleet::view() const {
  const auto row = [](const membership::Record& r) {
    json::object o{{"name", r.name},
                   {"state", std::string(name_of(r.state))},
                   {"machine", r.machine},
                   {"zone", r.zone},
                   {"address", to_text(r.address)},
                   {"incarnation", r.stamp.incarnation},
                   {"revision", r.stamp.revision}};
    if (r.conflicting_address) o["rival"] = to_text(r.conflicting_address);
    if (r.published_version > 0) o["published_version"] = r.published_version;
    return o;
  };
  const auto ms = [](std::optional<membership::Time> since) {
    return since ? json::value((now() - *since) / 1ms) : json::value(nullptr);
  };
  json::array members{row(members_->self())};
  for (const auto& [name, e] : members_->others().entries()) members.push_back(row(e.record));
  const membership::Reachability reach = members_->reachability(now());
  const membership::Counters& c = members_->counters();
  json::object dropped;
  for (std::size_t i = 0; i < membership::kDropReasons; ++i) {
    dropped[std::string(name_of(static_cast<membership::DropReason>(i)))] = c.dropped[i];
  }
  char digest[24];
  std::snprintf(digest, sizeof digest, "%016llx", static_cast<unsigned long long>(members_->digest()));
  return json::serialize(json::object{{"fleet", config_.settings.fleet},
                                      {"name", members_->self().name},
                                      {"settled", members_->joined()},
                                      {"looks_on", members_->is_observer()},
                                      {"version", members_->version()},
                                      {"digest", digest},
                                      {"doubt", members_->local_health_score()},
                                      {"reach",
                                       {{"reachable", reach.reachable},
                                        {"known", reach.known},
                                        {"share", reach.share()},
                                        {"lessened_ms", ms(reach.reduced_since)},
                                        {"minority_ms", ms(reach.minority_since)}}},
                                      {"counters",
                                       {{"probes", c.probes},
                                        {"unanswered", c.failed_probes},
                                        {"asked_others", c.indirect_probe_requests},
                                        {"suspicions", c.suspicions},
                                        {"refutations", c.refutations},
                                        {"deaths", c.deaths},
                                        {"exchanges", c.exchanges},
                                        {"failed_exchanges", c.failed_exchanges},
                                        {"stalls", c.stalls},
                                        {"unsent", unsent_},
                                        {"dropped", std::move(dropped)}}},
                                      {"members", std::move(members)}});
}

}  // namespace myrtlegrade
