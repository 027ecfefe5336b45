#include "journal.h"

#include <algorithm>
#include <cerrno>
#include <limits>
#include <optional>
#include <stdexcept>
#include <system_error>
#include <thread>

#include "journal_records.h"
#include "record_codec.h"

namespace myrtlegrade {

namespace recovery = valedrum::recovery;

namespace {

using Kind = RecordKind;

// Growth of a message, besides its id in each record: the record of an attempt with the names of endpoint and
// zone and that of its result, and the record of its completion.
constexpr std::uint64_t kAttemptBytes = 160;
constexpr std::uint64_t kCompletionBytes = 128;
constexpr std::uint64_t kAcceptBytes = 96;         // of the record of acceptance, besides all text
constexpr std::uint64_t kAtomicWriteBytes = 4096;  // the page size: a kill interrupts no write within a page
constexpr std::uint64_t kMinCompactBytes = 64 << 10;  // smaller files are not worth compacting
constexpr std::uint64_t kBlockBytes = 512;            // the disk limit counts whole blocks
constexpr std::uint64_t kCompletedShare = 32;         // 1/32 of the disk limit is for completed messages
constexpr double kLiveShare = 0.4;                    // of the disk limit, for live records and reservations
// Of the disk limit, kept free beside the file for its compaction: the live records, and growth beyond what
// was reserved, as by long names of endpoints.
constexpr double kCompactionShare = 0.45;

constexpr auto kRetryInterval = std::chrono::milliseconds(50);   // while the disk fails
constexpr auto kStartTimeout = std::chrono::milliseconds(4000);  // a failing disk may recover during a start

// Repeats the operation until it succeeds or the start takes too long.
template <typename Operation>
bool retry_until_timeout(Operation operation) {
  const auto until = std::chrono::steady_clock::now() + kStartTimeout;
  errno = 0;
  while (!operation()) {
    if (std::chrono::steady_clock::now() >= until) return false;
    std::this_thread::sleep_for(kRetryInterval);
  }
  return true;
}

std::uint64_t round_up_to_blocks(std::uint64_t bytes) {
  return (bytes + kBlockBytes - 1) / kBlockBytes * kBlockBytes;
}

}  // namespace

Journal::Journal(const std::string& folder, std::uint64_t max_bytes, recovery::Durability durability,
                 std::uint32_t max_attempts)
    : Journal(std::make_unique<recovery::RealDisk>(folder), max_bytes, durability, max_attempts) {}

Journal::Journal(std::unique_ptr<recovery::Disk> owned_disk, std::uint64_t max_bytes,
                 recovery::Durability durability, std::uint32_t max_attempts)
    : Journal(*owned_disk, max_bytes, durability, max_attempts) {
  owned_disk_ = std::move(owned_disk);
}

Journal::Journal(recovery::Disk& disk, std::uint64_t max_bytes, recovery::Durability durability,
                 std::uint32_t max_attempts)
    : disk_(&disk),
      max_bytes_(max_bytes),
      max_attempts_(std::max<std::uint32_t>(max_attempts, 1)),
      durability_(durability) {
  disk_->remove(std::string(kName) + ".new");  // left by an interrupted compaction
  const std::optional<std::string> text = disk_->read(kName);
  if (text) read(*text);
  // Also appended to the file of an older version, which must not truncate records that it can't parse.
  if (format_ < kJournalFormat) append({}, RecordWriter(Kind::format).number(kJournalFormat).record());
  // A torn tail would hide every record appended after it.
  if (!retry_until_timeout([&] { return disk_->truncate(kName, size_); }))
    throw std::system_error(errno, std::generic_category(), "PROXY_STATE: journal");
  const auto synced = [&] { return disk_->sync(kName) && disk_->sync_directory(); };
  if (durability_ == recovery::Durability::power && !retry_until_timeout(synced))
    throw std::system_error(errno, std::generic_category(), "PROXY_STATE: journal can't be synced");
  if (has_outgrown_limit()) (void)compact();  // if it fails, flush() tries again
}

void Journal::read(const std::string& text) {
  RecordReader in(text);
  JournalReplay replay;
  while (!in.empty()) {
    const auto payload = in.record();
    if (!payload || !apply(*payload, replay)) break;
    size_ += kRecordHeaderBytes + payload->size();
  }
  messages_ = replay.take_messages();
  notices_ = replay.take_notices();
}

bool Journal::apply(std::string_view payload, JournalReplay& replay) {
  const std::optional<JournalRecord> r = parse_record(payload);
  if (!r) return false;
  if (r->kind == Kind::format) {
    // Truncating the journal of a newer version at the first unknown record would lose pending messages.
    if (r->number > kJournalFormat)
      throw std::runtime_error("PROXY_STATE: the journal is of a later program");
    format_ = r->number;
    return true;
  }
  replay.apply(*r);
  if (r->kind == Kind::accept) accept(r->message);
  if (r->kind == Kind::attempt) {
    const auto found = sequence_by_id_.find(r->id);
    if (found != sequence_by_id_.end()) record_attempt(r->id, live_.at(found->second).attempts, r->attempt);
  }
  if (r->kind == Kind::numbered_attempt) {
    record_attempt(r->id, static_cast<std::uint32_t>(r->number), r->attempt);
  }
  if (r->kind == Kind::never_ran) record_never_ran(r->id, static_cast<std::uint32_t>(r->number));
  if (r->kind == Kind::end) complete(r->id);
  if (r->kind == Kind::end_owing) complete_with_notice(r->notice, r->ended);
  if (r->ended) completed_.remember(r->id_fingerprint, *r->ended, read_clocks());
  if (r->kind == Kind::notice_settled) settle_notice(r->id);
  if (r->kind == Kind::ban) disable_host(r->id);
  if (r->kind == Kind::lift) enable_host(r->id);
  mark_buffered_written();  // the record is already in the file
  return true;
}

std::uint64_t Journal::growth_bytes(std::size_t id_bytes) const {
  return max_attempts_ * (2 * id_bytes + kAttemptBytes) + id_bytes + kCompletionBytes;
}

bool Journal::has_room(std::size_t id_bytes, std::size_t text_bytes) const {
  const std::uint64_t needed = kAcceptBytes + id_bytes + text_bytes + growth_bytes(id_bytes);
  return !failing() && !has_outgrown_limit() &&
         static_cast<double>(reserved_ + needed) < kLiveShare * static_cast<double>(max_bytes_);
}

std::optional<Journal::Reservation> Journal::reserve(std::size_t id_bytes, std::size_t text_bytes) {
  if (!has_room(id_bytes, text_bytes)) return std::nullopt;
  return Reservation(*this, kAcceptBytes + id_bytes + text_bytes + growth_bytes(id_bytes));
}

// Returns the size of the file up to which the live records fit beside it, whatever they are by then.
std::uint64_t Journal::max_appended_bytes() const {
  const auto free = static_cast<std::uint64_t>(kCompactionShare * static_cast<double>(max_bytes_));
  return (max_bytes_ - free) / kBlockBytes * kBlockBytes;
}

bool Journal::has_outgrown_limit() const { return size_ > max_appended_bytes(); }

JournalUsage Journal::usage() const {
  return {size_, live_bytes_, reserved_, compactions_, compactions_without_room_};
}

void Journal::append(const std::string& message, std::string record) {
  buffered_.push_back({message, std::move(record)});
}

void Journal::accept(const StoredMessage& m) {
  RecordWriter out(Kind::accept);
  out.text(m.id).text(m.cls).number(m.destination).text(m.key).text(m.body);
  std::string record = write(out, m.deadline).record();
  const std::size_t reserved = record.size() + growth_bytes(m.id.size());
  append(m.id, record);
  if (sequence_by_id_.contains(m.id)) return;
  add_live(m.id, {std::move(record), reserved});
}

void Journal::add_live(const std::string& id, LiveEntry entry) {
  reserved_ += entry.reserved;
  live_bytes_ += entry.records.size();
  sequence_by_id_.emplace(id, next_sequence_);
  live_.emplace(next_sequence_++, std::move(entry));
}

void Journal::extend_live(const std::string& id, LiveEntry& entry, std::string record) {
  entry.records += record;
  live_bytes_ += record.size();
  if (entry.records.size() > entry.reserved) {  // names are longer than expected
    reserved_ += entry.records.size() - entry.reserved;
    entry.reserved = entry.records.size();
  }
  append(id, std::move(record));
}

void Journal::record_attempt(const std::string& id, std::uint32_t number, const StoredAttempt& a) {
  const auto found = sequence_by_id_.find(id);
  if (found == sequence_by_id_.end()) return;
  LiveEntry& entry = live_.at(found->second);
  entry.attempts = std::max(entry.attempts, number + 1);
  RecordWriter out(Kind::numbered_attempt);
  out.text(id).number(number).text(a.host).text(a.zone);
  extend_live(id, entry, write(out, a.sent).record());
}

void Journal::record_never_ran(const std::string& id, std::uint32_t number) {
  const auto found = sequence_by_id_.find(id);
  if (found == sequence_by_id_.end()) return;
  LiveEntry& entry = live_.at(found->second);
  if (number < entry.attempts)
    extend_live(id, entry, RecordWriter(Kind::never_ran).text(id).number(number).record());
}

void Journal::erase_live(const std::string& id) {
  const auto found = sequence_by_id_.find(id);
  if (found == sequence_by_id_.end()) return;
  const LiveEntry& entry = live_.at(found->second);
  reserved_ -= entry.reserved;
  live_bytes_ -= entry.records.size();
  live_.erase(found->second);
  sequence_by_id_.erase(found);
}

void Journal::remember_completed(const std::string& id, const CompletedMessage& ended) {
  completed_.remember(fingerprint(id), ended, read_clocks());
}

void Journal::complete(const std::string& id) { complete(id, RecordWriter(Kind::end).text(id).record()); }

void Journal::complete(const std::string& id, const CompletedMessage& ended) {
  remember_completed(id, ended);
  complete(id, completion_record(id, ended));
}

void Journal::complete(const std::string& id, std::string record) {
  const auto found = sequence_by_id_.find(id);
  if (found == sequence_by_id_.end()) return;
  if (live_.at(found->second).written) {
    append(id, std::move(record));
  } else {  // nothing about the message is in the file, and none of its buffered records may be written
    std::erase_if(buffered_, [&](const BufferedRecord& r) { return r.message == id; });
  }
  erase_live(id);
}

bool Journal::may_survive_restart(const std::string& id) const {
  const auto found = sequence_by_id_.find(id);
  return torn_ || (found != sequence_by_id_.end() && live_.at(found->second).written);
}

void Journal::complete_with_notice(const Notice& n, const std::optional<CompletedMessage>& ended) {
  RecordWriter out(Kind::end_owing);
  out.text(n.message).number(n.handed_back ? 1 : 0).number(static_cast<std::uint64_t>(n.retry_in.count()));
  if (ended) {
    write(out, *ended);
    remember_completed(n.message, *ended);
  }
  const std::string record = out.record();
  const auto found = sequence_by_id_.find(n.message);
  const bool written = found != sequence_by_id_.end() && live_.at(found->second).written;
  erase_live(n.message);
  append(n.message, record);
  add_live(n.message, {record, record.size(), 0, written});
}

void Journal::settle_notice(const std::string& id) {
  if (!sequence_by_id_.contains(id)) return;
  append(id, RecordWriter(Kind::notice_settled).text(id).record());
  erase_live(id);
}

void Journal::disable_host(const std::string& host) {
  if (!disabled_hosts_.insert(host).second) return;
  const std::string record = RecordWriter(Kind::ban).text(host).record();
  reserved_ += record.size();
  append({}, record);
}

void Journal::enable_host(const std::string& host) {
  if (disabled_hosts_.erase(host) == 0) return;
  reserved_ -= RecordWriter(Kind::ban).text(host).record().size();
  append({}, RecordWriter(Kind::lift).text(host).record());
}

std::uint64_t Journal::max_completed_records() const {
  return max_bytes_ / kCompletedShare / kCompletionRecordBytes;
}

std::uint64_t Journal::compacted_bytes() const {
  return live_bytes_ +
         std::min<std::uint64_t>(completed_.size(), max_completed_records()) * kCompletionRecordBytes;
}

std::string Journal::completed_records() const {
  std::string text;
  completed_.for_each_newest(
      max_completed_records(), read_clocks(),
      [&](std::uint64_t id, const CompletedMessage& ended) { text += completion_record(id, ended); });
  return text;
}

std::string Journal::live_records() const {
  std::string text = RecordWriter(Kind::format).number(kJournalFormat).record();
  for (const std::string& host : disabled_hosts_) text += RecordWriter(Kind::ban).text(host).record();
  for (const auto& [number, entry] : live_) text += entry.records;
  return text;
}

void Journal::retire() {
  retired_ = true;
  buffered_.clear();
}

bool Journal::flush() {
  if (retired_) return false;
  if (buffered_.empty() && !must_rewrite_) return true;
  const auto now = std::chrono::steady_clock::now();
  if (failing() && now < retry_at_) return false;
  retry_at_ = now + kRetryInterval;
  failing_ = !write_buffered();
  return !failing_;
}

bool Journal::write_buffered() {
  std::uint64_t after = size_;
  for (const BufferedRecord& p : buffered_) after += p.record.size();
  std::uint64_t max_bytes = max_appended_bytes();
  if (failing() || after > std::max(kMinCompactBytes, 4 * compacted_bytes()) || after > max_bytes) {
    const Compaction compacted = compact();
    if (compacted == Compaction::done) return !must_rewrite_;
    // Nothing is lost by letting the file grow further: messages that it holds can still be sent and ended.
    if (compacted == Compaction::no_room) max_bytes = max_bytes_;
  }
  if (must_rewrite_ || round_up_to_blocks(after) > max_bytes || !truncate_torn_tail()) return false;
  std::string records;
  for (const BufferedRecord& p : buffered_) records += p.record;
  torn_ = !disk_->append(kName, records);
  if (torn_) {
    (void)truncate_torn_tail();
    return false;
  }
  size_ = after;
  mark_buffered_written();
  return true;
}

bool Journal::truncate_torn_tail() {
  if (torn_) torn_ = !disk_->truncate(kName, size_);
  return !torn_;
}

void Journal::mark_buffered_written() {
  for (const BufferedRecord& p : std::exchange(buffered_, {})) {
    if (const auto found = sequence_by_id_.find(p.message); found != sequence_by_id_.end())
      live_.at(found->second).written = true;
  }
}

Journal::Compaction Journal::compact() {
  const auto fits = [this](const std::string& text) {
    return round_up_to_blocks(size_) + round_up_to_blocks(text.size()) <= max_bytes_;
  };
  std::string text = live_records();
  if (std::string all = text + completed_records(); fits(all)) text = std::move(all);
  if (fits(text)) {
    const recovery::ReplaceResult replaced = recovery::replace_file(*disk_, kName, text, durability_);
    if (replaced == recovery::ReplaceResult::failed) return Compaction::failed;
    must_rewrite_ = replaced == recovery::ReplaceResult::unsynced;
  } else if (!can_rewrite_in_place(text)) {
    ++compactions_without_room_;
    return Compaction::no_room;
  } else if (!rewrite_in_place(text)) {
    must_rewrite_ = true;  // the file may begin with a part of the text
    return Compaction::failed;
  }
  ++compactions_;
  size_ = text.size();
  torn_ = false;
  mark_buffered_written();
  return Compaction::done;
}

// A power loss may leave any part of a write, so that nothing that the file has to keep may be overwritten
// then.
bool Journal::can_rewrite_in_place(const std::string& text) const {
  if (durability_ == recovery::Durability::power) return live_.empty() && disabled_hosts_.empty();
  return text.size() <= kAtomicWriteBytes;
}

// The way out of a file beside which nothing fits. After a kill between the two steps, the file begins with
// the new records, and what follows is cut at the next start like a torn record: it begins within an old one.
bool Journal::rewrite_in_place(const std::string& text) {
  if (!disk_->overwrite(kName, text)) return false;
  const bool synced = durability_ == recovery::Durability::process || disk_->sync(kName);
  if (!disk_->truncate(kName, text.size())) return false;
  must_rewrite_ = !synced || (durability_ == recovery::Durability::power && !disk_->sync(kName));
  return true;
}

}  // namespace myrtlegrade
