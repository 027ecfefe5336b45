// The part of class Relay that replicates accepted messages to other relays (the copies group). It waits for
// replication before a message is accepted, called or handed back, and takes over messages that other relays
// accepted. As elsewhere in the relay, the decision module alone decides whether and where a message is sent.
#include <iostream>
#include <utility>

#include "budgets.h"
#include "message_trace.h"
#include "relay.h"

namespace myrtlegrade {

namespace copies = valedrum::copies;
using vetchhinge::Duration;
using vetchhinge::Effect;
using vetchhinge::HostId;
using vetchhinge::MessageId;
using vetchhinge::Result;

namespace {

// Convert between the relay's timestamps and the clock of the copies state machine.
copies::Time to_copies(const Timestamp& at) { return CopyNet::now() + until(at, read_clocks()); }
Timestamp from_copies(copies::Time at) { return read_clocks() + (at - CopyNet::now()); }

}  // namespace

void Relay::create_copies() {
  if (!config_.copies) return;
  copies_ = std::make_shared<CopyNet>(executor_, *config_.copies, *config_.fleet, config_.name,
                                      config_.state_folder, config_.copies_disk_bytes, config_.durability,
                                      config_.seed,
                                      [this](const copies::CopyEvent& event) { on_copy_event(event); });
}

// Answers a request for a message that is stored here as a copy for another relay, or that this relay found
// in its own state and does not own yet: a live one is already accepted. Returns whether it answered.
bool Relay::answer_if_copied(const SubmittedMessage& message, const Server::Respond& respond) const {
  const copies::Item* item = copies_ ? copies_->copies().find(message.id) : nullptr;
  if (!item) return false;
  respond({item->live() ? Answer::Kind::accepted : Answer::Kind::failed});
  return true;
}

bool Relay::replicate(const OpenMessage& open) {
  copies::Item item;
  item.deadline = to_copies(open.deadline);
  item.payload = std::make_shared<const copies::Payload>(
      copies::Payload{open.payload->id, open.cls, open.payload->key, open.payload->body, open.destination,
                      is_at_most_once(open.cls)});
  return copies_->copies().add(CopyNet::now(), open.payload->id, std::move(item)) !=
         copies::Copies::Placement::refused;
}

void Relay::replicate_attempt(const OpenMessage& open, const std::string& host, const std::string& zone) {
  copies_->copies().add_attempt(CopyNet::now(), open.payload->id, {host, zone});
}

void Relay::replicate_attempt_never_ran(const OpenMessage& open, std::uint32_t attempt) {
  if (!copies_) return;
  copies_->copies().set_attempt_state(CopyNet::now(), open.payload->id, attempt,
                                      copies::AttemptState::never_ran);
}

// The other members count an attempt as in flight until the connection of its call has ended, whatever has
// been reported of it: a message may time out alone in a call that goes on for others.
void Relay::replicate_attempt_end(const OpenMessage& open, std::uint64_t call) {
  if (!copies_ || open.completed) return;
  for (const AttemptInFlight& attempt : open.in_flight) {
    if (attempt.call != call || attempt.never_ran) continue;
    MessageTrace::event(open.payload->id, "call_ended", "attempt", attempt.attempt);
    copies_->copies().set_attempt_state(CopyNet::now(), open.payload->id, attempt.attempt,
                                        copies::AttemptState::may_have_run);
  }
}

// The same for the attempts of earlier processes of this relay, but for a call that is still known to be
// open.
void Relay::replicate_predecessor_ends(const OpenMessage& open) {
  if (!copies_ || open.completed || open.predecessor_call_open) return;
  std::optional<std::size_t> still_open;
  if (!open.in_flight.empty()) still_open = open.in_flight.back().attempt;
  copies_->copies().end_own_attempts(CopyNet::now(), open.payload->id, still_open);
}

Relay::~Relay() {
  if (syncer_) syncer_->stop();
  if (copies_) copies_->stop();
}

void Relay::when_durable(Syncer::Callback then) {
  if (!syncer_) return then(true);
  syncer_->run_after_sync([this, then = std::move(then)](bool synced) {
    if (!synced) {
      std::cerr << "myrtlegrade: sync of the journal failed: rewriting it before accepting more messages"
                << std::endl;
      journal_.mark_sync_failed();
      schedule_journal_retry();
    }
    then(synced);
  });
}

void Relay::request_acceptance(MessageId id) {
  when_durable([this, id](bool synced) {
    if (!synced || !copies_) return finish_acceptance(id, synced);
    const auto found = open_.find(id);
    if (found == open_.end() || found->second.completed) return;
    pending_acceptances_.emplace(copies_->copies().wait_for(CopyNet::now(), {found->second.payload->id},
                                                            copies::Copies::Requirement::acceptance),
                                 id);
    copies_->flush();
  });
}

void Relay::finish_acceptance(MessageId id, bool succeeded) {
  const auto found = open_.find(id);
  if (found == open_.end() || found->second.completed || !found->second.respond) return;
  if (!succeeded) return cancel_acceptance(id);
  ++counters_.accepted;
  std::exchange(found->second.respond, nullptr)({Answer::Kind::accepted});
}

void Relay::call_when_recorded(Calls calls) {
  for (DecidedCall& decided : calls) {
    const std::uint64_t withheld = endpoints_.at(decided.host).unsent_cancellations;
    PendingCall call{std::move(decided), withheld};
    if (!syncer_) {
      await_replication(std::move(call));
    } else {
      const std::uint64_t ticket = ++last_disk_ticket_;
      pending_calls_.emplace(ticket, std::move(call));
      when_durable([this, ticket](bool synced) {
        auto pending = pending_calls_.extract(ticket);
        if (!pending) return;
        if (!synced) return release_call(std::move(pending.mapped()), false);
        await_replication(std::move(pending.mapped()));
        if (copies_) copies_->flush();
      });
    }
  }
}

void Relay::await_replication(PendingCall call) {
  if (!copies_) return release_call(std::move(call), true);
  std::vector<std::string> ids;
  for (const CallItem& item : call.items) ids.push_back(item.payload->id);
  const auto ticket =
      copies_->copies().wait_for(CopyNet::now(), std::move(ids), copies::Copies::Requirement::call);
  pending_calls_.emplace(ticket, std::move(call));
}

// Sends the call, or reports its attempts as not sent where replication failed. A call that was withheld
// while it waited, and messages that were completed meanwhile, count as not sent too.
void Relay::release_call(PendingCall call, bool succeeded) {
  const Endpoints::Host& host = endpoints_.at(call.host);
  const bool waited = copies_ || syncer_;
  if (waited && (closing_ || host.unsent_cancellations != call.withhold_count)) succeeded = false;
  std::vector<CallItem> to_send;
  for (CallItem& item : call.items) {
    if (succeeded && !(waited && open_.at(item.message).completed)) {
      to_send.push_back(std::move(item));
    } else {
      on_outcome(call.host, item, {Result::not_sent, false, {}, {}});
    }
  }
  if (to_send.empty()) return on_call_ended(call.number, CallEnd::withheld);
  host_client_.call(call.number, call.host, host.address, std::move(to_send));
}

// A client resubmits a message that is handed back. Unless it may run twice, no other relay may still be able
// to send it by then, so its notice waits until the other members know of it. All other notices are sent at
// once.
void Relay::send_notice(Notice notice) {
  const auto found = ids_.find(notice.message);
  const bool harmless = found == ids_.end() || is_repetition_harmless(open_.at(found->second));
  const bool waits = notice.handed_back && !harmless;
  if (copies_)
    copies_->copies().set_pending_notice(CopyNet::now(), notice.message,
                                         {notice.handed_back, notice.retry_in});
  if (!waits) {
    discovery_.send_notice(std::move(notice));
  } else {
    when_durable(
        [this, notice = std::move(notice)](bool synced) { send_notice_when_replicated(notice, synced); });
  }
  if (copies_) copies_->flush();
}

void Relay::send_notice_when_replicated(Notice notice, bool durable) {
  notice.handed_back = notice.handed_back && durable;
  if (!copies_ || !durable) return discovery_.send_notice(std::move(notice));
  const auto ticket =
      copies_->copies().wait_for(CopyNet::now(), {notice.message}, copies::Copies::Requirement::notice);
  pending_notices_.emplace(ticket, std::move(notice));
  copies_->flush();
}

void Relay::on_notice_settled(const std::string& message) {
  journal_.settle_notice(message);
  if (!copies_) return;
  copies_->copies().complete(CopyNet::now(), message);
  copies_->flush();
}

// -------------------------------------------------------------------------------------------- events

void Relay::on_copy_event(const copies::CopyEvent& event) {
  if (const auto* completed = std::get_if<copies::TicketCompleted>(&event))
    return on_ticket_completed(*completed);
  if (const auto* gained = std::get_if<copies::OwnershipGained>(&event)) return on_ownership_gained(*gained);
  if (const auto* lost = std::get_if<copies::OwnershipLost>(&event)) return on_ownership_lost(lost->id);
  if (const auto* expiry = std::get_if<copies::Expired>(&event)) return on_expired(*expiry);
  if (const auto* elsewhere = std::get_if<copies::CompletedElsewhere>(&event)) {
    if (unconfirmed_.contains(elsewhere->id)) {
      journal_.complete(elsewhere->id);
      close_unconfirmed(elsewhere->id);
    }
  }
}

void Relay::on_ticket_completed(const copies::TicketCompleted& completed) {
  if (const auto acceptance = pending_acceptances_.extract(completed.ticket)) {
    finish_acceptance(acceptance.mapped(), completed.succeeded);
  } else if (auto pending = pending_calls_.extract(completed.ticket)) {
    release_call(std::move(pending.mapped()), completed.succeeded);
  } else if (const auto pending_notice = pending_notices_.extract(completed.ticket)) {
    Notice& notice = pending_notice.mapped();
    if (!completed.succeeded && !copies_->copies().is_owner(notice.message)) {  // the new owner completes it
      journal_.settle_notice(notice.message);
      return;
    }
    // No other member could be informed. One of them may still send the message, so it is reported as failed
    // and not as handed back to its client.
    notice.handed_back = notice.handed_back && completed.succeeded;
    discovery_.send_notice(std::move(notice));
  } else if (const auto pending_refusal = pending_refusals_.extract(completed.ticket)) {
    const PendingRefusal& refusal = pending_refusal.mapped();
    refusal.respond(completed.succeeded ? refusal.answer : Answer{Answer::Kind::failed, {}});
  }
}

// Takes over a message whose ownership this relay gained, as it restores messages from its journal after a
// restart.
void Relay::on_ownership_gained(const copies::OwnershipGained& gained) {
  if (closing_) return;  // the lease of a closing relay runs out, and another member becomes owner
  const std::string& id = gained.id;
  const copies::Item& item = gained.item;
  if (const auto own = ids_.find(id); own != ids_.end()) {
    if (open_.at(own->second).completed)
      deferred_ownership_.insert_or_assign(id, gained);  // its own calls are still in flight
    return;
  }
  if (complete_if_delivered(id)) return;
  // This relay reported the message as failed without the agreement of the group, so it completes it there. A
  // message recorded as accepted or handed back may belong to another owner and is taken over.
  if (const CompletedMessage* const record = journal_.find_completed(id);
      record && record->reply == CompletedMessage::Reply::failed)
    return copies_->copies().complete(CopyNet::now(), id);
  auto found = unconfirmed_.extract(id);
  if (!item.payload || !config_.dialect.classes.find(item.payload->cls)) {
    const Notice notice{id, false, {}};
    journal_.complete_with_notice(notice);
    return send_notice(notice);
  }
  StoredMessage stored{id,
                       item.payload->cls,
                       item.payload->destination,
                       item.payload->key,
                       item.payload->body,
                       from_copies(item.deadline),
                       {}};
  for (const copies::Attempt& attempt : item.attempts) {
    stored.attempts.push_back({attempt.host, attempt.zone, from_copies(attempt.sent_at),
                               attempt.state != copies::AttemptState::never_ran});
  }
  std::optional<HandedOverAttempt> predecessor_call;
  if (found) {
    predecessor_call = found.mapped().predecessor_call;
  } else {
    journal_.accept(stored);
    for (std::uint32_t n = 0; n < stored.attempts.size(); ++n) {
      journal_.record_attempt(id, n, stored.attempts[n]);
      if (!stored.attempts[n].may_have_run) journal_.record_never_ran(id, n);
    }
    journal_.flush();
  }
  restore_message(stored, predecessor_call ? &*predecessor_call : nullptr, gained.orphaned);
  if (predecessor_call) apply_reported(*predecessor_call);
  if (const auto restored = ids_.find(id); restored != ids_.end() && !unknown_predecessor_calls_)
    replicate_predecessor_ends(open_.at(restored->second));
  schedule_step();
}

// Closes a message whose ownership this relay lost: another member may act on it now. Outcomes of its calls
// that are still in flight are no longer reported.
void Relay::on_ownership_lost(const std::string& id) {
  deferred_ownership_.erase(id);
  const auto found = ids_.find(id);
  if (found == ids_.end()) return;
  OpenMessage& open = open_.at(found->second);
  if (open.completed) return;
  const MessageId message = found->second;
  std::erase_if(pending_completions_,
                [message](const PendingCompletion& end) { return end.message == message; });
  if (open.respond) {  // not accepted yet, and the new owner may call with it if it has the body
    journal_.complete(id);
    const bool harmless = is_repetition_harmless(open) || !copies_->copies().was_sent(id);
    MessageTrace::event(id, "lost_before_acceptance", "harmless", harmless);
    const Answer::Kind kind = harmless ? Answer::Kind::refused : Answer::Kind::failed;
    std::exchange(open.respond, nullptr)({kind, whole_ms(config_.settings.max_wait_hint)});
  } else {
    journal_.complete(id, completion_record(open, CompletedMessage::Reply::accepted));
  }
  post_event(vetchhinge::Withdrawn{message});
  close_message(message);
}

void Relay::on_expired(const copies::Expired& event) {
  const auto own = ids_.find(event.id);
  if (own != ids_.end() && !open_.at(own->second).completed) return;  // the decision module completes it
  if (complete_if_delivered(event.id)) return;
  MessageTrace::event(event.id, "expired");
  close_unconfirmed(event.id);
  Notice notice{event.id, event.notice.handed_back, whole_ms(event.notice.retry_in)};
  if (const copies::Item* item = copies_->copies().find(event.id))
    notice.due_by = from_copies(item->deadline).steady + budgets::kNoticeDeadline;
  journal_.complete_with_notice(notice);
  journal_.flush();
  discovery_.send_notice(std::move(notice));
}

// Cancels calls and acceptances that still wait for replication. Runs before a handover, since the successor
// does not learn of them.
void Relay::cancel_pending() {
  if (!copies_) return;
  for (auto& [ticket, call] : std::exchange(pending_calls_, {})) {
    withhold_call(call.number, call.host, call.items);
  }
  pending_acceptances_.clear();
  std::vector<MessageId> unanswered;
  for (const auto& [id, open] : open_) {
    if (!open.completed && open.respond) unanswered.push_back(id);
  }
  for (const MessageId id : unanswered) cancel_acceptance(id);
  fail_pending_refusals();
  copies_->flush();
  copies_->stop();
}

}  // namespace myrtlegrade
