#include "membership/table.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <utility>

namespace valedrum::membership {
std::uint64_t Table::hash_of(const Record& record) {
  const std::uint64_t key[] = {record.stamp.incarnation, record.stamp.revision, record.instance};
  return XXH3_64bits_withSeed(record.name.data(), record.name.size(), XXH3_64bits(key, sizeof key));
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

void Table::add_to_indexes(Entry& entry) {
  const Record& record = entry.record;
  if (record.state == State::dead) ++dead_count_;
  if (is_gone(record.state)) return;
  buckets_[bucket_of(record.name)] ^= hash_of(record);
  entry.live_index = live_.size();
  live_.push_back(&entry);
  if (record.state == State::suspect) suspects_.insert(record.name);
}

void Table::remove_from_indexes(Entry& entry) {
  const Record& record = entry.record;
  if (record.state == State::dead) --dead_count_;
  if (is_gone(record.state)) return;
  buckets_[bucket_of(record.name)] ^= hash_of(record);
  live_.back()->live_index = entry.live_index;
  live_[entry.live_index] = live_.back();
  live_.pop_back();
  if (record.state == State::suspect) suspects_.erase(record.name);
}

Table::Entry& Table::put(Record record, Time now) {
  Entry& entry = entries_[record.name];
  if (!entry.record.name.empty()) remove_from_indexes(entry);
  if (entry.record.address != record.address) entry.address_verified = false;
  if (entry.record.state != record.state || entry.record.instance != record.instance) entry.state_since = now;
  if (is_gone(record.state)) entry.state_since = now - record.gone_for;
  entry.reported_dead = false;
  entry.record = std::move(record);
  add_to_indexes(entry);
  return entry;
}

void Table::set_state(Entry& entry, State state, Time now) {
  remove_from_indexes(entry);
  entry.record.state = state;
  entry.state_since = now;
  entry.reported_dead = false;
  if (state != State::suspect && state != State::dead) entry.record.accusers.clear();
  add_to_indexes(entry);
}

void Table::erase(std::string_view name) {
  const auto found = entries_.find(name);
  if (found == entries_.end()) return;
  remove_from_indexes(found->second);
  if (found->second.transmissions)
    std::erase_if(pending_updates_, [&](const auto& update) { return update.second == name; });
  entries_.erase(found);
}

std::uint64_t Table::digest() const {
  std::uint64_t all = 0;
  for (const std::uint64_t b : buckets_) all ^= b;
  return all;
}

void Table::queue_update(Entry& entry) {
  if (entry.transmissions) {
    const auto [from, to] = pending_updates_.equal_range(*entry.transmissions);
    for (auto at = from; at != to; ++at) {
      if (at->second != entry.record.name) continue;
      pending_updates_.erase(at);
      break;
    }
  }
  entry.transmissions = 0;
  pending_updates_.emplace(0U, entry.record.name);
}

Record Table::record_to_send(const Entry& entry, Time now) {
  Record record = entry.record;
  if (is_gone(record.state)) record.gone_for = now - entry.state_since;
  return record;
}

std::vector<std::string> Table::take_updates(std::size_t room, unsigned max_transmissions, Time now) {
  std::vector<std::string> taken;
  std::vector<std::pair<unsigned, std::string>> again;
  for (auto at = pending_updates_.begin(); at != pending_updates_.end();) {
    Entry& entry = entries_.find(at->second)->second;
    std::string bytes = encode(record_to_send(entry, now));
    if (bytes.size() > room) break;  // later records are rarely smaller, and are sent next time
    room -= bytes.size();
    taken.push_back(std::move(bytes));
    entry.transmissions = at->first + 1;
    if (*entry.transmissions < max_transmissions) {
      again.emplace_back(*entry.transmissions, std::move(at->second));
    } else {
      entry.transmissions.reset();
    }
    at = pending_updates_.erase(at);
  }
  for (auto& [transmissions, name] : again) pending_updates_.emplace(transmissions, std::move(name));
  return taken;
}

}  // namespace valedrum::membership
