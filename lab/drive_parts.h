// The stand-ins of drive(): drive.cpp (relays, faults, the whole), drive_partners.cpp and drive_clients.cpp
// (clients and directory), drive_fleet.cpp (what relays say to each other). All run on one event loop.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

#include "checker.h"
#include "child.h"
#include "clients.h"
#include "drive.h"
#include "fleet_world.h"
#include "partner.h"
#include "traffic.h"
#include "wire.h"

namespace valedrum::lab {

namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using HttpRequest = http::request<http::string_body>;

class Drive {
 public:
  Drive(const Day& day, const DriveOptions& options);
  ~Drive();
  DriveResult run();

 private:
  struct Session {  // a connection to an endpoint
    explicit Session(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::vector<std::uint32_t> messages;  // of the call that is out on it
  };
  struct Message {
    std::uint32_t request = 0, relay = 0;
    bool taken = false, over = false;
    bool delivered = false;
    bool orphan = false;  // its client has handed it in anew: what comes of it counts for nothing
    std::uint32_t attempts = 0;
    std::uint32_t attempt_host = 0;
    std::uint32_t sender = 0;    // relay that made the last attempt
    std::weak_ptr<Session> out;  // where its call is
  };
  struct RelayProcess {
    std::unique_ptr<Child> child;
    std::vector<std::shared_ptr<Child>> earlier;  // processes that were told to end as this one took over
    tcp::endpoint address, agent, admin;
    std::string folder;
    unsigned start = 0;
    Time ended = Time::min();  // when its last process did: it knows the list of then
    bool up = false;           // it has said that it is ready
    bool to_end = false;       // it was told to
    bool stalled = false;
    Time runs_from{};                                // without a pause
    std::optional<boost::json::object> view;         // of the fleet, as it said last
    std::map<std::uint32_t, bool> buried;            // whom it holds for dead
    std::vector<std::unique_ptr<tcp::socket>> idle;  // clients' connections
    std::shared_ptr<tcp::acceptor> agent_acceptor;
    std::vector<std::weak_ptr<tcp::socket>> agent_sessions;
    std::optional<std::uint32_t> banned;      // endpoint that is out by hand
    std::vector<vetchhinge::HostState> told;  // by host
    std::vector<std::size_t> told_change;     // by host: the newest that it knows
  };
  struct Standin {  // an endpoint
    Endpoint endpoint;
    tcp::endpoint address;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::set<std::shared_ptr<Session>> sessions;
    vetchhinge::HostState state = vetchhinge::HostState::running;
  };

  // ------------------------------------------------------------------ drive.cpp and drive_processes.cpp
  Time now() const;
  void see(Observation o);
  asio::awaitable<void> sleep(Duration span);
  asio::awaitable<void> sleep_until(Time at);
  template <typename Awaitable>
  void go(Awaitable work);
  // The process that was stopped, which may have been replaced meanwhile.
  static void go_on(const RelayProcess& relay, const Child* stopped);
  void start_relay(std::uint32_t relay);
  void kill_relay(std::uint32_t relay, bool kept);
  asio::awaitable<void> await_ready(std::uint32_t relay, unsigned start);
  asio::awaitable<void> end_relay(std::uint32_t relay, Duration back_after);
  asio::awaitable<void> reload_relays();
  asio::awaitable<bool> replace_relay(std::uint32_t relay);
  asio::awaitable<void> end_earlier(std::uint32_t relay, std::shared_ptr<Child> old);
  asio::awaitable<void> upgrade_relay(std::uint32_t relay);
  asio::awaitable<void> upgrade_series(std::uint32_t relay, UpgradeSeries series);
  asio::awaitable<void> play_ban(EndpointBan ban);
  asio::awaitable<void> call_until_acked(std::uint32_t relay, std::uint32_t host, bool out, Time until);
  asio::awaitable<void> move_discovery(double at);
  asio::awaitable<void> move_agent(std::uint32_t relay);
  void open_agent(std::uint32_t relay);
  asio::awaitable<void> play_faults();
  asio::awaitable<void> play(const Fault& f);
  asio::awaitable<void> watch_clock();
  asio::awaitable<void> count_seconds();
  boost::json::object relay_config(std::uint32_t relay) const;
  void write_config(std::uint32_t relay);
  std::unique_ptr<Child> spawn_relay(std::uint32_t relay);
  std::unique_ptr<Child> spawn(const std::string& folder, const boost::json::object& config);
  bool stopping() const { return options_.stop && options_.stop->load(); }

  // ------------------------------------------------------------------ drive_crowd.cpp
  void crowd_around(std::uint32_t relay);
  asio::awaitable<void> loiter(std::uint32_t relay, bool half_way);

  // ------------------------------------------------------------------ drive_partners.cpp
  void listen(std::uint32_t host);
  asio::awaitable<void> accept(std::uint32_t host);
  asio::awaitable<void> serve(std::uint32_t host, std::shared_ptr<Session> session);
  asio::awaitable<bool> call(std::uint32_t host, std::shared_ptr<Session> session, HttpRequest request);
  asio::awaitable<bool> closed_within(std::shared_ptr<Session> session, Duration span);
  asio::awaitable<bool> answer(std::uint32_t host, std::shared_ptr<Session> session, unsigned status,
                               vetchhinge::Result result, Duration wait, bool bulk);
  void ended(std::uint32_t host, Session& session, vetchhinge::Result result, Duration wait);
  void forget_closed(std::uint32_t message);
  void set_health(std::uint32_t host, Health health);
  void fall_over(std::uint32_t host);

  // ------------------------------------------------------------------ drive_clients.cpp
  asio::awaitable<void> send_messages();
  asio::awaitable<void> hand_in(std::uint32_t request, std::uint32_t relay);
  asio::awaitable<void> hand_in_later(std::uint32_t request, Duration after, bool elsewhere);
  void refused(std::uint32_t request, Duration hint);
  void delivered(std::uint32_t message);
  asio::awaitable<void> agent(std::uint32_t relay, std::shared_ptr<tcp::acceptor> acceptor);
  asio::awaitable<void> agent_session(std::uint32_t relay, std::shared_ptr<tcp::socket> socket);
  asio::awaitable<void> watch(std::uint32_t relay, std::shared_ptr<tcp::socket> socket, std::int64_t from);
  void notices(std::uint32_t relay, const std::string& lines);
  void list_changed(std::uint32_t host, vetchhinge::HostState state);
  std::string list(std::uint32_t relay, std::int64_t from, Time until, std::int64_t& version) const;
  void told(std::uint32_t relay, std::size_t change);
  std::uint32_t live_relay();

  // ------------------------------------------------------------------ drive_fleet.cpp
  void lay_wire();
  asio::ip::address_v4 reached_at(std::uint32_t relay) const;  // by other relays
  boost::json::object fleet_config(std::uint32_t place) const;
  boost::json::object copies_config(std::uint32_t place) const;
  std::uint32_t sender_of(const HttpRequest& request, std::uint32_t relay) const;
  asio::awaitable<void> ask_copies();
  asio::awaitable<std::string> ask_admin(tcp::endpoint at, std::string line);
  asio::awaitable<void> look_at(std::uint32_t relay);
  std::string view_trouble();
  void judge_burial(std::uint32_t by, std::uint32_t of, bool dead);
  asio::awaitable<void> watch_fleet();
  asio::awaitable<void> start_twin(const Fault& fault);

  const Day& day_;
  const DriveOptions& options_;
  asio::io_context context_{1};
  std::chrono::steady_clock::time_point begun_;
  Traffic traffic_;
  Clients clients_;
  Random network_, directory_;
  Checker checker_;
  DriveResult result_;
  RunResult& counts_ = clients_.result;
  std::unordered_map<std::uint32_t, Message> messages_;
  std::vector<RelayProcess> relays_;
  std::vector<Partner> partners_;
  std::vector<std::unique_ptr<Standin>> hosts_;
  std::vector<std::vector<int>> cuts_;  // from zone to zone
  struct Change {
    std::uint32_t host = 0;
    vetchhinge::HostState state{};
    std::vector<Time> reaches;  // each relay's agent
  };
  std::deque<Change> changes_;  // version 1 is the list at the start
  Time discovery_back_{};
  double loss_ = 0, resets_ = 0;
  std::uint32_t last_message_ = 0;
  std::size_t timers_ = 0, late_timers_ = 0;
  std::string failure_;
  bool over_ = false;
  std::unique_ptr<Wire> wire_;         // where the relays keep a view
  std::unique_ptr<Wire> copies_wire_;  // where they make copies
  Time last_loss_ = Time::min();
  std::unique_ptr<Child> twin_;
  Time last_fault_{};
  bool fleet_over_ = false;
};

// An address of the loopback that no other run of the lab on this machine has; `number` up to 999.
asio::ip::address_v4 address(std::uint32_t number);

inline std::string id_text(std::uint32_t message) {
  char text[24];
  std::snprintf(text, sizeof text, "%016x", message);
  return text;
}

}  // namespace valedrum::lab
