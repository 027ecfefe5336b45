#include "membership/membership.h"

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <stdexcept>

namespace valedrum::membership {

using namespace std::chrono_literals;

namespace {

constexpr unsigned kSpread = 3;  // times log2 of the members, that each change is passed on

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
  quiet_nonce_ = draw();
  reseed(now, settings_.seeds);
  // Anywhere within the first period: many may be started at one moment.
  const auto anywhere = [&] {
    return now + Duration(below(static_cast<std::size_t>(settings_.probe_interval.count())));
  };
  contact_at_ = seeds_left_.empty() ? now : anywhere();
  contact_pause_ = settings_.probe_interval * 2;
  probe_at_ = anywhere();
  planned_ = next_wake();
}

std::uint32_t Membership::below(std::size_t n) {
  return boost::random::uniform_int_distribution<std::uint32_t>(0,
                                                                static_cast<std::uint32_t>(n - 1))(engine_);
}

Duration Membership::jittered(Duration span, double part) {
  const double unit = boost::random::uniform_01<double>()(engine_);
  return Duration(std::llround(static_cast<double>(span.count()) * (1 - part + 2 * part * unit)));
}

double Membership::factor() const {
  return settings_.disabled_safeguard == DisabledSafeguard::local_health ? 1 : 1.0 + doubt_;
}

unsigned Membership::spread() const {
  return kSpread * static_cast<unsigned>(std::ceil(std::log2(static_cast<double>(table_.live_count() + 2))));
}

void Membership::doubt_by(int by) {
  doubt_ = static_cast<unsigned>(
      std::clamp(static_cast<int>(doubt_) + by, 0, static_cast<int>(kMaxLocalHealthScore)));
}

std::uint64_t Membership::self_digest() const { return yielded_ || left_ ? 0 : Table::hash_of(self_); }

void Membership::say(const std::string& name, std::string what) {
  changes_.push_back({name, std::move(what)});
}

void Membership::changed(Time now) {
  ++version_;
  changed_at_ = now;
}

void Membership::dropped(Time now, DropReason why) {
  const auto kind = static_cast<std::size_t>(why);
  ++counters_.dropped[kind];
  if (why == DropReason::stray) return;  // what is late or comes twice is nothing to tell
  if (drop_told_[kind] != Time{} && now < drop_told_[kind] + 1min) return;
  drop_told_[kind] = now;
  say("", "a datagram or frame was not taken: " + std::string(name_of(why)));
}

// ------------------------------------------------------------------------------------------ time

// Every call begins here: one that comes late says that this member itself did not run.
void Membership::notice(Time now) {
  if (planned_ != Time::max() && now > planned_ + settings_.probe_interval / 2) stalled(now, now - planned_);
}

void Membership::stalled(Time now, Duration late) {
  ++counters_.stalls;
  if (settings_.disabled_safeguard == DisabledSafeguard::local_health) return;
  // Answers may wait unread, and nobody could be heard: nothing of it is held against the others.
  doubt_by(1 + static_cast<int>(std::min<std::int64_t>(late / settings_.probe_interval, 2)));
  probe_.reset();
  probe_at_ = now + jittered(settings_.probe_interval / 2, 1);
  relayed_.clear();
  for (const std::string& name : table_.suspect_names()) table_.find(name)->state_since += late;
  if (late < settings_.tombstone_retention / 2) return;
  // What it holds may be forgotten by the others: as after a start.
  std::vector<std::string> names;
  for (const auto& [name, entry] : table_.entries()) {
    if (!is_gone(entry.record.state)) seeds_left_.push_back(entry.record.address);
    names.push_back(name);
  }
  for (const std::string& name : names) table_.erase(name);
  verify_.clear();
  joined_ = false;
  self_.state = State::joining;
  contact_at_ = now;
  changed(now);
  say("", "away for " + std::to_string(late / 1s) + " s: joins anew");
}

void Membership::wake(Time now) {
  notice(now);
  if (left_) return;
  if (!yielded_) {
    probe(now);
    relayed_due(now);
    verify(now);
    judge_suspects(now);
    gossip(now);
  }
  check_claim(now);
  if (now >= contact_at_) contact(now);
  if (now >= forget_at_) forget(now);
  finish(now);
}

void Membership::finish(Time now) {
  if (gossip_at_ == Time::max() && table_.live_count() > 0 &&
      (table_.has_pending_updates() || self_sent_ < spread())) {
    gossip_at_ = now + jittered(settings_.probe_interval / 10, 1);
  }
  if (verify_at_ == Time::max() && !verify_.empty()) verify_at_ = now;
  if (forget_at_ == Time::max() && table_.gone_count() > 0)
    forget_at_ = now + settings_.tombstone_retention / 8;
  look_at_reach(now);
  // What was heard may make something due at once, even before now: that is not late yet.
  planned_ = std::max(now, next_wake());
}

Time Membership::next_wake() const {
  if (left_) return Time::max();
  Time at = std::min(contact_at_, forget_at_);
  if (claim_) at = std::min(at, claim_->next);
  if (self_.conflicting_address) at = std::min(at, rival_heard_ + settings_.max_reconnect_interval * 3);
  if (yielded_) return at;
  at = std::min(at, probe_ ? std::min(probe_->others_at, probe_->ends_at) : probe_at_);
  at = std::min({at, gossip_at_, verify_at_});
  for (const auto& [nonce, r] : relayed_) at = std::min(at, r.nacked ? r.ends_at : r.nack_at);
  for (const std::string& name : table_.suspect_names()) {
    const Table::Entry& e = *table_.find(name);
    at = std::min(at, e.state_since + patience(e));
  }
  return at;
}

// ------------------------------------------------------------------------------------ what others ask

void Membership::look_at_reach(Time now) {
  const Reachability r = reachability(now);
  const auto keep = [now](std::optional<Time>& since, bool is) {
    if (!is) since.reset();
    if (is && !since) since = now;
  };
  keep(lessened_, r.reachable < r.known);
  keep(minority_, r.known > 1 && r.reachable * 2 <= r.known);
}

Reachability Membership::reachability(Time) const {
  Reachability r;
  r.reachable = table_.live_count() - table_.suspect_count() + 1;
  r.known = table_.live_count() + table_.dead_count() + 1;
  r.reduced_since = lessened_;
  r.minority_since = minority_;
  return r;
}

std::vector<Record> Membership::healthy_members(const std::function<bool(const Record&)>& wanted) const {
  std::vector<Record> all;
  for (const auto& [name, e] : table_.entries()) {
    if (e.record.state == State::alive && !e.record.conflicting_address && wanted(e.record))
      all.push_back(e.record);
  }
  return all;
}

void Membership::publish(Time now, std::uint32_t version, std::string bytes) {
  if (version == 0 || bytes.size() > kMaxPublishedBytes) throw std::invalid_argument("published: too large");
  notice(now);
  if (self_.published_version == version && self_.published == bytes) return;
  self_.published_version = version;
  self_.published = std::move(bytes);
  ++self_.stamp.revision;
  announce(now);
  finish(now);
}

void Membership::leave(Time now) {
  if (left_) return;
  if (joined_ && !yielded_) {
    self_.state = State::left;
    ++self_.stamp.revision;
    self_sent_ = 0;
    for (const Table::Entry* e : some_live(spread(), {})) {
      send(now, e->record.address, message(MessageKind::gossip, {}, 0), settings_.max_datagram_bytes,
           nullptr);
    }
  }
  left_ = true;
  planned_ = next_wake();
}

void Membership::reseed(Time now, std::vector<Address> seeds) {
  std::erase(seeds, self_.address);
  settings_.seeds = std::move(seeds);
  if (!joined_) seeds_left_ = settings_.seeds;
  if (joined_) plan_contact(now, true);
}

void Membership::join(Time now, const char* how) {
  joined_ = true;
  self_.state = State::alive;
  ++self_.stamp.revision;
  announce(now);
  say(self_.name, "alive, incarnation " + std::to_string(self_.stamp.incarnation) + ": " + how);
  plan_contact(now, true);
}

}  // namespace valedrum::membership
