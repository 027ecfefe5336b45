// The one owner of what the relay has taken on: turns what happens into the module's events, and carries its
// actions out. Every decision about a message is the module's.
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
#include "frames.h"
#include "host_client.h"
#include "journal.h"
#include "server.h"
#include "syncer.h"
#include "vetchhinge/policy.h"
#include "withdrawn_requests.h"

namespace myrtlegrade {

class Relay {
 public:
  // With what an earlier process that gave over knew, where there is one.
  Relay(boost::asio::any_io_executor executor, Config config, boost::asio::ip::tcp::acceptor listening,
        std::optional<std::string> inherited);
  ~Relay();

  // Takes up what the journal holds, and begins to work.
  void start();

  Endpoint address() const { return server_.address(); }
  int listening_descriptor() { return server_.listening_descriptor(); }

  // The journal is read back and hosts are known.
  bool ready() const { return endpoints_.known(); }

  // The platform's service is elsewhere from now on. All that is open here goes on.
  void move_discovery(const Endpoint& address) { discovery_.move(address, endpoints_.version()); }

  // Works on for a short while with what can still be finished, then lets calls out end. `done` is called
  // when the process may go; what is owed then stays in the journal. `since`: when it was told to end.
  void drain(std::function<void()> done, std::chrono::steady_clock::time_point since);

  // ------------------------------------------------------------------ from one process to the next
  // Where all goes that comes to this process after it has given over.
  struct Successor {
    std::function<void(HandIn, Server::Respond)> hand_in;
    std::function<void(const std::string& id)> unheard;
    std::function<void(const std::string& id, std::uint32_t attempt, const CallResult& result)> outcome;
    std::function<void(std::uint64_t call, CallEnd end)> call_over;
    std::function<bool()> told_all;
  };
  // Decides a last time, and writes nothing any more. What is out ends here; the rest as with drain(), which
  // may have begun before.
  RecordWriter give_over(Successor successor, std::function<void()> done,
                         std::chrono::steady_clock::time_point since);
  // It decides nothing any more, and takes nothing on.
  bool closing() const { return closing_; }

  // What the earlier process tells after that. Only a final answer counts before the call is over: a message
  // that is not over is kept back for as long as the call's connection is open.
  void reported_elsewhere(const std::string& id, std::uint32_t attempt, const CallResult& result);
  void call_over_elsewhere(std::uint64_t call, CallEnd end);
  // Behind both, in the same turn of the event loop: ends that are owed at once.
  void decide_owed_ends();
  // The link to it has ended, which proves nothing of its connections: see CallOwners.
  void predecessor_gone();
  // Nobody takes up what becomes of the calls that are out here: they end at once.
  void successor_gone();
  // Of this process among CallOwners; empty where none can read what it tells of its calls.
  const std::string& owner_name() const { return owners_.name(); }
  CallOwners::Life life_of(const std::string& owner) const { return owners_.life_of(owner); }
  // This process knows all that the one before it had out at the hand-over.
  bool knows_calls() const { return knows_calls_; }

  // So many are in use by another process that counts with this one.
  void leave_descriptors(std::size_t count);
  std::size_t descriptors() const;

  // Where copies are configured.
  const std::shared_ptr<CopyNet>& copies() const { return copies_; }

  void hand_in(HandIn message, Server::Respond respond);
  void unheard(const std::string& id);

  // The operators' call, in one line each way.
  std::string called(const std::string& line);

 private:
  struct Out {  // an attempt whose call is not over
    std::uint32_t attempt = 0;
    vetchhinge::HostId host{};
    std::uint64_t call = 0;
    Moment sent{};
    bool elsewhere = false;            // at an earlier process
    bool reported = false;             // the module has its outcome
    std::optional<CallResult> told{};  // of one elsewhere: its outcome once the call is over
    bool recorded = false;             // the journal has it as one that may run
  };
  struct CallOut {  // a call that is not over
    vetchhinge::HostId host{};
    Moment begun{};
    std::string owner;  // the earlier process that has it out; empty: this one
    std::vector<vetchhinge::MessageId> messages;
    bool elsewhere = false;
  };
  struct EndedAttempt {  // of a message that was not delivered by it
    std::uint32_t number = 0;
    std::string endpoint;
    std::string_view outcome;
  };
  struct Open {  // a message that is not over, or still has an attempt out
    std::shared_ptr<const Payload> payload;
    std::string cls;
    std::uint64_t destination = 0;
    Moment deadline;
    Server::Respond respond;      // set until the client has its answer
    std::uint32_t listeners = 1;  // connections that handed it in and may hear the answer
    std::uint32_t attempts = 0;
    std::vector<Out> out;
    std::vector<EndedAttempt> ended;
    bool over = false;
    bool ending = false;        // given up, and not told yet
    bool may_have_run = false;  // an attempt that has ended
    bool content_known = true;  // false: of an earlier process, and over; only its call counts
    bool predecessor_call_open =
        false;  // of a process that nothing is known of but that it may still have it out

    std::uint64_t content() const {
      return fingerprint_of_content(cls, destination, payload->key, payload->body);
    }
    bool is(const HandIn& m) const {
      return cls == m.cls && destination == m.destination && payload->key == m.key && payload->body == m.body;
    }
  };
  // What its client sends once more is the same message.
  bool known_already(const HandIn& message, Server::Respond& respond);
  Answer answer_of(const Ended& ended, const HandIn& message) const;
  Answer answer_of(const Open& withdrawn, const HandIn& message);
  Ended ended(const Open& open, Ended::Told told, std::chrono::milliseconds retry_in = {}) const;
  void end_withdrawn(const Open& open);
  Moment deadline_of(const HandIn& message) const;
  void remember_delivered(const Open& over);
  struct DecidedCall {
    std::uint64_t number = 0;
    vetchhinge::HostId host{};
    std::vector<CallItem> items;
  };
  using Calls = std::vector<DecidedCall>;

  void reported(vetchhinge::HostId host, const CallItem& item, const CallResult& result);
  bool listed(valedrum::catalog::ListReader& list, bool first);
  void tidy_list();
  void watch_lost(std::chrono::steady_clock::duration silent, std::chrono::milliseconds again);
  void take_up(const StoredMessage& stored, const OutCall* out, const std::vector<bool>& astray = {});
  void take_up_out(const OutCall& out);
  vetchhinge::PastAttempt past(Open& open, const OutCall& out, vetchhinge::Time sent);
  std::vector<OutCall> calls_out() const;
  Out* find_out(Open& open, std::uint32_t attempt);
  void call_over(std::uint64_t call, CallEnd end);
  void never_called(std::uint64_t call, vetchhinge::HostId host, const std::vector<CallItem>& items);
  void free_descriptors();
  bool is_out_at(const std::string& owner, std::uint64_t call) const;
  void read_of_call(const std::string& owner, const CallRecord& record);
  void owner_gone(const std::string& owner);
  void no_owner_left();
  bool cut_calls();
  void log_hand_over(const std::vector<OutCall>& calls);
  void log_inherited(const std::vector<OutCall>& calls);
  void log_repeat(const Open& open, const Out& out);
  void log_read_end(const std::string& owner, const CallRecord& record);
  void log_call_over(std::uint64_t number, const CallOut& call, CallEnd end);

  std::string take_out(const std::string& host);
  std::string put_back(const std::string& host);
  void tell_by_hand(const std::string& host, bool out);

  void happened(vetchhinge::Event event);
  void schedule();
  void step();
  void carry_out(const std::vector<vetchhinge::Action>& actions);
  void add_to_call(Calls& calls, const vetchhinge::Send& send);
  void lead_with_longest(Calls& calls) const;
  void not_sent(const Calls& calls);
  struct UntoldEnd {  // of a message that was taken on
    vetchhinge::MessageId message{};
    Notice notice;
    vetchhinge::Time due{};  // told by then, written or not
  };
  void end_undelivered(vetchhinge::MessageId id, Notice notice);
  bool flush_journal();
  void tell_ends(bool kept);
  void retry_journal();
  void close_message(vetchhinge::MessageId id);
  bool may_leave(const CallItem& item) const;
  bool runs_once(const std::string& cls) const;
  bool may_be_called_again(const Open& open) const;
  bool records_at_decision() const { return copies_ || syncer_; }
  void record_attempt(const Open& open, Out& out);
  bool keeps_rules(const CallItem& item);
  bool record_before_last_byte(const std::vector<CallItem>& items);
  void drain_further();
  void log_counters();
  void keep_log();

  vetchhinge::MessageId new_id();
  vetchhinge::Time now() const;

  // ------------------------------------------------------------------ relay_copies.cpp
  static constexpr std::uint64_t kUndurable = std::uint64_t{1} << 63;
  struct PendingCall : DecidedCall {  // until others know what it means to do, and the disk does
    std::uint64_t withheld = 0;       // as it was then
  };
  struct Waiting {  // found in the journal, and not known yet whether it is still this relay's to end
    StoredMessage stored;
    std::optional<OutCall> out;
  };
  // Once all that the journal has by now outlasts what it has to outlast; false: that can't be known.
  void when_durable(Syncer::Callback then);
  void make_copies();
  bool copied_elsewhere(const HandIn& message, const Server::Respond& respond) const;
  bool copy(const Open& open);
  void copy_attempt(const Open& open, const std::string& host, const std::string& zone);
  void promise(vetchhinge::MessageId id);
  void keep_promise(vetchhinge::MessageId id, bool good);
  void await_copies(PendingCall call);
  void release(PendingCall call, bool good);
  void tell_now(Notice notice, bool waits);
  void take_back(vetchhinge::MessageId id);
  void call_when_known(Calls calls);
  void tell(Notice notice);
  void notice_settled(const std::string& message);
  void on_copies(const valedrum::copies::CopyEvent& event);
  void on_done(const valedrum::copies::TicketCompleted& done);
  void inherit(const valedrum::copies::OwnershipGained& inherited);
  void give_up(const std::string& id);
  void expired(const valedrum::copies::Expired& expired);
  void settle_pending();

  // ------------------------------------------------------------------ relay_waiting.cpp
  void told_of_waiting(const std::string& id, std::uint32_t attempt, const CallResult& result);
  void call_of_waiting_over(std::uint64_t call, CallEnd end);
  void owner_of_waiting_gone(const std::string& owner);
  bool can_only_end(const Waiting& waiting) const;
  void take_up_ended();
  void apply_told(const OutCall& out);
  bool ends_delivered(const std::string& id);
  void end_waiting(const std::string& id);

  boost::asio::any_io_executor executor_;
  Config config_;
  std::shared_ptr<CopyNet> copies_;                                    // where copies are configured
  std::unordered_map<std::uint64_t, vetchhinge::MessageId> promises_;  // by ticket; likewise
  std::unordered_map<std::uint64_t, PendingCall> pending_calls_;
  std::uint64_t last_undurable_ = kUndurable;  // as tickets, of calls that wait for the disk
  std::unordered_map<std::uint64_t, Notice> untold_;
  std::unordered_map<std::string, Waiting> waiting_;
  std::unordered_map<std::string, valedrum::copies::OwnershipGained>
      inherited_later_;  // own calls are still out
  Journal journal_;
  std::shared_ptr<Syncer> syncer_;  // with durability `power`
  vetchhinge::Sender sender_;
  CallOwners owners_;  // outlives the connections
  EventLog events_log_{"call"};
  HostClient host_client_;
  Endpoints endpoints_;
  Discovery discovery_;
  Server server_;

  std::unordered_map<vetchhinge::MessageId, Open> open_;
  std::unordered_map<std::string, vetchhinge::MessageId> ids_;
  std::vector<vetchhinge::MessageId> arrivals_;  // not journaled, and not answered
  WithdrawnRequests withdrawn_;
  std::vector<UntoldEnd> untold_ends_;  // until the journal has them
  std::vector<vetchhinge::Event> events_;
  bool end_owed_ = false;  // by an outcome among them, to a message that may not be called again
  std::size_t held_ = 0;   // messages that are not over
  std::uint32_t last_id_ = 0;
  std::uint64_t last_call_ = 0;
  std::unordered_map<std::uint64_t, CallOut> calls_;  // by number: those of this process, and inherited ones
  bool knows_calls_ = false;                          // what was handed over could be read
  bool predecessor_gone_ = false;                     // the link to it has ended
  bool earlier_calls_open_ = false;                   // calls that nobody handed over may be out

  std::optional<Inheritance> inherited_;  // until it is taken up
  std::optional<Successor> successor_;    // set once this process has given over

  boost::asio::steady_timer step_timer_;
  std::multimap<std::chrono::steady_clock::time_point, std::uint64_t> timers_;  // asked for by the module
  std::chrono::steady_clock::time_point last_step_{};
  std::chrono::steady_clock::time_point step_at_ = std::chrono::steady_clock::time_point::max();

  boost::asio::steady_timer watch_timer_;
  boost::asio::steady_timer journal_timer_;
  bool journal_retried_ = false;  // it runs

  Counters counters_, logged_;
  boost::asio::steady_timer log_timer_;

  boost::asio::steady_timer owner_timer_;
  boost::asio::steady_timer drain_timer_;
  std::function<void()> drained_;
  std::chrono::steady_clock::time_point draining_since_{};
  bool draining_ = false;
  bool closing_ = false;  // nothing new is taken or sent any more
};

}  // namespace myrtlegrade
