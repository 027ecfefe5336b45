#include "copies_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>
#include <system_error>

#include "copy_net.h"
#include "files.h"

namespace myrtlegrade {

namespace copies = valedrum::copies;

namespace {

constexpr std::uint64_t kLeastAnew = 256 << 10;  // smaller files are not worth it

}  // namespace

copies::Duration wall_of(copies::Time now) {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<copies::Duration>(wall) - now.time_since_epoch();
}

CopiesFile::CopiesFile(const std::string& folder, std::string member, std::uint64_t most_bytes)
    : folder_(folder), member_(std::move(member)), most_(most_bytes) {
  ::unlink((path() + ".new").c_str());
  std::ifstream in(path(), std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  stored_ = copies::read_stored(text, wall_of(CopyNet::now()));
  if (stored_.later) throw std::runtime_error("PROXY_STATE: the copies are of a later program");
  const bool others = stored_.life != 0 && stored_.member != member_;
  if (stored_.damaged || others) {
    std::cerr << "myrtlegrade: copies: " << path()
              << " is not used: " << (others ? "it is another member's" : "it is damaged") << std::endl;
    stored_ = {};
  }
  size_ = stored_.bytes;
  file_ = ::open(path().c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (file_ < 0 || ::ftruncate(file_, static_cast<off_t>(size_)) != 0)
    throw std::system_error(errno, std::generic_category(), "PROXY_STATE: " + path());
}

CopiesFile::~CopiesFile() { ::close(file_); }

bool CopiesFile::append(const std::string& records, const std::function<std::string()>& snapshot) {
  const std::uint64_t after = size_ + records.size();
  const bool anew = size_ == 0 || after > std::max(std::min(kLeastAnew, most_ / 4), 2 * written_anew_) ||
                    after > most_ * 6 / 10;
  // After what could not be written a part of it would be no more than that: all of it, or nothing.
  if ((anew || behind_) && rewrite(snapshot())) return !(behind_ = false);
  if (behind_) return false;
  if (after > most_ || !write_all(file_, records)) {
    [[maybe_unused]] const int cut = ::ftruncate(file_, static_cast<off_t>(size_));
    behind_ = true;
    return false;
  }
  size_ = after;
  return true;
}

bool CopiesFile::rewrite(const std::string& text) {
  if (size_ + text.size() > most_) return false;
  const std::string fresh = path() + ".new";
  const int file = ::open(fresh.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (file < 0) return false;
  if (!write_all(file, text) || ::rename(fresh.c_str(), path().c_str()) != 0) {
    ::close(file);
    ::unlink(fresh.c_str());
    return false;
  }
  ::close(file_);
  file_ = file;
  size_ = written_anew_ = text.size();
  return true;
}

}  // namespace myrtlegrade
