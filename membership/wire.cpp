#include "membership/wire.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <stdexcept>

namespace valedrum::membership {
namespace {

constexpr std::string_view kMagic = "VF";
constexpr std::size_t kHeaderBytes = 4 + 8;  // magic, version and kind; checksum of the body

class Writer {
 public:
  void byte(std::uint8_t value) { bytes += static_cast<char>(value); }
  void varint(std::uint64_t value) {  // LEB128: seven bits per byte
    for (; value >= 0x80; value >>= 7) byte(static_cast<std::uint8_t>(value | 0x80));
    byte(static_cast<std::uint8_t>(value));
  }
  void fixed64(std::uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8) byte(static_cast<std::uint8_t>(value >> shift));
  }
  void string(std::string_view value) {
    varint(value.size());
    bytes += value;
  }
  void address(const Address& address) {
    varint(address.port);
    if (address) varint(address.ip);
  }
  std::string bytes;
};

// Decodes a message. After a malformed field `valid` stays false, and the result must be discarded.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : remaining_(bytes) {}
  std::uint8_t byte() {
    if (remaining_.empty()) {
      valid = false;
      return 0;
    }
    const auto value = static_cast<std::uint8_t>(remaining_.front());
    remaining_.remove_prefix(1);
    return value;
  }
  std::uint64_t varint(std::uint64_t max_value = ~0ULL) {
    std::uint64_t value = 0;
    for (int shift = 0;; shift += 7) {
      const std::uint8_t b = byte();
      if (shift > 63 || (shift == 63 && b > 1)) valid = false;
      if (!valid) return 0;
      value |= static_cast<std::uint64_t>(b & 0x7f) << shift;
      if (b < 0x80) break;
    }
    if (value > max_value) valid = false;
    return valid ? value : 0;
  }
  std::uint64_t fixed64() {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 8) value |= static_cast<std::uint64_t>(byte()) << shift;
    return value;
  }
  std::string string(std::size_t max_size) {
    const std::uint64_t size = varint(max_size);
    if (size > remaining_.size()) valid = false;
    if (!valid) return {};
    std::string value(remaining_.substr(0, size));
    remaining_.remove_prefix(size);
    return value;
  }
  Address address() {
    Address address;
    address.port = static_cast<std::uint16_t>(varint(0xffff));
    if (address) address.ip = static_cast<std::uint32_t>(varint(0xffffffff));
    return address;
  }
  bool empty() const { return remaining_.empty(); }
  bool valid = true;

 private:
  std::string_view remaining_;
};

Stamp read_stamp(Reader& reader) {
  Stamp stamp;
  stamp.incarnation = reader.varint(kMaxIncarnation);
  stamp.revision = static_cast<std::uint32_t>(reader.varint(0xffffffff));
  return stamp;
}

void write(Writer& writer, const Stamp& stamp) {
  writer.varint(stamp.incarnation);
  writer.varint(stamp.revision);
}

Record read_record(Reader& reader) {
  Record record;
  record.state = static_cast<State>(reader.byte());
  if (record.state > State::left) reader.valid = false;
  record.name = reader.string(kMaxNameBytes);
  record.machine = reader.string(kMaxNameBytes);
  record.zone = reader.string(kMaxZoneBytes);
  record.instance = reader.fixed64();
  record.stamp = read_stamp(reader);
  record.address = reader.address();
  record.conflicting_address = reader.address();
  record.published_version = static_cast<std::uint32_t>(reader.varint(0xffffffff));
  if (record.published_version > 0) record.published = reader.string(kMaxPublishedBytes);
  if (record.state == State::suspect || record.state == State::dead) {
    for (std::uint64_t n = reader.varint(kMaxAccusers); n > 0 && reader.valid; --n)
      record.accusers.push_back(reader.string(kMaxNameBytes));
  }
  if (is_gone(record.state)) record.gone_for = std::chrono::seconds(reader.varint(1U << 30));
  if (record.name.empty() || !record.address) reader.valid = false;
  return record;
}

}  // namespace

std::string to_text(const Address& address) {
  return std::to_string(address.ip >> 24) + "." + std::to_string(address.ip >> 16 & 255) + "." +
         std::to_string(address.ip >> 8 & 255) + "." + std::to_string(address.ip & 255) + ":" +
         std::to_string(address.port);
}

std::string_view name_of(State state) {
  constexpr std::string_view names[] = {"joining", "alive", "suspect", "dead", "left"};
  return names[static_cast<std::size_t>(state)];
}

std::string_view name_of(DropReason reason) {
  constexpr std::string_view names[] = {"foreign",     "newer version", "damaged", "oversized",
                                        "other fleet", "misdirected",   "stray"};
  return names[static_cast<std::size_t>(reason)];
}

void check(const Settings& settings) {
  using namespace std::chrono_literals;
  const auto require = [](bool ok, const char* message) {
    if (!ok) throw std::invalid_argument(message);
  };
  require(!settings.fleet.empty() && settings.fleet.size() <= kMaxNameBytes, "name: must have 1 to 64 bytes");
  require(settings.probe_interval >= 50ms && settings.probe_interval <= 60s,
          "probe_ms: must lie from 50 to 60000");
  require(settings.ack_timeout >= 5ms && settings.ack_timeout <= settings.probe_interval * 2 / 3,
          "ack_ms: must lie from 5 to two thirds of probe_ms");
  require(settings.indirect_probes <= 16, "indirect: must be 16 at most");
  require(settings.confirmations < kMaxAccusers, "confirmations: must be 2 at most");
  require(
      settings.tombstone_retention >= settings.probe_interval * 60 && settings.tombstone_retention <= 168h,
      "tombstone_s: must lie from 60 probes to a week");
  require(settings.max_reconnect_interval >= settings.probe_interval && settings.max_reconnect_interval <= 1h,
          "reconnect_s: must lie from one probe to an hour");
  require(settings.max_datagram_bytes >= 800 && settings.max_datagram_bytes <= 60000,
          "datagram: must lie from 800 to 60000 bytes");
}

std::string encode(const Record& record) {
  Writer writer;
  writer.byte(static_cast<std::uint8_t>(record.state));
  writer.string(record.name);
  writer.string(record.machine);
  writer.string(record.zone);
  writer.fixed64(record.instance);
  write(writer, record.stamp);
  writer.address(record.address);
  writer.address(record.conflicting_address);
  writer.varint(record.published_version);
  if (record.published_version > 0) writer.string(record.published);
  if (record.state == State::suspect || record.state == State::dead) {
    writer.varint(std::min(record.accusers.size(), kMaxAccusers));
    for (std::size_t i = 0; i < std::min(record.accusers.size(), kMaxAccusers); ++i)
      writer.string(record.accusers[i]);
  }
  if (is_gone(record.state)) {
    writer.varint(static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(record.gone_for).count()));
  }
  return std::move(writer.bytes);
}

std::string encode(const Message& message, const std::vector<std::string>& records) {
  Writer body;
  body.string(message.fleet);
  body.string(message.sender);
  body.fixed64(message.instance);
  write(body, message.stamp);
  body.string(message.target);
  body.fixed64(message.nonce);
  body.fixed64(message.digest);
  if (message.kind == MessageKind::view) body.fixed64(message.mask);
  if (message.kind == MessageKind::pull) {
    for (const std::uint64_t b : message.buckets) body.fixed64(b);
  }
  body.varint(message.records.size() + records.size());
  for (const Record& record : message.records) body.bytes += encode(record);
  for (const std::string& record : records) body.bytes += record;
  Writer encoded;
  encoded.bytes = kMagic;
  encoded.byte(kWireVersion);
  encoded.byte(static_cast<std::uint8_t>(message.kind));
  encoded.fixed64(
      XXH3_64bits_withSeed(body.bytes.data(), body.bytes.size(), static_cast<XXH64_hash_t>(message.kind)));
  return encoded.bytes + body.bytes;
}

std::variant<Message, DropReason> decode(std::string_view bytes, std::size_t max_bytes) {
  if (bytes.size() > max_bytes) return DropReason::oversized;
  if (!bytes.starts_with(kMagic) || bytes.size() < kHeaderBytes) return DropReason::foreign;
  if (static_cast<std::uint8_t>(bytes[2]) != kWireVersion) return DropReason::newer_version;
  Message message;
  message.kind = static_cast<MessageKind>(bytes[3]);
  Reader reader(bytes.substr(4));
  const std::uint64_t checksum = reader.fixed64();
  const std::string_view body = bytes.substr(kHeaderBytes);
  if (message.kind > MessageKind::push_ack ||
      checksum != XXH3_64bits_withSeed(body.data(), body.size(), static_cast<XXH64_hash_t>(message.kind))) {
    return DropReason::damaged;
  }
  message.fleet = reader.string(kMaxNameBytes);
  message.sender = reader.string(kMaxNameBytes);
  message.instance = reader.fixed64();
  message.stamp = read_stamp(reader);
  message.target = reader.string(kMaxNameBytes);
  message.nonce = reader.fixed64();
  message.digest = reader.fixed64();
  if (message.kind == MessageKind::view) message.mask = reader.fixed64();
  for (std::size_t b = 0; message.kind == MessageKind::pull && b < kDigestBuckets; ++b)
    message.buckets.push_back(reader.fixed64());
  for (std::uint64_t n = reader.varint(kMaxMembers); n > 0 && reader.valid; --n)
    message.records.push_back(read_record(reader));
  if (!reader.valid || !reader.empty() || message.sender.empty()) return DropReason::damaged;
  return message;
}

}  // namespace valedrum::membership
