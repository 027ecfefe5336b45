// Upgrades of one relay under load. In the half second before each SIGTERM the list tells that an endpoint, which has
// drained for two seconds, is gone and another is there for it.
#include <random>

#include "rig/config.h"

using namespace rig;

namespace {

constexpr int kUpgrades = 12;
constexpr int kPartners = 4;
constexpr int kClients = 40;         // each hands in a message every 0.2 s, on a fresh connection: 200 a second
constexpr double kWork = 0.02;       // of an endpoint for a call
constexpr double kDrain = 2.2;       // from DRAINING to DELETED
constexpr double kAhead = 0.1;       // from DELETED to the start of the new process

struct Message {
  std::string cls;
  double sent = 0;        // last byte written
  int status = 0;         // of its answer
  bool ended = false;     // its connection ended with no answer
  int runs = 0;
  double first_run = 0;
};

std::mutex mutex;
std::map<std::string, Message> messages;

bool work(const Http& call, int fd) {
  {
    std::lock_guard lock(mutex);
    for (const std::string& id : ids_of(call)) {
      Message& m = messages[id];
      if (m.runs++ == 0) m.first_run = now();
    }
  }
  nap(kWork);
  return send_all(fd, done_answer(call));
}

// One message on a connection of its own. The client waits 400 ms and never sends it again.
void hand_in_once(int port, const std::string& id, const std::string& cls, int dest, int timeout) {
  const int fd = connect_to(port);
  if (fd < 0) return;
  const std::string text = request_text(id, cls, dest, timeout, std::string(212, 'x'));
  {
    std::lock_guard lock(mutex);
    messages[id].cls = cls;
  }
  const bool sent = send_all(fd, text);
  const double at = now();
  std::string rest;
  const auto answer = sent ? read_http(fd, rest, at + 0.4) : std::nullopt;
  const bool ended = sent && !answer && now() - at < 0.4 && closed_by_peer(fd);  // before the client gives up
  ::close(fd);
  std::lock_guard lock(mutex);
  Message& m = messages[id];
  m.sent = at;
  m.status = answer ? answer->status() : 0;
  m.ended = ended;
  if (ended) note("message %s: sent, and its connection ended with no answer", id.c_str());
}

}  // namespace

int main(int argc, char** argv) {
  const Run run = begin(argc, argv);
  Platform platform;
  std::vector<std::unique_ptr<Endpoint>> endpoints;
  std::vector<std::pair<int, Endpoint*>> listed;  // partner, endpoint
  int made = 0;
  const auto add = [&](int partner) {
    endpoints.push_back(std::make_unique<Endpoint>("s-" + std::to_string(1000 + made++), partner, work));
    listed.emplace_back(partner, endpoints.back().get());
  };
  for (int partner = 1; partner <= kPartners; ++partner) {
    add(partner);
    add(partner);
  }
  const auto entries = [&](const Endpoint* draining) {
    std::vector<std::string> all;
    for (const auto& [partner, e] : listed) all.push_back(e->entry(e == draining ? "DRAINING" : "SERVING"));
    return all;
  };
  platform.set_list(entries(nullptr));

  Relay relay;
  relay.root = run.root;
  relay.folder = run.folder;
  relay.settings.listen = free_port();
  relay.settings.admin = free_port();
  relay.settings.discovery = platform.port();
  relay.settings.known = platform.list();
  pid_t serving = relay.start();
  if (wait_ready(relay.settings.listen) < 0) cannot_run("the relay is not ready");

  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      std::mt19937 random(static_cast<unsigned>(c));
      const double from = now() + 0.005 * c;
      for (int n = 0; !stop; ++n) {
        nap(from + 0.2 * n - now());
        char id[32];
        std::snprintf(id, sizeof id, "%04x%012x", c, n);
        const bool update = random() % 100 < 77;
        hand_in_once(relay.settings.listen, id, update ? "status-update" : "collection",
                     1 + static_cast<int>(random() % kPartners), update ? 8000 : 16000);
      }
    });
  }
  nap(2);

  int abrupt = 0;
  for (int u = 0; u < kUpgrades; ++u) {
    if (run.trouble) {
      const auto [partner, old] = listed[static_cast<std::size_t>(2 * (u % kPartners))];
      platform.change({old->entry("DRAINING")}, entries(old));
      note("list: %s drains", old->name().c_str());
      nap(kDrain);
      std::erase_if(listed, [gone = old](const auto& l) { return l.second == gone; });
      add(partner);
      std::rotate(listed.begin() + 2 * (u % kPartners), listed.end() - 1, listed.end());
      platform.change({old->entry("DELETED"), listed[static_cast<std::size_t>(2 * (u % kPartners))].second->entry()},
                      entries(nullptr));
      note("list: %s is gone", old->name().c_str());
      nap(kAhead);
    } else {
      nap(kDrain + kAhead);
    }
    Relay next = relay;
    next.settings.admin = free_port();
    next.settings.known = platform.list();  // as the relay had it most recently
    const pid_t old_process = serving;
    serving = next.start("config-" + std::to_string(u) + ".json");
    const double started = now();
    while (!admin(next.settings.admin, "HEALTH").starts_with("ACK")) {
      if (now() - started > 6) cannot_run("the new process says no for 6 s");
      nap(0.01);
    }
    ::kill(old_process, SIGTERM);
    const double at = now();
    note("upgrade %d: the new process says yes after %.3f s; SIGTERM to the old one", u + 1, at - started);
    int status = 0;
    bool ended = false;
    while (!(ended = has_ended(old_process, &status)) && now() - at < 3.7) nap(0.002);
    if (!ended) {
      ::kill(old_process, SIGKILL);
      wait_end(old_process);
      note("upgrade %d: SIGKILL to the old process", u + 1);
    } else {
      note("upgrade %d: the old process ended %.3f s after SIGTERM, status %d", u + 1, now() - at,
           WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status));
      if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) ++abrupt;
    }
    nap(0.5);
  }
  stop = true;
  for (std::thread& c : clients) c.join();
  nap(10);  // what was taken on comes to its end

  // The rule: a request that has been read and whose connection is closed with no answer is lost. That it was read is
  // seen by its call at an endpoint or by its notice: its client has sent it once, to that connection alone.
  int sent = 0, taken = 0, refused = 0, lost = 0, unread = 0, late = 0;
  std::lock_guard lock(mutex);
  for (const auto& [id, m] : messages) {
    if (m.sent == 0) continue;
    ++sent;
    if (m.status == 202 || m.status == 200) ++taken;
    if (m.status == 429 || m.status == 503) ++refused;
    if (m.status == 0 && !m.ended) ++late;
    note("message %s %s: written at %.3f, answered %d, called %d times, notices %zu", id.c_str(), m.cls.c_str(), m.sent,
         m.status, m.runs, platform.notices(id).size());
    if (!m.ended) continue;
    const bool read = m.runs > 0 || !platform.notices(id).empty();
    if (!read) ++unread;
    if (!read) continue;
    ++lost;
    note("LOST: message %s (%s), last byte written at %.3f, connection ended with no answer; called %d times, first at "
         "%.3f, notices %zu",
         id.c_str(), m.cls.c_str(), m.sent, m.runs, m.first_run, platform.notices(id).size());
  }
  std::ostringstream why;
  why << sent << " messages sent, " << taken << " taken on, " << refused << " refused, " << late
      << " without an answer in 400 ms; " << lost << " read and then left with no answer at the end of their connection, "
      << unread << " unread at it; " << abrupt << " of " << kUpgrades << " old processes ended with an error";
  finish(run, lost > 0, why.str());
}
