// One of twenty endpoints hangs for some seconds; meanwhile a clump of large messages for its partner arrives at once.
// Messages for the other partners, which are well all the time, keep coming. Long after the hang is over, and after a
// restart, the relay still has to take messages on.
#include "rig/config.h"

using namespace rig;

namespace {

constexpr double kDiskMb = 3;        // DEPLOY's example
constexpr double kHangFrom = 2, kHang = 7.5;  // the site's hang: 7.3 to 22 s
constexpr int kEndpoints = 20, kWellPartners = 10;
constexpr double kClumpAt = 3;
constexpr int kClump = 34;           // messages for the hung partner
constexpr int kClumpBody = 65'000;   // PROTOCOL: a body holds 64 KiB at most
constexpr double kJudgeFrom = 28;    // the hang is over for 18.5 s, and all messages of the clump are past their time
constexpr double kRestartAt = 46;    // SIGTERM and a new process: for the record
constexpr double kEnd = 64;
constexpr double kRejects = 4;       // STANDING: rejects all that it gets for 4 s on end ...
constexpr int kLeast = 15;           // ... 15 or more ...

std::atomic<bool> hung{false};
std::mutex mutex;
std::vector<double> attempts;        // ... with no attempt in between
struct Answered {
  double at;
  int status;
};
std::vector<Answered> answers;

void attempt(const Http& call) {
  for (const std::string& id : ids_of(call)) note("called %s", id.c_str());
  std::lock_guard lock(mutex);
  attempts.push_back(now());
}

void answered(const std::string& id, int status) {
  note("message %s answered %d", id.c_str(), status);
  std::lock_guard lock(mutex);
  answers.push_back({now(), status});
}

// The longest time in [from, until) in which the relay rejected all that it got and called nobody, with 15 messages or
// more in it.
double longest_rejection(double from, double until) {
  std::lock_guard lock(mutex);
  std::ranges::sort(answers, {}, &Answered::at);
  double longest = 0, begin = -1;
  int count = 0;
  std::vector<double> calls = attempts;
  std::ranges::sort(calls);
  for (const Answered& a : answers) {
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
  Relay relay;
  relay.root = run.root;
  relay.folder = run.folder;
  relay.settings.listen = free_port();
  relay.settings.discovery = platform.port();
  relay.settings.known = platform.list();
  relay.settings.disk_mb = kDiskMb;
  relay.start();
  if (wait_ready(relay.settings.listen) < 0) cannot_run("the relay is not ready");
  const double zero = now();
  const auto at = [&](double t) { nap(zero + t - now()); };

  std::atomic<bool> stop{false}, paused{false};
  const int port = relay.settings.listen;
  const auto stream = [&](double gap, unsigned most, const char* name) {
    return std::thread([&, gap, most, name] {
      unsigned seed = most;
      const double from = now();
      for (int n = 0; !stop; ++n) {
        nap(from + gap * n - now());
        if (paused) continue;
        char id[32];
        std::snprintf(id, sizeof id, "%s%012x", name, n);
        const std::string body(most < 1000 ? most : static_cast<unsigned>(rand_r(&seed)) % most, 'x');
        answered(id, hand_in(port, id, "status-update", 2 + n % kWellPartners, 8000, body).status);
      }
    });
  };
  std::vector<std::thread> clients;
  clients.push_back(stream(1 / 30.0, 212, "a"));
  clients.push_back(stream(1 / 20.0, 65'000, "b"));

  at(kHangFrom);
  hung = run.trouble;
  if (run.trouble) note("s-1000, the endpoint of partner 1, hangs");
  at(kClumpAt - 0.5);
  // The clump: all but the last byte of each request is written when the last bytes follow.
  std::vector<int> fds;
  std::vector<std::string> texts;
  for (int c = 0; c < kClump; ++c) {
    char id[32];
    std::snprintf(id, sizeof id, "c%012x", c);
    texts.push_back(request_text(id, "collection", 1, 16000, std::string(kClumpBody, 'c')));
    fds.push_back(connect_to(port));
    send_all(fds.back(), std::string_view(texts.back()).substr(0, texts.back().size() - 1));
  }
  at(kClumpAt);
  for (std::size_t c = 0; c < fds.size(); ++c) {
    send_all(fds[c], std::string_view(texts[c]).substr(texts[c].size() - 1));
    if (c == 0) nap(0.001);
  }
  const double written = now();
  std::atomic<int> clump_taken{0};
  std::vector<std::thread> clump;
  for (std::size_t c = 0; c < fds.size(); ++c) {
    clump.emplace_back([&, c] {
      std::string rest;
      const auto answer = read_http(fds[c], rest, written + 0.4);
      note("message c%012zx (clump) answered %d", c, answer ? answer->status() : 0);
      if (answer && answer->status() == 202) ++clump_taken;
      ::close(fds[c]);
    });
  }
  for (std::thread& c : clump) c.join();
  note("clump: %d of %d taken on; the folder holds %.3f MB", clump_taken.load(), kClump,
       static_cast<double>(relay.disk_bytes()) / 1e6);
  at(kHangFrom + kHang);
  hung = false;
  if (run.trouble) note("s-1000 is well again");
  for (double t = kHangFrom + kHang; t < kRestartAt; t += 2) {
    at(t);
    note("the folder holds %.3f MB", static_cast<double>(relay.disk_bytes()) / 1e6);
  }
  at(kRestartAt);
  const double before = longest_rejection(zero + kJudgeFrom, zero + kRestartAt);
  note("SIGTERM");
  ::kill(relay.pid, SIGTERM);
  const double term = now();
  bool ended = false;
  while (!(ended = has_ended(relay.pid)) && now() - term < 3.7) nap(0.01);
  if (!ended) {
    ::kill(relay.pid, SIGKILL);
    wait_end(relay.pid);
  }
  paused = true;
  nap(0.6);
  relay.start();
  if (wait_ready(port) < 0) note("not ready after the restart");
  paused = false;
  const double again = now();
  note("restarted");
  at(kEnd);
  const double after = longest_rejection(again, zero + kEnd);
  stop = true;
  for (std::thread& c : clients) c.join();
  std::ostringstream why;
  why << clump_taken << " of " << kClump << " messages of the clump taken on; rejected all for " << before
      << " s on end in the " << kRestartAt - kJudgeFrom << " s before the restart, for " << after << " s in the "
      << zero + kEnd - again << " s after it, with no call in between; the folder holds "
      << static_cast<double>(relay.disk_bytes()) / 1e6 << " MB of " << kDiskMb;
  finish(run, before >= kRejects || after >= kRejects, why.str());
}
