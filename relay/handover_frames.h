// Frames that the two processes of a handover exchange over the HandoverLink. Any change to their encoding
// requires a new kHandoverVersion.
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

// Version of the frames. Processes of different versions do not hand over to each other.
constexpr std::uint64_t kHandoverVersion = 3;

// Kind of a frame, its first byte.
enum class HandoverFrame : std::uint8_t {
  hello = 1,  // first frame of each side: its version
  prepare,    // predecessor to successor: handover is imminent; answered by `prepared`
  prepared,
  handover,              // predecessor to successor: the state lock is free; carries HandoverState
  outcome,               // result of one attempt that was in flight at the handover; its call may continue
  submit,                // a client's message; answered by `answer`
  answer,                // response to `submit`
  undelivered_response,  // the client disconnected before it received its response
  descriptor_usage,      // number of descriptors that the predecessor still holds
  admin_request,         // a line received on the admin address of the process that is not active
  admin_reply,           // response to `admin_request`
  admin_returned,        // no response: the requesting process is active by now and handles the line itself
  config_reloaded,       // predecessor to successor: time of its last reload, and discovery's address then
  call_ended,            // a call that was in flight at the handover: connection closed or response complete
  took_over,             // successor to predecessor: the state was read; carries its name among CallOwners
};

// One attempt whose call is in flight at a handover. It is listed for as long as the call's connection is
// open, whether or not its outcome is known.
struct HandedOverAttempt {
  std::string owner;  // name among CallOwners of the process with the connection; empty: unknown
  std::string message;
  std::string cls;
  std::uint64_t destination = 0;
  std::uint32_t attempt = 0;
  std::string host;
  std::string zone;
  std::uint64_t call = 0;  // number of the call; attempts of one batch share it
  WallTime sent_at{};
  bool message_completed = false;  // the message has its final outcome
  // Of a message whose ownership is still undecided: results received in the meantime.
  std::optional<CallResult> reported_result{};
  std::optional<CallEnd> call_end{};
};

// State that the predecessor passes on beside the journal.
struct HandoverState {
  HostListSnapshot list;  // filled when read; write_handover_state() takes the list to write as an argument
  vetchhinge::LearnedState learned;
  std::vector<HandedOverAttempt> in_flight;
  bool leaving = false;         // an operator has asked the relay to leave
  std::size_t descriptors = 0;  // still held by the predecessor
  std::uint64_t last_call = 0;  // the successor's call numbers continue from here
  bool unknown_calls_open =
      false;  // older processes may have calls in flight that the predecessor can't list
};

// Host numbers are local to a process, so the encoding uses host names.
RecordWriter write_handover_state(const HandoverState& state, const valedrum::catalog::EndpointTable& list,
                                  const vetchhinge::drill::Names& hosts);
// Returns nothing if the frame is invalid.
std::optional<HandoverState> read_handover_state(RecordReader& in, vetchhinge::drill::Names& hosts);

RecordWriter write_outcome(const std::string& message, std::uint32_t attempt, const CallResult& result);
RecordWriter& write_result(RecordWriter& out, const CallResult& result);
CallResult read_result(RecordReader& in);

RecordWriter write_call_ended(std::uint64_t call, CallEnd end);

// The configuration that the predecessor uses.
struct ConfigReload {
  std::chrono::steady_clock::time_point read_at{};
  Endpoint discovery;
};
RecordWriter write_config_reload(const ConfigReload& reload);
std::optional<ConfigReload> read_config_reload(RecordReader& in);

// `token` links the answer to the submitted message.
RecordWriter write_submission(std::uint64_t token, const SubmittedMessage& message);
SubmittedMessage read_submission(RecordReader& in);

RecordWriter write_answer(std::uint64_t token, const Answer& answer);
Answer read_answer(RecordReader& in);

}  // namespace myrtlegrade
