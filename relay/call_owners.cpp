#include "call_owners.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <random>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace myrtlegrade {

using namespace std::chrono_literals;

namespace {

constexpr std::string_view kPrefix = "calls-";
constexpr auto kLookEvery = 20ms;
std::string draw_name() {
  std::random_device device;
  char text[2 * 8 + 1];
  std::snprintf(text, sizeof text, "%08x%08x", device(), device());
  return std::string(kPrefix) + text;
}

}  // namespace

CallOwners::CallOwners(boost::asio::any_io_executor executor, std::string folder, Events events)
    : folder_(std::move(folder)), events_(std::move(events)), timer_(executor) {}

CallOwners::~CallOwners() {
  release();
  if (file_ >= 0) remove_file();
}

CallOwners::Earlier::~Earlier() {
  if (file >= 0) ::close(file);
}

void CallOwners::start() {
  started_ = Clock::now();
  if (name_.empty()) claim();
  found_ = find_earlier();
  look_after({});
}

void CallOwners::claim() {
  const std::string name = draw_name();
  const int file = ::open(path(name).c_str(), O_RDWR | O_CREAT | O_EXCL | O_CLOEXEC, 0600);
  if (file < 0) return;
  if (::flock(file, LOCK_EX | LOCK_NB) != 0) {
    ::close(file);
    return;
  }
  file_ = file;
  name_ = name;
}

void CallOwners::tell(const CallRecord& record) {
  if (file_ < 0) return;
  ends_.add(record);
  if (!ends_.flush(file_) && !looking_) look_after(kLookEvery);
}

void CallOwners::release() {
  if (file_ < 0 || std::exchange(released_, true)) return;
  if (given_over_) ends_.add(CallRecord::all_closed());
  if (!let_go() && !looking_) look_after(kLookEvery);
}

// False: the file does not take what it has to say.
bool CallOwners::let_go() {
  if (file_ < 0) return true;
  if (!ends_.flush(file_)) return false;
  if (!given_over_) {
    remove_file();
  } else {
    ::close(std::exchange(file_, -1));
  }
  return true;
}

void CallOwners::remove_file() {
  ::unlink(path(name_).c_str());
  ::close(std::exchange(file_, -1));
}

// False: the folder can't be read now.
bool CallOwners::find_earlier() {
  std::error_code error;
  std::vector<std::string> names;
  for (std::filesystem::directory_iterator at(folder_, error), end; !error && at != end;
       at.increment(error)) {
    std::string name = at->path().filename();
    if (name.starts_with(kPrefix) && name != name_) names.push_back(std::move(name));
  }
  if (error) return false;
  for (const std::string& name : names) add_earlier(name);
  return true;
}

void CallOwners::add_earlier(const std::string& name) {
  Earlier& earlier = earlier_.try_emplace(name).first->second;
  if (earlier.file < 0) earlier.file = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
}

// As long as that can't be known, it is locked. Several processes may look at once: their locks are shared.
CallOwners::FileState CallOwners::state_of(const std::string& name, Earlier& earlier) const {
  if (earlier.file < 0) earlier.file = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
  if (earlier.file < 0) return errno == ENOENT ? FileState::removed : FileState::locked;
  struct stat found {};
  if (::fstat(earlier.file, &found) == 0 && found.st_nlink == 0) return FileState::removed;
  if (::flock(earlier.file, LOCK_SH | LOCK_NB) != 0) return FileState::locked;
  ::flock(earlier.file, LOCK_UN);
  return FileState::unlocked;
}

// The state comes first: what its owner had to say by then is in the file that is read after it.
bool CallOwners::is_gone(const std::string& name, Earlier& earlier, Told& told) const {
  const FileState state = state_of(name, earlier);
  bool closed = state == FileState::removed;
  if (earlier.file >= 0) {
    for (CallRecord& record : earlier.ends.read(earlier.file)) {
      if (record.kind == CallRecord::Kind::closed) {
        closed = true;
      } else {
        told.emplace_back(name, std::move(record));
      }
    }
  }
  if (state == FileState::locked) earlier.free_since.reset();
  if (closed || state == FileState::locked) return closed;
  const auto now = Clock::now();
  if (!earlier.free_since) earlier.free_since = now;
  return now - *earlier.free_since >= kLongestHoldUp;
}

CallOwners::Life CallOwners::life_of(const std::string& name) const {
  Earlier looked;
  Told told;
  const FileState state = state_of(name, looked);
  if (state == FileState::locked) return Life::lives;
  return is_gone(name, looked, told) ? Life::released : Life::dead;
}

void CallOwners::expect(const std::string& name) {
  add_earlier(name);
  if (started_ != Clock::time_point{} && !looking_) look_after(kLookEvery);
}

void CallOwners::look_after(Clock::duration pause) {
  looking_ = true;
  timer_.expires_after(pause);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) look();
  });
}

void CallOwners::look() {
  looking_ = false;
  if (name_.empty()) claim();
  if (!found_) found_ = find_earlier();
  const bool written = released_ ? let_go() : file_ < 0 || ends_.flush(file_);
  Told told;
  std::vector<std::string> gone;
  for (auto& [name, earlier] : earlier_) {
    if (is_gone(name, earlier, told)) gone.push_back(name);
  }
  for (const auto& [name, record] : told) events_.told(name, record);
  for (const std::string& name : gone) {
    earlier_.erase(name);
    if (!given_over_) ::unlink(path(name).c_str());
    events_.gone(name);
  }
  // Also one without a file, of an earlier program, may have died just now.
  const bool none_left = found_ && earlier_.empty() && Clock::now() - started_ >= kLongestHoldUp;
  if (none_left) events_.none_left();
  if (none_left && written && !name_.empty()) return;
  look_after(kLookEvery);
}

}  // namespace myrtlegrade
