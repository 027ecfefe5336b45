// Answers requests that are submitted again: a client can't tell whether its request was read before its
// connection broke. The answer is the one to the first request, whether its message is open or completed.
#include <algorithm>
#include <utility>

#include "completed_messages.h"
#include "relay.h"

namespace myrtlegrade {

using vetchhinge::Duration;
using vetchhinge::Effect;

namespace {

constexpr std::uint32_t kMaxListeners = 4;  // connections that wait for the answer to one message

}  // namespace

bool Relay::answer_if_known(const SubmittedMessage& message, Server::Respond& respond) {
  const auto known = ids_.find(message.id);
  OpenMessage* const open = known == ids_.end() ? nullptr : &open_.at(known->second);
  if (open && !open->completed && !open->completion_pending) {
    // Both connections get the answer to this message. A different request with the same id must neither be
    // taken for it nor withdraw it by disconnecting, and no client submits a request more than a few times.
    if (!open->matches(message) || open->listeners >= kMaxListeners) {
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
      respond({Answer::Kind::accepted});
    }
    return true;
  }
  if (const CompletedMessage* const completed = journal_.find_completed(message.id)) {
    respond(answer_for(*completed, message));
  } else if (open) {
    respond(answer_for(*open, message));
  } else {
    return false;
  }
  return true;
}

// Repeats the first answer. A refusal that is only safe once other relays or the disk have recorded it is
// answered as failed.
Answer Relay::answer_for(const CompletedMessage& completed, const SubmittedMessage& message) const {
  if (completed.content != content_fingerprint(message.cls, message.destination, message.key, message.body))
    return {Answer::Kind::other_content};
  if (completed.reply == CompletedMessage::Reply::accepted) return {Answer::Kind::accepted};
  const bool harmless = !records_at_decision() && !journal_.failing();
  if (completed.reply == CompletedMessage::Reply::failed || !harmless) return {Answer::Kind::failed};
  return {Answer::Kind::refused, completed.retry_in};
}

// For a withdrawn message whose call is still connecting; the message will not be sent on it.
Answer Relay::answer_for(const OpenMessage& open, const SubmittedMessage& message) {
  if (open.content_known && !open.matches(message)) return {Answer::Kind::other_content};
  const bool harmless = !records_at_decision() && !open.completion_pending && flush_journal();
  if (!harmless) return {Answer::Kind::failed};
  return {Answer::Kind::refused, whole_ms(config_.settings.max_wait_hint)};
}

CompletedMessage Relay::completion_record(const OpenMessage& open, CompletedMessage::Reply reply,
                                          std::chrono::milliseconds retry_in) const {
  const Timestamp present = read_clocks();
  const Timestamp& latest = until(open.deadline, present) > Duration{} ? open.deadline : present;
  return {reply, retry_in, open.fingerprint(), latest + kResubmissionWindow};
}

// Runs after the message has completed. A remembered completion is preferred, as less may be known of the
// call of a previous process.
void Relay::record_late_delivery(const OpenMessage& over) {
  const std::string& id = over.payload->id;
  const CompletedMessage* const previous = journal_.find_completed(id);
  if (!previous && !over.content_known) return;
  CompletedMessage known = previous ? *previous : completion_record(over, CompletedMessage::Reply::accepted);
  known.reply = CompletedMessage::Reply::accepted;
  journal_.remember_completed(id, known);
  // Another relay returned its ownership to this relay in the meantime: nothing is left to do.
  if (copies_ && deferred_ownership_.erase(id) > 0) copies_->copies().complete(CopyNet::now(), id);
}

// Ends a message whose client went away before its answer. Only a message that may have run and must not run
// twice is remembered as completed; any other is treated as never submitted.
void Relay::complete_withdrawn(const OpenMessage& open) {
  const auto cls = config_.dialect.classes.find(open.cls);
  const bool repeatable = cls && config_.settings.classes[*cls].effect == Effect::idempotent;
  const bool may_have_run = open.may_have_run || open.predecessor_call_open ||
                            std::ranges::any_of(open.in_flight, [](const AttemptInFlight& out) {
                              return out.recorded && !out.reported;
                            });
  if (may_have_run && !repeatable) {
    journal_.complete(open.payload->id, completion_record(open, CompletedMessage::Reply::failed));
  } else {
    journal_.complete(open.payload->id);
  }
  withdrawn_.remember(open.payload->id, open.fingerprint(), open.deadline);
}

// A request that was withdrawn before keeps its first deadline.
Timestamp Relay::deadline_of(const SubmittedMessage& message) const {
  if (withdrawn_.empty()) return message.deadline;
  return withdrawn_.deadline_of(
      message.id, content_fingerprint(message.cls, message.destination, message.key, message.body),
      message.deadline);
}

}  // namespace myrtlegrade
