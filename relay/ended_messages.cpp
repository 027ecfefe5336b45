#include "ended_messages.h"

#include <bit>
#include <cstring>

namespace myrtlegrade {

namespace {

constexpr std::uint64_t kSpread = 0x9e3779b97f4a7c15;  // odd, its bits well mixed

std::uint64_t mix(std::uint64_t hash, std::uint64_t word) {
  hash = (hash ^ word) * kSpread;
  return hash ^ hash >> 32;
}

std::uint64_t little_endian(std::string_view bytes) {
  std::uint64_t word = 0;
  if constexpr (std::endian::native == std::endian::little) {
    std::memcpy(&word, bytes.data(), bytes.size());
  } else {
    for (std::size_t i = bytes.size(); i > 0; --i)
      word = word << 8 | static_cast<unsigned char>(bytes[i - 1]);
  }
  return word;
}

}  // namespace

std::uint64_t fingerprint(std::string_view text, std::uint64_t seed) {
  std::uint64_t hash = mix(seed, text.size());
  for (; text.size() >= sizeof hash; text.remove_prefix(sizeof hash)) {
    hash = mix(hash, little_endian(text.substr(0, sizeof hash)));
  }
  return mix(mix(hash, little_endian(text)), kSpread);
}

std::uint64_t fingerprint_of_content(std::string_view cls, std::uint64_t destination, std::string_view key,
                                     std::string_view body) {
  return fingerprint(body, fingerprint(key, fingerprint(cls, destination)));
}

Writer& write(Writer& out, const Ended& e) {
  out.number(static_cast<std::uint64_t>(e.retry_in.count()) << 2 | static_cast<std::uint64_t>(e.told));
  out.number(e.content);
  return out.time(e.until.wall).number(e.until.boot).time(e.until.steady);
}

Ended read_ended(Reader& in) {
  Ended e;
  const std::uint64_t how = in.number();
  e.told = static_cast<Ended::Told>(how & 3);
  e.retry_in = std::chrono::milliseconds(how >> 2);
  e.content = in.number();
  e.until.wall = in.time<WallTime>();
  e.until.boot = in.number();
  e.until.steady = in.time<vetchhinge::Time>();
  return e;
}

void EndedMessages::remember(std::uint64_t id, const Ended& ended, const Moment& now) {
  while (!order_.empty() && !find(order_.front(), now)) forget_first();
  if (until(ended.until, now) <= vetchhinge::Duration{}) return;
  if (!entries_.insert_or_assign(id, ended).second) return;
  if (order_.size() >= kMost) forget_first();
  order_.push_back(id);
}

const Ended* EndedMessages::find(std::uint64_t id, const Moment& now) const {
  const auto found = entries_.find(id);
  const bool remembered = found != entries_.end() && until(found->second.until, now) > vetchhinge::Duration{};
  return remembered ? &found->second : nullptr;
}

void EndedMessages::forget_first() {
  entries_.erase(order_.front());
  order_.pop_front();
}

}  // namespace myrtlegrade
