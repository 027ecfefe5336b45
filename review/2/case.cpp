// Three relays. One of twenty endpoints hangs for some seconds; meanwhile a clump of large messages for its partner arrives
// at once. Messages for the other partners, which are well all the time, keep coming. Long after the hang is over, and after
// a restart, the relays still have to take messages on: at most one in ten may reject all that it gets for 4 s on end.
#include "rig/config.h"

using namespace rig;

namespace {

constexpr int kRelays = 3;           // the site: 2 to 3
constexpr double kDiskMb = 3;        // DEPLOY's example
constexpr double kHangFrom = 2, kHang = 7.5;  // the site's hang: 7.3 to 22 s
constexpr int kEndpoints = 20, kWellPartners = 10;
constexpr double kClumpAt = 3;
constexpr int kClump = 34;           // messages for the hung partner, at each relay
constexpr int kClumpBody = 65'000;   // PROTOCOL: a body holds 64 KiB at most
constexpr double kJudgeFrom = 28;    // the hang is over for 18.5 s, and all messages of the clump are past their time
constexpr double kRestartAt = 38;    // SIGTERM and a new process: for the record
constexpr double kEnd = 52;
constexpr double kRejects = 4;       // STANDING: rejects all that it gets for 4 s on end ...
constexpr int kLeast = 15;           // ... 15 or more ...

std::atomic<bool> hung{false};
std::mutex mutex;
std::vector<double> attempts[kRelays];  // ... with no attempt in between
struct Answered {
  double at;
  int status;
};
std::vector<Answered> answers[kRelays];

void attempt(const Http& call) {
  for (const std::string& id : ids_of(call)) {  // an id begins with its relay's number
    note("called %s", id.c_str());
    std::lock_guard lock(mutex);
    attempts[id.at(0) - '0'].push_back(now());
  }
}

void answered(const std::string& id, int status) {
  note("message %s answered %d", id.c_str(), status);
  std::lock_guard lock(mutex);
  answers[id.at(0) - '0'].push_back({now(), status});
}

// The longest time in [from, until) in which a relay rejected all that it got and called nobody, with 15 messages or
// more in it.
double longest_rejection(int relay, double from, double until) {
  std::lock_guard lock(mutex);
  std::ranges::sort(answers[relay], {}, &Answered::at);
  double longest = 0, begin = -1;
  int count = 0;
  std::vector<double> calls = attempts[relay];
  std::ranges::sort(calls);
  for (const Answered& a : answers[relay]) {
    if (a.at < from || a.at >= until) continue;
    const bool rejected = a.status == 503 || a.status == 429;
    const auto call = std::ranges::lower_bound(calls, begin);
    if (!rejected || begin < 0 || (call != calls.end() && *call <= a.at)) {
      begin = rejected ? a.at : -1;
      count = 0;
    }
    ++count;
    if (begin >= 0 && count >= kLeast) longest = std::max(longest, a.at - begin);
  }
  return longest;
}

}  // namespace

int main(int argc, char** argv) {
  const Run run = begin(argc, argv);
  Platform platform;
  Endpoint sick("s-1000", 1, [](const Http& call, int fd) {
    attempt(call);
    while (hung) {
      if (closed_by_peer(fd)) return false;
      nap(0.01);
    }
    nap(0.2);
    return send_all(fd, done_answer(call));
  });
  std::vector<std::unique_ptr<Endpoint>> well;
  std::vector<std::string> entries{sick.entry()};
  for (int e = 1; e < kEndpoints; ++e) {
    well.push_back(std::make_unique<Endpoint>("s-" + std::to_string(1000 + e), 2 + e % kWellPartners, [](const Http& call, int fd) {
      attempt(call);
      nap(0.05);
      return send_all(fd, done_answer(call));
    }));
    entries.push_back(well.back()->entry());
  }
  platform.set_list(entries);
  std::vector<Relay> relays(kRelays);
  for (int r = 0; r < kRelays; ++r) {
    relays[r].root = run.root;
    relays[r].folder = run.folder / ("relay-" + std::to_string(r));
    relays[r].settings.name = "n" + std::to_string(r);
    relays[r].settings.relays = kRelays;
    relays[r].settings.listen = free_port();
    relays[r].settings.discovery = platform.port();
    relays[r].settings.known = platform.list();
    relays[r].settings.disk_mb = kDiskMb;
    relays[r].start();
  }
  for (const Relay& relay : relays) {
    if (wait_ready(relay.settings.listen) < 0) cannot_run("a relay is not ready");
  }
  const double zero = now();
  const auto at = [&](double t) { nap(zero + t - now()); };
  const auto note_folders = [&] {
    for (int r = 0; r < kRelays; ++r) note("n%d: the folder holds %.3f MB", r, static_cast<double>(relays[r].disk_bytes()) / 1e6);
  };

  std::atomic<bool> stop{false}, paused{false};
  const auto stream = [&](int relay, double gap, unsigned most, char name) {
    return std::thread([&, relay, gap, most, name] {
      unsigned seed = most + static_cast<unsigned>(relay);
      const double from = now();
      for (int n = 0; !stop; ++n) {
        nap(from + gap * n - now());
        if (paused) continue;
        char id[32];
        std::snprintf(id, sizeof id, "%d%c%014x", relay, name, n);
        const std::string body(most < 1000 ? most : static_cast<unsigned>(rand_r(&seed)) % most, 'x');
        answered(id, hand_in(relays[relay].settings.listen, id, "status-update", 2 + n % kWellPartners, 8000, body).status);
      }
    });
  };
  std::vector<std::thread> clients;
  for (int r = 0; r < kRelays; ++r) {
    clients.push_back(stream(r, 1 / 30.0, 212, 'a'));
    clients.push_back(stream(r, 1 / 20.0, 65'000, 'b'));
  }

  at(kHangFrom);
  hung = run.trouble;
  if (run.trouble) note("s-1000, the endpoint of partner 1, hangs");
  at(kClumpAt - 0.5);
  // The clump: all but the last byte of each request is written when the last bytes follow.
  struct Part {
    int fd;
    std::string id, text;
  };
  std::vector<Part> clump;
  for (int r = 0; r < kRelays; ++r) {
    for (int c = 0; c < kClump; ++c) {
      char id[32];
      std::snprintf(id, sizeof id, "%dc%014x", r, c);
      clump.push_back({connect_to(relays[r].settings.listen), id,
                       request_text(id, "collection", 1, 16000, std::string(kClumpBody, 'c'))});
      if (clump.back().fd < 0) cannot_run("no connection to a relay");
      send_all(clump.back().fd, std::string_view(clump.back().text).substr(0, clump.back().text.size() - 1));
    }
  }
  at(kClumpAt);
  for (int r = 0; r < kRelays; ++r) {
    for (int c = 0; c < kClump; ++c) {
      const Part& part = clump[static_cast<std::size_t>(r * kClump + c)];
      send_all(part.fd, std::string_view(part.text).substr(part.text.size() - 1));
      if (c == 0) nap(0.001);
    }
  }
  const double written = now();
  int clump_taken = 0;
  for (const Part& part : clump) {
    std::string rest;
    const auto answer = read_http(part.fd, rest, written + 0.4);
    note("message %s (clump) answered %d", part.id.c_str(), answer ? answer->status() : 0);
    if (answer && answer->status() == 202) ++clump_taken;
    ::close(part.fd);
  }
  note("clump: %d of %d taken on", clump_taken, kRelays * kClump);
  note_folders();
  at(kHangFrom + kHang);
  hung = false;
  if (run.trouble) note("s-1000 is well again");
  for (double t = kHangFrom + kHang; t < kRestartAt; t += 4) {
    at(t);
    note_folders();
  }
  at(kRestartAt);
  std::vector<double> before(kRelays), after(kRelays);
  for (int r = 0; r < kRelays; ++r) before[r] = longest_rejection(r, zero + kJudgeFrom, zero + kRestartAt);
  if (run.trouble) {
    note("SIGTERM to all relays");
    for (const Relay& relay : relays) ::kill(relay.pid, SIGTERM);
    const double term = now();
    paused = true;
    for (const Relay& relay : relays) {
      bool ended = false;
      while (!(ended = has_ended(relay.pid)) && now() - term < 3.7) nap(0.01);
      if (ended) continue;
      ::kill(relay.pid, SIGKILL);
      wait_end(relay.pid);
    }
    nap(0.6);
    for (Relay& relay : relays) relay.start();
    for (const Relay& relay : relays) {
      if (wait_ready(relay.settings.listen) < 0) note("%s is not ready after the restart", relay.settings.name.c_str());
    }
    paused = false;
    note("restarted");
  }
  const double again = now();
  at(kEnd);
  for (int r = 0; r < kRelays; ++r) after[r] = longest_rejection(r, again, zero + kEnd);
  stop = true;
  for (std::thread& c : clients) c.join();
  int rejecting = 0;
  std::ostringstream why;
  why << clump_taken << " of " << kRelays * kClump << " messages of the clump taken on; rejected all, in s on end before and "
      << "after " << kRestartAt << " s:";
  for (int r = 0; r < kRelays; ++r) {
    if (std::max(before[r], after[r]) >= kRejects) ++rejecting;
    why << " n" << r << " " << before[r] << " and " << after[r] << ", folder "
        << static_cast<double>(relays[r].disk_bytes()) / 1e6 << " MB;";
  }
  why << " " << rejecting << " of " << kRelays << " relays, with at most one in ten allowed";
  finish(run, rejecting * 10 > kRelays, why.str());
}
