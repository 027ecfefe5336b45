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

constexpr std::uint64_t kLeastAnew = 256 << 10;  // smaller files are not worth it

}  // namespace

copies::Duration wall_of(copies::Time now) {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<copies::Duration>(wall) - now.time_since_epoch();
}

CopiesFile::CopiesFile(recovery::Disk& disk, std::string member, std::uint64_t most_bytes,
                       recovery::Durability durability, copies::Duration wall, std::uint64_t boot)
    : disk_(disk), member_(std::move(member)), most_(most_bytes), durability_(durability) {
  disk_.remove(std::string(kName) + ".new");
  stored_ = copies::read_stored(disk_.read(kName).value_or(""), wall, boot);
  if (stored_.newer_format) throw std::runtime_error("PROXY_STATE: the copies are of a later program");
  const bool others = stored_.storage_id != 0 && stored_.member != member_;
  if (stored_.damaged || others) {
    std::cerr << "myrtlegrade: copies: the file is not used: "
              << (others ? "it is another member's" : "it is damaged") << std::endl;
    stored_ = {};
  }
  size_ = stored_.valid_bytes;
  wall_ = stored_.wall_offset.value_or(wall);
  behind_ =
      boot != 0 && !stored_.wall_offset;  // written anew before anything goes behind what another clock wrote
  errno = 0;
  if (!disk_.truncate(kName, size_))
    throw std::system_error(errno, std::generic_category(), "PROXY_STATE: copies");
}

bool CopiesFile::append(const std::string& records, const std::function<std::string()>& snapshot) {
  std::string all = records;
  if (synced_ > told_) all.insert(0, copies::synced_record(told_ = synced_));
  const std::uint64_t after = size_ + all.size();
  const bool anew = size_ == 0 || after > std::max(std::min(kLeastAnew, most_ / 4), 2 * written_anew_) ||
                    after > most_ * 6 / 10;
  // After what could not be written a part of it would be no more than that: all of it, or nothing.
  if ((anew || behind_) && rewrite(snapshot())) return true;
  if (behind_) return false;
  if (after > most_ || !disk_.append(kName, all)) {
    (void)disk_.truncate(kName, size_);
    behind_ = true;
    return false;
  }
  size_ = after;
  return true;
}

// It says from its first byte on that it tells what was synced: without that a torn tail would pass for
// damage.
bool CopiesFile::rewrite(const std::string& snapshot) {
  std::string text = snapshot;
  if (durability_ == recovery::Durability::power) text += copies::synced_record(0);
  if (size_ + text.size() > most_) return false;
  const recovery::ReplaceResult replaced = recovery::replace_file(disk_, kName, text, durability_);
  if (replaced == recovery::ReplaceResult::failed) return false;
  size_ = written_anew_ = text.size();
  synced_ = told_ = 0;
  behind_ = replaced == recovery::ReplaceResult::unsynced;  // written anew until the name is known to last
  return !behind_;
}

}  // namespace myrtlegrade
