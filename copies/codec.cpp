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

void write(RecordWriter& out, const Head& head) {
  out.number(head.copies);
  for (const Seat& s : head.seats) {
    out.text(s.name).number(s.life);
    write(out, s.address);
  }
}

Head read_head(RecordReader& in) {
  Head head;
  head.copies = static_cast<unsigned>(in.number());
  for (Seat& s : head.seats) {
    s.name = in.text();
    s.life = in.number();
    s.address = read_address(in);
  }
  in.good = in.good && head.copies >= 1 && head.copies < kVoters;
  return head;
}

// Times as the distance from `zero`.
void write(RecordWriter& out, const Item& item, Time zero) {
  out.number(item.stamp.epoch).number(item.stamp.revision);
  out.number((item.over ? 1 : 0) + (item.payload ? 2 : 0) + (item.owed ? 4 : 0));
  if (item.payload) {
    const Payload& p = *item.payload;
    out.text(p.id).text(p.cls).text(p.key).text(p.body).number(p.destination).flag(p.once);
  }
  if (item.owed) out.flag(item.owed->handed_back).duration(item.owed->retry_in);
  out.duration(item.until - zero).number(item.attempts.size());
  for (const Attempt& a : item.attempts) {
    out.text(a.host)
        .text(a.zone)
        .duration(a.sent - zero)
        .number(a.by)
        .number(static_cast<std::uint64_t>(a.fate));
  }
}

Item read_item(RecordReader& in, Time zero) {
  Item item;
  item.stamp.epoch = in.number();
  item.stamp.revision = in.number();
  const std::uint64_t flags = in.number();
  item.over = (flags & 1) != 0;
  if ((flags & 2) != 0) {
    Payload p;
    p.id = in.text();
    p.cls = in.text();
    p.key = in.text();
    p.body = in.text();
    p.destination = in.number();
    p.once = in.flag();
    item.payload = std::make_shared<const Payload>(std::move(p));
  }
  if ((flags & 4) != 0) {
    Owed owed;
    owed.handed_back = in.flag();
    owed.retry_in = in.duration();
    item.owed = owed;
  }
  item.until = zero + in.duration();
  const std::size_t attempts = in.count();
  in.good = in.good && attempts <= kMostAttempts && flags < 8;
  for (std::size_t i = 0; in.good && i < attempts; ++i) {
    Attempt a;
    a.host = in.text();
    a.zone = in.text();
    a.sent = zero + in.duration();
    const std::uint64_t by = in.number(), fate = in.number();
    in.good = in.good && by < kVoters && fate <= static_cast<std::uint64_t>(Fate::may_have_run);
    a.by = static_cast<Place>(by);
    a.fate = static_cast<Fate>(fate);
    item.attempts.push_back(std::move(a));
  }
  return item;
}

void write(RecordWriter& out, const Say& s) {
  out.number(static_cast<std::uint64_t>(s.kind)).number(s.from).number(s.epoch);
  out.time(s.at).time(s.echo).number(s.items.size());
  for (const auto& [id, item] : s.items) {
    out.text(id);
    if (s.kind == Kind::ack) {
      out.number(item.stamp.epoch).number(item.stamp.revision);
    } else {
      write(out, item, s.at);
    }
  }
}

Say read_say(RecordReader& in) {
  Say s;
  const std::uint64_t kind = in.number(), from = in.number();
  s.epoch = in.number();
  s.at = in.time<Time>();
  s.echo = in.time<Time>();
  const std::size_t items = in.count();
  in.good =
      in.good && kind <= static_cast<std::uint64_t>(Kind::refuse) && from < kVoters && items <= kMostItems;
  s.kind = static_cast<Kind>(kind);
  s.from = static_cast<Place>(from);
  for (std::size_t i = 0; in.good && i < items; ++i) {
    std::string id = in.text();
    Item item;
    if (s.kind == Kind::ack) {
      item.stamp.epoch = in.number();
      item.stamp.revision = in.number();
    } else {
      item = read_item(in, s.at);
    }
    if (in.good) s.items.emplace(std::move(id), std::move(item));
  }
  return s;
}

}  // namespace

std::string encode(const Frame& frame) {
  RecordWriter out(Tag::frame);
  out.flag(frame.no_room).number(frame.words.size());
  for (const Word& w : frame.words) {
    write(out, w.group);
    out.flag(w.head.has_value());
    if (w.head) write(out, *w.head);
    write(out, w.say);
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
    Word w;
    w.group = read_id(in);
    if (in.flag()) w.head = read_head(in);
    w.say = read_say(in);
    frame.words.push_back(std::move(w));
  }
  if (!in.good || !in.empty()) return std::nullopt;
  return frame;
}

std::string encode(const Published& p) {
  RecordWriter out(Tag::published);
  write(out, p.address);
  out.number(p.life).number(p.room);
  return out.record();
}

std::optional<Published> decode_published(std::string_view bytes) {
  RecordReader outer(bytes);
  const auto payload = outer.record();
  if (!payload) return std::nullopt;
  RecordReader in(*payload);
  if (in.kind<Tag>() != Tag::published) return std::nullopt;
  Published p;
  p.address = read_address(in);
  p.life = in.number();
  p.room = static_cast<std::uint8_t>(in.number());
  if (!in.good || !p.address) return std::nullopt;
  return p;
}

std::string record_of_format(std::uint64_t life, std::string_view member) {
  return RecordWriter(RecordKind::format).number(kFormat).number(life).text(member).record();
}

std::string record_of(const GroupId& id, const Head& head, Place self) {
  RecordWriter out(RecordKind::group);
  write(out, id);
  write(out, head);
  return out.number(self).record();
}

std::string record_of(const GroupId& id, std::uint64_t promised, Place owner) {
  RecordWriter out(RecordKind::promise);
  write(out, id);
  return out.number(promised).number(owner).record();
}

std::string record_of(const GroupId& id, const std::string& item_id, const Item& item, Duration wall) {
  RecordWriter out(RecordKind::item);
  write(out, id);
  out.text(item_id);
  write(out, item, Time{} - wall);
  return out.record();
}

std::string record_of_forgotten(const GroupId& id, const std::string& item_id) {
  RecordWriter out(RecordKind::forget_item);
  write(out, id);
  return out.text(item_id).record();
}

std::string record_of_dropped(const GroupId& id) {
  RecordWriter out(RecordKind::drop);
  write(out, id);
  return out.record();
}

std::string record_of_clock(std::uint64_t boot, Duration wall) {
  return RecordWriter(RecordKind::clock).number(boot).duration(wall).record();
}

std::string record_of_synced(std::uint64_t bytes) {
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
bool take(Stored& all, std::string_view payload, Duration& wall, std::uint64_t boot) {
  RecordReader in(payload);
  const auto kind = in.kind<RecordKind>();
  if (kind == RecordKind::format) {
    all.later = in.number() > kFormat;
    if (all.later) return false;
    all.life = in.number();
    all.member = in.text();
    return in.good && in.empty();
  }
  if (kind == RecordKind::synced) {
    (void)in.number();
    all.marked = true;
    return in.good && in.empty();
  }
  if (kind == RecordKind::clock) {
    const std::uint64_t written_in = in.number();
    const auto written_by = Duration(static_cast<std::int64_t>(in.number()));
    if (boot != 0 && written_in == boot) all.wall = wall = written_by;
    return in.good && in.empty();
  }
  const GroupId id = read_id(in);
  const auto found = all.groups.find(id);
  if (kind == RecordKind::group) {
    const Head head = read_head(in);
    const std::uint64_t self = in.number();
    if (!in.good || self >= kVoters) return false;
    all.groups.insert_or_assign(id, Stored::Entry{head, static_cast<Place>(self), {}});
    return in.empty();
  }
  if (found == all.groups.end()) return false;
  Group::Durable& durable = found->second.durable;
  switch (kind) {
    case RecordKind::promise:
      durable.promised = in.number();
      durable.owner = static_cast<Place>(in.number());
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
Stored read_stored(std::string_view file, Duration wall, std::uint64_t boot) {
  Stored all;
  RecordReader outer(file);
  while (!outer.empty()) {
    const std::string_view rest = file.substr(all.bytes);
    const auto payload = outer.record();
    if (!payload || !take(all, *payload, wall, boot)) {
      const bool cut =
          !payload && (rest.size() < myrtlegrade::kRecordHeaderBytes ||
                       rest.size() < myrtlegrade::kRecordHeaderBytes + RecordReader(rest).number(4));
      all.damaged = !all.later && (all.marked ? was_synced(file, all.bytes) : !cut);
      break;
    }
    all.bytes += myrtlegrade::kRecordHeaderBytes + payload->size();
  }
  return all;
}

}  // namespace valedrum::copies
