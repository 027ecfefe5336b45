// The file `copies` in the state folder: an append-only log of the promises and items of this relay's groups,
// rewritten as a snapshot when most of its content is obsolete.
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
  // Reads the file. Throws std::runtime_error if a newer version of the program wrote it, std::system_error
  // if it cannot be opened. `boot` identifies the boot of the machine; 0 if unknown.
  CopiesFile(valedrum::recovery::Disk& disk, std::string member, std::uint64_t max_bytes,
             valedrum::recovery::Durability durability, valedrum::copies::Duration wall_offset,
             std::uint64_t boot = 0);

  // Returns the offset of the wall clock with which all records have to be written. It is fixed when the file
  // is created or first rewritten in the current boot of the machine.
  valedrum::copies::Duration wall_offset() const { return wall_offset_; }

  // Returns the state that was read, and releases it. It is empty if the file was damaged or written by
  // another member: this member then starts with a new storage id and without groups.
  valedrum::copies::StoredState take() { return std::exchange(stored_, {}); }

  // Appends records. They must be on disk before any message that depends on them is sent. Rewrites the file
  // with `snapshot`, which returns the complete state, when most of its content is obsolete. Returns false if
  // the records could not be written; then no message that depends on them may be sent.
  bool append(const std::string& records, const std::function<std::string()>& snapshot);
  // Returns the work of a sync of what has been written so far; another thread may run it. After a successful
  // sync synced() has to be called.
  std::function<bool()> sync_later() { return disk_.sync_later(kName); }
  std::uint64_t size() const { return size_; }
  // Notes that the first `bytes` bytes are synced. The next append records this, because damage in the synced
  // part cannot be the torn tail of an interrupted write.
  void synced(std::uint64_t bytes) { synced_ = bytes; }

 private:
  static constexpr const char* kName = "copies";
  bool rewrite(const std::string& snapshot);

  valedrum::recovery::Disk& disk_;
  std::string member_;
  std::uint64_t max_bytes_;
  valedrum::recovery::Durability durability_;
  std::uint64_t synced_ = 0, recorded_synced_ = 0;  // bytes; synced, and noted as synced in the file
  std::uint64_t size_ = 0, rewritten_size_ = 0;     // bytes; now, and after the last rewrite
  bool needs_rewrite_ = false;                      // the file lacks records or its offset is outdated
  valedrum::copies::Duration wall_offset_{};
  valedrum::copies::StoredState stored_;
};

// Returns the difference between the wall clock and the clock of the copies state machine.
valedrum::copies::Duration wall_offset_at(valedrum::copies::Time now);

}  // namespace myrtlegrade
