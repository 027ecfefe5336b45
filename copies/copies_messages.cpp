// The part of class Copies that the relay uses for its messages: their state, and the tickets that wait until
// other members have stored it.
#include <algorithm>

#include "copies/copies.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace valedrum::copies {

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

}  // namespace valedrum::copies
