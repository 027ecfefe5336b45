// Relays that make copies, as processes: what the one that is left owes.
#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

class CopiesRelaysTest : public RelayTest {
 protected:
  static constexpr int kRelays = 3;

  // Each on an address of its own, which no other test has.
  static std::string at(int relay, const char* port) {
    const int own = ::getpid();
    return "127." + std::to_string(64 + (own >> 8) % 64) + '.' + std::to_string(own & 255) + '.' +
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
      c["copies"] = json::object{{"bind", at(n, "7301")}};
      const fs::path file = folder_ / (name + ".json"), state = folder_ / ("state-" + name);
      fs::create_directory(state);
      std::ofstream(file) << json::serialize(c);
      relays_.emplace_back(
          PROGRAM, std::map<std::string, std::string>{{"PROXY_CONFIG", file}, {"PROXY_STATE", state}});
    }
    address_ = relays_.front().address();
  }
  bool wait_copied() {  // until the first has found its holders
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
  std::list<Process> relays_;
};

// The owner and one holder are killed; the other holder is held up once, for the 0.15 s that the page allows.
// Ends 510 ms apart fall into each phase of what it does each 100 ms; a hold-up begins as they fall due, or
// when half of the time that a notice is owed within has gone.
TEST_F(CopiesRelaysTest, AHolderAloneThatIsHeldUpEndsMessagesInTime) {
  constexpr auto kFirst = 2500ms, kApart = 510ms, kOwed = 300ms, kHoldUp = 150ms;
  constexpr int kMessages = 12;
  add_host("h", 2, "plain", kAccept);
  add_host("silent", 3, "plain", silent());
  start_all();
  ASSERT_TRUE(wait_copied());
  std::vector<SteadyClock::time_point> ends;
  for (int i = 0; i < kMessages; ++i) {
    const auto lasts = kFirst + i * kApart;
    ends.push_back(SteadyClock::now() + lasts);
    const Request request =
        with_timeout(message("m" + std::to_string(i), "note", 3), static_cast<int>(lasts / 1ms));
    ASSERT_EQ(ask(address_, request).result_int(), 202U);
  }
  for (auto relay = relays_.begin(); relay != std::prev(relays_.end()); ++relay) relay->signal(SIGKILL);
  int late = 0;
  for (int i = 0; i < kMessages; ++i) {
    const auto end = ends[static_cast<std::size_t>(i)];
    std::this_thread::sleep_until(end + (i < 2 ? 0ms : kOwed - kHoldUp + 1ms));
    relays_.back().signal(SIGSTOP);
    std::this_thread::sleep_for(kHoldUp);
    relays_.back().signal(SIGCONT);
    std::this_thread::sleep_until(end + kOwed);
    late += noticed("m" + std::to_string(i)) ? 0 : 1;
  }
  EXPECT_EQ(late, 0) << "of " << kMessages;
}

}  // namespace
}  // namespace myrtlegrade::test
