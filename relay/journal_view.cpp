#include "journal_view.h"

#include <array>
#include <cerrno>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string_view>
#include <system_error>

#include "journal_records.h"
#include "record_codec.h"

namespace myrtlegrade {
namespace {

std::string_view name_of(RecordKind kind) {
  constexpr std::array<std::string_view, 11> names = {"",     "accept",    "attempt",         "never_ran",
                                                      "end",  "end_owing", "notice_settled",  "ban",
                                                      "lift", "format",    "numbered_attempt"};
  return names[static_cast<std::size_t>(kind)];
}

}  // namespace

JournalView view_journal(const std::string& folder) {
  const std::string path = folder + "/journal";
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::system_error(errno, std::generic_category(), path);
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  if (file.bad()) throw std::system_error(EIO, std::generic_category(), path);
  JournalView view;
  view.bytes = text.size();
  RecordReader in(text);
  JournalReplay replay;
  for (std::uint64_t offset = 0; !in.empty();) {
    const std::uint64_t left = text.size() - offset;
    RecordReader head(std::string_view(text).substr(offset));
    const std::uint64_t length = head.number(4);
    const auto payload = in.record();
    const auto record = payload ? parse_record(*payload) : std::nullopt;
    if (!record) {
      const bool torn = left < kRecordHeaderBytes || length > left - kRecordHeaderBytes;
      view.damage = {offset, left, torn,
                     torn      ? "the record is cut off"
                     : payload ? "the record is of a kind that is not known"
                               : "the checksum does not hold"};
      break;
    }
    if (record->kind == RecordKind::format && record->number > kJournalFormat) {
      throw std::runtime_error(path + ": has format " + std::to_string(record->number) + ", newer than " +
                               std::to_string(kJournalFormat));
    }
    ++view.records[std::string(name_of(record->kind))];
    replay.apply(*record);
    if (record->kind == RecordKind::format) view.format = record->number;
    if (record->kind == RecordKind::ban) view.disabled_hosts.insert(record->id);
    if (record->kind == RecordKind::lift) view.disabled_hosts.erase(record->id);
    offset += kRecordHeaderBytes + payload->size();
  }
  view.messages = replay.take_messages();
  view.notices = replay.take_notices();
  return view;
}

}  // namespace myrtlegrade
