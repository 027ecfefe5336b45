#include "membership/wire.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <stdexcept>

namespace valedrum::membership {
namespace {

constexpr std::string_view kMagic = "VF";
constexpr std::size_t kHead = 4 + 8;  // magic, version, kind; checksum

class Out {
 public:
  void byte(std::uint8_t value) { bytes_ += static_cast<char>(value); }
  void number(std::uint64_t value) {  // seven bits a byte
    for (; value >= 0x80; value >>= 7) byte(static_cast<std::uint8_t>(value | 0x80));
    byte(static_cast<std::uint8_t>(value));
  }
  void fixed(std::uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8) byte(static_cast<std::uint8_t>(value >> shift));
  }
  void text(std::string_view value) {
    number(value.size());
    bytes_ += value;
  }
  void address(const Address& a) {
    number(a.port);
    if (a) number(a.ip);
  }
  std::string bytes_;
};

class In {
 public:
  explicit In(std::string_view bytes) : rest_(bytes) {}
  std::uint8_t byte() {
    if (rest_.empty()) {
      good = false;
      return 0;
    }
    const auto value = static_cast<std::uint8_t>(rest_.front());
    rest_.remove_prefix(1);
    return value;
  }
  std::uint64_t number(std::uint64_t most = ~0ULL) {
    std::uint64_t value = 0;
    for (int shift = 0;; shift += 7) {
      const std::uint8_t b = byte();
      if (shift > 63 || (shift == 63 && b > 1)) good = false;
      if (!good) return 0;
      value |= static_cast<std::uint64_t>(b & 0x7f) << shift;
      if (b < 0x80) break;
    }
    if (value > most) good = false;
    return good ? value : 0;
  }
  std::uint64_t fixed() {
    std::uint64_t value = 0;
    for (int shift = 0; shift < 64; shift += 8) value |= static_cast<std::uint64_t>(byte()) << shift;
    return value;
  }
  std::string text(std::size_t most) {
    const std::uint64_t size = number(most);
    if (size > rest_.size()) good = false;
    if (!good) return {};
    std::string value(rest_.substr(0, size));
    rest_.remove_prefix(size);
    return value;
  }
  Address address() {
    Address a;
    a.port = static_cast<std::uint16_t>(number(0xffff));
    if (a) a.ip = static_cast<std::uint32_t>(number(0xffffffff));
    return a;
  }
  bool empty() const { return rest_.empty(); }
  bool good = true;

 private:
  std::string_view rest_;
};

Stamp read_stamp(In& in) {
  Stamp s;
  s.incarnation = in.number(kMaxIncarnation);
  s.revision = static_cast<std::uint32_t>(in.number(0xffffffff));
  return s;
}

void write(Out& out, const Stamp& s) {
  out.number(s.incarnation);
  out.number(s.revision);
}

Record read_record(In& in) {
  Record r;
  r.state = static_cast<State>(in.byte());
  if (r.state > State::left) in.good = false;
  r.name = in.text(kMaxNameBytes);
  r.machine = in.text(kMaxNameBytes);
  r.zone = in.text(kMaxZoneBytes);
  r.instance = in.fixed();
  r.stamp = read_stamp(in);
  r.address = in.address();
  r.conflicting_address = in.address();
  r.published_version = static_cast<std::uint32_t>(in.number(0xffffffff));
  if (r.published_version > 0) r.published = in.text(kMaxPublishedBytes);
  if (r.state == State::suspect || r.state == State::dead) {
    for (std::uint64_t n = in.number(kMaxAccusers); n > 0 && in.good; --n)
      r.accusers.push_back(in.text(kMaxNameBytes));
  }
  if (is_gone(r.state)) r.gone_for = std::chrono::seconds(in.number(1U << 30));
  if (r.name.empty() || !r.address) in.good = false;
  return r;
}

}  // namespace

std::string to_text(const Address& a) {
  return std::to_string(a.ip >> 24) + "." + std::to_string(a.ip >> 16 & 255) + "." +
         std::to_string(a.ip >> 8 & 255) + "." + std::to_string(a.ip & 255) + ":" + std::to_string(a.port);
}

std::string_view name_of(State state) {
  constexpr std::string_view names[] = {"joining", "alive", "suspect", "dead", "left"};
  return names[static_cast<std::size_t>(state)];
}

std::string_view name_of(DropReason drop) {
  constexpr std::string_view names[] = {"foreign",     "newer version", "damaged", "oversized",
                                        "other fleet", "misdirected",   "stray"};
  return names[static_cast<std::size_t>(drop)];
}

void check(const Settings& s) {
  using namespace std::chrono_literals;
  const auto refuse = [](bool ok, const char* what) {
    if (!ok) throw std::invalid_argument(what);
  };
  refuse(!s.fleet.empty() && s.fleet.size() <= kMaxNameBytes, "name: must have 1 to 64 bytes");
  refuse(s.probe_interval >= 50ms && s.probe_interval <= 60s, "probe_ms: must lie from 50 to 60000");
  refuse(s.ack_timeout >= 5ms && s.ack_timeout <= s.probe_interval * 2 / 3,
         "ack_ms: must lie from 5 to two thirds of probe_ms");
  refuse(s.indirect_probes <= 16, "indirect: must be 16 at most");
  refuse(s.confirmations < kMaxAccusers, "confirmations: must be 2 at most");
  refuse(s.tombstone_retention >= s.probe_interval * 60 && s.tombstone_retention <= 168h,
         "tombstone_s: must lie from 60 probes to a week");
  refuse(s.max_reconnect_interval >= s.probe_interval && s.max_reconnect_interval <= 1h,
         "reconnect_s: must lie from one probe to an hour");
  refuse(s.max_datagram_bytes >= 800 && s.max_datagram_bytes <= 60000,
         "datagram: must lie from 800 to 60000 bytes");
}

std::string encode(const Record& r) {
  Out out;
  out.byte(static_cast<std::uint8_t>(r.state));
  out.text(r.name);
  out.text(r.machine);
  out.text(r.zone);
  out.fixed(r.instance);
  write(out, r.stamp);
  out.address(r.address);
  out.address(r.conflicting_address);
  out.number(r.published_version);
  if (r.published_version > 0) out.text(r.published);
  if (r.state == State::suspect || r.state == State::dead) {
    out.number(std::min(r.accusers.size(), kMaxAccusers));
    for (std::size_t i = 0; i < std::min(r.accusers.size(), kMaxAccusers); ++i) out.text(r.accusers[i]);
  }
  if (is_gone(r.state)) {
    out.number(
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(r.gone_for).count()));
  }
  return std::move(out.bytes_);
}

std::string encode(const Message& m, const std::vector<std::string>& records) {
  Out body;
  body.text(m.fleet);
  body.text(m.sender);
  body.fixed(m.instance);
  write(body, m.stamp);
  body.text(m.target);
  body.fixed(m.nonce);
  body.fixed(m.digest);
  if (m.kind == MessageKind::view) body.fixed(m.mask);
  if (m.kind == MessageKind::pull) {
    for (const std::uint64_t b : m.buckets) body.fixed(b);
  }
  body.number(m.records.size() + records.size());
  for (const Record& r : m.records) body.bytes_ += encode(r);
  for (const std::string& r : records) body.bytes_ += r;
  Out all;
  all.bytes_ = kMagic;
  all.byte(kWireVersion);
  all.byte(static_cast<std::uint8_t>(m.kind));
  all.fixed(XXH3_64bits_withSeed(body.bytes_.data(), body.bytes_.size(), static_cast<XXH64_hash_t>(m.kind)));
  return all.bytes_ + body.bytes_;
}

std::variant<Message, DropReason> decode(std::string_view bytes, std::size_t most) {
  if (bytes.size() > most) return DropReason::oversized;
  if (!bytes.starts_with(kMagic) || bytes.size() < kHead) return DropReason::foreign;
  if (static_cast<std::uint8_t>(bytes[2]) != kWireVersion) return DropReason::newer_version;
  Message m;
  m.kind = static_cast<MessageKind>(bytes[3]);
  In in(bytes.substr(4));
  const std::uint64_t sum = in.fixed();
  const std::string_view body = bytes.substr(kHead);
  if (m.kind > MessageKind::push_ack ||
      sum != XXH3_64bits_withSeed(body.data(), body.size(), static_cast<XXH64_hash_t>(m.kind))) {
    return DropReason::damaged;
  }
  m.fleet = in.text(kMaxNameBytes);
  m.sender = in.text(kMaxNameBytes);
  m.instance = in.fixed();
  m.stamp = read_stamp(in);
  m.target = in.text(kMaxNameBytes);
  m.nonce = in.fixed();
  m.digest = in.fixed();
  if (m.kind == MessageKind::view) m.mask = in.fixed();
  for (std::size_t b = 0; m.kind == MessageKind::pull && b < kDigestBuckets; ++b)
    m.buckets.push_back(in.fixed());
  for (std::uint64_t n = in.number(kMaxMembers); n > 0 && in.good; --n) m.records.push_back(read_record(in));
  if (!in.good || !in.empty() || m.sender.empty()) return DropReason::damaged;
  return m;
}

}  // namespace valedrum::membership
