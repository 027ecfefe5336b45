#include "recovery/disk.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <system_error>

#include "file_io.h"

namespace valedrum::recovery {

ReplaceResult replace_file(Disk& disk, const std::string& name, std::string_view bytes,
                           Durability durability) {
  const std::string fresh = name + ".new";
  const bool power = durability == Durability::power;
  disk.remove(fresh);
  if (!disk.append(fresh, bytes) || (power && !disk.sync(fresh)) || !disk.rename(fresh, name)) {
    disk.remove(fresh);
    return ReplaceResult::failed;
  }
  return !power || disk.sync_directory() ? ReplaceResult::replaced : ReplaceResult::unsynced;
}

// --------------------------------------------------------------------------------------------- real

namespace {

// The result of a system call that a signal may interrupt.
template <typename Call>
auto uninterrupted(Call call) {
  auto result = call();
  while (result < 0 && errno == EINTR) result = call();
  return result;
}

}  // namespace

RealDisk::RealDisk(std::string folder) : folder_(std::move(folder)) {}

RealDisk::~RealDisk() {
  for (const auto& [name, file] : files_) ::close(file);
}

int RealDisk::open(const std::string& name) {
  if (const auto found = files_.find(name); found != files_.end()) return found->second;
  const int file = ::open(path(name).c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (file >= 0) files_.emplace(name, file);
  return file;
}

void RealDisk::close(const std::string& name) {
  const auto found = files_.find(name);
  if (found == files_.end()) return;
  ::close(found->second);
  files_.erase(found);
}

std::optional<std::string> RealDisk::read(const std::string& name) {
  const int file = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0 && errno == ENOENT) return std::nullopt;
  std::string text;
  char bytes[1 << 16];
  ssize_t count = -1;
  while (file >= 0 && ((count = ::read(file, bytes, sizeof bytes)) > 0 || (count < 0 && errno == EINTR))) {
    if (count > 0) text.append(bytes, static_cast<std::size_t>(count));
  }
  const int error = errno;
  if (file >= 0) ::close(file);
  if (file < 0 || count < 0) throw std::system_error(error, std::generic_category(), path(name));
  return text;
}

bool RealDisk::append(const std::string& name, std::string_view bytes) {
  const int file = open(name);
  return file >= 0 && myrtlegrade::write_all(file, bytes);
}

bool RealDisk::truncate(const std::string& name, std::uint64_t size) {
  const int file = open(name);
  return file >= 0 && uninterrupted([&] { return ::ftruncate(file, static_cast<off_t>(size)); }) == 0;
}

bool RealDisk::rename(const std::string& from, const std::string& to) {
  if (::rename(path(from).c_str(), path(to).c_str()) != 0) return false;
  close(to);
  if (const auto found = files_.find(from); found != files_.end()) {
    files_.emplace(to, found->second);
    files_.erase(found);
  }
  return true;
}

void RealDisk::remove(const std::string& name) {
  close(name);
  ::unlink(path(name).c_str());
}

bool RealDisk::sync(const std::string& name) {
  const int file = open(name);
  return file >= 0 && uninterrupted([&] { return ::fdatasync(file); }) == 0;
}

bool RealDisk::sync_directory() {
  const int folder = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (folder < 0) return false;
  const bool synced = uninterrupted([&] { return ::fsync(folder); }) == 0;
  ::close(folder);
  return synced;
}

std::function<bool()> RealDisk::sync_later(const std::string& name) {
  const int file = open(name);
  const int own = file < 0 ? -1 : ::fcntl(file, F_DUPFD_CLOEXEC, 0);
  return [own] {
    if (own < 0) return false;
    const bool synced = uninterrupted([&] { return ::fdatasync(own); }) == 0;
    ::close(own);
    return synced;
  };
}

// ---------------------------------------------------------------------------------------- simulated

namespace {

constexpr std::size_t kBlock = 64;  // small, so that records of a test lie on several

}  // namespace

void FakeDisk::operation() {
  if (last_ != 0 && operations_ >= last_) throw PowerLoss{};
  ++operations_;
}

FakeDisk::File& FakeDisk::file(const std::string& name) {
  File& f = names_[name];
  if (!f) {
    f = std::make_shared<Inode>();
    changes_.push_back(names_);
  }
  return f;
}

std::uint64_t FakeDisk::bytes() const {
  std::uint64_t sum = 0;
  for (const auto& [name, f] : names_) sum += f->now.size();
  return sum;
}

std::uint64_t FakeDisk::file_size(const std::string& name) const {
  const auto found = names_.find(name);
  return found == names_.end() ? 0 : found->second->now.size();
}

std::optional<std::string> FakeDisk::read(const std::string& name) {
  const auto found = names_.find(name);
  if (found == names_.end()) return std::nullopt;
  return found->second->now;
}

// One that is cut short by a full disk, or by the power, has written a part.
bool FakeDisk::append(const std::string& name, std::string_view bytes) {
  File& f = file(name);
  try {
    operation();
  } catch (const PowerLoss&) {
    f->now += bytes.substr(0, bytes.size() / 2);
    throw;
  }
  if (faults.writes_fail) {
    f->now += bytes.substr(0, bytes.size() / 2);
    return false;
  }
  const std::uint64_t used = this->bytes();
  const std::uint64_t room = faults.capacity_bytes > used ? faults.capacity_bytes - used : 0;
  f->now += bytes.substr(0, std::min<std::uint64_t>(bytes.size(), room));
  return bytes.size() <= room;
}

bool FakeDisk::truncate(const std::string& name, std::uint64_t size) {
  operation();
  if (faults.writes_fail) return false;
  file(name)->now.resize(size);
  return true;
}

bool FakeDisk::rename(const std::string& from, const std::string& to) {
  operation();
  if (faults.writes_fail) return false;
  const auto found = names_.find(from);
  if (found == names_.end()) return false;
  names_[to] = found->second;
  names_.erase(from);
  changes_.push_back(names_);
  return true;
}

void FakeDisk::remove(const std::string& name) {
  operation();
  if (names_.erase(name) > 0) changes_.push_back(names_);
}

bool FakeDisk::sync(const std::string& name) {
  operation();
  if (faults.writes_fail) return false;
  const File& f = file(name);
  if (faults.failing_sync != 0 && ++syncs_ == faults.failing_sync) {
    f->now = f->synced;  // the pages were dropped, as kernels do: a later sync has nothing to say of them
    return false;
  }
  if (!faults.sync_is_noop) f->synced = f->now;
  return true;
}

bool FakeDisk::sync_directory() {
  operation();
  if (faults.writes_fail || faults.directory_sync_fails) return false;
  if (faults.directory_sync_is_noop) return true;
  synced_names_ = names_;
  changes_.clear();
  return true;
}

std::function<bool()> FakeDisk::sync_later(const std::string& name) {
  return [this, name] { return sync(name); };
}

void FakeDisk::lose_power(const RandomBelow& draw) {
  last_ = 0;
  const std::uint32_t kept = draw(static_cast<std::uint32_t>(changes_.size()) + 1);
  names_ = kept == 0 ? synced_names_ : changes_[kept - 1];
  changes_.clear();
  synced_names_ = names_;
  for (auto& [name, f] : names_) {
    f = std::make_shared<Inode>(*f);
    if (f->now.size() < f->synced.size()) {  // cut, and that was not synced
      if (draw(2) == 0) f->now = f->synced;
    } else if (f->now != f->synced) {
      const std::size_t from = f->synced.size();
      const std::uint32_t how = draw(4);
      if (how == 0) f->now = f->synced;  // none
      if (how == 1)
        f->now.resize(from + draw(static_cast<std::uint32_t>(f->now.size() - from) + 1));  // a part
      if (how == 2) {  // blocks in any order
        std::size_t end = from;
        for (std::size_t at = from; at < f->now.size(); at += kBlock) {
          const std::size_t size = std::min(kBlock, f->now.size() - at);
          if (draw(2) == 0) {
            f->now.replace(at, size, std::string(size, '\0'));
          } else {
            end = at + size;
          }
        }
        f->now.resize(end);
      }
    }
    f->synced = f->now;
  }
}

void FakeDisk::flip_bit(const std::string& name, std::uint64_t byte) {
  std::string& text = file(name)->now;
  text[byte] = static_cast<char>(text[byte] ^ 0x10);
}

}  // namespace valedrum::recovery
