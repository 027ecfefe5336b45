// A crowd of bad clients that send a part of a request and stay, while sound clients hand in messages. The stand-in for
// the platform reads what the relay's process holds in memory, and kills it over the limit that the configuration states.
#include "rig/config.h"

using namespace rig;

namespace {

constexpr int kMemoryMb = 32;        // TERMS: between 32 and 192 MB
constexpr int kSockets = 1024;       // TERMS: between 256 and 1,024
constexpr int kCrowd = 1200;         // LATER: crowds in the thousands
constexpr int kBodyBytes = 65'536;   // PROTOCOL: a body holds 64 KiB at most; the last byte never comes
constexpr double kSeconds = 20;
constexpr int kClients = 6;          // 30 messages a second

std::atomic<int> runs{0};

bool work(const Http& call, int fd) {
  ++runs;
  for (const std::string& id : ids_of(call)) note("called %s", id.c_str());
  nap(0.02);
  return send_all(fd, done_answer(call));
}

// What is the relay's process's own: neither its program's text nor what is shared, and no files.
double memory_mb(const Relay& relay) {
  std::ifstream status("/proc/" + std::to_string(relay.pid) + "/status");
  double kb = 0;
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("RssAnon:")) kb = std::atof(line.c_str() + 8);
  }
  return kb / 1024;
}

std::string half_a_request(int number) {
  char id[32];
  std::snprintf(id, sizeof id, "%016x", 0x40000000 + number);
  std::string text = request_text(id, "status-update", 1, 8000, std::string(kBodyBytes, 'z'));
  text.pop_back();
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  const Run run = begin(argc, argv);
  Platform platform;
  Endpoint first("s-1000", 1, work), second("s-1001", 2, work);
  platform.set_list({first.entry(), second.entry()});
  Relay relay;
  relay.root = run.root;
  relay.folder = run.folder;
  relay.settings.listen = free_port();
  relay.settings.discovery = platform.port();
  relay.settings.known = platform.list();
  relay.settings.memory_mb = kMemoryMb;
  relay.settings.sockets = kSockets;
  relay.start();
  if (wait_ready(relay.settings.listen) < 0) cannot_run("the relay is not ready");
  note("ready, %.1f MB", memory_mb(relay));

  std::atomic<bool> stop{false};
  std::atomic<int> taken{0}, refused{0}, none{0};
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      for (int n = 0; !stop; ++n) {
        char id[32];
        std::snprintf(id, sizeof id, "%04x%012x", c, n);
        const Answer a = hand_in(relay.settings.listen, id, n % 4 ? "status-update" : "collection", 1 + n % 2, 8000,
                                 std::string(212, 'x'));
        note("message %s answered %d", id, a.status);
        ++(a.status == 202 ? taken : a.status == 503 ? refused : none);
        nap(0.2);
      }
    });
  }
  std::thread crowd([&] {
    nap(2);
    if (!run.trouble) return;
    std::vector<int> peers;
    for (int p = 0; p < kCrowd && !stop; ++p) {
      const int fd = connect_to(relay.settings.listen);
      if (fd < 0) continue;
      peers.push_back(fd);
      ::fcntl(fd, F_SETFL, O_NONBLOCK);
      const std::string text = half_a_request(p);
      const ssize_t sent = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
      note("peer %d sent %zd bytes of a request of %zu, and stays", p, sent, text.size() + 1);
    }
    while (!stop) nap(0.05);
    for (const int fd : peers) ::close(fd);
  });

  double most = 0;
  bool killed = false, crashed = false;
  for (const double until = now() + kSeconds; now() < until && !killed && !crashed; nap(0.02)) {
    if (has_ended(relay.pid)) {
      crashed = true;
      note("the relay has ended");
      break;
    }
    const double mb = memory_mb(relay);
    if (mb > most + 1) note("memory %.1f MB", mb);
    most = std::max(most, mb);
    if (mb <= kMemoryMb) continue;
    killed = true;
    ::kill(relay.pid, SIGKILL);
    note("memory %.1f MB, over the limit of %d MB: the platform kills the relay", mb, kMemoryMb);
  }
  stop = true;
  crowd.join();
  for (std::thread& c : clients) c.join();
  std::ostringstream why;
  why << "most memory " << most << " MB of " << kMemoryMb << (killed ? ", killed for memory" : "")
      << (crashed ? ", ended by itself" : "") << "; sound clients: " << taken << " taken on, " << refused << " refused, "
      << none << " without an answer; " << runs << " calls run";
  finish(run, killed || crashed, why.str());
}
