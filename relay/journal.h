// What a relay has taken on, in a file that outlasts its process.
//
// Records are appended, each with a length and a checksum; a torn tail (the process was killed while it
// wrote) is cut off at the next start. Records gather in memory until flush() writes them in one piece. When
// little of the file still matters, what does is written to a new file that then takes the old one's name.
// Ends that are remembered go with it as far as they fit: they never cost what is owed its room.
// With durability `power` what was flushed outlasts the machine's power once it is synced too.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "ended_messages.h"
#include "moment.h"
#include "recovery/disk.h"

namespace myrtlegrade {

struct StoredAttempt {
  std::string host;
  std::string zone;
  Moment sent;
  bool may_have_run = true;  // until its outcome proves that it did not
};

struct StoredMessage {
  std::string id;
  std::string cls;
  std::uint64_t destination = 0;
  std::string key;  // empty: none
  std::string body;
  Moment deadline;
  std::vector<StoredAttempt> attempts;
};

struct Notice {
  std::string message;
  bool handed_back = false;  // otherwise given up
  std::chrono::milliseconds retry_in{};
  // When the platform has to have it, by the steady clock; not stored. None: as soon as can be.
  std::optional<vetchhinge::Time> due_by{};
};

class Owed;  // while it is read

class Journal {
 public:
  // Reads what an earlier process left. Throws std::system_error if the folder can't be used.
  Journal(const std::string& folder, std::uint64_t most_bytes,
          valedrum::recovery::Durability durability = valedrum::recovery::Durability::process);
  // The disk outlives the journal.
  Journal(valedrum::recovery::Disk& disk, std::uint64_t most_bytes,
          valedrum::recovery::Durability durability);
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Still owed, in the order taken, as found at the start. Hands them over.
  std::vector<StoredMessage> take_messages() { return std::exchange(messages_, {}); }
  std::vector<Notice> take_notices() { return std::exchange(notices_, {}); }

  // Whether a message with so many bytes of text fits, with all that may yet have to be written about it.
  bool has_room(std::size_t bytes) const;

  void accept(const StoredMessage& message);
  // An attempt that may run from now on. Attempts with lower numbers that were not recorded never ran.
  void record_attempt(const std::string& id, std::uint32_t number, const StoredAttempt& attempt);
  // The outcome of an attempt proves it. Nothing is written for one that was not recorded.
  void record_never_ran(const std::string& id, std::uint32_t number);
  void complete(const std::string& id);  // nothing more is owed
  void complete(const std::string& id, const Ended& ended);
  void complete_with_notice(const Notice& notice, const std::optional<Ended>& ended = std::nullopt);
  void settle_notice(const std::string& id);

  // What is remembered of one that has ended; null: nothing.
  const Ended* find_completed(const std::string& id) const {
    return ended_.find(fingerprint(id), read_clocks());
  }
  // It is told otherwise than was written down, which only a restart goes by.
  void remember_completed(const std::string& id, const Ended& ended);
  // Owed, or its notice is not settled.
  bool contains(const std::string& id) const { return index_.contains(id); }

  // Hosts that are taken out by hand, until they are put back.
  void disable_host(const std::string& host);
  void enable_host(const std::string& host);
  const std::set<std::string>& disabled_hosts() const { return disabled_hosts_; }

  // Another process writes from now on.
  void retire();

  // False if the disk takes no more: the records are kept for the next try, and nothing that depends on
  // them may be done. While that lasts the folder is tried at most every 50 ms.
  bool flush();
  // The last flush did not succeed, or what was synced may be lost: flush() has to be called until it
  // succeeds.
  bool failing() const { return failing_ || must_rewrite_; }
  // A restart may find this message, though it is ended now, until a flush succeeds.
  bool may_survive_restart(const std::string& id) const;
  // Syncs what has been flushed by now; another thread may do it. False: what it covered may be lost,
  // whatever a later one says, and mark_sync_failed() has to be called.
  std::function<bool()> sync_later() { return disk_->sync_later(kName); }
  // All that matters has to be written and synced once more, to a new file; nothing is taken before that.
  void mark_sync_failed() { must_rewrite_ = true; }

 private:
  Journal(std::unique_ptr<valedrum::recovery::Disk> own, std::uint64_t most_bytes,
          valedrum::recovery::Durability durability);
  struct Live {
    std::string records;
    std::size_t reserved = 0;
    std::uint32_t attempts = 0;  // recorded, or passed over by a later number
    bool written = false;        // the file has it, or a part of it
  };
  struct Pending {
    std::string message;  // empty: of none
    std::string record;
  };

  void append(const std::string& message, std::string record);
  bool write_pending();
  bool cut_back();
  void pending_written();
  void add_live(const std::string& id, Live live);
  void extend_live(const std::string& id, Live& live, std::string record);
  void read(const std::string& text);
  bool apply(std::string_view payload, Owed& owed);
  std::string live_records() const;
  std::string ended_records() const;
  std::uint64_t most_ended() const;
  std::uint64_t kept_bytes() const;
  void complete(const std::string& id, std::string record);
  void forget(const std::string& id);
  void compact();
  static constexpr const char* kName = "journal";

  std::unique_ptr<valedrum::recovery::Disk> own_;
  valedrum::recovery::Disk* disk_;
  std::uint64_t most_;
  valedrum::recovery::Durability durability_;
  std::uint64_t size_ = 0;        // of the file
  std::vector<Pending> pending_;  // not written yet
  bool retired_ = false;
  bool failing_ = false;       // the last flush did not succeed
  bool torn_ = false;          // the file is longer than size_
  bool must_rewrite_ = false;  // a sync failed
  std::chrono::steady_clock::time_point retry_at_{};
  std::uint64_t reserved_ = 0;    // bytes of live records, with what they may grow by
  std::uint64_t live_bytes_ = 0;  // of live records
  std::uint64_t format_ = 1;      // of the file, as read
  std::uint64_t next_ = 0;
  std::map<std::uint64_t, Live> live_;  // in the order taken
  std::unordered_map<std::string, std::uint64_t> index_;
  std::vector<StoredMessage> messages_;
  std::vector<Notice> notices_;
  std::set<std::string> disabled_hosts_;
  EndedMessages ended_;
};

}  // namespace myrtlegrade
