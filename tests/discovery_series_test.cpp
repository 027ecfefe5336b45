// Random series of what can become of calls to discovery, on virtual time: whatever it was, a change is told
// within 6 s of the moment in which discovery had it and could be reached, and calls stay bounded.
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

constexpr auto kTold = 6s;
constexpr auto kAnswer = 400ms;      // of a stand-in that can be reached
constexpr auto kWatchAgain = 200ms;  // as the relay's, where lists come by themselves
constexpr auto kLasts = 90s;

struct Phase {
  Time from, to;
  bool good;
  int first_change;  // the service was started anew behind this one, and counts anew
};

// When discovery can be reached, and when the list changes.
struct Plan {
  std::vector<Phase> phases;
  std::vector<Time> changes;  // change n happens at changes[n]

  explicit Plan(std::uint64_t seed) {
    Random random(seed);
    for (Time at{}; at < Time(kLasts); at += Milliseconds(draw(random, 200, 3000))) changes.push_back(at);
    bool good = draw(random, 0, 1) == 0;
    int anew = 0;
    for (Time at{}; at < Time(kLasts); good = !good) {
      const Time to = at + Milliseconds(good ? draw(random, 3000, 20'000) : draw(random, 100, 12'000));
      if (good && anew == 0 && draw(random, 0, 2) == 0) anew = last_change(at);
      phases.push_back({at, to, good, anew});
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
  // The latest moment for a change: discovery could be reached for 6 s on end.
  std::optional<Time> due(Time had) const {
    for (const Phase& p : phases) {
      if (p.good && std::max(p.from, had) + kTold <= p.to) return std::max(p.from, had) + kTold;
    }
    return std::nullopt;
  }
};

// What one relay of a fleet makes of it. It reads as relay/discovery.cpp does, on virtual time.
class VirtualRelay {
 public:
  VirtualRelay(const Plan& plan, std::uint64_t seed, bool on_request)
      : plan_(plan), random_(seed), on_request_(on_request) {
    vetchhinge::Settings s;
    s.seed = seed;
    s.relays = 300;
    s.list_on_request = true;
    s.list_request_interval = kTold;
    s.classes = {{.aim = 1s, .deadline = 8s}};
    s.kinds = {{}};
    module_.emplace(s);
    versions_.set_held(41);
    Time at{};
    if (on_request_) {
      step(at, {HostList{HostList::Kind::cached, {{vetchhinge::HostId(1), vetchhinge::DestinationId(1)}}}});
      at = next_ask();
    }
    while (at < Time(kLasts)) {
      calls_.push_back(at);
      Time lost = call(at);
      for (; versions_.needs_full_list(); lost = call(lost)) calls_.push_back(lost);
      at = lost + kWatchAgain;
      if (!on_request_) continue;
      fire_until(lost);
      asked_.reset();  // while it was open: one that is running goes on
      step(lost,
           {HostList{
               HostList::Kind::lost, {}, std::chrono::duration_cast<vetchhinge::Duration>(lost - heard_)}});
      at = next_ask();
    }
  }

  const std::vector<Time>& calls() const { return calls_; }

  void check() const {
    for (std::size_t n = 1; n < plan_.changes.size(); ++n) {  // the one before is known
      std::optional<Time> due = plan_.due(plan_.changes[n]);
      // The watch may have fallen silent where a new one could have been had at once.
      const Time had = plan_.changes[n];
      const auto end = std::ranges::upper_bound(ends_, had, {}, &End::at);
      if (end != ends_.begin() && end[-1].silent && end[-1].at >= plan_.phase(had).from) {
        const Time by = std::max(end[-1].at + kTold, had + kAnswer);
        if (plan_.phase(had).good && by <= plan_.phase(had).to) due = std::min(by, due.value_or(by));
      }
      if (!due || *due >= Time(kLasts)) continue;
      const auto taken =
          std::ranges::find_if(taken_, [&](const auto& t) { return t.second >= static_cast<int>(n); });
      ASSERT_NE(taken, taken_.end()) << "change " << n << " was never told";
      EXPECT_LE(taken->first, *due) << "change " << n << ", late by " << (taken->first - *due) / 1ms << " ms";
    }
  }

 private:
  struct End {
    Time at;
    bool silent;
  };

  // Until the watch is given up.
  Time call(Time called) {
    WatchDeadline clock(called);
    ListReader reader;
    const Phase& phase = plan_.phase(called);
    const Script script = answer(called, versions_.begin_watch(), phase);
    Time at = called, deadline = clock.deadline();
    const auto lost = [&](Time when) {
      heard_ = std::min(clock.last_complete_at(), versions_.behind_since().value_or(Time::max()));
      return when;
    };
    for (const Piece& piece : script) {
      at += piece.after;
      if (at >= deadline) return lost(deadline);
      if (piece.what == Piece::What::half_head) continue;
      if (piece.what == Piece::What::unavailable || piece.what == Piece::What::reset) return lost(at);
      bool ended = false;
      for (std::string_view bytes = piece.bytes; !bytes.empty();) {
        const auto status = read_watch(reader, bytes, ended);
        if (status == ListReader::Status::invalid) return lost(at);
        if (status != ListReader::Status::complete) continue;
        take(at, reader);
        reader.reset();
      }
      if (piece.what == Piece::What::body) clock.on_bytes(at, piece.bytes.size(), ended);
      deadline = std::min(clock.deadline(), versions_.deadline());
    }
    return lost(std::max(at, deadline));
  }

  void take(Time at, const ListReader& list) {
    const auto change = newest(list.entries());
    const bool went_back = !taken_.empty() && change && *change < taken_.back().second;
    const auto behind = versions_.behind_since();
    if (!versions_.accept(at, list.version())) return;
    EXPECT_TRUE(!went_back || behind) << "an old list came into force";
    if (change) taken_.emplace_back(at, *change);
    if (on_request_) step(at, {HostList{HostList::Kind::whole, {}}});
  }
  // The last that was listed.
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
      const Fault fault = Fault(draw(random_, 0, kFaults - 1));
      Script script = faulty(fault, random_, text(from, last),
                             list_text(plan_.version(old, phase), true, old, old, draw(random_, 0, 1) == 0));
      if (fault ==
          Fault::stale_alive) {  // no longer than the phase: what lives and says too little can't be told
        Time at = called;
        std::erase_if(script, [&](const Piece& piece) { return (at += piece.after) >= phase.to; });
      }
      return script;
    }
    Script script{{Milliseconds(draw(random_, 0, 20)), Piece::What::head}};
    if (from < plan_.version(last, phase) || from > plan_.version(last, phase))
      add_cut(script, random_, text(from, last), 0ms);
    // Then it lives on, falls silent, or ends; at the phase's end it falls silent at the latest.
    Time at = called;
    for (const Piece& piece : script) at += piece.after;
    const int fate = draw(random_, 0, 2);
    const Time over = fate == 0 ? phase.to : std::min(phase.to, at + Milliseconds(draw(random_, 0, 9000)));
    Time blank = at + 2s;
    for (int n = last;;) {
      const Time next = n + 1 < static_cast<int>(plan_.changes.size()) ? plan_.changes[n + 1] : Time::max();
      const Time then = std::max(at, std::min(next, blank));
      if (then >= over) break;
      const Milliseconds after = std::chrono::duration_cast<Milliseconds>(then - at);
      if (next <= blank) {
        ++n;
        script.push_back({after, Piece::What::body, text(plan_.version(n - 1, phase), n)});
      } else {
        script.push_back({after, Piece::What::body, "\n"});
      }
      at += after;
      blank = at + 2s;
    }
    if (fate == 1) {
      ends_.push_back({std::max(over, at), false});
      script.push_back(
          {std::chrono::duration_cast<Milliseconds>(std::max(over, at) - at), Piece::What::reset});
    } else {
      if (draw(random_, 0, 1) == 0)  // in the middle of one
        script.push_back(
            {std::chrono::duration_cast<Milliseconds>(std::max(over, at) - at), Piece::What::body, "{\"ver"});
      ends_.push_back({std::max(over, at), true});
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
      if (std::holds_alternative<vetchhinge::SubscribeHostList>(action)) asked_ = at;
    }
  }
  Time next_ask() {
    while (!asked_ && timer_ && *timer_ < Time(kLasts)) fire();
    return std::exchange(asked_, std::nullopt).value_or(Time::max());
  }

  const Plan& plan_;
  Random random_;
  bool on_request_;
  std::optional<vetchhinge::Sender> module_;
  std::optional<Time> timer_, asked_;
  ListVersionFilter versions_;
  Time heard_{};
  std::vector<Time> calls_;
  std::vector<End> ends_;  // of watches that were opened where discovery could be reached
  std::vector<std::pair<Time, int>> taken_;
};

std::ptrdiff_t most_within(std::vector<Time> calls, std::chrono::milliseconds span) {
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
    EXPECT_LE(most_within(relay.calls(), 1s), 5);
  }
}

TEST(DiscoverySeries, AThousandAreToldInTimeWhereListsAreAskedFor) {
  for (std::uint64_t seed = 1; seed <= 1000 && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const Plan plan(seed);
    const VirtualRelay relay(plan, seed, true);
    relay.check();
    EXPECT_LE(most_within(relay.calls(), 10s), 12);
  }
}

// All 300 meet the same days, and many of their watches fall silent in the same moment.
TEST(DiscoverySeries, TheCallsOfAFleetStayBounded) {
  for (std::uint64_t day = 1; day <= 10; ++day) {
    const Plan plan(day);
    std::vector<Time> calls;
    for (std::uint64_t relay = 1; relay <= 300; ++relay) {
      const VirtualRelay one(plan, 1000 * day + relay, true);
      one.check();
      calls.insert(calls.end(), one.calls().begin(), one.calls().end());
    }
    EXPECT_LE(most_within(calls, 1s), 330);   // all ask anew after a silence, and some once more
    EXPECT_LE(most_within(calls, 10s), 960);  // each one some three times
  }
}

}  // namespace
}  // namespace myrtlegrade::test
