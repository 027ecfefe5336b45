// Exchanges on streams: the whole view for a joining member, and anti-entropy for updates that gossip missed.
// Two members compare digests of 64 buckets and transfer only the records of buckets that differ.
#include <algorithm>
#include <cmath>

#include "membership/membership.h"

namespace valedrum::membership {
namespace {

// With more pending updates than this, gossip takes too long and an exchange is started at once.
constexpr std::size_t kManyUpdates = 64;
constexpr double kContactBackoff = 1.5;  // growth of the interval between reconnection attempts
// Unreached addresses that are sent a ping, beside the one contacted by stream.
constexpr std::size_t kContactPings = 7;
// In larger fleets each member retries less often, so that the fleet's total rate stays constant.
constexpr double kSmallFleet = 8;

}  // namespace

std::array<std::uint64_t, kDigestBuckets> Membership::buckets() const {
  std::array<std::uint64_t, kDigestBuckets> all = table_.buckets();
  all[Table::bucket_of(self_.name)] ^= self_digest();
  return all;
}

std::vector<std::string> Membership::encoded_records(std::uint64_t mask, Time now) const {
  std::vector<std::string> records;
  const auto wanted = [mask](const std::string& name) { return (mask >> Table::bucket_of(name) & 1) != 0; };
  for (const auto& [name, entry] : table_.entries()) {
    if (wanted(name)) records.push_back(encode(Table::record_to_send(entry, now)));
  }
  if (!observer_ && wanted(self_.name)) records.push_back(encode(self_));
  return records;
}

void Membership::start_exchange(Time now, const Address& to) {
  if (exchange_) return;
  ++counters_.exchanges;
  exchange_ = Exchange{random_number(), to};
  exchange_from_ = now + jittered(settings_.probe_interval, 0.5);
  Message pull = make_message(MessageKind::pull, {}, exchange_->token);
  for (const std::uint64_t b : buckets()) pull.buckets.push_back(b);
  if (!observer_) pull.records.push_back(self_);
  stream_requests_.push_back({exchange_->token, to, encode(pull)});
}

// Starts an exchange if the sender's digest differs. Updates that are still being gossiped make views differ
// for a moment, so it waits until the view has been unchanged for a while.
void Membership::compare_digest(Time now, const Message& message) {
  if (message.digest == digest() || exchange_ || now < exchange_from_ || !joined_) return;
  if (settings_.disabled_safeguard == DisabledSafeguard::anti_entropy) return;
  const Duration quiet_period =
      settings_.probe_interval / 5 *
      static_cast<int>(std::ceil(std::log2(static_cast<double>(table_.live_count() + 2))));
  if (now < changed_at_ + quiet_period && table_.pending_updates() <= kManyUpdates) return;
  const Table::Entry* entry = table_.find(message.sender);
  if (entry && !is_gone(entry->record.state)) start_exchange(now, entry->record.address);
}

std::string Membership::serve(Time now, std::string_view frame) {
  detect_stall(now);
  auto read = decode(frame, kMaxFrameBytes);
  if (const DropReason* reason = std::get_if<DropReason>(&read))
    return count_drop(now, *reason), std::string();
  const Message& message = std::get<Message>(read);
  if (message.fleet != settings_.fleet) return count_drop(now, DropReason::other_fleet), std::string();
  if (message.kind != MessageKind::pull && message.kind != MessageKind::push)
    return count_drop(now, DropReason::misdirected), std::string();
  // An observer answers too: it may be the only seed of a joining member.
  if (left_ || (message.sender == self_.name && message.instance == self_.instance)) return {};
  for (const Record& record : message.records) merge_record(now, record);
  Message reply = make_message(message.kind == MessageKind::pull ? MessageKind::view : MessageKind::push_ack,
                               message.sender, message.nonce);
  std::string bytes;
  if (message.kind == MessageKind::pull) {
    const auto own = buckets();
    for (std::size_t b = 0; b < kDigestBuckets; ++b) {
      if (own[b] != message.buckets[b]) reply.mask |= 1ULL << b;
    }
    bytes = encode(reply, encoded_records(reply.mask, now));
  } else {
    bytes = encode(reply, observer_ ? std::vector<std::string>() : std::vector{encode(self_)});
  }
  finish_call(now);
  return bytes;
}

void Membership::on_response(Time now, std::uint64_t token, std::string_view frame) {
  detect_stall(now);
  if (left_ || !exchange_ || exchange_->token != token) return count_drop(now, DropReason::stray);
  auto read = decode(frame, kMaxFrameBytes);
  const Message* message = std::get_if<Message>(&read);
  const MessageKind wanted = exchange_->pushing ? MessageKind::push_ack : MessageKind::view;
  if (!message || message->fleet != settings_.fleet || message->kind != wanted || message->nonce != token) {
    count_drop(now, !message                            ? std::get<DropReason>(read)
                    : message->fleet != settings_.fleet ? DropReason::other_fleet
                                                        : DropReason::misdirected);
    return on_request_failed(now, token);
  }
  const Exchange completed = *std::exchange(exchange_, std::nullopt);
  for (const Record& record : message->records) merge_record(now, record);
  if (Table::Entry* entry = table_.find(message->sender); entry && entry->record.address == completed.to)
    entry->address_verified = true;
  if (!joined_ && !name_claim_ && !observer_ && message->sender != self_.name)
    complete_join(now, ("joined through " + message->sender).c_str());
  if (message->kind == MessageKind::view && message->mask != 0 && !observer_) {
    exchange_ = Exchange{random_number(), completed.to, true};
    stream_requests_.push_back(
        {exchange_->token, completed.to,
         encode(make_message(MessageKind::push, {}, exchange_->token), encoded_records(message->mask, now))});
  }
  finish_call(now);
}

void Membership::on_request_failed(Time now, std::uint64_t token) {
  detect_stall(now);
  if (left_ || !exchange_ || exchange_->token != token) return;
  exchange_.reset();
  ++counters_.failed_exchanges;
  if (!joined_ && !observer_) contact_at_ = now + jittered(settings_.probe_interval / 4, 0.5);
  finish_call(now);
}

// ------------------------------------------------------------------------------- joining and reconnection

// Returns the addresses of seeds that are not live members, of dead members, and of some forgotten ones.
std::vector<Address> Membership::unreached_addresses() const {
  std::vector<Address> all = settings_.seeds;
  std::vector<Address> live;
  all.insert(all.end(), forgotten_addresses_.begin(), forgotten_addresses_.end());
  for (const auto& [name, entry] : table_.entries()) {
    if (entry.record.state == State::dead) all.push_back(entry.record.address);
    if (!is_gone(entry.record.state)) live.push_back(entry.record.address);
  }
  std::ranges::sort(live);
  std::erase_if(all,
                [&](const Address& a) { return a == self_.address || std::ranges::binary_search(live, a); });
  return all;
}

void Membership::schedule_contact(Time now, bool soon) {
  contact_interval_ =
      soon ? settings_.probe_interval * 2
           : std::min(
                 settings_.max_reconnect_interval,
                 Duration(std::llround(static_cast<double>(contact_interval_.count()) * kContactBackoff)));
  const double slowdown = std::max(1.0, static_cast<double>(table_.live_count()) / kSmallFleet);
  const Time at =
      now + jittered(Duration(std::llround(static_cast<double>(contact_interval_.count()) * slowdown)), 0.25);
  contact_at_ = soon && contact_at_ > now ? std::min(contact_at_, at) : at;
}

void Membership::contact_peers(Time now) {
  if (joined_ || observer_) {
    std::vector<Address> to = unreached_addresses();
    if (observer_) {  // an observer contacts a live member instead
      for (const Table::Entry* entry : random_live(1, {})) to = {entry->record.address};
    }
    if (!to.empty()) {
      const std::uint32_t at = random_below(to.size());
      start_exchange(now, to[at]);
      to.erase(to.begin() + at);
    }
    // A ping is enough if the member lives: it carries what is held of the member, and gets an ack.
    for (std::size_t n = 0; n < kContactPings && !to.empty() && !observer_; ++n) {
      const std::uint32_t at = random_below(to.size());
      const auto dead = std::ranges::find_if(
          table_.entries(), [&](const auto& entry) { return entry.second.record.address == to[at]; });
      const Table::Entry* entry = dead == table_.entries().end() ? nullptr : &dead->second;
      send(now, to[at], make_message(MessageKind::ping, {}, untracked_nonce_), settings_.max_datagram_bytes,
           entry);
      to.erase(to.begin() + at);
    }
    return schedule_contact(now, false);
  }
  contact_at_ = now + settings_.probe_interval;
  if (exchange_ || name_claim_) return;
  if (untried_seeds_.empty()) {
    untried_seeds_ = settings_.seeds;
    return complete_join(
        now, untried_seeds_.empty() ? "no seeds are configured" : "no seed answers; alone until one does");
  }
  const std::uint32_t at = random_below(untried_seeds_.size());
  const Address to = untried_seeds_[at];
  untried_seeds_.erase(untried_seeds_.begin() + at);
  start_exchange(now, to);
}

}  // namespace valedrum::membership
