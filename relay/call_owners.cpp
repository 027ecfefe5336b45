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
constexpr auto kPollInterval = 20ms;

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

CallOwners::Predecessor::~Predecessor() {
  if (file >= 0) ::close(file);
}

void CallOwners::start() {
  started_ = Clock::now();
  if (name_.empty()) create_file();
  folder_read_ = find_predecessors();
  schedule_poll({});
}

void CallOwners::create_file() {
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

void CallOwners::append(const CallRecord& record) {
  if (file_ < 0) return;
  ends_.add(record);
  if (!ends_.flush(file_) && !poll_scheduled_) schedule_poll(kPollInterval);
}

void CallOwners::release() {
  if (file_ < 0 || std::exchange(released_, true)) return;
  if (handed_over_) ends_.add(CallRecord::all_closed());
  if (!finish_release() && !poll_scheduled_) schedule_poll(kPollInterval);
}

// Returns false if the pending records can't be written.
bool CallOwners::finish_release() {
  if (file_ < 0) return true;
  if (!ends_.flush(file_)) return false;
  if (!handed_over_) {
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

// Returns false if the folder can't be read.
bool CallOwners::find_predecessors() {
  std::error_code error;
  std::vector<std::string> names;
  for (std::filesystem::directory_iterator at(folder_, error), end; !error && at != end;
       at.increment(error)) {
    std::string name = at->path().filename();
    if (name.starts_with(kPrefix) && name != name_) names.push_back(std::move(name));
  }
  if (error) return false;
  for (const std::string& name : names) add_predecessor(name);
  return true;
}

void CallOwners::add_predecessor(const std::string& name) {
  Predecessor& predecessor = predecessors_.try_emplace(name).first->second;
  if (predecessor.file < 0) predecessor.file = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
}

// A file whose state can't be determined counts as locked. The lock for the check is shared, since several
// processes may poll at once.
CallOwners::FileState CallOwners::state_of(const std::string& name, Predecessor& predecessor) const {
  if (predecessor.file < 0) predecessor.file = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
  if (predecessor.file < 0) return errno == ENOENT ? FileState::removed : FileState::locked;
  struct stat found {};
  if (::fstat(predecessor.file, &found) == 0 && found.st_nlink == 0) return FileState::removed;
  if (::flock(predecessor.file, LOCK_SH | LOCK_NB) != 0) return FileState::locked;
  ::flock(predecessor.file, LOCK_UN);
  return FileState::unlocked;
}

// The state is read before the records, so that all records written up to that state are seen.
bool CallOwners::is_gone(const std::string& name, Predecessor& predecessor, OwnedRecords& records) const {
  const FileState state = state_of(name, predecessor);
  bool closed = state == FileState::removed;
  if (predecessor.file >= 0) {
    for (CallRecord& record : predecessor.ends.read(predecessor.file)) {
      if (record.kind == CallRecord::Kind::closed) {
        closed = true;
      } else {
        records.emplace_back(name, std::move(record));
      }
    }
  }
  if (state == FileState::locked) predecessor.unlocked_since.reset();
  if (closed || state == FileState::locked) return closed;
  const auto now = Clock::now();
  if (!predecessor.unlocked_since) predecessor.unlocked_since = now;
  return now - *predecessor.unlocked_since >= kMaxStall;
}

CallOwners::Liveness CallOwners::liveness_of(const std::string& name) const {
  Predecessor predecessor;
  OwnedRecords records;
  const FileState state = state_of(name, predecessor);
  if (state == FileState::locked) return Liveness::alive;
  return is_gone(name, predecessor, records) ? Liveness::released : Liveness::dead;
}

void CallOwners::expect(const std::string& name) {
  add_predecessor(name);
  if (started_ != Clock::time_point{} && !poll_scheduled_) schedule_poll(kPollInterval);
}

void CallOwners::schedule_poll(Clock::duration delay) {
  poll_scheduled_ = true;
  timer_.expires_after(delay);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) poll();
  });
}

void CallOwners::poll() {
  poll_scheduled_ = false;
  if (name_.empty()) create_file();
  if (!folder_read_) folder_read_ = find_predecessors();
  const bool written = released_ ? finish_release() : file_ < 0 || ends_.flush(file_);
  OwnedRecords records;
  std::vector<std::string> gone;
  for (auto& [name, predecessor] : predecessors_) {
    if (is_gone(name, predecessor, records)) gone.push_back(name);
  }
  for (const auto& [name, record] : records) events_.on_record(name, record);
  for (const std::string& name : gone) {
    predecessors_.erase(name);
    if (!handed_over_) ::unlink(path(name).c_str());
    events_.on_gone(name);
  }
  // A process of an older version of the program, which has no file, may have died just before the start.
  const bool none_left = folder_read_ && predecessors_.empty() && Clock::now() - started_ >= kMaxStall;
  if (none_left) events_.on_none_left();
  if (none_left && written && !name_.empty()) return;
  schedule_poll(kPollInterval);
}

}  // namespace myrtlegrade
