// What became of the calls that a process still had out when it gave over, kept in that process's own file
// `calls-*` (see CallOwners). A link between two processes may break, and a process in the middle of a chain
// may die: the file is there for each successor, however many hand-overs lie between.
//
// The file is empty until its owner gives over. From then on it holds records, each with its length and a
// checksum, in the order in which things happened:
//
//   outcome   of one message of a call; the call may go on for others
//   over      the call's connection is closed, or its whole answer has come
//   closed    the last one: no connection of the owner carries a call any more
//
// Only the owner writes, only behind what is whole, and never changes what it has written. A reader may find
// the last record torn, of an owner that is just writing or whose write failed: it reads that one again at
// its next look. The same record may be told by a link too, before or after: what takes it up must not mind.
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
  enum class Kind : std::uint8_t { outcome = 1, over, closed };
  Kind kind = Kind::closed;
  std::uint64_t call = 0;     // outcome, over: its number at the owner
  std::string message;        // outcome
  std::uint32_t attempt = 0;  // outcome
  CallResult result{};        // outcome
  CallEnd end{};              // over

  static CallRecord of_outcome(std::uint64_t call, std::string message, std::uint32_t attempt,
                               const CallResult& result) {
    return {Kind::outcome, call, std::move(message), attempt, result, {}};
  }
  static CallRecord of_over(std::uint64_t call, CallEnd end) { return {Kind::over, call, {}, 0, {}, end}; }
  static CallRecord all_closed() { return {Kind::closed, 0, {}, 0, {}, {}}; }
};

class CallEndsWriter {
 public:
  void add(const CallRecord& record);

  // False: the file does not take it now. To be tried again; nothing is lost.
  bool flush(int file);
  bool written() const { return unwritten_.empty(); }

 private:
  std::string unwritten_;
  off_t size_ = 0;  // of what the file has
};

class CallEndsReader {
 public:
  // What was added since the last time.
  std::vector<CallRecord> read(int file);

 private:
  off_t read_ = 0;  // up to here the records were whole
};

}  // namespace myrtlegrade
