// Clients beside their relays, and the directory's agents.
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <sstream>

#include "drive_parts.h"

namespace valedrum::lab {

namespace json = boost::json;
using namespace std::chrono_literals;
using namespace asio::experimental::awaitable_operators;
using vetchhinge::HostState;

namespace {

constexpr Duration kClientWaits = 400ms;  // for the answer to a hand-in
constexpr Duration kEmptyLine = 2s;       // on a watch on which nothing changes
constexpr Duration kAgentLook = 20ms;
constexpr std::size_t kBody = 212;

std::string_view state_text(HostState state) {
  return state == HostState::running ? "SERVING" : state == HostState::draining ? "DRAINING" : "DELETED";
}

}  // namespace

// -------------------------------------------------------------------------------------------- clients

asio::awaitable<void> Drive::send_messages() {
  for (std::optional<Arrival> next = traffic_.next(); next && !over_; next = traffic_.next()) {
    co_await sleep_until(next->at);
    if (over_) co_return;
    go(hand_in(clients_.add(*next), next->relay));
  }
}

asio::awaitable<void> Drive::hand_in_later(std::uint32_t request, Duration after, bool elsewhere) {
  if (now() + after >= clients_.until(request)) {
    clients_.failed(request, true, now());
    co_return;
  }
  co_await sleep(after);
  if (over_) co_return;
  const std::uint32_t own = clients_[request].relay;
  co_await hand_in(request, elsewhere && !relays_[own].up ? live_relay() : own);
}

std::uint32_t Drive::live_relay() {
  const auto n = static_cast<std::uint32_t>(relays_.size());
  const std::uint32_t from = clients_.random().below(n);
  for (std::uint32_t i = 0; i < n; ++i) {
    if (relays_[(from + i) % n].up) return (from + i) % n;
  }
  return from;
}

asio::awaitable<void> Drive::hand_in(std::uint32_t request, std::uint32_t relay) {
  if (clients_[request].over || over_) co_return;
  RelayProcess& node = relays_[relay];
  const Duration again = clients_.again();
  // New connections go elsewhere; the open ones are used until the process is killed.
  const bool only_kept = !node.up;
  if (only_kept && (!node.to_end || node.idle.empty()))
    co_return co_await hand_in_later(request, again, true);
  const unsigned start = node.start;
  Clients::Request& r = clients_[request];
  ++r.tries;
  r.relay = relay;
  const std::uint32_t id = ++last_message_;
  Message& m = messages_[id];
  m.request = request;
  m.relay = relay;
  see({.what = What::handed_in,
       .relay = relay,
       .message = id,
       .request = request,
       .cls = r.cls,
       .destination = r.partner,
       .until = clients_.until(request)});

  HttpRequest post(http::verb::post, "/" + day_.scenario.classes[r.cls].name, 11);
  post.set(http::field::host, "app.svc");
  post.set("X-Request-ID", id_text(id));
  post.set("X-Timeout-Ms",
           std::to_string(std::max<std::int64_t>(1, (clients_.until(request) - now()) / 1ms)));
  post.set("X-Addressing", "dest=" + std::to_string(r.partner));
  if (r.tries > 1) post.set("X-Retried", "1");
  post.body() = std::string(kBody, 'x');
  post.prepare_payload();

  http::response<http::string_body> response;
  boost::system::error_code error;
  boost::beast::flat_buffer buffer;
  std::unique_ptr<tcp::socket> socket;
  asio::steady_timer limit(context_, kClientWaits);
  // A timer that has run out can't be cancelled any more: its handler may come after all this is gone.
  const auto waits = std::make_shared<bool>(true);
  limit.async_wait([waits, &socket](boost::system::error_code stopped) {
    boost::system::error_code ignored;
    if (!stopped && *waits && socket) socket->close(ignored);
  });
  for (int attempt = 0; attempt < 2;
       ++attempt) {  // once more where a kept connection had been closed meanwhile
    const bool kept = !node.idle.empty() && attempt == 0;
    error = {};
    if (kept) {
      socket = std::move(node.idle.back());
      node.idle.pop_back();
    } else if (!node.up) {
      error = asio::error::connection_refused;  // nobody sends it there anew
      break;
    } else {
      socket = std::make_unique<tcp::socket>(context_);
      co_await socket->async_connect(node.address, asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) co_await http::async_write(*socket, post, asio::redirect_error(asio::use_awaitable, error));
    if (!error)
      co_await http::async_read(*socket, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    const bool crossed =
        kept && (error == http::error::end_of_stream || error == asio::error::connection_reset ||
                 error == asio::error::broken_pipe);
    if (!crossed) break;
    buffer.clear();
  }
  limit.cancel();
  *waits = false;
  Message& sent = messages_.at(id);
  if (sent.orphan) co_return;
  // An earlier process may still answer where the one that had taken over was killed: for the checker the
  // message had gone with that.
  const bool killed = node.start != start;
  if (error || killed ||
      !socket->is_open()) {  // not heard: what still comes of it under this number counts for nothing
    sent.orphan = true;
    see({.what = What::moved, .relay = relay, .message = id});
    co_return co_await hand_in_later(request, again, true);
  }
  if (response.keep_alive() && (node.up || node.to_end)) node.idle.push_back(std::move(socket));
  const unsigned status = response.result_int();
  if (status == 200 || status == 202) {
    sent.taken = true;
    if (!sent.over) see({.what = What::taken, .relay = relay, .message = id});
    co_return;
  }
  const bool was_over = std::exchange(sent.over, true);
  if (status == 429 || status == 503) {
    if (!was_over) see({.what = What::refused, .relay = relay, .message = id});
    double hint = 0;
    const auto text = response[http::field::retry_after];
    std::from_chars(text.data(), text.data() + text.size(), hint);
    co_return refused(request, span(hint));
  }
  if (!was_over) see({.what = What::failed, .relay = relay, .message = id});
  clients_.failed(request, sent.attempts == 0, now());
}

void Drive::refused(std::uint32_t request, Duration hint) {
  const auto wait = clients_.refused(request, hint, now());
  if (wait) go(hand_in_later(request, *wait, false));
}

void Drive::delivered(std::uint32_t message) {
  Message& m = messages_.at(message);
  m.over = true;
  clients_.delivered(m.request, now());
}

// ------------------------------------------------------------------------------------------ directory

// As that relay's agent has it: the whole list from 0, else what has changed after that version.
std::string Drive::list(std::uint32_t relay, std::int64_t from, Time until, std::int64_t& version) const {
  json::array servers;
  const auto add = [&](std::uint32_t h, HostState state) {
    const EndpointSpec& e = day_.endpoints[h];
    const PartnerSpec& p = day_.partners[e.partner];
    servers.push_back(
        {{"id", "e" + std::to_string(h)},
         {"addr", hosts_[h]->address.address().to_string() + ":" + std::to_string(hosts_[h]->address.port())},
         {"zone", "z" + std::to_string(e.zone)},
         {"kind", day_.scenario.kinds[p.kind].name},
         {"cell", e.partner},
         {"state", state_text(state)},
         {"weight", p.listed_rate},
         {"started_ms", 0}});
  };
  version = 1;
  std::vector<HostState> states(hosts_.size(), HostState::running);
  std::set<std::uint32_t> changed;
  for (const Change& c : changes_) {
    if (c.reaches[relay] > until) break;
    ++version;
    states[c.host] = c.state;
    if (version > from) changed.insert(c.host);
  }
  const bool whole = from <= 0;
  for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
    if (whole ? states[h] != HostState::gone : changed.contains(h)) add(h, states[h]);
  }
  return json::serialize(
      json::object{{"version", version}, {"full", whole}, {"servers", std::move(servers)}});
}

void Drive::list_changed(std::uint32_t host, HostState state) {
  hosts_[host]->state = state;
  Change change{host, state, {}};
  const Time leaves = std::max(now(), discovery_back_);
  for (std::uint32_t r = 0; r < relays_.size(); ++r) {
    const Time before = changes_.empty() ? Time{} : changes_.back().reaches[r];
    change.reaches.push_back(
        std::max(before, leaves + span(directory_.between(day_.scenario.discovery.delay))));
    // Its agent says it at its next look: what may be used from then on may not be blamed before.
    const Duration look = state == HostState::running ? Duration{} : kAgentLook;
    const Time told_at = std::min(change.reaches.back() + look, leaves + kToldAfter);
    go([](Drive* self, std::uint32_t relay, std::size_t number, Time at) -> asio::awaitable<void> {
      co_await self->sleep_until(at);
      if (!self->over_) self->told(relay, number);
    }(this, r, changes_.size(), told_at));
  }
  changes_.push_back(std::move(change));
}

// Those that reach it at one moment travel as one: it never hears of the older ones.
void Drive::told(std::uint32_t relay, std::size_t change) {
  const auto [host, state, reaches] = changes_[change];
  RelayProcess& r = relays_[relay];
  if (change < r.told_change[host]) return;
  r.told_change[host] = change;
  r.told[host] = state;
  if (r.child) see({.what = What::listed, .relay = relay, .host = host, .state = state});
}

asio::awaitable<void> Drive::agent(std::uint32_t relay, std::shared_ptr<tcp::acceptor> acceptor) {
  while (true) {
    boost::system::error_code error;
    auto socket = std::make_shared<tcp::socket>(context_);
    co_await acceptor->async_accept(*socket, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    relays_[relay].agent_sessions.push_back(socket);
    go(agent_session(relay, std::move(socket)));
  }
}

asio::awaitable<void> Drive::agent_session(std::uint32_t relay, std::shared_ptr<tcp::socket> socket) {
  boost::beast::flat_buffer buffer;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(1 << 20);
    boost::system::error_code error;
    co_await http::async_read(*socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    const HttpRequest request = parser.release();
    const std::string target(request.target());
    http::response<http::string_body> response(http::status::no_content, 11);
    if (target == "/v1/outcomes") {  // answered at once, also while discovery is down
      notices(relay, request.body());
    } else {
      co_await sleep_until(discovery_back_);
      ++counts_.list_calls;
      std::int64_t from = 0;
      if (const auto at = target.find("from="); at != std::string::npos) {
        std::from_chars(target.data() + at + 5, target.data() + target.size(), from);
      }
      if (target.find("watch=1") != std::string::npos) co_return co_await watch(relay, socket, from);
      std::int64_t version = 0;
      response.result(http::status::ok);
      response.body() = list(relay, 0, now(), version);
    }
    response.prepare_payload();
    co_await http::async_write(*socket, response, asio::redirect_error(asio::use_awaitable, error));
    if (error || !request.keep_alive()) co_return;
  }
}

asio::awaitable<void> Drive::watch(std::uint32_t relay, std::shared_ptr<tcp::socket> socket,
                                   std::int64_t from) {
  boost::system::error_code error;
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  co_await asio::async_write(*socket, asio::buffer(head), asio::redirect_error(asio::use_awaitable, error));
  const auto newest = static_cast<std::int64_t>(changes_.size()) + 1;
  if (from > newest) from = 0;
  Time said = now();
  for (bool first = true; !error && !over_; first = false) {
    std::int64_t version = 0;
    std::string line;
    const std::string text = list(relay, from, now(), version);
    if (first || version > from) {
      line = text + "\n";
      from = version;
    } else if (now() >= said + kEmptyLine) {
      line = "\n";
    }
    if (!line.empty()) {
      std::ostringstream chunk;
      chunk << std::hex << line.size() << "\r\n" << line << "\r\n";
      const std::string bytes = chunk.str();
      said = now();
      co_await asio::async_write(*socket, asio::buffer(bytes),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    if (!error) co_await sleep(kAgentLook);
  }
}

// Messages that were taken on and not delivered. A second one for the same does no harm.
void Drive::notices(std::uint32_t relay, const std::string& lines) {
  std::istringstream in(lines);
  for (std::string line; std::getline(in, line);) {
    boost::system::error_code error;
    const json::value notice = json::parse(line, error);
    if (error || !notice.is_object()) continue;
    const json::value* id = notice.as_object().if_contains("message");
    const json::value* how = notice.as_object().if_contains("outcome");
    if (!id || !id->is_string() || !how || !how->is_string()) continue;
    const auto found = messages_.find(
        static_cast<std::uint32_t>(std::strtoull(std::string(id->as_string()).c_str(), nullptr, 16)));
    if (found == messages_.end() || found->second.over || found->second.orphan) continue;
    Message& m = found->second;
    m.over = true;
    const bool back = how->as_string() == "handed_back";
    see({.what = back ? What::refused : What::failed, .relay = relay, .message = found->first});
    if (!back) {
      clients_.failed(m.request, m.attempts == 0, now());
      continue;
    }
    const json::value* wait = notice.as_object().if_contains("retry_in_ms");
    refused(m.request, wait && wait->is_number() ? span(wait->to_number<double>() / 1000) : Duration{});
  }
}

}  // namespace valedrum::lab
