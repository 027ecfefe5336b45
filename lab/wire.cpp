#include "wire.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace valedrum::lab {

using asio::ip::tcp;
using asio::ip::udp;
using namespace std::chrono_literals;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Duration kLook = 20ms;  // whether a cut that holds up a stream has healed
constexpr Duration kHolds = 10s;  // then what is held up is over: both ends gave it up long ago

}  // namespace

Wire::Wire(asio::io_context& context, const Day& day, std::vector<Place> places, std::uint16_t port)
    : context_(context), port_(port), links_(day), places_(std::move(places)) {
  for (std::uint32_t p = 0; p < places_.size(); ++p) {
    Port& at = *ports_.emplace_back(std::make_unique<Port>(context));
    at.datagrams.open(udp::v4());
    at.datagrams.bind({places_[p].advertised, port_});
    at.datagrams.non_blocking(true);
    at.streams = tcp::acceptor(context, {places_[p].advertised, port_});
    receive(p);
    asio::co_spawn(context_, accept(p), asio::detached);
  }
}

std::uint32_t Wire::whose(const asio::ip::address& a) const {
  const auto found =
      std::ranges::find_if(places_, [&](const Place& p) { return a == asio::ip::address(p.own); });
  return static_cast<std::uint32_t>(found - places_.begin());
}

Time Wire::now() {
  return Time(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

void Wire::later(Duration span, std::function<void()> what) {
  const auto timer = std::make_shared<asio::steady_timer>(context_, span);
  timer->async_wait([timer, what = std::move(what)](boost::system::error_code error) {
    if (!error) what();
  });
}

void Wire::receive(std::uint32_t to) {
  Port& port = *ports_[to];
  port.datagrams.async_receive_from(asio::buffer(port.buffer), port.from,
                                    [this, to, &port](boost::system::error_code error, std::size_t size) {
                                      if (error == asio::error::operation_aborted) return;
                                      const std::uint32_t from =
                                          error ? static_cast<std::uint32_t>(places_.size())
                                                : whose(port.from.address());
                                      if (from < places_.size())
                                        forward(from, to, std::string(port.buffer.data(), size));
                                      receive(to);
                                    });
}

// The other sees the address that the sender advertises.
void Wire::forward(std::uint32_t from, std::uint32_t to, const std::string& bytes) {
  ++datagrams_;
  bytes_ += bytes.size();
  const Links::Fate fate = links_.of_datagram(places_[from].relay, places_[to].relay, bytes.size(), now());
  if (fate.lost) {
    ++lost_;
    return;
  }
  const auto goes = [this, from, to, sent = fate.spoilt ? links_.spoil(bytes) : bytes] {
    boost::system::error_code ignored;
    ports_[from]->datagrams.send_to(asio::buffer(sent), {places_[to].own, port_}, 0, ignored);
  };
  const Duration way = links_.way(places_[from].relay, places_[to].relay) + fate.delay;
  later(way, goes);
  if (fate.twice) later(way + fate.again, goes);
}

asio::awaitable<void> Wire::accept(std::uint32_t to) {
  while (true) {
    auto [error, socket] = co_await ports_[to]->streams.async_accept(kAwait);
    if (error == asio::error::operation_aborted) co_return;
    if (error) continue;
    boost::system::error_code gone;
    const std::uint32_t from = whose(socket.remote_endpoint(gone).address());
    if (gone || from >= places_.size()) continue;
    ++streams_;
    asio::co_spawn(context_, carry(from, to, std::make_shared<tcp::socket>(std::move(socket))),
                   asio::detached);
  }
}

asio::awaitable<void> Wire::carry(std::uint32_t from, std::uint32_t to, Stream in) {
  const auto out = std::make_shared<tcp::socket>(context_);
  const auto [error] = co_await out->async_connect({places_[to].own, port_}, kAwait);
  if (error) {
    boost::system::error_code ignored;
    in->set_option(asio::socket_base::linger(true, 0), ignored);
    in->close(ignored);  // as where no process listens
    co_return;
  }
  const bool breaks = links_.breaks_stream();
  asio::co_spawn(context_, pump(to, from, out, in, false), asio::detached);
  co_await pump(from, to, in, out, breaks);
}

// One direction. What a cut holds up stays where it is; one that breaks stops half-way through what it
// carries.
asio::awaitable<void> Wire::pump(std::uint32_t from, std::uint32_t to, Stream in, Stream out, bool breaks) {
  std::array<char, 16384> bytes;
  asio::steady_timer timer(context_);
  const std::uint32_t a = places_[from].relay, b = places_[to].relay;
  while (true) {
    const auto [error, size] = co_await in->async_read_some(asio::buffer(bytes), kAwait);
    if (error) break;
    timer.expires_after(links_.way(a, b) + links_.slow() + links_.queued(a, b, size, now()));
    co_await timer.async_wait(kAwait);
    Duration held{};
    for (; links_.cut(a, b) && held < kHolds; held += kLook) {
      timer.expires_after(kLook);
      co_await timer.async_wait(kAwait);
    }
    if (held >= kHolds) break;
    const auto [failed, sent] =
        co_await asio::async_write(*out, asio::buffer(bytes.data(), breaks ? (size + 1) / 2 : size), kAwait);
    if (failed) break;
    if (!breaks) continue;
    timer.expires_after(kHolds);
    co_await timer.async_wait(kAwait);
    break;
  }
  boost::system::error_code ignored;
  out->shutdown(tcp::socket::shutdown_send, ignored);
}

}  // namespace valedrum::lab
