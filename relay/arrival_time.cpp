#include "arrival_time.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

#include "budgets.h"

namespace myrtlegrade {

namespace {

// How long ago the last segment with data came, as the kernel tells it.
std::optional<std::chrono::milliseconds> told_by_kernel(int socket) {
  constexpr std::size_t kNeeded =
      offsetof(tcp_info, tcpi_last_data_recv) + sizeof(tcp_info::tcpi_last_data_recv);
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < kNeeded) return std::nullopt;
  return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

}  // namespace

void ArrivalTime::awaits() {
  if (std::exchange(waiting_, true)) return;
  not_reading_ = Clock::now() - read_at_;
}

void ArrivalTime::read(int socket) {
  const Moment present = read_clocks();
  const auto told = told_by_kernel(socket).value_or(std::chrono::milliseconds::zero());
  const Clock::duration waited = std::min<Clock::duration>(told, budgets::kUnread + not_reading_);
  last_byte_ = present + -std::chrono::duration_cast<vetchhinge::Duration>(waited);
  read_at_ = Clock::now();
  waiting_ = false;
  not_reading_ = Clock::duration::zero();
}

}  // namespace myrtlegrade
