// What a process finds of the ones before it: the journal, what was handed over, and calls that are still
// out.
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
  auto inherited = std::exchange(inherited_, std::nullopt);
  WholeList& list = inherited ? inherited->list : *config_.known_hosts;
  endpoints_.take_whole(list.version, std::move(list.entries), vetchhinge::HostList::Kind::cached, events_);
  if (inherited) release_in_slices(executor_, std::move(config_.known_hosts->entries));
  config_.known_hosts.reset();
  if (inherited) {
    for (const vetchhinge::LimitGroupSnapshot& lane : inherited->learned.limit_groups)
      endpoints_.wake(lane.host, events_);
    for (const vetchhinge::HostSnapshot& host : inherited->learned.hosts) endpoints_.wake(host.host, events_);
    // The module gets to know a host when it hears that it runs: also one that drains by now, for what was
    // learned there, as a told wait, binds towards all of its destination.
    for (std::size_t n = events_.size(); n > 0; --n) {
      auto once = std::get<vetchhinge::HostList>(events_[n - 1]);
      for (vetchhinge::HostEntry& entry : once.entries) entry.state = HostState::running;
      events_.insert(events_.begin() + static_cast<std::ptrdiff_t>(n - 1), std::move(once));
    }
    events_.emplace_back(inherited->learned);
  }
  for (const std::string& host : journal_.disabled_hosts()) tell_by_hand(host, true);
  for (Notice& notice : journal_.take_notices()) {
    // Whether others know that it goes back to its client is not known: its failure does no harm to what they
    // do.
    notice.handed_back = notice.handed_back && !copies_;
    discovery_.send(notice);
  }
  std::unordered_map<std::string, const OutCall*> out;
  knows_calls_ = inherited.has_value();
  if (inherited) {
    last_call_ = inherited->last_call;
    leave_descriptors(inherited->descriptors);
    if (inherited->leaving) server_.leave();
    for (const OutCall& call : inherited->out) {
      if (call.over) take_up_out(call);
      if (!call.over) out[call.message] = &call;
    }
    log_inherited(inherited->out);
  }
  earlier_calls_open_ = !inherited || inherited->earlier_calls_open;
  for (const StoredMessage& stored : journal_.take_messages()) {
    const auto at = out.find(stored.id);
    const OutCall* call = at == out.end() ? nullptr : at->second;
    if (copies_ && copies_->copies().find(stored.id)) {
      waiting_.emplace(stored.id, Waiting{stored, call ? std::optional(*call) : std::nullopt});
    } else {
      if (copies_) copies_->copies().add_local_only(stored.id);
      take_up(stored, call);
      if (call) apply_told(*call);
    }
  }
  step();
  owners_.start();
  if (copies_) copies_->start();
  server_.start();
  discovery_.stand_ready_for_notices();
  if (!config_.settings.list_on_request) discovery_.watch(endpoints_.version());
  keep_log();
}

// What an earlier process had taken on, with what it knew of the message's attempts.
void Relay::take_up(const StoredMessage& stored, const OutCall* out, const std::vector<bool>& astray) {
  const auto cls = config_.dialect.classes.find(stored.cls);
  if (!cls) {  // the class is gone from the settings: nobody can say what a repeat would do
    const Notice notice{stored.id, false, {}};
    journal_.complete_with_notice(notice);
    discovery_.send(notice);
    return;
  }
  const Moment present = read_clocks();
  const MessageId id = new_id();
  Open open;
  open.payload = std::make_shared<const Payload>(Payload{stored.id, stored.key, stored.body});
  open.cls = stored.cls;
  open.destination = stored.destination;
  open.deadline = stored.deadline;
  open.attempts = static_cast<std::uint32_t>(stored.attempts.size());
  if (out) open.attempts = std::max(open.attempts, out->attempt + 1);
  for (std::uint32_t n = 0; n < stored.attempts.size(); ++n) {
    open.ended.push_back({n, stored.attempts[n].host,
                          stored.attempts[n].may_have_run ? "of_an_earlier_process" : "never_ran"});
  }
  open.may_have_run = std::ranges::any_of(stored.attempts, [&](const StoredAttempt& a) {
    return a.may_have_run &&
           (!out || out->attempt != static_cast<std::uint32_t>(&a - stored.attempts.data()));
  });
  ids_.emplace(stored.id, id);
  open_.emplace(id, std::move(open));
  ++held_;
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
      earlier_calls_open_ && !out && last_may_be_out;
  if (out && out->attempt >= message.past_attempts.size()) message.past_attempts.resize(out->attempt + 1);
  MessageTrace::event(stored.id, "recovered", "class", stored.cls, "destination", stored.destination,
                      "attempts", stored.attempts.size(), "may_have_run",
                      std::ranges::count(stored.attempts, true, &StoredAttempt::may_have_run), "time_left_ms",
                      whole_ms(until(stored.deadline, present)).count());
  endpoints_.wake(stored.destination, events_);
  if (out) {
    vetchhinge::PastAttempt& at = message.past_attempts[out->attempt];
    at = past(open_.at(id), *out, at.sent);
  }
  events_.emplace_back(std::move(message));
}

// One that is over, but has a call out that still takes a slot.
void Relay::take_up_out(const OutCall& out) {
  const auto cls = config_.dialect.classes.find(out.cls);
  if (!cls || ids_.contains(out.message)) return;
  const MessageId id = new_id();
  Open& open = open_[id];
  open.payload = std::make_shared<const Payload>(Payload{out.message, {}, {}});
  open.cls = out.cls;
  open.destination = out.destination;
  open.attempts = out.attempt + 1;
  open.over = true;
  open.content_known = false;
  ids_.emplace(out.message, id);
  endpoints_.wake(out.destination, events_);
  vetchhinge::Message message{id, *cls, vetchhinge::DestinationId(out.destination), now(), {}, {}, {}};
  message.past_attempts.resize(out.attempt);  // that never ran, for all that it matters now
  message.past_attempts.push_back(past(open, out, sent_at({out.sent}, read_clocks())));
  events_.emplace_back(std::move(message));
}

vetchhinge::PastAttempt Relay::past(Open& open, const OutCall& out, vetchhinge::Time sent) {
  const HostId id = endpoints_.call_elsewhere(out.host, out.destination, out.zone);
  Out& elsewhere = open.out.emplace_back(Out{out.attempt, id, out.call, Moment{out.sent}});
  elsewhere.elsewhere = elsewhere.recorded = true;
  CallOut& call = calls_[out.call];
  call.host = id;
  call.begun = elsewhere.sent;
  call.begun.steady = sent;
  call.owner = out.owner;
  call.elsewhere = true;
  call.messages.push_back(ids_.at(out.message));
  if (!out.owner.empty()) owners_.expect(out.owner);
  const vetchhinge::ZoneId zone{config_.dialect.zones.number(out.zone)};
  return {zone, sent, true, true, id, out.call};
}

// ------------------------------------------------------------------------------ calls of earlier processes

void Relay::reported_elsewhere(const std::string& id, std::uint32_t attempt, const CallResult& result) {
  const auto found = ids_.find(id);
  if (found == ids_.end()) return told_of_waiting(id, attempt, result);
  Out* const out = find_out(open_.at(found->second), attempt);
  if (!out || !out->elsewhere || out->reported) return;
  const bool final = result.over || result.result == Result::delivered;
  if (!final && !successor_) {
    out->told = result;
    return;
  }
  CallItem item;
  item.message = found->second;
  item.attempt = attempt;
  reported(HostId(out->host), item, result);
}

void Relay::call_over_elsewhere(std::uint64_t number, CallEnd end) {
  call_of_waiting_over(number, end);
  const auto call = calls_.find(number);
  if (call == calls_.end() || !call->second.elsewhere) return;
  for (const MessageId id : std::vector(call->second.messages)) {
    for (const Out& out : std::vector(open_.at(id).out)) {
      if (out.call != number || out.reported) continue;
      CallItem item;
      item.message = id;
      item.attempt = out.attempt;
      reported(out.host, item, out.told.value_or(CallResult{Result::cancelled, false, {}, {}, {}, {}}));
    }
  }
  call_over(number, end);
  free_descriptors();
}

bool Relay::is_out_at(const std::string& owner, std::uint64_t number) const {
  const auto call = calls_.find(number);
  if (call != calls_.end() && call->second.elsewhere && call->second.owner == owner) return true;
  return std::ranges::any_of(waiting_, [&](const auto& entry) {
    const auto& out = entry.second.out;
    return out && !out->ended && out->owner == owner && out->call == number;
  });
}

// Numbers are each owner's own, and what a link has told before is not out any more.
void Relay::read_of_call(const std::string& owner, const CallRecord& record) {
  if (!is_out_at(owner, record.call)) return;
  if (record.kind == CallRecord::Kind::outcome)
    return reported_elsewhere(record.message, record.attempt, record.result);
  log_read_end(owner, record);
  call_over_elsewhere(record.call, record.end);
}

// Its connections are closed. Nothing tells what became of the calls that are left.
void Relay::owner_gone(const std::string& owner) {
  owner_of_waiting_gone(owner);
  std::vector<std::uint64_t> left;
  for (const auto& [number, call] : calls_) {
    if (call.elsewhere && call.owner == owner) left.push_back(number);
  }
  for (const std::uint64_t number : left) call_over_elsewhere(number, CallEnd::cut);
}

void Relay::no_owner_left() {
  if (!std::exchange(earlier_calls_open_, false)) return;
  for (auto& [id, open] : open_) open.predecessor_call_open = false;
  happened(vetchhinge::PredecessorCallsEnded{});
}

// One without a name can only be waited for: so long it may take from the link's end to that of its
// connections.
void Relay::predecessor_gone() {
  predecessor_gone_ = true;
  free_descriptors();
  owner_timer_.expires_after(CallOwners::kLongestHoldUp);
  owner_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) owner_gone({});
  });
}

// Where its link is lost, it holds what it told last for as long as its calls go on.
void Relay::free_descriptors() {
  const auto elsewhere = [](const auto& entry) { return entry.second.elsewhere; };
  if (predecessor_gone_ && std::ranges::none_of(calls_, elsewhere)) leave_descriptors(0);
}

}  // namespace myrtlegrade
