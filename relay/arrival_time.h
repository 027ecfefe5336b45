// Estimates when a request's bytes arrived at the machine, which may be long before they are read: a client
// counts its message's time from the sending of the request, and a relay process may stall before it accepts
// the connection and again before it reads.
//
// Linux reports how long ago a connection's last segment with data arrived (TCP_INFO, tcpi_last_data_recv, in
// milliseconds, with the resolution of its timer tick), before and after accept and read alike. A request in
// several segments counts from its last one; pipelined requests that are read together count from the last
// segment of all of them. The reported age is limited to what stalls, and the time for which this relay did
// not read, can explain. Without a report, bytes count as arrived when they were read.
#pragma once

#include <chrono>

#include "timestamp.h"

namespace myrtlegrade {

// Returns the age of a connection on which nothing was sent yet, including its wait for the accept; zero if
// the kernel does not report it.
std::chrono::milliseconds connection_age(int socket);

// Tracks the arrival of one connection's bytes. All durations are measured by this process's clocks.
class ArrivalTime {
 public:
  // The relay starts to wait for bytes. Bytes that arrived since the last read may have waited until now. A
  // repeated call with no read in between continues the same wait.
  void begin_wait();
  // Bytes were just read from the socket.
  void on_read(int socket);

  // Returns the arrival time of the last bytes read, which is never later than their read.
  const Timestamp& last_byte_at() const { return last_byte_; }

 private:
  using Clock = std::chrono::steady_clock;

  Clock::time_point read_at_ = Clock::now();
  bool waiting_ = false;
  Clock::duration not_reading_{};  // from the last read to the start of the next wait
  Timestamp last_byte_{};
};

}  // namespace myrtlegrade
