// The end of a process: a drain after SIGTERM, or a handover to its successor.
#include <iostream>
#include <utility>

#include "relay.h"

namespace myrtlegrade {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

// A planned restart kills the process some 3.7 s after SIGTERM.
constexpr auto kAcceptDuration = 1500ms;      // messages are still accepted and sent
constexpr auto kMinDrainDuration = 600ms;     // clients' new connections may still arrive
constexpr auto kCutCallsAfter = 2800ms;       // calls in flight are cut
constexpr auto kCutHandedOverAfter = 3200ms;  // the same after a handover, when the successor serves
constexpr auto kExitAfter = 3400ms;           // even if results are not reported to the successor yet
constexpr auto kDrainPollInterval = 20ms;

}  // namespace

// ------------------------------------------------------------------------------------------ drain

// Takes the state in one piece, between two steps of the decision module: from here on, the successor makes
// every decision.
RecordWriter Relay::hand_over(Successor successor, std::function<void()> done,
                              SteadyClock::time_point since) {
  timers_.clear();
  step();
  server_.stop_accepting();
  server_.drain();
  draining_ = closing_ = true;
  step_timer_.cancel();
  watch_timer_.cancel();
  // This process no longer learns of disabled hosts, server backoffs and list changes. Calls that are not
  // written yet are withheld, and left to the successor's decision. The copies must still record that they
  // never ran.
  host_client_.cancel_all_unsent();
  cancel_pending();
  report_completions(journal_.flush());
  journal_.retire();
  discovery_.stop();
  host_client_.close_all_idle();
  host_client_.set_connection_limits(0, config_.descriptor_limit);
  HandoverState state;
  state.list.version = endpoints_.version();
  state.learned = sender_.snapshot(now());
  state.in_flight = calls_in_flight();
  state.unknown_calls_open = unknown_predecessor_calls_;
  log_handover(state);
  state.leaving = server_.leaving();
  state.descriptors = descriptors();
  state.last_call = last_call_;
  successor_ = std::move(successor);
  owners_.mark_handed_over();
  on_drained_ = std::move(done);
  draining_since_ = since;
  continue_drain();
  return write_handover_state(state, endpoints_.list(), config_.dialect.hosts);
}

std::vector<HandedOverAttempt> Relay::calls_in_flight() const {
  std::vector<HandedOverAttempt> all;
  for (const auto& [id, open] : open_) {
    for (const AttemptInFlight& out : open.in_flight) {
      const CallInFlight& call = calls_in_flight_.at(out.call);
      all.push_back({call.at_predecessor ? call.owner : owners_.name(), open.payload->id, open.cls,
                     open.destination, out.attempt, endpoints_.name(out.host), endpoints_.at(out.host).zone,
                     out.call, out.sent_at.wall, open.completed});
    }
  }
  for (const auto& [id, waiting] : unconfirmed_) {
    if (waiting.predecessor_call) all.push_back(*waiting.predecessor_call);
  }
  return all;
}

// Cuts the calls in flight. Returns false if some of their results are not reported yet.
bool Relay::cut_calls() {
  host_client_.abort_all();
  if (!successor_) flush_journal();  // calls that were never sent may be tried again after the restart
  return !successor_ || (successor_->all_reported() && owners_.written());
}

void Relay::on_successor_lost() {
  std::cerr << "myrtlegrade: the new process is gone, calls_out=" << host_client_.calls_in_flight()
            << " end now" << std::endl;
  host_client_.abort_all();
  owners_.release();
}

void Relay::drain(std::function<void()> done, SteadyClock::time_point since) {
  if (std::exchange(draining_, true)) return;
  on_drained_ = std::move(done);
  draining_since_ = since;
  server_.drain();
  continue_drain();
}

void Relay::continue_drain() {
  const auto passed = SteadyClock::now() - draining_since_;
  if (!closing_ && passed >= kAcceptDuration) {
    if (!new_messages_.empty()) step();  // their clients still wait for a response
    closing_ = true;
  }
  report_completions(flush_journal());
  const bool idle = !successor_ && passed >= kMinDrainDuration && open_count_ == 0 &&
                    server_.connections() == 0 && host_client_.calls_in_flight() == 0 &&
                    !discovery_.notices_pending();
  const bool quiet = closing_ && calls_in_flight_.empty() && server_.connections() == 0 &&
                     (!successor_ || (successor_->all_reported() && owners_.written()));
  const bool leaves = passed >= (successor_ ? kCutHandedOverAfter : kCutCallsAfter);
  // Connections are closed before another process may treat this one as gone.
  const bool cut_reported = leaves && (cut_calls() || passed >= kExitAfter);
  if (idle || quiet || cut_reported) {
    log_counters();
    on_drained_();
    return;
  }
  if (successor_ && host_client_.calls_in_flight() == 0) owners_.release();  // no further call is made
  drain_timer_.expires_after(kDrainPollInterval);
  drain_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) continue_drain();
  });
}

}  // namespace myrtlegrade
