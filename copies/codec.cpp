#include "copies/codec.h"

namespace valedrum::copies {
namespace {

using myrtlegrade::RecordReader;
using myrtlegrade::RecordWriter;

constexpr std::size_t kMaxEnvelopes = 1 << 12;
constexpr std::size_t kMaxItems = 1 << 16;
constexpr std::size_t kMaxAttempts = 64;

enum class Tag : std::uint8_t { frame = kFormat, published = kFormat };

void write(RecordWriter& out, const GroupId& id) { out.text(id.origin).number(id.number); }

GroupId read_group_id(RecordReader& in) {
  GroupId id;
  id.origin = in.text();
  id.number = in.number();
  return id;
}

void write(RecordWriter& out, const membership::Address& a) {
  out.number(std::uint64_t{a.ip} << 16 | a.port);
}

membership::Address read_address(RecordReader& in) {
  const std::uint64_t packed = in.number();
  return {static_cast<std::uint32_t>(packed >> 16), static_cast<std::uint16_t>(packed & 0xffff)};
}

void write(RecordWriter& out, const GroupConfig& config) {
  out.number(config.copies);
  for (const MemberIdentity& member : config.members) {
    out.text(member.name).number(member.storage_id);
    write(out, member.address);
  }
}

GroupConfig read_config(RecordReader& in) {
  GroupConfig config;
  config.copies = static_cast<unsigned>(in.number());
  for (MemberIdentity& member : config.members) {
    member.name = in.text();
    member.storage_id = in.number();
    member.address = read_address(in);
  }
  in.good = in.good && config.copies >= 1 && config.copies < kGroupSize;
  return config;
}

// Writes times as offsets from `base`.
void write(RecordWriter& out, const Item& item, Time base) {
  out.number(item.version.epoch).number(item.version.revision);
  out.number((item.completed ? 1 : 0) + (item.payload ? 2 : 0) + (item.pending_notice ? 4 : 0));
  if (item.payload) {
    const Payload& p = *item.payload;
    out.text(p.id).text(p.cls).text(p.key).text(p.body).number(p.destination).flag(p.at_most_once);
  }
  if (item.pending_notice) out.flag(item.pending_notice->handed_back).duration(item.pending_notice->retry_in);
  out.duration(item.deadline - base).number(item.attempts.size());
  for (const Attempt& a : item.attempts) {
    out.text(a.host)
        .text(a.zone)
        .duration(a.sent_at - base)
        .number(a.sender)
        .number(static_cast<std::uint64_t>(a.state));
  }
}

Item read_item(RecordReader& in, Time base) {
  Item item;
  item.version.epoch = in.number();
  item.version.revision = in.number();
  const std::uint64_t flags = in.number();
  item.completed = (flags & 1) != 0;
  if ((flags & 2) != 0) {
    Payload p;
    p.id = in.text();
    p.cls = in.text();
    p.key = in.text();
    p.body = in.text();
    p.destination = in.number();
    p.at_most_once = in.flag();
    item.payload = std::make_shared<const Payload>(std::move(p));
  }
  if ((flags & 4) != 0) {
    PendingNotice notice;
    notice.handed_back = in.flag();
    notice.retry_in = in.duration();
    item.pending_notice = notice;
  }
  item.deadline = base + in.duration();
  const std::size_t attempts = in.count();
  in.good = in.good && attempts <= kMaxAttempts && flags < 8;
  for (std::size_t i = 0; in.good && i < attempts; ++i) {
    Attempt a;
    a.host = in.text();
    a.zone = in.text();
    a.sent_at = base + in.duration();
    const std::uint64_t sender = in.number(), state = in.number();
    in.good =
        in.good && sender < kGroupSize && state <= static_cast<std::uint64_t>(AttemptState::may_have_run);
    a.sender = static_cast<MemberIndex>(sender);
    a.state = static_cast<AttemptState>(state);
    item.attempts.push_back(std::move(a));
  }
  return item;
}

void write(RecordWriter& out, const GroupMessage& message) {
  out.number(static_cast<std::uint64_t>(message.kind)).number(message.sender).number(message.epoch);
  out.time(message.sent_at).time(message.echoed_sent_at).number(message.items.size());
  for (const auto& [id, item] : message.items) {
    out.text(id);
    if (message.kind == GroupMessageKind::ack) {
      out.number(item.version.epoch).number(item.version.revision);
    } else {
      write(out, item, message.sent_at);
    }
  }
}

GroupMessage read_message(RecordReader& in) {
  GroupMessage message;
  const std::uint64_t kind = in.number(), sender = in.number();
  message.epoch = in.number();
  message.sent_at = in.time<Time>();
  message.echoed_sent_at = in.time<Time>();
  const std::size_t items = in.count();
  in.good = in.good && kind <= static_cast<std::uint64_t>(GroupMessageKind::reject) && sender < kGroupSize &&
            items <= kMaxItems;
  message.kind = static_cast<GroupMessageKind>(kind);
  message.sender = static_cast<MemberIndex>(sender);
  for (std::size_t i = 0; in.good && i < items; ++i) {
    std::string id = in.text();
    Item item;
    if (message.kind == GroupMessageKind::ack) {
      item.version.epoch = in.number();
      item.version.revision = in.number();
    } else {
      item = read_item(in, message.sent_at);
    }
    if (in.good) message.items.emplace(std::move(id), std::move(item));
  }
  return message;
}

}  // namespace

std::string encode(const Frame& frame) {
  RecordWriter out(Tag::frame);
  out.flag(frame.no_room).number(frame.envelopes.size());
  for (const Envelope& envelope : frame.envelopes) {
    write(out, envelope.group);
    out.flag(envelope.config.has_value());
    if (envelope.config) write(out, *envelope.config);
    write(out, envelope.message);
  }
  return out.record();
}

std::optional<Frame> decode_frame(std::string_view bytes) {
  RecordReader in(bytes);
  if (in.kind<Tag>() != Tag::frame) return std::nullopt;
  Frame frame;
  frame.no_room = in.flag();
  const std::size_t count = in.count();
  in.good = in.good && count <= kMaxEnvelopes;
  for (std::size_t i = 0; in.good && i < count; ++i) {
    Envelope envelope;
    envelope.group = read_group_id(in);
    if (in.flag()) envelope.config = read_config(in);
    envelope.message = read_message(in);
    frame.envelopes.push_back(std::move(envelope));
  }
  if (!in.good || !in.empty()) return std::nullopt;
  return frame;
}

std::string encode(const PublishedMember& published) {
  RecordWriter out(Tag::published);
  write(out, published.address);
  out.number(published.storage_id).number(published.free_eighths);
  return out.record();
}

std::optional<PublishedMember> decode_published(std::string_view bytes) {
  RecordReader outer(bytes);
  const auto payload = outer.record();
  if (!payload) return std::nullopt;
  RecordReader in(*payload);
  if (in.kind<Tag>() != Tag::published) return std::nullopt;
  PublishedMember published;
  published.address = read_address(in);
  published.storage_id = in.number();
  published.free_eighths = static_cast<std::uint8_t>(in.number());
  if (!in.good || !published.address) return std::nullopt;
  return published;
}

std::string format_record(std::uint64_t storage_id, std::string_view member) {
  return RecordWriter(RecordKind::format).number(kFormat).number(storage_id).text(member).record();
}

std::string group_record(const GroupId& id, const GroupConfig& config, MemberIndex self) {
  RecordWriter out(RecordKind::group);
  write(out, id);
  write(out, config);
  return out.number(self).record();
}

std::string promise_record(const GroupId& id, std::uint64_t promised_epoch, MemberIndex owner) {
  RecordWriter out(RecordKind::promise);
  write(out, id);
  return out.number(promised_epoch).number(owner).record();
}

std::string item_record(const GroupId& id, const std::string& item_id, const Item& item,
                        Duration wall_offset) {
  RecordWriter out(RecordKind::item);
  write(out, id);
  out.text(item_id);
  write(out, item, Time{} - wall_offset);
  return out.record();
}

std::string forget_item_record(const GroupId& id, const std::string& item_id) {
  RecordWriter out(RecordKind::forget_item);
  write(out, id);
  return out.text(item_id).record();
}

std::string drop_record(const GroupId& id) {
  RecordWriter out(RecordKind::drop);
  write(out, id);
  return out.record();
}

std::string clock_record(std::uint64_t boot, Duration wall_offset) {
  return RecordWriter(RecordKind::clock).number(boot).duration(wall_offset).record();
}

std::string synced_record(std::uint64_t bytes) {
  return RecordWriter(RecordKind::synced).number(bytes).record();
}

namespace {

// Returns whether a record after the unreadable position `beyond` states that the file was synced past it.
bool was_synced_beyond(std::string_view file, std::size_t beyond) {
  for (std::size_t at = beyond; at + myrtlegrade::kRecordHeaderBytes < file.size(); ++at) {
    const auto payload = RecordReader(file.substr(at)).record();
    if (!payload || payload->empty()) continue;
    RecordReader in(*payload);
    if (in.kind<RecordKind>() == RecordKind::synced && in.number() > beyond && in.good) return true;
  }
  return false;
}

// Applies one record to the state read so far. Returns false if the record is invalid.
bool apply_record(StoredState& state, std::string_view payload, Duration& wall_offset, std::uint64_t boot) {
  RecordReader in(payload);
  const auto kind = in.kind<RecordKind>();
  if (kind == RecordKind::format) {
    state.newer_format = in.number() > kFormat;
    if (state.newer_format) return false;
    state.storage_id = in.number();
    state.member = in.text();
    return in.good && in.empty();
  }
  if (kind == RecordKind::synced) {
    (void)in.number();
    state.has_sync_records = true;
    return in.good && in.empty();
  }
  if (kind == RecordKind::clock) {
    const std::uint64_t record_boot = in.number();
    const auto record_wall_offset = Duration(static_cast<std::int64_t>(in.number()));
    if (boot != 0 && record_boot == boot) state.wall_offset = wall_offset = record_wall_offset;
    return in.good && in.empty();
  }
  const GroupId id = read_group_id(in);
  const auto found = state.groups.find(id);
  if (kind == RecordKind::group) {
    const GroupConfig config = read_config(in);
    const std::uint64_t self = in.number();
    if (!in.good || self >= kGroupSize) return false;
    state.groups.insert_or_assign(id, StoredState::Entry{config, static_cast<MemberIndex>(self), {}});
    return in.empty();
  }
  if (found == state.groups.end()) return false;
  Group::DurableState& durable = found->second.durable;
  switch (kind) {
    case RecordKind::promise:
      durable.promised_epoch = in.number();
      durable.owner = static_cast<MemberIndex>(in.number());
      break;
    case RecordKind::item: {
      const std::string item_id = in.text();
      Item item = read_item(in, Time{} - wall_offset);
      if (in.good) durable.items.insert_or_assign(item_id, std::move(item));
      break;
    }
    case RecordKind::forget_item:
      durable.items.erase(in.text());
      break;
    case RecordKind::drop:
      state.groups.erase(found);
      break;
    default:
      return false;
  }
  return in.good && in.empty();
}

}  // namespace

// Ignores everything from the first unreadable record on. The tail counts as torn if the record is cut short
// or, in a file with sync records, lies past the synced length; otherwise the file is damaged.
StoredState read_stored(std::string_view file, Duration wall_offset, std::uint64_t boot) {
  StoredState state;
  RecordReader outer(file);
  while (!outer.empty()) {
    const std::string_view rest = file.substr(state.valid_bytes);
    const auto payload = outer.record();
    if (!payload || !apply_record(state, *payload, wall_offset, boot)) {
      const bool cut_short =
          !payload && (rest.size() < myrtlegrade::kRecordHeaderBytes ||
                       rest.size() < myrtlegrade::kRecordHeaderBytes + RecordReader(rest).number(4));
      state.damaged = !state.newer_format &&
                      (state.has_sync_records ? was_synced_beyond(file, state.valid_bytes) : !cut_short);
      break;
    }
    state.valid_bytes += myrtlegrade::kRecordHeaderBytes + payload->size();
  }
  return state;
}

}  // namespace valedrum::copies
