/// The table of messages and calls: queued, in flight and completed.
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

class MessageTable {
 public:
  explicit MessageTable(Fleet& fleet) : fleet_(fleet) {}

  MessageState& add(MessageState message);
  MessageState* find(MessageId id);
  void enqueue(MessageState& m);
  void dequeue(MessageState& m);

  /// Records that the message has its final answer. The record and its key stay until all attempts in flight
  /// have ended.
  void complete(MessageState& m);
  void erase_if_ended(MessageId id, Time now);
  void erase_completed(Time now);

  /// Starts a call, which takes a slot, or returns the call with this number; messages join it one by one.
  Call& begin_call(std::uint64_t id, Call call);

  /// Ends an attempt. The last attempt of a call releases its slot; `kept`: its connection stays open.
  void end_attempt(const Attempt& a, bool kept, Time now);

  /// For ordered messages: returns whether no other message of the key must be sent first.
  bool is_next(const MessageState& m, Time now) const;

  /// For ordered messages: ends an attempt and pauses the key until `paused_until`.
  void release_key(const MessageState& m, Time paused_until);
  void erase_idle_keys(Time now);

  /// Returns the first expiry of a message that is not completed, or Time::max().
  Time next_expiry();

  std::unordered_map<MessageId, MessageState> messages;
  std::map<std::uint64_t, KeyQueue> keys;
  std::unordered_map<std::uint64_t, Call> calls;
  std::multimap<Time, MessageId> expiries;
  std::set<std::size_t> waiting;  // destinations with queued messages
  int in_flight = 0;              // calls
  std::size_t open = 0;           // messages that are not completed

 private:
  Fleet& fleet_;
  std::vector<MessageId> completed_;
};

}  // namespace vetchhinge
