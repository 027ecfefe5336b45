#include "relay.h"

#include <algorithm>
#include <iostream>
#include <ranges>
#include <type_traits>
#include <utility>

#include "admin_server.h"
#include "message_trace.h"
#include "slices.h"
#include "stream_io.h"

namespace myrtlegrade {

using vetchhinge::Duration;
using vetchhinge::Effect;
using vetchhinge::HostId;
using vetchhinge::HostState;
using vetchhinge::MessageId;
using vetchhinge::Outcome;
using vetchhinge::Result;
using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

// Descriptors: most go to clients, who open a connection for every request that finds none free; of the rest,
// hosts get what discovery, files, the second address and connections that are just being closed leave.
constexpr double kClientShare = 0.54;
constexpr double kHostShare = 0.43;
constexpr double kIdleHostShare = 0.27;
constexpr std::size_t kSetAside = 20 + AdminServer::kMaxConnections;
constexpr std::size_t kLeastShared = 64;  // whatever another process holds

constexpr auto kLogEvery = 5s;  // one line at most

std::size_t part_of(std::size_t descriptors, double share) {
  const std::size_t shared = std::max(descriptors, kSetAside + kLeastShared) - kSetAside;
  return static_cast<std::size_t>(static_cast<double>(shared) * share);
}

}  // namespace

Relay::Relay(boost::asio::any_io_executor executor, Config config, boost::asio::ip::tcp::acceptor listening,
             std::optional<std::string> inherited)
    : executor_(executor),
      config_(std::move(config)),
      journal_(config_.state_folder, config_.journal_disk_bytes, config_.durability),
      sender_(config_.settings),
      owners_(executor, config_.state_folder,
              {.told =
                   [this](const std::string& owner, const CallRecord& record) {
                     read_of_call(owner, record);
                     decide_owed_ends();
                   },
               .gone =
                   [this](const std::string& owner) {
                     owner_gone(owner);
                     decide_owed_ends();
                   },
               .none_left = [this] { no_owner_left(); }}),
      host_client_(
          executor,
          {.connect_timeout = config_.connect_timeout,
           .idle = config_.settings.connection_idle,
           .most_idle = part_of(config_.descriptor_limit, kIdleHostShare),
           .most = part_of(config_.descriptor_limit, kHostShare),
           .reports = config_.dialect.share_left && config_.dialect.calls_per_second,
           .before_last_byte =
               [this](const std::vector<CallItem>& items) { return record_before_last_byte(items); },
           .via = config_.copies ? config_.name : "",
           .after_reports = [this] { decide_owed_ends(); }},
          [this](HostId host, const CallItem& item, const CallResult& result) {
            reported(host, item, result);
          },
          [this](std::uint64_t call, CallEnd end) { call_over(call, end); }),
      endpoints_(config_.dialect, config_.settings, journal_, host_client_),
      discovery_(
          executor, config_.discovery,
          [this](valedrum::catalog::ListReader& list, bool first) { return listed(list, first); },
          [this](SteadyClock::duration silent, std::chrono::milliseconds again) {
            watch_lost(silent, again);
          },
          [this](const std::string& message) { notice_settled(message); }),
      server_(
          executor, std::move(listening), part_of(config_.descriptor_limit, kClientShare),
          [this] { return ready(); },
          [this](HandIn message, Server::Respond respond) {
            hand_in(std::move(message), std::move(respond));
          },
          [this](const std::string& id) { unheard(id); }),
      step_timer_(executor),
      watch_timer_(executor),
      journal_timer_(executor),
      log_timer_(executor),
      owner_timer_(executor),
      drain_timer_(executor) {
  if (config_.durability == valedrum::recovery::Durability::power)
    syncer_ = std::make_shared<Syncer>(executor_, [this] { return journal_.sync_later(); });
  make_copies();
  if (!inherited) return;
  RecordReader in(*inherited);
  inherited_ = read_inheritance(in, config_.dialect.hosts);
  if (!inherited_) std::cerr << "myrtlegrade: what the old process knew can't be read" << std::endl;
}

void Relay::leave_descriptors(std::size_t count) {
  const std::size_t left = config_.descriptor_limit - std::min(count, config_.descriptor_limit);
  server_.limit(part_of(left, kClientShare));
  host_client_.limit(part_of(left, kIdleHostShare), part_of(left, kHostShare));
}

std::size_t Relay::descriptors() const {
  return server_.connections() + host_client_.connections() + kSetAside;
}

vetchhinge::Time Relay::now() const { return steady_time(); }

MessageId Relay::new_id() {
  do {
    ++last_id_;
  } while (open_.contains(MessageId(last_id_)));
  return MessageId(last_id_);
}

// ---------------------------------------------------------------------------------- what happens

void Relay::hand_in(HandIn message, Server::Respond respond) {
  if (successor_) return successor_->hand_in(std::move(message), std::move(respond));
  const auto cls = config_.dialect.classes.find(message.cls);
  if (!cls) return respond({Answer::Kind::unknown_class});
  const bool keyed = config_.settings.classes[*cls].effect == Effect::deduplicated;
  if (keyed && message.key.empty()) return respond({Answer::Kind::key_missing});
  if (known_already(message, respond)) return;
  if (copied_elsewhere(message, respond)) return;
  if (journal_.contains(message.id)) return respond({Answer::Kind::failed});  // its notice is not taken yet
  if (!endpoints_.is_destination(message.destination)) {
    return respond({Answer::Kind::unknown_destination, whole_ms(config_.settings.max_wait_hint)});
  }
  if (journal_.failing()) flush_journal();  // the folder may have recovered
  const bool full = held_ >= config_.settings.max_open ||
                    !journal_.has_room(message.body.size() + message.key.size() + message.id.size());
  if (full || closing_) {
    ++counters_.rejected_without_room;
    return respond(
        {Answer::Kind::refused, std::chrono::milliseconds(whole_ms(config_.settings.max_wait_hint))});
  }
  message.deadline = deadline_of(message);
  const MessageId id = new_id();
  Open open;
  open.payload = std::make_shared<const Payload>(
      Payload{std::move(message.id), std::move(message.key), std::move(message.body)});
  open.cls = std::move(message.cls);
  open.destination = message.destination;
  open.deadline = message.deadline;
  open.respond = std::move(respond);
  ids_.emplace(open.payload->id, id);
  MessageTrace::event(open.payload->id, "submitted", "class", open.cls, "destination", open.destination,
                      "time_left_ms", whole_ms(message.deadline.steady - now()).count());
  const vetchhinge::DestinationId destination{open.destination};
  open_.emplace(id, std::move(open));
  ++held_;
  arrivals_.push_back(id);
  endpoints_.wake(message.destination, events_);
  happened(vetchhinge::Message{id, *cls, destination, message.deadline.steady, {}, {}, {}});
}

// The client did not hear that its message is taken on, so it hands it in again elsewhere.
void Relay::unheard(const std::string& id) {
  if (successor_) return successor_->unheard(id);
  const auto found = ids_.find(id);
  if (found == ids_.end()) return;
  const MessageId message = found->second;
  Open& open = open_.at(message);
  // One that ends is told by its notice, which does no harm.
  if (open.over || open.ending || --open.listeners > 0) return;
  MessageTrace::event(id, "withdrawn");
  end_withdrawn(open);
  if (copies_) copies_->copies().complete(CopyNet::now(), id);
  happened(vetchhinge::Withdrawn{message});
  close_message(message);
}

void Relay::reported(HostId host, const CallItem& item, const CallResult& result) {
  Open& open = open_.at(item.message);
  Out* const out = find_out(open, item.attempt);
  if (out) out->reported = true;
  counters_.count_outcome(result.result);
  MessageTrace::event(open.payload->id, "outcome", "attempt", item.attempt, "result", name_of(result.result),
                      "over", result.over, "elapsed_ms", whole_ms(result.elapsed).count(), "wait_ms",
                      whole_ms(result.wait).count());
  if (result.result == Result::delivered && !open.over) ++counters_.delivered;
  if (result.result == Result::delivered && open.over) remember_delivered(open);
  if (successor_) {
    if (out && !out->elsewhere)
      owners_.tell(CallRecord::of_outcome(out->call, open.payload->id, item.attempt, result));
    return successor_->outcome(open.payload->id, item.attempt, result);
  }
  Outcome outcome;
  outcome.id = item.message;
  outcome.attempt = item.attempt;
  outcome.result = result.result;
  outcome.terminal = result.over || open.over;
  outcome.wait = result.wait;
  outcome.elapsed = result.elapsed;
  outcome.report = result.report;
  outcome.connection = result.connection;
  happened(outcome);
  // A wait binds from the answer's arrival, not from the next step: what still connects must not go out.
  if (result.wait > 0us) endpoints_.withhold_told(host);
  if (!open.over) {
    if (!result.over) open.ended.push_back({item.attempt, endpoints_.name(host), name_of(result.result)});
    if (result.over) {
      const bool delivered = result.result == Result::delivered;
      journal_.complete(open.payload->id, ended(open, delivered ? Ended::Told::taken : Ended::Told::failed));
      // Delivered before all have said that they hold it: there is nothing left to hold.
      if (open.respond) {
        ++counters_.accepted;
        std::exchange(open.respond, nullptr)({Answer::Kind::taken});
      }
    } else if (never_ran(result.result)) {
      journal_.record_never_ran(open.payload->id, item.attempt);
    } else {
      open.may_have_run = true;
    }
    if (copies_ && result.over) copies_->copies().complete(CopyNet::now(), open.payload->id);
    if (copies_ && !result.over) {
      using valedrum::copies::AttemptState;
      copies_->copies().set_attempt_state(
          CopyNet::now(), open.payload->id, item.attempt,
          never_ran(result.result) ? AttemptState::never_ran : AttemptState::may_have_run);
    }
    if (!result.over && !may_be_called_again(open)) end_owed_ = true;
  }
  if (result.over || open.over) close_message(item.message);
}

// Its work may not be repeated.
bool Relay::runs_once(const std::string& cls) const {
  const auto known = config_.dialect.classes.find(cls);
  return known && config_.settings.classes[*known].effect == Effect::at_most_once;
}

bool Relay::may_be_called_again(const Open& open) const {
  const bool may_not_repeat = open.may_have_run && runs_once(open.cls);
  return open.attempts < config_.settings.max_attempts && !may_not_repeat;
}

// A connection may come up, or be proven, after the message has got its final answer: then it must not go
// out.
bool Relay::may_leave(const CallItem& item) const {
  const auto found = open_.find(item.message);
  if (found == open_.end() || found->second.over || found->second.ending) return false;
  return !copies_ || copies_->copies().may_call(CopyNet::now(), item.payload->id);
}

bool Relay::listed(valedrum::catalog::ListReader& list, bool first) {
  if (first) ++counters_.list_updates;
  bool more = false;
  if (list.full()) {
    endpoints_.take_whole(list.version(), list.take_entries(), vetchhinge::HostList::Kind::whole, events_);
    tidy_list();
  } else {
    more = endpoints_.take_changes(list.version(), list.entries(), first, events_);
  }
  schedule();
  return more;
}

void Relay::tidy_list() {
  run_in_slices(executor_, [this] { return endpoints_.tidy(); });
}

// Where the list comes on request, the module asks for it. Where it comes by itself the module never does:
// on sockets too it comes through a watch, which is the relay's to keep open.
void Relay::watch_lost(SteadyClock::duration silent, std::chrono::milliseconds again) {
  ++counters_.watch_failures;
  if (config_.settings.list_on_request) {
    happened(vetchhinge::HostList{
        vetchhinge::HostList::Kind::lost, {}, std::chrono::duration_cast<Duration>(silent)});
    return;
  }
  watch_timer_.expires_after(again);
  watch_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) discovery_.watch(endpoints_.version());
  });
}

// ----------------------------------------------------------------------------------------- steps

void Relay::happened(vetchhinge::Event event) {
  events_.push_back(std::move(event));
  schedule();
}

// The next step: a tick after the last at the earliest, now if something happened, else at a timer.
void Relay::schedule() {
  if (closing_) return;
  auto at = timers_.empty() ? SteadyClock::time_point::max() : timers_.begin()->first;
  if (!events_.empty()) at = SteadyClock::time_point::min();
  at = std::max(at, last_step_ + config_.settings.tick);
  if (at >= step_at_) return;
  step_at_ = at;
  step_timer_.expires_at(at);
  step_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) step();
  });
}

// An end is owed within 150 ms of the outcome that leaves a message no other: it waits neither for a tick nor
// for another turn of the event loop, each of which may be held up.
void Relay::decide_owed_ends() {
  take_up_ended();
  if (std::exchange(end_owed_, false)) step();
}

void Relay::step() {
  step_at_ = SteadyClock::time_point::max();
  if (closing_) return;
  last_step_ = SteadyClock::now();
  while (!timers_.empty() && timers_.begin()->first <= last_step_) {
    events_.emplace_back(vetchhinge::Timer{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  carry_out(sender_.step(now(), std::exchange(events_, {})));
  schedule();
}

void Relay::carry_out(const std::vector<vetchhinge::Action>& actions) {
  // First what is to be remembered goes to disk, then clients are answered and calls go out.
  std::vector<std::pair<MessageId, Answer>> answers;
  for (const auto& action : actions) {
    if (const auto* refuse = std::get_if<vetchhinge::Refuse>(&action)) {
      ++counters_.rejected_by_policy;
      const auto found = open_.find(refuse->id);
      if (found != open_.end() && found->second.respond) {
        answers.emplace_back(refuse->id, Answer{Answer::Kind::refused, whole_ms(refuse->wait)});
      }
    } else if (const auto* fail = std::get_if<vetchhinge::Fail>(&action)) {
      ++counters_.given_up;
      const auto found = open_.find(fail->id);
      if (found != open_.end() && found->second.respond) {
        answers.emplace_back(fail->id, Answer{Answer::Kind::failed, {}});
      }
    }
  }
  const auto answered = [&](MessageId id) {
    return std::ranges::any_of(answers, [id](const auto& a) { return a.first == id; });
  };
  std::vector<MessageId> taken, not_held;
  for (const MessageId id : std::exchange(arrivals_, {})) {
    if (answered(id)) continue;
    const Open& open = open_.at(id);
    journal_.accept({open.payload->id,
                     open.cls,
                     open.destination,
                     open.payload->key,
                     open.payload->body,
                     open.deadline,
                     {}});
    if (copies_ && !copy(open)) {
      journal_.complete(open.payload->id);
      not_held.push_back(id);
    } else {
      taken.push_back(id);
    }
  }
  Calls calls;
  for (const auto& action : actions) {
    if (const auto* send = std::get_if<vetchhinge::Send>(&action)) add_to_call(calls, *send);
  }
  lead_with_longest(calls);
  const bool kept = flush_journal();
  for (const auto& [id, answer] : answers) {
    Open& open = open_.at(id);
    MessageTrace::event(open.payload->id, "answered", "kind", name_of(answer.kind));
    if (copies_) {  // it may have been copied, and not been promised yet
      journal_.complete(open.payload->id);
      copies_->copies().complete(CopyNet::now(), open.payload->id);
    }
    std::exchange(open.respond, nullptr)(answer);
    close_message(id);
  }
  for (const MessageId id : taken) {
    if (!kept) {
      take_back(id);  // what can't be written down can't be taken on
    } else {
      promise(id);
    }
  }
  for (const MessageId id : not_held) take_back(id);
  if (!kept) not_sent(calls);
  for (const auto& action : actions) {
    std::visit(
        [this](const auto& a) {
          using A = std::decay_t<decltype(a)>;
          if constexpr (std::is_same_v<A, vetchhinge::Refuse>) {
            end_undelivered(a.id, {{}, true, whole_ms(a.wait)});
          } else if constexpr (std::is_same_v<A, vetchhinge::Fail>) {
            end_undelivered(a.id, {{}, false, {}});
          } else if constexpr (std::is_same_v<A, vetchhinge::SetTimer>) {
            timers_.emplace(SteadyClock::now() + a.after, a.token);
          } else if constexpr (std::is_same_v<A, vetchhinge::SubscribeHostList>) {
            discovery_.watch(endpoints_.version());
          } else if constexpr (std::is_same_v<A, vetchhinge::CloseIdleConnections>) {
            host_client_.close_idle(a.host);
          } else if constexpr (std::is_same_v<A, vetchhinge::EvictDestination>) {
            endpoints_.put_away(static_cast<std::uint64_t>(a.destination));
          }
        },
        action);
  }
  tell_ends(flush_journal());
  if (kept) call_when_known(std::move(calls));
  if (copies_) copies_->turn();
}

// Sends of one step to one host travel together, as many as a call there carries.
void Relay::add_to_call(Calls& calls, const vetchhinge::Send& send) {
  Open& open = open_.at(send.id);
  const Endpoints::Host& host = endpoints_.at(send.host);
  const auto same = [&](const DecidedCall& call) { return call.host == send.host; };
  const auto last = std::ranges::find_if(calls.rbegin(), calls.rend(), same);
  const std::size_t most = config_.settings.kinds[host.kind].batch;
  const bool joins = last != calls.rend() && last->items.size() < most;
  DecidedCall& call = joins ? *last : calls.emplace_back(DecidedCall{++last_call_, send.host, {}});
  if (open.attempts > 0) ++counters_.retries;
  MessageTrace::event(open.payload->id, "call", "attempt", open.attempts, "endpoint",
                      endpoints_.name(send.host), "timeout_ms", whole_ms(send.timeout).count());
  const vetchhinge::Time decided = steady_time(last_step_);
  const Out& out = open.out.emplace_back(Out{open.attempts, send.host, call.number, read_clocks()});
  if (open.attempts > 0) log_repeat(open, out);
  CallOut& booked = calls_[call.number];
  booked.host = send.host;
  booked.begun = out.sent;
  booked.messages.push_back(send.id);
  call.items.push_back({send.id, open.attempts++, open.payload, decided + send.timeout,
                        send.max_connection_idle, send.verify_connection, send.write_deadline});
  endpoints_.call_begins(send.host);
  if (records_at_decision()) record_attempt(open, open.out.back());
  if (copies_) copy_attempt(open, endpoints_.name(send.host), host.zone);
}

// A host may keep the time of a call by the message that it names first: its answer counts for none of the
// others once that one's time is up. So the one with the most time left leads.
void Relay::lead_with_longest(Calls& calls) const {
  for (DecidedCall& call : calls) {
    std::ranges::stable_sort(call.items, std::greater{},
                             [this](const CallItem& item) { return open_.at(item.message).deadline.steady; });
  }
}

void Relay::not_sent(const Calls& calls) {
  for (const DecidedCall& call : calls) never_called(call.number, call.host, call.items);
}

// It has its final answer. Attempts still out keep the entry until they are over.
void Relay::close_message(MessageId id) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  Open& open = found->second;
  if (!std::exchange(open.over, true)) --held_;
  if (!open.out.empty()) return;
  const std::string name = open.payload->id;
  ids_.erase(name);
  open_.erase(found);
  if (const auto later = inherited_later_.extract(name)) inherit(later.mapped());
}

// -------------------------------------------------------------------------------------------- log

// A quiet relay writes nothing: the volume stays bounded by the time that it works.
void Relay::log_counters() {
  if (counters_ == logged_) return;
  logged_ = counters_;
  std::cerr << "myrtlegrade: " << counters_ << " held=" << held_ << " calls_out=" << host_client_.calls_out()
            << " connections=" << host_client_.connections() << " opened=" << host_client_.opened()
            << " clients=" << server_.connections() << std::endl;
  const std::string absorbed = to_text(absorbed_failures());
  if (!absorbed.empty()) std::cerr << "myrtlegrade: absorbed: " << absorbed << std::endl;
}

void Relay::keep_log() {
  log_timer_.expires_after(kLogEvery);
  log_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    log_counters();
    keep_log();
  });
}

}  // namespace myrtlegrade
