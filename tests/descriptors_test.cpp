// Few descriptors, idle clients that take all they can get, and discovery away for 8 s: the real program.
#include <poll.h>

#include <atomic>
#include <iterator>
#include <sstream>
#include <thread>

#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr auto kAway = 8s;
constexpr auto kTold = 6s;       // of the moment in which discovery could be reached again
constexpr double kOwed = 3;      // seconds to an error or a close for who sends no request
constexpr double kStalled = 2;   // seconds that a busy machine may add to that
constexpr double kMostBusy = 4;  // of the processor in these 8 s

// Clients that connect, say nothing, half a request, or ask once and rest, and come back when they are
// closed.
class Crowd {
 public:
  Crowd(std::string address, std::size_t count) : address_(std::move(address)) {
    for (std::size_t i = 0; i < count; ++i) come(clients_.emplace_back(context_), i);
    thread_ = std::jthread([this](const std::stop_token& stop) {
      while (!stop.stop_requested()) look();
    });
  }

  // Of those that asked nothing, the longest time to a close, in seconds; those that still wait too.
  double longest() const { return longest_; }
  std::size_t closed() const { return closed_; }

 private:
  struct Client {
    explicit Client(boost::asio::io_context& context) : socket(context) {}
    tcp::socket socket;
    SteadyClock::time_point since{};
    bool asked = false;
  };

  void come(Client& client, std::size_t i) {
    try {
      client.socket = connect(context_, address_);
      client.since = SteadyClock::now();
      client.asked = i % 4 == 0;
      const std::string says = i % 4 == 0   ? "GET /_health HTTP/1.1\r\n\r\n"
                               : i % 4 == 1 ? "POST /note HTTP/1.1\r\nX-Requ"
                                            : "";
      boost::system::error_code ignored;
      boost::asio::write(client.socket, boost::asio::buffer(says), ignored);
    } catch (const std::exception&) {  // shut at once: it comes again
      client.socket = tcp::socket(context_);
    }
  }

  void look() {
    std::vector<pollfd> ready;
    for (Client& client : clients_) ready.push_back({client.socket.native_handle(), POLLIN, 0});
    ::poll(ready.data(), ready.size(), 20);
    std::size_t i = 0;
    for (Client& client : clients_) {
      const std::size_t at = i++;
      const auto waited = Seconds(SteadyClock::now() - client.since).count();
      if (client.socket.is_open() && !client.asked) longest_ = std::max(longest_.load(), waited);
      if (client.socket.is_open() && ready[at].revents == 0) continue;
      char bytes[1024];
      if (client.socket.is_open() && ::recv(ready[at].fd, bytes, sizeof bytes, MSG_DONTWAIT) > 0) continue;
      ++closed_;
      come(client, at);
    }
  }

  std::string address_;
  boost::asio::io_context context_;
  std::list<Client> clients_;
  std::atomic<double> longest_ = 0;
  std::atomic<std::size_t> closed_ = 0;
  std::jthread thread_;
};

struct Place {
  std::string name;
  std::size_t sockets = 0;      // as configured
  std::size_t descriptors = 0;  // that the process may hold
  bool refuses = false;         // nobody listens while discovery is away; else it takes calls and is silent
};

// One relay with its world.
class World : public RelayTest {
 public:
  explicit World(Place place) : place_(std::move(place)) {}
  void TestBody() override {}

  // What an idle crowd must not keep it from, each failure with the place's name.
  void play() {
    SCOPED_TRACE(place_.name);
    settle();
    const Crowd crowd(address_, 4 * place_.descriptors);
    std::list<tcp::socket> callers;  // of the second address, who say nothing
    for (int i = 0; i < 12; ++i) callers.push_back(connect(context_, admin_address_));
    go_away();
    const auto left = SteadyClock::now();
    const double busy_before = busy();
    while (SteadyClock::now() - left < kAway) serve_a_client();
    const double busy_for = busy() - busy_before;
    come_back();
    const auto back = SteadyClock::now();
    while (!told() && SteadyClock::now() - back < 3 * kTold) std::this_thread::sleep_for(10ms);
    const auto told_after = SteadyClock::now() - back;
    EXPECT_EQ(try_hand_in("told", "note", 9), 202U);
    EXPECT_LT(told_after, kTold);
    watched_.change([&] { released_ = true; });
    EXPECT_TRUE(wait_notice("once", "given_up")) << "its client was told that it is taken on";
    for (int i = 0; i < kHeld; ++i) EXPECT_TRUE(wait_delivered("held-" + std::to_string(i))) << i;
    EXPECT_LT(busy_for, kMostBusy) << "seconds of the processor";
    EXPECT_LE(most_open_, place_.descriptors);
    EXPECT_LT(crowd.longest(), kOwed + kStalled) << "seconds with neither an error nor a close";
    EXPECT_GT(served_, shut_) << "usual clients";
    EXPECT_EQ(late_calls_, 0) << "of the second address";
    std::printf(
        "%s: told %.2f s after the return, %.2f s of the processor in %.0f s, %zu descriptors at most of "
        "%zu, "
        "usual clients %d served (%.2f s at most) and %d not, the crowd closed %zu times and %.2f s at "
        "most\n",
        place_.name.c_str(), Seconds(told_after).count(), busy_for, Seconds(kAway).count(), most_open_,
        place_.descriptors, served_, longest_served_, shut_, crowd.closed(), crowd.longest());
  }

 private:
  static constexpr int kHeld = 36;

  // Calls to hosts that are silent, as many as may be out, and a notice that nobody takes.
  void settle() {
    open_discovery(0);
    add_host("h", 2, "plain", kAccept);
    for (int i = 0; i < 4; ++i) add_host("silent-" + std::to_string(i), 10 + i, "plain", silent());
    add_host("breaks", 3, "plain", [](tcp::socket&, Request&) { return false; });
    json::object changed = with_admin_address();
    changed["limits"].as_object()["sockets"] = place_.sockets;
    changed["settings"].as_object()["allowed"].as_object()["maxOpen"] = 200;
    const fs::path file = folder_ / "config.json", program = folder_ / "program";
    std::ofstream(file) << json::serialize(changed);
    std::ofstream(program) << "#!/bin/sh\nulimit -n " << place_.descriptors << "\nexec " << PROGRAM << "\n";
    fs::permissions(program, fs::perms::owner_all);
    process_.emplace(program, std::map<std::string, std::string>{{"PROXY_CONFIG", file},
                                                                 {"PROXY_STATE", folder_ / "state"}});
    address_ = process_->address();
    admin_address_ = process_->second_address();
    push(list());
    for (int i = 0; i < kHeld; ++i) {
      // Time enough for hosts that come back cold, and of which nothing is known.
      const Request held = message("held-" + std::to_string(i), "note", 10 + i % 4, std::string(4096, 'b'));
      ASSERT_EQ(ask(address_, with_timeout(held, 60'000)).result_int(), 202U);
    }
  }

  void go_away() {
    watched_.change([&] {
      if (!place_.refuses) silent_service_ = "first";  // what comes is held open, also after the return
      closed_ = place_.refuses;
      ++watches_to_end_;
    });
    if (place_.refuses) discovery_.reset();
  }

  void come_back() {
    add_host("new", 9, "plain", kAccept);
    push(list());
    watched_.change([&] {
      silent_service_.clear();
      closed_ = false;
    });
    if (place_.refuses) open_discovery(port_);
  }

  void open_discovery(std::uint16_t port) {
    discovery_.emplace(
        [this](tcp::socket& socket, Request& request) {
          return !watched_.read([this] { return closed_; }) && discover("first", socket, request);
        },
        port);
    port_ = static_cast<std::uint16_t>(std::stoi(discovery_->address().substr(10)));
  }

  // A usual client: a connection for each message. One that is shut unread comes again.
  unsigned try_hand_in(const std::string& id, const std::string& cls, int dest) {
    const auto start = SteadyClock::now();
    try {
      const unsigned status = submit(id, cls, dest, std::string(4096, 'b'));
      ++served_;
      longest_served_ = std::max(longest_served_, Seconds(SteadyClock::now() - start).count());
      return status;
    } catch (const std::exception&) {
      ++shut_;
      return 0;
    }
  }

  void serve_a_client() {
    try_hand_in("usual-" + std::to_string(number_++), "note", 2);
    if (!once_) once_ = try_hand_in("once", "refund", 3) == 202;
    const auto start = SteadyClock::now();
    if (call(admin_address_, "HEALTH") != "ACK" || SteadyClock::now() - start > 1s) ++late_calls_;
    const auto open = std::distance(
        fs::directory_iterator("/proc/" + std::to_string(process_->pid()) + "/fd"), fs::directory_iterator());
    most_open_ = std::max(most_open_, static_cast<std::size_t>(open));
    std::this_thread::sleep_for(20ms);
  }

  // Of a host that only the list of the return names; no client's turn is waited for.
  bool told() { return call(admin_address_, "ONLINE new") == "ACK"; }

  double busy() const {
    std::ifstream in("/proc/" + std::to_string(process_->pid()) + "/stat");
    std::vector<std::string> words{std::istream_iterator<std::string>(in), {}};
    return (std::stod(words.at(13)) + std::stod(words.at(14))) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }

  Place place_;
  boost::asio::io_context context_;
  std::uint16_t port_ = 0;
  int number_ = 0, served_ = 0, shut_ = 0, late_calls_ = 0;
  double longest_served_ = 0;
  std::size_t most_open_ = 0;
  bool once_ = false, closed_ = false;
};

TEST(Descriptors, IdleClientsKeepItFromNothingWhileDiscoveryIsAway) {
  const std::vector<Place> places = {
      {"discovery silent, 128", 128, 128, false},
      {"discovery refuses, 96", 96, 96, true},
      {"fewer than configured", 256, 96, false},
  };
  std::list<World> worlds;
  for (const Place& place : places) worlds.emplace_back(place);
  std::vector<std::jthread> threads;
  for (World& world : worlds) threads.emplace_back([&world] { world.play(); });
}

}  // namespace
}  // namespace myrtlegrade::test
