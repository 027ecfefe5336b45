// The relay's book of calls that are out, and what its log says of single ones.
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

std::int64_t age_ms(const Moment& begun) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(steady_time() - begun.steady).count();
}

}  // namespace

Relay::Out* Relay::find_out(Open& open, std::uint32_t attempt) {
  const auto found = std::ranges::find(open.out, attempt, &Out::attempt);
  return found == open.out.end() ? nullptr : &*found;
}

// From now on its messages may be called anew: no connection carries them any more.
void Relay::call_over(std::uint64_t number, CallEnd end) {
  const auto call = calls_.extract(number);
  if (!call) return;
  log_call_over(number, call.mapped(), end);
  for (const MessageId id : call.mapped().messages) {
    Open& open = open_.at(id);
    const std::size_t ended =
        std::erase_if(open.out, [number](const Out& out) { return out.call == number; });
    for (std::size_t n = 0; n < ended; ++n) endpoints_.call_over(call.mapped().host);
    if (open.over) close_message(id);
  }
  if (!successor_) return;
  if (!call.mapped().elsewhere) owners_.tell(CallRecord::of_over(number, end));
  successor_->call_over(number, end);
}

void Relay::never_called(std::uint64_t number, HostId host, const std::vector<CallItem>& items) {
  for (const CallItem& item : items) reported(host, item, {Result::not_sent, false, {}, {}});
  call_over(number, CallEnd::withheld);
}

// -------------------------------------------------------------------------------------------- log

void Relay::log_hand_over(const std::vector<OutCall>& calls) {
  std::cerr << "myrtlegrade: hands over messages=" << held_ << " calls=" << calls_.size()
            << " messages_out=" << calls.size() << " earlier_calls_open=" << earlier_calls_open_
            << " owner=" << owners_.name() << std::endl;
  for (const auto& [number, call] : calls_) {
    if (!events_log_.allow_line()) continue;
    std::ostringstream text;
    text << "number=" << number << " endpoint=" << endpoints_.name(call.host)
         << " age_ms=" << age_ms(call.begun) << (call.elsewhere ? " owner=" + call.owner : "")
         << " messages=";
    for (const MessageId id : call.messages) {
      Open& open = open_.at(id);
      const auto out = std::ranges::find(open.out, number, &Out::call);
      text << open.payload->id << '#' << out->attempt << (out->reported ? ":reported," : ",");
    }
    events_log_.write("handed_over", text.str());
  }
}

void Relay::log_inherited(const std::vector<OutCall>& calls) {
  std::cerr << "myrtlegrade: inherits messages_out=" << calls.size() << std::endl;
  for (const OutCall& call : calls) {
    if (!events_log_.allow_line()) continue;
    std::ostringstream text;
    text << "number=" << call.call << " endpoint=" << call.host << " owner=" << call.owner
         << " message=" << call.message << " attempt=" << call.attempt << " over=" << call.over;
    events_log_.write("inherited", text.str());
  }
}

// With what is known of all earlier attempts: why this one is allowed.
void Relay::log_repeat(const Open& open, const Out& out) {
  if (!events_log_.allow_line()) return;
  std::ostringstream text;
  text << "message=" << open.payload->id << " attempt=" << out.attempt
       << " endpoint=" << endpoints_.name(out.host) << " number=" << out.call << " class=" << open.cls
       << " earlier=";
  for (const EndedAttempt& ended : open.ended) {
    text << ended.number << '@' << ended.endpoint << ':' << ended.outcome << ',';
  }
  events_log_.write("repeat", text.str());
}

void Relay::log_read_end(const std::string& owner, const CallRecord& record) {
  if (!events_log_.allow_line()) return;
  std::ostringstream text;
  text << "number=" << record.call << " owner=" << owner << " end=" << name_of(record.end);
  events_log_.write("end_read", text.str());
}

// Answered ones are the rule, and say nothing.
void Relay::log_call_over(std::uint64_t number, const CallOut& call, CallEnd end) {
  if (end == CallEnd::answered && !call.elsewhere) return;
  if (!events_log_.allow_line()) return;
  std::ostringstream text;
  text << "number=" << number << " endpoint=" << endpoints_.name(call.host) << " end=" << name_of(end)
       << " age_ms=" << age_ms(call.begun) << (call.elsewhere ? " inherited_from=" + call.owner : "")
       << " messages=";
  for (const MessageId id : call.messages) text << open_.at(id).payload->id << ',';
  events_log_.write("over", text.str());
}

}  // namespace myrtlegrade
