// The relays' processes of drive(): started, told to end, killed, upgraded, reloaded.
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "drive_parts.h"

namespace valedrum::lab {

namespace fs = std::filesystem;
namespace json = boost::json;
using namespace std::chrono_literals;
using vetchhinge::HostState;

namespace {

constexpr auto kReadyWithin = 10s;
constexpr Duration kKillAfter = 3700ms;   // after SIGTERM, the page's earliest
constexpr Duration kBackAfter = 600ms;    // after the end
constexpr Duration kServesWithin = 6s;    // of an upgrade's new process
constexpr Duration kSecondSignal = 50ms;  // after the first one
constexpr Duration kLook = 20ms;
// After its SIGTERM an old process has handed over. One that is stopped before that still owes what it has,
// and nobody else can answer for it.
constexpr Duration kGivenOverBy = 100ms;
constexpr Duration kCallWithin = 1s;          // of an operator's call
constexpr Duration kNoReloadFor = 1s;         // of a program that has just begun
constexpr Duration kOldServiceEnds = 1500ms;  // after the configuration names another one

double ms(double seconds) { return seconds * 1000; }

}  // namespace

// --------------------------------------------------------------------------------------------- relays

json::object Drive::relay_config(std::uint32_t relay) const {
  const RelayProcess& r = relays_[relay];
  const RelaySpec& spec = day_.relays[relay];
  const FleetSpec& f = day_.scenario.fleet;
  const auto text = [](const tcp::endpoint& e) {
    return e.address().to_string() + ":" + std::to_string(e.port());
  };
  json::array classes, kinds, apart, batch, zones;
  for (const ClassSpec& c : day_.scenario.classes) {
    const char* const effects[] = {"idempotent", "deduplicated", "at_most_once"};
    classes.push_back({{"name", c.name},
                       {"aim", ms(c.aim)},
                       {"deadline", ms(c.deadline)},
                       {"worth", c.worth},
                       {"lateWorth", c.late_worth},
                       {"idempotency", effects[static_cast<int>(c.effect)]},
                       {"window", ms(c.window)},
                       {"keyScope", "all"}});
  }
  for (const KindSpec& k : day_.scenario.kinds) {
    kinds.emplace_back(k.name);
    apart.emplace_back(false);
    batch.emplace_back(k.batch);
  }
  const json::object settings{
      {"allowed",
       {{"maxOpen", spec.max_open},
        {"maxAttempts", f.attempts},
        {"retryAfter", true},
        {"maxRetryAfter", ms(f.max_wait_hint)},
        {"connIdle", ms(f.connection_idle)},
        {"connectTimeout", ms(f.connect_timeout)}}},
      {"familyInfo",
       {{"workers", spec.slots}, {"losesWorth", "linear"}, {"kindApart", apart}, {"kindBatch", batch}}},
      {"rules",
       {{"startCapacity", f.start_capacity},
        {"overloadFactor", f.overload_factor},
        {"overloadFor", ms(f.overload_for)},
        {"warmAfter", ms(f.warm_after)}}},
      {"balancers", f.relays},
      {"classes", classes},
      {"hostTypes", kinds},
      {"discovery", "automatic"},
      {"overShareWorth", 0.1},
      {"stats", {{"fields", json::array{"x0", "x1"}}}},
      {"tick", ms(f.tick)},
      {"weights", "rough"},
      {"zone", "z" + std::to_string(spec.zone)}};
  std::int64_t version = 0;
  char seed[24];
  std::snprintf(seed, sizeof seed, "%016llx",
                static_cast<unsigned long long>(day_.settings(relay, r.start).seed));
  json::object config{
      {"name", relay_name(relay)},
      {"listen", text(r.address)},
      {"discovery", text(r.agent)},
      {"seed", seed},
      {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", options_.sockets}, {"disk_mb", 8}}},
      {"known", json::parse(list(relay, 0, r.ended, version))},
      {"settings", settings}};
  if (options_.fleet || options_.second_address) config["admin_addr"] = text(r.admin);
  if (options_.fleet) {
    config["fleet"] = fleet_config(relay);
    if (options_.copies > 0) config["copies"] = copies_config(relay);
  }
  return config;
}

void Drive::write_config(std::uint32_t relay) {
  std::ofstream(relays_[relay].folder + "/config.json") << json::serialize(relay_config(relay));
}

std::unique_ptr<Child> Drive::spawn_relay(std::uint32_t relay) {
  const RelayProcess& r = relays_[relay];
  const auto text = [](const tcp::endpoint& e) {
    return e.address().to_string() + ":" + std::to_string(e.port());
  };
  std::map<std::string, std::string> environment = options_.environment;
  environment.insert({{"PROXY_NAME", relay_name(relay)},
                      {"PROXY_LISTEN", text(r.address)},
                      {"PROXY_DISCOVERY", text(r.agent)},
                      {"PROXY_STATE", r.folder + "/state"},
                      {"PROXY_CONFIG", r.folder + "/config.json"}});
  return std::make_unique<Child>(options_.program, environment, r.folder + "/log");
}

std::unique_ptr<Child> Drive::spawn(const std::string& folder, const json::object& config) {
  std::ofstream(folder + "/config.json") << json::serialize(config);
  return std::make_unique<Child>(
      options_.program,
      std::map<std::string, std::string>{{"PROXY_STATE", folder + "/state"},
                                         {"PROXY_CONFIG", folder + "/config.json"}},
      folder + "/log");
}

void Drive::go_on(const RelayProcess& relay, const Child* stopped) {
  if (relay.child && relay.child.get() == stopped) relay.child->signal(SIGCONT);
  for (const auto& old : relay.earlier) {
    if (old.get() == stopped) old->signal(SIGCONT);
  }
}

void Drive::start_relay(std::uint32_t relay) {
  RelayProcess& r = relays_[relay];
  fs::create_directories(r.folder + "/state");
  ++r.start;
  ++result_.starts;
  r.up = r.to_end = r.stalled = false;
  write_config(relay);
  r.child.reset();
  r.child = spawn_relay(relay);
  // From now on it may send what its folder holds, by the list that it had and what its agent says.
  for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
    see({.what = What::listed, .relay = relay, .host = h, .state = r.told[h]});
  }
  go(await_ready(relay, r.start));
}

asio::awaitable<void> Drive::await_ready(std::uint32_t relay, unsigned start) {
  RelayProcess& r = relays_[relay];
  for (const auto until = std::chrono::steady_clock::now() + kReadyWithin; r.start == start && !r.to_end;) {
    tcp::socket socket(context_);
    boost::system::error_code error;
    co_await socket.async_connect(r.address, asio::redirect_error(asio::use_awaitable, error));
    http::response<http::string_body> response;
    if (!error) {
      const http::request<http::empty_body> ask(http::verb::get, "/_health", 11);
      co_await http::async_write(socket, ask, asio::redirect_error(asio::use_awaitable, error));
      boost::beast::flat_buffer buffer;
      if (!error)
        co_await http::async_read(socket, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    }
    if (r.start != start || r.to_end) co_return;  // one that was told to end meanwhile is not back
    if (!error && response.result_int() == 200) {
      r.up = true;
      r.runs_from = now();
      see({.what = What::ready, .relay = relay});
      co_return;
    }
    if (std::chrono::steady_clock::now() > until || r.child->ended()) {
      throw std::runtime_error("relay " + std::to_string(relay) + " doesn't get ready; its log is " +
                               r.folder + "/log");
    }
    co_await sleep(20ms);
  }
}

void Drive::kill_relay(std::uint32_t relay, bool kept) {
  RelayProcess& r = relays_[relay];
  const bool was_up = std::exchange(r.up, false);
  r.ended = now();
  r.to_end = true;
  ++r.start;
  r.child.reset();
  r.idle.clear();
  // What is copied is with others: nobody hands it in again.
  const bool copied = options_.copies > 0;
  if (was_up) see({.what = What::died, .relay = relay, .kept = kept || copied});
  if (!kept && last_loss_ == Time::min()) last_loss_ = now();
  if (kept) return;
  // Its machine is gone, and with it what it had taken: that is with its clients again.
  r.earlier.clear();
  if (r.banned) r.told[*std::exchange(r.banned, std::nullopt)] = HostState::running;
  fs::remove_all(r.folder + "/state");
  if (copied) return;
  for (auto& [id, m] : messages_) {
    if (m.relay != relay || m.over || !m.taken || m.orphan) continue;
    m.orphan = true;
    const Clients::Request& request = clients_[m.request];
    const bool once = day_.scenario.classes[request.cls].effect == vetchhinge::Effect::at_most_once;
    if (once && m.attempts > 0) {
      clients_.failed(m.request, false, now());
    } else {
      ++counts_.messages_handed_over;
      go(hand_in_later(m.request, clients_.again(), true));
    }
  }
}

// SIGTERM, SIGKILL where that does not end it in time, and a new start.
asio::awaitable<void> Drive::end_relay(std::uint32_t relay, Duration back_after) {
  RelayProcess& r = relays_[relay];
  if (!r.child || r.to_end) co_return;
  const Time told_at = now();
  const unsigned start = r.start;
  r.to_end = true;
  r.up = false;  // clients that have a connection go on using it; new ones go elsewhere
  see({.what = What::leaving, .relay = relay});
  r.child->signal(SIGTERM);
  if (options_.signals_twice) {
    co_await sleep(kSecondSignal);
    if (r.start != start) co_return;
    r.child->signal(SIGTERM);
  }
  while (now() < told_at + kKillAfter && !r.child->ended()) co_await sleep(kLook);
  if (r.start != start) co_return;
  see({.what = What::died, .relay = relay, .kept = true});
  r.idle.clear();
  r.ended = now();
  r.child.reset();
  co_await sleep(kBackAfter);
  co_await sleep_until(told_at + back_after);
  if (r.start == start && !over_) start_relay(relay);
}

// The configuration is the same: what is at stake is a reload beside all that happens meanwhile.
asio::awaitable<void> Drive::reload_relays() {
  for (std::uint32_t next = 0; !over_; next = (next + 1) % relays_.size()) {
    co_await sleep(span(*options_.reload_every));
    RelayProcess& r = relays_[next];
    if (!over_ && r.child && r.up) r.child->signal(SIGHUP);
  }
}

// A new process beside the old one, and SIGTERM to that once the new one could serve. False: it was killed
// meanwhile, and started anew.
asio::awaitable<bool> Drive::replace_relay(std::uint32_t relay) {
  RelayProcess& r = relays_[relay];
  const unsigned start = r.start;
  if (!r.child || r.to_end || !r.up) co_return false;
  r.admin.port(static_cast<std::uint16_t>(r.admin.port() + 1));
  write_config(relay);
  std::unique_ptr<Child> next = spawn_relay(relay);
  ++result_.starts;
  const Time within = now() + kServesWithin;
  bool serves = false;
  while (!serves && now() < within && r.start == start && !r.to_end) {
    serves = (co_await ask_admin(r.admin, "HEALTH")).starts_with("ACK");
    if (!serves) co_await sleep(kLook);
  }
  if (r.start != start || r.to_end) co_return false;
  if (!serves) throw std::runtime_error("an upgrade of relay " + std::to_string(relay) + " does not serve");
  r.child->signal(SIGTERM);
  std::shared_ptr<Child> old = std::move(r.child);
  r.child = std::move(next);
  r.earlier.push_back(old);
  go(end_earlier(relay, std::move(old)));
  co_return true;
}

asio::awaitable<void> Drive::end_earlier(std::uint32_t relay, std::shared_ptr<Child> old) {
  const Time ends = now() + kKillAfter;
  while (now() < ends && !old->ended()) co_await sleep(kLook);
  old->signal(SIGKILL);
  std::erase(relays_[relay].earlier, old);
}

asio::awaitable<void> Drive::upgrade_relay(std::uint32_t relay) { (void)co_await replace_relay(relay); }

// One new process after the other, each while the ones before it may still have calls out.
asio::awaitable<void> Drive::upgrade_series(std::uint32_t relay, UpgradeSeries series) {
  co_await sleep_until(Time(span(series.at)));
  RelayProcess& r = relays_[relay];
  for (unsigned n = 0; n < series.length; ++n) {
    const bool replaced = co_await replace_relay(relay);
    if (!replaced || over_) co_return;
    if (series.stall > 0) {
      go([](Drive* self, std::shared_ptr<Child> old, Duration lasts) -> asio::awaitable<void> {
        co_await self->sleep(kGivenOverBy);
        old->signal(SIGSTOP);
        co_await self->sleep(lasts);
        old->signal(SIGCONT);
      }(this, r.earlier.back(), span(series.stall)));
    }
    co_await sleep(span(series.gap));
  }
  if (!series.kill_last || over_ || r.to_end) co_return;
  kill_relay(relay, true);
  const unsigned start = r.start;
  co_await sleep(kBackAfter);
  if (r.start == start && !over_) start_relay(relay);
}

// An operator takes an endpoint out on all relays, and puts it back; a relay that does not answer is asked
// again.
asio::awaitable<void> Drive::play_ban(EndpointBan ban) {
  const std::uint32_t host = ban.host % static_cast<std::uint32_t>(hosts_.size());
  co_await sleep_until(Time(span(ban.from)));
  for (std::uint32_t r = 0; r < relays_.size(); ++r)
    go(call_until_acked(r, host, true, Time(span(ban.until))));
  co_await sleep_until(Time(span(ban.until)));
  for (std::uint32_t r = 0; r < relays_.size(); ++r) {
    if (relays_[r].banned) go(call_until_acked(r, host, false, day_.end()));
  }
}

asio::awaitable<void> Drive::call_until_acked(std::uint32_t relay, std::uint32_t host, bool out, Time until) {
  RelayProcess& r = relays_[relay];
  const std::string line = (out ? "OFFLINE e" : "ONLINE e") + std::to_string(host);
  bool done = false;
  while (!done && !over_ && now() < until) {
    done = (co_await ask_admin(r.admin, line)).starts_with("ACK");
    if (!done) co_await sleep(kLook);
  }
  if (!done || out == r.banned.has_value()) co_return;
  r.banned = out ? std::optional(host) : std::nullopt;
  r.told[host] = out ? HostState::draining : HostState::running;
  see({.what = What::listed, .relay = relay, .host = host, .state = r.told[host]});
}

// Discovery is elsewhere from now on: the file says so, SIGHUP tells it, and the former address closes.
asio::awaitable<void> Drive::move_discovery(double at) {
  co_await sleep_until(Time(span(at)));
  for (std::uint32_t relay = 0; relay < relays_.size(); ++relay) go(move_agent(relay));
}

// Not within a program's first second, and not before it is ready (TERMS, Reconfiguration): it has read the
// file by then, and would never hear of the other address.
asio::awaitable<void> Drive::move_agent(std::uint32_t relay) {
  RelayProcess& r = relays_[relay];
  const auto begins = [&] { return r.child && !r.to_end && (!r.up || now() < r.runs_from + kNoReloadFor); };
  while (begins() && !over_) co_await sleep(kLook);
  const auto former = std::move(r.agent_acceptor);
  const auto sessions = std::move(r.agent_sessions);
  open_agent(relay);
  write_config(relay);
  if (r.child && r.up) r.child->signal(SIGHUP);
  former->close();
  co_await sleep(kOldServiceEnds);
  boost::system::error_code ignored;
  for (const auto& session : sessions) {
    if (const auto socket = session.lock()) socket->close(ignored);
  }
}

void Drive::open_agent(std::uint32_t relay) {
  RelayProcess& r = relays_[relay];
  r.agent_acceptor = std::make_shared<tcp::acceptor>(context_, tcp::endpoint(address(20 + relay), 0));
  r.agent = r.agent_acceptor->local_endpoint();
  r.agent_sessions.clear();
  go(agent(relay, r.agent_acceptor));
}

}  // namespace valedrum::lab
