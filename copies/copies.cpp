#include "copies/copies.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace valedrum::copies {
namespace {

using namespace std::chrono_literals;

constexpr Duration kSweepInterval = 100ms;    // between sweeps over stored messages
constexpr Duration kIdleSweepInterval = 10s;  // the same while nothing is stored
// How long a message is remembered after its deadline, to recognize a repeated submission under its id.
constexpr Duration kRetention = 2s;
constexpr unsigned kMaxGroupCount = 64;
constexpr std::uint64_t kUnknownGroup = 0;  // epoch of a reject from a member that does not know the group

std::size_t size_of(const Item& item) {
  return item.payload ? item.payload->body.size() + item.payload->key.size() + item.payload->id.size() : 0;
}

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

// ------------------------------------------------------------------------------- messages of the relay

std::uint64_t Copies::shard_of(const std::string& id) const {
  return XXH3_64bits(id.data(), id.size()) % settings_.group_count;
}

Copies::Placement Copies::add(Time now, const std::string& id, Item item) {
  if (group_by_message_.contains(id)) return Placement::refused;
  const auto shard = static_cast<unsigned>(shard_of(id));
  auto at = current_groups_[shard] ? groups_.find(*current_groups_[shard]) : groups_.end();
  const bool usable = at != groups_.end() && !at->second.sealed && at->second.group.is_owner();
  if (!usable) at = open_group(now, shard);
  const bool full = own_bytes_ + size_of(item) > settings_.body_budget;
  if (at == groups_.end() || full) {
    const bool refuse = settings_.on_shortage == ShortagePolicy::refuse;
    ++(refuse ? counters_.refused : counters_.local_only);
    if (refuse) return Placement::refused;
    local_only_.insert(id);
    return Placement::local_only;
  }
  own_bytes_ += size_of(item);
  at->second.group.put(id, std::move(item));
  group_by_message_.emplace(id, at->first);
  ++counters_.placed;
  next_sweep_at_ = std::min(next_sweep_at_, now + kSweepInterval);
  return Placement::placed;
}

Copies::JoinedGroup* Copies::find_group(const std::string& id) {
  const auto found = group_by_message_.find(id);
  return found == group_by_message_.end() ? nullptr : &groups_.at(found->second);
}
const Copies::JoinedGroup* Copies::find_group(const std::string& id) const {
  return const_cast<Copies*>(this)->find_group(id);
}

const Item* Copies::find(const std::string& id) const {
  const JoinedGroup* joined = find_group(id);
  return joined ? joined->group.find(id) : nullptr;
}

template <typename Change>
void Copies::update_item(Time, const std::string& id, Change&& change) {
  JoinedGroup* joined = find_group(id);
  const Item* item = joined && joined->group.is_owner() ? joined->group.find(id) : nullptr;
  if (!item) return;
  Item changed = *item;
  if (change(changed)) joined->group.put(id, std::move(changed));
}

void Copies::add_attempt(Time now, const std::string& id, Attempt attempt) {
  attempt.sent_at = now;
  update_item(now, id, [&](Item& item) {
    attempt.sender = find_group(id)->group.role().index;
    item.attempts.push_back(std::move(attempt));
    return true;
  });
}

void Copies::set_attempt_state(Time now, const std::string& id, std::size_t number, AttemptState state) {
  update_item(now, id, [&](Item& item) {
    if (number >= item.attempts.size() || item.attempts[number].state == state) return false;
    item.attempts[number].state = state;
    return true;
  });
}

void Copies::end_own_attempts(Time now, const std::string& id, std::optional<std::size_t> still_open) {
  update_item(now, id, [&](Item& item) {
    const MemberIndex own = find_group(id)->group.role().index;
    bool changes = false;
    for (std::size_t n = 0; n < item.attempts.size(); ++n) {
      Attempt& attempt = item.attempts[n];
      if (attempt.sender != own || attempt.state != AttemptState::in_flight || n == still_open) continue;
      attempt.state = AttemptState::may_have_run;
      changes = true;
    }
    return changes;
  });
}

void Copies::set_pending_notice(Time now, const std::string& id, PendingNotice notice) {
  update_item(now, id, [&](Item& item) {
    item.completed = true;
    item.pending_notice = notice;
    return true;
  });
}

void Copies::complete(Time now, const std::string& id) {
  local_only_.erase(id);
  update_item(now, id, [](Item& item) {
    const bool changes = item.live();
    item.completed = true;
    item.pending_notice.reset();
    return changes;
  });
}

bool Copies::may_call(Time now, const std::string& id) const {
  const JoinedGroup* joined = find_group(id);
  return joined ? joined->group.may_call(id, now) : local_only_.contains(id);
}

bool Copies::is_owner(const std::string& id) const {
  const JoinedGroup* joined = find_group(id);
  return joined ? joined->group.is_owner() : local_only_.contains(id);
}

bool Copies::was_sent(const std::string& id) const {
  const JoinedGroup* joined = find_group(id);
  return joined && joined->sent_bodies.contains(id);
}

// --------------------------------------------------------------------------------------------- tickets

std::uint64_t Copies::wait_for(Time now, std::vector<std::string> ids, Requirement requirement) {
  Time deadline = now + settings_.answer_timeout;
  for (const std::string& id : ids) {
    const Item* item = requirement == Requirement::notice ? find(id) : nullptr;
    if (item) deadline = std::clamp(item->deadline + kOwnerGracePeriod, now, deadline);
  }
  return wait_until(deadline, std::move(ids), requirement);
}

std::uint64_t Copies::wait_until(Time deadline, std::vector<std::string> ids, Requirement requirement) {
  tickets_.push_back({++last_ticket_, std::move(ids), requirement, deadline});
  return last_ticket_;
}

Copies::TicketState Copies::evaluate(Time now, const Ticket& ticket) {
  for (const std::string& id : ticket.ids) {
    const JoinedGroup* joined = find_group(id);
    const Item* item = joined ? joined->group.find(id) : nullptr;
    if (!item && local_only_.contains(id)) continue;
    const bool after_completion =
        ticket.requirement == Requirement::notice || ticket.requirement == Requirement::withdrawal;
    if (!item || !joined->group.is_owner() || (item->completed && !after_completion))
      return TicketState::failed;
    if (ticket.requirement == Requirement::acceptance) {
      if (joined->group.replica_count(id, true) >= joined->config.copies) continue;
      for (MemberIndex p = 1; p <= joined->config.copies; ++p) {
        if (!joined->group.is_up_to_date(p, id) && is_avoided(now, joined->config.members[p].name))
          return TicketState::failed;
      }
      return TicketState::waiting;
    }
    // A call that leaves before acceptance could run a message that is then refused to its client.
    const bool first_attempt = ticket.requirement == Requirement::call && joined->group.role().index == 0 &&
                               item->attempts.size() == 1;
    if (first_attempt && joined->group.replica_count(id, true) < joined->config.copies)
      return TicketState::waiting;
    const bool replicated = joined->group.holds_lease(now) && joined->group.replica_count(id, false) > 0;
    if (after_completion ? !replicated : !joined->group.may_call(id, now)) return TicketState::waiting;
  }
  return TicketState::succeeded;
}

// Avoids members that have not answered, so that new messages do not wait for them too.
void Copies::on_ticket_timeout(Time now, const Ticket& ticket) {
  ++counters_.ticket_timeouts;
  for (const std::string& id : ticket.ids) {
    const JoinedGroup* joined = find_group(id);
    if (!joined || !joined->group.is_owner()) continue;
    const GroupConfig config = joined->config;
    for (MemberIndex p = 0; p < kGroupSize; ++p) {
      if (p != joined->group.role().index && !joined->group.is_up_to_date(p, id))
        avoid(now, config.members[p].name);
    }
  }
}

void Copies::resolve_tickets(Time now) {
  std::vector<Ticket> waiting;
  for (Ticket& ticket : tickets_) {
    TicketState state = evaluate(now, ticket);
    if (state == TicketState::waiting && now >= ticket.deadline) {
      if (ticket.requirement != Requirement::withdrawal) on_ticket_timeout(now, ticket);
      state = TicketState::failed;
    }
    if (state == TicketState::failed && ticket.requirement == Requirement::acceptance &&
        settings_.on_shortage == ShortagePolicy::accept) {
      const bool own = std::ranges::all_of(ticket.ids, [&](const std::string& id) { return is_owner(id); });
      if (own) {
        counters_.under_replicated += ticket.ids.size();
        state = TicketState::succeeded;
      }
    }
    if (state == TicketState::waiting) {
      waiting.push_back(std::move(ticket));
      continue;
    }
    if (state == TicketState::failed && ticket.requirement == Requirement::acceptance)
      counters_.refused += ticket.ids.size();
    events_.emplace_back(TicketCompleted{ticket.number, state == TicketState::succeeded});
  }
  tickets_ = std::move(waiting);
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
