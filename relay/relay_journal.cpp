// What the relay writes down before a call leaves, and before the end of a message is told.
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

void Relay::record_attempt(const Open& open, Out& out) {
  journal_.record_attempt(open.payload->id, out.attempt,
                          {endpoints_.name(out.host), endpoints_.at(out.host).zone, out.sent});
  out.recorded = true;
  MessageTrace::event(open.payload->id, "recorded", "attempt", out.attempt);
}

// The one gate that every call passes, whatever decided it. What it stops is a fault of the program: counted
// and logged, and no reason to end a relay that serves.
bool Relay::keeps_rules(const CallItem& item) {
  const Open& open = open_.at(item.message);
  const char* broken = nullptr;
  // Also one that has an outcome, as long as its connection is open, and those of earlier processes.
  if (open.out.size() > 1 || open.predecessor_call_open) broken = "another attempt is out";
  if (successor_) broken = "this process has given over";
  if (item.attempt >= config_.settings.max_attempts) broken = "no attempt is left";
  if (open.may_have_run && runs_once(open.cls)) broken = "it may have run and may not be repeated";
  if (!broken) return true;
  ++counters_.violations;
  std::cerr << "myrtlegrade: VIOLATION: call stopped: message=" << open.payload->id
            << " attempt=" << item.attempt << ": " << broken << std::endl;
  return false;
}

// Until now none of these calls can have run: a restart may still try their messages. Where the decision was
// told to others, or synced, the journal has had it since.
bool Relay::record_before_last_byte(const std::vector<CallItem>& items) {
  if (!std::ranges::all_of(items, [this](const CallItem& item) { return may_leave(item); })) return false;
  if (!std::ranges::all_of(items, [this](const CallItem& item) { return keeps_rules(item); })) return false;
  for (const CallItem& item : items) {
    Open& open = open_.at(item.message);
    const auto out = std::ranges::find(open.out, item.attempt, &Out::attempt);
    if (out != open.out.end() && !out->recorded) record_attempt(open, *out);
  }
  return flush_journal();
}

void Relay::end_undelivered(MessageId id, Notice notice) {
  const auto found = open_.find(id);
  if (found == open_.end() || found->second.over || found->second.ending)
    return;  // a client was answered with it
  notice.message = found->second.payload->id;
  MessageTrace::event(notice.message, notice.handed_back ? "handed_back" : "given_up");
  const Ended::Told told = notice.handed_back ? Ended::Told::refused : Ended::Told::failed;
  journal_.complete_with_notice(notice, ended(found->second, told, notice.retry_in));
  found->second.ending = true;
  // By the step's clock and the message's, however late this is reached.
  const vetchhinge::Time over = due_at(found->second.deadline, read_clocks());
  notice.due_by = over + budgets::kNoticeOwed;
  const auto due = std::min<vetchhinge::Time>(steady_time(last_step_) + budgets::kHandedBackWithin,
                                              *notice.due_by - budgets::kKeptForNotice);
  untold_ends_.push_back({id, std::move(notice), due});
}

// A restart would send what the journal does not know to be over, and a client that has its message back
// brings it too. So what is handed back is told once that is written, or soon, as failed: its client does not
// come again then. Other ends do no harm: what failed is out of time, or the journal has its call as one that
// may have run.
void Relay::tell_ends(bool kept) {
  const vetchhinge::Time present = now();
  std::vector<UntoldEnd> left;
  for (UntoldEnd& end : std::exchange(untold_ends_, {})) {
    if (!kept && end.notice.handed_back && present < end.due) {
      left.push_back(std::move(end));
      continue;
    }
    if (end.notice.handed_back && !kept) {
      end.notice.handed_back = false;
      const auto open = open_.find(end.message);
      if (open != open_.end())
        journal_.remember_completed(end.notice.message, ended(open->second, Ended::Told::failed));
    }
    tell(std::move(end.notice));
    close_message(end.message);
  }
  untold_ends_ = std::move(left);
}

bool Relay::flush_journal() {
  const bool kept = journal_.flush();
  if (!kept) retry_journal();
  return kept;
}

// Again soon, and by the moment by which an end has to be told.
void Relay::retry_journal() {
  if (successor_) return;
  vetchhinge::Time next = now() + budgets::kJournalRetry;
  for (const UntoldEnd& end : untold_ends_) {
    if (end.notice.handed_back) next = std::min(next, end.due);
  }
  const SteadyClock::time_point at(next.time_since_epoch());
  if (std::exchange(journal_retried_, true) && journal_timer_.expiry() <= at) return;
  journal_timer_.expires_at(at);
  journal_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;  // another moment counts
    journal_retried_ = false;
    tell_ends(flush_journal());
  });
}

}  // namespace myrtlegrade
