#include "hollow.h"

#include <time.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <stdexcept>

#include "discovery_standin.h"
#include "host.h"
#include "relay/coroutine.h"
#include "relay/fleet_stream.h"

namespace valedrum::lab::scale {

using asio::ip::tcp;
using asio::ip::udp;
using membership::MessageKind;
using myrtlegrade::framed;
using myrtlegrade::read_frame;
using myrtlegrade::spawn;
using namespace std::chrono_literals;

namespace {

// As relay/fleet.cpp has them.
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr int kDatagramsATurn = 32;
constexpr auto kStreamWithin = 3s;
constexpr std::size_t kStreams = 8;

std::int64_t thread_cpu_ns() {
  timespec t{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return t.tv_sec * 1'000'000'000LL + t.tv_nsec;
}

udp::endpoint endpoint(const membership::Address& a) { return {asio::ip::address_v4(a.ip), a.port}; }

}  // namespace

// Processor time within its life is this member's.
class Hollow::Spent {
 public:
  explicit Spent(Hollow& of) : of_(of), from_(thread_cpu_ns()) {}
  ~Spent() { of_.figures_.cpu_ns += thread_cpu_ns() - from_; }
  Spent(const Spent&) = delete;
  Spent& operator=(const Spent&) = delete;

 private:
  Hollow& of_;
  std::int64_t from_;
};

void add(membership::Counters& to, const membership::Counters& c) {
  to.probes += c.probes;
  to.failed_probes += c.failed_probes;
  to.indirect_probe_requests += c.indirect_probe_requests;
  to.suspicions += c.suspicions;
  to.refutations += c.refutations;
  to.deaths += c.deaths;
  to.exchanges += c.exchanges;
  to.failed_exchanges += c.failed_exchanges;
  to.stalls += c.stalls;
}

Hollow::Hollow(Host& host, std::uint32_t number)
    : host_(host),
      number_(number),
      datagrams_(host.context()),
      streams_(host.context()),
      timer_(host.context()) {
  figures_.whole = false;
}

membership::Time Hollow::now() const { return membership::Time(ahead_ + host_.at()); }

void Hollow::create() {
  const Plan& plan = host_.plan();
  const Member& member = plan.members[number_];
  membership::Record self;
  self.name = member.name;
  self.machine = numbered('m', number_);
  self.zone = numbered('z', member.zone);
  self.instance = plan.instance(number_, ++start_);
  self.stamp.incarnation = ++incarnation_;
  self.address = host_.addresses().of(number_);
  membership::Settings settings = plan.settings();
  settings.seeds = host_.seeds(number_);
  members_.emplace(std::move(settings), std::move(self), mixed(plan.instance(number_, start_), 1), now());
  if (plan.spec.fleet.published > 0)
    members_->publish(now(), kPublishedFormat, std::string(plan.spec.fleet.published, 'p'));
}

void Hollow::warm() {
  create();
  const Plan& plan = host_.plan();
  membership::Time at = now();
  membership::Message news;  // all others, as one that has met them tells it
  news.kind = MessageKind::push;
  news.fleet = plan.settings().fleet;
  news.sender = "warm";
  std::vector<std::string> others = host_.records();
  others.erase(others.begin() + number_);
  members_->serve(at, encode(news, others));
  const auto quiet = [&] { return members_->joined() && !members_->others().has_pending_updates(); };
  const auto answer = [&](const membership::Datagram& d) {
    if (static_cast<MessageKind>(d.bytes[3]) != MessageKind::ping) return;
    const auto read = membership::decode(d.bytes, members_->self().name.size() + (1U << 16));
    const auto& ping = std::get<membership::Message>(read);
    membership::Message ack;
    ack.kind = MessageKind::ack;
    ack.fleet = ping.fleet;
    ack.sender = ack.target = ping.target;
    ack.nonce = ping.nonce;
    ack.digest = members_->digest();
    const std::uint32_t number = d.to.ip - host_.addresses().of(0).ip;
    ack.instance = plan.instance(number, 1);
    ack.stamp = members_->others().find(ping.target)->record.stamp;
    members_->receive(at, d.to, encode(ack));
  };
  // Two more periods after the last news, for its own record.
  for (membership::Time until = membership::Time::max(); at < until;) {
    for (const membership::StreamRequest& a : members_->take_stream_requests()) {
      membership::Message view;
      view.kind = MessageKind::view;
      view.fleet = news.fleet;
      view.sender = news.sender;
      view.nonce = a.token;
      members_->on_response(at, a.token, encode(view));
    }
    for (const membership::Datagram& d : members_->take_datagrams()) answer(d);
    members_->take_view_events();
    if (quiet() && until == membership::Time::max()) until = at + plan.settings().probe_interval * 2;
    at = std::max(at, members_->next_wake());
    members_->wake(at);
  }
  ahead_ = at.time_since_epoch();
  figures_ = {};
}

void Hollow::open() {
  const asio::ip::address_v4 ip(host_.addresses().of(number_).ip);
  try {
    datagrams_ = udp::socket(host_.context(), udp::endpoint(ip, kPort));
    datagrams_.non_blocking(true);
    streams_ = tcp::acceptor(host_.context(), tcp::endpoint(ip, kPort));
  } catch (const boost::system::system_error& e) {
    throw std::runtime_error(ip.to_string() + ": " + e.code().message());
  }
  open_ = true;
}

void Hollow::start() {
  if (open_) return;
  const Spent spent(*this);
  if (!members_) create();
  open();
  await_datagrams();
  spawn(host_.context().get_executor(), accept());
  watch();
  turn();
}

void Hollow::stop() {
  figures_.whole = false;
  if (!members_) return;
  add(over_, members_->counters());
  incarnation_ = members_->incarnation();
  members_.reset();
  open_ = false;
  boost::system::error_code ignored;
  datagrams_.close(ignored);
  streams_.close(ignored);
  timer_.cancel();
  for (const Stream& s : served_) s->close();
}

void Hollow::kill() { stop(); }

void Hollow::leave() {
  if (!members_) return;
  members_->leave(now());
  for (const membership::Datagram& d : members_->take_datagrams()) {
    count(d.bytes);
    send_now(d.to, d.bytes);
  }
  stop();
}

View Hollow::view() const {
  View view{members_->others().live_count(),
            members_->others().suspect_count(),
            members_->digest(),
            members_->joined(),
            members_->local_health_score(),
            {}};
  for (const auto& [name, entry] : members_->others().entries()) {
    const membership::Record& record = entry.record;
    if (record.state < membership::State::suspect) continue;
    view.not_alive.push_back({name, record.state, now() - entry.state_since, record.accusers.size()});
  }
  return view;
}

membership::Counters Hollow::counters() const {
  membership::Counters all = over_;
  if (members_) add(all, members_->counters());
  return all;
}

Figures Hollow::take_figures() {
  Figures taken = std::exchange(figures_, {});
  figures_.whole = up();
  return taken;
}

void Hollow::count(std::string_view bytes, const membership::Address* to) {
  const auto kind = static_cast<std::size_t>(bytes[3]);
  ++figures_.sent[kind];
  figures_.sent_bytes[kind] += bytes.size();
  if (to && !host_.hollow(*to)) figures_.to_relays_bytes += bytes.size();
  const std::int64_t second = host_.at() / 1s;
  if (std::exchange(second_, second) != second) second_bytes_ = 0;
  second_bytes_ += bytes.size();
  figures_.most_bytes = std::max(figures_.most_bytes, second_bytes_);
}

void Hollow::send_now(const membership::Address& to, const std::string& bytes) {
  if (!open_) return;
  const Spent spent(*this);
  boost::system::error_code ignored;  // a full buffer is a loss
  datagrams_.send_to(asio::buffer(bytes), endpoint(to), 0, ignored);
}

void Hollow::turn() {
  if (!up()) return;
  for (membership::Datagram& d : members_->take_datagrams()) {
    count(d.bytes, &d.to);
    host_.send(shared_from_this(), number_, std::move(d));
  }
  for (membership::StreamRequest& a : members_->take_stream_requests()) {
    count(a.frame, &a.to);
    spawn(host_.context().get_executor(), ask(std::move(a)));
  }
  members_->take_view_events();
  const membership::Table& others = members_->others();
  const bool changed = others.live_count() != live_ || others.suspect_count() != suspects_;
  if (changed) {
    live_ = others.live_count();
    suspects_ = others.suspect_count();
    figures_.view_at = seconds(host_.at());
  }
  arm();
}

void Hollow::arm() {
  const membership::Time at = members_->next_wake();
  if (at == membership::Time::max()) return;
  timer_.expires_after(std::max(membership::Duration(0), at - now()));
  timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
    if (error || !self->up()) return;
    const Spent spent(*self);
    self->members_->wake(self->now());
    self->turn();
  });
}

void Hollow::await_datagrams() {
  datagrams_.async_wait(
      udp::socket::wait_read, [self = shared_from_this(), start = start_](boost::system::error_code error) {
        if (error || !self->up() || self->start_ != start) return;
        const Spent spent(*self);
        static thread_local std::array<char, 1U << 16> buffer;
        for (int n = 0; n < kDatagramsATurn; ++n) {
          udp::endpoint from;
          boost::system::error_code none;
          const std::size_t size = self->datagrams_.receive_from(asio::buffer(buffer), from, 0, none);
          if (none == asio::error::would_block || none == asio::error::try_again) break;
          if (none) continue;
          const membership::Address sender{from.address().to_v4().to_uint(), from.port()};
          if (self->host_.cut(self->number_, sender)) continue;  // real relays send without the day's links
          ++self->figures_.received;
          self->figures_.received_bytes += size;
          if (!self->host_.hollow(sender)) self->figures_.from_relays_bytes += size;
          self->members_->receive(self->now(), sender, {buffer.data(), size});
        }
        self->turn();
        self->await_datagrams();
      });
}

void Hollow::watch() {
  const std::uint32_t of = standins(host_.plan());
  if (of == 0) return;
  const auto self = shared_from_this();
  const auto taken = [self, since = host_.at()](std::int64_t version, std::size_t bytes) {
    const Duration now = self->host_.at();
    self->figures_.list_bytes += bytes;
    if (version == 1) self->figures_.list_within = seconds(now - since);
    if (version < 2) return;
    const Duration made = self->host_.plan().changes[static_cast<std::size_t>(version - 2)];
    // What was made before it ran is part of its first list.
    if (made > since) self->figures_.changes_us.push_back((now - made).count());
  };
  spawn(host_.context().get_executor(),
        watch_list(
            {asio::ip::address_v4(host_.addresses().of(number_).ip), 0},
            host_.addresses().discovery(number_ % of),
            [self, start = start_] { return self->up() && self->start_ == start; }, taken));
}

asio::awaitable<void> Hollow::accept() {
  const auto self = shared_from_this();
  const unsigned start = start_;
  while (up() && start_ == start) {
    auto [error, socket] = co_await streams_.async_accept(kAwait);
    if (error || !up() || start_ != start) co_return;
    if (served_.size() >= kStreams) continue;
    spawn(host_.context().get_executor(),
          serve(served_.emplace_back(std::make_shared<boost::beast::tcp_stream>(std::move(socket)))));
  }
}

asio::awaitable<void> Hollow::serve(Stream stream) {
  const auto self = shared_from_this();
  const unsigned start = start_;
  stream->expires_after(kStreamWithin);
  const auto frame = co_await read_frame(*stream);
  if (frame && up() && start_ == start) {
    std::string reply;
    {
      const Spent spent(*this);
      figures_.received_bytes += frame->size();
      reply = members_->serve(now(), *frame);
      if (!reply.empty()) count(reply);
      turn();
    }
    if (!reply.empty()) (void)co_await asio::async_write(*stream, asio::buffer(framed(reply)), kAwait);
  }
  stream->close();
  served_.remove(stream);
}

asio::awaitable<void> Hollow::ask(membership::StreamRequest a) {
  const auto self = shared_from_this();
  const unsigned start = start_;
  asio::steady_timer way(host_.context());
  std::optional<std::string> reply;
  if (host_.cut_stream(number_, a.to)) {
    way.expires_after(kStreamWithin);
    (void)co_await way.async_wait(kAwait);
  } else {
    // Connected, and the frame; then the answer's way.
    way.expires_after(host_.way(number_, a.to) * 3);
    (void)co_await way.async_wait(kAwait);
    boost::beast::tcp_stream stream(host_.context());
    stream.expires_after(kStreamWithin);
    boost::system::error_code error;
    stream.socket().open(tcp::v4(), error);
    if (!error) stream.socket().bind({asio::ip::address_v4(host_.addresses().of(number_).ip), 0}, error);
    if (!error) {
      const auto [refused] =
          co_await stream.async_connect({asio::ip::address_v4(a.to.ip), a.to.port}, kAwait);
      if (!refused) {
        const auto [cut, sent] = co_await asio::async_write(stream, asio::buffer(framed(a.frame)), kAwait);
        if (!cut) reply = co_await read_frame(stream);
      }
    }
    way.expires_after(host_.way(number_, a.to));
    (void)co_await way.async_wait(kAwait);
  }
  if (!up() || start_ != start) co_return;
  const Spent spent(*this);
  if (reply) {
    figures_.received_bytes += reply->size();
    members_->on_response(now(), a.token, *reply);
  } else {
    members_->on_request_failed(now(), a.token);
  }
  turn();
}

}  // namespace valedrum::lab::scale
