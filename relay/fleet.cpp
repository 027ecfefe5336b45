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
constexpr int kDatagramsATurn = 32;  // then others on the event loop have their turn
constexpr auto kStreamWithin = 3s;   // for all of an exchange
constexpr auto kAddressAgain = 100ms;
constexpr unsigned kMostLines = 200;  // in ten seconds; what is more is counted

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
  // A copied configuration has a copied seed: two processes must not pass for one.
  std::random_device device;
  self.instance = seed ^ (std::uint64_t{device()} << 32 | device());
  const bool kept = config.settings.disabled_safeguard != membership::DisabledSafeguard::incarnation;
  self.stamp.incarnation = kept ? identity_.incarnation() + 1 : 1;
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
    if (!std::exchange(waits_, true))
      std::cerr << "myrtlegrade: fleet: " << to_text(config_.bind) << " is not free yet" << std::endl;
    retry_.expires_after(kAddressAgain);
    retry_.async_wait([self = shared_from_this()](boost::system::error_code error) {
      if (!error) self->start();
    });
    return;
  }
  std::cerr << "myrtlegrade: fleet: " << config_.settings.fleet << ", at " << to_text(config_.bind)
            << ", reached at " << to_text(config_.advertise) << std::endl;
  await_datagrams();
  spawn(executor_, accept());
  turn();
}

void Fleet::leave() {
  if (stopped_) return;
  members_->leave(now());
  if (datagrams_.is_open()) turn();
  stop();
}

void Fleet::stop() {
  if (std::exchange(stopped_, true)) return;
  boost::system::error_code ignored;
  datagrams_.close(ignored);
  streams_.close(ignored);
  timer_.cancel();
  retry_.cancel();
  for (const Stream& s : served_) s->close();
  if (asking_) asking_->close();
}

void Fleet::reseed(std::vector<membership::Address> seeds) {
  if (stopped_) return;
  members_->reseed(now(), std::move(seeds));
  turn();
}

// What others hear must not be newer than what this relay knows after a crash.
void Fleet::turn() {
  if (stopped_ || !datagrams_.is_open()) return;
  if (members_->incarnation() != identity_.incarnation() && !identity_.save(members_->incarnation())) {
    std::cerr << "myrtlegrade: fleet: the incarnation can't be written; a restart learns it from others"
              << std::endl;
  }
  for (const membership::Datagram& d : members_->take_datagrams()) {
    boost::system::error_code error;
    datagrams_.send_to(asio::buffer(d.bytes), {ip_of(d.to), d.to.port}, 0, error);
    if (error) ++unsent_;
  }
  for (membership::StreamRequest& a : members_->take_stream_requests()) spawn(executor_, ask(std::move(a)));
  for (const membership::ViewEvent& c : members_->take_view_events()) log(c);
  arm();
  if (on_change_ && std::exchange(told_version_, members_->version()) != members_->version())
    on_change_(*members_);
}

void Fleet::publish(std::uint32_t version, std::string bytes) {
  if (stopped_) return;
  members_->publish(now(), version, std::move(bytes));
  turn();
}

void Fleet::on_change(std::function<void(const membership::Membership&)> told) {
  on_change_ = std::move(told);
  on_change_(*members_);
}

void Fleet::log(const membership::ViewEvent& c) {
  const auto at = SteadyClock::now();
  if (at > lines_from_ + 10s) {
    if (lines_left_out_ > 0)
      std::cerr << "myrtlegrade: fleet: " << lines_left_out_ << " lines more" << std::endl;
    lines_from_ = at;
    lines_ = lines_left_out_ = 0;
  }
  if (++lines_ > kMostLines) {
    ++lines_left_out_;
    return;
  }
  std::cerr << "myrtlegrade: fleet: " << c.member << (c.member.empty() ? "" : " ") << c.description
            << std::endl;
}

void Fleet::arm() {
  const membership::Time at = members_->next_wake();
  if (at == membership::Time::max()) return;
  timer_.expires_at(SteadyClock::time_point(at.time_since_epoch()));
  timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
    if (error || self->stopped_) return;
    self->members_->wake(now());
    self->turn();
  });
}

void Fleet::await_datagrams() {
  datagrams_.async_wait(udp::socket::wait_read, [self = shared_from_this()](boost::system::error_code error) {
    if (error || self->stopped_) return;
    for (int n = 0; n < kDatagramsATurn; ++n) {
      udp::endpoint from;
      boost::system::error_code none;
      const std::size_t size = self->datagrams_.receive_from(asio::buffer(self->buffer_), from, 0, none);
      if (none == asio::error::would_block || none == asio::error::try_again) break;
      if (none) continue;  // a port that nobody listens at said so: the probe finds that by itself
      self->members_->receive(now(), {from.address().to_v4().to_uint(), from.port()},
                              {self->buffer_.data(), size});
    }
    self->turn();
    self->await_datagrams();
  });
}

asio::awaitable<void> Fleet::accept() {
  const auto self = shared_from_this();
  while (!stopped_) {
    auto [error, socket] = co_await accept_next(StreamUse::fleet, streams_);
    if (stopped_) co_return;
    if (error) {
      retry_.expires_after(kAddressAgain);
      co_await retry_.async_wait(kAwait);
      continue;
    }
    if (served_.size() >= kFleetStreams) continue;  // closed: who asks comes again
    spawn(executor_,
          serve(served_.emplace_back(std::make_shared<boost::beast::tcp_stream>(std::move(socket)))));
  }
}

asio::awaitable<void> Fleet::serve(Stream stream) {
  const auto self = shared_from_this();
  stream->expires_after(kStreamWithin);
  const auto frame = co_await read_frame(*stream);
  if (frame && !stopped_) {
    const std::string reply = members_->serve(now(), *frame);
    turn();
    const std::string bytes = framed(reply);
    if (!reply.empty()) (void)co_await write_all(StreamUse::fleet, *stream, bytes);
  }
  stream->close();
  served_.remove(stream);
}

asio::awaitable<void> Fleet::ask(membership::StreamRequest a) {
  const auto self = shared_from_this();
  const auto stream = std::make_shared<boost::beast::tcp_stream>(executor_);
  asking_ = stream;
  stream->expires_after(kStreamWithin);
  boost::system::error_code error;
  // From its own address, so that others and what lies between know whom it is from.
  stream->socket().open(tcp::v4(), error);
  if (!error) stream->socket().bind({ip_of(config_.bind), 0}, error);
  std::optional<std::string> reply;
  if (!error) {
    const auto [refused] = co_await stream->async_connect({ip_of(a.to), a.to.port}, kAwait);
    if (!refused) {
      const std::string bytes = framed(a.frame);
      const auto cut = co_await write_all(StreamUse::fleet, *stream, bytes);
      if (!cut) reply = co_await read_frame(*stream);
    }
  }
  stream->close();
  if (asking_ == stream) asking_ = nullptr;
  if (stopped_) co_return;
  if (reply) {
    members_->on_response(now(), a.token, *reply);
  } else {
    members_->on_request_failed(now(), a.token);
  }
  turn();
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
