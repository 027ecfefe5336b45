#include "stream_io.h"

#include <sys/socket.h>

#include <cerrno>
#include <sstream>

#include "event_log.h"

namespace myrtlegrade {

namespace {

constexpr std::array<std::string_view, kStreamUseCount> kUseNames = {
    "clients", "second_address", "successors", "copies", "fleet", "calls", "watch", "notices"};

}  // namespace

std::size_t stream_io_detail::send_now(int socket, std::string_view bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) break;
    sent += static_cast<std::size_t>(count);
  }
  return sent;
}

AbsorbedFailures& absorbed_failures() {
  static AbsorbedFailures failures;
  return failures;
}

std::string to_text(const AbsorbedFailures& failures) {
  std::ostringstream text;
  const auto add = [&](std::size_t use, const char* failure, std::uint64_t count) {
    if (count > 0) text << (text.tellp() > 0 ? " " : "") << kUseNames[use] << '.' << failure << '=' << count;
  };
  for (std::size_t use = 0; use < kStreamUseCount; ++use) {
    add(use, "short_writes", failures.by_use[use].short_writes);
    add(use, "aborted_accepts", failures.by_use[use].aborted_accepts);
    add(use, "no_buffers", failures.by_use[use].no_buffers);
  }
  return text.str();
}

void log_slow_write(StreamUse use, std::chrono::steady_clock::duration elapsed) {
  static EventLog log("stream");
  if (!log.allow_line()) return;
  std::ostringstream text;
  text << "use=" << kUseNames[static_cast<std::size_t>(use)]
       << " took_ms=" << std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
  log.write("slow_write", text.str());
}

}  // namespace myrtlegrade
