#include "call_owners.h"

#include <fcntl.h>
#include <sys/file.h>
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

CallOwners::~CallOwners() { release(); }

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

void CallOwners::release() {
  if (file_ < 0) return;
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
  for (std::string& name : names) earlier_.emplace(std::move(name), std::nullopt);
  return true;
}

// As long as that can't be known, it is locked.
CallOwners::FileState CallOwners::state_of(const std::string& name) const {
  const int file = ::open(path(name).c_str(), O_RDWR | O_CLOEXEC);
  if (file < 0) return errno == ENOENT ? FileState::removed : FileState::locked;
  const bool locked = ::flock(file, LOCK_EX | LOCK_NB) != 0;
  ::close(file);
  return locked ? FileState::locked : FileState::unlocked;
}

void CallOwners::expect(const std::string& name) {
  earlier_.emplace(name, std::nullopt);
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
  const auto now = Clock::now();
  std::vector<std::string> gone;
  for (auto& [name, free_since] : earlier_) {
    const FileState state = state_of(name);
    if (state == FileState::locked) continue;
    if (!free_since) free_since = now;
    if (state == FileState::removed || now - *free_since >= kLongestHoldUp) gone.push_back(name);
  }
  for (const std::string& name : gone) {
    earlier_.erase(name);
    ::unlink(path(name).c_str());
    events_.gone(name);
  }
  // Also one without a file, of an earlier program, may have died just now.
  const bool none_left = found_ && earlier_.empty() && now - started_ >= kLongestHoldUp;
  if (none_left) events_.none_left();
  if (none_left && !name_.empty()) return;
  look_after(kLookEvery);
}

}  // namespace myrtlegrade
