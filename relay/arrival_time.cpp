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

// Returns the kernel's state of a connection if it covers the fields that this module reads.
std::optional<tcp_info> read_tcp_info(int socket) {
  constexpr std::size_t kNeeded =
      offsetof(tcp_info, tcpi_last_data_recv) + sizeof(tcp_info::tcpi_last_data_recv);
  tcp_info info{};
  socklen_t size = sizeof info;
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || size < kNeeded) return std::nullopt;
  return info;
}

}  // namespace

// Before the first send, the kernel counts tcpi_last_data_sent from the establishment of the connection.
std::chrono::milliseconds connection_age(int socket) {
  const auto info = read_tcp_info(socket);
  return std::chrono::milliseconds(info ? info->tcpi_last_data_sent : 0);
}

void ArrivalTime::begin_wait() {
  if (std::exchange(waiting_, true)) return;
  not_reading_ = Clock::now() - read_at_;
}

void ArrivalTime::on_read(int socket) {
  const Timestamp present = read_clocks();
  const auto info = read_tcp_info(socket);
  const std::chrono::milliseconds since(info ? info->tcpi_last_data_recv : 0);
  const Clock::duration waited = std::min<Clock::duration>(since, budgets::kMaxUnreadTime + not_reading_);
  last_byte_ = present + -std::chrono::duration_cast<vetchhinge::Duration>(waited);
  read_at_ = Clock::now();
  waiting_ = false;
  not_reading_ = Clock::duration::zero();
}

}  // namespace myrtlegrade
