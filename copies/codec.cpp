#include "copies/codec.h"

namespace valedrum::copies {
namespace {

using myrtlegrade::RecordReader;
using myrtlegrade::RecordWriter;

constexpr std::size_t kMostWords = 1 << 12;
constexpr std::size_t kMostItems = 1 << 16;
constexpr std::size_t kMostAttempts = 64;

enum class Tag : std::uint8_t { frame = kFormat, published = kFormat };

void write(RecordWriter& out, const GroupId& id) { out.text(id.origin).number(id.number); }

GroupId read_id(RecordReader& in) {
  GroupId id;
  id.origin = in.text();
  id.number = in.number();
  return id;
}

void write(RecordWriter& out, const membership::Address& a) {
  out.number(std::uint64_t{a.ip} << 16 | a.port);
}

membership::Address read_address(RecordReader& in) {
  const std::uint64_t n = in.number();
  return {static_cast<std::uint32_t>(n >> 16), static_cast<std::uint16_t>(n & 0xffff)};
}

void write(RecordWriter& out, const GroupConfig& head) {
  out.number(head.copies);
  for (const MemberIdentity& s : head.members) {
    out.text(s.name).number(s.storage_id);
    write(out, s.address);
  }
}

GroupConfig read_head(RecordReader& in) {
  GroupConfig head;
  head.copies = static_cast<unsigned>(in.number());
  for (MemberIdentity& s : head.members) {
    s.name = in.text();
    s.storage_id = in.number();
    s.address = read_address(in);
  }
  in.good = in.good && head.copies >= 1 && head.copies < kGroupSize;
  return head;
}

// Times as the distance from `zero`.
void write(RecordWriter& out, const Item& item, Time zero) {
  out.number(item.version.epoch).number(item.version.revision);
  out.number((item.completed ? 1 : 0) + (item.payload ? 2 : 0) + (item.pending_notice ? 4 : 0));
  if (item.payload) {
    const Payload& p = *item.payload;
    out.text(p.id).text(p.cls).text(p.key).text(p.body).number(p.destination).flag(p.at_most_once);
  }
  if (item.pending_notice) out.flag(item.pending_notice->handed_back).duration(item.pending_notice->retry_in);
  out.duration(item.deadline - zero).number(item.attempts.size());
  for (const Attempt& a : item.attempts) {
    out.text(a.host)
        .text(a.zone)
        .duration(a.sent_at - zero)
        .number(a.sender)
        .number(static_cast<std::uint64_t>(a.state));
  }
}

Item read_item(RecordReader& in, Time zero) {
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
    PendingNotice owed;
    owed.handed_back = in.flag();
    owed.retry_in = in.duration();
    item.pending_notice = owed;
  }
  item.deadline = zero + in.duration();
  const std::size_t attempts = in.count();
  in.good = in.good && attempts <= kMostAttempts && flags < 8;
  for (std::size_t i = 0; in.good && i < attempts; ++i) {
    Attempt a;
    a.host = in.text();
    a.zone = in.text();
    a.sent_at = zero + in.duration();
    const std::uint64_t by = in.number(), fate = in.number();
    in.good = in.good && by < kGroupSize && fate <= static_cast<std::uint64_t>(AttemptState::may_have_run);
    a.sender = static_cast<MemberIndex>(by);
    a.state = static_cast<AttemptState>(fate);
    item.attempts.push_back(std::move(a));
  }
  return item;
}

void write(RecordWriter& out, const GroupMessage& s) {
  out.number(static_cast<std::uint64_t>(s.kind)).number(s.sender).number(s.epoch);
  out.time(s.sent_at).time(s.echoed_sent_at).number(s.items.size());
  for (const auto& [id, item] : s.items) {
    out.text(id);
    if (s.kind == GroupMessageKind::ack) {
      out.number(item.version.epoch).number(item.version.revision);
    } else {
      write(out, item, s.sent_at);
    }
  }
}

GroupMessage read_say(RecordReader& in) {
  GroupMessage s;
  const std::uint64_t kind = in.number(), from = in.number();
  s.epoch = in.number();
  s.sent_at = in.time<Time>();
  s.echoed_sent_at = in.time<Time>();
  const std::size_t items = in.count();
  in.good = in.good && kind <= static_cast<std::uint64_t>(GroupMessageKind::reject) && from < kGroupSize &&
            items <= kMostItems;
  s.kind = static_cast<GroupMessageKind>(kind);
  s.sender = static_cast<MemberIndex>(from);
  for (std::size_t i = 0; in.good && i < items; ++i) {
    std::string id = in.text();
    Item item;
    if (s.kind == GroupMessageKind::ack) {
      item.version.epoch = in.number();
      item.version.revision = in.number();
    } else {
      item = read_item(in, s.sent_at);
    }
    if (in.good) s.items.emplace(std::move(id), std::move(item));
  }
  return s;
}

}  // namespace

std::string encode(const Frame& frame) {
  RecordWriter out(Tag::frame);
  out.flag(frame.no_room).number(frame.envelopes.size());
  for (const Envelope& w : frame.envelopes) {
    write(out, w.group);
    out.flag(w.config.has_value());
    if (w.config) write(out, *w.config);
    write(out, w.message);
  }
  return out.record();
}

std::optional<Frame> decode_frame(std::string_view bytes) {
  RecordReader in(bytes);
  if (in.kind<Tag>() != Tag::frame) return std::nullopt;
  Frame frame;
  frame.no_room = in.flag();
  const std::size_t words = in.count();
  in.good = in.good && words <= kMostWords;
  for (std::size_t i = 0; in.good && i < words; ++i) {
    Envelope w;
    w.group = read_id(in);
    if (in.flag()) w.config = read_head(in);
    w.message = read_say(in);
    frame.envelopes.push_back(std::move(w));
  }
  if (!in.good || !in.empty()) return std::nullopt;
  return frame;
}

std::string encode(const PublishedMember& p) {
  RecordWriter out(Tag::published);
  write(out, p.address);
  out.number(p.storage_id).number(p.free_eighths);
  return out.record();
}

std::optional<PublishedMember> decode_published(std::string_view bytes) {
  RecordReader outer(bytes);
  const auto payload = outer.record();
  if (!payload) return std::nullopt;
  RecordReader in(*payload);
  if (in.kind<Tag>() != Tag::published) return std::nullopt;
  PublishedMember p;
  p.address = read_address(in);
  p.storage_id = in.number();
  p.free_eighths = static_cast<std::uint8_t>(in.number());
  if (!in.good || !p.address) return std::nullopt;
  return p;
}

std::string format_record(std::uint64_t life, std::string_view member) {
  return RecordWriter(RecordKind::format).number(kFormat).number(life).text(member).record();
}

std::string group_record(const GroupId& id, const GroupConfig& head, MemberIndex self) {
  RecordWriter out(RecordKind::group);
  write(out, id);
  write(out, head);
  return out.number(self).record();
}

std::string promise_record(const GroupId& id, std::uint64_t promised, MemberIndex owner) {
  RecordWriter out(RecordKind::promise);
  write(out, id);
  return out.number(promised).number(owner).record();
}

std::string item_record(const GroupId& id, const std::string& item_id, const Item& item, Duration wall) {
  RecordWriter out(RecordKind::item);
  write(out, id);
  out.text(item_id);
  write(out, item, Time{} - wall);
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

std::string clock_record(std::uint64_t boot, Duration wall) {
  return RecordWriter(RecordKind::clock).number(boot).duration(wall).record();
}

std::string synced_record(std::uint64_t bytes) {
  return RecordWriter(RecordKind::synced).number(bytes).record();
}

namespace {

// Whether a record behind what can't be read says that the file was synced beyond that.
bool was_synced(std::string_view file, std::size_t beyond) {
  for (std::size_t at = beyond; at + myrtlegrade::kRecordHeaderBytes < file.size(); ++at) {
    const auto payload = RecordReader(file.substr(at)).record();
    if (!payload || payload->empty()) continue;
    RecordReader in(*payload);
    if (in.kind<RecordKind>() == RecordKind::synced && in.number() > beyond && in.good) return true;
  }
  return false;
}

// One record into what was read before it. False: it can't be.
bool take(StoredState& all, std::string_view payload, Duration& wall, std::uint64_t boot) {
  RecordReader in(payload);
  const auto kind = in.kind<RecordKind>();
  if (kind == RecordKind::format) {
    all.newer_format = in.number() > kFormat;
    if (all.newer_format) return false;
    all.storage_id = in.number();
    all.member = in.text();
    return in.good && in.empty();
  }
  if (kind == RecordKind::synced) {
    (void)in.number();
    all.has_sync_records = true;
    return in.good && in.empty();
  }
  if (kind == RecordKind::clock) {
    const std::uint64_t written_in = in.number();
    const auto written_by = Duration(static_cast<std::int64_t>(in.number()));
    if (boot != 0 && written_in == boot) all.wall_offset = wall = written_by;
    return in.good && in.empty();
  }
  const GroupId id = read_id(in);
  const auto found = all.groups.find(id);
  if (kind == RecordKind::group) {
    const GroupConfig head = read_head(in);
    const std::uint64_t self = in.number();
    if (!in.good || self >= kGroupSize) return false;
    all.groups.insert_or_assign(id, StoredState::Entry{head, static_cast<MemberIndex>(self), {}});
    return in.empty();
  }
  if (found == all.groups.end()) return false;
  Group::DurableState& durable = found->second.durable;
  switch (kind) {
    case RecordKind::promise:
      durable.promised_epoch = in.number();
      durable.owner = static_cast<MemberIndex>(in.number());
      break;
    case RecordKind::item: {
      const std::string item_id = in.text();
      Item item = read_item(in, Time{} - wall);
      if (in.good) durable.items.insert_or_assign(item_id, std::move(item));
      break;
    }
    case RecordKind::forget_item:
      durable.items.erase(in.text());
      break;
    case RecordKind::drop:
      all.groups.erase(found);
      break;
    default:
      return false;
  }
  return in.good && in.empty();
}

}  // namespace

// Nothing behind a record that can't be read counts. It was torn off where it is cut short or, in a file that
// says how much of it was synced, lies beyond that; else it is damaged.
StoredState read_stored(std::string_view file, Duration wall, std::uint64_t boot) {
  StoredState all;
  RecordReader outer(file);
  while (!outer.empty()) {
    const std::string_view rest = file.substr(all.valid_bytes);
    const auto payload = outer.record();
    if (!payload || !take(all, *payload, wall, boot)) {
      const bool cut =
          !payload && (rest.size() < myrtlegrade::kRecordHeaderBytes ||
                       rest.size() < myrtlegrade::kRecordHeaderBytes + RecordReader(rest).number(4));
      all.damaged = !all.newer_format && (all.has_sync_records ? was_synced(file, all.valid_bytes) : !cut);
      break;
    }
    all.valid_bytes += myrtlegrade::kRecordHeaderBytes + payload->size();
  }
  return all;
}

}  // namespace valedrum::copies
