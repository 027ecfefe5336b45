// Merging of received records, suspicion, tombstones, and conflicts over this member's name.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "membership/membership.h"

namespace valedrum::membership {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t kMaxForgottenAddresses = 16;
// Longest suspicion timeout, as a multiple of the shortest.
constexpr double kMaxSuspicionFactor = 3;
// Shortest suspicion timeout in a small fleet, in probe intervals.
constexpr double kMinSuspicionIntervals = 3;
// Unanswered pings after which an earlier holder of the name counts as stopped.
constexpr unsigned kNameClaimTries = 5;

std::string comma_separated(const std::vector<std::string>& names) {
  std::string all;
  for (const std::string& n : names) all += (all.empty() ? "" : ", ") + n;
  return all;
}

std::string conflict_text(const Record& record) {
  return "CONFLICT: claimed by two processes, at " + to_text(record.address) + " and " +
         to_text(record.conflicting_address);
}

std::string seconds_text(Duration d) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", static_cast<double>(d.count()) / 1e6);
  return text;
}

}  // namespace

void Membership::merge_record(Time now, const Record& record) {
  if (record.name == self_.name) return on_record_of_self(now, record);
  Table::Entry* entry = table_.find(record.name);
  if (!entry) {
    if (is_gone(record.state)) {
      // Kept as a tombstone, so that no older record revives the member. Not disseminated, or the fleet would
      // never forget it.
      if (record.gone_for < settings_.tombstone_retention &&
          settings_.disabled_safeguard != DisabledSafeguard::tombstones)
        table_.put(record, now);
      return;
    }
    if (table_.entries().size() >= kMaxMembers) return;
    Table::Entry& added = table_.put(record, now);
    add_to_probe_round(record.name);
    table_.queue_update(added);
    mark_changed(now);
    report(record.name, "new: " + std::string(name_of(record.state)) + " at " + to_text(record.address));
    if (record.conflicting_address) report(record.name, conflict_text(record));
    if (record.state == State::suspect) unnotified_suspects_.push_back(record.name);
    return;
  }
  if (record.stamp < entry->record.stamp) return;
  if (record.stamp > entry->record.stamp) return replace_record(now, *entry, record);
  if (is_gone(entry->record.state)) return;
  if (record.instance != entry->record.instance) {
    // Two processes with one name that have not heard of each other, and will resolve the conflict. Until
    // then all members keep the same one, the smaller instance.
    if (record.instance < entry->record.instance) replace_record(now, *entry, record);
    return;
  }
  // A reported death only raises a suspicion: after a healed partition each side holds the other dead.
  if (record.state == State::suspect || record.state == State::dead)
    suspect(now, *entry, record.accusers, record.state == State::dead);
}

void Membership::replace_record(Time now, Table::Entry& entry, const Record& record) {
  const Record old = entry.record;
  const bool was_gone = is_gone(old.state);
  mark_changed(now);
  if (record.state == State::dead && !was_gone) {
    Record suspected = record;
    suspected.state = State::alive;
    table_.put(std::move(suspected), now);
    return suspect(now, entry, record.accusers, true);
  }
  table_.put(record, now);
  if (settings_.disabled_safeguard == DisabledSafeguard::tombstones && is_gone(record.state)) {
    report(old.name, std::string(name_of(record.state)));
    return table_.erase(old.name);
  }
  if (was_gone && is_gone(record.state)) return;
  if (was_gone) add_to_probe_round(record.name);
  table_.queue_update(entry);
  if (record.state == State::suspect) unnotified_suspects_.push_back(record.name);
  if (record.conflicting_address != old.conflicting_address ||
      (record.conflicting_address && was_gone && !is_gone(record.state))) {
    report(record.name, record.conflicting_address
                            ? "CONFLICT: claimed by two processes, at " + to_text(record.address) + " and " +
                                  to_text(record.conflicting_address)
                            : "the conflict over its name has ended");
  }
  const std::string stamp = "incarnation " + std::to_string(record.stamp.incarnation);
  if (record.state == State::left) {
    report(record.name, "left");
  } else if (record.instance != old.instance) {
    report(record.name, "started anew: " + std::string(name_of(record.state)) + ", " + stamp + ", at " +
                            to_text(record.address));
  } else if (was_gone) {
    report(record.name, "alive again, " + stamp + ", after " + seconds_text(now - entry.state_since));
  } else if (record.state != old.state) {
    report(record.name,
           old.state == State::suspect ? "alive: refutes the suspicion" : std::string(name_of(record.state)));
  }
}

// ------------------------------------------------------------------------- this member's own record

void Membership::announce_self(Time now) {
  self_transmissions_ = 0;
  mark_changed(now);
}

void Membership::refute(Time now, const Stamp& stamp) {
  if (settings_.disabled_safeguard == DisabledSafeguard::refutation) return;
  self_.stamp.incarnation = std::max(self_.stamp.incarnation, stamp.incarnation);
  self_.stamp.revision = std::max(self_.stamp.revision, stamp.revision) + 1;
  ++counters_.refutations;
  adjust_local_health(1);
  announce_self(now);
}

// Takes a newer incarnation than the record of a previous process with this name.
void Membership::supersede(Time now, const Stamp& stamp) {
  if (settings_.disabled_safeguard == DisabledSafeguard::incarnation ||
      self_.stamp.incarnation > stamp.incarnation)
    return;
  self_.stamp = {stamp.incarnation + 1, 0};
  announce_self(now);
  report(self_.name,
         "takes incarnation " + std::to_string(self_.stamp.incarnation) + ": others know an earlier one");
}

void Membership::on_record_of_self(Time now, const Record& record) {
  if (left_ || observer_) return;
  if (record.instance == self_.instance) {
    if (record.stamp < self_.stamp) return;
    if (record.state == State::suspect || is_gone(record.state) || record.stamp > self_.stamp) {
      report(self_.name, "refutes: others hold it for " + std::string(name_of(record.state)) +
                             (record.accusers.empty() ? "" : ", by " + comma_separated(record.accusers)));
      refute(now, record.stamp);
    }
    return;
  }
  const bool holder_stopped = record.instance == stopped_holder_ && record.stamp <= stopped_holder_stamp_;
  if (is_gone(record.state) || record.address == self_.address || holder_stopped)
    return supersede(now, record.stamp);
  if (!joined_) {  // the holder of the name may be alive, so it is pinged first
    if (!name_claim_) name_claim_ = NameClaim{record, random_number(), 0, now};
    return;
  }
  const bool other_holds_name =
      record.stamp.incarnation > self_.stamp.incarnation ||
      (record.stamp.incarnation == self_.stamp.incarnation && record.instance < self_.instance);
  if (other_holds_name) return become_observer(now, record);
  if (record.stamp < self_.stamp) return;
  // Members keep the newer record, so this one takes a higher revision. The other process then learns that it
  // does not hold the name.
  self_.stamp.revision = record.stamp.revision + 1;
  announce_self(now);
}

void Membership::on_message_from_namesake(Time now, const Message& message, const Address& from) {
  if (observer_) {
    if (name_claim_ && message.kind == MessageKind::ack && message.nonce == untracked_nonce_)
      name_claim_->tries = 0;
    return;
  }
  if (name_claim_ && message.kind == MessageKind::ack && message.nonce == name_claim_->nonce)
    return become_observer(now, name_claim_->holder);
  if (!joined_ || message.kind != MessageKind::ping || message.target != self_.name) return;
  send(now, from, make_message(MessageKind::ack, self_.name, message.nonce), 0, nullptr);
  conflict_heard_at_ = now;
  if (self_.conflicting_address) return;
  self_.conflicting_address = from;
  ++self_.stamp.revision;
  announce_self(now);
  report(self_.name, "CONFLICT: another process at " + to_text(from) + " claims this name");
}

// Another process holds the name. This one sends nothing more under it, and pings the holder from time to
// time to find out whether it still runs.
void Membership::become_observer(Time now, const Record& holder) {
  observer_ = true;
  joined_ = false;
  probe_.reset();
  name_claim_ = NameClaim{holder, untracked_nonce_, 0, now + jittered(settings_.probe_interval)};
  mark_changed(now);
  report(self_.name, "CONFLICT: this name is held by another process at " + to_text(holder.address) +
                         ": this process only observes");
}

void Membership::check_name_claim(Time now) {
  if (self_.conflicting_address && now >= conflict_heard_at_ + settings_.max_reconnect_interval * 3) {
    self_.conflicting_address = {};
    ++self_.stamp.revision;
    announce_self(now);
    report(self_.name, "the conflict over this name has ended");
  }
  if (!name_claim_ || now < name_claim_->next_try) return;
  if (name_claim_->tries++ < kNameClaimTries) {
    Message ping = make_message(MessageKind::ping, self_.name, name_claim_->nonce);
    send(now, name_claim_->holder.address, ping, 0, nullptr);
    const Duration pause = observer_
                               ? settings_.max_reconnect_interval / 2
                               : Duration(std::llround(static_cast<double>(settings_.ack_timeout.count()) *
                                                       timeout_multiplier()));
    name_claim_->next_try = now + jittered(pause);
    return;
  }
  const NameClaim claim = *std::exchange(name_claim_, std::nullopt);
  stopped_holder_ = claim.holder.instance;
  stopped_holder_stamp_ = claim.holder.stamp;
  report(self_.name,
         "the process that held this name at " + to_text(claim.holder.address) + " does not answer");
  if (std::exchange(observer_, false)) {
    self_.state = State::joining;
    untried_seeds_ = settings_.seeds;
    for (const auto& [name, entry] : table_.entries()) {
      if (!is_gone(entry.record.state) && untried_seeds_.size() < kMaxForgottenAddresses)
        untried_seeds_.push_back(entry.record.address);
    }
    contact_at_ = now;
  } else {
    supersede(now, claim.holder.stamp);
    complete_join(now, "the previous process with this name is gone");
  }
}

// -------------------------------------------------------------------------------------- suspicion

void Membership::suspect(Time now, Table::Entry& entry, const std::vector<std::string>& accusers,
                         bool reported_dead) {
  std::vector<std::string>& known = entry.record.accusers;
  const bool newly_suspected = entry.record.state != State::suspect;
  if (newly_suspected) {
    table_.set_state(entry, State::suspect, now);
    known.clear();
    ++counters_.suspicions;
    mark_changed(now);
    unnotified_suspects_.push_back(entry.record.name);
  }
  bool added = newly_suspected;
  for (const std::string& a : accusers) {
    if (known.size() >= kMaxAccusers || std::ranges::find(known, a) != known.end()) continue;
    known.push_back(a);
    added = true;
  }
  entry.reported_dead = entry.reported_dead || reported_dead;
  if (added) table_.queue_update(entry);
  if (newly_suspected && std::ranges::find(accusers, self_.name) == accusers.end()) {
    report(entry.record.name,
           (reported_dead ? "suspect: reported dead by others" : "suspect: not reached by others") +
               (accusers.empty() ? "" : ", first " + comma_separated(accusers)));
  }
}

// Returns how long a suspicion lasts before the member is declared dead. As in Lifeguard it shrinks with the
// number of members that confirm the suspicion, and is shortest once enough of them do.
Duration Membership::suspicion_timeout(const Table::Entry& entry) const {
  const double members = static_cast<double>(table_.live_count() + 1);
  const double multiplier =
      settings_.disabled_safeguard == DisabledSafeguard::local_health ? 1 : 1 + local_health_score_ / 2.0;
  const double shortest = static_cast<double>(settings_.probe_interval.count()) *
                          std::max(kMinSuspicionIntervals, std::log2(members + 1)) * multiplier;
  const std::size_t others = table_.live_count() - table_.suspect_count();
  const auto needed = static_cast<double>(std::min<std::size_t>(settings_.confirmations, others));
  const double received =
      entry.record.accusers.empty() ? 0 : static_cast<double>(entry.record.accusers.size() - 1);
  if (entry.reported_dead || received >= needed ||
      settings_.disabled_safeguard == DisabledSafeguard::confirmation)
    return Duration(std::llround(shortest));
  const double longest = shortest * kMaxSuspicionFactor;
  return Duration(
      std::llround(longest - (longest - shortest) * std::log(received + 1) / std::log(needed + 1)));
}

void Membership::expire_suspicions(Time now) {
  const auto names = table_.suspect_names();
  for (const std::string& name : names) {
    Table::Entry& entry = *table_.find(name);
    if (now >= entry.state_since + suspicion_timeout(entry)) declare_dead(now, entry);
  }
}

void Membership::declare_dead(Time now, Table::Entry& entry) {
  ++counters_.deaths;
  mark_changed(now);
  report(entry.record.name, "dead: suspected for " + seconds_text(now - entry.state_since) + ", by " +
                                comma_separated(entry.record.accusers));
  table_.set_state(entry, State::dead, now);
  table_.queue_update(entry);
  if (settings_.disabled_safeguard == DisabledSafeguard::tombstones) table_.erase(entry.record.name);
  schedule_contact(now, true);
}

void Membership::expire_tombstones(Time now) {
  std::vector<std::string> expired;
  for (const auto& [name, entry] : table_.entries()) {
    if (is_gone(entry.record.state) && now >= entry.state_since + settings_.tombstone_retention)
      expired.push_back(name);
  }
  for (const std::string& name : expired) {
    const Record& record = table_.find(name)->record;
    if (record.state == State::dead &&
        std::ranges::find(forgotten_addresses_, record.address) == forgotten_addresses_.end()) {
      if (forgotten_addresses_.size() < kMaxForgottenAddresses)
        forgotten_addresses_.push_back(record.address);
      else
        forgotten_addresses_[random_below(kMaxForgottenAddresses)] = record.address;
    }
    table_.erase(name);
    mark_changed(now);
  }
  expire_tombstones_at_ = table_.gone_count() > 0 ? now + settings_.tombstone_retention / 8 : Time::max();
}

}  // namespace valedrum::membership
