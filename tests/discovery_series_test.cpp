// Random series of faults of discovery on virtual time. Whatever happened before, a change must be known
// within 6 s after discovery had it and was reachable, and the number of requests must stay bounded.
#include <gtest/gtest.h>

#include <optional>

#include "discovery_script.h"
#include "vetchhinge/policy.h"
#include "watch_deadline.h"
#include "watch_reader.h"

namespace myrtlegrade::test {
namespace {

using namespace std::chrono_literals;
using Time = WatchDeadline::Time;
using valedrum::catalog::ListReader;
using vetchhinge::HostList;

constexpr auto kUpdateDeadline = 6s;
constexpr auto kAnswerTime = 400ms;       // of a reachable fake service
constexpr auto kWatchRetryDelay = 200ms;  // as in the relay, where lists are pushed
constexpr auto kDayLength = 90s;

struct Phase {
  Time from, to;
  bool good;
  int first_change;  // the service restarted after this change; its versions start again
};

// When discovery is reachable and when the list changes.
struct Plan {
  std::vector<Phase> phases;
  std::vector<Time> changes;  // change n happens at changes[n]

  explicit Plan(std::uint64_t seed) {
    Random random(seed);
    for (Time at{}; at < Time(kDayLength); at += Milliseconds(draw(random, 200, 3000))) changes.push_back(at);
    bool good = draw(random, 0, 1) == 0;
    int restarted_after = 0;
    for (Time at{}; at < Time(kDayLength); good = !good) {
      const Time to = at + Milliseconds(good ? draw(random, 3000, 20'000) : draw(random, 100, 12'000));
      if (good && restarted_after == 0 && draw(random, 0, 2) == 0) restarted_after = last_change(at);
      phases.push_back({at, to, good, restarted_after});
      at = to;
    }
  }
  int last_change(Time at) const {
    return static_cast<int>(std::ranges::upper_bound(changes, at) - changes.begin()) - 1;
  }
  const Phase& phase(Time at) const {
    return *std::ranges::find_if(phases, [&](const Phase& p) { return at < p.to; });
  }
  std::int64_t version(int change, const Phase& phase) const {
    return phase.first_change == 0 ? 41 + change : 1 + change - phase.first_change;
  }
  // Returns by when a change must be known: after discovery was reachable for 6 s without a break.
  std::optional<Time> due(Time had) const {
    for (const Phase& p : phases) {
      if (p.good && std::max(p.from, had) + kUpdateDeadline <= p.to)
        return std::max(p.from, had) + kUpdateDeadline;
    }
    return std::nullopt;
  }
};

// One relay of a fleet. It reads the watch as relay/discovery.cpp does, but on virtual time.
class VirtualRelay {
 public:
  VirtualRelay(const Plan& plan, std::uint64_t seed, bool on_request)
      : plan_(plan), random_(seed), on_request_(on_request) {
    vetchhinge::Settings s;
    s.seed = seed;
    s.relays = 300;
    s.list_on_request = true;
    s.list_request_interval = kUpdateDeadline;
    s.classes = {{.aim = 1s, .deadline = 8s}};
    s.kinds = {{}};
    module_.emplace(s);
    versions_.set_held(41);
    Time at{};
    if (on_request_) {
      step(at, {HostList{HostList::Kind::cached, {{vetchhinge::HostId(1), vetchhinge::DestinationId(1)}}}});
      at = next_request();
    }
    while (at < Time(kDayLength)) {
      calls_.push_back(at);
      Time lost = call(at);
      for (; versions_.needs_full_list(); lost = call(lost)) calls_.push_back(lost);
      at = lost + kWatchRetryDelay;
      if (!on_request_) continue;
      fire_until(lost);
      requested_at_.reset();  // requests during an open watch had no effect
      step(lost, {HostList{HostList::Kind::lost,
                           {},
                           std::chrono::duration_cast<vetchhinge::Duration>(lost - last_complete_at_)}});
      at = next_request();
    }
  }

  const std::vector<Time>& calls() const { return calls_; }

  void check() const {
    for (std::size_t n = 1; n < plan_.changes.size(); ++n) {  // the first change is known from the start
      std::optional<Time> due = plan_.due(plan_.changes[n]);
      // The watch may have fallen silent while discovery was reachable for a new one.
      const Time had = plan_.changes[n];
      const auto end = std::ranges::upper_bound(ends_, had, {}, &End::at);
      if (end != ends_.begin() && end[-1].silent && end[-1].at >= plan_.phase(had).from) {
        const Time by = std::max(end[-1].at + kUpdateDeadline, had + kAnswerTime);
        if (plan_.phase(had).good && by <= plan_.phase(had).to) due = std::min(by, due.value_or(by));
      }
      if (!due || *due >= Time(kDayLength)) continue;
      const auto accepted =
          std::ranges::find_if(accepted_, [&](const auto& t) { return t.second >= static_cast<int>(n); });
      ASSERT_NE(accepted, accepted_.end()) << "change " << n << " was never received";
      EXPECT_LE(accepted->first, *due)
          << "change " << n << ", late by " << (accepted->first - *due) / 1ms << " ms";
    }
  }

 private:
  struct End {
    Time at;
    bool silent;
  };

  // Runs one watch. Returns when it was abandoned.
  Time call(Time called) {
    WatchDeadline watch_deadline(called);
    ListReader reader;
    const Phase& phase = plan_.phase(called);
    const Script script = answer(called, versions_.begin_watch(), phase);
    Time at = called, deadline = watch_deadline.deadline();
    const auto lost = [&](Time when) {
      last_complete_at_ =
          std::min(watch_deadline.last_complete_at(), versions_.behind_since().value_or(Time::max()));
      return when;
    };
    for (const Step& script_step : script) {
      at += script_step.after;
      if (at >= deadline) return lost(deadline);
      if (script_step.action == Step::Action::half_head) continue;
      if (script_step.action == Step::Action::unavailable || script_step.action == Step::Action::reset)
        return lost(at);
      bool ended = false;
      for (std::string_view bytes = script_step.bytes; !bytes.empty();) {
        const auto status = read_watch(reader, bytes, ended);
        if (status == ListReader::Status::invalid) return lost(at);
        if (status != ListReader::Status::complete) continue;
        take(at, reader);
        reader.reset();
      }
      if (script_step.action == Step::Action::body)
        watch_deadline.on_bytes(at, script_step.bytes.size(), ended);
      deadline = std::min(watch_deadline.deadline(), versions_.deadline());
    }
    return lost(std::max(at, deadline));
  }

  void take(Time at, const ListReader& list) {
    const auto change = newest(list.entries());
    const bool is_older = !accepted_.empty() && change && *change < accepted_.back().second;
    const auto behind = versions_.behind_since();
    if (!versions_.accept(at, list.version())) return;
    EXPECT_TRUE(!is_older || behind) << "a stale list was accepted";
    if (change) accepted_.emplace_back(at, *change);
    if (on_request_) step(at, {HostList{HostList::Kind::whole, {}}});
  }
  // Returns the number of the last listed endpoint.
  static std::optional<int> newest(const valedrum::catalog::EndpointTable& entries) {
    std::optional<int> last;
    entries.for_each(0, entries.slot_end(),
                     [&](auto, const auto& entry) { last = std::stoi(std::string(entry.id)); });
    return last;
  }

  Script answer(Time called, std::int64_t from, const Phase& phase) {
    const int last = plan_.last_change(called);
    const auto text = [&](std::int64_t after, int to) {
      const bool indented = draw(random_, 0, 2) == 0;
      const std::int64_t version = plan_.version(to, phase);
      if (after <= 0 || after > version || draw(random_, 0, 3) == 0)
        return list_text(version, true, to, to, indented);
      return list_text(version, false, to - static_cast<int>(version - after) + 1, to, indented);
    };
    if (!phase.good) {
      const int old = std::max(0, last - draw(random_, 1, 5));
      const Fault fault = Fault(draw(random_, 0, kFaultCount - 1));
      Script script =
          faulty_script(fault, random_, text(from, last),
                        list_text(plan_.version(old, phase), true, old, old, draw(random_, 0, 1) == 0));
      if (fault == Fault::stale_alive) {
        // Ends with the phase: a watch that stays alive with an old list gives no sign of it.
        Time at = called;
        std::erase_if(script, [&](const Step& script_step) { return (at += script_step.after) >= phase.to; });
      }
      return script;
    }
    Script script{{Milliseconds(draw(random_, 0, 20)), Step::Action::head}};
    if (from < plan_.version(last, phase) || from > plan_.version(last, phase))
      add_chunks(script, random_, text(from, last), 0ms);
    // Then the watch continues, falls silent or ends; it falls silent at the end of the phase at the latest.
    Time at = called;
    for (const Step& script_step : script) at += script_step.after;
    const int ending = draw(random_, 0, 2);
    const Time ended_at =
        ending == 0 ? phase.to : std::min(phase.to, at + Milliseconds(draw(random_, 0, 9000)));
    Time blank = at + 2s;
    for (int n = last;;) {
      const Time next = n + 1 < static_cast<int>(plan_.changes.size()) ? plan_.changes[n + 1] : Time::max();
      const Time then = std::max(at, std::min(next, blank));
      if (then >= ended_at) break;
      const Milliseconds after = std::chrono::duration_cast<Milliseconds>(then - at);
      if (next <= blank) {
        ++n;
        script.push_back({after, Step::Action::body, text(plan_.version(n - 1, phase), n)});
      } else {
        script.push_back({after, Step::Action::body, "\n"});
      }
      at += after;
      blank = at + 2s;
    }
    if (ending == 1) {
      ends_.push_back({std::max(ended_at, at), false});
      script.push_back(
          {std::chrono::duration_cast<Milliseconds>(std::max(ended_at, at) - at), Step::Action::reset});
    } else {
      if (draw(random_, 0, 1) == 0)  // in the middle of a list
        script.push_back({std::chrono::duration_cast<Milliseconds>(std::max(ended_at, at) - at),
                          Step::Action::body, "{\"ver"});
      ends_.push_back({std::max(ended_at, at), true});
    }
    return script;
  }

  void step(Time at, std::vector<vetchhinge::Event> events) {
    fire_until(at);
    carry_out(at, std::move(events));
  }
  void fire_until(Time at) {
    while (timer_ && *timer_ <= at) fire();
  }
  void fire() { carry_out(*std::exchange(timer_, std::nullopt), {vetchhinge::Timer{}}); }
  void carry_out(Time at, std::vector<vetchhinge::Event> events) {
    const auto now = std::chrono::duration_cast<vetchhinge::Duration>(at.time_since_epoch());
    for (const auto& action : module_->step(vetchhinge::Time(now), events)) {
      if (const auto* timer = std::get_if<vetchhinge::SetTimer>(&action)) timer_ = at + timer->after;
      if (std::holds_alternative<vetchhinge::SubscribeHostList>(action)) requested_at_ = at;
    }
  }
  Time next_request() {
    while (!requested_at_ && timer_ && *timer_ < Time(kDayLength)) fire();
    return std::exchange(requested_at_, std::nullopt).value_or(Time::max());
  }

  const Plan& plan_;
  Random random_;
  bool on_request_;
  std::optional<vetchhinge::Sender> module_;
  std::optional<Time> timer_, requested_at_;
  ListVersionFilter versions_;
  Time last_complete_at_{};
  std::vector<Time> calls_;
  std::vector<End> ends_;  // of watches that were opened while discovery was reachable
  std::vector<std::pair<Time, int>> accepted_;
};

std::ptrdiff_t max_calls_within(std::vector<Time> calls, std::chrono::milliseconds span) {
  std::ranges::sort(calls);
  std::ptrdiff_t most = 0;
  for (auto first = calls.begin(); first != calls.end(); ++first)
    most = std::max(most, std::ranges::lower_bound(first, calls.end(), *first + span) - first);
  return most;
}

TEST(DiscoverySeries, AThousandAreToldInTimeWhereListsComeByThemselves) {
  for (std::uint64_t seed = 1; seed <= 1000 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const Plan plan(seed);
    const VirtualRelay relay(plan, seed, false);
    relay.check();
    EXPECT_LE(max_calls_within(relay.calls(), 1s), 5);
  }
}

TEST(DiscoverySeries, AThousandAreToldInTimeWhereListsAreAskedFor) {
  for (std::uint64_t seed = 1; seed <= 1000 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const Plan plan(seed);
    const VirtualRelay relay(plan, seed, true);
    relay.check();
    EXPECT_LE(max_calls_within(relay.calls(), 10s), 12);
  }
}

// All 300 relays see the same faults, and many of their watches fall silent at the same time.
TEST(DiscoverySeries, TheCallsOfAFleetStayBounded) {
  for (std::uint64_t day = 1; day <= 10; ++day) {
    const Plan plan(day);
    std::vector<Time> calls;
    for (std::uint64_t relay = 1; relay <= 300; ++relay) {
      const VirtualRelay one(plan, 1000 * day + relay, true);
      one.check();
      calls.insert(calls.end(), one.calls().begin(), one.calls().end());
    }
    EXPECT_LE(max_calls_within(calls, 1s), 330);   // all reconnect after a silence, and some once more
    EXPECT_LE(max_calls_within(calls, 10s), 960);  // about three requests for each relay
  }
}

}  // namespace
}  // namespace myrtlegrade::test
