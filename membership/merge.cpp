// What is said of members, and what is made of it.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "membership/membership.h"

namespace valedrum::membership {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMostLost = 16;  // addresses of members that are forgotten
constexpr double kMostPatience = 3;    // times the least
constexpr double kLeastPatience = 3;   // probes, in a fleet of few
constexpr unsigned kClaimTries = 5;    // that an earlier holder of the name leaves unanswered

std::string joined_text(const std::vector<std::string>& names) {
  std::string all;
  for (const std::string& n : names) all += (all.empty() ? "" : ", ") + n;
  return all;
}

std::string conflict_text(const Record& r) {
  return "CONFLICT: claimed by two processes, at " + to_text(r.address) + " and " +
         to_text(r.conflicting_address);
}

std::string tenths(Duration d) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", static_cast<double>(d.count()) / 1e6);
  return text;
}

}  // namespace

void Membership::merge(Time now, const Record& r) {
  if (r.name == self_.name) return heard_of_self(now, r);
  Table::Entry* e = table_.find(r.name);
  if (!e) {
    if (is_gone(r.state)) {
      // Kept, so that nothing older revives it; not passed on, or nobody would ever forget it.
      if (r.gone_for < settings_.tombstone_retention &&
          settings_.disabled_safeguard != DisabledSafeguard::tombstones)
        table_.put(r, now);
      return;
    }
    if (table_.entries().size() >= kMaxMembers) return;
    Table::Entry& added = table_.put(r, now);
    include(r.name);
    table_.queue_update(added);
    changed(now);
    say(r.name, "new: " + std::string(name_of(r.state)) + " at " + to_text(r.address));
    if (r.conflicting_address) say(r.name, conflict_text(r));
    if (r.state == State::suspect) verify_.push_back(r.name);
    return;
  }
  if (r.stamp < e->record.stamp) return;
  if (r.stamp > e->record.stamp) return replace(now, *e, r);
  if (is_gone(e->record.state)) return;
  if (r.instance != e->record.instance) {
    // Two processes with one name that never heard of each other; they settle it. All keep the same one.
    if (r.instance < e->record.instance) replace(now, *e, r);
    return;
  }
  // That it is dead is everybody's own judgement: in a healed cut each part holds the other for dead.
  if (r.state == State::suspect || r.state == State::dead)
    suspect(now, *e, r.accusers, r.state == State::dead);
}

void Membership::replace(Time now, Table::Entry& e, const Record& r) {
  const Record old = e.record;
  const bool was_gone = is_gone(old.state);
  changed(now);
  if (r.state == State::dead && !was_gone) {
    Record doubtful = r;
    doubtful.state = State::alive;
    table_.put(std::move(doubtful), now);
    return suspect(now, e, r.accusers, true);
  }
  table_.put(r, now);
  if (settings_.disabled_safeguard == DisabledSafeguard::tombstones && is_gone(r.state)) {
    say(old.name, std::string(name_of(r.state)));
    return table_.erase(old.name);
  }
  if (was_gone && is_gone(r.state)) return;
  if (was_gone) include(r.name);
  table_.queue_update(e);
  if (r.state == State::suspect) verify_.push_back(r.name);
  if (r.conflicting_address != old.conflicting_address ||
      (r.conflicting_address && was_gone && !is_gone(r.state))) {
    say(r.name, r.conflicting_address ? "CONFLICT: claimed by two processes, at " + to_text(r.address) +
                                            " and " + to_text(r.conflicting_address)
                                      : "the conflict over its name has ended");
  }
  const std::string stamp = "incarnation " + std::to_string(r.stamp.incarnation);
  if (r.state == State::left) {
    say(r.name, "left");
  } else if (r.instance != old.instance) {
    say(r.name,
        "started anew: " + std::string(name_of(r.state)) + ", " + stamp + ", at " + to_text(r.address));
  } else if (was_gone) {
    say(r.name, "alive again, " + stamp + ", after " + tenths(now - e.state_since));
  } else if (r.state != old.state) {
    say(r.name, old.state == State::suspect ? "alive: refutes the suspicion" : std::string(name_of(r.state)));
  }
}

// ------------------------------------------------------------------------------------------ itself

void Membership::announce(Time now) {
  self_sent_ = 0;
  changed(now);
}

void Membership::refute(Time now, const Stamp& stamp) {
  if (settings_.disabled_safeguard == DisabledSafeguard::refutation) return;
  self_.stamp.incarnation = std::max(self_.stamp.incarnation, stamp.incarnation);
  self_.stamp.revision = std::max(self_.stamp.revision, stamp.revision) + 1;
  ++counters_.refutations;
  doubt_by(1);
  announce(now);
}

// What is known of this name is of another process that is gone: it has to be newer than that.
void Membership::exceed(Time now, const Stamp& stamp) {
  if (settings_.disabled_safeguard == DisabledSafeguard::incarnation ||
      self_.stamp.incarnation > stamp.incarnation)
    return;
  self_.stamp = {stamp.incarnation + 1, 0};
  announce(now);
  say(self_.name,
      "takes incarnation " + std::to_string(self_.stamp.incarnation) + ": an earlier one is known");
}

void Membership::heard_of_self(Time now, const Record& r) {
  if (left_ || yielded_) return;
  if (r.instance == self_.instance) {
    if (r.stamp < self_.stamp) return;
    if (r.state == State::suspect || is_gone(r.state) || r.stamp > self_.stamp) {
      say(self_.name, "refutes: others hold it for " + std::string(name_of(r.state)) +
                          (r.accusers.empty() ? "" : ", by " + joined_text(r.accusers)));
      refute(now, r.stamp);
    }
    return;
  }
  const bool cleared = r.instance == cleared_ && r.stamp <= cleared_stamp_;
  if (is_gone(r.state) || r.address == self_.address || cleared) return exceed(now, r.stamp);
  if (!joined_) {  // whoever holds the name may live: it is asked first
    if (!claim_) claim_ = Claim{r, draw(), 0, now};
    return;
  }
  const bool other_keeps = r.stamp.incarnation > self_.stamp.incarnation ||
                           (r.stamp.incarnation == self_.stamp.incarnation && r.instance < self_.instance);
  if (other_keeps) return yield(now, r);
  if (r.stamp < self_.stamp) return;
  // Others take the newer statement: the other process has to hear that it does not hold the name.
  self_.stamp.revision = r.stamp.revision + 1;
  announce(now);
}

void Membership::heard_rival(Time now, const Message& m, const Address& from) {
  if (yielded_) {
    if (claim_ && m.kind == MessageKind::ack && m.nonce == quiet_nonce_) claim_->tries = 0;
    return;
  }
  if (claim_ && m.kind == MessageKind::ack && m.nonce == claim_->nonce) return yield(now, claim_->holder);
  if (!joined_ || m.kind != MessageKind::ping || m.target != self_.name) return;
  send(now, from, message(MessageKind::ack, self_.name, m.nonce), 0, nullptr);
  rival_heard_ = now;
  if (self_.conflicting_address) return;
  self_.conflicting_address = from;
  ++self_.stamp.revision;
  announce(now);
  say(self_.name, "CONFLICT: another process at " + to_text(from) + " claims this name");
}

// The name is another's. This one says nothing more under it, and asks now and then whether that has changed.
void Membership::yield(Time now, const Record& holder) {
  yielded_ = true;
  joined_ = false;
  probe_.reset();
  claim_ = Claim{holder, quiet_nonce_, 0, now + jittered(settings_.probe_interval)};
  changed(now);
  say(self_.name, "CONFLICT: this name is held by another process at " + to_text(holder.address) +
                      ": this one only looks on");
}

void Membership::check_claim(Time now) {
  if (self_.conflicting_address && now >= rival_heard_ + settings_.max_reconnect_interval * 3) {
    self_.conflicting_address = {};
    ++self_.stamp.revision;
    announce(now);
    say(self_.name, "the conflict over this name has ended");
  }
  if (!claim_ || now < claim_->next) return;
  if (claim_->tries++ < kClaimTries) {
    Message ping = message(MessageKind::ping, self_.name, claim_->nonce);
    send(now, claim_->holder.address, ping, 0, nullptr);
    const Duration pause =
        yielded_ ? settings_.max_reconnect_interval / 2
                 : Duration(std::llround(static_cast<double>(settings_.ack_timeout.count()) * factor()));
    claim_->next = now + jittered(pause);
    return;
  }
  const Claim over = *std::exchange(claim_, std::nullopt);
  cleared_ = over.holder.instance;
  cleared_stamp_ = over.holder.stamp;
  say(self_.name, "the process that held this name at " + to_text(over.holder.address) + " does not answer");
  if (std::exchange(yielded_, false)) {
    self_.state = State::joining;
    seeds_left_ = settings_.seeds;
    for (const auto& [name, e] : table_.entries()) {
      if (!is_gone(e.record.state) && seeds_left_.size() < kMostLost) seeds_left_.push_back(e.record.address);
    }
    contact_at_ = now;
  } else {
    exceed(now, over.holder.stamp);
    join(now, "the earlier process with this name is gone");
  }
}

// -------------------------------------------------------------------------------------- suspicion

void Membership::suspect(Time now, Table::Entry& e, const std::vector<std::string>& accusers,
                         bool confirmed) {
  std::vector<std::string>& known = e.record.accusers;
  const bool fresh = e.record.state != State::suspect;
  if (fresh) {
    table_.set_state(e, State::suspect, now);
    known.clear();
    ++counters_.suspicions;
    changed(now);
    verify_.push_back(e.record.name);
  }
  bool added = fresh;
  for (const std::string& a : accusers) {
    if (known.size() >= kMaxAccusers || std::ranges::find(known, a) != known.end()) continue;
    known.push_back(a);
    added = true;
  }
  e.confirmed = e.confirmed || confirmed;
  if (added) table_.queue_update(e);
  if (fresh && std::ranges::find(accusers, self_.name) == accusers.end()) {
    say(e.record.name, (confirmed ? "suspect: held for dead by others" : "suspect: not reached by others") +
                           (accusers.empty() ? "" : ", first " + joined_text(accusers)));
  }
}

// How long a suspicion stands before it is a death: least once enough others have it too.
Duration Membership::patience(const Table::Entry& e) const {
  const double members = static_cast<double>(table_.live_count() + 1);
  const double widened =
      settings_.disabled_safeguard == DisabledSafeguard::local_health ? 1 : 1 + doubt_ / 2.0;
  const double least = static_cast<double>(settings_.probe_interval.count()) *
                       std::max(kLeastPatience, std::log2(members + 1)) * widened;
  const std::size_t others = table_.live_count() - table_.suspect_count();
  const auto needed = static_cast<double>(std::min<std::size_t>(settings_.confirmations, others));
  const double got = e.record.accusers.empty() ? 0 : static_cast<double>(e.record.accusers.size() - 1);
  if (e.confirmed || got >= needed || settings_.disabled_safeguard == DisabledSafeguard::confirmation)
    return Duration(std::llround(least));
  const double most = least * kMostPatience;
  return Duration(std::llround(most - (most - least) * std::log(got + 1) / std::log(needed + 1)));
}

void Membership::judge_suspects(Time now) {
  const auto names = table_.suspect_names();
  for (const std::string& name : names) {
    Table::Entry& e = *table_.find(name);
    if (now >= e.state_since + patience(e)) bury(now, e);
  }
}

void Membership::bury(Time now, Table::Entry& e) {
  ++counters_.deaths;
  changed(now);
  say(e.record.name,
      "dead: suspected for " + tenths(now - e.state_since) + ", by " + joined_text(e.record.accusers));
  table_.set_state(e, State::dead, now);
  table_.queue_update(e);
  if (settings_.disabled_safeguard == DisabledSafeguard::tombstones) table_.erase(e.record.name);
  plan_contact(now, true);
}

void Membership::forget(Time now) {
  std::vector<std::string> over;
  for (const auto& [name, e] : table_.entries()) {
    if (is_gone(e.record.state) && now >= e.state_since + settings_.tombstone_retention) over.push_back(name);
  }
  for (const std::string& name : over) {
    const Record& r = table_.find(name)->record;
    if (r.state == State::dead && std::ranges::find(lost_, r.address) == lost_.end()) {
      if (lost_.size() < kMostLost)
        lost_.push_back(r.address);
      else
        lost_[below(kMostLost)] = r.address;
    }
    table_.erase(name);
    changed(now);
  }
  forget_at_ = table_.gone_count() > 0 ? now + settings_.tombstone_retention / 8 : Time::max();
}

}  // namespace valedrum::membership
