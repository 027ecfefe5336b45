// A descriptor kept for what must not wait until the process has one to spare.
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

  // Where there is none to keep now, a later call may find one.
  void reserve() {
    if (file_ < 0) file_ = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
  }
  // Whoever opens something next gets it.
  void release() {
    if (file_ >= 0) ::close(std::exchange(file_, -1));
  }

 private:
  int file_ = -1;
};

}  // namespace myrtlegrade
