// What one member holds of the others: their newest records, the digest of them, and what is still to be
// passed on. It judges nobody.
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
    Time state_since{};             // in this state
    Time heard{};                   // it answered last; Time{}: never
    bool address_verified = false;  // its address has answered a question of ours
    bool confirmed = false;         // of one that is suspect: somebody else holds it for dead
    std::size_t place = 0;          // in the list of live ones
    std::optional<unsigned> sent;   // so often passed on; none: not to be passed on any more
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  Entry* find(std::string_view name);
  const Entry* find(std::string_view name) const;
  // Adds it, or puts it in the place of what is there; keeps digest and counts true.
  Entry& put(Record record, Time now);
  void set_state(Entry& entry, State state, Time now);
  void erase(std::string_view name);
  const Entries& entries() const { return entries_; }

  std::size_t live_count() const { return live_.size(); }  // not gone
  std::size_t suspect_count() const { return suspects_.size(); }
  std::size_t dead_count() const { return dead_; }
  std::size_t gone_count() const { return entries_.size() - live_.size(); }
  // In no order that means anything, for draws.
  const std::vector<Entry*>& live_entries() const { return live_; }
  const std::set<std::string, std::less<>>& suspect_names() const { return suspects_; }

  // Over name, stamp and instance of all that is not gone.
  std::uint64_t digest() const;
  const std::array<std::uint64_t, kDigestBuckets>& buckets() const { return buckets_; }
  static std::size_t bucket_of(std::string_view name);
  static std::uint64_t hash_of(const Record& record);

  // Passing on: what was passed on least goes first, each `most` times.
  void queue_update(Entry& entry);
  bool has_pending_updates() const { return !pending_updates_.empty(); }
  std::size_t pending_updates() const { return pending_updates_.size(); }
  // Encoded, `room` bytes at most.
  std::vector<std::string> take_updates(std::size_t room, unsigned most, Time now);

  // As it is told to others.
  static Record record_to_send(const Entry& entry, Time now);

 private:
  void add(Entry& entry);
  void take_out(Entry& entry);

  Entries entries_;
  std::array<std::uint64_t, kDigestBuckets> buckets_{};
  std::vector<Entry*> live_;
  std::size_t dead_ = 0;
  std::set<std::string, std::less<>> suspects_;
  std::multimap<unsigned, std::string> pending_updates_;  // by how often they were passed on
};

}  // namespace valedrum::membership
