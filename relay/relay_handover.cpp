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
RecordWriter Relay::give_over(Successor successor, std::function<void()> done,
                              SteadyClock::time_point since) {
  timers_.clear();
  step();
  server_.stop_accepting();
  server_.drain();
  draining_ = closing_ = true;
  step_timer_.cancel();
  watch_timer_.cancel();
  settle_pending();
  // Of bans, told waits and changes of the list this process hears nothing any more: what has not left may
  // not leave, and is the new process's to decide.
  host_client_.withhold_all();
  tell_ends(journal_.flush());
  journal_.retire();
  discovery_.stop();
  host_client_.close_all_idle();
  host_client_.limit(0, config_.descriptor_limit);
  Inheritance all;
  all.list.version = endpoints_.version();
  all.learned = sender_.snapshot(now());
  all.out = calls_out();
  all.earlier_calls_open = earlier_calls_open_;
  log_hand_over(all.out);
  all.leaving = server_.leaving();
  all.descriptors = descriptors();
  all.last_call = last_call_;
  successor_ = std::move(successor);
  owners_.give_over();
  drained_ = std::move(done);
  draining_since_ = since;
  drain_further();
  return write(all, endpoints_.list(), config_.dialect.hosts);
}

std::vector<OutCall> Relay::calls_out() const {
  std::vector<OutCall> all;
  for (const auto& [id, open] : open_) {
    for (const Out& out : open.out) {
      const CallOut& call = calls_.at(out.call);
      all.push_back({call.elsewhere ? call.owner : owners_.name(), open.payload->id, open.cls,
                     open.destination, out.attempt, endpoints_.name(out.host), endpoints_.at(out.host).zone,
                     out.call, out.sent.wall, open.over});
    }
  }
  for (const auto& [id, waiting] : waiting_) {
    if (waiting.out) all.push_back(*waiting.out);
  }
  return all;
}

// False: some of what became of them is not told yet.
bool Relay::cut_calls() {
  host_client_.cut_all();
  if (!successor_) flush_journal();  // what never left may be tried by a restart
  return !successor_ || (successor_->told_all() && owners_.written());
}

void Relay::successor_gone() {
  std::cerr << "myrtlegrade: the new process is gone, calls_out=" << host_client_.calls_out() << " end now"
            << std::endl;
  host_client_.cut_all();
  owners_.release();
}

void Relay::drain(std::function<void()> done, SteadyClock::time_point since) {
  if (std::exchange(draining_, true)) return;
  drained_ = std::move(done);
  draining_since_ = since;
  server_.drain();
  drain_further();
}

void Relay::drain_further() {
  const auto passed = SteadyClock::now() - draining_since_;
  if (!closing_ && passed >= kWorkOn) {
    if (!arrivals_.empty()) step();  // they still wait for their answer
    closing_ = true;
  }
  tell_ends(flush_journal());
  const bool idle = !successor_ && passed >= kClientsCome && held_ == 0 && server_.connections() == 0 &&
                    host_client_.calls_out() == 0 && !discovery_.notices_pending();
  const bool quiet = closing_ && calls_.empty() && server_.connections() == 0 &&
                     (!successor_ || (successor_->told_all() && owners_.written()));
  const bool leaves = passed >= (successor_ ? kGoneAfter : kLeaveAfter);
  // The connections are closed before anybody may take this process for gone.
  const bool told = leaves && (cut_calls() || passed >= kToldAfter);
  if (idle || quiet || told) {
    log_counters();
    drained_();
    return;
  }
  if (successor_ && host_client_.calls_out() == 0) owners_.release();  // nothing leaves any more
  drain_timer_.expires_after(kDrainLook);
  drain_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) drain_further();
  });
}

}  // namespace myrtlegrade
