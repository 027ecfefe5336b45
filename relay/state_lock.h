// Exclusive lock on the state folder. Its holder is the active relay, the only process that may write there.
#pragma once

#include <string>

namespace myrtlegrade {

// A lock on a dedicated file. The kernel releases it however the process ends.
class StateLock {
 public:
  // Opens the lock file without locking it. Throws std::system_error if the folder can't be used.
  explicit StateLock(const std::string& folder);
  ~StateLock();
  StateLock(const StateLock&) = delete;
  StateLock& operator=(const StateLock&) = delete;

  // Returns false if another process holds the lock.
  bool try_acquire();
  void release();

 private:
  int file_ = -1;
};

}  // namespace myrtlegrade
