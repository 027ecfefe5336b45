// The records that a member holds of the other members, the digest over them, and the queue of updates to
// disseminate. Decisions about member states are made elsewhere.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "membership/types.h"
#include "membership/wire.h"

namespace valedrum::membership {

class Table {
 public:
  struct Entry {
    Record record;
    Time state_since{};
    Time last_heard{};                      // Time{}: never
    bool address_verified = false;          // its address has answered one of our requests
    bool reported_dead = false;             // while suspect: another member holds it dead
    std::size_t live_index = 0;             // position in live_entries()
    std::optional<unsigned> transmissions;  // of the queued update; none: no update is queued
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  Entry* find(std::string_view name);
  const Entry* find(std::string_view name) const;
  // Inserts or replaces a record, and keeps digest and counts up to date.
  Entry& put(Record record, Time now);
  void set_state(Entry& entry, State state, Time now);
  void erase(std::string_view name);
  const Entries& entries() const { return entries_; }

  // Members that are neither dead nor left.
  std::size_t live_count() const { return live_.size(); }
  std::size_t suspect_count() const { return suspects_.size(); }
  std::size_t dead_count() const { return dead_count_; }
  // Members that are dead or left.
  std::size_t gone_count() const { return entries_.size() - live_.size(); }
  // In unspecified order, for random selection.
  const std::vector<Entry*>& live_entries() const { return live_; }
  const std::set<std::string, std::less<>>& suspect_names() const { return suspects_; }

  // Digest over name, stamp and instance of all live members.
  std::uint64_t digest() const;
  const std::array<std::uint64_t, kDigestBuckets>& buckets() const { return buckets_; }
  static std::size_t bucket_of(std::string_view name);
  static std::uint64_t hash_of(const Record& record);

  // Dissemination: the update transmitted least often is sent first, each update `max_transmissions` times.
  void queue_update(Entry& entry);
  bool has_pending_updates() const { return !pending_updates_.empty(); }
  std::size_t pending_updates() const { return pending_updates_.size(); }
  // Returns encoded records, `room` bytes at most.
  std::vector<std::string> take_updates(std::size_t room, unsigned max_transmissions, Time now);

  // Returns the record with its current `gone_for`.
  static Record record_to_send(const Entry& entry, Time now);

 private:
  void add_to_indexes(Entry& entry);
  void remove_from_indexes(Entry& entry);

  Entries entries_;
  std::array<std::uint64_t, kDigestBuckets> buckets_{};
  std::vector<Entry*> live_;
  std::size_t dead_count_ = 0;
  std::set<std::string, std::less<>> suspects_;
  std::multimap<unsigned, std::string> pending_updates_;  // by number of transmissions
};

}  // namespace valedrum::membership
