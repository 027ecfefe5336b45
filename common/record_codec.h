// The binary format of records on disk and of frames between processes. A payload is a kind, which is one
// byte, followed by numbers (little-endian, eight bytes) and strings (a length, then the bytes). A record is
// a payload with a header of its length and its CRC-32.
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

constexpr std::size_t kRecordHeaderBytes = 8;  // length and checksum of the payload, four bytes each

inline std::uint32_t checksum(std::string_view payload) {
  boost::crc_32_type crc;
  crc.process_bytes(payload.data(), payload.size());
  return crc.checksum();
}

// Builds a payload field by field.
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

  // Returns the payload as a record, with its header.
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

// Reads records and payloads that RecordWriter built. `good` becomes false when the bytes run out, and stays
// so; reads then return zero or empty values.
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
  // Reads the number of entries that follow. A number greater than that of the bytes left is rejected, so
  // that corrupt input cannot cause a large allocation.
  std::size_t count() {
    const std::uint64_t n = number();
    good = good && n <= rest_.size();
    return good ? n : 0;
  }
  // Reads `count` bytes.
  std::string_view take(std::size_t count) {
    good = good && count <= rest_.size();
    if (!good) return {};
    const std::string_view part = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return part;
  }
  // Reads a record and returns its payload, or nullopt if the record is cut off or corrupt.
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
