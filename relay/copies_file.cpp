#include "copies_file.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <iostream>
#include <stdexcept>
#include <system_error>

namespace myrtlegrade {

namespace copies = valedrum::copies;
namespace recovery = valedrum::recovery;

namespace {

constexpr std::uint64_t kMinRewriteBytes = 256 << 10;  // smaller files are not worth a rewrite
// Of the limit, for the file; the rest is for the snapshot that a rewrite puts beside it.
constexpr double kFileShare = 0.6;

}  // namespace

copies::Duration wall_offset_at(copies::Time now) {
  const auto wall_time = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<copies::Duration>(wall_time) - now.time_since_epoch();
}

CopiesFile::CopiesFile(recovery::Disk& disk, std::string member, std::uint64_t max_bytes,
                       recovery::Durability durability, copies::Duration wall_offset, std::uint64_t boot)
    : disk_(disk), member_(std::move(member)), max_bytes_(max_bytes), durability_(durability) {
  disk_.remove(std::string(kName) + ".new");
  stored_ = copies::read_stored(disk_.read(kName).value_or(""), wall_offset, boot);
  if (stored_.newer_format) throw std::runtime_error("PROXY_STATE: the copies are of a later program");
  const bool other_member = stored_.storage_id != 0 && stored_.member != member_;
  if (stored_.damaged || other_member) {
    std::cerr << "myrtlegrade: copies: the file is not used: "
              << (other_member ? "it belongs to another member" : "it is damaged") << std::endl;
    stored_ = {};
  }
  size_ = stored_.valid_bytes;
  wall_offset_ = stored_.wall_offset.value_or(wall_offset);
  // Records of another boot use another clock, so the file is rewritten before anything is appended.
  needs_rewrite_ = boot != 0 && !stored_.wall_offset;
  errno = 0;
  if (!disk_.truncate(kName, size_))
    throw std::system_error(errno, std::generic_category(), "PROXY_STATE: copies");
}

bool CopiesFile::append(const std::string& records, const std::function<std::string()>& snapshot) {
  std::string text = records;
  if (synced_ > recorded_synced_) text.insert(0, copies::synced_record(recorded_synced_ = synced_));
  const std::uint64_t new_size = size_ + text.size();
  const auto max_file_bytes = static_cast<std::uint64_t>(kFileShare * static_cast<double>(max_bytes_));
  const bool rewrite_due =
      size_ == 0 || new_size > std::max(std::min(kMinRewriteBytes, max_bytes_ / 4), 2 * rewritten_size_) ||
      new_size > max_file_bytes;
  // After a failed write the file lacks records, so only a complete snapshot makes it consistent again.
  if ((rewrite_due || needs_rewrite_) && rewrite(snapshot())) return true;
  if (needs_rewrite_) return false;
  // Beyond its share, the file would leave no room for any snapshot.
  if (new_size > max_file_bytes || !disk_.append(kName, text)) {
    (void)disk_.truncate(kName, size_);
    needs_rewrite_ = true;
    return false;
  }
  size_ = new_size;
  return true;
}

// With durability `power` the new file notes from the start that it records its synced size: without that, a
// torn tail could not be told from damage.
bool CopiesFile::rewrite(const std::string& snapshot) {
  std::string text = snapshot;
  if (durability_ == recovery::Durability::power) text += copies::synced_record(0);
  if (size_ + text.size() > max_bytes_) return false;
  const recovery::ReplaceResult replaced = recovery::replace_file(disk_, kName, text, durability_);
  if (replaced == recovery::ReplaceResult::failed) return false;
  size_ = rewritten_size_ = text.size();
  synced_ = recorded_synced_ = 0;
  // Rewritten again until the new directory entry is known to be synced.
  needs_rewrite_ = replaced == recovery::ReplaceResult::unsynced;
  return !needs_rewrite_;
}

}  // namespace myrtlegrade
