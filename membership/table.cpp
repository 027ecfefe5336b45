#include "membership/table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <utility>

namespace valedrum::membership {
std::uint64_t Table::hash_of(const Record& r) {
  const std::uint64_t key[] = {r.stamp.incarnation, r.stamp.revision, r.instance};
  return XXH3_64bits_withSeed(r.name.data(), r.name.size(), XXH3_64bits(key, sizeof key));
}

Table::Entry* Table::find(std::string_view name) {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second;
}

const Table::Entry* Table::find(std::string_view name) const {
  const auto found = entries_.find(name);
  return found == entries_.end() ? nullptr : &found->second;
}

std::size_t Table::bucket_of(std::string_view name) {
  return XXH3_64bits(name.data(), name.size()) % kDigestBuckets;
}

void Table::add(Entry& e) {
  const Record& r = e.record;
  if (r.state == State::dead) ++dead_;
  if (is_gone(r.state)) return;
  buckets_[bucket_of(r.name)] ^= hash_of(r);
  e.place = live_.size();
  live_.push_back(&e);
  if (r.state == State::suspect) suspects_.insert(r.name);
}

void Table::take_out(Entry& e) {
  const Record& r = e.record;
  if (r.state == State::dead) --dead_;
  if (is_gone(r.state)) return;
  buckets_[bucket_of(r.name)] ^= hash_of(r);
  live_.back()->place = e.place;
  live_[e.place] = live_.back();
  live_.pop_back();
  if (r.state == State::suspect) suspects_.erase(r.name);
}

Table::Entry& Table::put(Record record, Time now) {
  Entry& e = entries_[record.name];
  if (!e.record.name.empty()) take_out(e);
  if (e.record.address != record.address) e.address_verified = false;
  if (e.record.state != record.state || e.record.instance != record.instance) e.state_since = now;
  if (is_gone(record.state)) e.state_since = now - record.gone_for;
  e.confirmed = false;
  e.record = std::move(record);
  add(e);
  return e;
}

void Table::set_state(Entry& e, State state, Time now) {
  take_out(e);
  e.record.state = state;
  e.state_since = now;
  e.confirmed = false;
  if (state != State::suspect && state != State::dead) e.record.accusers.clear();
  add(e);
}

void Table::erase(std::string_view name) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return;
  take_out(found->second);
  if (found->second.sent) std::erase_if(pending_updates_, [&](const auto& r) { return r.second == name; });
  entries_.erase(found);
}

std::uint64_t Table::digest() const {
  std::uint64_t all = 0;
  for (const std::uint64_t b : buckets_) all ^= b;
  return all;
}

void Table::queue_update(Entry& e) {
  if (e.sent) {
    const auto [from, to] = pending_updates_.equal_range(*e.sent);
    for (auto at = from; at != to; ++at) {
      if (at->second != e.record.name) continue;
      pending_updates_.erase(at);
      break;
    }
  }
  e.sent = 0;
  pending_updates_.emplace(0U, e.record.name);
}

Record Table::record_to_send(const Entry& e, Time now) {
  Record r = e.record;
  if (is_gone(r.state)) r.gone_for = now - e.state_since;
  return r;
}

std::vector<std::string> Table::take_updates(std::size_t room, unsigned most, Time now) {
  std::vector<std::string> taken;
  std::vector<std::pair<unsigned, std::string>> again;
  for (auto at = pending_updates_.begin(); at != pending_updates_.end();) {
    Entry& e = entries_.find(at->second)->second;
    std::string bytes = encode(record_to_send(e, now));
    if (bytes.size() > room) break;  // the next are no smaller as a rule, and their turn comes
    room -= bytes.size();
    taken.push_back(std::move(bytes));
    e.sent = at->first + 1;
    if (*e.sent < most) {
      again.emplace_back(*e.sent, std::move(at->second));
    } else {
      e.sent.reset();
    }
    at = pending_updates_.erase(at);
  }
  for (auto& [sent, name] : again) pending_updates_.emplace(sent, std::move(name));
  return taken;
}

}  // namespace valedrum::membership
