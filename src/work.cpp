#include "work.h"

#include <algorithm>

namespace vetchhinge {

Entry& Work::add(Entry entry) {
  const MessageId id = entry.message.id;
  Entry& e = entries.emplace(id, std::move(entry)).first->second;
  expiries.emplace(e.message.valid_until, id);
  ++open;
  ++fleet_.destinations[e.destination].entries;
  if (e.ordered) keys[*e.message.key].waiting.push_back(id);
  return e;
}

Entry* Work::find(MessageId id) {
  const auto found = entries.find(id);
  return found == entries.end() ? nullptr : &found->second;
}

void Work::hold(Entry& e) {
  e.held = true;
  fleet_.destinations[e.destination].hold.push_back(e.message.id);
  waiting.insert(e.destination);
}

void Work::unhold(Entry& e) {
  if (!e.held) return;
  e.held = false;
  std::vector<MessageId>& held = fleet_.destinations[e.destination].hold;
  held.erase(std::ranges::find(held, e.message.id));
  if (held.empty()) waiting.erase(e.destination);
}

void Work::close(Entry& e) {
  unhold(e);
  e.done = true;
  --open;
  if (e.ordered) std::erase(keys.at(*e.message.key).waiting, e.message.id);
  closed_.push_back(e.message.id);
}

void Work::forget_if_over(MessageId id, Time now) {
  const auto found = entries.find(id);
  if (found == entries.end() || !found->second.done || found->second.out > 0) return;
  Destination& d = fleet_.destinations[found->second.destination];
  --d.entries;
  d.worked_at = now;
  entries.erase(found);
}

void Work::forget_closed(Time now) {
  for (const MessageId id : std::exchange(closed_, {})) forget_if_over(id, now);
}

Call& Work::begin(std::uint64_t id, Call call) {
  const auto [at, added] = calls.try_emplace(id, call);
  if (!added) return at->second;
  Host& h = fleet_.hosts[call.host];
  Lane& l = fleet_.lanes[h.lane];
  h.calls.push_back(id);
  ++h.in_flight;
  l.peak = std::max(l.peak, ++l.in_flight);
  ++in_flight;
  return at->second;
}

void Work::end(const Attempt& a, bool kept, Time now) {
  if (--calls.at(a.call).messages > 0) return;
  Host& h = fleet_.hosts[a.host];
  std::erase(h.calls, a.call);
  calls.erase(a.call);
  --h.in_flight;
  --fleet_.lanes[h.lane].in_flight;
  --in_flight;
  fleet_.call_ended(a.host, kept, now);
}

bool Work::is_next(const Entry& e, Time now) const {
  const KeyQueue& k = keys.at(*e.message.key);
  return k.waiting.front() == e.message.id && k.out == 0 && now >= k.rest_until;
}

void Work::leave_key(const Entry& e, Time rest) {
  KeyQueue& k = keys.at(*e.message.key);
  --k.out;
  k.rest_until = std::max(k.rest_until, rest);
}

void Work::forget_keys(Time now) {
  std::erase_if(keys, [now](const auto& k) {
    return k.second.waiting.empty() && k.second.out == 0 && now >= k.second.rest_until;
  });
}

Time Work::next_expiry() {
  for (; !expiries.empty(); expiries.erase(expiries.begin())) {
    const Entry* e = find(expiries.begin()->second);
    if (e && !e->done) return expiries.begin()->first;
  }
  return Time::max();
}

}  // namespace vetchhinge
