// Fixture for tests with real processes of one relay that hand over to each other while calls are in flight.
#pragma once

#include <sys/socket.h>

#include "upgrade_fixture.h"

namespace myrtlegrade::test {

// Longest pause of a process that the relay's guarantees allow for, at any point.
inline constexpr auto kMaxStall = 150ms;

class HandoverTest : public UpgradeTest {
 protected:
  // Adds an endpoint that does not respond until `released_`, and detects a message that arrives again while
  // an earlier call with it is open.
  void add_silent_host(const std::string& id, int cell, const std::string& kind) {
    add_host(id, cell, kind,
             [this](tcp::socket& socket, Request& request) { return hold_call(socket, request); });
  }

  bool hold_call(tcp::socket& socket, Request& request) {
    const int file = socket.native_handle();
    const std::vector<std::string> ids = messages_of(request);
    watched_.change([&] {
      for (const std::string& id : ids) record_arrival(id, file);
    });
    while (!watched_.read([this] { return test_over_ || released_; }) && is_open(file)) {
      std::this_thread::sleep_for(2ms);
    }
    watched_.change([&] {
      for (const std::string& id : ids) std::erase(open_calls_[id], file);
    });
    return is_open(file) && kAccept(socket, request);
  }

  void record_arrival(const std::string& id, int file) {
    std::vector<int>& files = open_calls_[id];
    if (std::ranges::any_of(files, is_open)) overlapping_calls_.push_back(id);
    files.push_back(file);
  }

  static bool is_open(int file) {
    char byte = 0;
    const ssize_t size = ::recv(file, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size > 0 || (size < 0 && errno == EAGAIN);
  }

  static std::vector<std::string> messages_of(const Request& request) {
    if (request.target() == "/inbox") return {std::string(request["X-Request-ID"])};
    std::vector<std::string> ids;
    const json::value entries = json::parse(request.body());
    for (const json::value& entry : entries.as_array()) ids.emplace_back(entry.at("id").as_string());
    return ids;
  }

  // Timeouts follow from the latency targets (`aim`): once that of `note`, twice that of `refund`.
  static json::object with_aims(json::object config, double note_ms, double refund_ms) {
    json::array& classes = config["settings"].as_object()["classes"].as_array();
    for (json::value& cls : classes) {
      cls.as_object()["aim"] = cls.at("name").as_string() == "refund" ? refund_ms : note_ms;
    }
    return config;
  }

  void start_old(double note_ms, double refund_ms) {
    note_ms_ = note_ms;
    refund_ms_ = refund_ms;
    start(with_aims(with_admin_address(), note_ms, refund_ms));
  }

  // Makes the shim delay each close of a connection of the old process.
  void delay_closes_of_old() {
    environment_["LD_PRELOAD"] = SHIM;
    environment_["SOAK_CLOSE_MS"] = std::to_string(kMaxStall.count());
  }

  void start_next(std::optional<Process>& process) {
    const fs::path file = folder_ / "next.json";
    json::object changed = with_aims(with_admin_address(), note_ms_, refund_ms_);
    changed["listen"] = address_;
    std::ofstream(file) << json::serialize(changed);
    std::map<std::string, std::string> environment = next_environment_;
    environment.emplace("PROXY_CONFIG", file);
    environment.emplace("PROXY_STATE", folder_ / "state");
    process.emplace(PROGRAM, environment);
  }

  // Starts `to` as standby of `from`, and ends `from` so that `to` takes over.
  void upgrade(std::optional<Process>& from, std::optional<Process>& to) {
    start_next(to);
    ASSERT_TRUE(wait_healthy(to));
    from->signal(SIGTERM);
    ASSERT_TRUE(wait_log(to, "took over"));
  }

  static bool wait_log(const std::optional<Process>& process, const std::string& text) {
    const auto until = SteadyClock::now() + 10s;
    while (process->log_with_start().find(text) == std::string::npos) {
      if (SteadyClock::now() > until) return false;
      std::this_thread::sleep_for(2ms);
    }
    return true;
  }

  std::vector<std::string> overlapping_calls() {
    return watched_.read([this] { return overlapping_calls_; });
  }

  // Expects that the message is sent once more, after all earlier calls have ended.
  void expect_repeated_after_calls_end(const std::string& id) {
    EXPECT_TRUE(wait_delivered(id, 2)) << "the message is not completed yet";
    EXPECT_EQ(overlapping_calls(), std::vector<std::string>{});
  }

  double note_ms_ = 0, refund_ms_ = 0;
  std::map<std::string, std::string> next_environment_;  // of standby processes
  std::map<std::string, std::vector<int>> open_calls_;   // sockets, by message
  std::vector<std::string> overlapping_calls_;
  std::optional<Process> third_;
};

}  // namespace myrtlegrade::test
