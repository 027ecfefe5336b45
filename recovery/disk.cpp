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
  const std::string temporary = name + ".new";
  const bool sync_needed = durability == Durability::power;
  disk.remove(temporary);
  if (!disk.append(temporary, bytes) || (sync_needed && !disk.sync(temporary)) ||
      !disk.rename(temporary, name)) {
    disk.remove(temporary);
    return ReplaceResult::failed;
  }
  return !sync_needed || disk.sync_directory() ? ReplaceResult::replaced : ReplaceResult::unsynced;
}

// --------------------------------------------------------------------------------------------- real

namespace {

// Repeats a system call while signals interrupt it.
template <typename Call>
auto uninterrupted(Call call) {
  auto result = call();
  while (result < 0 && errno == EINTR) result = call();
  return result;
}

}  // namespace

RealDisk::RealDisk(std::string folder) : folder_(std::move(folder)) {}

RealDisk::~RealDisk() {
  for (const auto& [name, descriptor] : descriptors_) ::close(descriptor);
}

int RealDisk::open(const std::string& name) {
  if (const auto found = descriptors_.find(name); found != descriptors_.end()) return found->second;
  const int descriptor = ::open(path(name).c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (descriptor >= 0) descriptors_.emplace(name, descriptor);
  return descriptor;
}

void RealDisk::close(const std::string& name) {
  const auto found = descriptors_.find(name);
  if (found == descriptors_.end()) return;
  ::close(found->second);
  descriptors_.erase(found);
}

std::optional<std::string> RealDisk::read(const std::string& name) {
  const int descriptor = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0 && errno == ENOENT) return std::nullopt;
  std::string text;
  char buffer[1 << 16];
  ssize_t bytes_read = -1;
  while (descriptor >= 0 && ((bytes_read = ::read(descriptor, buffer, sizeof buffer)) > 0 ||
                             (bytes_read < 0 && errno == EINTR))) {
    if (bytes_read > 0) text.append(buffer, static_cast<std::size_t>(bytes_read));
  }
  const int error = errno;
  if (descriptor >= 0) ::close(descriptor);
  if (descriptor < 0 || bytes_read < 0) throw std::system_error(error, std::generic_category(), path(name));
  return text;
}

bool RealDisk::append(const std::string& name, std::string_view bytes) {
  const int descriptor = open(name);
  return descriptor >= 0 && myrtlegrade::write_all(descriptor, bytes);
}

bool RealDisk::truncate(const std::string& name, std::uint64_t size) {
  const int descriptor = open(name);
  return descriptor >= 0 &&
         uninterrupted([&] { return ::ftruncate(descriptor, static_cast<off_t>(size)); }) == 0;
}

// Through a descriptor of its own: with O_APPEND, Linux appends whatever the offset of a write is.
bool RealDisk::overwrite(const std::string& name, std::string_view bytes) {
  const int descriptor = ::open(path(name).c_str(), O_WRONLY | O_CLOEXEC);
  if (descriptor < 0) return false;
  const bool written = myrtlegrade::write_all(descriptor, bytes);
  ::close(descriptor);
  return written;
}

bool RealDisk::rename(const std::string& from, const std::string& to) {
  if (::rename(path(from).c_str(), path(to).c_str()) != 0) return false;
  close(to);
  if (const auto found = descriptors_.find(from); found != descriptors_.end()) {
    descriptors_.emplace(to, found->second);
    descriptors_.erase(found);
  }
  return true;
}

void RealDisk::remove(const std::string& name) {
  close(name);
  ::unlink(path(name).c_str());
}

bool RealDisk::sync(const std::string& name) {
  const int descriptor = open(name);
  return descriptor >= 0 && uninterrupted([&] { return ::fdatasync(descriptor); }) == 0;
}

bool RealDisk::sync_directory() {
  const int directory = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (directory < 0) return false;
  const bool synced = uninterrupted([&] { return ::fsync(directory); }) == 0;
  ::close(directory);
  return synced;
}

std::function<bool()> RealDisk::sync_later(const std::string& name) {
  const int descriptor = open(name);
  const int duplicate = descriptor < 0 ? -1 : ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
  return [duplicate] {
    if (duplicate < 0) return false;
    const bool synced = uninterrupted([&] { return ::fdatasync(duplicate); }) == 0;
    ::close(duplicate);
    return synced;
  };
}

// ---------------------------------------------------------------------------------------- simulated

namespace {

constexpr std::size_t kBlockBytes = 64;  // small, so that the records of a test span several blocks

}  // namespace

void FakeDisk::count_operation() {
  if (power_loss_at_ != 0 && operations_ >= power_loss_at_) throw PowerLoss{};
  ++operations_;
}

FakeDisk::File& FakeDisk::inode(const std::string& name) {
  File& file = directory_[name];
  if (!file) {
    file = std::make_shared<Inode>();
    unsynced_changes_.push_back(directory_);
  }
  return file;
}

std::uint64_t FakeDisk::used_bytes() const {
  std::uint64_t sum = 0;
  for (const auto& [name, file] : directory_) sum += file->current.size();
  return sum;
}

std::uint64_t FakeDisk::file_size(const std::string& name) const {
  const auto found = directory_.find(name);
  return found == directory_.end() ? 0 : found->second->current.size();
}

std::optional<std::string> FakeDisk::read(const std::string& name) {
  const auto found = directory_.find(name);
  if (found == directory_.end()) return std::nullopt;
  return found->second->current;
}

// A full disk or a power loss leaves a part of the bytes written.
bool FakeDisk::append(const std::string& name, std::string_view bytes) {
  File& file = inode(name);
  try {
    count_operation();
  } catch (const PowerLoss&) {
    file->current += bytes.substr(0, bytes.size() / 2);
    throw;
  }
  if (faults.writes_fail) {
    file->current += bytes.substr(0, bytes.size() / 2);
    return false;
  }
  const std::uint64_t used = used_bytes();
  const std::uint64_t room = faults.capacity_bytes > used ? faults.capacity_bytes - used : 0;
  file->current += bytes.substr(0, std::min<std::uint64_t>(bytes.size(), room));
  return bytes.size() <= room;
}

bool FakeDisk::truncate(const std::string& name, std::uint64_t size) {
  count_operation();
  if (faults.writes_fail) return false;
  inode(name)->current.resize(size);
  return true;
}

bool FakeDisk::overwrite(const std::string& name, std::string_view bytes) {
  count_operation();
  if (faults.writes_fail) return false;
  std::string& text = inode(name)->current;
  text.replace(0, std::min(bytes.size(), text.size()), bytes);
  return true;
}

bool FakeDisk::rename(const std::string& from, const std::string& to) {
  count_operation();
  if (faults.writes_fail) return false;
  const auto found = directory_.find(from);
  if (found == directory_.end()) return false;
  directory_[to] = found->second;
  directory_.erase(from);
  unsynced_changes_.push_back(directory_);
  return true;
}

void FakeDisk::remove(const std::string& name) {
  count_operation();
  if (directory_.erase(name) > 0) unsynced_changes_.push_back(directory_);
}

bool FakeDisk::sync(const std::string& name) {
  count_operation();
  if (faults.writes_fail) return false;
  const File& file = inode(name);
  if (faults.failing_sync != 0 && ++syncs_ == faults.failing_sync) {
    file->current = file->synced;  // like a kernel, drops the dirty pages: a later sync does not report them
    return false;
  }
  if (!faults.sync_is_noop) file->synced = file->current;
  return true;
}

bool FakeDisk::sync_directory() {
  count_operation();
  if (faults.writes_fail || faults.directory_sync_fails) return false;
  if (faults.directory_sync_is_noop) return true;
  synced_directory_ = directory_;
  unsynced_changes_.clear();
  return true;
}

std::function<bool()> FakeDisk::sync_later(const std::string& name) {
  return [this, name] { return sync(name); };
}

void FakeDisk::lose_power(const RandomBelow& random_below) {
  power_loss_at_ = 0;
  const std::uint32_t kept_changes = random_below(static_cast<std::uint32_t>(unsynced_changes_.size()) + 1);
  directory_ = kept_changes == 0 ? synced_directory_ : unsynced_changes_[kept_changes - 1];
  unsynced_changes_.clear();
  synced_directory_ = directory_;
  for (auto& [name, file] : directory_) {
    file = std::make_shared<Inode>(*file);
    if (file->current.size() < file->synced.size()) {  // truncated, and the truncation was not synced
      if (random_below(2) == 0) file->current = file->synced;
    } else if (file->current != file->synced) {
      const std::size_t synced_size = file->synced.size();
      const std::uint32_t outcome = random_below(4);
      if (outcome == 0) file->current = file->synced;  // nothing unsynced is kept
      if (outcome == 1) {                              // a prefix is kept
        file->current.resize(
            synced_size + random_below(static_cast<std::uint32_t>(file->current.size() - synced_size) + 1));
      }
      if (outcome == 2) {  // arbitrary blocks are kept
        std::size_t end = synced_size;
        for (std::size_t at = synced_size; at < file->current.size(); at += kBlockBytes) {
          const std::size_t size = std::min(kBlockBytes, file->current.size() - at);
          if (random_below(2) == 0) {
            file->current.replace(at, size, std::string(size, '\0'));
          } else {
            end = at + size;
          }
        }
        file->current.resize(end);
      }
    }
    file->synced = file->current;
  }
}

void FakeDisk::flip_bit(const std::string& name, std::uint64_t byte) {
  std::string& text = inode(name)->current;
  text[byte] = static_cast<char>(text[byte] ^ 0x10);
}

}  // namespace valedrum::recovery
