#include "copies/group.h"

#include <algorithm>

#include "copies/expiry_queue.h"

namespace valedrum::copies {
namespace {

using namespace std::chrono_literals;

constexpr Time kNever = Time::max();
constexpr Duration kMinOffsetChange = 1ms;  // smaller corrections do not justify a pass over all deadlines

}  // namespace

Group::Group(const Settings& settings, Role role, DurableState durable, Start start, Time now)
    : settings_(settings), role_(role), durable_(std::move(durable)) {
  if (start == Start::opened) {
    is_owner_ = role_.index == 0;
  } else {
    if (is_disabled(DisabledSafeguard::durable_promise)) durable_ = {1, 0, std::move(durable_.items)};
    // The owner that this member is bound to is on disk, the end of the lease is not: assume a full lease
    // from now. If this member was the owner itself, its ownership ended with the previous process, and it
    // may request votes at once. Its calls may be open for longer: a process that has handed over ends them.
    const bool own = durable_.owner == role_.index;
    if (!own && !is_disabled(DisabledSafeguard::restart_wait)) promise_expires_at_ = now + settings_.lease;
  }
  highest_epoch_seen_ = durable_.promised_epoch;
  for (const auto& [id, item] : durable_.items) live_ += item.live() ? 1 : 0;
}

// ------------------------------------------------------------------------------------- as the owner

bool Group::holds_lease(Time now) const {
  if (!is_owner_) return false;
  if (is_disabled(DisabledSafeguard::lease)) return true;
  return std::ranges::any_of(peers_, [&](const Peer& p) {
    return p.lease_start && now < *p.lease_start + settings_.lease - settings_.lease_margin;
  });
}

bool Group::may_call(std::string_view id, Time now) const {
  const Item* item = find(id);
  if (!item || item->completed || item->attempts.empty() || !holds_lease(now)) return false;
  return is_disabled(DisabledSafeguard::replicated_intent) || replica_count(id, false) > 0;
}

void Group::put(std::string id, Item item) {
  item.version = {durable_.promised_epoch, ++revision_};
  for (MemberIndex p = 0; p < kGroupSize; ++p) {
    if (p != role_.index) peers_[p].unsent.insert(id);
  }
  store(id, std::move(item));
}

const Item* Group::find(std::string_view id) const {
  const auto found = durable_.items.find(id);
  return found == durable_.items.end() ? nullptr : &found->second;
}

unsigned Group::replica_count(std::string_view id, bool bodies) const {
  unsigned count = 0;
  for (MemberIndex p = 0; p < kGroupSize; ++p)
    count += (!bodies || role_.stores_bodies(p)) && is_up_to_date(p, id) ? 1 : 0;
  return count;
}

bool Group::is_up_to_date(MemberIndex other, std::string_view id) const {
  const Item* item = find(id);
  if (!item || other == role_.index) return false;
  const auto acked = peers_[other].acked.find(id);
  return acked != peers_[other].acked.end() && acked->second >= item->version;
}

void Group::append(Time now, MemberIndex to) {
  Peer& peer = peers_[to];
  GroupMessage message = make_message(now, GroupMessageKind::append);
  for (const std::string& id : std::exchange(peer.unsent, {})) {
    const auto found = durable_.items.find(id);
    if (found == durable_.items.end()) continue;
    Item& item = message.items.emplace(id, found->second).first->second;
    if (!role_.stores_bodies(to) || peer.acked.contains(id)) item.payload = nullptr;
  }
  peer.sent_at = now;
  outgoing_.emplace_back(to, std::move(message));
}

void Group::flush(Time now) {
  if (!is_owner_) return;
  for (MemberIndex p = 0; p < kGroupSize; ++p) {
    if (p != role_.index && !peers_[p].unsent.empty()) append(now, p);
  }
}

void Group::reconnected(MemberIndex other) {
  std::erase_if(reported_deadlines_, [&](const auto& entry) { return entry.second.sender == other; });
  clock_offsets_[other].reset();
  Peer& peer = peers_[other];
  if (!is_owner_) return;
  for (const auto& [id, item] : durable_.items) {
    const auto acked = peer.acked.find(id);
    if (acked == peer.acked.end() || acked->second < item.version) peer.unsent.insert(id);
  }
}

// ------------------------------------------------------------------------------------------ events

GroupMessage Group::make_message(Time now, GroupMessageKind kind) const {
  return {kind, role_.index, durable_.promised_epoch, now, {}, {}};
}

void Group::receive(Time now, const GroupMessage& message, Duration clock_offset) {
  if (message.sender >= kGroupSize || message.sender == role_.index) return;
  highest_epoch_seen_ = std::max(highest_epoch_seen_, message.epoch);
  update_clock_offset(message.sender, clock_offset);
  switch (message.kind) {
    case GroupMessageKind::append:
      return on_append(now, message, clock_offset);
    case GroupMessageKind::ack:
      return on_ack(now, message);
    case GroupMessageKind::vote_request:
      return on_vote_request(now, message);
    case GroupMessageKind::vote:
      return on_vote(now, message, clock_offset);
    case GroupMessageKind::reject:
      return on_reject(message);
  }
}

void Group::on_append(Time now, const GroupMessage& message, Duration clock_offset) {
  const bool newer = message.epoch > durable_.promised_epoch;
  const bool current = message.epoch == durable_.promised_epoch && message.sender == durable_.owner;
  if (!newer && !current && !is_disabled(DisabledSafeguard::epoch_fence)) {
    outgoing_.emplace_back(message.sender, make_message(now, GroupMessageKind::reject));
    return;
  }
  step_down();
  merge(message, clock_offset);
  if (newer) promise(message.epoch, message.sender);
  promise_expires_at_ = now + settings_.lease;
  candidate_epoch_ = 0;
  GroupMessage answer = make_message(now, GroupMessageKind::ack);
  answer.epoch = message.epoch;
  answer.echoed_sent_at = message.sent_at;
  for (const auto& [id, item] : message.items) answer.items[id].version = item.version;
  outgoing_.emplace_back(message.sender, std::move(answer));
}

void Group::on_ack(Time now, const GroupMessage& message) {
  if (!is_owner_ || message.epoch != durable_.promised_epoch) return;
  Peer& peer = peers_[message.sender];
  const Time start = is_disabled(DisabledSafeguard::lease_start) ? now : message.echoed_sent_at;
  peer.lease_start = std::max(peer.lease_start.value_or(start), start);
  for (const auto& [id, item] : message.items) {
    if (!durable_.items.contains(id)) continue;
    ItemVersion& acked = peer.acked[id];
    acked = std::max(acked, item.version);
  }
}

// A member that is bound by a lease to another member must not vote. If the lease is the candidate's own, the
// candidate has restarted.
void Group::on_vote_request(Time now, const GroupMessage& message) {
  const bool bound =
      durable_.owner != message.sender &&
      (is_owner_ ? holds_lease(now)
                 : now < promise_expires_at_ && !is_disabled(DisabledSafeguard::vote_withholding));
  if (message.epoch <= durable_.promised_epoch || bound) {
    outgoing_.emplace_back(message.sender, make_message(now, GroupMessageKind::reject));
    return;
  }
  step_down();
  promise(message.epoch, message.sender);
  GroupMessage answer = make_message(now, GroupMessageKind::vote);
  if (!is_disabled(DisabledSafeguard::vote_merge)) answer.items = durable_.items;
  outgoing_.emplace_back(message.sender, std::move(answer));
}

// The candidate casts its own vote here rather than with its request: in between it may have been bound by
// the append of another owner.
void Group::on_vote(Time now, const GroupMessage& message, Duration clock_offset) {
  if (is_owner_ || candidate_epoch_ == 0 || message.epoch != candidate_epoch_ ||
      message.epoch <= durable_.promised_epoch || now < promise_expires_at_)
    return;
  merge(message, clock_offset);
  become_owner(now);
}

void Group::become_owner(Time now) {
  promise(candidate_epoch_, role_.index);
  candidate_epoch_ = 0;
  is_owner_ = true;
  ownership_change_ = OwnershipChange::gained;
  revision_ = 0;
  peers_ = {};
  std::vector<std::string> all;
  for (const auto& [id, item] : durable_.items) all.push_back(id);
  for (std::string& id : all) put(id, durable_.items.at(id));
  // Sends an empty append too: the lease starts with its acknowledgement.
  for (MemberIndex p = 0; p < kGroupSize; ++p) {
    if (p != role_.index) append(now, p);
  }
}

void Group::on_reject(const GroupMessage& message) {
  if (is_owner_ && message.epoch > durable_.promised_epoch) step_down();
}

// A message with a long transit time makes the deadlines in it too late here; a later, smaller offset shows
// that, and the deadlines are corrected. A growing offset means that the clocks drift and applies to new
// deadlines only.
void Group::update_clock_offset(MemberIndex sender, Duration clock_offset) {
  std::optional<Duration>& used = clock_offsets_[sender];
  const bool smaller = !used || clock_offset + kMinOffsetChange <= *used;
  if (smaller || clock_offset > *used) used = clock_offset;
  if (!smaller) return;
  for (const auto& [id, reported] : reported_deadlines_) {
    Item& item = durable_.items.at(id);
    if (reported.sender != sender || item.deadline <= reported.deadline + clock_offset) continue;
    item.deadline = reported.deadline + clock_offset;
    changes_.items.push_back(id);
  }
}

// Each version of an item contains everything that earlier versions contained, so the newest one is kept.
void Group::merge(const GroupMessage& message, Duration clock_offset) {
  for (const auto& [id, received] : message.items) {
    const Item* own = find(id);
    const bool newer = !own || own->version < received.version;
    const bool adds_body = own && !own->completed && !own->payload && received.payload;
    if (!newer && !adds_body) continue;
    Item item = newer ? received : *own;
    if (newer) {
      item.deadline = std::min(item.deadline + clock_offset, own ? own->deadline : Time::max());
      for (Attempt& a : item.attempts) a.sent_at += clock_offset;
    }
    if (!item.payload) item.payload = own ? own->payload : received.payload;
    if (adds_body) item.payload = received.payload;
    if (newer) reported_deadlines_.insert_or_assign(id, ReportedDeadline{message.sender, received.deadline});
    store(id, std::move(item));
  }
}

void Group::store(const std::string& id, Item item) {
  if (item.completed) item.payload = nullptr;
  const auto [at, added] = durable_.items.try_emplace(id);
  if (!added && at->second.live()) --live_;
  at->second = std::move(item);
  live_ += at->second.live() ? 1 : 0;
  if (!at->second.live()) reported_deadlines_.erase(id);
  changes_.items.push_back(id);
}

void Group::step_down() {
  if (!std::exchange(is_owner_, false)) return;
  ownership_change_ = OwnershipChange::lost;
  peers_ = {};
}

void Group::promise(std::uint64_t epoch, MemberIndex owner) {
  durable_.promised_epoch = epoch;
  durable_.owner = owner;
  highest_epoch_seen_ = std::max(highest_epoch_seen_, epoch);
  changes_.promise = true;
}

bool Group::is_orphaned(const Attempt& a) const {
  return a.state == AttemptState::in_flight && a.sender != role_.index &&
         !is_disabled(DisabledSafeguard::orphan_check);
}

void Group::wake(Time now) {
  if (is_owner_) {
    if (live_ == 0) return;
    for (MemberIndex p = 0; p < kGroupSize; ++p) {
      if (p != role_.index && now >= peers_[p].sent_at + settings_.renewal_interval) append(now, p);
    }
    return;
  }
  if (now < next_wake()) return;
  candidate_epoch_ = std::max(highest_epoch_seen_, durable_.promised_epoch) + 1;
  // The interval grows with the member index, so that two candidates do not repeat requests in lockstep.
  next_vote_request_at_ = now + settings_.vote_retry_interval * (1 + role_.index);
  if (is_disabled(DisabledSafeguard::majority)) return become_owner(now);
  for (MemberIndex p = 0; p < kGroupSize; ++p) {
    if (p == role_.index) continue;
    GroupMessage message = make_message(now, GroupMessageKind::vote_request);
    message.epoch = candidate_epoch_;
    outgoing_.emplace_back(p, std::move(message));
  }
}

Time Group::next_wake() const {
  if (live_ == 0) return kNever;
  if (!is_owner_) {
    if (!role_.stores_bodies(role_.index)) return kNever;
    return std::max(promise_expires_at_, next_vote_request_at_);
  }
  Time next = kNever;
  for (MemberIndex p = 0; p < kGroupSize; ++p) {
    if (p != role_.index) next = std::min(next, peers_[p].sent_at + settings_.renewal_interval);
  }
  return next;
}

Time Group::owner_silent_from() const {
  return is_owner_ ? kNever : promise_expires_at_ - settings_.lease + settings_.renewal_interval + kMaxStall;
}

void Group::prune(Time now, Duration retention) {
  for (auto at = durable_.items.begin(); at != durable_.items.end();) {
    if (now < at->second.deadline + retention) {
      ++at;
      continue;
    }
    live_ -= at->second.live() ? 1 : 0;
    changes_.items.push_back(at->first);
    for (Peer& p : peers_) {
      p.unsent.erase(at->first);
      p.acked.erase(at->first);
    }
    reported_deadlines_.erase(at->first);
    at = durable_.items.erase(at);
  }
}

void Group::describe(Time now, std::string& out) const {
  const auto number = [&out](std::uint64_t n) { out += static_cast<char>(std::min<std::uint64_t>(n, 255)); };
  // Times in the past are all alike.
  const auto ahead = [&](Time t) {
    number(t > now ? static_cast<std::uint64_t>((t - now) / 1ms) / 10 + 1 : 0);
  };
  number(is_owner_ ? 1 : 0);
  number(durable_.promised_epoch);
  number(durable_.owner);
  number(highest_epoch_seen_);
  number(candidate_epoch_);
  ahead(promise_expires_at_);
  if (!is_owner_) ahead(next_vote_request_at_);
  for (const auto& [id, item] : durable_.items) {
    out += id;
    number(item.version.epoch);
    number(item.version.revision);
    number((item.completed ? 1 : 0) + (item.payload ? 2 : 0));
    for (const Attempt& a : item.attempts) {
      number(static_cast<std::uint64_t>(a.state));
      number(a.sender);
    }
  }
  if (!is_owner_) return;
  for (const Peer& p : peers_) {
    ahead(p.lease_start ? *p.lease_start + settings_.lease - settings_.lease_margin : Time{});
    ahead(p.sent_at + settings_.renewal_interval);
    number(p.unsent.size());
    for (const auto& [id, version] : p.acked) number(version.revision);
  }
}

}  // namespace valedrum::copies
