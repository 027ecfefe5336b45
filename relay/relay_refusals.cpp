// Answers to clients whose messages are not accepted after all. A refusal invites the client to submit its
// message again under another id. The message may already be stored in the journal and at other relays, and
// whoever still finds it there may call with it. So a refusal waits until it can't be found any more; if that
// can't be achieved while the client waits, the answer is a failure, after which the client does not come
// again.
#include <algorithm>
#include <utility>

#include "budgets.h"
#include "message_trace.h"
#include "relay.h"

namespace myrtlegrade {

using vetchhinge::Effect;
using vetchhinge::MessageId;
using SteadyClock = std::chrono::steady_clock;

// Returns whether the message may run twice: once by whoever still has it, and once more when its client
// submits it again, which is before the message's deadline. An endpoint drops the second of two runs with the
// same key if both lie within the window of the key.
bool Relay::is_repetition_harmless(const OpenMessage& open) const {
  const auto cls = config_.dialect.classes.find(open.cls);
  if (!cls) return false;
  const vetchhinge::ClassSettings& settings = config_.settings.classes[*cls];
  if (settings.effect != Effect::deduplicated) return settings.effect == Effect::idempotent;
  const bool any_endpoint_drops = settings.scope == vetchhinge::KeyScope::all;
  return any_endpoint_drops && open.deadline.steady - now() + budgets::kMaxStall < settings.window;
}

// Answers the client of a message that is not accepted, and withdraws the message from the journal and from
// the other members.
void Relay::answer_not_accepted(MessageId id, Answer answer) {
  OpenMessage& open = open_.at(id);
  const std::string name = open.payload->id;
  const bool sent = copies_ && copies_->copies().was_sent(name);
  const bool journaled = journal_.contains(name);
  const bool may_survive_restart = journal_.may_survive_restart(name);
  if (journaled) journal_.complete(name);
  if (copies_) copies_->copies().complete(CopyNet::now(), name);
  const bool stored = journaled || records_at_decision();
  const bool removed = !stored || flush_journal() || !may_survive_restart;
  if (!removed && answer.kind == Answer::Kind::refused) answer.kind = Answer::Kind::failed;
  const bool may_be_found = sent || (journaled && syncer_);
  const bool waits = answer.kind == Answer::Kind::refused && may_be_found && !is_repetition_harmless(open);
  MessageTrace::event(name, "not_accepted", "kind", name_of(answer.kind), "body_sent", sent, "journaled",
                      journaled, "waits", waits);
  Server::Respond respond = std::exchange(open.respond, nullptr);
  if (!respond) return;
  if (!waits) return respond(answer);
  const auto answer_timeout = copies_ ? config_.copies->settings.answer_timeout : budgets::kMaxStall;
  refuse_when_recorded(name, {std::move(respond), answer,
                              open.submitted_at + answer_timeout + budgets::kRefusalRecordTimeout});
}

// Cancels an acceptance that could not be made durable or replicated.
void Relay::cancel_acceptance(MessageId id) {
  answer_not_accepted(id, {Answer::Kind::refused, whole_ms(config_.settings.max_wait_hint)});
  post_event(vetchhinge::Withdrawn{id});
  close_message(id);
}

void Relay::refuse_when_recorded(const std::string& id, PendingRefusal refusal) {
  when_durable([this, id, refusal = std::move(refusal)](bool synced) {
    if (!synced) return refusal.respond({Answer::Kind::failed, {}});
    refuse_when_replicated(id, refusal);
  });
}

// Does not send anything: CopyNet::flush() follows when all changes of this turn are made.
void Relay::refuse_when_replicated(const std::string& id, PendingRefusal refusal) {
  if (!copies_ || !copies_->copies().was_sent(id)) return refusal.respond(refusal.answer);
  if (copies_->stopped()) return refusal.respond({Answer::Kind::failed, {}});
  const auto deadline = CopyNet::now() + std::chrono::duration_cast<valedrum::copies::Duration>(
                                             refusal.deadline - SteadyClock::now());
  const auto ticket =
      copies_->copies().wait_until(deadline, {id}, valedrum::copies::Copies::Requirement::withdrawal);
  pending_refusals_.emplace(ticket, std::move(refusal));
  if (syncer_) copies_->flush();
}

bool Relay::acceptances_settled() const {
  if (!copies_) return true;
  const auto waits = [](const auto& entry) { return !entry.second.completed && entry.second.respond; };
  return pending_refusals_.empty() && std::ranges::none_of(open_, waits);
}

// The copies are about to stop, so no other member will be heard any more.
void Relay::fail_pending_refusals() {
  for (const auto& [ticket, refusal] : std::exchange(pending_refusals_, {}))
    refusal.respond({Answer::Kind::failed, {}});
}

}  // namespace myrtlegrade
