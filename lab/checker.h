// The rules of the protocol as invariants over what happens. The checker sees the stream of observations and
// nothing of the emulator: what it knows of messages, waits and lists is its own.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "day.h"

namespace valedrum::lab {

enum class What {
  handed_in,  // to a relay, by a client
  taken,
  refused,  // the final answer; `span` is the hint
  failed,   // likewise
  withdrawn,
  sent,      // by a relay, to a host
  arrived,   // at the host
  executed,  // there: it has its effect
  outcome,   // the relay knows how the attempt ended; `span` is a told wait
  leaving,   // a relay is told to end: nothing is overdue there until it is back
  died,      // a relay's process; `kept`: its folder outlasts it
  ready,     // a relay after a start
  moved,     // what a lost folder held is with its client again
  listed,    // a relay has been told of a host
  host_down,
  host_back,
  fell_over,
  asked,    // a relay, for the list
  stalled,  // a relay's process is stopped; `kept`: it goes on again
};
std::string_view name_of(What what);
std::string_view name_of(vetchhinge::Result result);

struct Observation {
  Time at{};
  What what = What::sent;
  std::uint32_t relay = 0, message = 0, host = 0, attempt = 0;
  vetchhinge::Result result = vetchhinge::Result::delivered;
  Duration span{};
  bool kept = false, terminal = false;
  vetchhinge::HostState state = vetchhinge::HostState::running;
  // Of what is handed in:
  std::uint32_t request = 0, cls = 0, destination = 0;
  Time until{};
};
std::string to_text(const Observation& o);

enum class Rule {
  second_copy,       // two attempts of a message out at once
  effect_twice,      // work that may not be repeated was sent again though it may have run, or ran again
  attempts,          // more than allowed
  drain_grace,       // sent to a host later than the grace after the relay was told that it drains or is gone
  told_wait,         // sent to a partner before the wait was over that it had told
  cold_pushed_over,  // over two thirds of a fall came from relays that had seen the host fail
  lost,              // taken, and without an end after its time
  held_back,         // given up on, and not answered at once
  foreign_endpoint,  // not of the message's partner, or not of this relay's list
  invented,          // sent for a message that no client handed in there, or that is over
  two_answers,
};
inline constexpr std::size_t kRules = 11;
std::string_view name_of(Rule rule);

struct Breach {
  Rule rule{};
  Time at{};
  std::uint32_t message = 0;
  std::string history;  // of that message, or of what led to it; a line each
};

class Checker {
 public:
  // On sockets things take their way: so much longer than the rules say.
  struct Slack {
    Duration wait{};    // what is sent so soon after a wait was told is let through
    Duration answer{};  // of what is given up on
    // What a relay takes on is held by others too: they may send it and end it, and that its relay is down
    // excuses nothing. What it has given up on others end, where it is down or stopped, so much later.
    bool copied = false;
    Duration heirs{};
    // Which relays held a copy of it. Where all of them, and its own relay, are down when its end is due,
    // that is owed as by a restarted relay: nothing is promised where all that hold a message are gone
    // (copies.md). One that was told to end runs until it has died: it can end what it holds. Without this,
    // or where nobody held it, its end is due whoever is down.
    std::function<std::vector<std::uint32_t>(std::uint32_t message)> holders{};
  };
  explicit Checker(const Day& day) : Checker(day, Slack{}) {}
  Checker(const Day& day, Slack slack) : day_(&day), slack_(slack) {}

  void see(const Observation& o);
  // No more is to come: what is owed by now is lost.
  void finish(Time now);

  const std::vector<Breach>& breaches() const { return breaches_; }  // the first few of each rule
  std::size_t count(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }

 private:
  struct Attempt {
    std::uint32_t host = 0, relay = 0;
    Time sent{};
    bool out = true;
    bool may_have_run = false;
  };
  struct Message {
    std::uint32_t request = 0, cls = 0, destination = 0, relay = 0;
    Time until{};
    bool taken = false, over = false;
    bool owed = false;  // given up on: its answer is due now
    std::uint32_t executions = 0;
    std::vector<Attempt> attempts;
    std::vector<Observation> history;
  };
  struct Host {
    bool down = false, cold = false;
    Time back{};
    std::unordered_set<std::uint32_t> witnesses;
    std::deque<std::pair<Time, std::uint32_t>> came;  // while cold
  };
  struct Due {
    Time at;
    std::uint32_t message;
    Rule rule;
    bool operator>(const Due& other) const { return at > other.at; }
  };

  void sent(const Observation& o);
  void outcome(const Observation& o);
  void answered(const Observation& o);
  void arrived(const Observation& o);
  void executed(const Observation& o);
  void moved(const Observation& o);
  void died(const Observation& o);
  void check_due(Time now);
  using Ready = std::unordered_map<std::uint32_t, Time>;  // relays after a start; Time::max(): not there
  static std::optional<Time> due_by_restart(const Ready& ready, std::uint32_t relay, const Due& due,
                                            Time now);
  std::optional<Time> due_by_holders(const Message& m, const Due& due, Time now) const;
  void break_rule(Rule rule, Time at, std::uint32_t message, const std::string& note = {});
  void forget_if_over(std::uint32_t message);
  bool once(const Message& m) const { return day_->scenario.classes[m.cls].effect == Effect::at_most_once; }
  Message* find(std::uint32_t message);

  const Day* day_;
  Slack slack_;
  std::unordered_map<std::uint32_t, Message> messages_;
  std::unordered_map<std::uint32_t, std::uint32_t> effects_;    // by request, of work to be done once
  std::unordered_map<std::uint32_t, std::uint32_t> once_over_;  // requests of such messages that are over
  // Relay and destination: from when, until when.
  std::map<std::pair<std::uint32_t, std::uint32_t>, std::pair<Time, Time>> waits_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, Time> barred_;  // relay and host; Time::max(): free
  std::unordered_map<std::uint32_t, Host> hosts_;
  std::unordered_set<std::uint32_t> stalled_;
  Ready ready_;  // a relay that was told to end isn't there any more
  Ready runs_;   // it is until it has died
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;
  using Ended = std::pair<std::uint32_t, std::vector<Observation>>;
  std::deque<Ended> ended_;  // the newest, with their histories
  std::vector<Breach> breaches_;
  std::size_t counts_[kRules] = {};
};

}  // namespace valedrum::lab
