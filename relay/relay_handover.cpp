// The end of a process: a drain after SIGTERM, or giving over to a process that takes its place.
#include <iostream>
#include <utility>

#include "relay.h"

namespace myrtlegrade {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

// A planned restart kills the process some 3.7 s after SIGTERM.
constexpr auto kWorkOn = 1500ms;      // messages are still taken on and sent
constexpr auto kClientsCome = 600ms;  // new connections may still be on their way
constexpr auto kLeaveAfter = 2800ms;  // whatever is out then
constexpr auto kGoneAfter = 3200ms;   // the same where a new process serves meanwhile
constexpr auto kToldAfter = 3400ms;   // whether the new process has heard of all or not
constexpr auto kDrainLook = 20ms;

}  // namespace

// ------------------------------------------------------------------------------------------ drain

// What it knows goes out in one piece, between two steps: from here on every decision is the new process's.
RecordWriter Relay::hand_over(Successor successor, std::function<void()> done,
                              SteadyClock::time_point since) {
  timers_.clear();
  step();
  server_.stop_accepting();
  server_.drain();
  draining_ = closing_ = true;
  step_timer_.cancel();
  watch_timer_.cancel();
  cancel_pending();
  // Of bans, told waits and changes of the list this process hears nothing any more: what has not left may
  // not leave, and is the new process's to decide.
  host_client_.cancel_all_unsent();
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
  log_handover(state.in_flight);
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

// False: some of what became of them is not told yet.
bool Relay::cut_calls() {
  host_client_.abort_all();
  if (!successor_) flush_journal();  // what never left may be tried by a restart
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
  if (!closing_ && passed >= kWorkOn) {
    if (!new_messages_.empty()) step();  // they still wait for their answer
    closing_ = true;
  }
  report_completions(flush_journal());
  const bool idle = !successor_ && passed >= kClientsCome && open_count_ == 0 && server_.connections() == 0 &&
                    host_client_.calls_in_flight() == 0 && !discovery_.notices_pending();
  const bool quiet = closing_ && calls_in_flight_.empty() && server_.connections() == 0 &&
                     (!successor_ || (successor_->all_reported() && owners_.written()));
  const bool leaves = passed >= (successor_ ? kGoneAfter : kLeaveAfter);
  // The connections are closed before anybody may take this process for gone.
  const bool told = leaves && (cut_calls() || passed >= kToldAfter);
  if (idle || quiet || told) {
    log_counters();
    on_drained_();
    return;
  }
  if (successor_ && host_client_.calls_in_flight() == 0) owners_.release();  // nothing leaves any more
  drain_timer_.expires_after(kDrainLook);
  drain_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) continue_drain();
  });
}

}  // namespace myrtlegrade
