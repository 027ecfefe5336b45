// Datagrams: probes, in one's own place and in others', and what is passed on.
#include <algorithm>
#include <cmath>

#include "membership/membership.h"

namespace valedrum::membership {
namespace {

constexpr std::size_t kMostRelayed = 64;  // probes for others at once: what asks for more is not answered
constexpr std::size_t kVerifyAtOnce = 16;
constexpr std::size_t kGossipTo = 3;
constexpr int kGossipsAPeriod = 5;
constexpr std::size_t kUnproven = 3;  // an answer is no larger than so many times the question
constexpr double kNackAfter =
    0.5;  // of the time that an acknowledgement has: it must be back before the probe ends

Duration times(Duration d, double by) { return Duration(std::llround(static_cast<double>(d.count()) * by)); }

}  // namespace

Message Membership::message(MessageKind kind, const std::string& target, std::uint64_t nonce) const {
  Message m;
  m.kind = kind;
  m.fleet = settings_.fleet;
  m.sender = self_.name;
  m.instance = self_.instance;
  m.stamp = self_.stamp;
  m.target = target;
  m.nonce = nonce;
  m.digest = digest();
  return m;
}

// With as much news as `room` bytes take, and `first` ahead of it.
void Membership::send(Time now, const Address& to, const Message& m, std::size_t room,
                      const Table::Entry* first) {
  std::vector<std::string> records;
  std::size_t used = encode(m).size() + 2;  // the number of records may take two bytes more
  const auto put = [&](std::string bytes) {
    if (used + bytes.size() > room) return false;
    used += bytes.size();
    records.push_back(std::move(bytes));
    return true;
  };
  if (first) put(encode(Table::record_to_send(*first, now)));
  if (!yielded_ && self_sent_ < spread() && put(encode(self_))) ++self_sent_;
  if (used < room) {
    for (std::string& bytes : table_.take_updates(room - used, spread(), now))
      records.push_back(std::move(bytes));
  }
  datagrams_.push_back({to, encode(m, records)});
}

std::vector<Table::Entry*> Membership::some_live(std::size_t n, std::string_view but) {
  std::vector<Table::Entry*> some;
  const std::vector<Table::Entry*>& live = table_.live_entries();
  if (live.size() <= 2 * n + 2) {
    some = live;
    std::erase_if(some, [&](const Table::Entry* e) { return e->record.name == but; });
    for (std::size_t i = some.size(); i > 1; --i) std::swap(some[i - 1], some[below(i)]);
    some.resize(std::min(n, some.size()));
    return some;
  }
  while (some.size() < n) {
    Table::Entry* e = live[below(live.size())];
    if (e->record.name != but && std::ranges::find(some, e) == some.end()) some.push_back(e);
  }
  return some;
}

// Each member once in a round, in an order of its own.
Table::Entry* Membership::next_target() {
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!round_.empty()) {
      Table::Entry* e = table_.find(round_.back());
      round_.pop_back();
      if (e && !is_gone(e->record.state)) return e;
    }
    for (const Table::Entry* e : table_.live_entries()) round_.push_back(e->record.name);
    for (std::size_t i = round_.size(); i > 1; --i) std::swap(round_[i - 1], round_[below(i)]);
  }
  return nullptr;
}

// One that is new has its turn in this round too: a round of a thousand members lasts a quarter of an hour.
void Membership::include(const std::string& name) {
  round_.insert(round_.begin() + below(round_.size() + 1), name);
}

// ---------------------------------------------------------------------------------------- probes

void Membership::probe(Time now) {
  if (probe_ && now >= probe_->ends_at) end_probe(now);
  if (probe_ && now >= probe_->others_at) ask_others(now);
  if (probe_ || now < probe_at_) return;
  probe_at_ = now + jittered(times(settings_.probe_interval, factor()));
  const Table::Entry* e = next_target();
  if (!e) return;
  ++counters_.probes;
  probe_ = Probe{e->record.name, draw(), now + times(settings_.ack_timeout, factor()),
                 now + times(settings_.probe_interval, factor())};
  send(now, e->record.address, message(MessageKind::ping, e->record.name, probe_->nonce),
       settings_.max_datagram_bytes, e->record.state == State::suspect ? e : nullptr);
}

void Membership::ask_others(Time now) {
  probe_->others_at = Time::max();
  for (const Table::Entry* e : some_live(settings_.indirect_probes, probe_->target)) {
    if (e->record.state == State::suspect) continue;
    ++probe_->asked;
    ++counters_.indirect_probe_requests;
    send(now, e->record.address, message(MessageKind::ping_req, probe_->target, probe_->nonce),
         settings_.max_datagram_bytes, nullptr);
  }
}

void Membership::end_probe(Time now) {
  const Probe over = *std::exchange(probe_, std::nullopt);
  ++counters_.failed_probes;
  // Others that were asked and said nothing at all: perhaps it is this member that does not hear.
  doubt_by(over.asked > 0 ? static_cast<int>(over.asked - std::min(over.asked, over.nacks)) : 1);
  Table::Entry* e = table_.find(over.target);
  if (!e || is_gone(e->record.state)) return;
  if (e->record.state != State::suspect) {
    say(over.target, "suspect: no answer, directly or by " + std::to_string(over.asked) + " others, " +
                         std::to_string(over.nacks) + " of which were heard");
  }
  suspect(now, *e, {self_.name}, false);
}

// One that is suspected is asked itself, with the suspicion, so that it can refute it. The suspicion counts
// from then on: in a healed cut there are many at once.
void Membership::verify(Time now) {
  if (now < verify_at_) return;
  for (std::size_t n = 0; n < kVerifyAtOnce && !verify_.empty();) {
    const std::string name = std::move(verify_.back());
    verify_.pop_back();
    Table::Entry* e = table_.find(name);
    if (!e || e->record.state != State::suspect) continue;
    e->state_since = now;
    send(now, e->record.address, message(MessageKind::ping, name, quiet_nonce_), settings_.max_datagram_bytes,
         e);
    ++n;
  }
  verify_at_ = verify_.empty() ? Time::max() : now + settings_.probe_interval / kGossipsAPeriod;
}

void Membership::gossip(Time now) {
  if (now < gossip_at_) return;
  gossip_at_ = Time::max();
  for (const Table::Entry* e : some_live(kGossipTo, {})) {
    if (!table_.has_pending_updates() && self_sent_ >= spread()) break;
    send(now, e->record.address, message(MessageKind::gossip, {}, 0), settings_.max_datagram_bytes,
         e->record.state == State::suspect ? e : nullptr);
  }
  if (table_.live_count() > 0 && (table_.has_pending_updates() || self_sent_ < spread()))
    gossip_at_ = now + jittered(settings_.probe_interval / kGossipsAPeriod);
}

void Membership::relayed_due(Time now) {
  for (auto at = relayed_.begin(); at != relayed_.end();) {
    Relayed& r = at->second;
    if (!r.nacked && now >= r.nack_at) {
      r.nacked = true;
      send(now, r.asker, message(MessageKind::nack, r.target, r.nonce), settings_.max_datagram_bytes,
           nullptr);
    }
    at = now >= r.ends_at ? relayed_.erase(at) : std::next(at);
  }
}

// -------------------------------------------------------------------------------- what comes in

void Membership::receive(Time now, const Address& from, std::string_view bytes) {
  notice(now);
  if (left_) return;
  auto read = decode(bytes, settings_.max_datagram_bytes);
  if (const DropReason* why = std::get_if<DropReason>(&read)) return dropped(now, *why);
  const Message& m = std::get<Message>(read);
  if (m.fleet != settings_.fleet) return dropped(now, DropReason::other_fleet);
  if (m.kind > MessageKind::gossip) return dropped(now, DropReason::misdirected);
  if (m.sender == self_.name) {
    if (m.instance == self_.instance) return dropped(now, DropReason::stray);
    heard_rival(now, m, from);
    return finish(now);
  }
  if (yielded_) return;
  for (const Record& r : m.records) merge(now, r);
  Table::Entry* e = table_.find(m.sender);
  if (e && e->record.instance == m.instance && !is_gone(e->record.state)) e->heard = now;
  switch (m.kind) {
    case MessageKind::ping:
      on_ping(now, from, m, bytes.size());
      break;
    case MessageKind::ping_req:
      on_ping_req(now, from, m);
      break;
    case MessageKind::ack:
      on_ack(now, from, m);
      break;
    case MessageKind::nack:
      on_nack(m);
      break;
    default:
      break;
  }
  compare(now, m);
  finish(now);
}

void Membership::on_ping(Time now, const Address& from, const Message& m, std::size_t size) {
  // Without a target: whoever is at this address.
  if (!m.target.empty() && m.target != self_.name) return dropped(now, DropReason::misdirected);
  const Table::Entry* e = table_.find(m.sender);
  const bool proven = e && e->address_verified && e->record.address == from;
  // What is held of it is older or worse than it knows: it has to hear that, to refute it.
  const bool tell =
      e && (e->record.state == State::suspect || is_gone(e->record.state) || e->record.stamp > m.stamp);
  send(now, from, message(MessageKind::ack, self_.name, m.nonce),
       proven ? settings_.max_datagram_bytes : std::min(settings_.max_datagram_bytes, size * kUnproven),
       tell ? e : nullptr);
}

// Only members that are known are probed for others: nobody can have a stranger asked.
void Membership::on_ping_req(Time now, const Address& from, const Message& m) {
  const Table::Entry* asker = table_.find(m.sender);
  const Table::Entry* e = table_.find(m.target);
  if (!asker || asker->record.address != from || !e || relayed_.size() >= kMostRelayed)
    return dropped(now, DropReason::stray);
  const std::uint64_t nonce = draw();
  const Duration within = times(settings_.ack_timeout, factor());
  relayed_[nonce] = {from, m.nonce, m.target, now + times(settings_.ack_timeout, kNackAfter),
                     now + within * 2};
  send(now, e->record.address, message(MessageKind::ping, m.target, nonce), settings_.max_datagram_bytes,
       e->record.state == State::suspect ? e : nullptr);
}

void Membership::on_ack(Time now, const Address& from, const Message& m) {
  const bool probed = probe_ && m.nonce == probe_->nonce && m.target == probe_->target;
  const auto found = relayed_.find(m.nonce);
  const bool relayed = found != relayed_.end() && found->second.target == m.target;
  if (!probed && !relayed && m.nonce != quiet_nonce_) return dropped(now, DropReason::stray);
  if (Table::Entry* e = table_.find(m.sender); e && e->record.address == from) e->address_verified = true;
  if (probed) {
    probe_.reset();
    doubt_by(-1);
  } else if (relayed) {
    const Relayed r = found->second;
    relayed_.erase(found);
    send(now, r.asker, message(MessageKind::ack, r.target, r.nonce), settings_.max_datagram_bytes,
         table_.find(r.target));
  }
}

void Membership::on_nack(const Message& m) {
  if (probe_ && m.nonce == probe_->nonce && m.target == probe_->target) ++probe_->nacks;
}

}  // namespace valedrum::membership
