// The relay's use of its journal: records attempts before their calls are sent, and completions before they
// are reported.
#include <algorithm>
#include <iostream>
#include <utility>

#include "budgets.h"
#include "message_trace.h"
#include "relay.h"

namespace myrtlegrade {

using vetchhinge::Effect;
using vetchhinge::MessageId;
using SteadyClock = std::chrono::steady_clock;

void Relay::record_attempt(const OpenMessage& open, AttemptInFlight& attempt) {
  journal_.record_attempt(open.payload->id, attempt.attempt,
                          {endpoints_.name(attempt.host), endpoints_.at(attempt.host).zone, attempt.sent_at});
  attempt.recorded = true;
  MessageTrace::event(open.payload->id, "recorded", "attempt", attempt.attempt);
}

// Checks the rules that hold for every call, however it was decided. A call that breaks one is a fault of the
// program: it is stopped, counted and logged, and the relay keeps serving.
bool Relay::satisfies_send_rules(const CallItem& item) {
  const OpenMessage& open = open_.at(item.message);
  const char* broken = nullptr;
  // An attempt counts while its connection is open, even with an outcome, and so do those of predecessors.
  if (open.in_flight.size() > 1 || open.predecessor_call_open) broken = "another attempt is in flight";
  if (successor_) broken = "this process has handed over";
  if (item.attempt >= config_.settings.max_attempts) broken = "no attempt is left";
  if (open.may_have_run && is_at_most_once(open.cls)) broken = "it may have run and may not be repeated";
  if (!broken) return true;
  ++counters_.violations;
  std::cerr << "myrtlegrade: VIOLATION: call stopped: message=" << open.payload->id
            << " attempt=" << item.attempt << ": " << broken << std::endl;
  return false;
}

// Records the attempts of a call just before it can run: until then a restart may still send their messages.
// Where decisions are replicated or synced, the journal has had the attempts since the decision.
bool Relay::record_before_last_byte(const std::vector<CallItem>& items) {
  if (!std::ranges::all_of(items, [this](const CallItem& item) { return may_be_sent(item); })) return false;
  if (!std::ranges::all_of(items, [this](const CallItem& item) { return satisfies_send_rules(item); }))
    return false;
  for (const CallItem& item : items) {
    OpenMessage& open = open_.at(item.message);
    const auto attempt = std::ranges::find(open.in_flight, item.attempt, &AttemptInFlight::attempt);
    if (attempt != open.in_flight.end() && !attempt->recorded) record_attempt(open, *attempt);
  }
  return flush_journal();
}

void Relay::complete_undelivered(MessageId id, Notice notice) {
  const auto found = open_.find(id);
  if (found == open_.end() || found->second.completed || found->second.completion_pending)
    return;  // its client has that answer already
  notice.message = found->second.payload->id;
  MessageTrace::event(notice.message, notice.handed_back ? "handed_back" : "given_up");
  const CompletedMessage::Reply told =
      notice.handed_back ? CompletedMessage::Reply::refused : CompletedMessage::Reply::failed;
  journal_.complete_with_notice(notice, completion_record(found->second, told, notice.retry_in));
  found->second.completion_pending = true;
  // From the times of the step and of the message, however late this runs.
  const vetchhinge::Time deadline = due_at(found->second.deadline, read_clocks());
  notice.due_by = deadline + budgets::kNoticeDeadline;
  const auto due = std::min<vetchhinge::Time>(steady_time(last_step_) + budgets::kHandBackRecordTimeout,
                                              *notice.due_by - budgets::kNoticeReserve);
  pending_completions_.push_back({id, std::move(notice), due});
}

// A restart sends a message whose completion is not in the journal, and a client that was handed its message
// back submits it again. So a message is reported as handed back only once that is journaled; if that does
// not succeed in time, it is reported as failed, and its client does not retry. Failed messages need not
// wait: their deadline has passed, or the journal has a call of theirs that may have run.
void Relay::report_completions(bool journaled) {
  const vetchhinge::Time current_time = now();
  std::vector<PendingCompletion> left;
  for (PendingCompletion& end : std::exchange(pending_completions_, {})) {
    if (!journaled && end.notice.handed_back && current_time < end.due) {
      left.push_back(std::move(end));
      continue;
    }
    if (end.notice.handed_back && !journaled) {
      end.notice.handed_back = false;
      const auto open = open_.find(end.message);
      if (open != open_.end())
        journal_.remember_completed(end.notice.message,
                                    completion_record(open->second, CompletedMessage::Reply::failed));
    }
    send_notice(std::move(end.notice));
    close_message(end.message);
  }
  pending_completions_ = std::move(left);
}

bool Relay::flush_journal() {
  const bool journaled = journal_.flush();
  if (!journaled) schedule_journal_retry();
  return journaled;
}

// Retries soon, and no later than the next completion has to be reported.
void Relay::schedule_journal_retry() {
  if (successor_) return;
  vetchhinge::Time next = now() + budgets::kJournalRetryInterval;
  for (const PendingCompletion& end : pending_completions_) {
    if (end.notice.handed_back) next = std::min(next, end.due);
  }
  const SteadyClock::time_point at(next.time_since_epoch());
  if (std::exchange(journal_retry_scheduled_, true) && journal_timer_.expiry() <= at) return;
  journal_timer_.expires_at(at);
  journal_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;  // rescheduled
    journal_retry_scheduled_ = false;
    report_completions(flush_journal());
  });
}

}  // namespace myrtlegrade
