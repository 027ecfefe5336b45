// Access to the files of the state folder through one interface, with a real implementation and a simulated
// one that models what a power loss may leave: data that is not synced may be lost wholly or in part, and in
// any order.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace valedrum::recovery {

// Which failure stored records have to survive. `process`: the end of the process. `power`: also a power loss
// of the machine; then nothing is promised, and nothing that must not be done twice is done, before its
// record is synced.
enum class Durability : std::uint8_t { process, power };

class Disk {
 public:
  virtual ~Disk() = default;

  // Returns the whole file, or nothing if it does not exist. Throws std::system_error if it exists and cannot
  // be read.
  virtual std::optional<std::string> read(const std::string& name) = 0;
  // Creates the file if it does not exist. False: at most a part of the bytes was written.
  virtual bool append(const std::string& name, std::string_view bytes) = 0;
  virtual bool truncate(const std::string& name, std::uint64_t size) = 0;
  // Writes over the beginning of an existing file; its size does not shrink. A kill of the process leaves all
  // of the bytes or none if they lie within one page of memory.
  virtual bool overwrite(const std::string& name, std::string_view bytes) = 0;
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  virtual void remove(const std::string& name) = 0;
  // Makes everything written to the file durable. After a failed sync the data that it covered may be lost
  // for good, even if a later sync succeeds; a failed sync must not be retried as if that made the data
  // durable.
  virtual bool sync(const std::string& name) = 0;
  // Makes creations, renames and removals of files durable.
  virtual bool sync_directory() = 0;
  // Returns the work of sync() for another thread, to be run once. It applies to the present file, even if
  // the name is changed or removed meanwhile.
  virtual std::function<bool()> sync_later(const std::string& name) = 0;
};

enum class ReplaceResult : std::uint8_t {
  failed,    // the old file is unchanged
  unsynced,  // the new file is in place, but a power loss may bring the old one back
  replaced,
};
// Replaces a file atomically: after a crash of the process the old or the new file exists, complete. With
// `power` that also holds after a power loss.
ReplaceResult replace_file(Disk& disk, const std::string& name, std::string_view bytes,
                           Durability durability);

class RealDisk : public Disk {
 public:
  explicit RealDisk(std::string folder);
  ~RealDisk() override;
  RealDisk(const RealDisk&) = delete;
  RealDisk& operator=(const RealDisk&) = delete;

  std::optional<std::string> read(const std::string& name) override;
  bool append(const std::string& name, std::string_view bytes) override;
  bool truncate(const std::string& name, std::uint64_t size) override;
  bool overwrite(const std::string& name, std::string_view bytes) override;
  bool rename(const std::string& from, const std::string& to) override;
  void remove(const std::string& name) override;
  bool sync(const std::string& name) override;
  bool sync_directory() override;
  std::function<bool()> sync_later(const std::string& name) override;

 private:
  std::string path(const std::string& name) const { return folder_ + "/" + name; }
  int open(const std::string& name);  // returns a negative value on failure
  void close(const std::string& name);

  std::string folder_;
  std::map<std::string, int> descriptors_;  // of files opened for writing
};

// Faults of a simulated disk, set by tests.
struct DiskFaults {
  bool sync_is_noop = false;                  // sync() returns true, but makes nothing durable
  bool directory_sync_is_noop = false;        // the same for sync_directory()
  std::uint64_t capacity_bytes = UINT64_MAX;  // of all files together
  std::uint64_t failing_sync = 0;  // the n-th sync fails, and a crash loses what it covered; 0: none
  bool writes_fail = false;        // all changes to files fail; an append writes half of its bytes
  bool directory_sync_fails = false;
};

// A simulated disk in memory. It counts operations, and can lose power at the n-th one.
class FakeDisk : public Disk {
 public:
  struct PowerLoss {};  // thrown by the operation at which the power is lost
  using RandomBelow = std::function<std::uint32_t(std::uint32_t limit)>;

  std::optional<std::string> read(const std::string& name) override;
  bool append(const std::string& name, std::string_view bytes) override;
  bool truncate(const std::string& name, std::uint64_t size) override;
  bool overwrite(const std::string& name, std::string_view bytes) override;
  bool rename(const std::string& from, const std::string& to) override;
  void remove(const std::string& name) override;
  bool sync(const std::string& name) override;
  bool sync_directory() override;
  std::function<bool()> sync_later(const std::string& name) override;

  std::uint64_t operations() const { return operations_; }
  // Counted from 1; 0: never.
  void schedule_power_loss(std::uint64_t operation) { power_loss_at_ = operation; }
  // Sets the content to what a power loss may leave: any part of the unsynced data, by blocks and in any
  // order, and a prefix of the unsynced directory changes.
  void lose_power(const RandomBelow& random_below);
  // Only the process ended: all data is kept.
  void lose_process() { power_loss_at_ = 0; }
  void flip_bit(const std::string& name, std::uint64_t byte);
  std::uint64_t file_size(const std::string& name) const;
  DiskFaults faults;

 private:
  struct Inode {
    std::string current, synced;
  };
  using File = std::shared_ptr<Inode>;
  using Directory = std::map<std::string, File>;

  void count_operation();
  File& inode(const std::string& name);
  std::uint64_t used_bytes() const;

  Directory directory_, synced_directory_;
  std::vector<Directory> unsynced_changes_;  // the directory after each change since the last sync
  std::uint64_t operations_ = 0, power_loss_at_ = 0, syncs_ = 0;
};

}  // namespace valedrum::recovery
