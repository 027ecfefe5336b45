// How soon a process is ready: the real program, started on journals that the relay's own class wrote.
//
// Sizes in MB of disk, for how many partners, and how many processes start at once come from READY_MB,
// READY_PARTNERS and READY_PROCESSES, so that the figures of docs/recovery.md can be taken again; without
// them they are small.
#include <sstream>
#include <thread>

#include "journal.h"
#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

std::string setting(const char* name, const char* otherwise) {
  const char* value = ::getenv(name);
  return value ? value : otherwise;
}

std::vector<double> numbers(const std::string& text) {
  std::istringstream in(text);
  std::vector<double> all;
  for (std::string word; std::getline(in, word, ',');) all.push_back(std::stod(word));
  return all;
}

std::size_t partners() { return std::stoul(setting("READY_PARTNERS", "16")); }

struct Written {
  std::size_t messages = 0;  // still owed
  double mb = 0;             // of the file
};

// As full as a journal gets: with so many messages as it has room for, and then with as many records of ended
// ones as it takes before it would be written anew.
Written write_journal(const fs::path& folder, double disk_mb, std::size_t body) {
  const auto most = static_cast<std::uint64_t>(disk_mb * 1e6);
  Journal journal(folder, most);
  const Timestamp now = read_clocks();
  const auto accept = [&](const std::string& id, std::size_t i) {
    journal.accept(
        {id, "receipt", 2 + i % partners(), "key-of-" + id, std::string(body, 'b'), now + 60s, {}});
  };
  Written written;
  std::size_t unwritten = 0;
  const auto flush = [&](std::size_t bytes) {  // each one goes through all that is owed
    unwritten += bytes;
    if (unwritten < most / 50) return;
    unwritten = 0;
    ASSERT_TRUE(journal.flush());
  };
  while (journal.has_room(body + 100)) {
    accept("owed-" + std::to_string(written.messages), written.messages);
    ++written.messages;
    flush(body + 100);
  }
  EXPECT_TRUE(journal.flush());
  // Anew at four times what matters, or at nine tenths of the room, with the new file beside it.
  const auto size = [&] { return static_cast<double>(fs::file_size(folder / "journal")); };
  const double enough = std::min(3.8 * size(), 0.48 * disk_mb * 1e6);
  std::vector<std::string> ended;
  for (std::size_t i = 0; size() < enough; ++i) {
    ended.push_back("ended-" + std::to_string(i));
    accept(ended.back(), i);
    journal.record_attempt(ended.back(), 0, {"h", "a", now});
    if (ended.size() * body < most / 50) continue;
    EXPECT_TRUE(journal.flush());  // what is ended before it is written leaves no record
    for (const std::string& id : std::exchange(ended, {})) journal.complete(id);
    EXPECT_TRUE(journal.flush());
  }
  written.mb = size() / 1e6;
  return written;
}

class ReadyTest : public RelayTest {
 protected:
  void add_partners() {
    for (std::size_t i = 0; i < partners(); ++i) {
      add_host("h" + std::to_string(i), static_cast<int>(2 + i), "plain", silent());
    }
  }
  // Seconds until it says 200 at the clients' address.
  static double ready_within(std::optional<Process>& process, const fs::path& config, const fs::path& state) {
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
  add_partners();
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
        const double seconds = ready_within(process_, folder_ / "config.json", copy);
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
  add_partners();
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
        seconds[i] = ready_within(processes[i], folder_ / "config.json", folder_ / std::to_string(i));
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
