// A reserved file descriptor for work that must not wait while the process has no free descriptor.
#pragma once

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace myrtlegrade {

class SpareDescriptor {
 public:
  SpareDescriptor() { reserve(); }
  ~SpareDescriptor() { release(); }
  SpareDescriptor(const SpareDescriptor&) = delete;
  SpareDescriptor& operator=(const SpareDescriptor&) = delete;

  // Reserves a descriptor. If none is free, a later call may succeed.
  void reserve() {
    if (file_ < 0) file_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  }
  // Frees the descriptor for the next file or socket that is opened.
  void release() {
    if (file_ >= 0) ::close(std::exchange(file_, -1));
  }

 private:
  int file_ = -1;
};

}  // namespace myrtlegrade
