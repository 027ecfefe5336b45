// Read-only view of a journal file, which a running relay may be writing at the same time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "journal.h"

namespace myrtlegrade {

// Content of a journal file up to the first unreadable record.
struct JournalView {
  std::uint64_t bytes = 0;                       // of the file
  std::uint64_t format = 1;                      // if the file has no format record
  std::map<std::string, std::uint64_t> records;  // by kind
  std::vector<StoredMessage> messages;           // pending, in the order of acceptance
  std::vector<Notice> notices;                   // pending
  std::set<std::string> disabled_hosts;
  // The first unreadable record. A torn record is the last one of the file: its process was killed while
  // writing it, or is writing it now. Anything else is damage, and a start would lose all records after it.
  struct Damage {
    std::uint64_t offset = 0;        // in the file, in bytes
    std::uint64_t unread_bytes = 0;  // from `offset` to the end of the file
    bool torn = false;
    std::string what;
  };
  std::optional<Damage> damage;
};

// Throws std::system_error if the folder has no readable journal, and std::runtime_error if the journal has a
// newer format.
JournalView view_journal(const std::string& folder);

}  // namespace myrtlegrade
