// Endpoints as a relay meets them: the emulator's model behind sockets.
#include <sys/socket.h>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "drive_parts.h"

namespace valedrum::lab {

namespace json = boost::json;
using namespace std::chrono_literals;
using namespace asio::experimental::awaitable_operators;
using vetchhinge::Result;

namespace {

constexpr std::size_t kMostBody = 2 << 20;  // ten messages of 64 KiB in Base64, and some
constexpr Duration kQuick = 5ms;

// Whether the relay has closed this connection by now, read or not.
bool closed_by_peer(tcp::socket& socket) {
  char byte = 0;
  const ssize_t n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::optional<std::uint32_t> number_of(std::string_view id) {
  if (id.size() != 16 || id.find_first_not_of("0123456789abcdef") != std::string_view::npos)
    return std::nullopt;
  return static_cast<std::uint32_t>(std::stoull(std::string(id), nullptr, 16));
}

}  // namespace

void Drive::listen(std::uint32_t host) {
  Standin& h = *hosts_[host];
  auto acceptor = std::make_unique<tcp::acceptor>(context_);
  acceptor->open(tcp::v4());
  acceptor->set_option(tcp::acceptor::reuse_address(true));
  acceptor->bind(h.address);
  acceptor->listen();
  h.address = acceptor->local_endpoint();  // the same after an outage
  h.acceptor = std::move(acceptor);
  go(accept(host));
}

asio::awaitable<void> Drive::accept(std::uint32_t host) {
  Standin& h = *hosts_[host];
  for (tcp::acceptor* const own = h.acceptor.get();;) {
    boost::system::error_code error;
    tcp::socket socket = co_await own->async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error || h.acceptor.get() != own) co_return;
    socket.set_option(tcp::no_delay(true), error);
    auto session = std::make_shared<Session>(std::move(socket));
    h.sessions.insert(session);
    ++counts_.connections;
    go(serve(host, std::move(session)));
  }
}

asio::awaitable<void> Drive::serve(std::uint32_t host, std::shared_ptr<Session> session) {
  boost::beast::flat_buffer buffer;
  const Duration idle = span(day_.scenario.fleet.connection_idle);
  for (bool goes_on = true; goes_on;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMostBody);
    boost::system::error_code error;
    asio::steady_timer timer(context_, idle);  // connections that lie idle are closed
    timer.async_wait([weak = std::weak_ptr(session)](boost::system::error_code waited) {
      boost::system::error_code ignored;
      if (const auto s = weak.lock(); s && !waited && s->messages.empty()) s->socket.close(ignored);
    });
    co_await http::async_read(session->socket, buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    timer.cancel();
    if (error) break;
    goes_on = co_await call(host, session, parser.release());
  }
  boost::system::error_code ignored;
  session->socket.close(ignored);
  hosts_[host]->sessions.erase(session);
}

// True if the relay closed the connection before that; the work goes on all the same.
asio::awaitable<bool> Drive::closed_within(std::shared_ptr<Session> session, Duration span) {
  boost::system::error_code timer_error, socket_error;
  asio::steady_timer timer(context_, span);
  const auto first =
      co_await (timer.async_wait(asio::redirect_error(asio::use_awaitable, timer_error)) ||
                session->socket.async_wait(tcp::socket::wait_read,
                                           asio::redirect_error(asio::use_awaitable, socket_error)));
  co_return first.index() == 1 && (socket_error || closed_by_peer(session->socket));
}

// A message whose earlier call's connection is closed, though nobody has looked at it yet, is not out twice.
void Drive::forget_closed(std::uint32_t message) {
  Message& m = messages_.at(message);
  const std::shared_ptr<Session> earlier = m.out.lock();
  if (!earlier || earlier->messages.empty() || !closed_by_peer(earlier->socket)) return;
  ended(m.attempt_host, *earlier, Result::timed_out, {});
}

// The call's outcome, as the relay will see it.
void Drive::ended(std::uint32_t host, Session& session, Result result, Duration wait) {
  if (session.messages.empty()) return;
  clients_.count(result);
  for (const std::uint32_t id : std::exchange(session.messages, {})) {
    Message& m = messages_.at(id);
    m.out.reset();
    if (m.orphan) continue;
    if (result == Result::delivered) m.delivered = true;
    see({.what = What::outcome,
         .relay = m.sender,
         .message = id,
         .host = host,
         .attempt = m.attempts - 1,
         .result = result,
         .span = wait,
         .terminal = m.over});
    if (result == Result::delivered && m.sender != m.relay) ++result_.copies.delivered_by_heirs;
    if (result == Result::delivered) delivered(id);
  }
}

asio::awaitable<bool> Drive::answer(std::uint32_t host, std::shared_ptr<Session> session, unsigned status,
                                    Result result, Duration wait, bool bulk) {
  http::response<http::string_body> response(http::int_to_status(status), 11);
  const std::uint32_t partner = day_.endpoints[host].partner;
  if (wait > 0us) response.set("X-RateLimit-Wait-Ms", std::to_string(wait / 1ms));
  if (const auto report = partners_[partner].report(now())) {
    response.set("X-Server-Load",
                 json::serialize(json::object{{"x0", report->share_left}, {"x1", report->calls_per_second}}));
  }
  if (bulk && status == 200) {
    json::array states;
    for (const std::uint32_t id : session->messages)
      states.push_back({{"id", id_text(id)}, {"state", "done"}});
    response.body() = json::serialize(states);
  }
  response.prepare_payload();
  ended(host, *session, result, wait);
  boost::system::error_code error;
  co_await http::async_write(session->socket, response, asio::redirect_error(asio::use_awaitable, error));
  co_return !error;
}

asio::awaitable<bool> Drive::call(std::uint32_t host, std::shared_ptr<Session> session, HttpRequest request) {
  Standin& h = *hosts_[host];
  const std::string target(request.target());
  const bool bulk = target == "/inbox/bulk";
  std::vector<std::uint32_t> ids;
  if (bulk) {
    boost::system::error_code error;
    const json::value all = json::parse(request.body(), error);
    for (std::size_t i = 0; !error && all.is_array() && i < all.as_array().size(); ++i) {
      const json::value* id =
          all.as_array()[i].is_object() ? all.as_array()[i].as_object().if_contains("id") : nullptr;
      if (id && id->is_string()) ids.push_back(number_of(id->as_string()).value_or(0));
    }
  } else {
    const auto id = request["X-Request-ID"];
    ids.push_back(number_of({id.data(), id.size()}).value_or(0));
  }
  const bool known = (bulk || target == "/inbox") && !ids.empty() &&
                     std::ranges::all_of(ids, [&](std::uint32_t id) { return messages_.contains(id); });
  if (!known) {
    see({.what = What::sent, .message = ids.empty() ? 0 : ids.front(), .host = host});  // no client sent it
    co_return co_await answer(host, session, 400, Result::error, {}, false);
  }
  const Message& only = messages_.at(ids.front());
  if (!bulk && only.over && !only.delivered) {  // nothing more is owed, and it does not run
    co_return co_await answer(host, session, 410, Result::not_sent, {}, false);
  }
  const std::uint32_t relay = sender_of(request, messages_.at(ids.front()).relay);
  const std::uint32_t zone = day_.relays[relay].zone, there = day_.endpoints[host].zone;
  const std::uint32_t partner = day_.endpoints[host].partner;
  if (zone != there) counts_.cross_zone += ids.size();
  double work = 0;
  for (const std::uint32_t id : ids) {
    forget_closed(id);
    Message& m = messages_.at(id);
    // Its 200 was written, and not heard: what may be repeated is answered once more, and does no harm.
    const auto effect = day_.scenario.classes[clients_[m.request].cls].effect;
    if (m.delivered && effect == vetchhinge::Effect::idempotent) m.orphan = true;
    // Its time was up, or its relay had given it up, while this call was under way: nothing comes of it.
    if (m.over && !m.delivered) m.orphan = true;
    m.attempt_host = host;
    m.out = session;
    m.sender = relay;
    if (relay != m.relay) {
      ++result_.copies.sent_by_heirs;
      if (result_.copies.first_call < 0 && last_loss_ != Time::min())
        result_.copies.first_call = seconds(now() - last_loss_);
    }
    if (m.attempts++ > 0) ++counts_.repeats;
    const double own = clients_.work(m.request, m.attempts - 1, id != ids.front());
    if (m.attempts == 1) clients_.work_asked += own;
    work += own;
    if (!m.orphan)
      see({.what = What::sent, .relay = relay, .message = id, .host = host, .attempt = m.attempts - 1});
  }
  session->messages = ids;
  const auto gone = [&]() -> asio::awaitable<bool> {  // nothing is said: it lasts until the relay gives up
    while (!session->messages.empty() && !co_await closed_within(session, 1s)) {
    }
    ended(host, *session, Result::timed_out, {});
    co_return false;
  };
  const auto reset = [&] {
    ended(host, *session, Result::reset, {});
    boost::system::error_code ignored;
    session->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    session->socket.close(ignored);
    return false;
  };
  const Duration way = span(day_.latency[zone][there]);
  if (co_await closed_within(session, way)) {
    ended(host, *session, Result::timed_out, {});
    co_return false;
  }
  if (cuts_[zone][there] > 0 || network_.chance(loss_) || h.endpoint.health() == Health::silent)
    co_return co_await gone();
  if (!session->socket.is_open()) co_return false;
  if (network_.chance(resets_)) co_return reset();
  const Time came = now();
  if (!messages_.at(ids.front()).orphan)
    see({.what = What::arrived, .relay = relay, .message = ids.front(), .host = host});
  if (h.endpoint.overloaded(came, 1)) {
    fall_over(host);
    co_return false;
  }
  if (h.endpoint.health() == Health::hung) co_return co_await gone();
  if (h.endpoint.failing) {
    co_await sleep(kQuick + way);
    co_return co_await answer(host, session, 500, Result::error, {}, bulk);
  }
  const bool admitted = partners_[partner].admit(came);
  const std::optional<Time> done = admitted ? h.endpoint.serve(came, work) : std::nullopt;
  if (!done) {
    const Duration wait =
        admitted ? Duration{} : std::chrono::floor<std::chrono::milliseconds>(partners_[partner].wait(came));
    if (co_await closed_within(session, way)) {
      ended(host, *session, Result::full, {});
      co_return false;
    }
    co_return co_await answer(host, session, wait > 0us ? 429 : 503, Result::full, wait, bulk);
  }
  const std::uint32_t incarnation = h.endpoint.incarnation();
  const bool closed = co_await closed_within(session, *done - came);
  if (closed) ended(host, *session, Result::timed_out, {});
  co_await sleep_until(*done);                    // what is given up on runs on
  if (incarnation != h.endpoint.incarnation()) {  // it died: with a word on its connections, or without
    co_return session->messages.empty() ? false : co_await gone();
  }
  bool useful = false;
  for (const std::uint32_t id : ids) {
    const Message& m = messages_.at(id);
    if (!m.orphan) see({.what = What::executed, .relay = relay, .message = id, .host = host});
    useful |= !closed && !clients_[m.request].over;
  }
  const bool spoilt = h.endpoint.spoilt > 0 && network_.chance(h.endpoint.spoilt);
  if (!useful || spoilt) clients_.work_wasted += work;
  if (closed) co_return false;
  if (cuts_[there][zone] > 0 || network_.chance(loss_)) co_return co_await gone();
  if (co_await closed_within(session, way)) {
    ended(host, *session, Result::timed_out, {});
    co_return false;
  }
  if (spoilt) {
    ended(host, *session, Result::error, {});
    boost::system::error_code error;
    co_await asio::async_write(session->socket, asio::buffer("HTTP/1.1 2x0 ?\r\n\r\n", 18),
                               asio::redirect_error(asio::use_awaitable, error));
    co_return false;
  }
  co_return co_await answer(host, session, 200, Result::delivered, {}, bulk);
}

void Drive::fall_over(std::uint32_t host) {
  ++counts_.fell_over;
  see({.what = What::fell_over, .host = host});
  set_health(host, Health::refusing);
  go([](Drive* self, std::uint32_t h) -> asio::awaitable<void> {
    co_await self->sleep(span(self->day_.scenario.fleet.falls_for));
    if (self->hosts_[h]->endpoint.health() == Health::refusing) self->set_health(h, Health::up);
  }(this, host));
}

void Drive::set_health(std::uint32_t host, Health health) {
  Standin& h = *hosts_[host];
  const Health before = h.endpoint.health();
  if (before == health || over_) return;
  h.endpoint.set_health(health, now());
  if (before == Health::up) see({.what = What::host_down, .host = host});
  if (health == Health::up) see({.what = What::host_back, .host = host});
  if (health == Health::refusing) h.acceptor.reset();
  if (health == Health::refusing || (health == Health::up && before == Health::silent)) {
    for (const auto& session : std::set(h.sessions)) {  // its process is gone, and says so
      ended(host, *session, Result::reset, {});
      boost::system::error_code ignored;
      session->socket.set_option(asio::socket_base::linger(true, 0), ignored);
      session->socket.close(ignored);
    }
  }
  if (health == Health::up && !h.acceptor) listen(host);
}

}  // namespace valedrum::lab
