// Tests of relay processes that replicate messages: the duties of the last surviving relay.
#include <array>
#include <atomic>
#include <list>
#include <stop_token>
#include <thread>

#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

class CopiesRelaysTest : public RelayTest {
 protected:
  static constexpr int kRelays = 3;

  // Returns an address that no other test and no other relay of this test uses.
  static std::string at(int relay, const char* port) {
    const int pid = ::getpid();
    return "127." + std::to_string(64 + (pid >> 8) % 64) + '.' + std::to_string(pid & 255) + '.' +
           std::to_string(relay + 1) + ':' + port;
  }
  void start_all() {
    for (int n = 0; n < kRelays; ++n) {
      const std::string name = "n" + std::string(1, static_cast<char>('0' + n));
      json::object c = config();
      c["name"] = name;
      c["fleet"] = json::object{{"name", "f"},     {"bind", at(n, "7300")},
                                {"machine", name}, {"seeds", {at(0, "7300"), at(1, "7300")}},
                                {"probe_ms", 250}, {"ack_ms", 100}};
      c["copies"] = json::object{{"bind", at(n, "7301")}, {"advertise", at(n, copies_port_)}};
      const fs::path file = folder_ / (name + ".json"), state = folder_ / ("state-" + name);
      fs::create_directory(state);
      std::ofstream(file) << json::serialize(c);
      relays_.emplace_back(
          PROGRAM, std::map<std::string, std::string>{{"PROXY_CONFIG", file}, {"PROXY_STATE", state}});
    }
    address_ = relays_.front().address();
  }
  // Waits until the first relay accepts messages, that is, has members that store its copies.
  bool wait_copied() {
    const auto limit = SteadyClock::now() + 20s;
    for (int i = 0; SteadyClock::now() < limit; ++i) {
      if (submit("warm-" + std::to_string(i), "note", 2) == 202U) return true;
      std::this_thread::sleep_for(50ms);
    }
    return false;
  }
  bool noticed(const std::string& id) {
    return watched_.read([&] { return notices_.contains(id); });
  }
  const char* copies_port_ = "7301";  // that other relays are told
  std::list<Process> relays_;
};

// Forwards connections to an address, and sends every few chunks of what comes back twice: a copy of whole
// frames, or noise where a chunk ends within one.
class RepeatingProxy {
 public:
  RepeatingProxy(const std::string& listen, const std::string& to, bool in_one_write)
      : in_one_write_(in_one_write), to_(endpoint(to)), acceptor_(context_, endpoint(listen)) {
    accepting_ = std::jthread([this](const std::stop_token& stop) {
      acceptor_.non_blocking(true);
      while (!stop.stop_requested()) {
        boost::system::error_code error;
        tcp::socket client = acceptor_.accept(error);
        if (error) {
          std::this_thread::sleep_for(2ms);
        } else {
          connections_.emplace_back([this, client = std::move(client)](const std::stop_token& end) mutable {
            forward(client, end);
          });
        }
      }
    });
  }
  ~RepeatingProxy() {
    accepting_.request_stop();
    accepting_.join();
    connections_.clear();
  }
  int repeated() const { return repeated_; }

 private:
  static tcp::endpoint endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
  }
  void forward(tcp::socket& client, const std::stop_token& stop) {
    boost::system::error_code error;
    tcp::socket server(context_);
    server.connect(to_, error);
    client.non_blocking(true, error);
    server.non_blocking(true, error);
    std::array<char, 4096> bytes;
    for (bool open = !error; open && !stop.stop_requested();) {
      bool idle = true;
      for (const bool back : {false, true}) {
        tcp::socket& from = back ? server : client;
        tcp::socket& into = back ? client : server;
        const std::size_t count = from.read_some(boost::asio::buffer(bytes), error);
        if (error && error != boost::asio::error::would_block) open = false;
        if (count == 0) continue;
        idle = false;
        std::string text(bytes.data(), count);
        const bool repeats = back && ++chunks_ % 20 == 0;
        if (repeats) ++repeated_;
        if (repeats && in_one_write_) text += text;
        boost::asio::write(into, boost::asio::buffer(text), error);
        if (repeats && !in_one_write_) {
          std::this_thread::sleep_for(2ms);
          boost::asio::write(into, boost::asio::buffer(text), error);
        }
      }
      if (idle) std::this_thread::sleep_for(500us);
    }
  }

  bool in_one_write_;
  boost::asio::io_context context_;
  tcp::endpoint to_;
  tcp::acceptor acceptor_;
  std::atomic<int> chunks_{0}, repeated_{0};
  std::list<std::jthread> connections_;
  std::jthread accepting_;
};

// Guards against late notices from the last surviving relay. The owner and one copy holder are killed; the
// other holder is stopped for 0.15 s per message, the longest stall that the protocol allows. Deadlines 510
// ms apart fall into each phase of the relay's 100 ms cycle. A stall begins at the deadline, or when half of
// the time allowed for the notice has passed.
TEST_F(CopiesRelaysTest, AHolderAloneThatIsHeldUpEndsMessagesInTime) {
  constexpr auto kFirstTimeout = 2500ms, kInterval = 510ms, kNoticeDeadline = 300ms, kStall = 150ms;
  constexpr int kMessages = 12;
  add_host("h", 2, "plain", kAccept);
  add_host("silent", 3, "plain", silent());
  start_all();
  ASSERT_TRUE(wait_copied());
  std::vector<SteadyClock::time_point> deadlines;
  for (int i = 0; i < kMessages; ++i) {
    const auto timeout = kFirstTimeout + i * kInterval;
    deadlines.push_back(SteadyClock::now() + timeout);
    const Request request =
        with_timeout(message("m" + std::to_string(i), "note", 3), static_cast<int>(timeout / 1ms));
    ASSERT_EQ(ask(address_, request).result_int(), 202U);
  }
  for (auto relay = relays_.begin(); relay != std::prev(relays_.end()); ++relay) relay->signal(SIGKILL);
  int late = 0;
  for (int i = 0; i < kMessages; ++i) {
    const auto deadline = deadlines[static_cast<std::size_t>(i)];
    std::this_thread::sleep_until(deadline + (i < 2 ? 0ms : kNoticeDeadline - kStall + 1ms));
    relays_.back().signal(SIGSTOP);
    std::this_thread::sleep_for(kStall);
    relays_.back().signal(SIGCONT);
    std::this_thread::sleep_until(deadline + kNoticeDeadline);
    late += noticed("m" + std::to_string(i)) ? 0 : 1;
  }
  EXPECT_EQ(late, 0) << "of " << kMessages;
}

// What other relays answer on the connections of the copies, with a second copy or noise right behind it:
// messages are accepted and delivered once all the same.
TEST_F(CopiesRelaysTest, WhatFollowsTheAnswersOfOtherRelaysChangesNothing) {
  add_host("h", 2, "plain", kAccept);
  copies_port_ = "7302";
  std::list<RepeatingProxy> proxies;
  for (int n = 0; n < kRelays; ++n) proxies.emplace_back(at(n, "7302"), at(n, "7301"), n % 2 == 0);
  start_all();
  ASSERT_TRUE(wait_copied());
  std::vector<std::string> accepted;
  for (int i = 0; i < 200; ++i) {
    const std::string id = std::to_string(i);
    if (submit(id, "refund", 2) == 202U) accepted.push_back(id);
  }
  EXPECT_GT(accepted.size(), 100U);
  for (const std::string& id : accepted) {
    EXPECT_TRUE(watched_.wait([&] { return deliveries_of(id) > 0 || notices_.contains(id); })) << id;
    EXPECT_LE(count_deliveries(id), 1U) << id;
  }
  int repeated = 0;
  for (const RepeatingProxy& proxy : proxies) repeated += proxy.repeated();
  EXPECT_GT(repeated, 5);
}

}  // namespace
}  // namespace myrtlegrade::test
