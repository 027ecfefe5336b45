// Messages whose ownership is not confirmed yet, with a call of an earlier process in flight. Results that
// are reported for the call in the meantime are stored, and applied once the message is restored.
#include <algorithm>
#include <utility>

#include "message_trace.h"
#include "relay.h"

namespace myrtlegrade {

using vetchhinge::Result;

namespace {

bool is_final(const CallResult& result) { return result.terminal || result.result == Result::delivered; }

}  // namespace

// Stores the latest outcome; a final one is not replaced. The link and the owner's file may both report it.
void Relay::on_unconfirmed_outcome(const std::string& id, std::uint32_t attempt, const CallResult& result) {
  const auto found = unconfirmed_.find(id);
  if (found == unconfirmed_.end() || !found->second.predecessor_call) return;
  HandedOverAttempt& out = *found->second.predecessor_call;
  if (out.attempt != attempt || out.call_end || (out.reported_result && is_final(*out.reported_result)))
    return;
  out.reported_result = result;
  MessageTrace::event(id, "told_while_waiting", "attempt", attempt, "result", name_of(result.result));
  if (successor_) successor_->outcome(id, attempt, result);
}

void Relay::on_unconfirmed_call_ended(std::uint64_t number, CallEnd end) {
  bool any = false;
  for (auto& [id, waiting] : unconfirmed_) {
    if (!waiting.predecessor_call || waiting.predecessor_call->call != number ||
        waiting.predecessor_call->call_end)
      continue;
    waiting.predecessor_call->call_end = end;
    any = true;
  }
  if (any && successor_ && !calls_in_flight_.contains(number)) successor_->call_ended(number, end);
}

void Relay::on_unconfirmed_owner_exited(const std::string& owner) {
  for (auto& [id, waiting] : unconfirmed_) {
    if (waiting.predecessor_call && waiting.predecessor_call->owner == owner &&
        !waiting.predecessor_call->call_end)
      waiting.predecessor_call->call_end = CallEnd::cut;
  }
}

// Returns whether the message has no call in flight and may get no further one, so that its owner, whichever
// relay that is, can only complete it as undelivered.
bool Relay::can_only_complete(const UnconfirmedMessage& waiting) const {
  if (!waiting.predecessor_call || !waiting.predecessor_call->call_end) return false;
  const HandedOverAttempt& out = *waiting.predecessor_call;
  const std::vector<StoredAttempt>& attempts = waiting.stored.attempts;
  if (out.reported_result && is_final(*out.reported_result)) return false;
  const bool last_may_have_run = !out.reported_result || !never_ran(out.reported_result->result);
  bool may_have_run = last_may_have_run;
  for (std::size_t n = 0; n < attempts.size(); ++n)
    may_have_run = may_have_run || (n != out.attempt && attempts[n].may_have_run);
  const std::size_t made = std::max<std::size_t>(attempts.size(), out.attempt + 1);
  return made >= config_.settings.max_attempts || (may_have_run && is_at_most_once(waiting.stored.cls));
}

// Restores messages whose notice is due now. This need not wait until their ownership is confirmed: the
// notice does not conflict with a completion by another relay.
void Relay::restore_completable() {
  if (closing_ || successor_) return;
  std::vector<std::string> ids;
  for (const auto& [id, waiting] : unconfirmed_) {
    if (can_only_complete(waiting)) ids.push_back(id);
  }
  for (const std::string& id : ids) {
    const UnconfirmedMessage waiting = std::move(unconfirmed_.extract(id).mapped());
    restore_message(waiting.stored, &*waiting.predecessor_call);
    apply_reported(*waiting.predecessor_call);
  }
}

// The call was restored with its message as if it were still in flight; applies its stored results.
void Relay::apply_reported(const HandedOverAttempt& out) {
  if (out.reported_result) on_predecessor_outcome(out.message, out.attempt, *out.reported_result);
  if (out.call_end) on_predecessor_call_ended(out.call, *out.call_end);
}

// Completes a message whose call has delivered it, without a notice, whatever other relays assumed. Returns
// false if no delivery was reported.
bool Relay::complete_if_delivered(const std::string& id) {
  const auto found = unconfirmed_.find(id);
  if (found == unconfirmed_.end() || !found->second.predecessor_call ||
      !found->second.predecessor_call->reported_result)
    return false;
  if (found->second.predecessor_call->reported_result->result != Result::delivered) return false;
  const StoredMessage& stored = found->second.stored;
  ++counters_.delivered;
  OpenMessage open;
  open.payload = std::make_shared<const Payload>(Payload{id, stored.key, stored.body});
  open.cls = stored.cls;
  open.destination = stored.destination;
  open.deadline = stored.deadline;
  journal_.complete(id, completion_record(open, CompletedMessage::Reply::accepted));
  if (copies_) copies_->copies().complete(CopyNet::now(), id);
  journal_.flush();
  close_unconfirmed(id);
  return true;
}

// Removes the message. A call in flight still occupies a slot of its endpoint, and the decision module
// receives the endpoint's response.
void Relay::close_unconfirmed(const std::string& id) {
  auto waiting = unconfirmed_.extract(id);
  if (!waiting || !waiting.mapped().predecessor_call) return;
  const HandedOverAttempt& out = *waiting.mapped().predecessor_call;
  restore_call_in_flight(out);
  apply_reported(out);
  schedule_step();
}

}  // namespace myrtlegrade
