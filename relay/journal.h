// Append-only journal of the messages that a relay has accepted, in a file that outlives the process. All
// sizes are bytes.
//
// Each record has a length and a checksum; a torn tail, left when the process is killed during a write, is
// truncated at the next start. Records are buffered in memory until flush() appends them in one write. When
// only a small part of the file is still live, compaction writes the live records to a new file, which then
// replaces the old one. Records of completed messages are carried over only as far as they fit: they never
// take space that pending messages and notices need. With durability `power`, flushed records survive a power
// failure once they are synced too.
//
// A compaction needs room for the old and the new file together. So the live records may take two fifths of
// the limit, room for a message is reserved before it is accepted, and nothing is appended beyond the size at
// which the live records still fit beside the file. A file that has outgrown this size (one of an earlier
// program, or of a higher limit) takes no further messages, grows only for those it holds, and is compacted
// as soon as the live records fit: beside it, or into one atomic write over its beginning.
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

// What the journal needs of its limit; for logs.
struct JournalUsage {
  std::uint64_t file_bytes = 0;
  std::uint64_t live_bytes = 0;
  std::uint64_t reserved_bytes = 0;  // of live records and their possible growth, and of reservations
  std::uint64_t compactions = 0;
  std::uint64_t compactions_without_room = 0;  // the live records did not fit beside the file
};

// Not thread-safe, except for the jobs that sync_later() returns.
class Journal {
 public:
  static constexpr std::uint32_t kUsualMaxAttempts = 6;

  // Replays the journal of the previous process. Throws std::system_error if the folder can't be used, and
  // std::runtime_error if a newer version of the program wrote the journal. `max_attempts` is the number of
  // attempts of one message for which room is reserved.
  Journal(const std::string& folder, std::uint64_t max_bytes,
          valedrum::recovery::Durability durability = valedrum::recovery::Durability::process,
          std::uint32_t max_attempts = kUsualMaxAttempts);
  // `disk` must outlive the journal.
  Journal(valedrum::recovery::Disk& disk, std::uint64_t max_bytes, valedrum::recovery::Durability durability,
          std::uint32_t max_attempts = kUsualMaxAttempts);
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Move out the messages and notices that were pending at the start, in the order of acceptance.
  std::vector<StoredMessage> take_messages() { return std::exchange(messages_, {}); }
  std::vector<Notice> take_notices() { return std::exchange(notices_, {}); }

  // Room of a message that is not accepted yet. It is freed when this object ends, which must be after
  // accept() has counted the message, and before the journal ends.
  class Reservation {
   public:
    Reservation(Journal& journal, std::uint64_t bytes) : journal_(&journal), bytes_(bytes) {
      journal.reserved_ += bytes;
    }
    Reservation(Reservation&& other) noexcept
        : journal_(std::exchange(other.journal_, nullptr)), bytes_(other.bytes_) {}
    Reservation& operator=(Reservation&&) = delete;
    ~Reservation() {
      if (journal_) journal_->reserved_ -= bytes_;
    }

   private:
    Journal* journal_;
    std::uint64_t bytes_;
  };
  // Reserves room for a message with an id of `id_bytes` and `text_bytes` of text besides, along with all
  // later records about it. Returns nothing if it does not fit.
  std::optional<Reservation> reserve(std::size_t id_bytes, std::size_t text_bytes);
  bool has_room(std::size_t id_bytes, std::size_t text_bytes) const;
  JournalUsage usage() const;

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
          valedrum::recovery::Durability durability, std::uint32_t max_attempts);
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

  enum class Compaction { done, failed, no_room };

  std::uint64_t growth_bytes(std::size_t id_bytes) const;
  std::uint64_t max_appended_bytes() const;
  bool has_outgrown_limit() const;
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
  // Writes the live records, buffered ones included, to a new file, or over the beginning of the old one. If
  // that fails, the old file stays in use.
  Compaction compact();
  bool can_rewrite_in_place(const std::string& text) const;
  bool rewrite_in_place(const std::string& text);
  static constexpr const char* kName = "journal";

  std::unique_ptr<valedrum::recovery::Disk> owned_disk_;
  valedrum::recovery::Disk* disk_;
  std::uint64_t max_bytes_;
  std::uint32_t max_attempts_;
  valedrum::recovery::Durability durability_;
  std::uint64_t size_ = 0;                // of the file
  std::vector<BufferedRecord> buffered_;  // not yet written
  bool retired_ = false;
  bool failing_ = false;       // the last flush did not succeed
  bool torn_ = false;          // the file is longer than size_, by part of a record
  bool must_rewrite_ = false;  // a sync failed
  std::chrono::steady_clock::time_point retry_at_{};
  std::uint64_t reserved_ = 0;  // of live records and their possible growth, and of reservations
  std::uint64_t compactions_ = 0, compactions_without_room_ = 0;
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
