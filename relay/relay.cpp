#include "relay.h"

#include <algorithm>
#include <iostream>
#include <ranges>
#include <type_traits>
#include <utility>

#include "admin_server.h"
#include "message_trace.h"
#include "slices.h"

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

// Shares of the descriptors. Most go to clients, who open a connection for every request that finds none
// free; hosts get the rest less what discovery, files, the admin address and closing connections need.
constexpr double kClientShare = 0.54;
constexpr double kHostShare = 0.43;
constexpr double kIdleHostShare = 0.27;
constexpr std::size_t kReservedDescriptors = 20 + AdminServer::kMaxConnections;
constexpr std::size_t kMinSharedDescriptors = 64;  // however many another process holds

std::size_t share_of(std::size_t descriptors, double share) {
  const std::size_t shared =
      std::max(descriptors, kReservedDescriptors + kMinSharedDescriptors) - kReservedDescriptors;
  return static_cast<std::size_t>(static_cast<double>(shared) * share);
}

}  // namespace

Relay::Relay(boost::asio::any_io_executor executor, Config config, boost::asio::ip::tcp::acceptor listening,
             std::optional<std::string> inherited)
    : executor_(executor),
      config_(std::move(config)),
      journal_(config_.state_folder, config_.journal_disk_bytes, config_.durability,
               config_.settings.max_attempts),
      sender_(config_.settings),
      owners_(executor, config_.state_folder,
              {.on_record =
                   [this](const std::string& owner, const CallRecord& record) {
                     on_call_record(owner, record);
                     decide_due_completions();
                   },
               .on_gone =
                   [this](const std::string& owner) {
                     on_owner_exited(owner);
                     decide_due_completions();
                   },
               .on_none_left = [this] { on_all_owners_exited(); }}),
      host_client_(
          executor,
          {.connect_timeout = config_.connect_timeout,
           .server_idle_timeout = config_.settings.connection_idle,
           .max_idle = share_of(config_.descriptor_limit, kIdleHostShare),
           .max_connections = share_of(config_.descriptor_limit, kHostShare),
           .reads_limit_reports = config_.dialect.share_left && config_.dialect.calls_per_second,
           .before_last_byte =
               [this](const std::vector<CallItem>& items) { return record_before_last_byte(items); },
           .max_answer_bytes = config_.memory.answers,
           .via = config_.copies ? config_.name : "",
           .after_results = [this] { decide_due_completions(); }},
          [this](HostId host, const CallItem& item, const CallResult& result) {
            on_outcome(host, item, result);
          },
          [this](std::uint64_t call, CallEnd end) { on_call_ended(call, end); }),
      endpoints_(config_.dialect, config_.settings, journal_, host_client_),
      discovery_(
          executor, config_.discovery,
          [this](valedrum::catalog::ListReader& list, bool first) { return on_list(list, first); },
          [this](SteadyClock::duration silent_for, std::chrono::milliseconds retry_in) {
            on_watch_lost(silent_for, retry_in);
          },
          [this](const std::string& message) { on_notice_settled(message); }),
      server_(
          executor, std::move(listening), share_of(config_.descriptor_limit, kClientShare),
          config_.memory.requests, [this] { return ready(); },
          [this](SubmittedMessage message, Server::Respond respond) {
            submit(std::move(message), std::move(respond));
          },
          [this](const std::string& id) { withdraw(id); }),
      step_timer_(executor),
      watch_timer_(executor),
      journal_timer_(executor),
      log_timer_(executor),
      owner_timer_(executor),
      drain_timer_(executor) {
  if (config_.durability == valedrum::recovery::Durability::power)
    syncer_ = std::make_shared<Syncer>(executor_, [this] { return journal_.sync_later(); });
  create_copies();
  if (!inherited) return;
  RecordReader in(*inherited);
  inheritance_ = read_handover_state(in, config_.dialect.hosts);
  if (!inheritance_) std::cerr << "myrtlegrade: what the old process knew can't be read" << std::endl;
}

void Relay::reserve_descriptors(std::size_t count) {
  const std::size_t left = config_.descriptor_limit - std::min(count, config_.descriptor_limit);
  server_.set_max_connections(share_of(left, kClientShare));
  host_client_.set_connection_limits(share_of(left, kIdleHostShare), share_of(left, kHostShare));
}

std::size_t Relay::descriptors() const {
  return server_.connections() + host_client_.connection_count() + kReservedDescriptors;
}

vetchhinge::Time Relay::now() const { return steady_time(); }

MessageId Relay::new_id() {
  do {
    ++last_id_;
  } while (open_.contains(MessageId(last_id_)));
  return MessageId(last_id_);
}

// ------------------------------------------------------------------------------------ events

void Relay::submit(SubmittedMessage message, Server::Respond respond) {
  if (successor_) return successor_->submit(std::move(message), std::move(respond));
  const auto cls = config_.dialect.classes.find(message.cls);
  if (!cls) return respond({Answer::Kind::unknown_class});
  const bool keyed = config_.settings.classes[*cls].effect == Effect::deduplicated;
  if (keyed && message.key.empty()) return respond({Answer::Kind::key_missing});
  if (answer_if_known(message, respond)) return;
  if (answer_if_copied(message, respond)) return;
  if (journal_.contains(message.id)) return respond({Answer::Kind::failed});  // its notice is pending
  if (!endpoints_.is_destination(message.destination)) {
    return respond({Answer::Kind::unknown_destination, whole_ms(config_.settings.max_wait_hint)});
  }
  if (journal_.failing()) flush_journal();  // the folder may be writable again
  // Reserved at once: several messages may arrive before the next step journals them.
  auto room =
      journal_.reserve(message.id.size(), message.cls.size() + message.key.size() + message.body.size());
  if (!room) ++counters_.rejected_by_journal;
  if (!room || closing_ || submissions_paused_ || open_count_ >= config_.settings.max_open) {
    ++counters_.rejected_without_room;
    return respond(
        {Answer::Kind::refused, std::chrono::milliseconds(whole_ms(config_.settings.max_wait_hint))});
  }
  message.deadline = deadline_of(message);
  const MessageId id = new_id();
  OpenMessage open;
  open.payload = std::make_shared<const Payload>(
      Payload{std::move(message.id), std::move(message.key), std::move(message.body)});
  open.cls = std::move(message.cls);
  open.destination = message.destination;
  open.deadline = message.deadline;
  open.submitted_at = SteadyClock::now();
  open.respond = std::move(respond);
  open.room.emplace(std::move(*room));
  ids_.emplace(open.payload->id, id);
  MessageTrace::event(open.payload->id, "submitted", "class", open.cls, "destination", open.destination,
                      "time_left_ms", whole_ms(message.deadline.steady - now()).count());
  const vetchhinge::DestinationId destination{open.destination};
  open_.emplace(id, std::move(open));
  ++open_count_;
  new_messages_.push_back(id);
  endpoints_.activate(message.destination, events_);
  post_event(vetchhinge::Message{id, *cls, destination, message.deadline.steady, {}, {}, {}});
}

// The client did not get the answer that its message is accepted, so it submits the message elsewhere.
void Relay::withdraw(const std::string& id) {
  if (successor_) return successor_->withdraw(id);
  const auto found = ids_.find(id);
  if (found == ids_.end()) return;
  const MessageId message = found->second;
  OpenMessage& open = open_.at(message);
  // The end of a completing message is reported by its notice, which does no harm.
  if (open.completed || open.completion_pending || --open.listeners > 0) return;
  MessageTrace::event(id, "withdrawn");
  complete_withdrawn(open);
  if (copies_) copies_->copies().complete(CopyNet::now(), id);
  post_event(vetchhinge::Withdrawn{message});
  close_message(message);
}

void Relay::on_outcome(HostId host, const CallItem& item, const CallResult& result) {
  OpenMessage& open = open_.at(item.message);
  AttemptInFlight* const attempt = find_attempt(open, item.attempt);
  if (attempt) {
    attempt->reported = true;
    attempt->never_ran = never_ran(result.result);
  }
  counters_.count_outcome(result.result);
  MessageTrace::event(open.payload->id, "outcome", "attempt", item.attempt, "result", name_of(result.result),
                      "over", result.terminal, "elapsed_ms", whole_ms(result.elapsed).count(), "wait_ms",
                      whole_ms(result.wait_hint).count());
  if (result.result == Result::delivered && !open.completed) ++counters_.delivered;
  if (result.result == Result::delivered && open.completed) record_late_delivery(open);
  if (successor_) {
    if (attempt && !attempt->at_predecessor)
      owners_.append(CallRecord::of_outcome(attempt->call, open.payload->id, item.attempt, result));
    return successor_->outcome(open.payload->id, item.attempt, result);
  }
  Outcome outcome;
  outcome.id = item.message;
  outcome.attempt = item.attempt;
  outcome.result = result.result;
  outcome.terminal = result.terminal || open.completed;
  outcome.wait = result.wait_hint;
  outcome.elapsed = result.elapsed;
  outcome.report = result.limit_report;
  outcome.connection = result.connection;
  post_event(outcome);
  // The server's backoff applies from the arrival of the answer, not from the next step: calls that still
  // connect must not be sent.
  if (result.wait_hint > 0us) endpoints_.cancel_unsent_in_limit_group(host);
  if (!open.completed) {
    if (!result.terminal)
      open.ended_attempts.push_back({item.attempt, endpoints_.name(host), name_of(result.result)});
    if (result.terminal) {
      const bool delivered = result.result == Result::delivered;
      journal_.complete(open.payload->id,
                        completion_record(open, delivered ? CompletedMessage::Reply::accepted
                                                          : CompletedMessage::Reply::failed));
      // Delivered before all members confirmed their copies: the message needs no copies any more.
      if (open.respond) {
        ++counters_.accepted;
        std::exchange(open.respond, nullptr)({Answer::Kind::accepted});
      }
    } else if (never_ran(result.result)) {
      journal_.record_never_ran(open.payload->id, item.attempt);
    } else {
      open.may_have_run = true;
    }
    if (copies_ && result.terminal) copies_->copies().complete(CopyNet::now(), open.payload->id);
    if (!result.terminal && never_ran(result.result)) replicate_attempt_never_ran(open, item.attempt);
    if (!result.terminal && !may_be_called_again(open)) completion_due_ = true;
  }
  if (result.terminal || open.completed) close_message(item.message);
}

bool Relay::is_at_most_once(const std::string& cls) const {
  const auto known = config_.dialect.classes.find(cls);
  return known && config_.settings.classes[*known].effect == Effect::at_most_once;
}

bool Relay::may_be_called_again(const OpenMessage& open) const {
  const bool may_not_repeat = open.may_have_run && is_at_most_once(open.cls);
  return open.attempts < config_.settings.max_attempts && !may_not_repeat;
}

// A connection may open, or be verified, after its message has been completed: nothing may be sent then.
bool Relay::may_be_sent(const CallItem& item) const {
  const auto found = open_.find(item.message);
  if (found == open_.end() || found->second.completed || found->second.completion_pending) return false;
  return !copies_ || copies_->copies().may_call(CopyNet::now(), item.payload->id);
}

bool Relay::on_list(valedrum::catalog::ListReader& list, bool first) {
  if (first) ++counters_.list_updates;
  bool more = false;
  if (list.full()) {
    endpoints_.replace_list(list.version(), list.take_entries(), vetchhinge::HostList::Kind::whole, events_);
    compact_list();
  } else {
    more = endpoints_.apply_changes(list.version(), list.entries(), first, events_);
  }
  schedule_step();
  return more;
}

void Relay::compact_list() {
  run_in_slices(executor_, [this] { return endpoints_.run_cleanup_slice(); });
}

// With a list on request the module decides when to resubscribe. A pushed list also arrives through a watch,
// but the module never requests it: the relay itself keeps that watch open.
void Relay::on_watch_lost(SteadyClock::duration silent_for, std::chrono::milliseconds retry_in) {
  ++counters_.watch_failures;
  if (config_.settings.list_on_request) {
    post_event(vetchhinge::HostList{
        vetchhinge::HostList::Kind::lost, {}, std::chrono::duration_cast<Duration>(silent_for)});
    return;
  }
  watch_timer_.expires_after(retry_in);
  watch_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) discovery_.watch(endpoints_.version());
  });
}

// ------------------------------------------------------------------------------------- steps

void Relay::post_event(vetchhinge::Event event) {
  events_.push_back(std::move(event));
  schedule_step();
}

// Schedules the next step: at once if there are events, else at the next timer, and never earlier than one
// tick after the last step.
void Relay::schedule_step() {
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

// A message has to be completed within 150 ms of the outcome that leaves it no further attempt. So it waits
// neither for a tick nor for another turn of the event loop: the process may stall before each of them.
void Relay::decide_due_completions() {
  restore_completable();
  if (std::exchange(completion_due_, false)) step();
}

void Relay::step() {
  step_at_ = SteadyClock::time_point::max();
  if (closing_) return;
  last_step_ = SteadyClock::now();
  while (!timers_.empty() && timers_.begin()->first <= last_step_) {
    events_.emplace_back(vetchhinge::Timer{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  execute(sender_.step(now(), std::exchange(events_, {})));
  schedule_step();
}

void Relay::execute(const std::vector<vetchhinge::Action>& actions) {
  // The journal is written before clients are answered and calls are sent.
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
  std::vector<MessageId> accepted, not_replicated;
  for (const MessageId id : std::exchange(new_messages_, {})) {
    if (answered(id)) continue;
    OpenMessage& open = open_.at(id);
    journal_.accept({open.payload->id,
                     open.cls,
                     open.destination,
                     open.payload->key,
                     open.payload->body,
                     open.deadline,
                     {}});
    open.room.reset();
    if (copies_ && !replicate(open)) {
      journal_.complete(open.payload->id);
      not_replicated.push_back(id);
    } else {
      accepted.push_back(id);
    }
  }
  Calls calls;
  for (const auto& action : actions) {
    if (const auto* send = std::get_if<vetchhinge::Send>(&action)) add_to_call(calls, *send);
  }
  sort_by_remaining_time(calls);
  const bool journaled = flush_journal();
  for (const auto& [id, answer] : answers) {
    answer_not_accepted(id, answer);
    close_message(id);
  }
  for (const MessageId id : accepted) {
    if (!journaled) {
      cancel_acceptance(id);  // a message that is not journaled can't be accepted
    } else {
      request_acceptance(id);
    }
  }
  for (const MessageId id : not_replicated) cancel_acceptance(id);
  if (!journaled) withhold_calls(calls);
  for (const auto& action : actions) {
    std::visit(
        [this](const auto& a) {
          using A = std::decay_t<decltype(a)>;
          if constexpr (std::is_same_v<A, vetchhinge::Refuse>) {
            complete_undelivered(a.id, {{}, true, whole_ms(a.wait)});
          } else if constexpr (std::is_same_v<A, vetchhinge::Fail>) {
            complete_undelivered(a.id, {{}, false, {}});
          } else if constexpr (std::is_same_v<A, vetchhinge::SetTimer>) {
            timers_.emplace(SteadyClock::now() + a.after, a.token);
          } else if constexpr (std::is_same_v<A, vetchhinge::SubscribeHostList>) {
            discovery_.watch(endpoints_.version());
          } else if constexpr (std::is_same_v<A, vetchhinge::CloseIdleConnections>) {
            host_client_.close_idle(a.host);
          } else if constexpr (std::is_same_v<A, vetchhinge::EvictDestination>) {
            endpoints_.evict(static_cast<std::uint64_t>(a.destination));
          }
        },
        action);
  }
  report_completions(flush_journal());
  if (journaled) call_when_recorded(std::move(calls));
  if (copies_) copies_->flush();
}

// Combines the sends of one step to one host into calls of up to the batch size of the host's kind.
void Relay::add_to_call(Calls& calls, const vetchhinge::Send& send) {
  OpenMessage& open = open_.at(send.id);
  const Endpoints::Host& host = endpoints_.at(send.host);
  const auto same = [&](const DecidedCall& call) { return call.host == send.host; };
  const auto last = std::ranges::find_if(calls.rbegin(), calls.rend(), same);
  const std::size_t max_items = config_.settings.kinds[host.kind].batch;
  const bool joins = last != calls.rend() && last->items.size() < max_items;
  DecidedCall& call = joins ? *last : calls.emplace_back(DecidedCall{++last_call_, send.host, {}});
  if (open.attempts > 0) ++counters_.retries;
  MessageTrace::event(open.payload->id, "call", "attempt", open.attempts, "endpoint",
                      endpoints_.name(send.host), "timeout_ms", whole_ms(send.timeout).count());
  const vetchhinge::Time decided = steady_time(last_step_);
  const AttemptInFlight& attempt =
      open.in_flight.emplace_back(AttemptInFlight{open.attempts, send.host, call.number, read_clocks()});
  if (open.attempts > 0) log_retry(open, attempt);
  CallInFlight& call_in_flight = calls_in_flight_[call.number];
  call_in_flight.host = send.host;
  call_in_flight.started_at = attempt.sent_at;
  call_in_flight.messages.push_back(send.id);
  call.items.push_back({send.id, open.attempts++, open.payload, decided + send.timeout,
                        send.max_connection_idle, send.verify_connection, send.write_deadline});
  endpoints_.on_call_started(send.host);
  if (records_at_decision()) record_attempt(open, open.in_flight.back());
  if (copies_) replicate_attempt(open, endpoints_.name(send.host), host.zone);
}

// A host may apply the deadline of the first message to the whole call; its answer then counts for no message
// once that deadline has passed. So the message with the latest deadline comes first.
void Relay::sort_by_remaining_time(Calls& calls) const {
  for (DecidedCall& call : calls) {
    std::ranges::stable_sort(call.items, std::greater{},
                             [this](const CallItem& item) { return open_.at(item.message).deadline.steady; });
  }
}

void Relay::withhold_calls(const Calls& calls) {
  for (const DecidedCall& call : calls) withhold_call(call.number, call.host, call.items);
}

// Marks a message as completed. The entry stays until its attempts in flight have ended.
void Relay::close_message(MessageId id) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  OpenMessage& open = found->second;
  if (!std::exchange(open.completed, true)) --open_count_;
  if (!open.in_flight.empty()) return;
  const std::string name = open.payload->id;
  ids_.erase(name);
  open_.erase(found);
  if (const auto later = deferred_ownership_.extract(name)) on_ownership_gained(later.mapped());
}

}  // namespace myrtlegrade
