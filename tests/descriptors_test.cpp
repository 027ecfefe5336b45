// The relay program with few descriptors, idle clients that take all connections they can get, and discovery
// unreachable for 8 s.
#include <poll.h>

#include <atomic>
#include <iterator>
#include <sstream>
#include <thread>

#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr auto kOutage = 8s;
constexpr auto kUpdateDeadline = 6s;          // after discovery became reachable again
constexpr double kCloseDeadlineSeconds = 3;   // for an error or a close to a client that sends no request
constexpr double kStallToleranceSeconds = 2;  // that a busy machine may add to that
constexpr double kMaxCpuSeconds = 4;          // of processor time in these 8 s

// Clients that connect, send nothing, half a request, or one request and then stay idle, and reconnect when
// they are closed.
class IdleClients {
 public:
  IdleClients(std::string address, std::size_t count) : address_(std::move(address)) {
    for (std::size_t i = 0; i < count; ++i) connect_client(clients_.emplace_back(context_), i);
    thread_ = std::jthread([this](const std::stop_token& stop) {
      while (!stop.stop_requested()) poll_clients();
    });
  }

  // Returns the longest time in seconds that a client without a complete request waited for a close,
  // including those that still wait.
  double longest_wait() const { return longest_wait_; }
  std::size_t closed() const { return closed_; }

 private:
  struct Client {
    explicit Client(boost::asio::io_context& context) : socket(context) {}
    tcp::socket socket;
    SteadyClock::time_point since{};
    bool asked = false;
  };

  void connect_client(Client& client, std::size_t i) {
    try {
      client.socket = connect(context_, address_);
      client.since = SteadyClock::now();
      client.asked = i % 4 == 0;
      const std::string request = i % 4 == 0   ? "GET /_health HTTP/1.1\r\n\r\n"
                                  : i % 4 == 1 ? "POST /note HTTP/1.1\r\nX-Requ"
                                               : "";
      boost::system::error_code ignored;
      boost::asio::write(client.socket, boost::asio::buffer(request), ignored);
    } catch (const std::exception&) {  // closed at once: it reconnects later
      client.socket = tcp::socket(context_);
    }
  }

  void poll_clients() {
    std::vector<pollfd> ready;
    for (Client& client : clients_) ready.push_back({client.socket.native_handle(), POLLIN, 0});
    ::poll(ready.data(), ready.size(), 20);
    std::size_t i = 0;
    for (Client& client : clients_) {
      const std::size_t at = i++;
      const auto waited = Seconds(SteadyClock::now() - client.since).count();
      if (client.socket.is_open() && !client.asked) longest_wait_ = std::max(longest_wait_.load(), waited);
      if (client.socket.is_open() && ready[at].revents == 0) continue;
      char bytes[1024];
      if (client.socket.is_open() && ::recv(ready[at].fd, bytes, sizeof bytes, MSG_DONTWAIT) > 0) continue;
      ++closed_;
      connect_client(client, at);
    }
  }

  std::string address_;
  boost::asio::io_context context_;
  std::list<Client> clients_;
  std::atomic<double> longest_wait_ = 0;
  std::atomic<std::size_t> closed_ = 0;
  std::jthread thread_;
};

struct Scenario {
  std::string name;
  std::size_t sockets = 0;      // as configured
  std::size_t descriptors = 0;  // that the process may open
  // During the outage discovery refuses connections; otherwise it accepts them and is silent.
  bool refuses = false;
};

// A relay with its clients, hosts and discovery service.
class RelayUnderLoad : public RelayTest {
 public:
  explicit RelayUnderLoad(Scenario scenario) : scenario_(std::move(scenario)) {}
  void TestBody() override {}

  // Checks the duties that idle clients must not keep the relay from.
  void run() {
    SCOPED_TRACE(scenario_.name);
    prepare();
    const IdleClients idle_clients(address_, 4 * scenario_.descriptors);
    std::list<tcp::socket> callers;  // of the admin address, which send nothing
    for (int i = 0; i < 12; ++i) callers.push_back(connect(context_, admin_address_));
    stop_discovery();
    const auto left = SteadyClock::now();
    const double cpu_before = cpu_seconds();
    while (SteadyClock::now() - left < kOutage) serve_a_client();
    const double cpu_used = cpu_seconds() - cpu_before;
    restart_discovery();
    const auto back = SteadyClock::now();
    while (!list_received() && SteadyClock::now() - back < 3 * kUpdateDeadline)
      std::this_thread::sleep_for(10ms);
    const auto received_after = SteadyClock::now() - back;
    EXPECT_EQ(try_hand_in("told", "note", 9), 202U);
    EXPECT_LT(received_after, kUpdateDeadline);
    watched_.change([&] { released_ = true; });
    EXPECT_TRUE(wait_notice("once", "given_up")) << "its client was told that it was accepted";
    for (int i = 0; i < kQueuedMessages; ++i) EXPECT_TRUE(wait_delivered("held-" + std::to_string(i))) << i;
    EXPECT_LT(cpu_used, kMaxCpuSeconds) << "seconds of processor time";
    EXPECT_LE(most_open_, scenario_.descriptors);
    EXPECT_LT(idle_clients.longest_wait(), kCloseDeadlineSeconds + kStallToleranceSeconds)
        << "seconds with neither an error nor a close";
    EXPECT_GT(served_, failed_) << "regular clients";
    EXPECT_EQ(late_admin_calls_, 0) << "admin calls";
    std::printf(
        "%s: list received %.2f s after the outage, %.2f s of processor time in %.0f s, "
        "%zu descriptors at most of %zu, regular clients %d served (%.2f s at most) and %d not, "
        "the idle clients closed %zu times and %.2f s at most\n",
        scenario_.name.c_str(), Seconds(received_after).count(), cpu_used, Seconds(kOutage).count(),
        most_open_, scenario_.descriptors, served_, longest_served_, failed_, idle_clients.closed(),
        idle_clients.longest_wait());
  }

 private:
  static constexpr int kQueuedMessages = 36;

  // Starts the relay with calls to silent hosts, as many as may be in flight.
  void prepare() {
    open_discovery(0);
    add_host("h", 2, "plain", kAccept);
    for (int i = 0; i < 4; ++i) add_host("silent-" + std::to_string(i), 10 + i, "plain", silent());
    add_host("breaks", 3, "plain", [](tcp::socket&, Request&) { return false; });
    json::object changed = with_admin_address();
    changed["limits"].as_object()["sockets"] = scenario_.sockets;
    changed["settings"].as_object()["allowed"].as_object()["maxOpen"] = 200;
    const fs::path file = folder_ / "config.json", program = folder_ / "program";
    std::ofstream(file) << json::serialize(changed);
    std::ofstream(program) << "#!/bin/sh\nulimit -n " << scenario_.descriptors << "\nexec " << PROGRAM
                           << "\n";
    fs::permissions(program, fs::perms::owner_all);
    process_.emplace(program, std::map<std::string, std::string>{{"PROXY_CONFIG", file},
                                                                 {"PROXY_STATE", folder_ / "state"}});
    address_ = process_->address();
    admin_address_ = process_->second_address();
    push(list());
    for (int i = 0; i < kQueuedMessages; ++i) {
      // Enough time for hosts in slow start, of which nothing is known yet.
      const Request held = message("held-" + std::to_string(i), "note", 10 + i % 4, std::string(4096, 'b'));
      ASSERT_EQ(ask(address_, with_timeout(held, 60'000)).result_int(), 202U);
    }
  }

  void stop_discovery() {
    watched_.change([&] {
      if (!scenario_.refuses) silent_service_ = "first";  // its connections stay open, even after the outage
      closed_ = scenario_.refuses;
      ++watches_to_end_;
    });
    if (scenario_.refuses) discovery_.reset();
  }

  void restart_discovery() {
    add_host("new", 9, "plain", kAccept);
    push(list());
    watched_.change([&] {
      silent_service_.clear();
      closed_ = false;
    });
    if (scenario_.refuses) open_discovery(port_);
  }

  void open_discovery(std::uint16_t port) {
    discovery_.emplace(
        [this](tcp::socket& socket, Request& request) {
          return !watched_.read([this] { return closed_; }) && discover("first", socket, request);
        },
        port);
    port_ = static_cast<std::uint16_t>(std::stoi(discovery_->address().substr(10)));
  }

  // A regular client opens a connection for each message and retries if it is closed unread.
  unsigned try_hand_in(const std::string& id, const std::string& cls, int dest) {
    const auto start = SteadyClock::now();
    try {
      const unsigned status = submit(id, cls, dest, std::string(4096, 'b'));
      ++served_;
      longest_served_ = std::max(longest_served_, Seconds(SteadyClock::now() - start).count());
      return status;
    } catch (const std::exception&) {
      ++failed_;
      return 0;
    }
  }

  void serve_a_client() {
    try_hand_in("usual-" + std::to_string(number_++), "note", 2);
    if (!once_) once_ = try_hand_in("once", "refund", 3) == 202;
    const auto start = SteadyClock::now();
    if (call(admin_address_, "HEALTH") != "ACK" || SteadyClock::now() - start > 1s) ++late_admin_calls_;
    const auto open = std::distance(
        fs::directory_iterator("/proc/" + std::to_string(process_->pid()) + "/fd"), fs::directory_iterator());
    most_open_ = std::max(most_open_, static_cast<std::size_t>(open));
    std::this_thread::sleep_for(20ms);
  }

  // Returns whether the relay knows the host that is listed only since the outage. Needs no client
  // connection.
  bool list_received() { return call(admin_address_, "ONLINE new") == "ACK"; }

  double cpu_seconds() const {
    std::ifstream in("/proc/" + std::to_string(process_->pid()) + "/stat");
    std::vector<std::string> words{std::istream_iterator<std::string>(in), {}};
    return (std::stod(words.at(13)) + std::stod(words.at(14))) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }

  Scenario scenario_;
  boost::asio::io_context context_;
  std::uint16_t port_ = 0;
  int number_ = 0, served_ = 0, failed_ = 0, late_admin_calls_ = 0;
  double longest_served_ = 0;
  std::size_t most_open_ = 0;
  bool once_ = false, closed_ = false;
};

TEST(Descriptors, IdleClientsKeepItFromNothingWhileDiscoveryIsAway) {
  const std::vector<Scenario> scenarios = {
      {"discovery silent, 128", 128, 128, false},
      {"discovery refuses, 96", 96, 96, true},
      {"fewer than configured", 256, 96, false},
  };
  std::list<RelayUnderLoad> relays;
  for (const Scenario& scenario : scenarios) relays.emplace_back(scenario);
  std::vector<std::jthread> threads;
  for (RelayUnderLoad& relay : relays) threads.emplace_back([&relay] { relay.run(); });
}

}  // namespace
}  // namespace myrtlegrade::test
