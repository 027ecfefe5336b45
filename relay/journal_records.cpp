#include "journal_records.h"

#include "record_codec.h"

namespace myrtlegrade {

RecordWriter& write(RecordWriter& out, const Moment& at) {
  return out.time(at.wall).number(at.boot).time(at.steady);
}

// Earlier programs wrote the time of day alone.
Moment read_moment(RecordReader& in) {
  Moment at{in.time<WallTime>(), 0, {}};
  if (in.empty()) return at;
  at.boot = in.number();
  at.steady = in.time<vetchhinge::Time>();
  return at;
}

namespace {

void read_memory(RecordReader& in, JournalRecord& r) {
  if (in.empty()) return;  // of an earlier program, or of one that is not remembered
  r.ended_id = r.id.empty() ? in.number() : fingerprint(r.id);
  r.ended = read_ended(in);
}

}  // namespace

std::string end_record(const std::string& id, const Ended& ended) {
  RecordWriter out(RecordKind::end);
  return write(out.text(id), ended).record();
}

std::string end_record(std::uint64_t id, const Ended& ended) {
  RecordWriter out(RecordKind::end);
  return write(out.text({}).number(id), ended).record();
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
      r.message = {r.id, in.text(), in.number(), in.text(), in.text(), read_moment(in), {}};
      break;
    case RecordKind::attempt:
      r.attempt = {in.text(), in.text(), read_moment(in)};
      break;
    case RecordKind::numbered_attempt:
      r.number = in.number();
      r.attempt = {in.text(), in.text(), read_moment(in)};
      if (r.number >= kMostAttempts) return std::nullopt;
      break;
    case RecordKind::never_ran:
      r.number = in.number();
      break;
    case RecordKind::end_owing:
      r.notice = {r.id, in.number() != 0, std::chrono::milliseconds(in.number())};
      read_memory(in, r);
      break;
    case RecordKind::end:
      read_memory(in, r);
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

void record_attempt(std::vector<StoredAttempt>& attempts, std::uint64_t number,
                    const StoredAttempt& attempt) {
  StoredAttempt not_sent;
  not_sent.may_have_run = false;
  if (number >= attempts.size()) attempts.resize(number + 1, not_sent);
  attempts[number] = attempt;
}

}  // namespace

void Owed::fold(const JournalRecord& r) {
  StoredMessage* known = messages_.find(r.id);
  if (r.kind == RecordKind::accept && !known) messages_.add(r.id, r.message);
  if (r.kind == RecordKind::attempt && known) known->attempts.push_back(r.attempt);
  if (r.kind == RecordKind::numbered_attempt && known) record_attempt(known->attempts, r.number, r.attempt);
  if (r.kind == RecordKind::never_ran && known && r.number < known->attempts.size()) {
    known->attempts[r.number].may_have_run = false;
  }
  if (r.kind == RecordKind::end || r.kind == RecordKind::end_owing) messages_.erase(r.id);
  if (r.kind == RecordKind::end_owing || r.kind == RecordKind::notice_settled) notices_.erase(r.id);
  if (r.kind == RecordKind::end_owing) notices_.add(r.id, r.notice);
}

}  // namespace myrtlegrade
