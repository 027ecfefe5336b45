// Who holds it is the relay: the one process that may write what lies in the folder that lasts.
#pragma once

#include <string>

namespace myrtlegrade {

// A lock on a file of its own; the kernel frees it however the process ends.
class StateLock {
 public:
  // Throws std::system_error if the folder can't be used.
  explicit StateLock(const std::string& folder);
  ~StateLock();
  StateLock(const StateLock&) = delete;
  StateLock& operator=(const StateLock&) = delete;

  bool try_acquire();
  void release();

 private:
  int file_ = -1;
};

}  // namespace myrtlegrade
