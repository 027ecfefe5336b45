// The records of the journal's file, for what writes it and what only looks at it.
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

#include "ended_messages.h"
#include "journal.h"
#include "record_codec.h"

namespace myrtlegrade {

// Always the last field of its record.
RecordWriter& write(RecordWriter& out, const Moment& at);
Moment read_moment(RecordReader& in);

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
  numbered_attempt  // written since format 3, where `attempt` was written before
};

// What a format record tells; without one it is 1, which knew no bans. 2 numbered attempts by their order.
inline constexpr std::uint64_t kJournalFormat = 3;
// An attempt's number is below this: a higher one is taken for a damaged record.
inline constexpr std::uint64_t kMostAttempts = 1 << 16;

struct JournalRecord {
  RecordKind kind{};
  std::string id;            // of the message, or the host that is banned
  StoredMessage message;     // accept
  StoredAttempt attempt;     // attempt, numbered_attempt
  std::uint64_t number = 0;  // never_ran, numbered_attempt: of the attempt; format
  Notice notice;             // end_owing
  // end, end_owing: written behind the fields that earlier programs know, which read over it.
  std::optional<Ended> ended;
  std::uint64_t ended_id = 0;  // fingerprint of the message's id
};

// As a start takes them up: what is owed, and the notices that are not settled, each in the order taken. A
// record costs the same however much is owed.
class Owed {
 public:
  void fold(const JournalRecord& record);

  // Hand them over.
  std::vector<StoredMessage> take_messages() { return messages_.take(); }
  std::vector<Notice> take_notices() { return notices_.take(); }

 private:
  template <typename Entry>
  class Ordered {
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

  Ordered<StoredMessage> messages_;
  Ordered<Notice> notices_;
};

// An end that is remembered. Without an id only its fingerprint is known by now.
std::string end_record(const std::string& id, const Ended& ended);
std::string end_record(std::uint64_t id, const Ended& ended);
inline constexpr std::size_t kEndRecord =
    kRecordHeaderBytes + 1 + 7 * sizeof(std::uint64_t);  // without an id

// What a record's payload says; none where it can't be read.
std::optional<JournalRecord> parse_record(std::string_view payload);

}  // namespace myrtlegrade
