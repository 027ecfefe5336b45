// The relay's dealings with copies: what has to be known to others before it is promised or done, and what
// others had begun. Whether something is sent, and where, is the module's to say here too.
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

// The same moment on the clock that copies tell time by, and back.
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

// One that is held here for another relay, or that this one has found and may not act on yet: its promise
// stands.
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

Relay::~Relay() {
  if (syncer_) syncer_->stop();
  if (copies_) copies_->stop();
}

void Relay::when_durable(Syncer::Callback then) {
  if (!syncer_) return then(true);
  syncer_->run_after_sync([this, then = std::move(then)](bool synced) {
    if (!synced) {
      std::cerr << "myrtlegrade: a sync of the journal has failed: it is written anew before more is taken on"
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
    copies_->turn();
  });
}

void Relay::finish_acceptance(MessageId id, bool good) {
  const auto found = open_.find(id);
  if (found == open_.end() || found->second.completed || !found->second.respond) return;
  if (!good) return cancel_acceptance(id);
  ++counters_.accepted;
  std::exchange(found->second.respond, nullptr)({Answer::Kind::accepted});
}

// Its client is told to come again: it was not promised anything yet.
void Relay::cancel_acceptance(MessageId id) {
  OpenMessage& open = open_.at(id);
  const bool may_be_found = journal_.may_survive_restart(open.payload->id);
  journal_.complete(open.payload->id);
  if (copies_) copies_->copies().complete(CopyNet::now(), open.payload->id);
  // Refused, its client hands it in again: then a restart must not find it here.
  const bool forgotten = flush_journal() || !may_be_found;
  const Answer::Kind kind = forgotten ? Answer::Kind::refused : Answer::Kind::failed;
  if (open.respond) std::exchange(open.respond, nullptr)({kind, whole_ms(config_.settings.max_wait_hint)});
  post_event(vetchhinge::Withdrawn{id});
  close_message(id);
}

void Relay::call_when_recorded(Calls calls) {
  for (DecidedCall& decided : calls) {
    const std::uint64_t withheld = endpoints_.at(decided.host).withheld;
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
        if (copies_) copies_->turn();
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

// What was called back meanwhile, or is for a message that is over, is as one that could not leave.
void Relay::release_call(PendingCall call, bool good) {
  const Endpoints::Host& host = endpoints_.at(call.host);
  const bool waited = copies_ || syncer_;
  if (waited && (closing_ || host.withheld != call.withhold_count)) good = false;
  std::vector<CallItem> go;
  for (CallItem& item : call.items) {
    if (good && !(waited && open_.at(item.message).completed)) {
      go.push_back(std::move(item));
    } else {
      on_outcome(call.host, item, {Result::not_sent, false, {}, {}});
    }
  }
  if (go.empty()) return on_call_ended(call.number, CallEnd::withheld);
  host_client_.call(call.number, call.host, host.address, std::move(go));
}

// Handed back, its client comes with it again: work that may not be repeated must not be sent by others any
// more by then. All other notices do no harm to what others may do.
void Relay::send_notice(Notice notice) {
  const auto found = ids_.find(notice.message);
  const bool once = found != ids_.end() && is_at_most_once(open_.at(found->second).cls);
  const bool waits = notice.handed_back && once;
  if (copies_)
    copies_->copies().set_pending_notice(CopyNet::now(), notice.message,
                                         {notice.handed_back, notice.retry_in});
  if (!waits) {
    discovery_.send(std::move(notice));
  } else {
    when_durable(
        [this, notice = std::move(notice)](bool synced) { send_notice_when_replicated(notice, synced); });
  }
  if (copies_) copies_->turn();
}

void Relay::send_notice_when_replicated(Notice notice, bool durable) {
  notice.handed_back = notice.handed_back && durable;
  if (!copies_ || !durable) return discovery_.send(std::move(notice));
  const auto ticket =
      copies_->copies().wait_for(CopyNet::now(), {notice.message}, copies::Copies::Requirement::notice);
  pending_notices_.emplace(ticket, std::move(notice));
  copies_->turn();
}

void Relay::on_notice_settled(const std::string& message) {
  journal_.settle_notice(message);
  if (!copies_) return;
  copies_->copies().complete(CopyNet::now(), message);
  copies_->turn();
}

// -------------------------------------------------------------------------------------------- events

void Relay::on_copy_event(const copies::CopyEvent& event) {
  if (const auto* done = std::get_if<copies::TicketCompleted>(&event)) return on_ticket_completed(*done);
  if (const auto* inherited = std::get_if<copies::OwnershipGained>(&event))
    return on_ownership_gained(*inherited);
  if (const auto* lost = std::get_if<copies::OwnershipLost>(&event)) return on_ownership_lost(lost->id);
  if (const auto* over = std::get_if<copies::Expired>(&event)) return on_expired(*over);
  if (const auto* ended = std::get_if<copies::CompletedElsewhere>(&event)) {
    if (unconfirmed_.contains(ended->id)) {
      journal_.complete(ended->id);
      close_unconfirmed(ended->id);
    }
  }
}

void Relay::on_ticket_completed(const copies::TicketCompleted& done) {
  if (const auto promised = pending_acceptances_.extract(done.ticket)) {
    finish_acceptance(promised.mapped(), done.succeeded);
  } else if (auto pending = pending_calls_.extract(done.ticket)) {
    release_call(std::move(pending.mapped()), done.succeeded);
  } else if (const auto untold = pending_notices_.extract(done.ticket)) {
    Notice& notice = untold.mapped();
    if (!done.succeeded && !copies_->copies().is_owner(notice.message)) {  // another ends it
      journal_.settle_notice(notice.message);
      return;
    }
    // Nobody could be told: one that may send it still must find it failed, not back with its client.
    notice.handed_back = notice.handed_back && done.succeeded;
    discovery_.send(std::move(notice));
  }
}

// To be brought to its end as what a journal holds after a restart.
void Relay::on_ownership_gained(const copies::OwnershipGained& inherited) {
  if (closing_) return;  // it takes no further step: its lease runs out, and another inherits
  const std::string& id = inherited.id;
  const copies::Item& item = inherited.item;
  if (const auto own = ids_.find(id); own != ids_.end()) {
    if (open_.at(own->second).completed)
      deferred_ownership_.insert_or_assign(id, inherited);  // its own calls are still out
    return;
  }
  if (complete_if_delivered(id)) return;
  // It was given up here without the others' leave. What is remembered as taken or as handed back may have
  // been theirs to end.
  if (const CompletedMessage* const end = journal_.find_completed(id);
      end && end->reply == CompletedMessage::Reply::failed)
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
  for (const copies::Attempt& a : item.attempts) {
    stored.attempts.push_back(
        {a.host, a.zone, from_copies(a.sent_at), a.state != copies::AttemptState::never_ran});
  }
  std::optional<HandedOverAttempt> out;
  if (found) {
    out = found.mapped().predecessor_call;
  } else {
    journal_.accept(stored);
    for (std::uint32_t n = 0; n < stored.attempts.size(); ++n) {
      journal_.record_attempt(id, n, stored.attempts[n]);
      if (!stored.attempts[n].may_have_run) journal_.record_never_ran(id, n);
    }
    journal_.flush();
  }
  restore_message(stored, out ? &*out : nullptr, inherited.orphaned);
  if (out) apply_reported(*out);
  schedule_step();
}

// Another may act on it. What is out ends here, and says nothing any more.
void Relay::on_ownership_lost(const std::string& id) {
  deferred_ownership_.erase(id);
  const auto found = ids_.find(id);
  if (found == ids_.end()) return;
  OpenMessage& open = open_.at(found->second);
  if (open.completed) return;
  const MessageId message = found->second;
  std::erase_if(pending_completions_,
                [message](const PendingCompletion& end) { return end.message == message; });
  if (open.respond) {  // not promised to its client yet: it may come again
    journal_.complete(id);
    std::exchange(open.respond, nullptr)({Answer::Kind::refused, whole_ms(config_.settings.max_wait_hint)});
  } else {
    journal_.complete(id, completion_record(open, CompletedMessage::Reply::accepted));
  }
  post_event(vetchhinge::Withdrawn{message});
  close_message(message);
}

void Relay::on_expired(const copies::Expired& over) {
  const auto own = ids_.find(over.id);
  if (own != ids_.end() && !open_.at(own->second).completed) return;  // the module ends it
  if (complete_if_delivered(over.id)) return;
  MessageTrace::event(over.id, "expired");
  close_unconfirmed(over.id);
  Notice notice{over.id, over.notice.handed_back, whole_ms(over.notice.retry_in)};
  if (const copies::Item* item = copies_->copies().find(over.id))
    notice.due_by = from_copies(item->deadline).steady + budgets::kNoticeDeadline;
  journal_.complete_with_notice(notice);
  journal_.flush();
  discovery_.send(std::move(notice));
}

// Before this process gives over: what waits for others' word is taken back, for the next one knows nothing
// of it.
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
  if (!copies_) return;
  copies_->turn();
  copies_->stop();
}

}  // namespace myrtlegrade
