// The relay's core: owns the messages that the relay has accepted, turns what happens to them into events of
// the decision module and executes the actions that the module returns. Every decision about a message is the
// module's. The class is implemented in relay.cpp and in the relay_*.cpp files, one for each aspect.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "call_owners.h"
#include "config.h"
#include "copy_net.h"
#include "counters.h"
#include "discovery.h"
#include "endpoints.h"
#include "event_log.h"
#include "handover_frames.h"
#include "host_client.h"
#include "journal.h"
#include "server.h"
#include "syncer.h"
#include "vetchhinge/policy.h"
#include "withdrawn_requests.h"

namespace myrtlegrade {

class Relay {
 public:
  // `inherited` is the state that a predecessor handed over, if there is one.
  Relay(boost::asio::any_io_executor executor, Config config, boost::asio::ip::tcp::acceptor listening,
        std::optional<std::string> inherited);
  ~Relay();

  // Restores the messages in the journal and starts to accept and send.
  void start();

  Endpoint address() const { return server_.address(); }
  int listening_descriptor() { return server_.listening_descriptor(); }

  // True once the journal has been read and hosts are known.
  bool ready() const { return endpoints_.has_seen_endpoints(); }

  // Uses the platform's service at another address from now on. Open messages and calls are not affected.
  void move_discovery(const Endpoint& address) { discovery_.set_address(address, endpoints_.version()); }

  // Keeps working for a short time on what can still be finished, then closes the calls in flight. Calls
  // `done` when the process may exit; messages and notices that are still pending then stay in the journal.
  // `since` is the time at which the process was asked to end.
  void drain(std::function<void()> done, std::chrono::steady_clock::time_point since);

  // ------------------------------------------------------------------ handover between processes
  // Forwards to the successor what reaches this process after it has handed over.
  struct Successor {
    std::function<void(SubmittedMessage, Server::Respond)> submit;
    std::function<void(const std::string& id)> withdraw;
    std::function<void(const std::string& id, std::uint32_t attempt, const CallResult& result)> outcome;
    std::function<void(std::uint64_t call, CallEnd end)> call_ended;
    std::function<bool()> all_reported;
  };
  // Refuses new messages, or accepts them again, while a handover waits until acceptances_settled().
  void pause_submissions(bool paused) { submissions_paused_ = paused; }
  // True if no message waits for its acceptance by other relays. A handover ends the exchange with them, and
  // what still waits then can only be answered as failed.
  bool acceptances_settled() const;
  // Runs a last step, stops writing to the journal and returns the state for the successor. Calls in flight
  // end in this process; everything else is as with drain(), which may have begun before.
  RecordWriter hand_over(Successor successor, std::function<void()> done,
                         std::chrono::steady_clock::time_point since);
  // True once this process decides nothing and accepts nothing any more.
  bool closing() const { return closing_; }

  // Handle the predecessor's reports about its calls after the handover. Before the call has ended only a
  // final outcome takes effect: a message without one is not called again while the call's connection is
  // open.
  void on_predecessor_outcome(const std::string& id, std::uint32_t attempt, const CallResult& result);
  void on_predecessor_call_ended(std::uint64_t call, CallEnd end);
  // Must follow both of the above in the same turn of the event loop: completes the messages that are due.
  void decide_due_completions();
  // The link to the predecessor has closed, which proves nothing about its connections (see CallOwners).
  void on_predecessor_disconnected();
  // No successor follows the calls that are in flight here: closes them at once.
  void on_successor_lost();
  // Returns the name of this process among CallOwners; empty where no other process can read its call
  // records.
  const std::string& owner_name() const { return owners_.name(); }
  CallOwners::Liveness owner_state(const std::string& owner) const { return owners_.liveness_of(owner); }
  // True if this process knows all calls that its predecessor had in flight at the handover.
  bool knows_predecessor_calls() const { return knows_predecessor_calls_; }

  // Leaves `count` descriptors to another process that shares this one's limit.
  void reserve_descriptors(std::size_t count);
  std::size_t descriptors() const;

  // Null where copies are not configured.
  const std::shared_ptr<CopyNet>& copies() const { return copies_; }

  // Takes a client's message and answers it through `respond`, at once or once the message is durable.
  void submit(SubmittedMessage message, Server::Respond respond);
  // The client of this message went away before it had its answer.
  void withdraw(const std::string& id);

  // Executes an operator's command and returns the answer; both are one line.
  std::string execute_admin_command(const std::string& line);

 private:
  // An attempt whose call has not ended.
  struct AttemptInFlight {
    std::uint32_t attempt = 0;
    vetchhinge::HostId host{};
    std::uint64_t call = 0;
    Timestamp sent_at{};
    bool at_predecessor = false;
    bool reported = false;   // the module has its outcome
    bool never_ran = false;  // as that outcome shows
    // Only of an attempt at a predecessor: its outcome, reported once the call has ended.
    std::optional<CallResult> deferred_outcome{};
    bool recorded = false;  // the journal has it as one that may have run
  };
  // A call that has not ended.
  struct CallInFlight {
    vetchhinge::HostId host{};
    Timestamp started_at{};
    std::string owner;  // the predecessor that made it; empty: this process
    std::vector<vetchhinge::MessageId> messages;
    bool at_predecessor = false;
  };
  // An attempt that has ended without delivering its message.
  struct EndedAttempt {
    std::uint32_t number = 0;
    std::string endpoint;
    std::string_view outcome;
  };
  // A message that is not completed, or still has an attempt in flight.
  struct OpenMessage {
    std::shared_ptr<const Payload> payload;
    std::string cls;
    std::uint64_t destination = 0;
    Timestamp deadline;
    std::chrono::steady_clock::time_point submitted_at{};
    Server::Respond respond;                   // set until the client has its answer
    std::optional<Journal::Reservation> room;  // until the journal has the message
    std::uint32_t listeners = 1;               // connections that submitted it and may get the answer
    std::uint32_t attempts = 0;
    std::vector<AttemptInFlight> in_flight;
    std::vector<EndedAttempt> ended_attempts;
    bool completed = false;
    bool completion_pending = false;  // given up, and not reported yet
    bool may_have_run = false;        // by an attempt that has ended
    bool content_known = true;        // false: completed by a predecessor, and only its call still counts
    // An unknown predecessor may still have it in flight.
    bool predecessor_call_open = false;

    std::uint64_t fingerprint() const {
      return content_fingerprint(cls, destination, payload->key, payload->body);
    }
    bool matches(const SubmittedMessage& m) const {
      return cls == m.cls && destination == m.destination && payload->key == m.key && payload->body == m.body;
    }
  };
  // Answers a message that its client submits again as the first submission was answered; false if it is new.
  bool answer_if_known(const SubmittedMessage& message, Server::Respond& respond);
  Answer answer_for(const CompletedMessage& ended, const SubmittedMessage& message) const;
  Answer answer_for(const OpenMessage& withdrawn, const SubmittedMessage& message);
  CompletedMessage completion_record(const OpenMessage& open, CompletedMessage::Reply told,
                                     std::chrono::milliseconds retry_in = {}) const;
  void complete_withdrawn(const OpenMessage& open);
  Timestamp deadline_of(const SubmittedMessage& message) const;
  void record_late_delivery(const OpenMessage& over);
  struct DecidedCall {
    std::uint64_t number = 0;
    vetchhinge::HostId host{};
    std::vector<CallItem> items;
  };
  using Calls = std::vector<DecidedCall>;

  void on_outcome(vetchhinge::HostId host, const CallItem& item, const CallResult& result);
  bool on_list(valedrum::catalog::ListReader& list, bool first);
  void compact_list();
  void on_watch_lost(std::chrono::steady_clock::duration silent, std::chrono::milliseconds again);
  void restore_message(const StoredMessage& stored, const HandedOverAttempt* out,
                       const std::vector<bool>& orphaned = {});
  void restore_call_in_flight(const HandedOverAttempt& out);
  vetchhinge::PastAttempt restore_attempt_in_flight(OpenMessage& open, const HandedOverAttempt& out,
                                                    vetchhinge::Time sent);
  std::vector<HandedOverAttempt> calls_in_flight() const;
  AttemptInFlight* find_attempt(OpenMessage& open, std::uint32_t attempt);
  void on_call_ended(std::uint64_t call, CallEnd end);
  void replicate_attempt_end(const OpenMessage& open, std::uint64_t call);
  void replicate_attempt_never_ran(const OpenMessage& open, std::uint32_t attempt);
  void replicate_predecessor_ends(const OpenMessage& open);
  // Reports a call that was decided, and is not sent, as such.
  void withhold_call(std::uint64_t call, vetchhinge::HostId host, const std::vector<CallItem>& items);
  void release_reserved_descriptors();
  bool is_in_flight_at(const std::string& owner, std::uint64_t call) const;
  void on_call_record(const std::string& owner, const CallRecord& record);
  void on_owner_exited(const std::string& owner);
  void on_all_owners_exited();
  bool cut_calls();
  void log_handover(const HandoverState& state);
  void log_inherited(const std::vector<HandedOverAttempt>& calls);
  void log_retry(const OpenMessage& open, const AttemptInFlight& attempt);
  void log_recorded_call_end(const std::string& owner, const CallRecord& record);
  void log_call_end(std::uint64_t number, const CallInFlight& call, CallEnd end);

  std::string disable_host(const std::string& host);
  std::string enable_host(const std::string& host);
  void apply_operator_override(const std::string& host, bool disabled);

  void post_event(vetchhinge::Event event);
  void schedule_step();
  void step();
  void execute(const std::vector<vetchhinge::Action>& actions);
  void add_to_call(Calls& calls, const vetchhinge::Send& send);
  void sort_by_remaining_time(Calls& calls) const;
  void withhold_calls(const Calls& calls);
  // The completion of an accepted message that was not delivered.
  struct PendingCompletion {
    vetchhinge::MessageId message{};
    Notice notice;
    vetchhinge::Time due{};  // reported by then, whether the journal has it or not
  };
  void complete_undelivered(vetchhinge::MessageId id, Notice notice);
  bool flush_journal();
  void report_completions(bool journaled);
  void schedule_journal_retry();
  void close_message(vetchhinge::MessageId id);
  bool may_be_sent(const CallItem& item) const;
  bool is_at_most_once(const std::string& cls) const;
  bool may_be_called_again(const OpenMessage& open) const;
  bool records_at_decision() const { return copies_ || syncer_; }
  void record_attempt(const OpenMessage& open, AttemptInFlight& attempt);
  bool satisfies_send_rules(const CallItem& item);
  bool record_before_last_byte(const std::vector<CallItem>& items);
  void continue_drain();
  void log_counters();
  void schedule_counter_log();

  vetchhinge::MessageId new_id();
  vetchhinge::Time now() const;

  // ------------------------------------------------------------------ relay_copies.cpp
  static constexpr std::uint64_t kDiskTicketBit = std::uint64_t{1} << 63;
  // A call that waits until its intent is recorded by the copies group and on disk.
  struct PendingCall : DecidedCall {
    std::uint64_t withhold_count = 0;  // of its host, when the call was decided
  };
  // A message found in the journal while it is not known yet whether this relay still owns it.
  struct UnconfirmedMessage {
    StoredMessage stored;
    std::optional<HandedOverAttempt> predecessor_call;
  };
  // Calls `then` once everything journaled so far survives a loss of power, where `power` is configured. The
  // argument is false if that can't be guaranteed.
  void when_durable(Syncer::Callback then);
  void create_copies();
  bool answer_if_copied(const SubmittedMessage& message, const Server::Respond& respond) const;
  bool replicate(const OpenMessage& open);
  void replicate_attempt(const OpenMessage& open, const std::string& host, const std::string& zone);
  void request_acceptance(vetchhinge::MessageId id);
  void finish_acceptance(vetchhinge::MessageId id, bool succeeded);
  void await_replication(PendingCall call);
  void release_call(PendingCall call, bool succeeded);
  void send_notice_when_replicated(Notice notice, bool durable);
  void call_when_recorded(Calls calls);
  void send_notice(Notice notice);
  void on_notice_settled(const std::string& message);
  void on_copy_event(const valedrum::copies::CopyEvent& event);
  void on_ticket_completed(const valedrum::copies::TicketCompleted& done);
  void on_ownership_gained(const valedrum::copies::OwnershipGained& inherited);
  void on_ownership_lost(const std::string& id);
  void on_expired(const valedrum::copies::Expired& expired);
  void cancel_pending();

  // ------------------------------------------------------------------ relay_refusals.cpp
  // A refusal that is answered once nobody can act on its message any more.
  struct PendingRefusal {
    Server::Respond respond;
    Answer answer;
    std::chrono::steady_clock::time_point deadline;  // answered as failed from then on
  };
  bool is_repetition_harmless(const OpenMessage& open) const;
  void answer_not_accepted(vetchhinge::MessageId id, Answer answer);
  void cancel_acceptance(vetchhinge::MessageId id);
  void refuse_when_recorded(const std::string& id, PendingRefusal refusal);
  void refuse_when_replicated(const std::string& id, PendingRefusal refusal);
  void fail_pending_refusals();

  // ------------------------------------------------------------------ relay_waiting.cpp
  void on_unconfirmed_outcome(const std::string& id, std::uint32_t attempt, const CallResult& result);
  void on_unconfirmed_call_ended(std::uint64_t call, CallEnd end);
  void on_unconfirmed_owner_exited(const std::string& owner);
  bool can_only_complete(const UnconfirmedMessage& waiting) const;
  void restore_completable();
  void apply_reported(const HandedOverAttempt& out);
  bool complete_if_delivered(const std::string& id);
  void close_unconfirmed(const std::string& id);

  boost::asio::any_io_executor executor_;
  Config config_;
  std::shared_ptr<CopyNet> copies_;  // null where copies are not configured
  std::unordered_map<std::uint64_t, vetchhinge::MessageId> pending_acceptances_;  // by ticket of the copies
  std::unordered_map<std::uint64_t, PendingCall> pending_calls_;  // by ticket of copies or disk
  std::uint64_t last_disk_ticket_ = kDiskTicketBit;  // of calls that wait for the disk, in place of a ticket
  std::unordered_map<std::uint64_t, Notice> pending_notices_;           // by ticket of the copies
  std::unordered_map<std::uint64_t, PendingRefusal> pending_refusals_;  // by ticket of the copies
  std::unordered_map<std::string, UnconfirmedMessage> unconfirmed_;
  // Messages of which this relay became the owner while its own calls for them were in flight.
  std::unordered_map<std::string, valedrum::copies::OwnershipGained> deferred_ownership_;
  Journal journal_;
  std::shared_ptr<Syncer> syncer_;  // only with durability `power`
  vetchhinge::Sender sender_;
  CallOwners owners_;  // must outlive the connections
  EventLog call_log_{"call"};
  HostClient host_client_;
  Endpoints endpoints_;
  Discovery discovery_;
  Server server_;

  std::unordered_map<vetchhinge::MessageId, OpenMessage> open_;
  std::unordered_map<std::string, vetchhinge::MessageId> ids_;
  std::vector<vetchhinge::MessageId> new_messages_;  // not journaled, and not answered
  WithdrawnRequests withdrawn_;
  std::vector<PendingCompletion> pending_completions_;  // until the journal has them
  std::vector<vetchhinge::Event> events_;
  bool completion_due_ = false;  // an outcome in events_ leaves a message no further attempt
  std::size_t open_count_ = 0;   // messages that are not completed
  std::uint32_t last_id_ = 0;
  std::uint64_t last_call_ = 0;
  // By number: calls of this process and those that it inherited.
  std::unordered_map<std::uint64_t, CallInFlight> calls_in_flight_;
  bool knows_predecessor_calls_ = false;    // the state handed over could be read
  bool predecessor_disconnected_ = false;   // the link to it has closed
  bool unknown_predecessor_calls_ = false;  // calls that nobody handed over may be in flight

  std::optional<HandoverState> inheritance_;  // until start()
  std::optional<Successor> successor_;        // set once this process has handed over

  boost::asio::steady_timer step_timer_;
  std::multimap<std::chrono::steady_clock::time_point, std::uint64_t> timers_;  // the module's, with tokens
  std::chrono::steady_clock::time_point last_step_{};
  std::chrono::steady_clock::time_point step_at_ = std::chrono::steady_clock::time_point::max();

  boost::asio::steady_timer watch_timer_;
  boost::asio::steady_timer journal_timer_;
  bool journal_retry_scheduled_ = false;

  Counters counters_, logged_counters_;
  boost::asio::steady_timer log_timer_;

  boost::asio::steady_timer owner_timer_;
  boost::asio::steady_timer drain_timer_;
  std::function<void()> on_drained_;
  std::chrono::steady_clock::time_point draining_since_{};
  bool draining_ = false;
  bool submissions_paused_ = false;
  bool closing_ = false;  // accepts and sends nothing new
};

}  // namespace myrtlegrade
