// The file `copies` in the folder that lasts: what this relay has promised and holds in its groups.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "copies/codec.h"
#include "recovery/disk.h"

namespace myrtlegrade {

class CopiesFile {
 public:
  // Throws std::runtime_error where a later program wrote it, std::system_error where it can't be opened.
  CopiesFile(valedrum::recovery::Disk& disk, std::string member, std::uint64_t most_bytes,
             valedrum::recovery::Durability durability, valedrum::copies::Duration wall,
             std::uint64_t boot = 0);

  // By which all records have to be written: what the day's clock showed when the file was begun, in this run
  // of the machine.
  valedrum::copies::Duration wall() const { return wall_; }

  // What was found. Nothing where it was damaged or another member's: then this is a new life, which knows of
  // no group.
  valedrum::copies::StoredState take() { return std::exchange(stored_, {}); }

  // What has to be on disk before anything that depends on it is said. With `snapshot`, all that matters, it
  // is written anew where little of it still does. False: the disk takes no more; nothing of it may be said.
  bool append(const std::string& records, const std::function<std::string()>& snapshot);
  // As Journal::sync_later(). `done` has to be told of it.
  std::function<bool()> sync_later() { return disk_.sync_later(kName); }
  std::uint64_t size() const { return size_; }
  // So much of it is synced: the next record says so, for what is damaged there was no torn tail.
  void synced(std::uint64_t bytes) { synced_ = bytes; }

 private:
  static constexpr const char* kName = "copies";
  bool rewrite(const std::string& snapshot);

  valedrum::recovery::Disk& disk_;
  std::string member_;
  std::uint64_t most_;
  valedrum::recovery::Durability durability_;
  std::uint64_t synced_ = 0, told_ = 0;
  std::uint64_t size_ = 0, written_anew_ = 0;  // bytes; after the last time that it was written anew
  bool behind_ = false;                        // something was not written
  valedrum::copies::Duration wall_{};
  valedrum::copies::StoredState stored_;
};

// What the day's clock shows at the zero of the one that copies tell time by.
valedrum::copies::Duration wall_of(valedrum::copies::Time now);

}  // namespace myrtlegrade
