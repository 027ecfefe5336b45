// The rig: real relays that keep a view of the fleet, with the wire between them, and what their views say.
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <csignal>
#include <filesystem>

#include "drive_parts.h"

namespace valedrum::lab {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t kFleetPort = 7300, kCopiesPort = 7301;
constexpr std::size_t kSeeds = 3;
constexpr Duration kLook = 100ms;
constexpr Duration kViewWithin = 1s;
constexpr Duration kJudged = 1s;  // that a relay has run for, before its burial counts as false

}  // namespace

void Drive::lay_wire() {
  std::vector<Wire::Place> places;
  for (std::uint32_t r = 0; r < relays_.size(); ++r)
    places.push_back({relays_[r].address.address().to_v4(), address(300 + r), r});
  places.push_back({address(340), address(341), 0});  // the twin's machine, beside the first one
  wire_ = std::make_unique<Wire>(context_, day_, places, kFleetPort);
  if (options_.copies > 0) copies_wire_ = std::make_unique<Wire>(context_, day_, places, kCopiesPort);
  result_.fleet.bound = settle_bound(fleet_settings(options_.probe_ms), relays_.size());
  last_fault_ = last_fault(day_);
}

asio::ip::address_v4 Drive::reached_at(std::uint32_t relay) const {
  return address(wire_ ? 300 + relay : relay);
}

json::object Drive::fleet_config(std::uint32_t place) const {
  const bool twin = place == relays_.size();
  const asio::ip::address_v4 own = twin ? address(340) : address(place);
  const auto at = [](const asio::ip::address_v4& a) {
    return a.to_string() + ":" + std::to_string(kFleetPort);
  };
  json::array seeds(options_.joins.begin(), options_.joins.end());
  for (std::uint32_t s = 0; wire_ && s < std::min(kSeeds, relays_.size()); ++s)
    seeds.emplace_back(at(address(300 + s)));
  const membership::Settings s = fleet_settings(options_.probe_ms);
  json::object config{{"name", s.fleet},
                      {"bind", at(own)},
                      {"advertise", at(twin ? address(341) : reached_at(place))},
                      {"machine", "m" + std::to_string(place)},
                      {"seeds", std::move(seeds)},
                      {"probe_ms", s.probe_interval / 1ms},
                      {"ack_ms", s.ack_timeout / 1ms},
                      {"reconnect_s", std::max<std::int64_t>(1, s.max_reconnect_interval / 1s)},
                      {"tombstone_s", s.tombstone_retention / 1s}};
  if (!options_.without.empty()) config["without"] = options_.without;
  return config;
}

json::object Drive::copies_config(std::uint32_t place) const {
  const auto at = [](const asio::ip::address_v4& a) {
    return a.to_string() + ":" + std::to_string(kCopiesPort);
  };
  json::object config{{"bind", at(address(place))},
                      {"advertise", at(reached_at(place))},
                      {"copies", options_.copies},
                      {"lease_ms", options_.lease_ms},
                      {"on_shortage", options_.accept_short ? "accept" : "refuse"}};
  if (!options_.copies_without.empty()) config["without"] = options_.copies_without;
  return config;
}

// Relays that make copies say who they are in their calls.
std::uint32_t Drive::sender_of(const HttpRequest& request, std::uint32_t relay) const {
  const auto via = request[http::field::via];
  if (!via.starts_with("1.1 n")) return relay;
  const auto sender =
      static_cast<std::uint32_t>(std::strtoul(std::string(via.substr(5)).c_str(), nullptr, 10));
  return sender < relays_.size() ? sender : relay;
}

asio::awaitable<void> Drive::ask_copies() {
  for (std::uint32_t r = 0; r < relays_.size(); ++r) {
    if (!relays_[r].child || !relays_[r].up || relays_[r].stalled) continue;
    const std::string reply = co_await ask_admin(relays_[r].admin, "COPIES");
    if (!reply.starts_with("ACK ")) continue;
    const json::object said = json::parse(std::string_view(reply).substr(4)).as_object();
    const json::object& c = said.at("counters").as_object();
    const auto add = [&](std::uint64_t& to, const char* name) {
      to += c.at(name).to_number<std::uint64_t>();
    };
    CopiesSeen& seen = result_.copies;
    add(seen.placed, "placed");
    add(seen.refused, "refused");
    add(seen.late, "late");
    add(seen.won, "won");
    add(seen.lost, "lost");
    add(seen.inherited, "inherited");
    add(seen.expired, "expired");
  }
}

// One line to a second address and one back; empty where nobody answers in time.
asio::awaitable<std::string> Drive::ask_admin(tcp::endpoint at, std::string line) {
  const auto socket = std::make_shared<tcp::socket>(context_);
  asio::steady_timer limit(context_, kViewWithin);
  limit.async_wait([socket](boost::system::error_code waited) {
    boost::system::error_code ignored;
    if (!waited) socket->close(ignored);
  });
  boost::system::error_code error;
  std::string reply;
  co_await socket->async_connect(at, asio::redirect_error(asio::use_awaitable, error));
  line += '\n';
  if (!error)
    co_await asio::async_write(*socket, asio::buffer(line), asio::redirect_error(asio::use_awaitable, error));
  if (!error)
    co_await asio::async_read_until(*socket, asio::dynamic_buffer(reply), '\n',
                                    asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return std::string();
  co_return reply;
}

asio::awaitable<void> Drive::look_at(std::uint32_t relay) {
  RelayProcess& r = relays_[relay];
  const unsigned start = r.start;
  const std::string reply = co_await ask_admin(r.admin, "FLEET");
  if (r.start != start) co_return;
  r.view.reset();
  if (reply.starts_with("ACK ")) r.view = json::parse(std::string_view(reply).substr(4)).as_object();
}

// Whether all that run hold one view, and the true one. What they hold for dead is judged on the way.
std::string Drive::view_trouble() {
  const auto runs = [](const RelayProcess& r) { return r.child && r.up && !r.stalled; };
  const auto running = static_cast<std::size_t>(std::ranges::count_if(relays_, runs));
  std::string digest, trouble;
  std::set<std::string> rivals;
  for (std::uint32_t i = 0; i < relays_.size(); ++i) {
    RelayProcess& r = relays_[i];
    const std::string name = relay_name(i);
    if (!r.child || !r.up) continue;
    if (r.stalled || !r.view) {
      trouble = name + " does not answer";
      continue;
    }
    const json::object& v = *r.view;
    std::size_t alive = 0;
    for (const json::value& value : v.at("members").as_array()) {
      const json::object& m = value.as_object();
      const std::string state(m.at("state").as_string()), who(m.at("name").as_string());
      alive += state == "alive" ? 1 : 0;
      if (state == "suspect") trouble = name + " suspects " + who;
      if (m.contains("rival")) rivals.insert(name);
      const auto other = static_cast<std::uint32_t>(std::stoul(who.substr(1)));
      if (other < relays_.size()) judge_burial(i, other, state == "dead");
    }
    if (v.at("looks_on").as_bool()) continue;
    if (!v.at("settled").as_bool()) trouble = name + " has not joined";
    if (alive != running)
      trouble = name + " sees " + std::to_string(alive) + " of " + std::to_string(running);
    const std::string own(v.at("digest").as_string());
    if (!digest.empty() && own != digest) trouble = name + " holds another view";
    digest = own;
  }
  if (twin_ && rivals.size() < running && trouble.empty()) trouble = "the conflict is not known to all";
  return trouble;
}

void Drive::judge_burial(std::uint32_t by, std::uint32_t of, bool dead) {
  bool& was = relays_[by].buried[of];
  if (was == dead) return;
  was = dead;
  const RelayProcess& r = relays_[of];
  const bool runs = r.child && r.up && !r.stalled && now() - r.runs_from > kJudged;
  if (dead && runs && !wire_->links().cut(by, of) && !wire_->links().cut(of, by))
    ++result_.fleet.false_deaths;
}

asio::awaitable<void> Drive::watch_fleet() {
  FleetSeen& seen = result_.fleet;
  const Time until = last_fault_ + span(seen.bound);
  const std::uint64_t datagrams = wire_->datagrams(), bytes = wire_->bytes();
  std::optional<Time> one_view;
  while (!over_) {
    for (std::uint32_t r = 0; r < relays_.size(); ++r) {
      if (relays_[r].child && relays_[r].up && !relays_[r].stalled) co_await look_at(r);
    }
    seen.trouble = view_trouble();
    if (!seen.trouble.empty()) one_view.reset();
    if (seen.trouble.empty() && !one_view) one_view = now();
    if (one_view && seen.started < 0) seen.started = seconds(*one_view);
    if (one_view && *one_view > last_fault_ && seen.settled < 0) {
      seen.settled = seconds(*one_view - last_fault_);
    }
    const bool settled = one_view && now() > last_fault_ + kLook * 5;
    if (settled && seen.settled < 0) seen.settled = 0;  // it never came apart
    if (now() >= day_.end() && (settled || now() >= until)) break;
    if (seen.settled >= 0 && !settled && now() > last_fault_) seen.settled = -1;
    co_await sleep(kLook);
  }
  const double per = std::max(0.1, seconds(now())) * static_cast<double>(relays_.size());
  seen.datagrams = static_cast<double>(wire_->datagrams() - datagrams) / per;
  seen.bytes = static_cast<double>(wire_->bytes() - bytes) / per;
  seen.lost = wire_->lost();
  seen.streams = wire_->streams();
  if (options_.copies > 0) co_await ask_copies();
  fleet_over_ = true;
}

// A second process with the name of one that runs, on a machine and with a folder of its own.
asio::awaitable<void> Drive::start_twin(const Fault& f) {
  const std::uint32_t of = f.targets.front();
  const auto place = static_cast<std::uint32_t>(relays_.size());
  const std::string folder = options_.folder + "/twin";
  std::filesystem::create_directories(folder + "/state");
  json::object config = relay_config(of);
  config["listen"] = address(340).to_string() + ":7070";
  config["admin_addr"] = address(340).to_string() + ":7171";
  config["fleet"] = fleet_config(place);
  twin_ = spawn(folder, config);
  ++result_.starts;
  co_return;
}

}  // namespace valedrum::lab
