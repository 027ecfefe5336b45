#include "state_lock.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace myrtlegrade {

StateLock::StateLock(const std::string& folder) {
  const std::string path = folder + "/lock";
  file_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file_ < 0) throw std::system_error(errno, std::generic_category(), "PROXY_STATE: " + path);
}

StateLock::~StateLock() { ::close(file_); }

bool StateLock::try_acquire() { return ::flock(file_, LOCK_EX | LOCK_NB) == 0; }

void StateLock::release() { ::flock(file_, LOCK_UN); }

}  // namespace myrtlegrade
