#include "stream_io.h"

#include <sstream>

#include "event_log.h"

namespace myrtlegrade {

namespace {

constexpr std::array<std::string_view, kStreamUses> kUseNames = {
    "clients", "second_address", "successors", "copies", "fleet", "calls", "watch", "notices"};

}  // namespace

AbsorbedFailures& absorbed_failures() {
  static AbsorbedFailures failures;
  return failures;
}

std::string to_text(const AbsorbedFailures& failures) {
  std::ostringstream text;
  const auto add = [&](std::size_t use, const char* what, std::uint64_t count) {
    if (count > 0) text << (text.tellp() > 0 ? " " : "") << kUseNames[use] << '.' << what << '=' << count;
  };
  for (std::size_t use = 0; use < kStreamUses; ++use) {
    add(use, "short_writes", failures.by_use[use].short_writes);
    add(use, "aborted_accepts", failures.by_use[use].aborted_accepts);
    add(use, "no_buffers", failures.by_use[use].no_buffers);
  }
  return text.str();
}

void log_slow_write(StreamUse use, std::chrono::steady_clock::duration took) {
  static EventLog log("stream");
  if (!log.admits()) return;
  std::ostringstream text;
  text << "use=" << kUseNames[static_cast<std::size_t>(use)]
       << " took_ms=" << std::chrono::duration_cast<std::chrono::milliseconds>(took).count();
  log.write("slow_write", text.str());
}

}  // namespace myrtlegrade
