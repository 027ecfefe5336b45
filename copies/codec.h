// Encoding of replication state: frames between members, the member's published record, and the records of
// the file on disk. Format version 1.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "copies/group.h"
#include "record_codec.h"

namespace valedrum::copies {

constexpr std::uint8_t kFormat = 1;  // format version of frames and of the file

// Identifies a group. Numbers are random and not reused.
struct GroupId {
  std::string origin;
  std::uint64_t number = 0;
  auto operator<=>(const GroupId&) const = default;
};

// Identifies a member of a group. `storage_id` is drawn when the member's state folder is created: a member
// that lost its folder is a different member.
struct MemberIdentity {
  std::string name;
  std::uint64_t storage_id = 0;
  membership::Address address;
  auto operator<=>(const MemberIdentity&) const = default;
};

// The members of a group, fixed for its lifetime.
struct GroupConfig {
  unsigned copies = 1;  // how many of the two members besides the origin store message bodies
  std::array<MemberIdentity, kGroupSize> members;
};

// A group message with its address. Includes the configuration until the receiver is known to have it.
struct Envelope {
  GroupId group;
  std::optional<GroupConfig> config;
  GroupMessage message;
};

// All messages from one relay to another of one turn.
struct Frame {
  std::vector<Envelope> envelopes;
  bool no_room = false;  // the sender currently accepts no more bodies
};

std::string encode(const Frame& frame);
// Returns nullopt if the frame is damaged or of a later version.
std::optional<Frame> decode_frame(std::string_view bytes);

// The part of a member's fleet record that concerns replication: the address that accepts copies, and the
// free part of its body budget in eighths.
struct PublishedMember {
  membership::Address address;
  std::uint64_t storage_id = 0;
  std::uint8_t free_eighths = 0;
};
std::string encode(const PublishedMember& published);
std::optional<PublishedMember> decode_published(std::string_view bytes);

// Records of the file. Times are stored as time of day, by means of `wall_offset`, the time of day at the
// local clock's Time{}. A clock record states the `wall_offset` of the records that follow and the boot of
// the machine (`boot`) in which they were written: within one boot the local clock continues while the time
// of day may be set.
enum class RecordKind : std::uint8_t { format = 1, group, promise, item, forget_item, drop, synced, clock };
std::string clock_record(std::uint64_t boot, Duration wall_offset);
std::string format_record(std::uint64_t storage_id, std::string_view member);
std::string group_record(const GroupId& id, const GroupConfig& config, MemberIndex self);
std::string promise_record(const GroupId& id, std::uint64_t promised_epoch, MemberIndex owner);
std::string item_record(const GroupId& id, const std::string& item_id, const Item& item,
                        Duration wall_offset);
std::string forget_item_record(const GroupId& id, const std::string& item_id);
std::string drop_record(const GroupId& id);
std::string synced_record(std::uint64_t bytes);  // length of the file that was synced before this record

// The state read from the file of a previous process.
struct StoredState {
  struct Entry {
    GroupConfig config;
    MemberIndex self = 0;
    Group::DurableState durable;
  };
  std::uint64_t storage_id = 0;
  std::string member;
  std::map<GroupId, Entry> groups;
  std::size_t valid_bytes = 0;    // length of the readable part
  bool newer_format = false;      // written by a later version of the program
  bool has_sync_records = false;  // the file records how much of it was synced
  // More than a torn tail is unreadable, so that earlier promises are unknown.
  bool damaged = false;
  std::optional<Duration> wall_offset;  // the `wall_offset` of the records, if they are from this boot
};
// Reads the file. `wall_offset` applies to records of another boot; `boot` identifies this boot, 0 if
// unknown.
StoredState read_stored(std::string_view file, Duration wall_offset, std::uint64_t boot = 0);

}  // namespace valedrum::copies
