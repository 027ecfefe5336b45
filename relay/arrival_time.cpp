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

// What the kernel tells of a connection, as far as this module reads it.
std::optional<tcp_info> told_by_kernel(int socket) {
  constexpr std::size_t kNeeded =
      offsetof(tcp_info, tcpi_last_data_recv) + sizeof(tcp_info::tcpi_last_data_recv);
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < kNeeded) return std::nullopt;
  return info;
}

}  // namespace

// The kernel counts a connection's last sending from its coming up.
std::chrono::milliseconds connected_for(int socket) {
  const auto told = told_by_kernel(socket);
  return std::chrono::milliseconds(told ? told->tcpi_last_data_sent : 0);
}

void ArrivalTime::awaits() {
  if (std::exchange(waiting_, true)) return;
  not_reading_ = Clock::now() - read_at_;
}

void ArrivalTime::read(int socket) {
  const Timestamp present = read_clocks();
  const auto told = told_by_kernel(socket);
  const std::chrono::milliseconds since(told ? told->tcpi_last_data_recv : 0);
  const Clock::duration waited = std::min<Clock::duration>(since, budgets::kUnread + not_reading_);
  last_byte_ = present + -std::chrono::duration_cast<vetchhinge::Duration>(waited);
  read_at_ = Clock::now();
  waiting_ = false;
  not_reading_ = Clock::duration::zero();
}

}  // namespace myrtlegrade
