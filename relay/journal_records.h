// Records of the journal file: their encoding, their parser, and the replay of a sequence of records.
#pragma once

#include <cstdint>
#include <iterator>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "completed_messages.h"
#include "journal.h"
#include "record_codec.h"

namespace myrtlegrade {

// A timestamp is always the last field of its record.
RecordWriter& write(RecordWriter& out, const Timestamp& at);
Timestamp read_timestamp(RecordReader& in);

// Kinds of records. Their numbers are part of the file format, and `myrtlegrade journal stats` prints their
// names. `end` is written by Journal::complete(), `end_owing` by complete_with_notice(), `ban` and `lift` by
// disable_host() and enable_host().
enum class RecordKind : std::uint8_t {
  accept = 1,
  attempt,
  never_ran,
  end,
  end_owing,
  notice_settled,
  ban,
  lift,
  format,
  numbered_attempt  // replaces `attempt` since format 3
};

// Version in the format record. A file without one has format 1, which had no records of disabled hosts. Up
// to format 2 attempts were numbered by their order.
inline constexpr std::uint64_t kJournalFormat = 3;
// Exclusive bound on attempt numbers; a record with a higher one counts as damaged.
inline constexpr std::uint64_t kMaxAttempts = 1 << 16;

// A parsed record. `kind` determines which of the other fields are set.
struct JournalRecord {
  RecordKind kind{};
  std::string id;            // of the message; ban, lift: of the host
  StoredMessage message;     // accept
  StoredAttempt attempt;     // attempt, numbered_attempt
  std::uint64_t number = 0;  // never_ran, numbered_attempt: attempt number; format: version
  Notice notice;             // end_owing
  // end, end_owing: appended after the fields known to older versions, which ignore it.
  std::optional<CompletedMessage> ended;
  std::uint64_t id_fingerprint = 0;  // set along with `ended`
};

// Replays records to the messages and notices that are pending after them, each in the order of acceptance.
// The cost of a record does not depend on the number of pending messages.
class JournalReplay {
 public:
  void apply(const JournalRecord& record);

  // Move out the result.
  std::vector<StoredMessage> take_messages() { return messages_.take(); }
  std::vector<Notice> take_notices() { return notices_.take(); }

 private:
  // Entries in insertion order, with lookup by id.
  template <typename Entry>
  class OrderedById {
   public:
    Entry* find(const std::string& id) {
      const auto found = at_.find(id);
      return found == at_.end() ? nullptr : &*found->second;
    }
    void add(const std::string& id, Entry entry) {
      at_[id] = entries_.insert(entries_.end(), std::move(entry));
    }
    void erase(const std::string& id) {
      const auto found = at_.find(id);
      if (found == at_.end()) return;
      entries_.erase(found->second);
      at_.erase(found);
    }
    std::vector<Entry> take() {
      at_.clear();
      std::vector<Entry> all(std::move_iterator(entries_.begin()), std::move_iterator(entries_.end()));
      entries_.clear();
      return all;
    }

   private:
    std::list<Entry> entries_;
    std::unordered_map<std::string, typename std::list<Entry>::iterator> at_;
  };

  OrderedById<StoredMessage> messages_;
  OrderedById<Notice> notices_;
};

// Encodes the completion of a message whose outcome is remembered. After a restart only the fingerprint of
// the id may be known.
std::string completion_record(const std::string& id, const CompletedMessage& ended);
std::string completion_record(std::uint64_t id_fingerprint, const CompletedMessage& ended);
// Size of a completion record without an id.
inline constexpr std::size_t kCompletionRecordBytes = kRecordHeaderBytes + 1 + 7 * sizeof(std::uint64_t);

// Parses the payload of a record. Returns nothing if it is malformed or of an unknown kind.
std::optional<JournalRecord> parse_record(std::string_view payload);

}  // namespace myrtlegrade
