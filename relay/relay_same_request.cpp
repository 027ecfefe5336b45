// The same request once more: a client can't tell whether its request was read before its connection broke.
// What it hears is what the first one would have heard, whether its message is open or has ended.
#include <algorithm>
#include <utility>

#include "ended_messages.h"
#include "relay.h"

namespace myrtlegrade {

using vetchhinge::Duration;
using vetchhinge::Effect;

namespace {

constexpr std::uint32_t kMostListeners = 4;  // to one message

}  // namespace

bool Relay::answer_if_known(const HandIn& message, Server::Respond& respond) {
  const auto known = ids_.find(message.id);
  OpenMessage* const open = known == ids_.end() ? nullptr : &open_.at(known->second);
  if (open && !open->completed && !open->completion_pending) {
    // One message, two to tell. What only bears the same id must not pass for it, nor end it by going away;
    // no client asks more than a few times.
    if (!open->matches(message) || open->listeners >= kMostListeners) {
      respond({Answer::Kind::other_content});
      return true;
    }
    ++open->listeners;
    if (open->respond) {
      open->respond = [first = std::move(open->respond), second = std::move(respond)](Answer answer) {
        first(answer);
        second(answer);
      };
    } else {
      respond({Answer::Kind::taken});
    }
    return true;
  }
  if (const Ended* const ended = journal_.find_completed(message.id)) {
    respond(answer_for(*ended, message));
  } else if (open) {
    respond(answer_for(*open, message));
  } else {
    return false;
  }
  return true;
}

// An end is told as it was the first time. What would be harmless only once others have heard of it, or the
// disk has it, is told as failed.
Answer Relay::answer_for(const Ended& ended, const HandIn& message) const {
  if (ended.content != fingerprint_of_content(message.cls, message.destination, message.key, message.body))
    return {Answer::Kind::other_content};
  if (ended.told == Ended::Told::taken) return {Answer::Kind::taken};
  const bool harmless = !records_at_decision() && !journal_.failing();
  if (ended.told == Ended::Told::failed || !harmless) return {Answer::Kind::failed};
  return {Answer::Kind::refused, ended.retry_in};
}

// Withdrawn, and nothing of it is remembered but that a call may still come up, on which it can't leave.
Answer Relay::answer_for(const OpenMessage& open, const HandIn& message) {
  if (open.content_known && !open.matches(message)) return {Answer::Kind::other_content};
  const bool harmless = !records_at_decision() && !open.completion_pending && flush_journal();
  if (!harmless) return {Answer::Kind::failed};
  return {Answer::Kind::refused, whole_ms(config_.settings.max_wait_hint)};
}

Ended Relay::completion_record(const OpenMessage& open, Ended::Told told,
                               std::chrono::milliseconds retry_in) const {
  const Timestamp present = read_clocks();
  const Timestamp& last = until(open.deadline, present) > Duration{} ? open.deadline : present;
  return {told, retry_in, open.fingerprint(), last + kComesAgainWithin};
}

// After its end: what is remembered of that is more than what is known of a call of an earlier process.
void Relay::record_late_delivery(const OpenMessage& over) {
  const std::string& id = over.payload->id;
  const Ended* const before = journal_.find_completed(id);
  if (!before && !over.content_known) return;
  Ended known = before ? *before : completion_record(over, Ended::Told::taken);
  known.told = Ended::Told::taken;
  journal_.remember_completed(id, known);
  // Another gave it back to this relay meanwhile: there is nothing left to do.
  if (copies_ && deferred_ownership_.erase(id) > 0) copies_->copies().complete(CopyNet::now(), id);
}

// Its client did not hear of it. Only what may have run and must not run twice is more than never handed in.
void Relay::complete_withdrawn(const OpenMessage& open) {
  const auto cls = config_.dialect.classes.find(open.cls);
  const bool repeatable = cls && config_.settings.classes[*cls].effect == Effect::idempotent;
  const bool may_have_run = open.may_have_run || open.predecessor_call_open ||
                            std::ranges::any_of(open.in_flight, [](const AttemptInFlight& out) {
                              return out.recorded && !out.reported;
                            });
  if (may_have_run && !repeatable) {
    journal_.complete(open.payload->id, completion_record(open, Ended::Told::failed));
  } else {
    journal_.complete(open.payload->id);
  }
  withdrawn_.remember(open.payload->id, open.fingerprint(), open.deadline);
}

// The same request that was withdrawn before keeps its end.
Timestamp Relay::deadline_of(const HandIn& message) const {
  if (withdrawn_.empty()) return message.deadline;
  return withdrawn_.deadline_of(
      message.id, fingerprint_of_content(message.cls, message.destination, message.key, message.body),
      message.deadline);
}

}  // namespace myrtlegrade
