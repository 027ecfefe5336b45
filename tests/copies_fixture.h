// Fixture for tests with three relays that hold copies of each other's messages.
#pragma once

#include <unistd.h>

#include "handover_fixture.h"

namespace myrtlegrade::test {

class CopiesTest : public HandoverTest {
 protected:
  static constexpr int kRelays = 3;

  // Returns an address that no other test and no other relay of this test uses.
  static std::string at(int relay, const char* port) {
    const int pid = ::getpid();
    return "127." + std::to_string(64 + (pid >> 8) % 128) + '.' + std::to_string(pid & 255) + '.' +
           std::to_string(relay + 1) + ':' + port;
  }

  virtual json::object config_of(int n, const std::string& listen) const {
    const std::string name = "n" + std::to_string(n);
    json::object c = with_aims(with_admin_address(), note_ms_, refund_ms_);
    c["name"] = name;
    c["listen"] = listen;
    c["fleet"] = json::object{{"name", "f"},     {"bind", at(n, "7300")},
                              {"machine", name}, {"seeds", {at(0, "7300"), at(1, "7300")}},
                              {"probe_ms", 250}, {"ack_ms", 100}};
    c["copies"] =
        json::object{{"bind", at(n, "7301")}, {"advertise", at(n, copies_port_)}, {"answer_ms", answer_ms_}};
    return c;
  }

  void start_relay(std::optional<Process>& process, int n, const std::string& listen = "127.0.0.1:0") {
    const std::string name = "n" + std::to_string(n);
    const fs::path file = folder_ / (name + ".json"), state = folder_ / ("state-" + name);
    fs::create_directories(state);
    std::ofstream(file) << json::serialize(config_of(n, listen));
    process.emplace(PROGRAM,
                    std::map<std::string, std::string>{{"PROXY_CONFIG", file}, {"PROXY_STATE", state}});
  }

  // Clients submit to n0.
  void start_relays() {
    for (int n = 0; n < kRelays; ++n) start_relay(relays_[static_cast<std::size_t>(n)], n);
    address_ = relays_[0]->address();
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

  static void take_over(std::optional<Process>& from, std::optional<Process>& to) {
    from->signal(SIGTERM);
    ASSERT_TRUE(wait_log(to, "took over"));
  }

  bool noticed(const std::string& id) {
    return watched_.read([&] { return notices_.contains(id); });
  }

  int answer_ms_ = 200;
  const char* copies_port_ = "7301";  // that other relays are told
  std::array<std::optional<Process>, kRelays> relays_;
};

}  // namespace myrtlegrade::test
