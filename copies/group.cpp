#include "copies/group.h"

#include <algorithm>

#include "copies/expiry_queue.h"

namespace valedrum::copies {
namespace {

using namespace std::chrono_literals;

constexpr Time kNever = Time::max();
constexpr Duration kClockStep = 1ms;  // less is not worth another look at what is held

}  // namespace

Group::Group(const Settings& settings, Role shape, DurableState durable, Start start, Time now)
    : settings_(settings), shape_(shape), durable_(std::move(durable)) {
  if (start == Start::opened) {
    owns_ = shape_.index == 0;
  } else {
    if (broken(DisabledSafeguard::durable_promise)) durable_ = {1, 0, std::move(durable_.items)};
    // Whom it is bound to is on disk, for how long is not: as if it had been bound this moment. Its own
    // ownership ended with its process, and its calls did: it may ask for a new one at once.
    const bool own = durable_.owner == shape_.index;
    if (!own && !broken(DisabledSafeguard::restart_wait)) bound_until_ = now + settings_.lease;
    for (auto& [id, item] : durable_.items) {
      for (Attempt& a : item.attempts) {
        if (a.sender == shape_.index && a.state == AttemptState::in_flight)
          a.state = AttemptState::may_have_run;
      }
    }
  }
  seen_ = durable_.promised_epoch;
  for (const auto& [id, item] : durable_.items) live_ += item.live() ? 1 : 0;
}

// ------------------------------------------------------------------------------------- as the owner

bool Group::holds_lease(Time now) const {
  if (!owns_) return false;
  if (broken(DisabledSafeguard::lease)) return true;
  return std::ranges::any_of(peers_, [&](const Peer& p) {
    return p.lease_from && now < *p.lease_from + settings_.lease - settings_.lease_margin;
  });
}

bool Group::may_call(std::string_view id, Time now) const {
  const Item* item = find(id);
  if (!item || item->completed || item->attempts.empty() || !holds_lease(now)) return false;
  return broken(DisabledSafeguard::replicated_intent) || replica_count(id, false) > 0;
}

void Group::put(std::string id, Item item) {
  item.version = {durable_.promised_epoch, ++revision_};
  for (MemberIndex p = 0; p < kGroupSize; ++p) {
    if (p != shape_.index) peers_[p].unsent.insert(id);
  }
  store(id, std::move(item));
}

const Item* Group::find(std::string_view id) const {
  const auto found = durable_.items.find(id);
  return found == durable_.items.end() ? nullptr : &found->second;
}

unsigned Group::replica_count(std::string_view id, bool bodies) const {
  unsigned n = 0;
  for (MemberIndex p = 0; p < kGroupSize; ++p)
    n += (!bodies || shape_.stores_bodies(p)) && is_up_to_date(p, id) ? 1 : 0;
  return n;
}

bool Group::is_up_to_date(MemberIndex other, std::string_view id) const {
  const Item* item = find(id);
  if (!item || other == shape_.index) return false;
  const auto acked = peers_[other].acked.find(id);
  return acked != peers_[other].acked.end() && acked->second >= item->version;
}

void Group::append(Time now, MemberIndex to) {
  Peer& peer = peers_[to];
  GroupMessage s = say(now, GroupMessageKind::append);
  for (const std::string& id : std::exchange(peer.unsent, {})) {
    const auto found = durable_.items.find(id);
    if (found == durable_.items.end()) continue;
    Item& item = s.items.emplace(id, found->second).first->second;
    if (!shape_.stores_bodies(to) || peer.acked.contains(id)) item.payload = nullptr;
  }
  peer.sent_at = now;
  out_.emplace_back(to, std::move(s));
}

void Group::flush(Time now) {
  if (!owns_) return;
  for (MemberIndex p = 0; p < kGroupSize; ++p) {
    if (p != shape_.index && !peers_[p].unsent.empty()) append(now, p);
  }
}

void Group::reconnected(MemberIndex other) {
  std::erase_if(told_, [&](const auto& entry) { return entry.second.by == other; });
  shifts_[other].reset();
  Peer& peer = peers_[other];
  if (!owns_) return;
  for (const auto& [id, item] : durable_.items) {
    const auto acked = peer.acked.find(id);
    if (acked == peer.acked.end() || acked->second < item.version) peer.unsent.insert(id);
  }
}

// ------------------------------------------------------------------------------------------ events

GroupMessage Group::say(Time now, GroupMessageKind kind) const {
  return {kind, shape_.index, durable_.promised_epoch, now, {}, {}};
}

void Group::receive(Time now, const GroupMessage& s, Duration shift) {
  if (s.sender >= kGroupSize || s.sender == shape_.index) return;
  seen_ = std::max(seen_, s.epoch);
  correct(s.sender, shift);
  switch (s.kind) {
    case GroupMessageKind::append:
      return on_append(now, s, shift);
    case GroupMessageKind::ack:
      return on_ack(now, s);
    case GroupMessageKind::vote_request:
      return on_ask(now, s);
    case GroupMessageKind::vote:
      return on_vote(now, s, shift);
    case GroupMessageKind::reject:
      return on_refuse(s);
  }
}

void Group::on_append(Time now, const GroupMessage& s, Duration shift) {
  const bool newer = s.epoch > durable_.promised_epoch;
  const bool own = s.epoch == durable_.promised_epoch && s.sender == durable_.owner;
  if (!newer && !own && !broken(DisabledSafeguard::epoch_fence)) {
    out_.emplace_back(s.sender, say(now, GroupMessageKind::reject));
    return;
  }
  step_down();
  merge(s, shift);
  if (newer) promise(s.epoch, s.sender);
  bound_until_ = now + settings_.lease;
  asked_ = 0;
  GroupMessage answer = say(now, GroupMessageKind::ack);
  answer.epoch = s.epoch;
  answer.echoed_sent_at = s.sent_at;
  for (const auto& [id, item] : s.items) answer.items[id].version = item.version;
  out_.emplace_back(s.sender, std::move(answer));
}

void Group::on_ack(Time now, const GroupMessage& s) {
  if (!owns_ || s.epoch != durable_.promised_epoch) return;
  Peer& peer = peers_[s.sender];
  const Time from = broken(DisabledSafeguard::lease_start) ? now : s.echoed_sent_at;
  peer.lease_from = std::max(peer.lease_from.value_or(from), from);
  for (const auto& [id, item] : s.items) {
    if (!durable_.items.contains(id)) continue;
    ItemVersion& acked = peer.acked[id];
    acked = std::max(acked, item.version);
  }
}

// Bound by a lease to another it has no vote to give; where the lease is the candidate's own, that one has
// begun anew.
void Group::on_ask(Time now, const GroupMessage& s) {
  const bool bound =
      durable_.owner != s.sender &&
      (owns_ ? holds_lease(now) : now < bound_until_ && !broken(DisabledSafeguard::vote_withholding));
  if (s.epoch <= durable_.promised_epoch || bound) {
    out_.emplace_back(s.sender, say(now, GroupMessageKind::reject));
    return;
  }
  step_down();
  promise(s.epoch, s.sender);
  GroupMessage answer = say(now, GroupMessageKind::vote);
  if (!broken(DisabledSafeguard::vote_merge)) answer.items = durable_.items;
  out_.emplace_back(s.sender, std::move(answer));
}

// Its own vote is given here and not when it asked: until then it may still have been bound by another's
// word.
void Group::on_vote(Time now, const GroupMessage& s, Duration shift) {
  if (owns_ || asked_ == 0 || s.epoch != asked_ || s.epoch <= durable_.promised_epoch || now < bound_until_)
    return;
  merge(s, shift);
  win(now);
}

void Group::win(Time now) {
  promise(asked_, shape_.index);
  asked_ = 0;
  owns_ = true;
  turn_ = OwnershipChange::gained;
  revision_ = 0;
  peers_ = {};
  std::vector<std::string> all;
  for (const auto& [id, item] : durable_.items) all.push_back(id);
  for (std::string& id : all) put(id, durable_.items.at(id));
  // An empty one too: without an answer to it there is no lease.
  for (MemberIndex p = 0; p < kGroupSize; ++p) {
    if (p != shape_.index) append(now, p);
  }
}

void Group::on_refuse(const GroupMessage& s) {
  if (owns_ && s.epoch > durable_.promised_epoch) step_down();
}

// A word that took long has a time come late by here. One that took less shows it. A shift that grows is that
// of clocks that run apart: it is for what is told from now on.
void Group::correct(MemberIndex from, Duration shift) {
  std::optional<Duration>& used = shifts_[from];
  const bool less = !used || shift + kClockStep <= *used;
  if (less || shift > *used) used = shift;
  if (!less) return;
  for (const auto& [id, told] : told_) {
    Item& item = durable_.items.at(id);
    if (told.by != from || item.deadline <= told.until + shift) continue;
    item.deadline = told.until + shift;
    changed_.items.push_back(id);
  }
}

// Each state of an item holds all that those before it held, so the newest is all that is known.
void Group::merge(const GroupMessage& s, Duration shift) {
  for (const auto& [id, told] : s.items) {
    const Item* own = find(id);
    const bool newer = !own || own->version < told.version;
    const bool body = own && !own->completed && !own->payload && told.payload;
    if (!newer && !body) continue;
    Item item = newer ? told : *own;
    if (newer) {
      item.deadline = std::min(item.deadline + shift, own ? own->deadline : Time::max());
      for (Attempt& a : item.attempts) a.sent_at += shift;
    }
    if (!item.payload) item.payload = own ? own->payload : told.payload;
    if (body) item.payload = told.payload;
    if (newer) told_.insert_or_assign(id, Told{s.sender, told.deadline});
    store(id, std::move(item));
  }
}

void Group::store(const std::string& id, Item item) {
  if (item.completed) item.payload = nullptr;
  const auto [at, added] = durable_.items.try_emplace(id);
  if (!added && at->second.live()) --live_;
  at->second = std::move(item);
  live_ += at->second.live() ? 1 : 0;
  if (!at->second.live()) told_.erase(id);
  changed_.items.push_back(id);
}

void Group::step_down() {
  if (!std::exchange(owns_, false)) return;
  turn_ = OwnershipChange::lost;
  peers_ = {};
}

void Group::promise(std::uint64_t epoch, MemberIndex owner) {
  durable_.promised_epoch = epoch;
  durable_.owner = owner;
  seen_ = std::max(seen_, epoch);
  changed_.promise = true;
}

bool Group::is_orphaned(const Attempt& a) const {
  return a.state == AttemptState::in_flight && a.sender != shape_.index &&
         !broken(DisabledSafeguard::orphan_check);
}

void Group::wake(Time now) {
  if (owns_) {
    if (live_ == 0) return;
    for (MemberIndex p = 0; p < kGroupSize; ++p) {
      if (p != shape_.index && now >= peers_[p].sent_at + settings_.renewal_interval) append(now, p);
    }
    return;
  }
  if (now < next_wake()) return;
  asked_ = std::max(seen_, durable_.promised_epoch) + 1;
  // Those behind the first wait longer, so that two do not ask in step for ever.
  ask_at_ = now + settings_.vote_retry_interval * (1 + shape_.index);
  if (broken(DisabledSafeguard::majority)) return win(now);
  for (MemberIndex p = 0; p < kGroupSize; ++p) {
    if (p == shape_.index) continue;
    GroupMessage s = say(now, GroupMessageKind::vote_request);
    s.epoch = asked_;
    out_.emplace_back(p, std::move(s));
  }
}

Time Group::next_wake() const {
  if (live_ == 0) return kNever;
  if (!owns_) {
    if (!shape_.stores_bodies(shape_.index)) return kNever;
    return std::max(bound_until_, ask_at_);
  }
  Time next = kNever;
  for (MemberIndex p = 0; p < kGroupSize; ++p) {
    if (p != shape_.index) next = std::min(next, peers_[p].sent_at + settings_.renewal_interval);
  }
  return next;
}

Time Group::owner_silent_from() const {
  return owns_ ? kNever : bound_until_ - settings_.lease + settings_.renewal_interval + kMaxStall;
}

void Group::prune(Time now, Duration keep) {
  for (auto at = durable_.items.begin(); at != durable_.items.end();) {
    if (now < at->second.deadline + keep) {
      ++at;
      continue;
    }
    live_ -= at->second.live() ? 1 : 0;
    changed_.items.push_back(at->first);
    for (Peer& p : peers_) {
      p.unsent.erase(at->first);
      p.acked.erase(at->first);
    }
    told_.erase(at->first);
    at = durable_.items.erase(at);
  }
}

void Group::describe(Time now, std::string& out) const {
  const auto number = [&out](std::uint64_t n) { out += static_cast<char>(std::min<std::uint64_t>(n, 255)); };
  // What has passed is passed, however long ago.
  const auto ahead = [&](Time t) {
    number(t > now ? static_cast<std::uint64_t>((t - now) / 1ms) / 10 + 1 : 0);
  };
  number(owns_ ? 1 : 0);
  number(durable_.promised_epoch);
  number(durable_.owner);
  number(seen_);
  number(asked_);
  ahead(bound_until_);
  if (!owns_) ahead(ask_at_);
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
  if (!owns_) return;
  for (const Peer& p : peers_) {
    ahead(p.lease_from ? *p.lease_from + settings_.lease - settings_.lease_margin : Time{});
    ahead(p.sent_at + settings_.renewal_interval);
    number(p.unsent.size());
    for (const auto& [id, stamp] : p.acked) number(stamp.revision);
  }
}

}  // namespace valedrum::copies
