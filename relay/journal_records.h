// The records of the journal's file, for what writes it and what only looks at it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "bytes.h"
#include "journal.h"

namespace myrtlegrade {

// Always the last field of its record.
Writer& write(Writer& out, const Moment& at);

enum class RecordKind : std::uint8_t {
  accept = 1,
  attempt,
  never_ran,
  end,
  end_owing,
  notice_settled,
  ban,
  lift,
  format
};

// What the first record tells; without one it is 1, which knew no bans.
inline constexpr std::uint64_t kJournalFormat = 2;

struct JournalRecord {
  RecordKind kind{};
  std::string id;            // of the message, or the host that is banned
  StoredMessage message;     // accept
  StoredAttempt attempt;     // attempt
  std::uint64_t number = 0;  // never_ran: of the attempt; format
  Notice notice;             // end_owing
};

// As a start takes them up: what is owed, and the notices that are not settled.
void fold(const JournalRecord& record, std::vector<StoredMessage>& messages, std::vector<Notice>& notices);

// What a record's payload says; none where it can't be read.
std::optional<JournalRecord> parse_record(std::string_view payload);

}  // namespace myrtlegrade
