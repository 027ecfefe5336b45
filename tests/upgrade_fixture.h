// Fixture for tests of upgrades: two real processes of one relay, one active and one standby.
#pragma once

#include "relay_fixture.h"

namespace myrtlegrade::test {

class UpgradeTest : public RelayTest {
 protected:
  void start_old() {
    add_host("h", 2, "plain", kAccept);
    add_host("h2", 3, "plain", kAccept);
    start(with_admin_address());
  }
  // Configuration of the new process: the addresses of the old one, except for an admin address of its own.
  json::object standby_config() const {
    json::object changed = with_admin_address();
    changed["listen"] = address_;
    return changed;
  }
  void start_standby(std::optional<Process>& process) {
    const fs::path file = folder_ / "standby.json";
    std::ofstream(file) << json::serialize(standby_config());
    process.emplace(PROGRAM, std::map<std::string, std::string>{{"PROXY_CONFIG", file},
                                                                {"PROXY_STATE", folder_ / "state"}});
  }
  static int end(std::optional<Process>& process, int signal) {
    process->signal(signal);
    const int status = process->wait();
    process.reset();
    return status;
  }
  static bool healthy(const std::optional<Process>& process) {
    return call(process->second_address(), "HEALTH") == "ACK";
  }
  bool wait_healthy(const std::optional<Process>& process) {
    for (int i = 0; i < 5000; ++i) {
      if (healthy(process)) return true;
    }
    return false;
  }
  // Submits messages to a silent host: some are in calls without a response, the rest are queued.
  void fill(const std::string& prefix, const std::string& cls, int count) {
    for (int i = 0; i < count; ++i) ASSERT_EQ(submit(prefix + std::to_string(i), cls, 2), 202U);
  }
  std::optional<Process> new_;
};

}  // namespace myrtlegrade::test
