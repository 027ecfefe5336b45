#include "copies/copies.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace valedrum::copies {
namespace {

using namespace std::chrono_literals;

constexpr Duration kLook = 100ms;     // between sweeps over what is held
constexpr Duration kRestLook = 10s;   // where nothing is
constexpr Duration kRemembered = 2s;  // beyond its time: one that comes again under a known id is known
constexpr unsigned kMostSpread = 64;
constexpr std::uint64_t kUnknownGroup = 0;  // epoch of a refusal by one that does not know the group

std::size_t size_of(const Item& item) {
  return item.payload ? item.payload->body.size() + item.payload->key.size() + item.payload->id.size() : 0;
}

}  // namespace

void validate(const CopiesSettings& s) {
  const auto want = [](bool holds, const char* what) {
    if (!holds) throw std::invalid_argument(what);
  };
  want(s.copies >= 1 && s.copies < kGroupSize, "copies: must be 1 or 2");
  want(s.group_count >= 1 && s.group_count <= kMostSpread, "spread: must be 1 to 64");
  want(s.lease >= 100ms && s.lease <= 1min, "lease_ms: must be 100 to 60000");
  want(s.answer_timeout >= 10ms && s.answer_timeout <= 10s, "answer_ms: must be 10 to 10000");
  want(s.body_budget >= 64U << 10, "budget_kb: must be 64 at least");
}

Copies::Copies(CopiesSettings settings, LocalMember self, StoredState stored, std::uint64_t seed, Time now)
    : settings_(std::move(settings)), self_(std::move(self)), engine_(seed), current_(settings_.group_count) {
  validate(settings_);
  self_.identity.storage_id = stored.storage_id;
  while (self_.identity.storage_id == 0) self_.identity.storage_id = engine_();
  for (auto& [id, entry] : stored.groups) {
    Group group(settings_, {entry.self, entry.config.copies}, std::move(entry.durable),
                Group::Start::restarted, now);
    const auto at = groups_.emplace(id, Held{entry.config, std::move(group), now, now, true}).first;
    for (const auto& [item_id, item] : at->second.group.items()) {
      where_.insert_or_assign(item_id, id);
      at->second.ends.update(item_id, &item);
      if (entry.self != 0) held_bytes_ += size_of(item);
    }
  }
}

// -------------------------------------------------------------------------------------------- the view

void Copies::set_candidates(Time, std::vector<Candidate> candidates) {
  candidates_ = std::move(candidates);
  for (const auto& id : current_) {
    const auto at = id ? groups_.find(*id) : groups_.end();
    if (at == groups_.end()) continue;
    for (MemberIndex p = 1; p < kGroupSize; ++p) {
      const MemberIdentity& seat = at->second.head.members[p];
      const auto there = [&](const Candidate& c) {
        return c.identity.name == seat.name && c.identity.storage_id == seat.storage_id;
      };
      if (std::ranges::none_of(candidates_, there)) at->second.sealed = true;
    }
  }
}

std::uint8_t Copies::free_eighths() const {
  const std::size_t free = settings_.body_budget - std::min(held_bytes_, settings_.body_budget);
  return static_cast<std::uint8_t>(free * 8 / settings_.body_budget);
}

bool Copies::avoided(Time now, const std::string& name) const {
  const auto found = avoided_.find(name);
  return found != avoided_.end() && now < found->second;
}

void Copies::avoid(Time now, const std::string& name) {
  avoided_[name] = now + settings_.avoidance_period;
  for (auto& [id, held] : groups_) held.sealed = held.sealed || place_of(held.head, name) < kGroupSize;
}

// Weighted rendezvous: each candidate has its own draw for this origin and shard, so that one more or less
// moves what it takes over or had, and no more.
std::vector<const Candidate*> Copies::choose(Time now, unsigned shard) const {
  std::vector<std::pair<double, const Candidate*>> ranked;
  for (const Candidate& c : candidates_) {
    if (c.machine == self_.machine || c.free_eighths == 0 || avoided(now, c.identity.name)) continue;
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
  const std::string& taken = chosen.front()->machine;
  if (!add([&](const Candidate& c) { return c.machine != taken; })) return {};
  return chosen;
}

// One that this member has not in use: with the seed of an earlier process the numbers of its groups come
// again, and a second group under the name of one that is open would take that one's messages out of the
// file.
GroupId Copies::new_group_id() {
  GroupId id{self_.identity.name, engine_()};
  while (groups_.contains(id)) id.number = engine_();
  return id;
}

Copies::Groups::iterator Copies::open(Time now, unsigned shard) {
  const auto chosen = choose(now, shard);
  if (chosen.empty()) return groups_.end();
  const GroupId id = new_group_id();
  GroupConfig head;
  head.copies = settings_.copies;
  head.members[0] = self_.identity;
  for (MemberIndex p = 1; p < kGroupSize; ++p) head.members[p] = chosen[p - 1U]->identity;
  Group group(settings_, {0, head.copies}, {}, Group::Start::opened, now);
  const auto at = groups_.emplace(id, Held{head, std::move(group), now, now, false}).first;
  current_[shard] = id;
  records_.push_back({id, ToRecord::What::group, {}});
  ++counters_.groups_opened;
  return at;
}

// ------------------------------------------------------------------------------- what the relay holds

std::uint64_t Copies::shard_of(const std::string& id) const {
  return XXH3_64bits(id.data(), id.size()) % settings_.group_count;
}

Copies::Placement Copies::add(Time now, const std::string& id, Item item) {
  if (where_.contains(id)) return Placement::refused;
  const auto shard = static_cast<unsigned>(shard_of(id));
  auto at = current_[shard] ? groups_.find(*current_[shard]) : groups_.end();
  const bool usable = at != groups_.end() && !at->second.sealed && at->second.group.is_owner();
  if (!usable) at = open(now, shard);
  const bool full = own_bytes_ + size_of(item) > settings_.body_budget;
  if (at == groups_.end() || full) {
    const bool refuse = settings_.on_shortage == ShortagePolicy::refuse;
    ++(refuse ? counters_.refused : counters_.local_only);
    if (refuse) return Placement::refused;
    alone_.insert(id);
    return Placement::local_only;
  }
  own_bytes_ += size_of(item);
  at->second.group.put(id, std::move(item));
  where_.emplace(id, at->first);
  ++counters_.placed;
  look_at_ = std::min(look_at_, now + kLook);
  return Placement::placed;
}

Copies::Held* Copies::find_group(const std::string& id) {
  const auto found = where_.find(id);
  return found == where_.end() ? nullptr : &groups_.at(found->second);
}
const Copies::Held* Copies::find_group(const std::string& id) const {
  return const_cast<Copies*>(this)->find_group(id);
}

const Item* Copies::find(const std::string& id) const {
  const Held* held = find_group(id);
  return held ? held->group.find(id) : nullptr;
}

template <typename Change>
void Copies::change(Time, const std::string& id, Change&& how) {
  Held* held = find_group(id);
  const Item* item = held && held->group.is_owner() ? held->group.find(id) : nullptr;
  if (!item) return;
  Item changed = *item;
  if (how(changed)) held->group.put(id, std::move(changed));
}

void Copies::add_attempt(Time now, const std::string& id, Attempt attempt) {
  attempt.sent_at = now;
  change(now, id, [&](Item& item) {
    attempt.sender = find_group(id)->group.shape().index;
    item.attempts.push_back(std::move(attempt));
    return true;
  });
}

void Copies::set_attempt_state(Time now, const std::string& id, std::size_t number, AttemptState fate) {
  change(now, id, [&](Item& item) {
    if (number >= item.attempts.size() || item.attempts[number].state == fate) return false;
    item.attempts[number].state = fate;
    return true;
  });
}

void Copies::set_pending_notice(Time now, const std::string& id, PendingNotice owed) {
  change(now, id, [&](Item& item) {
    item.completed = true;
    item.pending_notice = owed;
    return true;
  });
}

void Copies::complete(Time now, const std::string& id) {
  alone_.erase(id);
  change(now, id, [](Item& item) {
    const bool changes = item.live();
    item.completed = true;
    item.pending_notice.reset();
    return changes;
  });
}

bool Copies::may_call(Time now, const std::string& id) const {
  const Held* held = find_group(id);
  return held ? held->group.may_call(id, now) : alone_.contains(id);
}

bool Copies::is_owner(const std::string& id) const {
  const Held* held = find_group(id);
  return held ? held->group.is_owner() : alone_.contains(id);
}

// --------------------------------------------------------------------------------------------- tickets

std::uint64_t Copies::wait_for(Time now, std::vector<std::string> ids, Requirement need) {
  Time until = now + settings_.answer_timeout;
  for (const std::string& id : ids) {
    const Item* item = need == Requirement::notice ? find(id) : nullptr;
    if (item) until = std::clamp(item->deadline + kOwnerGracePeriod, now, until);
  }
  tickets_.push_back({++last_ticket_, std::move(ids), need, until});
  return last_ticket_;
}

Copies::Answer Copies::answer(Time now, const Ticket& ticket) {
  for (const std::string& id : ticket.ids) {
    const Held* held = find_group(id);
    const Item* item = held ? held->group.find(id) : nullptr;
    if (!item && alone_.contains(id)) continue;
    if (!item || !held->group.is_owner() || (item->completed && ticket.need != Requirement::notice))
      return Answer::bad;
    if (ticket.need == Requirement::acceptance) {
      if (held->group.replica_count(id, true) >= held->head.copies) continue;
      for (MemberIndex p = 1; p <= held->head.copies; ++p) {
        if (!held->group.is_up_to_date(p, id) && avoided(now, held->head.members[p].name)) return Answer::bad;
      }
      return Answer::wait;
    }
    // A message that is called for before it is promised could be refused to its client and have run.
    const bool first =
        ticket.need == Requirement::call && held->group.shape().index == 0 && item->attempts.size() == 1;
    if (first && held->group.replica_count(id, true) < held->head.copies) return Answer::wait;
    const bool known = held->group.holds_lease(now) && held->group.replica_count(id, false) > 0;
    if (ticket.need == Requirement::notice ? !known : !held->group.may_call(id, now)) return Answer::wait;
  }
  return Answer::good;
}

// Whoever has not answered is left out for a while: messages that come now must not wait for it too.
void Copies::late(Time now, const Ticket& ticket) {
  ++counters_.ticket_timeouts;
  for (const std::string& id : ticket.ids) {
    const Held* held = find_group(id);
    if (!held || !held->group.is_owner()) continue;
    const GroupConfig head = held->head;
    for (MemberIndex p = 0; p < kGroupSize; ++p) {
      if (p != held->group.shape().index && !held->group.is_up_to_date(p, id))
        avoid(now, head.members[p].name);
    }
  }
}

void Copies::judge_tickets(Time now) {
  std::vector<Ticket> left;
  for (Ticket& t : tickets_) {
    Answer a = answer(now, t);
    if (a == Answer::wait && now >= t.until) {
      late(now, t);
      a = Answer::bad;
    }
    if (a == Answer::bad && t.need == Requirement::acceptance &&
        settings_.on_shortage == ShortagePolicy::accept) {
      const bool own = std::ranges::all_of(t.ids, [&](const std::string& id) { return is_owner(id); });
      if (own) {
        counters_.under_replicated += t.ids.size();
        a = Answer::good;
      }
    }
    if (a == Answer::wait) {
      left.push_back(std::move(t));
      continue;
    }
    if (a == Answer::bad && t.need == Requirement::acceptance) counters_.refused += t.ids.size();
    events_.emplace_back(TicketCompleted{t.number, a == Answer::good});
  }
  tickets_ = std::move(left);
}

// ------------------------------------------------------------------------------------ what others say

MemberIndex Copies::place_of(const GroupConfig& head, std::string_view name) const {
  const auto found = std::ranges::find(head.members, name, &MemberIdentity::name);
  return static_cast<MemberIndex>(found - head.members.begin());
}

void Copies::receive(Time now, const std::string& from, const Frame& frame) {
  if (frame.no_room) avoid(now, from);
  for (const Envelope& word : frame.envelopes) receive(now, from, word);
  judge_tickets(now);
}

void Copies::receive(Time now, const std::string& from, const Envelope& word) {
  auto at = groups_.find(word.group);
  const bool unknown = at == groups_.end();
  if (unknown) {
    // Only one that has never known it, and is not the origin, may begin to: another life may have promised
    // what this one can't know.
    const MemberIndex self = word.config ? place_of(*word.config, self_.identity.name) : kGroupSize;
    const bool mine = self > 0 && self < kGroupSize &&
                      word.config->members[self].storage_id == self_.identity.storage_id &&
                      place_of(*word.config, from) < kGroupSize;
    if (word.message.kind == GroupMessageKind::append && mine) {
      Group group(settings_, {self, word.config->copies}, {}, Group::Start::opened, now);
      at = groups_.emplace(word.group, Held{*word.config, std::move(group), now, now, true}).first;
      records_.push_back({word.group, ToRecord::What::group, {}});
    } else if (word.message.kind == GroupMessageKind::append ||
               word.message.kind == GroupMessageKind::vote_request) {
      GroupMessage refusal;
      refusal.kind = GroupMessageKind::reject;
      refusal.epoch = kUnknownGroup;
      refusal.sent_at = now;
      auto& [seat, words] = words_[from];
      seat.name = from;
      words.push_back({word.group, std::nullopt, std::move(refusal)});
      return;
    } else {
      return;
    }
  }
  Held& held = at->second;
  GroupMessage say = word.message;
  say.sender = place_of(held.head, from);
  if (say.sender >= kGroupSize || say.sender == held.group.shape().index) {
    ++counters_.foreign_messages;
    return;
  }
  held.heard = now;
  if (say.kind == GroupMessageKind::reject && say.epoch == kUnknownGroup) {
    held.useless[say.sender] = held.sealed = true;
    return;
  }
  held.knows[say.sender] = say.kind != GroupMessageKind::vote_request;
  if (say.kind == GroupMessageKind::append) {
    std::erase_if(say.items, [&](const auto& entry) {
      if (!entry.second.payload || held.group.find(entry.first)) return false;
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
  const Duration offset = offsets_[from].add_sample(now, now - word.message.sent_at);
  if (!say.items.empty()) look_at_ = std::min(look_at_, now + kLook);
  held.group.receive(now, say, offset);
  settle(at);
}

void Copies::connected(Time now, const std::string& name) {
  offsets_.erase(name);
  for (auto at = groups_.begin(); at != groups_.end(); ++at) {
    const MemberIndex p = place_of(at->second.head, name);
    if (p >= kGroupSize || p == at->second.group.shape().index) continue;
    at->second.group.reconnected(p);
    at->second.group.flush(now);
    settle(at);
  }
}

// --------------------------------------------------------------------------------------------- turns

void Copies::hand_out(Groups::iterator at, const std::string& id) {
  const Item& item = *at->second.group.find(id);
  if (item.pending_notice) {
    events_.emplace_back(Expired{id, *item.pending_notice});
    return;
  }
  ++counters_.taken_over;
  OwnershipGained inherited{id, item, {}};
  for (const Attempt& a : item.attempts) inherited.orphaned.push_back(at->second.group.is_orphaned(a));
  events_.emplace_back(std::move(inherited));
}

void Copies::settle(Groups::iterator at) {
  Held& held = at->second;
  Group& group = held.group;
  const Group::OwnershipChange turn = group.take_ownership_change();
  const Group::Changes changed = group.take_changes();
  if (changed.promise) records_.push_back({at->first, ToRecord::What::promise, {}});
  for (const std::string& id : changed.items) {
    records_.push_back({at->first, ToRecord::What::item, id});
    const Item* item = group.find(id);
    held.ends.update(id, item);
    if (!item) {
      where_.erase(id);
      continue;
    }
    where_.emplace(id, at->first);
    if (!group.is_owner() && !item->live()) events_.emplace_back(CompletedElsewhere{id});
  }
  if (turn == Group::OwnershipChange::lost) {
    ++counters_.ownerships_lost;
    events_.emplace_back(LogLine{"another may act on the messages of " + at->first.origin +
                                 " from now on, epoch " + std::to_string(group.epoch()) + ", " +
                                 std::to_string(group.live_count()) + " without an end"});
    held.sealed = true;
    for (const auto& [id, item] : group.items()) events_.emplace_back(OwnershipLost{id});
  }
  if (turn == Group::OwnershipChange::gained) {
    ++counters_.ownerships_gained;
    events_.emplace_back(LogLine{"acts on the messages of " + at->first.origin + " from now on, epoch " +
                                 std::to_string(group.epoch()) + ", " + std::to_string(group.live_count()) +
                                 " without an end"});
    for (const auto& [id, item] : group.items()) {
      if (item.live()) hand_out(at, id);
    }
  }
  for (auto& [to, say] : group.take_messages()) {
    if (held.useless[to]) continue;
    const MemberIdentity& seat = held.head.members[to];
    auto& [known, words] = words_[seat.name];
    known = seat;
    const bool tell_head = say.kind == GroupMessageKind::append && !held.knows[to];
    words.push_back({at->first, tell_head ? std::optional(held.head) : std::nullopt, std::move(say)});
  }
}

void Copies::tell_ends(Time now, Held& held) {
  while (held.next_end() <= now) {
    const std::string id = held.ends.pop_first();
    const Item* item = held.group.find(id);
    if (!item || !item->live()) continue;
    ++counters_.expired;
    events_.emplace_back(Expired{id, item->pending_notice.value_or(PendingNotice{})});
  }
}

void Copies::wake(Time now) {
  for (auto at = groups_.begin(); at != groups_.end(); ++at) {
    tell_ends(now, at->second);
    if (at->second.group.next_wake() > now) continue;
    at->second.group.wake(now);
    settle(at);
  }
  if (now >= look_at_) {
    bool any = false;
    held_bytes_ = own_bytes_ = 0;
    for (auto at = groups_.begin(); at != groups_.end();) {
      Held& held = at->second;
      held.group.prune(now, kRemembered);
      settle(at);
      held.sealed = held.sealed || now > held.opened + settings_.group_lifetime;
      const bool own = held.group.shape().index == 0;
      for (const auto& [id, item] : held.group.items()) (own ? own_bytes_ : held_bytes_) += size_of(item);
      any = any || !held.group.items().empty();
      const bool ended = own ? held.sealed : now > held.heard + 2 * settings_.group_lifetime;
      if (!ended || !held.group.items().empty()) {
        ++at;
        continue;
      }
      records_.push_back({at->first, ToRecord::What::drop, {}});
      at = groups_.erase(at);
    }
    std::erase_if(avoided_, [&](const auto& a) { return a.second <= now; });
    look_at_ = now + (any ? kLook : kRestLook);
  }
  judge_tickets(now);
}

Time Copies::next_wake() const {
  Time next = groups_.empty() ? Time::max() : look_at_;
  for (const auto& [id, held] : groups_) next = std::min({next, held.next_end(), held.group.next_wake()});
  for (const Ticket& t : tickets_) next = std::min(next, t.until);
  return next;
}

void Copies::flush(Time now) {
  for (auto at = groups_.begin(); at != groups_.end(); ++at) {
    at->second.group.flush(now);
    settle(at);
  }
  judge_tickets(now);
}

std::vector<Copies::OutgoingFrame> Copies::take_frames() {
  std::vector<OutgoingFrame> all;
  for (auto& [name, entry] : words_) {
    const bool asks = std::ranges::any_of(entry.second, [](const Envelope& w) {
      return w.message.kind == GroupMessageKind::append || w.message.kind == GroupMessageKind::vote_request;
    });
    all.push_back({entry.first, encode(Frame{std::move(entry.second), no_room_}), asks});
  }
  words_.clear();
  no_room_ = false;
  return all;
}

std::optional<GroupId> Copies::group_of(const std::string& id) const {
  const auto found = where_.find(id);
  return found == where_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<Copies::GroupState> Copies::groups(Time now) const {
  std::vector<GroupState> all;
  for (const auto& [id, held] : groups_) {
    const Group& g = held.group;
    all.push_back({id, held.head, g.shape().index, g.durable().owner, g.epoch(), g.live_count(), g.is_owner(),
                   g.holds_lease(now), held.sealed});
  }
  return all;
}

}  // namespace valedrum::copies
