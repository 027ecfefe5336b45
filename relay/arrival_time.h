// When a request's bytes came to the machine, which may be long before they are read: a client counts its
// message's time from when it sent them (PROTOCOL), and a relay may be held up before it accepts a connection
// and again before it reads (STANDING).
//
// Linux tells how long ago a connection's last segment with data came (TCP_INFO, tcpi_last_data_recv, in
// milliseconds, exact to a tick of its timer): before and after accept and read alike; a request in several
// pieces counts from its last one. Of requests that are read together, sent one behind another without an
// answer between them, it tells the last one's. What it says is believed as far as hold-ups, and the time for
// which this relay itself did not read, can explain it. Where it says nothing, bytes came when they were
// read.
#pragma once

#include <chrono>

#include "timestamp.h"

namespace myrtlegrade {

// How long ago a connection came up that nothing was sent on yet; zero where the kernel does not tell. It may
// have waited for its accept.
std::chrono::milliseconds connected_for(int socket);

// Of one connection's bytes. All spans are of this process's clocks.
class ArrivalTime {
 public:
  // The relay begins to wait for bytes: those that came since the last were read may have waited until now. A
  // wait that is begun anew, with nothing read, goes on.
  void awaits();
  // Bytes were read just now.
  void read(int socket);

  // Of the last bytes that were read: never in the future, never later than they were read.
  const Timestamp& last_byte() const { return last_byte_; }

 private:
  using Clock = std::chrono::steady_clock;

  Clock::time_point read_at_ = Clock::now();
  bool waiting_ = false;
  Clock::duration not_reading_{};  // between the last read and the wait for the next
  Timestamp last_byte_{};
};

}  // namespace myrtlegrade
