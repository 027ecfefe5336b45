// File in which a process records the results of the calls that were still in flight when it handed over (the
// file `calls-*`, see CallOwners). The file serves every later successor, even if the link between two
// processes breaks or a process in between dies.
//
// The file is empty until its owner hands over. From then on it holds records, each with its length and a
// checksum, in chronological order:
//
//   outcome   result of one message of a call; the call may continue for other messages
//   ended     the call's connection is closed, or its response is complete
//   closed    last record: no connection of the owner carries a call any more
//
// Only the owner writes. It appends behind the last complete record and never changes earlier ones. A reader
// may find the last record incomplete, because the owner is still writing or its write failed, and reads it
// again at its next poll. The link may report the same record too, earlier or later, so handling a record
// must be idempotent.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "host_client.h"
#include "record_codec.h"

namespace myrtlegrade {

struct CallRecord {
  enum class Kind : std::uint8_t { outcome = 1, ended, closed };
  Kind kind = Kind::closed;
  std::uint64_t call = 0;     // outcome, ended: the owner's number of the call
  std::string message;        // outcome
  std::uint32_t attempt = 0;  // outcome
  CallResult result{};        // outcome
  CallEnd end{};              // ended

  static CallRecord of_outcome(std::uint64_t call, std::string message, std::uint32_t attempt,
                               const CallResult& result) {
    return {Kind::outcome, call, std::move(message), attempt, result, {}};
  }
  static CallRecord of_ended(std::uint64_t call, CallEnd end) { return {Kind::ended, call, {}, 0, {}, end}; }
  static CallRecord all_closed() { return {Kind::closed, 0, {}, 0, {}, {}}; }
};

class CallEndsWriter {
 public:
  void add(const CallRecord& record);

  // Writes the pending records. Returns false if the file rejects them; they remain pending for the next try.
  bool flush(int file);
  bool written() const { return unwritten_.empty(); }

 private:
  std::string unwritten_;
  off_t file_size_ = 0;
};

class CallEndsReader {
 public:
  // Returns the records that were added since the last call.
  std::vector<CallRecord> read(int file);

 private:
  off_t read_offset_ = 0;  // end of the last complete record
};

}  // namespace myrtlegrade
