// Append-only journal of the messages that a relay has accepted, in a file that outlives the process.
//
// Each record has a length and a checksum; a torn tail, left when the process is killed during a write, is
// truncated at the next start. Records are buffered in memory until flush() appends them in one write. When
// only a small part of the file is still live, compaction writes the live records to a new file, which then
// replaces the old one. Records of completed messages are carried over only as far as they fit: they never
// take space that pending messages and notices need. With durability `power`, flushed records survive a power
// failure once they are synced too.
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

#include "completed_messages.h"
#include "recovery/disk.h"
#include "timestamp.h"

namespace myrtlegrade {

// An attempt, as the journal records it.
struct StoredAttempt {
  std::string host;
  std::string zone;
  Timestamp sent;
  bool may_have_run = true;  // until its outcome proves that it did not
};

// An accepted message, as the journal records it.
struct StoredMessage {
  std::string id;
  std::string cls;
  std::uint64_t destination = 0;
  std::string key;  // empty: none
  std::string body;
  Timestamp deadline;
  std::vector<StoredAttempt> attempts;
};

// Report to the platform about a message that is not delivered.
struct Notice {
  std::string message;
  bool handed_back = false;  // to be submitted again after `retry_in`; otherwise given up
  std::chrono::milliseconds retry_in{};
  // Steady-clock time by which the platform must have received it; not stored. None: as soon as possible.
  std::optional<vetchhinge::Time> due_by{};
};

class JournalReplay;

// Not thread-safe, except for the jobs that sync_later() returns.
class Journal {
 public:
  // Replays the journal of the previous process. Throws std::system_error if the folder can't be used, and
  // std::runtime_error if a newer version of the program wrote the journal.
  Journal(const std::string& folder, std::uint64_t max_bytes,
          valedrum::recovery::Durability durability = valedrum::recovery::Durability::process);
  // `disk` must outlive the journal.
  Journal(valedrum::recovery::Disk& disk, std::uint64_t max_bytes, valedrum::recovery::Durability durability);
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Move out the messages and notices that were pending at the start, in the order of acceptance.
  std::vector<StoredMessage> take_messages() { return std::exchange(messages_, {}); }
  std::vector<Notice> take_notices() { return std::exchange(notices_, {}); }

  // Returns whether a message with `bytes` bytes of text fits, along with all later records about it.
  bool has_room(std::size_t bytes) const;

  // Records an accepted message.
  void accept(const StoredMessage& message);
  // Records an attempt before it is sent. Attempts with lower numbers that were not recorded never ran.
  void record_attempt(const std::string& id, std::uint32_t number, const StoredAttempt& attempt);
  // Records that an attempt's outcome proves that it did not run. No-op for an attempt without a record.
  void record_never_ran(const std::string& id, std::uint32_t number);
  // Records that a message needs no further work. With `ended`, its outcome is remembered for repeated
  // requests.
  void complete(const std::string& id);
  void complete(const std::string& id, const CompletedMessage& ended);
  // Records that a message has ended without delivery and that its notice is pending.
  void complete_with_notice(const Notice& notice,
                            const std::optional<CompletedMessage>& ended = std::nullopt);
  // Records that the platform has received the notice.
  void settle_notice(const std::string& id);

  // Returns the remembered outcome of a completed message, or null.
  const CompletedMessage* find_completed(const std::string& id) const {
    return completed_.find(fingerprint(id), read_clocks());
  }
  // Overrides the remembered outcome in memory; a restart still uses the recorded one.
  void remember_completed(const std::string& id, const CompletedMessage& ended);
  // Returns whether the message or its notice is pending.
  bool contains(const std::string& id) const { return sequence_by_id_.contains(id); }

  // Hosts disabled by the operator, across restarts, until they are enabled again.
  void disable_host(const std::string& host);
  void enable_host(const std::string& host);
  const std::set<std::string>& disabled_hosts() const { return disabled_hosts_; }

  // Stops writing, because a successor process writes the journal from now on. Drops buffered records.
  void retire();

  // Writes the buffered records. Returns false if the disk rejects them: they stay buffered for the next try,
  // and no action that depends on them may be taken. While the disk fails, it is tried at most every 50 ms.
  bool flush();
  // Returns whether the last flush failed or synced data may be lost. flush() then has to be called until it
  // succeeds.
  bool failing() const { return failing_ || must_rewrite_; }
  // Returns whether a restart may find this message, although it is completed, until a flush succeeds.
  bool may_survive_restart(const std::string& id) const;
  // Returns a job that syncs all that is flushed by now; any thread may run it. If the job returns false, the
  // data it covers may be lost even if a later sync succeeds, and mark_sync_failed() has to be called.
  std::function<bool()> sync_later() { return disk_->sync_later(kName); }
  // Forces the next flush to write and sync all live records to a new file. No message is accepted before
  // that.
  void mark_sync_failed() { must_rewrite_ = true; }

 private:
  Journal(std::unique_ptr<valedrum::recovery::Disk> owned_disk, std::uint64_t max_bytes,
          valedrum::recovery::Durability durability);
  // Records that a restart needs, of one message or notice.
  struct LiveEntry {
    std::string records;
    std::size_t reserved = 0;
    std::uint32_t attempts = 0;  // one more than the highest recorded number
    bool written = false;        // the file has at least one of the records
  };
  struct BufferedRecord {
    std::string message;  // empty: the record belongs to no message
    std::string record;
  };

  void append(const std::string& message, std::string record);
  bool write_buffered();
  // Truncates a torn record, which would hide all records appended after it.
  bool truncate_torn_tail();
  void mark_buffered_written();
  void add_live(const std::string& id, LiveEntry entry);
  void extend_live(const std::string& id, LiveEntry& entry, std::string record);
  void read(const std::string& text);
  // Applies one record read back: rebuilds the in-memory state that writing it had produced.
  bool apply(std::string_view payload, JournalReplay& replay);
  std::string live_records() const;
  std::string completed_records() const;
  // Returns how many records of completed messages a compaction carries over.
  std::uint64_t max_completed_records() const;
  std::uint64_t compacted_bytes() const;
  void complete(const std::string& id, std::string record);
  void erase_live(const std::string& id);
  // Writes the live records, buffered ones included, to a new file. If that fails, the old file stays in use.
  void compact();
  static constexpr const char* kName = "journal";

  std::unique_ptr<valedrum::recovery::Disk> owned_disk_;
  valedrum::recovery::Disk* disk_;
  std::uint64_t max_bytes_;
  valedrum::recovery::Durability durability_;
  std::uint64_t size_ = 0;                // of the file
  std::vector<BufferedRecord> buffered_;  // not yet written
  bool retired_ = false;
  bool failing_ = false;       // the last flush did not succeed
  bool torn_ = false;          // the file is longer than size_, by part of a record
  bool must_rewrite_ = false;  // a sync failed
  std::chrono::steady_clock::time_point retry_at_{};
  std::uint64_t reserved_ = 0;    // bytes of live records and their possible growth
  std::uint64_t live_bytes_ = 0;  // of live records
  std::uint64_t format_ = 1;      // of the file, as read
  std::uint64_t next_sequence_ = 0;
  std::map<std::uint64_t, LiveEntry> live_;  // by sequence number: in the order of acceptance
  std::unordered_map<std::string, std::uint64_t> sequence_by_id_;
  std::vector<StoredMessage> messages_;
  std::vector<Notice> notices_;
  std::set<std::string> disabled_hosts_;
  CompletedMessages completed_;
};

}  // namespace myrtlegrade
