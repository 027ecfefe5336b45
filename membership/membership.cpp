#include "membership/membership.h"

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <stdexcept>

namespace valedrum::membership {

using namespace std::chrono_literals;

namespace {

// Each update is transmitted this many times log2(members); the retransmit multiplier of SWIM.
constexpr unsigned kRetransmitMultiplier = 3;
// A drop reason is logged at most this often.
constexpr auto kDropLogInterval = 1min;

}  // namespace

Membership::Membership(Settings settings, Record self, std::uint64_t seed, Time now)
    : settings_(std::move(settings)), self_(std::move(self)), engine_(seed) {
  check(settings_);
  if (self_.name.empty() || self_.name.size() > kMaxNameBytes)
    throw std::invalid_argument("name: 1 to 64 bytes");
  if (self_.machine.size() > kMaxNameBytes) throw std::invalid_argument("machine: 64 bytes at most");
  if (self_.zone.size() > kMaxZoneBytes) throw std::invalid_argument("zone: 32 bytes at most");
  if (!self_.address) throw std::invalid_argument("advertise: no address");
  self_.state = State::joining;
  untracked_nonce_ = random_number();
  reseed(now, settings_.seeds);
  // Spread over the first period, because many members may be started at once.
  const auto within_first_period = [&] {
    return now + Duration(random_below(static_cast<std::size_t>(settings_.probe_interval.count())));
  };
  contact_at_ = untried_seeds_.empty() ? now : within_first_period();
  contact_interval_ = settings_.probe_interval * 2;
  probe_at_ = within_first_period();
  expected_wake_ = next_wake();
}

std::uint32_t Membership::random_below(std::size_t n) {
  return boost::random::uniform_int_distribution<std::uint32_t>(0,
                                                                static_cast<std::uint32_t>(n - 1))(engine_);
}

Duration Membership::jittered(Duration duration, double part) {
  const double unit = boost::random::uniform_01<double>()(engine_);
  return Duration(std::llround(static_cast<double>(duration.count()) * (1 - part + 2 * part * unit)));
}

double Membership::timeout_multiplier() const {
  return settings_.disabled_safeguard == DisabledSafeguard::local_health ? 1 : 1.0 + local_health_score_;
}

unsigned Membership::retransmit_limit() const {
  return kRetransmitMultiplier *
         static_cast<unsigned>(std::ceil(std::log2(static_cast<double>(table_.live_count() + 2))));
}

void Membership::adjust_local_health(int by) {
  local_health_score_ = static_cast<unsigned>(
      std::clamp(static_cast<int>(local_health_score_) + by, 0, static_cast<int>(kMaxLocalHealthScore)));
}

std::uint64_t Membership::self_digest() const { return observer_ || left_ ? 0 : Table::hash_of(self_); }

void Membership::report(const std::string& member, std::string description) {
  view_events_.push_back({member, std::move(description)});
}

void Membership::mark_changed(Time now) {
  ++version_;
  changed_at_ = now;
}

void Membership::count_drop(Time now, DropReason reason) {
  const auto index = static_cast<std::size_t>(reason);
  ++counters_.dropped[index];
  if (reason == DropReason::stray) return;  // late and repeated messages are normal
  if (drop_logged_at_[index] != Time{} && now < drop_logged_at_[index] + kDropLogInterval) return;
  drop_logged_at_[index] = now;
  report("", "a datagram or frame was not taken: " + std::string(name_of(reason)));
}

// ---------------------------------------------------------------------------------------- timers

// Begins every public call. A call well after the expected wake-up means that this process itself did not
// run.
void Membership::detect_stall(Time now) {
  if (expected_wake_ != Time::max() && now > expected_wake_ + settings_.probe_interval / 2)
    on_stall(now, now - expected_wake_);
}

void Membership::on_stall(Time now, Duration late) {
  ++counters_.stalls;
  if (settings_.disabled_safeguard == DisabledSafeguard::local_health) return;
  // Answers may be waiting unread, so the pause must not count against other members.
  adjust_local_health(1 + static_cast<int>(std::min<std::int64_t>(late / settings_.probe_interval, 2)));
  probe_.reset();
  probe_at_ = now + jittered(settings_.probe_interval / 2, 1);
  relayed_probes_.clear();
  for (const std::string& name : table_.suspect_names()) table_.find(name)->state_since += late;
  if (late < settings_.tombstone_retention / 2) return;
  // Other members may have forgotten by now what this one still holds, so it joins as after a start.
  std::vector<std::string> names;
  for (const auto& [name, entry] : table_.entries()) {
    if (!is_gone(entry.record.state)) untried_seeds_.push_back(entry.record.address);
    names.push_back(name);
  }
  for (const std::string& name : names) table_.erase(name);
  unnotified_suspects_.clear();
  joined_ = false;
  self_.state = State::joining;
  contact_at_ = now;
  mark_changed(now);
  report("", "away for " + std::to_string(late / 1s) + " s: rejoins");
}

void Membership::wake(Time now) {
  detect_stall(now);
  if (left_) return;
  if (!observer_) {
    advance_probe(now);
    advance_relayed_probes(now);
    notify_suspects(now);
    expire_suspicions(now);
    send_gossip(now);
  }
  check_name_claim(now);
  if (now >= contact_at_) contact_peers(now);
  if (now >= expire_tombstones_at_) expire_tombstones(now);
  finish_call(now);
}

void Membership::finish_call(Time now) {
  if (gossip_at_ == Time::max() && table_.live_count() > 0 &&
      (table_.has_pending_updates() || self_transmissions_ < retransmit_limit())) {
    gossip_at_ = now + jittered(settings_.probe_interval / 10, 1);
  }
  if (notify_suspects_at_ == Time::max() && !unnotified_suspects_.empty()) notify_suspects_at_ = now;
  if (expire_tombstones_at_ == Time::max() && table_.gone_count() > 0)
    expire_tombstones_at_ = now + settings_.tombstone_retention / 8;
  update_reachability(now);
  // A received message may make a timer due at or before `now`; that is no delay of this process.
  expected_wake_ = std::max(now, next_wake());
}

Time Membership::next_wake() const {
  if (left_) return Time::max();
  Time at = std::min(contact_at_, expire_tombstones_at_);
  if (name_claim_) at = std::min(at, name_claim_->next_try);
  if (self_.conflicting_address) at = std::min(at, conflict_heard_at_ + settings_.max_reconnect_interval * 3);
  if (observer_) return at;
  at = std::min(at, probe_ ? std::min(probe_->indirect_at, probe_->ends_at) : probe_at_);
  at = std::min({at, gossip_at_, notify_suspects_at_});
  for (const auto& [nonce, probe] : relayed_probes_)
    at = std::min(at, probe.nacked ? probe.ends_at : probe.nack_at);
  for (const std::string& name : table_.suspect_names()) {
    const Table::Entry& entry = *table_.find(name);
    at = std::min(at, entry.state_since + suspicion_timeout(entry));
  }
  return at;
}

// ----------------------------------------------------------------------------------- state of the view

void Membership::update_reachability(Time now) {
  const Reachability current = reachability(now);
  const auto track = [now](std::optional<Time>& since, bool holds) {
    if (!holds) since.reset();
    if (holds && !since) since = now;
  };
  track(reduced_since_, current.reachable < current.known);
  track(minority_since_, current.known > 1 && current.reachable * 2 <= current.known);
}

Reachability Membership::reachability(Time) const {
  Reachability current;
  current.reachable = table_.live_count() - table_.suspect_count() + 1;
  current.known = table_.live_count() + table_.dead_count() + 1;
  current.reduced_since = reduced_since_;
  current.minority_since = minority_since_;
  return current;
}

std::vector<Record> Membership::healthy_members(const std::function<bool(const Record&)>& filter) const {
  std::vector<Record> all;
  for (const auto& [name, entry] : table_.entries()) {
    if (entry.record.state == State::alive && !entry.record.conflicting_address && filter(entry.record))
      all.push_back(entry.record);
  }
  return all;
}

void Membership::publish(Time now, std::uint32_t version, std::string bytes) {
  if (version == 0 || bytes.size() > kMaxPublishedBytes) throw std::invalid_argument("published: too large");
  detect_stall(now);
  if (self_.published_version == version && self_.published == bytes) return;
  self_.published_version = version;
  self_.published = std::move(bytes);
  ++self_.stamp.revision;
  announce_self(now);
  finish_call(now);
}

void Membership::leave(Time now) {
  if (left_) return;
  if (joined_ && !observer_) {
    self_.state = State::left;
    ++self_.stamp.revision;
    self_transmissions_ = 0;
    for (const Table::Entry* entry : random_live(retransmit_limit(), {})) {
      send(now, entry->record.address, make_message(MessageKind::gossip, {}, 0), settings_.max_datagram_bytes,
           nullptr);
    }
  }
  left_ = true;
  expected_wake_ = next_wake();
}

void Membership::reseed(Time now, std::vector<Address> seeds) {
  std::erase(seeds, self_.address);
  settings_.seeds = std::move(seeds);
  if (!joined_) untried_seeds_ = settings_.seeds;
  if (joined_) schedule_contact(now, true);
}

void Membership::complete_join(Time now, const char* reason) {
  joined_ = true;
  self_.state = State::alive;
  ++self_.stamp.revision;
  announce_self(now);
  report(self_.name, "alive, incarnation " + std::to_string(self_.stamp.incarnation) + ": " + reason);
  schedule_contact(now, true);
}

}  // namespace valedrum::membership
