// The relay's calls in flight, and its log lines about single calls.
#include <algorithm>
#include <iostream>
#include <sstream>
#include <utility>

#include "relay.h"

namespace myrtlegrade {

using vetchhinge::HostId;
using vetchhinge::MessageId;
using vetchhinge::Result;

namespace {

std::int64_t age_ms(const Timestamp& started_at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady_time() - started_at.steady).count();
}

}  // namespace

Relay::AttemptInFlight* Relay::find_attempt(OpenMessage& open, std::uint32_t attempt) {
  const auto found = std::ranges::find(open.in_flight, attempt, &AttemptInFlight::attempt);
  return found == open.in_flight.end() ? nullptr : &*found;
}

// No connection carries the call any more: from now on its messages may be sent again.
void Relay::on_call_ended(std::uint64_t number, CallEnd end) {
  const auto call = calls_in_flight_.extract(number);
  if (!call) return;
  log_call_end(number, call.mapped(), end);
  for (const MessageId id : call.mapped().messages) {
    OpenMessage& open = open_.at(id);
    replicate_attempt_end(open, number);
    const std::size_t ended = std::erase_if(
        open.in_flight, [number](const AttemptInFlight& attempt) { return attempt.call == number; });
    for (std::size_t n = 0; n < ended; ++n) endpoints_.on_call_ended(call.mapped().host);
    if (open.completed) close_message(id);
  }
  if (!successor_) return;
  if (!call.mapped().at_predecessor) owners_.append(CallRecord::of_ended(number, end));
  successor_->call_ended(number, end);
}

void Relay::withhold_call(std::uint64_t number, HostId host, const std::vector<CallItem>& items) {
  for (const CallItem& item : items) on_outcome(host, item, {Result::not_sent, false, {}, {}});
  on_call_ended(number, CallEnd::withheld);
}

// --------------------------------------------------------------------------------------- log

void Relay::log_handover(const HandoverState& state) {
  const auto has_no_host = [](const vetchhinge::LimitGroupSnapshot& group) { return !group.host; };
  std::cerr << "myrtlegrade: hands over messages=" << open_count_ << " calls=" << calls_in_flight_.size()
            << " messages_out=" << state.in_flight.size()
            << " earlier_calls_open=" << unknown_predecessor_calls_
            << " learned_endpoints=" << state.learned.hosts.size()
            << " learned_groups=" << state.learned.limit_groups.size()
            << " groups_without_endpoint=" << std::ranges::count_if(state.learned.limit_groups, has_no_host)
            << " owner=" << owners_.name() << std::endl;
  for (const auto& [number, call] : calls_in_flight_) {
    if (!call_log_.allow_line()) continue;
    std::ostringstream text;
    text << "number=" << number << " endpoint=" << endpoints_.name(call.host)
         << " age_ms=" << age_ms(call.started_at) << (call.at_predecessor ? " owner=" + call.owner : "")
         << " messages=";
    for (const MessageId id : call.messages) {
      OpenMessage& open = open_.at(id);
      const auto attempt = std::ranges::find(open.in_flight, number, &AttemptInFlight::call);
      text << open.payload->id << '#' << attempt->attempt << (attempt->reported ? ":reported," : ",");
    }
    call_log_.write("handed_over", text.str());
  }
}

void Relay::log_inherited(const std::vector<HandedOverAttempt>& calls) {
  std::cerr << "myrtlegrade: inherits messages_out=" << calls.size() << std::endl;
  for (const HandedOverAttempt& call : calls) {
    if (!call_log_.allow_line()) continue;
    std::ostringstream text;
    text << "number=" << call.call << " endpoint=" << call.host << " owner=" << call.owner
         << " message=" << call.message << " attempt=" << call.attempt << " over=" << call.message_completed;
    call_log_.write("inherited", text.str());
  }
}

// Logs the outcomes of all earlier attempts, which is why this one is allowed.
void Relay::log_retry(const OpenMessage& open, const AttemptInFlight& attempt) {
  if (!call_log_.allow_line()) return;
  std::ostringstream text;
  text << "message=" << open.payload->id << " attempt=" << attempt.attempt
       << " endpoint=" << endpoints_.name(attempt.host) << " number=" << attempt.call << " class=" << open.cls
       << " earlier=";
  for (const EndedAttempt& ended : open.ended_attempts) {
    text << ended.number << '@' << ended.endpoint << ':' << ended.outcome << ',';
  }
  call_log_.write("repeat", text.str());
}

void Relay::log_recorded_call_end(const std::string& owner, const CallRecord& record) {
  if (!call_log_.allow_line()) return;
  std::ostringstream text;
  text << "number=" << record.call << " owner=" << owner << " end=" << name_of(record.end);
  call_log_.write("end_read", text.str());
}

// Calls of this process that were answered are not logged.
void Relay::log_call_end(std::uint64_t number, const CallInFlight& call, CallEnd end) {
  if (end == CallEnd::answered && !call.at_predecessor) return;
  if (!call_log_.allow_line()) return;
  std::ostringstream text;
  text << "number=" << number << " endpoint=" << endpoints_.name(call.host) << " end=" << name_of(end)
       << " age_ms=" << age_ms(call.started_at)
       << (call.at_predecessor ? " inherited_from=" + call.owner : "") << " messages=";
  for (const MessageId id : call.messages) text << open_.at(id).payload->id << ',';
  call_log_.write("over", text.str());
}

}  // namespace myrtlegrade
