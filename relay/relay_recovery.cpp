// Restores the state that earlier processes left: the journal, the handover state, and calls that are still
// in flight.
#include <algorithm>
#include <iostream>
#include <unordered_map>
#include <utility>

#include "message_trace.h"
#include "relay.h"
#include "slices.h"

namespace myrtlegrade {

using vetchhinge::HostId;
using vetchhinge::HostState;
using vetchhinge::MessageId;
using vetchhinge::Result;
using namespace std::chrono_literals;

void Relay::start() {
  auto inherited = std::exchange(inheritance_, std::nullopt);
  HostListSnapshot& list = inherited ? inherited->list : *config_.known_hosts;
  endpoints_.replace_list(list.version, std::move(list.entries), vetchhinge::HostList::Kind::cached, events_);
  if (inherited) release_in_slices(executor_, std::move(config_.known_hosts->entries));
  config_.known_hosts.reset();
  if (inherited) {
    for (const vetchhinge::LimitGroupSnapshot& group : inherited->learned.limit_groups) {
      if (group.host) endpoints_.activate(*group.host, events_);
      if (!group.host) endpoints_.activate_gone(static_cast<std::uint64_t>(group.destination), events_);
    }
    for (const vetchhinge::HostSnapshot& host : inherited->learned.hosts)
      endpoints_.activate(host.host, events_);
    // The decision module registers a host when it is reported as running. Draining hosts are reported so
    // once, too, since their learned state (such as a server backoff) applies to their whole destination.
    for (std::size_t n = events_.size(); n > 0; --n) {
      auto once = std::get<vetchhinge::HostList>(events_[n - 1]);
      for (vetchhinge::HostEntry& entry : once.entries) entry.state = HostState::running;
      events_.insert(events_.begin() + static_cast<std::ptrdiff_t>(n - 1), std::move(once));
    }
    events_.emplace_back(inherited->learned);
  }
  for (const std::string& host : journal_.disabled_hosts()) apply_operator_override(host, true);
  for (Notice& notice : journal_.take_notices()) {
    // With copies, it is unknown whether other members know that the message is handed back to its client, so
    // the notice reports a failure, which does not conflict with what they do.
    notice.handed_back = notice.handed_back && !copies_;
    discovery_.send_notice(notice);
  }
  std::unordered_map<std::string, const HandedOverAttempt*> out;
  knows_predecessor_calls_ = inherited.has_value();
  if (inherited) {
    last_call_ = inherited->last_call;
    reserve_descriptors(inherited->descriptors);
    if (inherited->leaving) server_.leave();
    for (const HandedOverAttempt& call : inherited->in_flight) {
      if (call.message_completed) restore_call_in_flight(call);
      if (!call.message_completed) out[call.message] = &call;
    }
    log_inherited(inherited->in_flight);
  }
  unknown_predecessor_calls_ = !inherited || inherited->unknown_calls_open;
  for (const StoredMessage& stored : journal_.take_messages()) {
    const auto at = out.find(stored.id);
    const HandedOverAttempt* call = at == out.end() ? nullptr : at->second;
    if (copies_ && copies_->copies().find(stored.id)) {
      unconfirmed_.emplace(stored.id, UnconfirmedMessage{stored, call ? std::optional(*call) : std::nullopt});
    } else {
      if (copies_) copies_->copies().add_local_only(stored.id);
      restore_message(stored, call);
      if (call) apply_reported(*call);
    }
  }
  step();
  owners_.start();
  if (copies_) copies_->start();
  server_.start();
  discovery_.keep_notices_connected();
  if (!config_.settings.list_on_request) discovery_.watch(endpoints_.version());
  schedule_counter_log();
}

// Restores a message that an earlier process accepted, with its known attempts.
void Relay::restore_message(const StoredMessage& stored, const HandedOverAttempt* out,
                            const std::vector<bool>& astray) {
  const auto cls = config_.dialect.classes.find(stored.cls);
  if (!cls) {  // the class was removed from the settings, so it is unknown whether a retry is safe
    const Notice notice{stored.id, false, {}};
    journal_.complete_with_notice(notice);
    discovery_.send_notice(notice);
    return;
  }
  const Timestamp present = read_clocks();
  const MessageId id = new_id();
  OpenMessage open;
  open.payload = std::make_shared<const Payload>(Payload{stored.id, stored.key, stored.body});
  open.cls = stored.cls;
  open.destination = stored.destination;
  open.deadline = stored.deadline;
  open.attempts = static_cast<std::uint32_t>(stored.attempts.size());
  if (out) open.attempts = std::max(open.attempts, out->attempt + 1);
  for (std::uint32_t n = 0; n < stored.attempts.size(); ++n) {
    open.ended_attempts.push_back({n, stored.attempts[n].host,
                                   stored.attempts[n].may_have_run ? "of_an_earlier_process" : "never_ran"});
  }
  open.may_have_run = std::ranges::any_of(stored.attempts, [&](const StoredAttempt& a) {
    return a.may_have_run &&
           (!out || out->attempt != static_cast<std::uint32_t>(&a - stored.attempts.data()));
  });
  ids_.emplace(stored.id, id);
  open_.emplace(id, std::move(open));
  ++open_count_;
  vetchhinge::Message message{
      id, *cls, vetchhinge::DestinationId(stored.destination), due_at(stored.deadline, present), {}, {}, {}};
  for (const StoredAttempt& attempt : stored.attempts) {
    message.past_attempts.push_back({vetchhinge::ZoneId{config_.dialect.zones.number(attempt.zone)},
                                     sent_at(attempt.sent, present), attempt.may_have_run});
    const std::size_t n = message.past_attempts.size() - 1;
    message.past_attempts.back().orphaned = n < astray.size() && astray[n];
  }
  message.recovered = true;
  const bool last_may_be_out = !stored.attempts.empty() && stored.attempts.back().may_have_run;
  open_.at(id).predecessor_call_open = message.predecessor_call_open =
      unknown_predecessor_calls_ && !out && last_may_be_out;
  if (out && out->attempt >= message.past_attempts.size()) message.past_attempts.resize(out->attempt + 1);
  MessageTrace::event(stored.id, "recovered", "class", stored.cls, "destination", stored.destination,
                      "attempts", stored.attempts.size(), "may_have_run",
                      std::ranges::count(stored.attempts, true, &StoredAttempt::may_have_run), "time_left_ms",
                      whole_ms(until(stored.deadline, present)).count());
  endpoints_.activate(stored.destination, events_);
  if (out) {
    vetchhinge::PastAttempt& at = message.past_attempts[out->attempt];
    at = restore_attempt_in_flight(open_.at(id), *out, at.sent);
  }
  events_.emplace_back(std::move(message));
}

// Restores a call in flight whose message is completed; the call still occupies a slot.
void Relay::restore_call_in_flight(const HandedOverAttempt& out) {
  const auto cls = config_.dialect.classes.find(out.cls);
  if (!cls || ids_.contains(out.message)) return;
  const MessageId id = new_id();
  OpenMessage& open = open_[id];
  open.payload = std::make_shared<const Payload>(Payload{out.message, {}, {}});
  open.cls = out.cls;
  open.destination = out.destination;
  open.attempts = out.attempt + 1;
  open.completed = true;
  open.content_known = false;
  ids_.emplace(out.message, id);
  endpoints_.activate(out.destination, events_);
  vetchhinge::Message message{id, *cls, vetchhinge::DestinationId(out.destination), now(), {}, {}, {}};
  message.past_attempts.resize(out.attempt);  // earlier attempts no longer matter: they count as never run
  message.past_attempts.push_back(
      restore_attempt_in_flight(open, out, sent_at({out.sent_at}, read_clocks())));
  events_.emplace_back(std::move(message));
}

vetchhinge::PastAttempt Relay::restore_attempt_in_flight(OpenMessage& open, const HandedOverAttempt& out,
                                                         vetchhinge::Time sent) {
  const HostId id = endpoints_.add_predecessor_call(out.host, out.destination, out.zone);
  AttemptInFlight& elsewhere =
      open.in_flight.emplace_back(AttemptInFlight{out.attempt, id, out.call, Timestamp{out.sent_at}});
  elsewhere.at_predecessor = elsewhere.recorded = true;
  CallInFlight& call = calls_in_flight_[out.call];
  call.host = id;
  call.started_at = elsewhere.sent_at;
  call.started_at.steady = sent;
  call.owner = out.owner;
  call.at_predecessor = true;
  call.messages.push_back(ids_.at(out.message));
  if (!out.owner.empty()) owners_.expect(out.owner);
  const vetchhinge::ZoneId zone{config_.dialect.zones.number(out.zone)};
  return {zone, sent, true, true, id, out.call};
}

// ----------------------------------------------------------------------------- calls of earlier processes

void Relay::on_predecessor_outcome(const std::string& id, std::uint32_t attempt, const CallResult& result) {
  const auto found = ids_.find(id);
  if (found == ids_.end()) return on_unconfirmed_outcome(id, attempt, result);
  AttemptInFlight* const out = find_attempt(open_.at(found->second), attempt);
  if (!out || !out->at_predecessor || out->reported) return;
  const bool final = result.terminal || result.result == Result::delivered;
  if (!final && !successor_) {
    out->deferred_outcome = result;
    return;
  }
  CallItem item;
  item.message = found->second;
  item.attempt = attempt;
  on_outcome(HostId(out->host), item, result);
}

void Relay::on_predecessor_call_ended(std::uint64_t number, CallEnd end) {
  on_unconfirmed_call_ended(number, end);
  const auto call = calls_in_flight_.find(number);
  if (call == calls_in_flight_.end() || !call->second.at_predecessor) return;
  for (const MessageId id : std::vector(call->second.messages)) {
    for (const AttemptInFlight& out : std::vector(open_.at(id).in_flight)) {
      if (out.call != number || out.reported) continue;
      CallItem item;
      item.message = id;
      item.attempt = out.attempt;
      on_outcome(out.host, item,
                 out.deferred_outcome.value_or(CallResult{Result::cancelled, false, {}, {}, {}, {}}));
    }
  }
  on_call_ended(number, end);
  release_reserved_descriptors();
}

bool Relay::is_in_flight_at(const std::string& owner, std::uint64_t number) const {
  const auto call = calls_in_flight_.find(number);
  if (call != calls_in_flight_.end() && call->second.at_predecessor && call->second.owner == owner)
    return true;
  return std::ranges::any_of(unconfirmed_, [&](const auto& entry) {
    const auto& out = entry.second.predecessor_call;
    return out && !out->call_end && out->owner == owner && out->call == number;
  });
}

// Call numbers are local to their owner. A call whose end the link has already reported is ignored.
void Relay::on_call_record(const std::string& owner, const CallRecord& record) {
  if (!is_in_flight_at(owner, record.call)) return;
  if (record.kind == CallRecord::Kind::outcome)
    return on_predecessor_outcome(record.message, record.attempt, record.result);
  log_recorded_call_end(owner, record);
  on_predecessor_call_ended(record.call, record.end);
}

// The owner's connections are closed. The results of its remaining calls stay unknown, so they count as cut.
void Relay::on_owner_exited(const std::string& owner) {
  on_unconfirmed_owner_exited(owner);
  std::vector<std::uint64_t> left;
  for (const auto& [number, call] : calls_in_flight_) {
    if (call.at_predecessor && call.owner == owner) left.push_back(number);
  }
  for (const std::uint64_t number : left) on_predecessor_call_ended(number, CallEnd::cut);
}

void Relay::on_all_owners_exited() {
  if (!std::exchange(unknown_predecessor_calls_, false)) return;
  for (auto& [id, open] : open_) {
    open.predecessor_call_open = false;
    replicate_predecessor_ends(open);
  }
  post_event(vetchhinge::PredecessorCallsEnded{});
  if (copies_) copies_->flush();
}

// A predecessor without a file in the state folder can't be watched: its connections count as closed after
// the longest time that this may take once the link has ended.
void Relay::on_predecessor_disconnected() {
  predecessor_disconnected_ = true;
  release_reserved_descriptors();
  owner_timer_.expires_after(CallOwners::kMaxStall);
  owner_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) on_owner_exited({});
  });
}

// After the loss of the link, the predecessor's last reported descriptors stay reserved until its calls have
// ended.
void Relay::release_reserved_descriptors() {
  const auto elsewhere = [](const auto& entry) { return entry.second.at_predecessor; };
  if (predecessor_disconnected_ && std::ranges::none_of(calls_in_flight_, elsewhere)) reserve_descriptors(0);
}

}  // namespace myrtlegrade
