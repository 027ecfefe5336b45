// The form in which copies travel and lie on disk. Version 1.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "copies/group.h"
#include "record_codec.h"

namespace valedrum::copies {

constexpr std::uint8_t kFormat = 1;  // of frames and of the file

// Which group: numbers are drawn, and never used again.
struct GroupId {
  std::string origin;
  std::uint64_t number = 0;
  auto operator<=>(const GroupId&) const = default;
};

// One that belongs to a group. `life` is drawn with its folder: who has lost that is another one.
struct MemberIdentity {
  std::string name;
  std::uint64_t storage_id = 0;
  membership::Address address;
  auto operator<=>(const MemberIdentity&) const = default;
};

struct GroupConfig {
  unsigned copies = 1;  // of the two others, how many have the messages' bodies
  std::array<MemberIdentity, kGroupSize> members;
};

// What is said in one group. With the head as long as the other may not know the group.
struct Envelope {
  GroupId group;
  std::optional<GroupConfig> config;
  GroupMessage message;
};

struct Frame {
  std::vector<Envelope> envelopes;
  bool no_room = false;  // the sender takes no more bodies for the time being
};

std::string encode(const Frame& frame);
// None: damaged, or of a later version.
std::optional<Frame> decode_frame(std::string_view bytes);

// What a member says of itself in the view: where its copies go to, and how much room it has, in eighths.
struct PublishedMember {
  membership::Address address;
  std::uint64_t storage_id = 0;
  std::uint8_t free_eighths = 0;
};
std::string encode(const PublishedMember& published);
std::optional<PublishedMember> decode_published(std::string_view bytes);

// Records of the file. Times in it are the day's, by `wall`: what that clock shows at the member's own
// Time{}. A clock record tells by which `wall` what follows was written, and in which run of the machine
// (`boot`): within that run the member's own clock goes on, and the time of day may have been set since.
enum class RecordKind : std::uint8_t { format = 1, group, promise, item, forget_item, drop, synced, clock };
std::string clock_record(std::uint64_t boot, Duration wall);
std::string format_record(std::uint64_t life, std::string_view member);
std::string group_record(const GroupId& id, const GroupConfig& config, MemberIndex self);
std::string promise_record(const GroupId& id, std::uint64_t promised_epoch, MemberIndex owner);
std::string item_record(const GroupId& id, const std::string& item_id, const Item& item, Duration wall);
std::string forget_item_record(const GroupId& id, const std::string& item_id);
std::string drop_record(const GroupId& id);
std::string synced_record(std::uint64_t bytes);  // of the file, before this record was written

struct StoredState {
  struct Entry {
    GroupConfig config;
    MemberIndex self = 0;
    Group::DurableState durable;
  };
  std::uint64_t storage_id = 0;
  std::string member;
  std::map<GroupId, Entry> groups;
  std::size_t valid_bytes = 0;  // that could be read: what follows is torn
  bool newer_format = false;    // written by a later program
  // What follows is no torn tail: what it had promised can't be known.
  bool has_sync_records = false;  // says how much of it was synced
  bool damaged = false;
  std::optional<Duration> wall_offset;  // by which it was written, where that was in this run of the machine
};
// `boot`: this run of the machine; 0: not known.
StoredState read_stored(std::string_view file, Duration wall, std::uint64_t boot = 0);

}  // namespace valedrum::copies
