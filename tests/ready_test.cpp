// Time until a restarted process is ready: the real program, started on journals that the Journal class
// wrote.
//
// READY_MB sets the journal sizes in MB, READY_PARTNERS the number of destinations, and READY_PROCESSES the
// number of processes that start at once, so that the figures of docs/recovery.md can be reproduced. The
// defaults are small.
#include <sstream>
#include <thread>

#include "journal.h"
#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

std::string setting(const char* name, const char* fallback) {
  const char* value = ::getenv(name);
  return value ? value : fallback;
}

std::vector<double> numbers(const std::string& text) {
  std::istringstream in(text);
  std::vector<double> all;
  for (std::string word; std::getline(in, word, ',');) all.push_back(std::stod(word));
  return all;
}

std::size_t destination_count() { return std::stoul(setting("READY_PARTNERS", "16")); }

struct Written {
  std::size_t messages = 0;  // not completed
  double mb = 0;             // size of the file
};

// Fills the journal as far as possible: with as many messages as it accepts, then with as many records of
// completed ones as fit before a compaction.
Written write_journal(const fs::path& folder, double disk_mb, std::size_t body) {
  const auto max_bytes = static_cast<std::uint64_t>(disk_mb * 1e6);
  Journal journal(folder, max_bytes);
  const Timestamp now = read_clocks();
  const auto accept = [&](const std::string& id, std::size_t i) {
    journal.accept(
        {id, "receipt", 2 + i % destination_count(), "key-of-" + id, std::string(body, 'b'), now + 60s, {}});
  };
  Written written;
  std::size_t unwritten = 0;
  const auto flush = [&](std::size_t bytes) {  // each flush walks over all open messages
    unwritten += bytes;
    if (unwritten < max_bytes / 50) return;
    unwritten = 0;
    ASSERT_TRUE(journal.flush());
  };
  while (journal.has_room(20, body + 80)) {
    accept("owed-" + std::to_string(written.messages), written.messages);
    ++written.messages;
    flush(body + 100);
  }
  EXPECT_TRUE(journal.flush());
  // A compaction starts at four times the live data, or where the live data would no longer fit beside the
  // file.
  const auto size = [&] { return static_cast<double>(fs::file_size(folder / "journal")); };
  const double target = std::min(3.8 * size(), 0.48 * disk_mb * 1e6);
  std::vector<std::string> completed;
  for (std::size_t i = 0; size() < target; ++i) {
    completed.push_back("ended-" + std::to_string(i));
    accept(completed.back(), i);
    journal.record_attempt(completed.back(), 0, {"h", "a", now});
    constexpr std::size_t kRecordBytes = 400;  // of a completed message, besides its body
    if (completed.size() * (body + kRecordBytes) < max_bytes / 200) continue;
    EXPECT_TRUE(journal.flush());  // a message completed before it is written leaves no record
    for (const std::string& id : std::exchange(completed, {})) journal.complete(id);
    EXPECT_TRUE(journal.flush());
  }
  written.mb = size() / 1e6;
  return written;
}

class ReadyTest : public RelayTest {
 protected:
  void add_destinations() {
    for (std::size_t i = 0; i < destination_count(); ++i) {
      add_host("h" + std::to_string(i), static_cast<int>(2 + i), "plain", silent());
    }
  }
  // Starts the process, and returns the seconds until its health check returns 200 at the clients' address.
  static double seconds_until_ready(std::optional<Process>& process, const fs::path& config,
                                    const fs::path& state) {
    const auto start = SteadyClock::now();
    process.emplace(PROGRAM,
                    std::map<std::string, std::string>{{"PROXY_CONFIG", config}, {"PROXY_STATE", state}});
    while (ask(process->address(), Request{http::verb::get, "/_health", 11}).result_int() != 200) {
      std::this_thread::sleep_for(2ms);
    }
    return std::chrono::duration<double>(SteadyClock::now() - start).count();
  }
  static double peak_mb(const Process& process) {
    std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("VmHWM:")) return std::stod(line.substr(6)) * 1024 / 1e6;
    }
    return 0;
  }
};

TEST_F(ReadyTest, ItIsReadySoonOnAFullJournal) {
  add_destinations();
  for (const std::size_t body : {100U, 16384U}) {
    for (const double mb : numbers(setting("READY_MB", "1,4"))) {
      const fs::path state = folder_ / ("state-" + std::to_string(body) + "-" + std::to_string(mb));
      fs::create_directory(state);
      const Written written = write_journal(state, mb, body);
      for (const char* discovery : {"there", "silent"}) {
        watched_.change([&] { silent_service_ = discovery == std::string("silent") ? "first" : ""; });
        const fs::path copy = folder_ / "copy";
        fs::remove_all(copy);
        fs::copy(state, copy);
        json::object changed = config();
        changed["limits"].as_object()["disk_mb"] = mb;
        changed["settings"].as_object()["allowed"].as_object()["maxOpen"] = 2 * written.messages;
        std::ofstream(folder_ / "config.json") << json::serialize(changed);
        const double seconds = seconds_until_ready(process_, folder_ / "config.json", copy);
        std::printf(
            "disk %.0f MB, bodies %zu B, %zu owed, journal %.1f MB, discovery %s: %.3f s, peak %.0f MB\n", mb,
            body, written.messages, written.mb, discovery, seconds, peak_mb(*process_));
        EXPECT_LT(seconds, 10);
        process_.reset();
      }
      fs::remove_all(state);
    }
  }
}

TEST_F(ReadyTest, ManyRestartedAtOnceAreReadySoon) {
  add_destinations();
  const auto count = static_cast<std::size_t>(std::stoul(setting("READY_PROCESSES", "4")));
  std::ofstream(folder_ / "config.json") << json::serialize(config());
  const fs::path full = folder_ / "full";
  fs::create_directory(full);
  write_journal(full, disk_mb_, 1000);
  std::vector<std::optional<Process>> processes(count);
  std::vector<double> seconds(count);
  {
    std::vector<std::jthread> starters;
    for (std::size_t i = 0; i < count; ++i) {
      fs::copy(full, folder_ / std::to_string(i));
      starters.emplace_back([&, i] {
        seconds[i] = seconds_until_ready(processes[i], folder_ / "config.json", folder_ / std::to_string(i));
      });
    }
  }
  std::ranges::sort(seconds);
  std::printf("%zu processes at once: the first %.3f s, nine in ten %.3f s, all %.3f s\n", count,
              seconds.front(), seconds[(count * 9 + 9) / 10 - 1], seconds.back());
  EXPECT_LT(seconds[(count * 9 + 9) / 10 - 1], 10);
}

}  // namespace
}  // namespace myrtlegrade::test
