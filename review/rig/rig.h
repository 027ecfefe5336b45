// Small stand-ins for clients, partners and the platform, and a starter of relay processes, for the cases in review/.
// Plain POSIX sockets and threads, all on 127.0.0.1; nothing but the C++ standard library.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

namespace fs = std::filesystem;
using Clock = std::chrono::steady_clock;

// ------------------------------------------------------------------------------------------ time, record

inline const Clock::time_point kStart = Clock::now();
inline double now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void nap(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// The record of a run: what was sent, answered and run, one line each.
inline std::FILE* record_file = stdout;
inline std::mutex record_mutex;
inline void note(const char* format, ...) {
  std::lock_guard lock(record_mutex);
  std::fprintf(record_file, "%9.3f ", now());
  va_list args;
  va_start(args, format);
  std::vfprintf(record_file, format, args);
  va_end(args);
  std::fputc('\n', record_file);
  std::fflush(record_file);
}

// A case that can't run ends with 2.
[[noreturn]] inline void cannot_run(const std::string& why);

// ------------------------------------------------------------------------------------------------ sockets

inline sockaddr_in loopback(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  return at;
}

inline int listen_on(int port, int backlog = 512) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd, backlog) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline int port_of(int fd) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  return ntohs(at.sin_port);
}

inline int free_port() {
  const int fd = listen_on(0);
  const int port = port_of(fd);
  ::close(fd);
  return port;
}

inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool send_all(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

// Reads what is there; waits until `until` (rig time) at most. Returns false at the end, on an error or timeout.
inline bool read_some(int fd, std::string& into, double until) {
  const double left = until - now();
  pollfd p{fd, POLLIN, 0};
  if (left <= 0 || ::poll(&p, 1, static_cast<int>(std::min(left, 3600.0) * 1000) + 1) <= 0) return false;
  char bytes[65536];
  const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
  if (n <= 0) return false;
  into.append(bytes, static_cast<std::size_t>(n));
  return true;
}

// Whether the peer has closed or reset the connection.
inline bool closed_by_peer(int fd) {
  char byte;
  const ssize_t n = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

inline void reset_and_close(int fd) {
  const linger hard{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  ::close(fd);
}

struct Http {
  std::string first;  // request line or status line
  std::map<std::string, std::string> head;  // names in lower case
  std::string body;
  std::string target() const {
    const auto a = first.find(' ');
    const auto b = first.find(' ', a + 1);
    return first.substr(a + 1, b - a - 1);
  }
  int status() const { return first.size() > 9 ? std::atoi(first.c_str() + 9) : 0; }
  std::string field(const std::string& name) const {
    const auto found = head.find(name);
    return found == head.end() ? "" : found->second;
  }
};

// Reads one message with Content-Length from the connection; `rest` keeps what follows it.
inline std::optional<Http> read_http(int fd, std::string& rest, double until) {
  std::size_t end;
  while ((end = rest.find("\r\n\r\n")) == std::string::npos) {
    if (!read_some(fd, rest, until)) return std::nullopt;
  }
  Http message;
  std::istringstream lines(rest.substr(0, end));
  std::getline(lines, message.first);
  if (!message.first.empty() && message.first.back() == '\r') message.first.pop_back();
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char c) { return std::tolower(c); });
    message.head[name] = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
  }
  rest.erase(0, end + 4);
  const std::size_t size = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
  while (rest.size() < size) {
    if (!read_some(fd, rest, until)) return std::nullopt;
  }
  message.body = rest.substr(0, size);
  rest.erase(0, size);
  return message;
}

inline std::string answer_text(int status, const std::string& body = "", const std::string& more = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more +
         "\r\n" + body;
}

// ------------------------------------------------------------------------------------------------ servers

// Accepts connections and serves each in a thread of its own.
class Server {
 public:
  using Serve = std::function<void(int fd)>;
  explicit Server(Serve serve, int port = 0) : serve_(std::move(serve)) {
    fd_ = listen_on(port);
    if (fd_ < 0) cannot_run("no port for a stand-in");
    port_ = port_of(fd_);
    std::thread([this] {
      while (true) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
          if (errno == EINTR || errno == ECONNABORTED) continue;
          return;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread([this, fd] { serve_(fd); }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  Serve serve_;
  int fd_ = -1, port_ = 0;
};

// The ids of the messages of a call, single or bulk.
inline std::vector<std::string> ids_of(const Http& request) {
  if (request.target() == "/inbox") return {request.field("x-request-id")};
  std::vector<std::string> ids;
  const std::string mark = "\"id\":\"";
  for (std::size_t at = request.body.find(mark); at != std::string::npos; at = request.body.find(mark, at + 1)) {
    const std::size_t from = at + mark.size();
    ids.push_back(request.body.substr(from, request.body.find('"', from) - from));
  }
  return ids;
}

// The sound answer to a call: all done.
inline std::string done_answer(const Http& request) {
  if (request.target() == "/inbox") return answer_text(200);
  std::string body = "[";
  for (const std::string& id : ids_of(request)) {
    if (body.size() > 1) body += ",";
    body += "{\"id\":\"" + id + "\",\"state\":\"done\"}";
  }
  return answer_text(200, body + "]");
}

// A partner's endpoint. `handle` gets each call and its connection; it answers by itself and returns whether the
// connection stays open.
class Endpoint {
 public:
  using Handle = std::function<bool(const Http& call, int fd)>;
  Endpoint(std::string name, int cell, Handle handle)
      : name_(std::move(name)), cell_(cell), handle_(std::move(handle)), server_([this](int fd) {
          std::string rest;
          while (true) {
            const auto call = read_http(fd, rest, now() + 3600);
            if (!call) break;
            if (!handle_(*call, fd)) break;
          }
          ::close(fd);
        }) {}
  std::string entry(const std::string& state = "SERVING") const {
    return "{\"id\":\"" + name_ + "\",\"addr\":\"127.0.0.1:" + std::to_string(server_.port()) +
           "\",\"zone\":\"a\",\"kind\":\"" + kind + "\",\"cell\":" + std::to_string(cell_) + ",\"state\":\"" + state +
           "\",\"weight\":1.0,\"started_ms\":0}";
  }
  const std::string& name() const { return name_; }
  std::string kind = "merchant";

 private:
  std::string name_;
  int cell_;
  Handle handle_;
  Server server_;
};

// Discovery and the platform's service for notices, as the agent on the relay's machine: it answers at once.
class Platform {
 public:
  struct Notice {
    double at;
    std::string outcome;
  };
  Platform() : server_([this](int fd) { serve(fd); }) {}
  int port() const { return server_.port(); }

  void set_list(const std::vector<std::string>& entries) {
    std::lock_guard lock(mutex_);
    entries_ = entries;
  }
  std::string list() {
    std::lock_guard lock(mutex_);
    return whole();
  }
  // Tells all open watches of changed entries, and lists `entries` from now on.
  void change(const std::vector<std::string>& changed, const std::vector<std::string>& entries) {
    std::lock_guard lock(mutex_);
    entries_ = entries;
    ++version_;
    std::string text = "{\"version\":" + std::to_string(version_) + ",\"full\":false,\"servers\":[";
    for (std::size_t i = 0; i < changed.size(); ++i) text += (i ? "," : "") + changed[i];
    changes_.push_back(text + "]}\n");
  }
  std::vector<Notice> notices(const std::string& id) {
    std::lock_guard lock(mutex_);
    const auto found = notices_.find(id);
    return found == notices_.end() ? std::vector<Notice>{} : found->second;
  }
  std::size_t count() {
    std::lock_guard lock(mutex_);
    return notices_.size();
  }

 private:
  std::string whole() const {
    std::string text = "{\"version\":" + std::to_string(version_) + ",\"full\":true,\"servers\":[";
    for (std::size_t i = 0; i < entries_.size(); ++i) text += (i ? "," : "") + entries_[i];
    return text + "]}";
  }
  void serve(int fd) {
    std::string rest;
    while (const auto request = read_http(fd, rest, now() + 3600)) {
      const std::string target = request->target();
      if (target == "/v1/outcomes") {
        take_notices(request->body);
        if (!send_all(fd, "HTTP/1.1 204 No Content\r\n\r\n")) break;
        continue;
      }
      if (target.starts_with("/catalog/members?watch=1")) {
        watch(fd);
        break;
      }
      if (!send_all(fd, answer_text(200, list()))) break;
    }
    ::close(fd);
  }
  void watch(int fd) {
    const auto chunk = [&](const std::string& text) {
      char size[32];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      return send_all(fd, size + text + "\r\n");
    };
    std::string line;
    std::size_t told = 0;
    {
      std::lock_guard lock(mutex_);
      line = whole() + "\n";
      told = changes_.size();
    }
    if (!send_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") || !chunk(line)) return;
    for (double next = now() + 2; !closed_by_peer(fd); nap(0.002)) {
      line.clear();
      {
        std::lock_guard lock(mutex_);
        if (told < changes_.size()) line = changes_[told++];
      }
      if (line.empty() && now() < next) continue;
      next = now() + 2;
      if (!chunk(line.empty() ? "\n" : line)) return;
    }
  }
  void take_notices(const std::string& body) {
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
      const auto text = [&](const std::string& name) {
        const std::string mark = "\"" + name + "\":\"";
        const auto at = line.find(mark);
        if (at == std::string::npos) return std::string();
        return line.substr(at + mark.size(), line.find('"', at + mark.size()) - at - mark.size());
      };
      const std::string id = text("message"), outcome = text("outcome");
      note("notice %s %s", id.c_str(), outcome.c_str());
      std::lock_guard lock(mutex_);
      notices_[id].push_back({now(), outcome});
    }
  }

  std::mutex mutex_;
  int version_ = 41;
  std::vector<std::string> entries_, changes_;
  std::map<std::string, std::vector<Notice>> notices_;
  Server server_;
};

// ------------------------------------------------------------------------------------------------- relays

// Processes that this run started; all are ended when it ends.
inline std::mutex pids_mutex;
inline std::vector<pid_t> pids;
inline void end_all() {
  std::lock_guard lock(pids_mutex);
  for (const pid_t pid : pids) {
    ::kill(pid, SIGCONT);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
  }
  pids.clear();
}
inline void cannot_run(const std::string& why) {
  note("RESULT: cannot run: %s", why.c_str());
  std::printf("cannot run: %s\n", why.c_str());
  std::fflush(stdout);
  end_all();
  std::_Exit(2);
}

// Started as the deploy file says: `exec build/myrtlegrade` by /bin/sh -c, from the root of the repository.
inline pid_t start_program(const std::string& root, const std::string& command,
                           const std::map<std::string, std::string>& environment, const std::string& log) {
  const pid_t pid = ::fork();
  if (pid < 0) cannot_run("fork");
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // nothing outlives the run, however it ends
    for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(file, 1);
    ::dup2(file, 2);
    if (::chdir(root.c_str()) != 0) ::_exit(127);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    ::_exit(127);
  }
  std::lock_guard lock(pids_mutex);
  pids.push_back(pid);
  return pid;
}

inline bool has_ended(pid_t pid, int* status = nullptr) {
  int s = 0;
  const pid_t r = ::waitpid(pid, &s, WNOHANG);
  if (r == 0) return false;
  if (status) *status = s;
  std::lock_guard lock(pids_mutex);
  std::erase(pids, pid);
  return true;
}

inline void wait_end(pid_t pid) {
  while (!has_ended(pid)) nap(0.005);
}

// One connection of a client, which sends one request at a time.
struct Answer {
  int status = 0;  // 0: the connection ended, or nothing came in time
  double seconds = 0;
  bool ended = false;  // the connection ended without an answer
};

inline std::string request_text(const std::string& id, const std::string& cls, int dest, int timeout_ms,
                                const std::string& body, const std::string& more = "") {
  return "POST /" + cls + " HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: " + id +
         "\r\nX-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\nX-Addressing: dest=" + std::to_string(dest) + "\r\n" + more + "\r\n" + body;
}

// Hands in one message on a connection of its own and waits 400 ms for the answer, as clients do.
inline Answer hand_in(int port, const std::string& id, const std::string& cls, int dest, int timeout_ms,
                      const std::string& body, double wait = 0.4) {
  Answer answer;
  const double from = now();
  const int fd = connect_to(port);
  if (fd < 0) {
    answer.ended = true;
    return answer;
  }
  std::string rest;
  if (send_all(fd, request_text(id, cls, dest, timeout_ms, body))) {
    if (const auto got = read_http(fd, rest, now() + wait)) answer.status = got->status();
  }
  answer.ended = answer.status == 0 && closed_by_peer(fd);
  answer.seconds = now() - from;
  ::close(fd);
  return answer;
}

inline bool healthy(int port) {
  const int fd = connect_to(port);
  if (fd < 0) return false;
  std::string rest;
  send_all(fd, "GET /_health HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n");
  const auto got = read_http(fd, rest, now() + 1);
  ::close(fd);
  return got && got->status() == 200;
}

inline double wait_ready(int port, double most = 10) {
  const double from = now();
  while (!healthy(port)) {
    if (now() - from > most) return -1;
    nap(0.01);
  }
  return now() - from;
}

// One line to the second address; returns the reply.
inline std::string admin(int port, const std::string& line) {
  const int fd = connect_to(port);
  if (fd < 0) return "";
  std::string rest;
  send_all(fd, line + "\n");
  while (rest.find('\n') == std::string::npos && read_some(fd, rest, now() + 1)) {
  }
  ::close(fd);
  return rest.substr(0, rest.find('\n'));
}

// What a case gets: the root of the repository, the record's path, and whether the disruption happens.
struct Run {
  std::string root;
  fs::path folder;  // temporary, removed by finish()
  bool trouble = true;
};
inline Run begin(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: case ROOT RECORD\n");
    std::exit(2);
  }
  ::signal(SIGPIPE, SIG_IGN);
  Run run;
  run.root = fs::absolute(argv[1]);
  std::FILE* const file = std::fopen(argv[2], "w");
  if (!file) {
    std::fprintf(stderr, "cannot run: the record can't be written\n");
    std::exit(2);
  }
  record_file = file;
  const char* trouble = std::getenv("TROUBLE");
  run.trouble = !trouble || std::string(trouble) != "0";
  if (!fs::exists(fs::path(run.root) / "build/myrtlegrade")) cannot_run("build/myrtlegrade is missing");
  std::string pattern = (fs::temp_directory_path() / "review-XXXXXX").string();
  if (!::mkdtemp(pattern.data())) cannot_run("no temporary folder");
  run.folder = pattern;
  return run;
}
// Ends everything and the run itself.
[[noreturn]] inline void finish(const Run& run, bool broken, const std::string& why) {
  note("RESULT: %s: %s", broken ? "the rule was broken" : "the rule held", why.c_str());
  std::printf("%s: %s\n", broken ? "BROKEN" : "held", why.c_str());
  std::fflush(stdout);
  end_all();
  std::error_code ignored;
  fs::remove_all(run.folder, ignored);
  std::fflush(record_file);
  std::_Exit(broken ? 1 : 0);
}

inline void write_file(const fs::path& path, const std::string& text) { std::ofstream(path) << text; }

}  // namespace rig
