#include "journal_records.h"

#include <algorithm>

#include "bytes.h"

namespace myrtlegrade {

Writer& write(Writer& out, const Moment& at) { return out.time(at.wall).number(at.boot).time(at.steady); }

namespace {

// Earlier programs wrote the time of day alone.
Moment read_moment(Reader& in) {
  Moment at{in.time<WallTime>(), 0, {}};
  if (in.empty()) return at;
  at.boot = in.number();
  at.steady = in.time<vetchhinge::Time>();
  return at;
}

}  // namespace

std::optional<JournalRecord> parse_record(std::string_view payload) {
  Reader in(payload);
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
    case RecordKind::never_ran:
      r.number = in.number();
      break;
    case RecordKind::end_owing:
      r.notice = {r.id, in.number() != 0, std::chrono::milliseconds(in.number())};
      break;
    case RecordKind::end:
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

void fold(const JournalRecord& r, std::vector<StoredMessage>& messages, std::vector<Notice>& notices) {
  const auto found = std::ranges::find(messages, r.id, &StoredMessage::id);
  const bool known = found != messages.end();
  if (r.kind == RecordKind::accept && !known) messages.push_back(r.message);
  if (r.kind == RecordKind::attempt && known) found->attempts.push_back(r.attempt);
  if (r.kind == RecordKind::never_ran && known && r.number < found->attempts.size()) {
    found->attempts[r.number].may_have_run = false;
  }
  if ((r.kind == RecordKind::end || r.kind == RecordKind::end_owing) && known) messages.erase(found);
  if (r.kind == RecordKind::end_owing) notices.push_back(r.notice);
  if (r.kind == RecordKind::notice_settled) {
    std::erase_if(notices, [&](const Notice& n) { return n.message == r.id; });
  }
}

}  // namespace myrtlegrade
