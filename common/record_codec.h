// The form of what goes to disk and from one process to the next: a kind, then numbers and texts; as a record
// with its length and a checksum ahead.
#pragma once

#include <array>
#include <bit>
#include <boost/crc.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace myrtlegrade {

constexpr std::size_t kRecordHeaderBytes = 8;  // length and checksum, four bytes each

inline std::uint32_t checksum(std::string_view payload) {
  boost::crc_32_type crc;
  crc.process_bytes(payload.data(), payload.size());
  return crc.checksum();
}

class RecordWriter {
 public:
  template <typename Kind>
  explicit RecordWriter(Kind kind) {
    bytes_ += static_cast<char>(kind);
  }
  RecordWriter& number(std::uint64_t value) {
    std::array<char, sizeof value> part;
    for (std::size_t i = 0; i < part.size(); ++i) part[i] = static_cast<char>(value >> 8 * i & 0xff);
    bytes_.append(part.data(), part.size());
    return *this;
  }
  RecordWriter& real(double value) { return number(std::bit_cast<std::uint64_t>(value)); }
  RecordWriter& flag(bool value) { return number(value ? 1 : 0); }
  RecordWriter& text(std::string_view value) {
    number(value.size());
    bytes_ += value;
    return *this;
  }
  template <typename Point>
  RecordWriter& time(Point value) {
    return duration(value.time_since_epoch());
  }
  RecordWriter& duration(std::chrono::microseconds value) {
    return number(static_cast<std::uint64_t>(value.count()));
  }

  std::string record() const {
    std::string result;
    for (const std::uint32_t value : {static_cast<std::uint32_t>(bytes_.size()), checksum(bytes_)}) {
      for (int shift = 0; shift < 32; shift += 8) result += static_cast<char>(value >> shift & 0xff);
    }
    return result + bytes_;
  }

 private:
  std::string bytes_;
};

// Reads what RecordWriter wrote; `good` turns false, for all that follows, where the bytes run out.
class RecordReader {
 public:
  explicit RecordReader(std::string_view bytes) : rest_(bytes) {}
  template <typename Kind>
  Kind kind() {
    return static_cast<Kind>(number(1));
  }
  std::uint64_t number(int bytes = 8) {
    std::uint64_t value = 0;
    const std::string_view part = take(static_cast<std::size_t>(bytes));
    for (std::size_t i = 0; i < part.size(); ++i) {
      value |= static_cast<std::uint64_t>(static_cast<unsigned char>(part[i])) << (8 * i);
    }
    return value;
  }
  double real() { return std::bit_cast<double>(number()); }
  bool flag() { return number() != 0; }
  std::string text() { return std::string(take(number())); }
  template <typename Point>
  Point time() {
    return Point(duration());
  }
  std::chrono::microseconds duration() {
    return std::chrono::microseconds(static_cast<std::int64_t>(number()));
  }
  // How many entries follow: never more than bytes that could hold them.
  std::size_t count() {
    const std::uint64_t n = number();
    good = good && n <= rest_.size();
    return good ? n : 0;
  }
  std::string_view take(std::size_t count) {
    good = good && count <= rest_.size();
    if (!good) return {};
    const std::string_view part = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return part;
  }
  // What a whole record holds; none where it is cut off or spoilt.
  std::optional<std::string_view> record() {
    const std::size_t length = number(4);
    const auto sum = static_cast<std::uint32_t>(number(4));
    const std::string_view payload = take(length);
    if (!good || sum != checksum(payload)) return std::nullopt;
    return payload;
  }
  bool empty() const { return rest_.empty(); }
  bool good = true;

 private:
  std::string_view rest_;
};

}  // namespace myrtlegrade
