// The table of messages and calls: what is held, what is out and what is over. No decision and no tuned value
// is here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fleet.h"
#include "records.h"

namespace vetchhinge {

class Work {
 public:
  explicit Work(Fleet& fleet) : fleet_(fleet) {}

  Entry& add(Entry entry);
  Entry* find(MessageId id);
  void hold(Entry& e);
  void unhold(Entry& e);

  // The message has its final answer. Attempts still out keep the entry, and its key, until they are over.
  void close(Entry& e);
  void forget_if_over(MessageId id, Time now);
  void forget_closed(Time now);

  // A call takes a slot; messages join it one by one.
  Call& begin(std::uint64_t id, Call call);
  // An attempt has its outcome; with the last one the slot of its call is free. `kept`: its connection too.
  void end(const Attempt& a, bool kept, Time now);

  // Of work in turn: no other of its key goes before it; an attempt is over, and none may follow until
  // `rest`.
  bool is_next(const Entry& e, Time now) const;
  void leave_key(const Entry& e, Time rest);
  void forget_keys(Time now);

  // When the first message that is not over ends; nothing where none is.
  Time next_expiry();

  std::unordered_map<MessageId, Entry> entries;
  std::map<std::uint64_t, KeyQueue> keys;
  std::unordered_map<std::uint64_t, Call> calls;
  std::multimap<Time, MessageId> expiries;
  std::set<std::size_t> waiting;  // destinations with held work
  int in_flight = 0;
  std::size_t open = 0;

 private:
  Fleet& fleet_;
  std::vector<MessageId> closed_;
};

}  // namespace vetchhinge
