#include "copies/group.h"

#include <algorithm>

#include "copies/ends.h"

namespace valedrum::copies {
namespace {

using namespace std::chrono_literals;

constexpr Time kNever = Time::max();
constexpr Duration kClockStep = 1ms;  // less is not worth another look at what is held

}  // namespace

Group::Group(const Settings& settings, Shape shape, Durable durable, Start start, Time now)
    : settings_(settings), shape_(shape), durable_(std::move(durable)) {
  if (start == Start::opened) {
    owns_ = shape_.self == 0;
  } else {
    if (broken(Without::promise)) durable_ = {1, 0, std::move(durable_.items)};
    // Whom it is bound to is on disk, for how long is not: as if it had been bound this moment. Its own
    // ownership ended with its process, and its calls did: it may ask for a new one at once.
    const bool own = durable_.owner == shape_.self;
    if (!own && !broken(Without::restart_wait)) bound_until_ = now + settings_.lease;
    for (auto& [id, item] : durable_.items) {
      for (Attempt& a : item.attempts) {
        if (a.by == shape_.self && a.fate == Fate::out) a.fate = Fate::may_have_run;
      }
    }
  }
  seen_ = durable_.promised;
  for (const auto& [id, item] : durable_.items) live_ += item.live() ? 1 : 0;
}

// ------------------------------------------------------------------------------------- as the owner

bool Group::leads(Time now) const {
  if (!owns_) return false;
  if (broken(Without::lease)) return true;
  return std::ranges::any_of(peers_, [&](const Peer& p) {
    return p.lease_from && now < *p.lease_from + settings_.lease - settings_.margin;
  });
}

bool Group::may_call(std::string_view id, Time now) const {
  const Item* item = find(id);
  if (!item || item->over || item->attempts.empty() || !leads(now)) return false;
  return broken(Without::intents) || held(id, false) > 0;
}

void Group::put(std::string id, Item item) {
  item.stamp = {durable_.promised, ++revision_};
  for (Place p = 0; p < kVoters; ++p) {
    if (p != shape_.self) peers_[p].unsent.insert(id);
  }
  store(id, std::move(item));
}

const Item* Group::find(std::string_view id) const {
  const auto found = durable_.items.find(id);
  return found == durable_.items.end() ? nullptr : &found->second;
}

unsigned Group::held(std::string_view id, bool bodies) const {
  unsigned n = 0;
  for (Place p = 0; p < kVoters; ++p) n += (!bodies || shape_.has_bodies(p)) && has_newest(p, id) ? 1 : 0;
  return n;
}

bool Group::has_newest(Place other, std::string_view id) const {
  const Item* item = find(id);
  if (!item || other == shape_.self) return false;
  const auto acked = peers_[other].acked.find(id);
  return acked != peers_[other].acked.end() && acked->second >= item->stamp;
}

void Group::append(Time now, Place to) {
  Peer& peer = peers_[to];
  Say s = say(now, Kind::append);
  for (const std::string& id : std::exchange(peer.unsent, {})) {
    const auto found = durable_.items.find(id);
    if (found == durable_.items.end()) continue;
    Item& item = s.items.emplace(id, found->second).first->second;
    if (!shape_.has_bodies(to) || peer.acked.contains(id)) item.payload = nullptr;
  }
  peer.sent_at = now;
  out_.emplace_back(to, std::move(s));
}

void Group::flush(Time now) {
  if (!owns_) return;
  for (Place p = 0; p < kVoters; ++p) {
    if (p != shape_.self && !peers_[p].unsent.empty()) append(now, p);
  }
}

void Group::reconnected(Place other) {
  std::erase_if(told_, [&](const auto& entry) { return entry.second.by == other; });
  shifts_[other].reset();
  Peer& peer = peers_[other];
  if (!owns_) return;
  for (const auto& [id, item] : durable_.items) {
    const auto acked = peer.acked.find(id);
    if (acked == peer.acked.end() || acked->second < item.stamp) peer.unsent.insert(id);
  }
}

// ------------------------------------------------------------------------------------------ events

Say Group::say(Time now, Kind kind) const { return {kind, shape_.self, durable_.promised, now, {}, {}}; }

void Group::receive(Time now, const Say& s, Duration shift) {
  if (s.from >= kVoters || s.from == shape_.self) return;
  seen_ = std::max(seen_, s.epoch);
  correct(s.from, shift);
  switch (s.kind) {
    case Kind::append:
      return on_append(now, s, shift);
    case Kind::ack:
      return on_ack(now, s);
    case Kind::ask:
      return on_ask(now, s);
    case Kind::vote:
      return on_vote(now, s, shift);
    case Kind::refuse:
      return on_refuse(s);
  }
}

void Group::on_append(Time now, const Say& s, Duration shift) {
  const bool newer = s.epoch > durable_.promised;
  const bool own = s.epoch == durable_.promised && s.from == durable_.owner;
  if (!newer && !own && !broken(Without::fence)) {
    out_.emplace_back(s.from, say(now, Kind::refuse));
    return;
  }
  step_down();
  merge(s, shift);
  if (newer) promise(s.epoch, s.from);
  bound_until_ = now + settings_.lease;
  asked_ = 0;
  Say answer = say(now, Kind::ack);
  answer.epoch = s.epoch;
  answer.echo = s.at;
  for (const auto& [id, item] : s.items) answer.items[id].stamp = item.stamp;
  out_.emplace_back(s.from, std::move(answer));
}

void Group::on_ack(Time now, const Say& s) {
  if (!owns_ || s.epoch != durable_.promised) return;
  Peer& peer = peers_[s.from];
  const Time from = broken(Without::lease_start) ? now : s.echo;
  peer.lease_from = std::max(peer.lease_from.value_or(from), from);
  for (const auto& [id, item] : s.items) {
    if (!durable_.items.contains(id)) continue;
    Stamp& acked = peer.acked[id];
    acked = std::max(acked, item.stamp);
  }
}

// Bound by a lease to another it has no vote to give; where the lease is the candidate's own, that one has
// begun anew.
void Group::on_ask(Time now, const Say& s) {
  const bool bound =
      durable_.owner != s.from && (owns_ ? leads(now) : now < bound_until_ && !broken(Without::patience));
  if (s.epoch <= durable_.promised || bound) {
    out_.emplace_back(s.from, say(now, Kind::refuse));
    return;
  }
  step_down();
  promise(s.epoch, s.from);
  Say answer = say(now, Kind::vote);
  if (!broken(Without::merge)) answer.items = durable_.items;
  out_.emplace_back(s.from, std::move(answer));
}

// Its own vote is given here and not when it asked: until then it may still have been bound by another's
// word.
void Group::on_vote(Time now, const Say& s, Duration shift) {
  if (owns_ || asked_ == 0 || s.epoch != asked_ || s.epoch <= durable_.promised || now < bound_until_) return;
  merge(s, shift);
  win(now);
}

void Group::win(Time now) {
  promise(asked_, shape_.self);
  asked_ = 0;
  owns_ = true;
  turn_ = Turn::won;
  revision_ = 0;
  peers_ = {};
  std::vector<std::string> all;
  for (const auto& [id, item] : durable_.items) all.push_back(id);
  for (std::string& id : all) put(id, durable_.items.at(id));
  // An empty one too: without an answer to it there is no lease.
  for (Place p = 0; p < kVoters; ++p) {
    if (p != shape_.self) append(now, p);
  }
}

void Group::on_refuse(const Say& s) {
  if (owns_ && s.epoch > durable_.promised) step_down();
}

// A word that took long has a time come late by here. One that took less shows it. A shift that grows is that
// of clocks that run apart: it is for what is told from now on.
void Group::correct(Place from, Duration shift) {
  std::optional<Duration>& used = shifts_[from];
  const bool less = !used || shift + kClockStep <= *used;
  if (less || shift > *used) used = shift;
  if (!less) return;
  for (const auto& [id, told] : told_) {
    Item& item = durable_.items.at(id);
    if (told.by != from || item.until <= told.until + shift) continue;
    item.until = told.until + shift;
    changed_.items.push_back(id);
  }
}

// Each state of an item holds all that those before it held, so the newest is all that is known.
void Group::merge(const Say& s, Duration shift) {
  for (const auto& [id, told] : s.items) {
    const Item* own = find(id);
    const bool newer = !own || own->stamp < told.stamp;
    const bool body = own && !own->over && !own->payload && told.payload;
    if (!newer && !body) continue;
    Item item = newer ? told : *own;
    if (newer) {
      item.until = std::min(item.until + shift, own ? own->until : Time::max());
      for (Attempt& a : item.attempts) a.sent += shift;
    }
    if (!item.payload) item.payload = own ? own->payload : told.payload;
    if (body) item.payload = told.payload;
    if (newer) told_.insert_or_assign(id, Told{s.from, told.until});
    store(id, std::move(item));
  }
}

void Group::store(const std::string& id, Item item) {
  if (item.over) item.payload = nullptr;
  const auto [at, added] = durable_.items.try_emplace(id);
  if (!added && at->second.live()) --live_;
  at->second = std::move(item);
  live_ += at->second.live() ? 1 : 0;
  if (!at->second.live()) told_.erase(id);
  changed_.items.push_back(id);
}

void Group::step_down() {
  if (!std::exchange(owns_, false)) return;
  turn_ = Turn::lost;
  peers_ = {};
}

void Group::promise(std::uint64_t epoch, Place owner) {
  durable_.promised = epoch;
  durable_.owner = owner;
  seen_ = std::max(seen_, epoch);
  changed_.promise = true;
}

bool Group::astray(const Attempt& a) const {
  return a.fate == Fate::out && a.by != shape_.self && !broken(Without::astray);
}

void Group::wake(Time now) {
  if (owns_) {
    if (live_ == 0) return;
    for (Place p = 0; p < kVoters; ++p) {
      if (p != shape_.self && now >= peers_[p].sent_at + settings_.renew) append(now, p);
    }
    return;
  }
  if (now < next_wake()) return;
  asked_ = std::max(seen_, durable_.promised) + 1;
  // Those behind the first wait longer, so that two do not ask in step for ever.
  ask_at_ = now + settings_.again * (1 + shape_.self);
  if (broken(Without::majority)) return win(now);
  for (Place p = 0; p < kVoters; ++p) {
    if (p == shape_.self) continue;
    Say s = say(now, Kind::ask);
    s.epoch = asked_;
    out_.emplace_back(p, std::move(s));
  }
}

Time Group::next_wake() const {
  if (live_ == 0) return kNever;
  if (!owns_) {
    if (!shape_.has_bodies(shape_.self)) return kNever;
    return std::max(bound_until_, ask_at_);
  }
  Time next = kNever;
  for (Place p = 0; p < kVoters; ++p) {
    if (p != shape_.self) next = std::min(next, peers_[p].sent_at + settings_.renew);
  }
  return next;
}

Time Group::owner_silent_from() const {
  return owns_ ? kNever : bound_until_ - settings_.lease + settings_.renew + kLongestHoldUp;
}

void Group::prune(Time now, Duration keep) {
  for (auto at = durable_.items.begin(); at != durable_.items.end();) {
    if (now < at->second.until + keep) {
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
  number(durable_.promised);
  number(durable_.owner);
  number(seen_);
  number(asked_);
  ahead(bound_until_);
  if (!owns_) ahead(ask_at_);
  for (const auto& [id, item] : durable_.items) {
    out += id;
    number(item.stamp.epoch);
    number(item.stamp.revision);
    number((item.over ? 1 : 0) + (item.payload ? 2 : 0));
    for (const Attempt& a : item.attempts) {
      number(static_cast<std::uint64_t>(a.fate));
      number(a.by);
    }
  }
  if (!owns_) return;
  for (const Peer& p : peers_) {
    ahead(p.lease_from ? *p.lease_from + settings_.lease - settings_.margin : Time{});
    ahead(p.sent_at + settings_.renew);
    number(p.unsent.size());
    for (const auto& [id, stamp] : p.acked) number(stamp.revision);
  }
}

}  // namespace valedrum::copies
