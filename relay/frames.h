// What an old process and the new one say to each other. A change of any form here changes kLinkVersion.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "codec.h"
#include "host_client.h"
#include "host_list.h"
#include "journal.h"
#include "record_codec.h"
#include "server.h"
#include "vetchhinge/policy.h"

namespace myrtlegrade {

constexpr std::uint64_t kLinkVersion = 3;

enum class Frame : std::uint8_t {
  hello = 1,  // each side's first: its version
  prepare,    // old to new: about to give over; answered by `prepared`
  prepared,
  over,       // old to new: the lock is free, and this is what I knew
  outcome,    // of a message of a call that was out then; the call may go on for others
  hand_in,    // a client's message; answered by `answer`
  answer,     //
  unheard,    // the client went away before it could be told
  usage,      // descriptors that the old process still holds
  call,       // a line that came to the second address of the one that is not the relay
  reply,      // its answer
  returned,   // no answer: the one that asked is the relay itself by now
  reloaded,   // old to new: when it read its configuration last, and where that says discovery is
  call_over,  // a call that was out then: its connection is closed, or its whole answer has come
  took_over,  // new to old: knows the calls that were handed over; its name among CallOwners
};

// A message of a call that is out when a process gives over: with an outcome or without, for as long as the
// call's connection is open.
struct OutCall {
  std::string owner;  // the process that has the connection, by its name among CallOwners; empty: not known
  std::string message;
  std::string cls;
  std::uint64_t destination = 0;
  std::uint32_t attempt = 0;
  std::string host;
  std::string zone;
  std::uint64_t call = 0;  // equal for those that travel together
  WallTime sent{};
  bool over = false;  // the message has its final answer
  // Of a message that waits to be taken up: what was told of it meanwhile.
  std::optional<CallResult> told{};
  std::optional<CallEnd> ended{};
};

// What the journal does not tell.
struct Inheritance {
  WholeList list;  // as read; to be written is the one that write() gets
  vetchhinge::LearnedState learned;
  std::vector<OutCall> out;
  bool leaving = false;
  std::size_t descriptors = 0;  // that the old process still holds
  std::uint64_t last_call = 0;  // numbers of calls go on from here
  // Processes before that one may have calls out which it does not know.
  bool earlier_calls_open = false;
};

// Numbers of hosts are each process's own: names travel.
RecordWriter write(const Inheritance& inheritance, const valedrum::catalog::EndpointTable& list,
                   const vetchhinge::drill::Names& hosts);
std::optional<Inheritance> read_inheritance(RecordReader& in, vetchhinge::drill::Names& hosts);

RecordWriter write_outcome(const std::string& message, std::uint32_t attempt, const CallResult& result);
RecordWriter& write_result(RecordWriter& out, const CallResult& result);
CallResult read_result(RecordReader& in);

RecordWriter write_call_over(std::uint64_t call, CallEnd end);

struct Reloaded {
  std::chrono::steady_clock::time_point read_at{};
  Endpoint discovery;
};
RecordWriter write_reloaded(const Reloaded& reloaded);
std::optional<Reloaded> read_reloaded(RecordReader& in);

RecordWriter write_hand_in(std::uint64_t token, const HandIn& message);
HandIn read_hand_in(RecordReader& in);

RecordWriter write_answer(std::uint64_t token, const Answer& answer);
Answer read_answer(RecordReader& in);

}  // namespace myrtlegrade
