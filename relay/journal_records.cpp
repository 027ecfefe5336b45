#include "journal_records.h"

#include "record_codec.h"

namespace myrtlegrade {

RecordWriter& write(RecordWriter& out, const Timestamp& at) {
  return out.time(at.wall).number(at.boot).time(at.steady);
}

// Older versions wrote only the wall-clock time.
Timestamp read_timestamp(RecordReader& in) {
  Timestamp at{in.time<WallTime>(), 0, {}};
  if (in.empty()) return at;
  at.boot = in.number();
  at.steady = in.time<vetchhinge::Time>();
  return at;
}

namespace {

void read_outcome(RecordReader& in, JournalRecord& r) {
  if (in.empty()) return;  // written by an older version, or the outcome is not remembered
  r.id_fingerprint = r.id.empty() ? in.number() : fingerprint(r.id);
  r.ended = read_completed_message(in);
}

}  // namespace

std::string completion_record(const std::string& id, const CompletedMessage& ended) {
  RecordWriter out(RecordKind::end);
  return write(out.text(id), ended).record();
}

std::string completion_record(std::uint64_t id_fingerprint, const CompletedMessage& ended) {
  RecordWriter out(RecordKind::end);
  return write(out.text({}).number(id_fingerprint), ended).record();
}

std::optional<JournalRecord> parse_record(std::string_view payload) {
  RecordReader in(payload);
  JournalRecord r;
  r.kind = in.kind<RecordKind>();
  if (r.kind == RecordKind::format) {
    r.number = in.number();
    return in.good ? std::optional(std::move(r)) : std::nullopt;
  }
  r.id = in.text();
  switch (r.kind) {
    case RecordKind::accept:
      r.message = {r.id, in.text(), in.number(), in.text(), in.text(), read_timestamp(in), {}};
      break;
    case RecordKind::attempt:
      r.attempt = {in.text(), in.text(), read_timestamp(in)};
      break;
    case RecordKind::numbered_attempt:
      r.number = in.number();
      r.attempt = {in.text(), in.text(), read_timestamp(in)};
      if (r.number >= kMaxAttempts) return std::nullopt;
      break;
    case RecordKind::never_ran:
      r.number = in.number();
      break;
    case RecordKind::end_owing:
      r.notice = {r.id, in.number() != 0, std::chrono::milliseconds(in.number())};
      read_outcome(in, r);
      break;
    case RecordKind::end:
      read_outcome(in, r);
      break;
    case RecordKind::notice_settled:
    case RecordKind::ban:
    case RecordKind::lift:
      break;
    default:
      return std::nullopt;
  }
  if (!in.good) return std::nullopt;
  return r;
}

namespace {

void store_attempt(std::vector<StoredAttempt>& attempts, std::uint64_t number, const StoredAttempt& attempt) {
  StoredAttempt not_sent;
  not_sent.may_have_run = false;
  if (number >= attempts.size()) attempts.resize(number + 1, not_sent);
  attempts[number] = attempt;
}

}  // namespace

void JournalReplay::apply(const JournalRecord& r) {
  StoredMessage* message = messages_.find(r.id);
  if (r.kind == RecordKind::accept && !message) messages_.add(r.id, r.message);
  if (r.kind == RecordKind::attempt && message) message->attempts.push_back(r.attempt);
  if (r.kind == RecordKind::numbered_attempt && message)
    store_attempt(message->attempts, r.number, r.attempt);
  if (r.kind == RecordKind::never_ran && message && r.number < message->attempts.size()) {
    message->attempts[r.number].may_have_run = false;
  }
  if (r.kind == RecordKind::end || r.kind == RecordKind::end_owing) messages_.erase(r.id);
  if (r.kind == RecordKind::end_owing || r.kind == RecordKind::notice_settled) notices_.erase(r.id);
  if (r.kind == RecordKind::end_owing) notices_.add(r.id, r.notice);
}

}  // namespace myrtlegrade
