#include "copies/copies.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace valedrum::copies {
namespace {

using namespace std::chrono_literals;

constexpr Duration kIdleSweepInterval = 10s;  // the same while nothing is stored
// How long a message is remembered after its deadline, to recognize a repeated submission under its id.
constexpr Duration kRetention = 2s;
constexpr unsigned kMaxGroupCount = 64;
constexpr std::uint64_t kUnknownGroup = 0;  // epoch of a reject from a member that does not know the group

}  // namespace

void validate(const CopiesSettings& settings) {
  const auto require = [](bool valid, const char* error) {
    if (!valid) throw std::invalid_argument(error);
  };
  require(settings.copies >= 1 && settings.copies < kGroupSize, "copies: must be 1 or 2");
  require(settings.group_count >= 1 && settings.group_count <= kMaxGroupCount, "spread: must be 1 to 64");
  require(settings.lease >= 100ms && settings.lease <= 1min, "lease_ms: must be 100 to 60000");
  require(settings.answer_timeout >= 10ms && settings.answer_timeout <= 10s,
          "answer_ms: must be 10 to 10000");
  require(settings.body_budget >= 64U << 10, "budget_kb: must be 64 at least");
}

Copies::Copies(CopiesSettings settings, LocalMember self, StoredState stored, std::uint64_t seed, Time now)
    : settings_(std::move(settings)),
      self_(std::move(self)),
      engine_(seed),
      current_groups_(settings_.group_count) {
  validate(settings_);
  self_.identity.storage_id = stored.storage_id;
  while (self_.identity.storage_id == 0) self_.identity.storage_id = engine_();
  for (auto& [id, entry] : stored.groups) {
    Group group(settings_, {entry.self, entry.config.copies}, std::move(entry.durable),
                Group::Start::restarted, now);
    const auto at = groups_.emplace(id, JoinedGroup{entry.config, std::move(group), now, now, true}).first;
    for (const auto& [item_id, item] : at->second.group.items()) {
      group_by_message_.insert_or_assign(item_id, id);
      at->second.expiry_queue.update(item_id, &item);
      if (entry.self != 0) held_bytes_ += size_of(item);
    }
  }
}

// -------------------------------------------------------------------------------------------- fleet view

void Copies::set_candidates(Time, std::vector<Candidate> candidates) {
  candidates_ = std::move(candidates);
  for (const auto& id : current_groups_) {
    const auto at = id ? groups_.find(*id) : groups_.end();
    if (at == groups_.end()) continue;
    for (MemberIndex p = 1; p < kGroupSize; ++p) {
      const MemberIdentity& member = at->second.config.members[p];
      const auto is_member = [&](const Candidate& c) {
        return c.identity.name == member.name && c.identity.storage_id == member.storage_id;
      };
      if (std::ranges::none_of(candidates_, is_member)) at->second.sealed = true;
    }
  }
}

std::uint8_t Copies::free_eighths() const {
  const std::size_t free = settings_.body_budget - std::min(held_bytes_, settings_.body_budget);
  return static_cast<std::uint8_t>(free * 8 / settings_.body_budget);
}

bool Copies::is_avoided(Time now, const std::string& name) const {
  const auto found = avoided_until_.find(name);
  return found != avoided_until_.end() && now < found->second;
}

void Copies::avoid(Time now, const std::string& name) {
  avoided_until_[name] = now + settings_.avoidance_period;
  for (auto& [id, joined] : groups_)
    joined.sealed = joined.sealed || index_of(joined.config, name) < kGroupSize;
}

// Chooses by weighted rendezvous hashing: each candidate has its own draw for this origin and shard, so that
// an added or removed candidate affects only the groups that it joins or was in.
std::vector<const Candidate*> Copies::choose_members(Time now, unsigned shard) const {
  std::vector<std::pair<double, const Candidate*>> ranked;
  for (const Candidate& c : candidates_) {
    if (c.machine == self_.machine || c.free_eighths == 0 || is_avoided(now, c.identity.name)) continue;
    const std::string text = self_.identity.name + '\0' + std::to_string(shard) + '\0' + c.identity.name;
    const double draw = (static_cast<double>(XXH3_64bits(text.data(), text.size()) >> 11) + 0.5) * 0x1p-53;
    ranked.emplace_back(-static_cast<double>(c.free_eighths) / std::log(draw), &c);
  }
  std::ranges::sort(ranked, std::greater<>());
  std::vector<const Candidate*> chosen;
  const auto add = [&](auto&& fits) {
    const auto found = std::ranges::find_if(ranked, [&](const auto& r) { return fits(*r.second); });
    if (found != ranked.end()) chosen.push_back(found->second);
    return found != ranked.end();
  };
  if (!add([&](const Candidate& c) { return !settings_.other_zone || c.zone != self_.zone; })) return {};
  const std::string& first_machine = chosen.front()->machine;
  if (!add([&](const Candidate& c) { return c.machine != first_machine; })) return {};
  return chosen;
}

// Returns an id that is not in use here. A process that is started with the seed of its predecessor draws the
// same numbers again, and a second group under the id of an open one would remove the messages of that one
// from the file.
GroupId Copies::new_group_id() {
  GroupId id{self_.identity.name, engine_()};
  while (groups_.contains(id)) id.number = engine_();
  return id;
}

Copies::Groups::iterator Copies::open_group(Time now, unsigned shard) {
  const auto chosen = choose_members(now, shard);
  if (chosen.empty()) return groups_.end();
  const GroupId id = new_group_id();
  GroupConfig config;
  config.copies = settings_.copies;
  config.members[0] = self_.identity;
  for (MemberIndex p = 1; p < kGroupSize; ++p) config.members[p] = chosen[p - 1U]->identity;
  Group group(settings_, {0, config.copies}, {}, Group::Start::opened, now);
  const auto at = groups_.emplace(id, JoinedGroup{config, std::move(group), now, now, false}).first;
  current_groups_[shard] = id;
  pending_records_.push_back({id, PendingRecord::What::group, {}});
  ++counters_.groups_opened;
  return at;
}

// ------------------------------------------------------------------------------------ other members

MemberIndex Copies::index_of(const GroupConfig& config, std::string_view name) const {
  const auto found = std::ranges::find(config.members, name, &MemberIdentity::name);
  return static_cast<MemberIndex>(found - config.members.begin());
}

void Copies::receive(Time now, const std::string& from, const Frame& frame) {
  if (frame.no_room) avoid(now, from);
  for (const Envelope& envelope : frame.envelopes) receive(now, from, envelope);
  resolve_tickets(now);
}

void Copies::receive(Time now, const std::string& from, const Envelope& envelope) {
  auto at = groups_.find(envelope.group);
  const bool unknown = at == groups_.end();
  if (unknown) {
    // Only a member that never knew the group, and is not its origin, may join it: under a different storage
    // id it may have made promises that it has lost.
    const MemberIndex self = envelope.config ? index_of(*envelope.config, self_.identity.name) : kGroupSize;
    const bool may_join = self > 0 && self < kGroupSize &&
                          envelope.config->members[self].storage_id == self_.identity.storage_id &&
                          index_of(*envelope.config, from) < kGroupSize;
    if (envelope.message.kind == GroupMessageKind::append && may_join) {
      Group group(settings_, {self, envelope.config->copies}, {}, Group::Start::opened, now);
      at = groups_.emplace(envelope.group, JoinedGroup{*envelope.config, std::move(group), now, now, true})
               .first;
      pending_records_.push_back({envelope.group, PendingRecord::What::group, {}});
    } else if (envelope.message.kind == GroupMessageKind::append ||
               envelope.message.kind == GroupMessageKind::vote_request) {
      GroupMessage reject;
      reject.kind = GroupMessageKind::reject;
      reject.epoch = kUnknownGroup;
      reject.sent_at = now;
      auto& [identity, envelopes] = outgoing_[from];
      identity.name = from;
      envelopes.push_back({envelope.group, std::nullopt, std::move(reject)});
      return;
    } else {
      return;
    }
  }
  JoinedGroup& joined = at->second;
  GroupMessage message = envelope.message;
  message.sender = index_of(joined.config, from);
  if (message.sender >= kGroupSize || message.sender == joined.group.role().index) {
    ++counters_.foreign_messages;
    return;
  }
  joined.last_received_at = now;
  if (message.kind == GroupMessageKind::reject && message.epoch == kUnknownGroup) {
    joined.forgot_group[message.sender] = joined.sealed = true;
    return;
  }
  joined.knows_group[message.sender] = message.kind != GroupMessageKind::vote_request;
  if (message.kind == GroupMessageKind::append) {
    std::erase_if(message.items, [&](const auto& entry) {
      if (!entry.second.payload || joined.group.find(entry.first)) return false;
      const std::size_t size = size_of(entry.second);
      const bool full = held_bytes_ + size > settings_.body_budget;
      if (full) {
        no_room_ = true;
        ++counters_.bodies_rejected;
      } else {
        held_bytes_ += size;
      }
      return full;
    });
  }
  const Duration clock_offset = clock_offsets_[from].add_sample(now, now - envelope.message.sent_at);
  if (!message.items.empty()) next_sweep_at_ = std::min(next_sweep_at_, now + kSweepInterval);
  joined.group.receive(now, message, clock_offset);
  collect_output(at);
}

void Copies::connected(Time now, const std::string& name) {
  clock_offsets_.erase(name);
  disconnected_.erase(name);
  for (auto at = groups_.begin(); at != groups_.end(); ++at) {
    const MemberIndex p = index_of(at->second.config, name);
    if (p >= kGroupSize || p == at->second.group.role().index) continue;
    at->second.group.reconnected(p);
    at->second.group.flush(now);
    collect_output(at);
  }
}

// ----------------------------------------------------------------------------------- events and output

void Copies::emit_taken_over(Groups::iterator at, const std::string& id) {
  const Item& item = *at->second.group.find(id);
  if (item.pending_notice) {
    events_.emplace_back(Expired{id, *item.pending_notice});
    return;
  }
  ++counters_.taken_over;
  OwnershipGained event{id, item, {}};
  for (const Attempt& a : item.attempts) event.orphaned.push_back(at->second.group.is_orphaned(a));
  events_.emplace_back(std::move(event));
}

void Copies::collect_output(Groups::iterator at) {
  JoinedGroup& joined = at->second;
  Group& group = joined.group;
  const Group::OwnershipChange ownership = group.take_ownership_change();
  const Group::Changes changes = group.take_changes();
  if (changes.promise) pending_records_.push_back({at->first, PendingRecord::What::promise, {}});
  for (const std::string& id : changes.items) {
    pending_records_.push_back({at->first, PendingRecord::What::item, id});
    const Item* item = group.find(id);
    joined.expiry_queue.update(id, item);
    if (!item) {
      group_by_message_.erase(id);
      joined.sent_bodies.erase(id);
      continue;
    }
    group_by_message_.emplace(id, at->first);
    if (!group.is_owner() && !item->live()) events_.emplace_back(CompletedElsewhere{id});
  }
  if (ownership == Group::OwnershipChange::lost) {
    ++counters_.ownerships_lost;
    events_.emplace_back(LogLine{"another may act on the messages of " + at->first.origin +
                                 " from now on, epoch " + std::to_string(group.epoch()) + ", " +
                                 std::to_string(group.live_count()) + " without an end"});
    joined.sealed = true;
    for (const auto& [id, item] : group.items()) events_.emplace_back(OwnershipLost{id});
  }
  if (ownership == Group::OwnershipChange::gained) {
    ++counters_.ownerships_gained;
    events_.emplace_back(LogLine{"acts on the messages of " + at->first.origin + " from now on, epoch " +
                                 std::to_string(group.epoch()) + ", " + std::to_string(group.live_count()) +
                                 " without an end"});
    for (const auto& [id, item] : group.items()) {
      if (item.live()) emit_taken_over(at, id);
    }
  }
  for (auto& [to, message] : group.take_messages()) {
    if (!joined.forgot_group[to]) add_outgoing(at, to, std::move(message));
  }
}

void Copies::add_outgoing(Groups::iterator at, MemberIndex to, GroupMessage message) {
  JoinedGroup& joined = at->second;
  const MemberIdentity& member = joined.config.members[to];
  if (joined.group.role().index == 0 && !disconnected_.contains(member.name)) {
    for (const auto& [id, item] : message.items) {
      if (item.payload) joined.sent_bodies.insert(id);
    }
  }
  auto& [receiver, envelopes] = outgoing_[member.name];
  receiver = member;
  const bool include_config = message.kind == GroupMessageKind::append && !joined.knows_group[to];
  envelopes.push_back(
      {at->first, include_config ? std::optional(joined.config) : std::nullopt, std::move(message)});
}

void Copies::expire_messages(Time now, JoinedGroup& joined) {
  while (joined.next_expiry() <= now) {
    const std::string id = joined.expiry_queue.pop_first();
    const Item* item = joined.group.find(id);
    if (!item || !item->live()) continue;
    ++counters_.expired;
    events_.emplace_back(Expired{id, item->pending_notice.value_or(PendingNotice{})});
  }
}

void Copies::wake(Time now) {
  for (auto at = groups_.begin(); at != groups_.end(); ++at) {
    expire_messages(now, at->second);
    if (at->second.group.next_wake() > now) continue;
    at->second.group.wake(now);
    collect_output(at);
  }
  if (now >= next_sweep_at_) {
    bool any_stored = false;
    held_bytes_ = own_bytes_ = 0;
    for (auto at = groups_.begin(); at != groups_.end();) {
      JoinedGroup& joined = at->second;
      joined.group.prune(now, kRetention);
      collect_output(at);
      joined.sealed = joined.sealed || now > joined.opened_at + settings_.group_lifetime;
      const bool own = joined.group.role().index == 0;
      for (const auto& [id, item] : joined.group.items()) (own ? own_bytes_ : held_bytes_) += size_of(item);
      any_stored = any_stored || !joined.group.items().empty();
      const bool closed = own ? joined.sealed : now > joined.last_received_at + 2 * settings_.group_lifetime;
      if (!closed || !joined.group.items().empty()) {
        ++at;
        continue;
      }
      pending_records_.push_back({at->first, PendingRecord::What::drop, {}});
      at = groups_.erase(at);
    }
    std::erase_if(avoided_until_, [&](const auto& a) { return a.second <= now; });
    next_sweep_at_ = now + (any_stored ? kSweepInterval : kIdleSweepInterval);
  }
  resolve_tickets(now);
}

Time Copies::next_wake() const {
  Time next = groups_.empty() ? Time::max() : next_sweep_at_;
  for (const auto& [id, joined] : groups_)
    next = std::min({next, joined.next_expiry(), joined.group.next_wake()});
  for (const Ticket& t : tickets_) next = std::min(next, t.deadline);
  return next;
}

void Copies::flush(Time now) {
  for (auto at = groups_.begin(); at != groups_.end(); ++at) {
    at->second.group.flush(now);
    collect_output(at);
  }
  resolve_tickets(now);
}

std::vector<Copies::OutgoingFrame> Copies::take_frames() {
  std::vector<OutgoingFrame> frames;
  for (auto& [name, entry] : outgoing_) {
    const bool expects_answer = std::ranges::any_of(entry.second, [](const Envelope& envelope) {
      return envelope.message.kind == GroupMessageKind::append ||
             envelope.message.kind == GroupMessageKind::vote_request;
    });
    frames.push_back({entry.first, encode(Frame{std::move(entry.second), no_room_}), expects_answer});
  }
  outgoing_.clear();
  no_room_ = false;
  return frames;
}

std::optional<GroupId> Copies::group_of(const std::string& id) const {
  const auto found = group_by_message_.find(id);
  return found == group_by_message_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<Copies::GroupState> Copies::groups(Time now) const {
  std::vector<GroupState> states;
  for (const auto& [id, joined] : groups_) {
    const Group& group = joined.group;
    states.push_back({id, joined.config, group.role().index, group.durable().owner, group.epoch(),
                      group.live_count(), group.is_owner(), group.holds_lease(now), joined.sealed});
  }
  return states;
}

}  // namespace valedrum::copies
