// Streams: the whole view at a join, and what gossip has missed. Digests of 64 buckets say where two views
// differ; only these go over.
#include <algorithm>
#include <cmath>

#include "membership/membership.h"

namespace valedrum::membership {
namespace {

constexpr std::size_t kManyRumours = 64;  // more than datagrams carry soon
constexpr double kSlower = 1.5;           // each pause between tries to reach what is lost
constexpr std::size_t kAskedToo = 7;  // lost addresses that get a datagram beside the one that gets a stream
constexpr double kFewMembers = 8;     // of more, each tries the more seldom: the fleet's tries stay as many

}  // namespace

std::array<std::uint64_t, kDigestBuckets> Membership::buckets() const {
  std::array<std::uint64_t, kDigestBuckets> all = table_.buckets();
  all[Table::bucket_of(self_.name)] ^= self_digest();
  return all;
}

std::vector<std::string> Membership::records_of(std::uint64_t mask, Time now) const {
  std::vector<std::string> records;
  const auto wanted = [mask](const std::string& name) { return (mask >> Table::bucket_of(name) & 1) != 0; };
  for (const auto& [name, e] : table_.entries()) {
    if (wanted(name)) records.push_back(encode(Table::record_to_send(e, now)));
  }
  if (!yielded_ && wanted(self_.name)) records.push_back(encode(self_));
  return records;
}

void Membership::exchange(Time now, const Address& to) {
  if (exchange_) return;
  ++counters_.exchanges;
  exchange_ = Exchange{draw(), to};
  exchange_from_ = now + jittered(settings_.probe_interval, 0.5);
  Message pull = message(MessageKind::pull, {}, exchange_->token);
  for (const std::uint64_t b : buckets()) pull.buckets.push_back(b);
  if (!yielded_) pull.records.push_back(self_);
  asks_.push_back({exchange_->token, to, encode(pull)});
}

// News under way makes views differ for a moment: streams are for what it does not reach.
void Membership::compare(Time now, const Message& m) {
  if (m.digest == digest() || exchange_ || now < exchange_from_ || !joined_) return;
  if (settings_.disabled_safeguard == DisabledSafeguard::anti_entropy) return;
  const Duration calm = settings_.probe_interval / 5 *
                        static_cast<int>(std::ceil(std::log2(static_cast<double>(table_.live_count() + 2))));
  if (now < changed_at_ + calm && table_.pending_updates() <= kManyRumours) return;
  const Table::Entry* e = table_.find(m.sender);
  if (e && !is_gone(e->record.state)) exchange(now, e->record.address);
}

std::string Membership::serve(Time now, std::string_view frame) {
  notice(now);
  auto read = decode(frame, kMaxFrameBytes);
  if (const DropReason* why = std::get_if<DropReason>(&read)) return dropped(now, *why), std::string();
  const Message& m = std::get<Message>(read);
  if (m.fleet != settings_.fleet) return dropped(now, DropReason::other_fleet), std::string();
  if (m.kind != MessageKind::pull && m.kind != MessageKind::push)
    return dropped(now, DropReason::misdirected), std::string();
  // One that only looks on tells what it knows, too: it may be the only seed of one that joins.
  if (left_ || (m.sender == self_.name && m.instance == self_.instance)) return {};
  for (const Record& r : m.records) merge(now, r);
  Message reply =
      message(m.kind == MessageKind::pull ? MessageKind::view : MessageKind::push_ack, m.sender, m.nonce);
  std::string bytes;
  if (m.kind == MessageKind::pull) {
    const auto own = buckets();
    for (std::size_t b = 0; b < kDigestBuckets; ++b) {
      if (own[b] != m.buckets[b]) reply.mask |= 1ULL << b;
    }
    bytes = encode(reply, records_of(reply.mask, now));
  } else {
    bytes = encode(reply, yielded_ ? std::vector<std::string>() : std::vector{encode(self_)});
  }
  finish(now);
  return bytes;
}

void Membership::on_response(Time now, std::uint64_t token, std::string_view frame) {
  notice(now);
  if (left_ || !exchange_ || exchange_->token != token) return dropped(now, DropReason::stray);
  auto read = decode(frame, kMaxFrameBytes);
  const Message* m = std::get_if<Message>(&read);
  const MessageKind wanted = exchange_->pushing ? MessageKind::push_ack : MessageKind::view;
  if (!m || m->fleet != settings_.fleet || m->kind != wanted || m->nonce != token) {
    dropped(now, !m                            ? std::get<DropReason>(read)
                 : m->fleet != settings_.fleet ? DropReason::other_fleet
                                               : DropReason::misdirected);
    return on_request_failed(now, token);
  }
  const Exchange over = *std::exchange(exchange_, std::nullopt);
  for (const Record& r : m->records) merge(now, r);
  if (Table::Entry* e = table_.find(m->sender); e && e->record.address == over.to) e->address_verified = true;
  if (!joined_ && !claim_ && !yielded_ && m->sender != self_.name) join(now, ("by " + m->sender).c_str());
  if (m->kind == MessageKind::view && m->mask != 0 && !yielded_) {
    exchange_ = Exchange{draw(), over.to, true};
    asks_.push_back({exchange_->token, over.to,
                     encode(message(MessageKind::push, {}, exchange_->token), records_of(m->mask, now))});
  }
  finish(now);
}

void Membership::on_request_failed(Time now, std::uint64_t token) {
  notice(now);
  if (left_ || !exchange_ || exchange_->token != token) return;
  exchange_.reset();
  ++counters_.failed_exchanges;
  if (!joined_ && !yielded_) contact_at_ = now + jittered(settings_.probe_interval / 4, 0.5);
  finish(now);
}

// --------------------------------------------------------------------------- what is lost or not yet met

// Seeds that are no live members, those that are dead, and some that are forgotten.
std::vector<Address> Membership::lost() const {
  std::vector<Address> all = settings_.seeds;
  std::vector<Address> live;
  all.insert(all.end(), lost_.begin(), lost_.end());
  for (const auto& [name, e] : table_.entries()) {
    if (e.record.state == State::dead) all.push_back(e.record.address);
    if (!is_gone(e.record.state)) live.push_back(e.record.address);
  }
  std::ranges::sort(live);
  std::erase_if(all,
                [&](const Address& a) { return a == self_.address || std::ranges::binary_search(live, a); });
  return all;
}

void Membership::plan_contact(Time now, bool soon) {
  contact_pause_ =
      soon ? settings_.probe_interval * 2
           : std::min(settings_.max_reconnect_interval,
                      Duration(std::llround(static_cast<double>(contact_pause_.count()) * kSlower)));
  const double seldom = std::max(1.0, static_cast<double>(table_.live_count()) / kFewMembers);
  const Time at =
      now + jittered(Duration(std::llround(static_cast<double>(contact_pause_.count()) * seldom)), 0.25);
  contact_at_ = soon && contact_at_ > now ? std::min(contact_at_, at) : at;
}

void Membership::contact(Time now) {
  if (joined_ || yielded_) {
    std::vector<Address> to = lost();
    if (yielded_) {  // it only looks on
      for (const Table::Entry* e : some_live(1, {})) to = {e->record.address};
    }
    if (!to.empty()) {
      const std::uint32_t at = below(to.size());
      exchange(now, to[at]);
      to.erase(to.begin() + at);
    }
    // A datagram is enough for one that lives: it hears what is held of it, and answers.
    for (std::size_t n = 0; n < kAskedToo && !to.empty() && !yielded_; ++n) {
      const std::uint32_t at = below(to.size());
      const auto dead = std::ranges::find_if(
          table_.entries(), [&](const auto& e) { return e.second.record.address == to[at]; });
      const Table::Entry* e = dead == table_.entries().end() ? nullptr : &dead->second;
      send(now, to[at], message(MessageKind::ping, {}, quiet_nonce_), settings_.max_datagram_bytes, e);
      to.erase(to.begin() + at);
    }
    return plan_contact(now, false);
  }
  contact_at_ = now + settings_.probe_interval;
  if (exchange_ || claim_) return;
  if (seeds_left_.empty()) {
    seeds_left_ = settings_.seeds;
    return join(now, seeds_left_.empty() ? "no seeds are named" : "no seed answers; alone until one does");
  }
  const std::uint32_t at = below(seeds_left_.size());
  const Address to = seeds_left_[at];
  seeds_left_.erase(seeds_left_.begin() + at);
  exchange(now, to);
}

}  // namespace valedrum::membership
