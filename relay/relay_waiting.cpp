// Messages that wait until it is known that they are still this relay's to end, with a call of an earlier
// process out: what is told of the call meanwhile is kept, and counts once the message is taken up.
#include <algorithm>
#include <utility>

#include "message_trace.h"
#include "relay.h"

namespace myrtlegrade {

using vetchhinge::Result;

namespace {

bool is_final(const CallResult& result) { return result.over || result.result == Result::delivered; }

}  // namespace

// The last outcome counts, and a final one stays. A link and the owner's file may both tell it.
void Relay::told_of_waiting(const std::string& id, std::uint32_t attempt, const CallResult& result) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end() || !found->second.out) return;
  OutCall& out = *found->second.out;
  if (out.attempt != attempt || out.ended || (out.told && is_final(*out.told))) return;
  out.told = result;
  MessageTrace::event(id, "told_while_waiting", "attempt", attempt, "result", name_of(result.result));
  if (successor_) successor_->outcome(id, attempt, result);
}

void Relay::call_of_waiting_over(std::uint64_t number, CallEnd end) {
  bool any = false;
  for (auto& [id, waiting] : waiting_) {
    if (!waiting.out || waiting.out->call != number || waiting.out->ended) continue;
    waiting.out->ended = end;
    any = true;
  }
  if (any && successor_ && !calls_.contains(number)) successor_->call_over(number, end);
}

void Relay::owner_of_waiting_gone(const std::string& owner) {
  for (auto& [id, waiting] : waiting_) {
    if (waiting.out && waiting.out->owner == owner && !waiting.out->ended) waiting.out->ended = CallEnd::cut;
  }
}

// It has no call out, and may get no other: whoever acts on it can only end it.
bool Relay::can_only_end(const Waiting& waiting) const {
  if (!waiting.out || !waiting.out->ended) return false;
  const OutCall& out = *waiting.out;
  const std::vector<StoredAttempt>& attempts = waiting.stored.attempts;
  if (out.told && is_final(*out.told)) return false;
  const bool last_may_have_run = !out.told || !never_ran(out.told->result);
  bool may_have_run = last_may_have_run;
  for (std::size_t n = 0; n < attempts.size(); ++n)
    may_have_run = may_have_run || (n != out.attempt && attempts[n].may_have_run);
  const std::size_t made = std::max<std::size_t>(attempts.size(), out.attempt + 1);
  return made >= config_.settings.max_attempts || (may_have_run && runs_once(waiting.stored.cls));
}

// Its notice is owed now, and does no harm to what another may have ended: it does not wait until this relay
// may act on it.
void Relay::take_up_ended() {
  if (closing_ || successor_) return;
  std::vector<std::string> ids;
  for (const auto& [id, waiting] : waiting_) {
    if (can_only_end(waiting)) ids.push_back(id);
  }
  for (const std::string& id : ids) {
    const Waiting waiting = std::move(waiting_.extract(id).mapped());
    take_up(waiting.stored, &*waiting.out);
    apply_told(*waiting.out);
  }
}

// The call was booked with its message, as if it were still out.
void Relay::apply_told(const OutCall& out) {
  if (out.told) reported_elsewhere(out.message, out.attempt, *out.told);
  if (out.ended) call_over_elsewhere(out.call, *out.ended);
}

// True: nobody is told of its end, whatever others took for it.
bool Relay::ends_delivered(const std::string& id) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end() || !found->second.out || !found->second.out->told) return false;
  if (found->second.out->told->result != Result::delivered) return false;
  const StoredMessage& stored = found->second.stored;
  ++counters_.delivered;
  Open open;
  open.payload = std::make_shared<const Payload>(Payload{id, stored.key, stored.body});
  open.cls = stored.cls;
  open.destination = stored.destination;
  open.deadline = stored.deadline;
  journal_.complete(id, ended(open, Ended::Told::taken));
  if (copies_) copies_->copies().complete(CopyNet::now(), id);
  journal_.flush();
  end_waiting(id);
  return true;
}

// What is still out takes a slot of its endpoint, and the module hears what the endpoint said.
void Relay::end_waiting(const std::string& id) {
  auto waiting = waiting_.extract(id);
  if (!waiting || !waiting.mapped().out) return;
  const OutCall& out = *waiting.mapped().out;
  take_up_out(out);
  apply_told(out);
  schedule();
}

}  // namespace myrtlegrade
