// The form of what members say to each other: datagrams, and the frames of a stream. Version 1.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "membership/types.h"

namespace valedrum::membership {

inline constexpr std::uint8_t kWireVersion = 1;
inline constexpr std::size_t kDigestBuckets = 64;        // of the digest
inline constexpr std::size_t kMaxFrameBytes = 1U << 20;  // bytes of a stream's frame
inline constexpr std::size_t kMaxMembers = 1U << 12;     // in a frame, and in a view

enum class MessageKind : std::uint8_t {
  ping,
  ack,       // `target` is alive: the sender itself, or one that it was asked to probe
  nack,      // it is not known yet whether `target` is alive, but the sender is
  ping_req,  // probe `target` for me
  gossip,
  pull,     // stream: the sender's digests
  view,     // stream, answer: what differs in the buckets of `mask`
  push,     // stream: the sender's own part of these
  push_ack  // stream, answer
};

// Why a datagram or frame was not taken.
enum class DropReason : std::uint8_t {
  foreign,
  newer_version,
  damaged,
  oversized,
  other_fleet,
  misdirected,
  stray
};
inline constexpr std::size_t kDropReasons = 7;
std::string_view name_of(DropReason drop);

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

// Bytes that a record takes.
std::string encode(const Record& record);
// `records` are encoded ones, put behind the message's own.
std::string encode(const Message& message, const std::vector<std::string>& records = {});
std::variant<Message, DropReason> decode(std::string_view bytes, std::size_t most);

}  // namespace valedrum::membership
