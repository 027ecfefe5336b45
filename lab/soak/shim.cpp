// A library that a soak loads into real relays (LD_PRELOAD): it steps their time of day and lets their system
// calls fail as Linux documents. What fails, and when, follows from the environment:
//
//   SOAK_SEED      of the draws; each process mixes in its own number of starts
//   SOAK_BEGIN_MS  CLOCK_MONOTONIC at the start of the day, in milliseconds: the zero of all times below
//   SOAK_CLOCK     "AT:STEP": from AT milliseconds on CLOCK_REALTIME is STEP milliseconds off
//   SOAK_CALLS     "FROM:UNTIL:SHARE": share of socket calls and waits that fail, are short or interrupted
//   SOAK_FOLDER    "FROM:UNTIL:SHARE": share of writes, truncations, renames and syncs of files that fail
//   SOAK_ABORTED_ACCEPT
//                  this one, counted from 1, of the accepted connections of each listening socket was aborted
//                  by its peer
//   SOAK_SHORT_SENDS
//                  1: every second send on each stream, beginning with the first, takes a single byte
//   SOAK_UNIX_SOCKETS
//                  so many Unix sockets at first can't be made
//   SOAK_BROKEN_READ
//                  the first read that would find bytes from this port breaks its connection instead
//   SOAK_BROKEN_LINK
//                  as long as this file is there, each read from a Unix socket breaks its connection
//   SOAK_CLOSE_MS  each close of an internet socket comes so much later: the process is held up just before
//   it
//   SOAK_WAIT_MS   each wait for events that brings some lasts so much longer: each turn of an event loop is
//                  held up
//   SOAK_HOLD_UPS  "SHARE:FROM:UNTIL:GAP": behind that share of waits that returned, of reads and writes of
//                  sockets and of syncs of files, the process is held up for 140 to 150 ms (STANDING allows
//                  0.15 s), at most once in GAP milliseconds, so that two never add up
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdint>

namespace {

struct Span {
  long from = 0, until = 0;
  double share = 0;
};

struct HoldUps {
  Span span;
  long gap_ms = 0;
};

struct Plan {
  std::uint64_t seed = 1;
  long begin_ms = 0;
  long step_at = 0, step_ms = 0;
  Span calls, folder;
  HoldUps hold_ups;
  long close_ms = 0, wait_ms = 0;
  long aborted_accept = 0, unix_sockets = 0;
  bool short_sends = false;
  const char* broken_link = nullptr;
  long broken_read = 0;
};

template <typename Function>
Function real(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

Span read_span(const char* name) {
  Span span;
  const char* text = getenv(name);
  if (!text || sscanf(text, "%ld:%ld:%lf", &span.from, &span.until, &span.share) != 3) return {};
  return span;
}

HoldUps read_hold_ups(const char* name) {
  HoldUps h;
  const char* text = getenv(name);
  Span& s = h.span;
  if (!text || sscanf(text, "%lf:%ld:%ld:%ld", &s.share, &s.from, &s.until, &h.gap_ms) != 4) return {};
  return h;
}

const Plan& plan() {
  static const Plan read = [] {
    Plan p;
    if (const char* seed = getenv("SOAK_SEED")) p.seed = strtoull(seed, nullptr, 10);
    if (const char* begin = getenv("SOAK_BEGIN_MS")) p.begin_ms = strtol(begin, nullptr, 10);
    if (const char* clock = getenv("SOAK_CLOCK")) sscanf(clock, "%ld:%ld", &p.step_at, &p.step_ms);
    p.calls = read_span("SOAK_CALLS");
    p.folder = read_span("SOAK_FOLDER");
    p.hold_ups = read_hold_ups("SOAK_HOLD_UPS");
    if (const char* count = getenv("SOAK_ABORTED_ACCEPT")) p.aborted_accept = strtol(count, nullptr, 10);
    if (const char* flag = getenv("SOAK_SHORT_SENDS")) p.short_sends = strcmp(flag, "1") == 0;
    p.broken_link = getenv("SOAK_BROKEN_LINK");
    if (const char* port = getenv("SOAK_BROKEN_READ")) p.broken_read = strtol(port, nullptr, 10);
    if (const char* count = getenv("SOAK_UNIX_SOCKETS")) p.unix_sockets = strtol(count, nullptr, 10);
    if (const char* delay = getenv("SOAK_CLOSE_MS")) p.close_ms = strtol(delay, nullptr, 10);
    if (const char* delay = getenv("SOAK_WAIT_MS")) p.wait_ms = strtol(delay, nullptr, 10);
    return p;
  }();
  return read;
}

int real_clock(clockid_t id, timespec* at) {
  static const auto call = real<int (*)(clockid_t, timespec*)>("clock_gettime");
  return call(id, at);
}

long since_begin_ms() {
  timespec at{};
  real_clock(CLOCK_MONOTONIC, &at);
  return at.tv_sec * 1000 + at.tv_nsec / 1'000'000 - plan().begin_ms;
}

// splitmix64 over a counter: threads may draw at once.
double draw() {
  static std::atomic<std::uint64_t> count{static_cast<std::uint64_t>(getpid()) << 32};
  std::uint64_t z = plan().seed + 0x9e3779b97f4a7c15 * (count.fetch_add(1) + 1);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1p-53;
}

bool happens(const Span& span) {
  if (span.share <= 0) return false;
  const long now = since_begin_ms();
  return now >= span.from && now < span.until && draw() < span.share;
}

template <std::size_t n>
int fail_with(const int (&errors)[n]) {
  errno = errors[static_cast<std::size_t>(draw() * n)];
  return -1;
}

// Counts by descriptor, from its opening on.
class DescriptorCounts {
 public:
  long next(int file) { return known(file) ? ++counts_[static_cast<std::size_t>(file)] : 0; }
  void forget(int file) {
    if (known(file)) counts_[static_cast<std::size_t>(file)] = 0;
  }

 private:
  static constexpr int kMost = 4096;
  static bool known(int file) { return file >= 0 && file < kMost; }
  std::array<std::atomic<long>, kMost> counts_{};
};
DescriptorCounts accepted, sent;

enum class Disturbance { none, interrupted, short_count, broken };

constexpr double kBrokenShare = 0.1;  // of disturbed reads and writes; the rest is harmless by itself

bool cuts_send(int file, size_t size) { return plan().short_sends && size > 1 && sent.next(file) % 2 == 1; }

Disturbance disturb_stream(int file) {
  struct stat kind {};
  if (!happens(plan().calls) || fstat(file, &kind) != 0 || !S_ISSOCK(kind.st_mode)) return Disturbance::none;
  const double which = draw();
  if (which < kBrokenShare) {
    shutdown(file, SHUT_RDWR);
    errno = draw() < 0.5 ? ETIMEDOUT : EHOSTUNREACH;
    return Disturbance::broken;
  }
  if (which < 0.5) {
    errno = EINTR;
    return Disturbance::interrupted;
  }
  return Disturbance::short_count;
}

bool is_file(int file) {
  struct stat kind {};
  return fstat(file, &kind) == 0 && S_ISREG(kind.st_mode);
}

bool is_socket_of(int file, int wanted) {
  int domain = 0;
  socklen_t size = sizeof domain;
  return getsockopt(file, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0 && domain == wanted;
}

bool breaks_read(int file) {
  static std::atomic<bool> broken{false};
  if (plan().broken_read == 0 || broken) return false;
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  if (getpeername(file, reinterpret_cast<sockaddr*>(&peer), &size) != 0 || peer.sin_family != AF_INET ||
      ntohs(peer.sin_port) != plan().broken_read)
    return false;
  static const auto call = real<ssize_t (*)(int, void*, size_t, int)>("recv");
  char byte = 0;
  return call(file, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1 && !broken.exchange(true);
}

bool breaks_link(int file) {
  return plan().broken_link && is_socket_of(file, AF_UNIX) && access(plan().broken_link, F_OK) == 0;
}

void hold_up(long milliseconds) {
  timespec left{milliseconds / 1000, milliseconds % 1000 * 1'000'000};
  while (nanosleep(&left, &left) != 0) {
  }
}

// Whether none was within the gap; if so, one begins now.
bool begins_hold_up() {
  static std::atomic<long> next_ms{0};
  long next = next_ms;
  const long now = since_begin_ms();
  return now >= next && next_ms.compare_exchange_strong(next, now + plan().hold_ups.gap_ms);
}

// Passes on what a call returned, and its error.
template <typename Result>
Result perhaps_held_up(Result result) {
  constexpr double kLeastMs = 140, kMostMs = 150;
  if (!happens(plan().hold_ups.span) || !begins_hold_up()) return result;
  const int error = errno;
  hold_up(static_cast<long>(kLeastMs + draw() * (kMostMs - kLeastMs)));
  errno = error;
  return result;
}

constexpr int kFolderErrors[] = {ENOSPC, EIO};

// A message header for the first byte of another one.
class FirstByte {
 public:
  explicit FirstByte(const msghdr& whole) : byte_(whole.msg_iov[0]), header_(whole) {
    byte_.iov_len = 1;
    header_.msg_iov = &byte_;
    header_.msg_iovlen = 1;
  }
  const msghdr* header() const { return &header_; }

 private:
  iovec byte_;
  msghdr header_;
};

// One call of a stream with a message header; a short one carries a single byte.
template <typename Call>
ssize_t stream_message(int file, const msghdr* message, Call call) {
  switch (disturb_stream(file)) {
    case Disturbance::none:
      return call(message);
    case Disturbance::short_count:
      break;
    default:
      return -1;
  }
  if (message->msg_iovlen == 0 || message->msg_iov[0].iov_len == 0) return call(message);
  const FirstByte first(*message);
  return call(first.header());
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t id, timespec* at) {
  const int result = real_clock(id, at);
  if (result != 0 || id != CLOCK_REALTIME || plan().step_ms == 0 || since_begin_ms() < plan().step_at)
    return result;
  const long nanoseconds = at->tv_nsec + plan().step_ms % 1000 * 1'000'000;
  at->tv_sec += plan().step_ms / 1000 + (nanoseconds < 0 ? -1 : nanoseconds / 1'000'000'000);
  at->tv_nsec = (nanoseconds + 1'000'000'000) % 1'000'000'000;
  return 0;
}

int accept(int file, sockaddr* address, socklen_t* length) {
  static const auto call = real<int (*)(int, sockaddr*, socklen_t*)>("accept");
  if (!happens(plan().calls)) {
    const int connection = call(file, address, length);
    if (connection < 0 || accepted.next(file) != plan().aborted_accept) return connection;
    close(connection);
    errno = ECONNABORTED;
    return -1;
  }
  return fail_with({EINTR, ECONNABORTED, EMFILE, ENFILE, ENOBUFS, ENOMEM});
}

int socket(int domain, int type, int protocol) {
  static const auto call = real<int (*)(int, int, int)>("socket");
  static std::atomic<long> refused{0};
  if (domain == AF_UNIX && refused < plan().unix_sockets) {
    ++refused;
    errno = ENOBUFS;
    return -1;
  }
  if (!happens(plan().calls)) return call(domain, type, protocol);
  return fail_with({EMFILE, ENFILE, ENOBUFS, ENOMEM});
}

int connect(int file, const sockaddr* address, socklen_t length) {
  static const auto call = real<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (!happens(plan().calls)) return call(file, address, length);
  return fail_with({EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, ECONNREFUSED});
}

ssize_t recv(int file, void* buffer, size_t size, int flags) {
  static const auto call = real<ssize_t (*)(int, void*, size_t, int)>("recv");
  const bool looks = (flags & MSG_PEEK) != 0;
  if (breaks_link(file) || (!looks && breaks_read(file))) {
    shutdown(file, SHUT_RDWR);
    errno = ECONNRESET;
    return -1;
  }
  const Disturbance d = disturb_stream(file);
  if (d == Disturbance::interrupted || d == Disturbance::broken) return -1;
  return perhaps_held_up(call(file, buffer, d == Disturbance::short_count && size > 1 ? 1 : size, flags));
}

ssize_t send(int file, const void* buffer, size_t size, int flags) {
  static const auto call = real<ssize_t (*)(int, const void*, size_t, int)>("send");
  if (cuts_send(file, size)) return call(file, buffer, 1, flags);
  const Disturbance d = disturb_stream(file);
  if (d == Disturbance::interrupted || d == Disturbance::broken) return -1;
  return perhaps_held_up(call(file, buffer, d == Disturbance::short_count && size > 1 ? 1 : size, flags));
}

ssize_t recvmsg(int file, msghdr* message, int flags) {
  static const auto call = real<ssize_t (*)(int, msghdr*, int)>("recvmsg");
  return stream_message(file, message, [&](const msghdr* m) {
    return perhaps_held_up(call(file, const_cast<msghdr*>(m), flags));
  });
}

ssize_t sendmsg(int file, const msghdr* message, int flags) {
  static const auto call = real<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  const bool whole = message->msg_controllen > 0 || message->msg_iovlen == 0;
  if (!whole && cuts_send(file, message->msg_iov[0].iov_len)) {
    const FirstByte first(*message);
    return call(file, first.header(), flags);
  }
  return stream_message(file, message,
                        [&](const msghdr* m) { return perhaps_held_up(call(file, m, flags)); });
}

int epoll_wait(int file, epoll_event* events, int most, int timeout) {
  static const auto call = real<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  if (happens(plan().calls)) {
    errno = EINTR;
    return -1;
  }
  const int ready = call(file, events, most, timeout);
  if (ready > 0 && plan().wait_ms > 0) hold_up(plan().wait_ms);
  return perhaps_held_up(ready);
}

ssize_t write(int file, const void* buffer, size_t size) {
  static const auto call = real<ssize_t (*)(int, const void*, size_t)>("write");
  if (plan().folder.share <= 0 || !is_file(file) || file <= STDERR_FILENO || !happens(plan().folder))
    return call(file, buffer, size);
  if (size > 1 && draw() < 0.5)
    return call(file, buffer, size / 2);  // the rest fails, or comes with the next call
  return fail_with(kFolderErrors);
}

int close(int file) {
  static const auto call = real<int (*)(int)>("close");
  if (plan().close_ms > 0 && is_socket_of(file, AF_INET)) hold_up(plan().close_ms);
  accepted.forget(file);
  sent.forget(file);
  return call(file);
}

int ftruncate(int file, off_t size) {
  static const auto call = real<int (*)(int, off_t)>("ftruncate");
  return happens(plan().folder) ? fail_with(kFolderErrors) : call(file, size);
}

int rename(const char* from, const char* to) {
  static const auto call = real<int (*)(const char*, const char*)>("rename");
  return happens(plan().folder) ? fail_with(kFolderErrors) : call(from, to);
}

int fdatasync(int file) {
  static const auto call = real<int (*)(int)>("fdatasync");
  return happens(plan().folder) ? fail_with(kFolderErrors) : perhaps_held_up(call(file));
}

int fsync(int file) {
  static const auto call = real<int (*)(int)>("fsync");
  return happens(plan().folder) ? fail_with(kFolderErrors) : call(file);
}

}  // extern "C"
