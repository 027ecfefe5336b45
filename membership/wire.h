// Encoding of the messages between members: datagrams and stream frames. Protocol version 1.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "membership/types.h"

namespace valedrum::membership {

inline constexpr std::uint8_t kWireVersion = 1;
inline constexpr std::size_t kDigestBuckets = 64;
inline constexpr std::size_t kMaxFrameBytes = 1U << 20;  // of one frame on a stream
inline constexpr std::size_t kMaxMembers = 1U << 12;     // in a frame and in a view

enum class MessageKind : std::uint8_t {
  ping,
  ack,       // `target` is alive: the sender itself, or a member that it probed on request
  nack,      // the sender is alive, and has no answer from `target` yet
  ping_req,  // asks the receiver to probe `target`
  gossip,
  pull,     // stream request: the sender's bucket digests
  view,     // stream response: the records of the buckets in `mask`, which differ
  push,     // stream request: the sender's records of these buckets
  push_ack  // stream response
};

// Why a received datagram or frame was dropped.
enum class DropReason : std::uint8_t {
  foreign,        // not this protocol
  newer_version,  // another version of the protocol
  damaged,
  oversized,
  other_fleet,
  misdirected,  // for another member, or of a kind that does not belong here
  stray         // late, repeated, or not asked for
};
inline constexpr std::size_t kDropReasons = 7;
std::string_view name_of(DropReason reason);

struct Message {
  MessageKind kind = MessageKind::gossip;
  std::string fleet;
  std::string sender;
  std::uint64_t instance = 0;  // of the sender
  Stamp stamp;                 // of the sender
  std::string target;
  std::uint64_t nonce = 0;
  std::uint64_t digest = 0;  // of the sender's view
  std::uint64_t mask = 0;
  std::vector<std::uint64_t> buckets;
  std::vector<Record> records;
};

std::string encode(const Record& record);
// Appends the already encoded `records` to the message's own.
std::string encode(const Message& message, const std::vector<std::string>& records = {});
std::variant<Message, DropReason> decode(std::string_view bytes, std::size_t max_bytes);

}  // namespace valedrum::membership
