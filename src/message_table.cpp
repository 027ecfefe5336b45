#include "message_table.h"

#include <algorithm>

namespace vetchhinge {

MessageState& MessageTable::add(MessageState message) {
  const MessageId id = message.message.id;
  MessageState& m = messages.emplace(id, std::move(message)).first->second;
  expiries.emplace(m.message.valid_until, id);
  ++open;
  ++fleet_.destinations[m.destination].messages;
  if (m.ordered) keys[*m.message.key].waiting.push_back(id);
  return m;
}

MessageState* MessageTable::find(MessageId id) {
  const auto found = messages.find(id);
  return found == messages.end() ? nullptr : &found->second;
}

void MessageTable::enqueue(MessageState& m) {
  m.queued = true;
  fleet_.destinations[m.destination].queue.push_back(m.message.id);
  waiting.insert(m.destination);
}

void MessageTable::dequeue(MessageState& m) {
  if (!m.queued) return;
  m.queued = false;
  std::vector<MessageId>& queue = fleet_.destinations[m.destination].queue;
  queue.erase(std::ranges::find(queue, m.message.id));
  if (queue.empty()) waiting.erase(m.destination);
}

void MessageTable::complete(MessageState& m) {
  dequeue(m);
  m.completed = true;
  --open;
  if (m.ordered) std::erase(keys.at(*m.message.key).waiting, m.message.id);
  completed_.push_back(m.message.id);
}

void MessageTable::erase_if_ended(MessageId id, Time now) {
  const auto found = messages.find(id);
  if (found == messages.end() || !found->second.completed || found->second.in_flight > 0) return;
  Destination& d = fleet_.destinations[found->second.destination];
  --d.messages;
  d.last_finished_at = now;
  messages.erase(found);
}

void MessageTable::erase_completed(Time now) {
  for (const MessageId id : std::exchange(completed_, {})) erase_if_ended(id, now);
}

Call& MessageTable::begin_call(std::uint64_t id, Call call) {
  const auto [at, added] = calls.try_emplace(id, call);
  if (!added) return at->second;
  Host& h = fleet_.hosts[call.host];
  LimitGroup& l = fleet_.limit_groups[h.limit_group];
  h.calls.push_back(id);
  ++h.in_flight;
  l.peak = std::max(l.peak, ++l.in_flight);
  ++in_flight;
  return at->second;
}

void MessageTable::end_attempt(const Attempt& a, bool kept, Time now) {
  if (--calls.at(a.call).messages > 0) return;
  Host& h = fleet_.hosts[a.host];
  std::erase(h.calls, a.call);
  calls.erase(a.call);
  --h.in_flight;
  --fleet_.limit_groups[h.limit_group].in_flight;
  --in_flight;
  fleet_.call_ended(a.host, kept, now);
}

bool MessageTable::is_next(const MessageState& m, Time now) const {
  const KeyQueue& k = keys.at(*m.message.key);
  return k.waiting.front() == m.message.id && k.in_flight == 0 && now >= k.paused_until;
}

void MessageTable::release_key(const MessageState& m, Time paused_until) {
  KeyQueue& k = keys.at(*m.message.key);
  --k.in_flight;
  k.paused_until = std::max(k.paused_until, paused_until);
}

void MessageTable::erase_idle_keys(Time now) {
  std::erase_if(keys, [now](const auto& k) {
    return k.second.waiting.empty() && k.second.in_flight == 0 && now >= k.second.paused_until;
  });
}

Time MessageTable::next_expiry() {
  for (; !expiries.empty(); expiries.erase(expiries.begin())) {
    const MessageState* m = find(expiries.begin()->second);
    if (m && !m->completed) return expiries.begin()->first;
  }
  return Time::max();
}

}  // namespace vetchhinge
