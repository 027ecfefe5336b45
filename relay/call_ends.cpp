#include "call_ends.h"

#include <unistd.h>

#include <array>
#include <cerrno>
#include <optional>
#include <utility>

#include "handover_frames.h"

namespace myrtlegrade {

namespace {

std::string encode(const CallRecord& record) {
  RecordWriter out(record.kind);
  if (record.kind == CallRecord::Kind::outcome) {
    out.number(record.call).text(record.message).number(record.attempt);
    write_result(out, record.result);
  } else if (record.kind == CallRecord::Kind::ended) {
    out.number(record.call).number(static_cast<std::uint64_t>(record.end));
  }
  return out.record();
}

std::optional<CallRecord> decode(std::string_view payload) {
  RecordReader in(payload);
  CallRecord record;
  record.kind = in.kind<CallRecord::Kind>();
  if (record.kind == CallRecord::Kind::outcome) {
    record.call = in.number();
    record.message = in.text();
    record.attempt = static_cast<std::uint32_t>(in.number());
    record.result = read_result(in);
  } else if (record.kind == CallRecord::Kind::ended) {
    record.call = in.number();
    record.end = static_cast<CallEnd>(in.number());
  } else if (record.kind != CallRecord::Kind::closed) {
    return std::nullopt;  // written by a later version
  }
  return in.good ? std::optional(record) : std::nullopt;
}

std::string read_tail(int file, off_t at) {
  std::string bytes;
  std::array<char, 4096> chunk;
  while (true) {
    const ssize_t size = ::pread(file, chunk.data(), chunk.size(), at + static_cast<off_t>(bytes.size()));
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) return bytes;
    bytes.append(chunk.data(), static_cast<std::size_t>(size));
  }
}

}  // namespace

void CallEndsWriter::add(const CallRecord& record) { unwritten_ += encode(record); }

// After a partial write, the next try continues behind the bytes that were written.
bool CallEndsWriter::flush(int file) {
  while (!unwritten_.empty()) {
    if (::lseek(file, file_size_, SEEK_SET) != file_size_) return false;
    const ssize_t size = ::write(file, unwritten_.data(), unwritten_.size());
    if (size < 0 && errno == EINTR) continue;
    if (size <= 0) return false;
    file_size_ += size;
    unwritten_.erase(0, static_cast<std::size_t>(size));
  }
  return true;
}

std::vector<CallRecord> CallEndsReader::read(int file) {
  std::vector<CallRecord> records;
  const std::string bytes = read_tail(file, read_offset_);
  RecordReader in(bytes);
  for (std::size_t left = bytes.size(); left > 0;) {
    const auto payload = in.record();
    if (!payload) break;
    const std::size_t size = kRecordHeaderBytes + payload->size();
    left -= size;
    read_offset_ += static_cast<off_t>(size);
    if (auto record = decode(*payload)) records.push_back(std::move(*record));
  }
  return records;
}

}  // namespace myrtlegrade
