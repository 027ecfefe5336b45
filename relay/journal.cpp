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

constexpr std::size_t kGrowth = 1024;              // what the attempts and the end of one message may add
constexpr std::uint64_t kLeastCompact = 64 << 10;  // smaller files are not worth compacting
constexpr std::uint64_t kBlock = 512;              // the disk limit counts whole blocks
constexpr std::uint64_t kEndedShare = 32;          // one part in so many of the room is for ends

constexpr auto kRetryEvery = std::chrono::milliseconds(50);  // of a folder that fails (ours)
constexpr auto kStartWithin =
    std::chrono::milliseconds(4000);  // a folder that fails at a start may recover (ours)

// Until it succeeds, or a start takes too long.
template <typename Operation>
bool try_for_a_while(Operation operation) {
  const auto until = std::chrono::steady_clock::now() + kStartWithin;
  errno = 0;
  while (!operation()) {
    if (std::chrono::steady_clock::now() >= until) return false;
    std::this_thread::sleep_for(kRetryEvery);
  }
  return true;
}

std::uint64_t whole_blocks(std::uint64_t bytes) { return (bytes + kBlock - 1) / kBlock * kBlock; }

}  // namespace

Journal::Journal(const std::string& folder, std::uint64_t most_bytes, recovery::Durability durability)
    : Journal(std::make_unique<recovery::RealDisk>(folder), most_bytes, durability) {}

Journal::Journal(std::unique_ptr<recovery::Disk> own, std::uint64_t most_bytes,
                 recovery::Durability durability)
    : Journal(*own, most_bytes, durability) {
  own_ = std::move(own);
}

Journal::Journal(recovery::Disk& disk, std::uint64_t most_bytes, recovery::Durability durability)
    : disk_(&disk), most_(most_bytes), durability_(durability) {
  disk_->remove(std::string(kName) + ".new");  // a compaction that was cut short
  const std::optional<std::string> text = disk_->read(kName);
  if (text) read(*text);
  // Also behind what an earlier program wrote: it must not cut off the records that it does not know.
  if (format_ < kJournalFormat) append({}, RecordWriter(Kind::format).number(kJournalFormat).record());
  // A torn tail would hide every record behind it.
  if (!try_for_a_while([&] { return disk_->truncate(kName, size_); }))
    throw std::system_error(errno, std::generic_category(), "PROXY_STATE: journal");
  const auto synced = [&] { return disk_->sync(kName) && disk_->sync_directory(); };
  if (durability_ == recovery::Durability::power && !try_for_a_while(synced))
    throw std::system_error(errno, std::generic_category(), "PROXY_STATE: journal can't be synced");
}

void Journal::read(const std::string& text) {
  RecordReader in(text);
  Owed owed;
  while (!in.empty()) {
    const auto payload = in.record();
    if (!payload || !apply(*payload, owed)) break;
    size_ += kRecordHeaderBytes + payload->size();
  }
  messages_ = owed.take_messages();
  notices_ = owed.take_notices();
}

// One record read back: rebuilds the state in memory that writing it had built.
bool Journal::apply(std::string_view payload, Owed& owed) {
  const std::optional<JournalRecord> r = parse_record(payload);
  if (!r) return false;
  if (r->kind == Kind::format) {
    // Cut off at what it can't read, a journal of a later program would lose what is owed.
    if (r->number > kJournalFormat)
      throw std::runtime_error("PROXY_STATE: the journal is of a later program");
    format_ = r->number;
    return true;
  }
  owed.fold(*r);
  if (r->kind == Kind::accept) accept(r->message);
  if (r->kind == Kind::attempt) {
    const auto found = index_.find(r->id);
    if (found != index_.end()) record_attempt(r->id, live_.at(found->second).attempts, r->attempt);
  }
  if (r->kind == Kind::numbered_attempt) {
    record_attempt(r->id, static_cast<std::uint32_t>(r->number), r->attempt);
  }
  if (r->kind == Kind::never_ran) record_never_ran(r->id, static_cast<std::uint32_t>(r->number));
  if (r->kind == Kind::end) complete(r->id);
  if (r->kind == Kind::end_owing) complete_with_notice(r->notice, r->ended);
  if (r->ended) ended_.remember(r->ended_id, *r->ended, read_clocks());
  if (r->kind == Kind::notice_settled) settle_notice(r->id);
  if (r->kind == Kind::ban) disable_host(r->id);
  if (r->kind == Kind::lift) enable_host(r->id);
  pending_written();  // it is in the file already
  return true;
}

bool Journal::has_room(std::size_t bytes) const {
  // The old file and its successor stand side by side while the journal is compacted.
  return !failing() && reserved_ + bytes + kGrowth < most_ * 2 / 5;
}

void Journal::append(const std::string& message, std::string record) {
  pending_.push_back({message, std::move(record)});
}

void Journal::accept(const StoredMessage& m) {
  RecordWriter out(Kind::accept);
  out.text(m.id).text(m.cls).number(m.destination).text(m.key).text(m.body);
  std::string record = write(out, m.deadline).record();
  const std::size_t reserved = record.size() + kGrowth;
  append(m.id, record);
  if (index_.contains(m.id)) return;
  add_live(m.id, {std::move(record), reserved});
}

void Journal::add_live(const std::string& id, Live live) {
  reserved_ += live.reserved;
  live_bytes_ += live.records.size();
  index_.emplace(id, next_);
  live_.emplace(next_++, std::move(live));
}

void Journal::extend_live(const std::string& id, Live& live, std::string record) {
  live.records += record;
  live_bytes_ += record.size();
  append(id, std::move(record));
}

void Journal::record_attempt(const std::string& id, std::uint32_t number, const StoredAttempt& a) {
  const auto found = index_.find(id);
  if (found == index_.end()) return;
  Live& live = live_.at(found->second);
  live.attempts = std::max(live.attempts, number + 1);
  RecordWriter out(Kind::numbered_attempt);
  out.text(id).number(number).text(a.host).text(a.zone);
  extend_live(id, live, write(out, a.sent).record());
}

void Journal::record_never_ran(const std::string& id, std::uint32_t number) {
  const auto found = index_.find(id);
  if (found == index_.end()) return;
  Live& live = live_.at(found->second);
  if (number < live.attempts)
    extend_live(id, live, RecordWriter(Kind::never_ran).text(id).number(number).record());
}

void Journal::forget(const std::string& id) {
  const auto found = index_.find(id);
  if (found == index_.end()) return;
  const Live& live = live_.at(found->second);
  reserved_ -= live.reserved;
  live_bytes_ -= live.records.size();
  live_.erase(found->second);
  index_.erase(found);
}

void Journal::remember_completed(const std::string& id, const Ended& ended) {
  ended_.remember(fingerprint(id), ended, read_clocks());
}

void Journal::complete(const std::string& id) { complete(id, RecordWriter(Kind::end).text(id).record()); }

void Journal::complete(const std::string& id, const Ended& ended) {
  remember_completed(id, ended);
  complete(id, end_record(id, ended));
}

void Journal::complete(const std::string& id, std::string record) {
  const auto found = index_.find(id);
  if (found == index_.end()) return;
  if (live_.at(found->second).written) {
    append(id, std::move(record));
  } else {  // nothing of it may reach the file ahead of its end
    std::erase_if(pending_, [&](const Pending& p) { return p.message == id; });
  }
  forget(id);
}

bool Journal::may_survive_restart(const std::string& id) const {
  const auto found = index_.find(id);
  return torn_ || (found != index_.end() && live_.at(found->second).written);
}

void Journal::complete_with_notice(const Notice& n, const std::optional<Ended>& ended) {
  RecordWriter out(Kind::end_owing);
  out.text(n.message).number(n.handed_back ? 1 : 0).number(static_cast<std::uint64_t>(n.retry_in.count()));
  if (ended) {
    write(out, *ended);
    remember_completed(n.message, *ended);
  }
  const std::string record = out.record();
  const auto found = index_.find(n.message);
  const bool written = found != index_.end() && live_.at(found->second).written;
  forget(n.message);
  append(n.message, record);
  add_live(n.message, {record, record.size(), 0, written});
}

void Journal::settle_notice(const std::string& id) {
  if (!index_.contains(id)) return;
  append(id, RecordWriter(Kind::notice_settled).text(id).record());
  forget(id);
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

// How many of them a new file takes along.
std::uint64_t Journal::most_ended() const { return most_ / kEndedShare / kEndRecord; }

std::uint64_t Journal::kept_bytes() const {
  return live_bytes_ + std::min<std::uint64_t>(ended_.size(), most_ended()) * kEndRecord;
}

std::string Journal::ended_records() const {
  std::string text;
  ended_.for_newest(most_ended(), read_clocks(),
                    [&](std::uint64_t id, const Ended& ended) { text += end_record(id, ended); });
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
  pending_.clear();
}

bool Journal::flush() {
  if (retired_) return false;
  if (pending_.empty() && !must_rewrite_) return true;
  const auto now = std::chrono::steady_clock::now();
  if (failing() && now < retry_at_) return false;
  retry_at_ = now + kRetryEvery;
  failing_ = !write_pending();
  return !failing_;
}

bool Journal::write_pending() {
  std::uint64_t after = size_;
  for (const Pending& p : pending_) after += p.record.size();
  const std::uint64_t kept = kept_bytes();
  if (failing() || after > std::max(kLeastCompact, 4 * kept) ||
      whole_blocks(after) + whole_blocks(kept) > most_ * 9 / 10) {
    compact();
    if (pending_.empty()) return !must_rewrite_;
  }
  if (must_rewrite_ || whole_blocks(after) > most_ || !cut_back()) return false;
  std::string records;
  for (const Pending& p : pending_) records += p.record;
  torn_ = !disk_->append(kName, records);
  if (torn_) {
    (void)cut_back();
    return false;
  }
  size_ = after;
  pending_written();
  return true;
}

// Half a record would hide all that is appended behind it.
bool Journal::cut_back() {
  if (torn_) torn_ = !disk_->truncate(kName, size_);
  return !torn_;
}

void Journal::pending_written() {
  for (const Pending& p : std::exchange(pending_, {})) {
    if (const auto found = index_.find(p.message); found != index_.end())
      live_.at(found->second).written = true;
  }
}

// What matters, pending records included, goes to a new file. If that can't be written the old one stays.
void Journal::compact() {
  const auto fits = [this](const std::string& text) {
    return whole_blocks(size_) + whole_blocks(text.size()) <= most_;
  };
  std::string text = live_records();
  if (std::string all = text + ended_records(); fits(all)) text = std::move(all);
  if (!fits(text)) return;
  const recovery::ReplaceResult replaced = recovery::replace_file(*disk_, kName, text, durability_);
  if (replaced == recovery::ReplaceResult::failed) return;
  size_ = text.size();
  torn_ = false;
  must_rewrite_ = replaced == recovery::ReplaceResult::unsynced;
  pending_written();
}

}  // namespace myrtlegrade
