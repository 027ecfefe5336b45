// The one way to the files of the folder that lasts: a real folder, or one that is simulated, with all that a
// power loss may leave of it. What is not synced may be lost, in whole or in part, and in any order.
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

// What has to outlast what: `process` a killed process alone, `power` also a machine without power. Then
// nothing is promised, and nothing done that must not be done twice, before the record of it is synced.
enum class Durability : std::uint8_t { process, power };

class Disk {
 public:
  virtual ~Disk() = default;

  // The whole file; none where it is not there. Throws std::system_error where it is, and can't be read.
  virtual std::optional<std::string> read(const std::string& name) = 0;
  // Made where it is not there. False: none of it is there, or a part.
  virtual bool append(const std::string& name, std::string_view bytes) = 0;
  virtual bool truncate(const std::string& name, std::uint64_t size) = 0;
  virtual bool rename(const std::string& from, const std::string& to) = 0;
  virtual void remove(const std::string& name) = 0;
  // All that was written to it. One that has failed is never tried again as if it had worked: what it covered
  // may be gone for good, though a later one succeeds.
  virtual bool sync(const std::string& name) = 0;
  // That names are what they are: made, changed, removed.
  virtual bool sync_directory() = 0;
  // The same as sync(), as work that another thread may do, once, whatever becomes of the name meanwhile.
  virtual std::function<bool()> sync_later(const std::string& name) = 0;
};

enum class ReplaceResult : std::uint8_t {
  failed,    // the old file is as it was
  unsynced,  // the new file is there, but a power loss may bring the old one back
  replaced,
};
// Puts a file in the place of another, so that after a crash there is either of them, whole; with `power`
// also after a power loss.
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
  bool rename(const std::string& from, const std::string& to) override;
  void remove(const std::string& name) override;
  bool sync(const std::string& name) override;
  bool sync_directory() override;
  std::function<bool()> sync_later(const std::string& name) override;

 private:
  std::string path(const std::string& name) const { return folder_ + "/" + name; }
  int open(const std::string& name);  // under 0: it can't be
  void close(const std::string& name);

  std::string folder_;
  std::map<std::string, int> files_;  // descriptors of those that were written
};

// The lab breaks what a disk does, or what is asked of it, on purpose.
struct DiskFaults {
  bool sync_is_noop = false;                  // a sync succeeds, and keeps nothing
  bool directory_sync_is_noop = false;        // one of names does
  std::uint64_t capacity_bytes = UINT64_MAX;  // bytes in all files
  std::uint64_t failing_sync = 0;  // the n-th sync fails, and what it covered is lost at a crash; 0: none
  bool writes_fail = false;        // nothing that changes a file works; an append leaves half of its bytes
  bool directory_sync_fails = false;
};

// In memory. Operations are counted, and the n-th can be the last one before the power goes.
class FakeDisk : public Disk {
 public:
  struct PowerLoss {};  // thrown by the operation at which the power goes
  using RandomBelow = std::function<std::uint32_t(std::uint32_t below)>;

  std::optional<std::string> read(const std::string& name) override;
  bool append(const std::string& name, std::string_view bytes) override;
  bool truncate(const std::string& name, std::uint64_t size) override;
  bool rename(const std::string& from, const std::string& to) override;
  void remove(const std::string& name) override;
  bool sync(const std::string& name) override;
  bool sync_directory() override;
  std::function<bool()> sync_later(const std::string& name) override;

  std::uint64_t operations() const { return operations_; }
  void schedule_power_loss(std::uint64_t operation) { last_ = operation; }  // counted from 1; 0: never
  // What is there after it: of what was not synced any part, by blocks, in any order; of names that were not
  // synced the first few changes, or none.
  void lose_power(const RandomBelow& draw);
  // Only the process died: all is there.
  void lose_process() { last_ = 0; }
  void flip_bit(const std::string& name, std::uint64_t byte);
  std::uint64_t file_size(const std::string& name) const;
  DiskFaults faults;

 private:
  struct Inode {
    std::string now, synced;
  };
  using File = std::shared_ptr<Inode>;
  using Names = std::map<std::string, File>;

  void operation();
  File& file(const std::string& name);
  std::uint64_t bytes() const;

  Names names_, synced_names_;
  std::vector<Names> changes_;  // as names were after each change since
  std::uint64_t operations_ = 0, last_ = 0, syncs_ = 0;
};

}  // namespace valedrum::recovery
