// Datagrams: direct and indirect probes, probes relayed for other members, and gossip.
#include <algorithm>
#include <cmath>

#include "membership/membership.h"

namespace valedrum::membership {
namespace {

constexpr std::size_t kMaxRelayedProbes = 64;  // at once; further ping_reqs are dropped
constexpr std::size_t kSuspectsNotifiedAtOnce = 16;
constexpr std::size_t kGossipFanout = 3;
constexpr int kGossipsPerPeriod = 5;
// Size of an answer to an unverified address, as a multiple of the request, so that a forged sender address
// cannot be used to amplify traffic.
constexpr std::size_t kMaxAmplification = 3;
constexpr double kNackAfter = 0.5;  // of the ack timeout, so that the nack arrives before the probe ends

Duration scaled(Duration duration, double factor) {
  return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

}  // namespace

Message Membership::make_message(MessageKind kind, const std::string& target, std::uint64_t nonce) const {
  Message message;
  message.kind = kind;
  message.fleet = settings_.fleet;
  message.sender = self_.name;
  message.instance = self_.instance;
  message.stamp = self_.stamp;
  message.target = target;
  message.nonce = nonce;
  message.digest = digest();
  return message;
}

// Sends a message with as many piggybacked updates as fit into `room` bytes, the record of `first` ahead of
// them.
void Membership::send(Time now, const Address& to, const Message& message, std::size_t room,
                      const Table::Entry* first) {
  std::vector<std::string> records;
  std::size_t used = encode(message).size() + 2;  // the number of records may take up to two more bytes
  const auto append = [&](std::string bytes) {
    if (used + bytes.size() > room) return false;
    used += bytes.size();
    records.push_back(std::move(bytes));
    return true;
  };
  if (first) append(encode(Table::record_to_send(*first, now)));
  if (!observer_ && self_transmissions_ < retransmit_limit() && append(encode(self_))) ++self_transmissions_;
  if (used < room) {
    for (std::string& bytes : table_.take_updates(room - used, retransmit_limit(), now))
      records.push_back(std::move(bytes));
  }
  datagrams_.push_back({to, encode(message, records)});
}

std::vector<Table::Entry*> Membership::random_live(std::size_t n, std::string_view except) {
  std::vector<Table::Entry*> some;
  const std::vector<Table::Entry*>& live = table_.live_entries();
  if (live.size() <= 2 * n + 2) {
    some = live;
    std::erase_if(some, [&](const Table::Entry* entry) { return entry->record.name == except; });
    for (std::size_t i = some.size(); i > 1; --i) std::swap(some[i - 1], some[random_below(i)]);
    some.resize(std::min(n, some.size()));
    return some;
  }
  while (some.size() < n) {
    Table::Entry* entry = live[random_below(live.size())];
    if (entry->record.name != except && std::ranges::find(some, entry) == some.end()) some.push_back(entry);
  }
  return some;
}

// Each round probes every member once, in random order.
Table::Entry* Membership::next_probe_target() {
  for (int rounds = 0; rounds < 2; ++rounds) {
    while (!probe_round_.empty()) {
      Table::Entry* entry = table_.find(probe_round_.back());
      probe_round_.pop_back();
      if (entry && !is_gone(entry->record.state)) return entry;
    }
    for (const Table::Entry* entry : table_.live_entries()) probe_round_.push_back(entry->record.name);
    for (std::size_t i = probe_round_.size(); i > 1; --i)
      std::swap(probe_round_[i - 1], probe_round_[random_below(i)]);
  }
  return nullptr;
}

// Adds a new member to the current round: with a thousand members a round lasts a quarter of an hour.
void Membership::add_to_probe_round(const std::string& name) {
  probe_round_.insert(probe_round_.begin() + random_below(probe_round_.size() + 1), name);
}

// ---------------------------------------------------------------------------------------- probes

void Membership::advance_probe(Time now) {
  if (probe_ && now >= probe_->ends_at) fail_probe(now);
  if (probe_ && now >= probe_->indirect_at) send_ping_reqs(now);
  if (probe_ || now < probe_at_) return;
  probe_at_ = now + jittered(scaled(settings_.probe_interval, timeout_multiplier()));
  const Table::Entry* entry = next_probe_target();
  if (!entry) return;
  ++counters_.probes;
  probe_ =
      Probe{entry->record.name, random_number(), now + scaled(settings_.ack_timeout, timeout_multiplier()),
            now + scaled(settings_.probe_interval, timeout_multiplier())};
  send(now, entry->record.address, make_message(MessageKind::ping, entry->record.name, probe_->nonce),
       settings_.max_datagram_bytes, entry->record.state == State::suspect ? entry : nullptr);
}

void Membership::send_ping_reqs(Time now) {
  probe_->indirect_at = Time::max();
  for (const Table::Entry* entry : random_live(settings_.indirect_probes, probe_->target)) {
    if (entry->record.state == State::suspect) continue;
    ++probe_->helpers;
    ++counters_.indirect_probe_requests;
    send(now, entry->record.address, make_message(MessageKind::ping_req, probe_->target, probe_->nonce),
         settings_.max_datagram_bytes, nullptr);
  }
}

void Membership::fail_probe(Time now) {
  const Probe failed = *std::exchange(probe_, std::nullopt);
  ++counters_.failed_probes;
  // Helpers that sent neither ack nor nack suggest that this member itself does not receive.
  adjust_local_health(
      failed.helpers > 0 ? static_cast<int>(failed.helpers - std::min(failed.helpers, failed.nacks)) : 1);
  Table::Entry* entry = table_.find(failed.target);
  if (!entry || is_gone(entry->record.state)) return;
  if (entry->record.state != State::suspect) {
    report(failed.target, "suspect: no answer, directly or by " + std::to_string(failed.helpers) +
                              " others, " + std::to_string(failed.nacks) + " of which were heard");
  }
  suspect(now, *entry, {self_.name}, false);
}

// Pings suspects with the suspicion, so that they can refute it. The suspicion timeout counts from the ping,
// because after a healed partition there are many suspects at once.
void Membership::notify_suspects(Time now) {
  if (now < notify_suspects_at_) return;
  for (std::size_t n = 0; n < kSuspectsNotifiedAtOnce && !unnotified_suspects_.empty();) {
    const std::string name = std::move(unnotified_suspects_.back());
    unnotified_suspects_.pop_back();
    Table::Entry* entry = table_.find(name);
    if (!entry || entry->record.state != State::suspect) continue;
    entry->state_since = now;
    send(now, entry->record.address, make_message(MessageKind::ping, name, untracked_nonce_),
         settings_.max_datagram_bytes, entry);
    ++n;
  }
  notify_suspects_at_ =
      unnotified_suspects_.empty() ? Time::max() : now + settings_.probe_interval / kGossipsPerPeriod;
}

void Membership::send_gossip(Time now) {
  if (now < gossip_at_) return;
  gossip_at_ = Time::max();
  for (const Table::Entry* entry : random_live(kGossipFanout, {})) {
    if (!table_.has_pending_updates() && self_transmissions_ >= retransmit_limit()) break;
    send(now, entry->record.address, make_message(MessageKind::gossip, {}, 0), settings_.max_datagram_bytes,
         entry->record.state == State::suspect ? entry : nullptr);
  }
  if (table_.live_count() > 0 && (table_.has_pending_updates() || self_transmissions_ < retransmit_limit()))
    gossip_at_ = now + jittered(settings_.probe_interval / kGossipsPerPeriod);
}

void Membership::advance_relayed_probes(Time now) {
  for (auto at = relayed_probes_.begin(); at != relayed_probes_.end();) {
    RelayedProbe& probe = at->second;
    if (!probe.nacked && now >= probe.nack_at) {
      probe.nacked = true;
      send(now, probe.requester, make_message(MessageKind::nack, probe.target, probe.nonce),
           settings_.max_datagram_bytes, nullptr);
    }
    at = now >= probe.ends_at ? relayed_probes_.erase(at) : std::next(at);
  }
}

// ------------------------------------------------------------------------------- received datagrams

void Membership::receive(Time now, const Address& from, std::string_view bytes) {
  detect_stall(now);
  if (left_) return;
  auto read = decode(bytes, settings_.max_datagram_bytes);
  if (const DropReason* reason = std::get_if<DropReason>(&read)) return count_drop(now, *reason);
  const Message& message = std::get<Message>(read);
  if (message.fleet != settings_.fleet) return count_drop(now, DropReason::other_fleet);
  if (message.kind > MessageKind::gossip) return count_drop(now, DropReason::misdirected);
  if (message.sender == self_.name) {
    if (message.instance == self_.instance) return count_drop(now, DropReason::stray);
    on_message_from_namesake(now, message, from);
    return finish_call(now);
  }
  if (observer_) return;
  for (const Record& record : message.records) merge_record(now, record);
  Table::Entry* entry = table_.find(message.sender);
  if (entry && entry->record.instance == message.instance && !is_gone(entry->record.state))
    entry->last_heard = now;
  switch (message.kind) {
    case MessageKind::ping:
      on_ping(now, from, message, bytes.size());
      break;
    case MessageKind::ping_req:
      on_ping_req(now, from, message);
      break;
    case MessageKind::ack:
      on_ack(now, from, message);
      break;
    case MessageKind::nack:
      on_nack(message);
      break;
    default:
      break;
  }
  compare_digest(now, message);
  finish_call(now);
}

void Membership::on_ping(Time now, const Address& from, const Message& message, std::size_t size) {
  // A ping without a target is for whichever member is at this address.
  if (!message.target.empty() && message.target != self_.name)
    return count_drop(now, DropReason::misdirected);
  const Table::Entry* entry = table_.find(message.sender);
  const bool verified = entry && entry->address_verified && entry->record.address == from;
  // A sender that is held suspect or gone, or with a newer stamp than its own, has to learn that to refute
  // it.
  const bool must_refute = entry && (entry->record.state == State::suspect || is_gone(entry->record.state) ||
                                     entry->record.stamp > message.stamp);
  send(now, from, make_message(MessageKind::ack, self_.name, message.nonce),
       verified ? settings_.max_datagram_bytes
                : std::min(settings_.max_datagram_bytes, size * kMaxAmplification),
       must_refute ? entry : nullptr);
}

// Relays probes only between known members, so that no one can direct traffic at other addresses.
void Membership::on_ping_req(Time now, const Address& from, const Message& message) {
  const Table::Entry* requester = table_.find(message.sender);
  const Table::Entry* entry = table_.find(message.target);
  if (!requester || requester->record.address != from || !entry ||
      relayed_probes_.size() >= kMaxRelayedProbes)
    return count_drop(now, DropReason::stray);
  const std::uint64_t nonce = random_number();
  const Duration timeout = scaled(settings_.ack_timeout, timeout_multiplier());
  relayed_probes_[nonce] = {from, message.nonce, message.target,
                            now + scaled(settings_.ack_timeout, kNackAfter), now + timeout * 2};
  send(now, entry->record.address, make_message(MessageKind::ping, message.target, nonce),
       settings_.max_datagram_bytes, entry->record.state == State::suspect ? entry : nullptr);
}

void Membership::on_ack(Time now, const Address& from, const Message& message) {
  const bool probed = probe_ && message.nonce == probe_->nonce && message.target == probe_->target;
  const auto found = relayed_probes_.find(message.nonce);
  const bool relayed = found != relayed_probes_.end() && found->second.target == message.target;
  if (!probed && !relayed && message.nonce != untracked_nonce_) return count_drop(now, DropReason::stray);
  if (Table::Entry* entry = table_.find(message.sender); entry && entry->record.address == from)
    entry->address_verified = true;
  if (probed) {
    probe_.reset();
    adjust_local_health(-1);
  } else if (relayed) {
    const RelayedProbe probe = found->second;
    relayed_probes_.erase(found);
    send(now, probe.requester, make_message(MessageKind::ack, probe.target, probe.nonce),
         settings_.max_datagram_bytes, table_.find(probe.target));
  }
}

void Membership::on_nack(const Message& message) {
  if (probe_ && message.nonce == probe_->nonce && message.target == probe_->target) ++probe_->nacks;
}

}  // namespace valedrum::membership
