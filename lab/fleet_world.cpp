#include "fleet_world.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>

#include "links.h"

namespace valedrum::lab {

namespace fleet = valedrum::membership;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kInbox = 256;        // datagrams that wait for a process that stands still
constexpr Duration kStreamWithin = 3s;     // as the relay has it
constexpr Duration kLook = 100ms;          // between looks whether the view has settled
constexpr Duration kStays = 5s;            // that it has to stay so
constexpr std::uint32_t kNet = 10U << 24;  // addresses: 10.x, one for each machine
constexpr std::uint16_t kPort = 7300;

fleet::Time there(Time t) { return fleet::Time(t.time_since_epoch()); }
Time here(fleet::Time t) { return t == fleet::Time::max() ? Time::max() : Time(t.time_since_epoch()); }

class FleetWorld {
 public:
  FleetWorld(const Day& day, const FleetOptions& options)
      : day_(day), options_(options), links_(day), random_(day.seed, 72), nodes_(day.relays.size() + 1) {
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
      nodes_[n].name = relay_name(n);
      nodes_[n].address = {kNet + n + 1, kPort};
    }
    result_.bound = settle_bound(options.settings, day.relays.size());
    last_fault_ = last_fault(day);
  }

  FleetResult run() {
    for (std::uint32_t n = 0; n + 1 < nodes_.size(); ++n)
      at(Time(span(random_.unit() * options_.start_within)), [this, n] { start(n); });
    for (const Fault& f : day_.faults) {
      at(f.at, [this, &f] { play(f); });
    }
    at(Time(kLook), [this] { look(); });
    while (!events_.empty() && !over_) {
      if (options_.stop && options_.stop->load()) {
        result_.stopped = true;
        break;
      }
      Event e = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = e.at;
      e.what();
    }
    for (Node& n : nodes_) close(n);
    result_.member_seconds = member_seconds_;
    const double per = std::max(1.0, member_seconds_);
    result_.datagrams = static_cast<double>(datagrams_) / per;
    result_.bytes = static_cast<double>(bytes_) / per;
    result_.frames = static_cast<double>(frames_) / per;
    result_.frame_bytes = static_cast<double>(frame_bytes_) / per;
    return std::move(result_);
  }

 private:
  struct Node {
    std::string name;
    fleet::Address address;
    std::optional<fleet::Membership> m;
    std::uint64_t kept = 0;  // incarnation on its disk
    unsigned start = 0;
    bool stalled = false;
    Time ran_from{};  // since when it runs without a pause
    Time up_from{};
    Time wake = Time::max();
    std::uint64_t wake_token = 0;
    std::deque<std::pair<fleet::Address, std::string>> inbox;
    std::deque<std::function<void()>> later;  // streams that wait while it stands still
    // What it buried, and at which stamp.
    std::unordered_map<std::string, std::pair<fleet::Stamp, Time>> buried;
    double second_bytes = 0;
    std::int64_t second = -1;
  };
  struct Event {
    Time at;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  void at(Time when, std::function<void()> what) { events_.push({when, ++order_, std::move(what)}); }

  void broken(FleetRule rule, const std::string& how) {
    if (result_.broken[static_cast<std::size_t>(rule)]++ > 0 || !result_.first.empty()) return;
    char text[40];
    std::snprintf(text, sizeof text, " at %.3f s: ", seconds(now_));
    result_.first = std::string(name_of(rule)) + text + how;
  }

  void log(const std::string& line) {
    if (options_.log) options_.log(seconds(now_), line);
  }

  std::uint32_t number(const Node& n) const { return static_cast<std::uint32_t>(&n - nodes_.data()); }
  std::uint32_t twin() const { return static_cast<std::uint32_t>(nodes_.size() - 1); }
  // Which way a datagram takes: the twin is a machine beside the first one.
  std::uint32_t place(std::uint32_t n) const { return n == twin() ? 0 : n; }
  std::optional<std::uint32_t> whose(const fleet::Address& a) const {
    const std::uint32_t n = a.ip - kNet - 1;
    return a.ip > kNet && n < nodes_.size() && a.port == kPort ? std::optional(n) : std::nullopt;
  }
  bool up(std::uint32_t n) const { return nodes_[n].m.has_value(); }

  // --------------------------------------------------------------------------------- processes
  void start(std::uint32_t number) {
    Node& n = nodes_[number];
    if (n.m) return;
    ++n.start;
    n.kept = options_.settings.disabled_safeguard == fleet::DisabledSafeguard::incarnation ? 1 : n.kept + 1;
    fleet::Record self;
    self.name = n.name;
    self.machine = "m" + std::to_string(number);
    self.zone = "z" + std::to_string(day_.relays[place(number)].zone);
    self.instance = mixed(mixed(day_.seed, 90 + number), n.start);
    self.stamp.incarnation = n.kept;
    self.address = n.address;
    fleet::Settings settings = options_.settings;
    settings.fleet = "emulated";
    for (std::uint32_t s = 0; s < std::min<std::uint32_t>(options_.seeds, twin()); ++s)
      settings.seeds.push_back(nodes_[s].address);
    n.m.emplace(settings, std::move(self), mixed(mixed(day_.seed, 91 + number), n.start), there(now_));
    n.stalled = false;
    n.ran_from = n.up_from = now_;
    n.inbox.clear();
    n.later.clear();
    n.buried.clear();
    log(n.name + ": starts, incarnation " + std::to_string(n.kept));
    flush(n);
  }

  void close(Node& n) {
    if (!n.m) return;
    const fleet::Counters& c = n.m->counters();
    result_.deaths += c.deaths;
    result_.refutations += c.refutations;
    result_.exchanges += c.exchanges;
    result_.stalls += c.stalls;
    member_seconds_ += seconds(now_ - n.up_from);
    n.m.reset();
    n.wake = Time::max();
  }

  void kill(std::uint32_t number, bool kept) {
    Node& n = nodes_[number];
    if (!n.m) return;
    log(n.name + (kept ? ": killed" : ": lost with its folder"));
    if (!kept) n.kept = 0;
    close(n);
  }

  void stall(std::uint32_t number, bool on) {
    Node& n = nodes_[number];
    if (!n.m || n.stalled == on) return;
    n.stalled = on;
    log(n.name + (on ? ": stalled" : ": goes on"));
    if (on) return;
    n.ran_from = now_;
    // What was due and what has come meanwhile is found at once, in the order that an event loop takes it.
    n.m->wake(there(now_));
    flush(n);
    for (const auto& [from, bytes] : std::exchange(n.inbox, {})) {
      take(number, from, bytes);
      flush(n);
    }
    for (const auto& serve : std::exchange(n.later, {})) serve();
    flush(n);
  }

  // ---------------------------------------------------------------------------------- the network
  void flush(Node& n) {
    if (!n.m) return;
    n.kept = options_.settings.disabled_safeguard == fleet::DisabledSafeguard::incarnation
                 ? 1
                 : n.m->incarnation();
    const std::uint32_t from = number(n);
    for (fleet::Datagram& d : n.m->take_datagrams()) send(from, std::move(d));
    for (fleet::StreamRequest& a : n.m->take_stream_requests()) ask(from, std::move(a));
    for (const fleet::ViewEvent& c : n.m->take_view_events()) observe(n, c);
    const Time wake = std::max(now_, here(n.m->next_wake()));
    if (wake == n.wake) return;
    n.wake = wake;
    const std::uint64_t token = ++n.wake_token;
    if (wake == Time::max()) return;
    at(wake, [this, from, token] {
      Node& node = nodes_[from];
      if (!node.m || node.wake_token != token) return;
      node.wake = Time::max();
      if (node.stalled) return;
      node.m->wake(there(now_));
      flush(node);
    });
  }

  void count(Node& n, std::size_t bytes) {
    const std::int64_t second = now_.time_since_epoch() / 1s;
    if (second != n.second) n.second_bytes = 0;
    n.second = second;
    n.second_bytes += static_cast<double>(bytes);
    result_.most_bytes = std::max(result_.most_bytes, n.second_bytes);
  }

  void send(std::uint32_t from, fleet::Datagram d) {
    ++datagrams_;
    bytes_ += d.bytes.size();
    count(nodes_[from], d.bytes.size());
    const auto to = whose(d.to);
    if (!to) return;
    const Links::Fate fate = links_.of_datagram(place(from), place(*to), d.bytes.size(), now_);
    if (fate.lost) return;
    if (fate.spoilt) d.bytes = links_.spoil(std::move(d.bytes));
    const Duration way = links_.way(place(from), place(*to)) + fate.delay;
    const auto bytes = std::make_shared<const std::string>(std::move(d.bytes));
    const auto arrives = [this, from, to = *to, bytes] {
      Node& n = nodes_[to];
      if (!n.m) return;
      if (n.stalled) {
        if (n.inbox.size() < kInbox) n.inbox.emplace_back(nodes_[from].address, *bytes);
        return;
      }
      take(to, nodes_[from].address, *bytes);
      flush(n);
    };
    at(now_ + way, arrives);
    if (fate.twice) at(now_ + way + fate.again, arrives);
  }

  void take(std::uint32_t to, const fleet::Address& from, const std::string& bytes) {
    Node& n = nodes_[to];
    const auto sender = whose(from);
    const fleet::Table::Entry* e = sender ? n.m->others().find(nodes_[*sender].name) : nullptr;
    const bool stranger = !e || !e->address_verified || e->record.address != from;
    n.m->receive(there(now_), from, bytes);
    if (!stranger) return;
    std::size_t answered = 0;
    std::vector<fleet::Datagram> all = n.m->take_datagrams();
    for (const fleet::Datagram& d : all) answered += d.to == from ? d.bytes.size() : 0;
    if (answered > bytes.size() * 3)
      broken(FleetRule::amplified,
             n.name + " answers " + std::to_string(bytes.size()) + " bytes with " + std::to_string(answered));
    for (fleet::Datagram& d : all) send(to, std::move(d));
  }

  // A stream: there, and back. What is lost on it is found by time alone; a machine without the process
  // refuses.
  void ask(std::uint32_t from, fleet::StreamRequest a) {
    ++frames_;
    frame_bytes_ += a.frame.size();
    const unsigned start = nodes_[from].start;
    const auto fail = [this, from, start, token = a.token](Duration after) {
      at(now_ + after, [this, from, start, token] {
        if (!up(from) || nodes_[from].start != start) return;
        hear(from, [this, from, token] { nodes_[from].m->on_request_failed(there(now_), token); });
      });
    };
    const auto to = whose(a.to);
    if (!to || links_.cut(place(from), place(*to)) || links_.cut(place(*to), place(from)) ||
        links_.breaks_stream())
      return fail(kStreamWithin);
    const Duration way = links_.way(place(from), place(*to)) + links_.slow() +
                         links_.queued(place(from), place(*to), a.frame.size(), now_);
    if (!up(*to)) return fail(way * 2);
    if (way * 4 > kStreamWithin) return fail(kStreamWithin);
    const auto serve = [this, from, start, to = *to, a, way, fail] {
      Node& n = nodes_[to];
      if (!n.m || !up(from) || nodes_[from].start != start) return fail(way);
      const std::string reply = n.m->serve(there(now_), a.frame);
      frame_bytes_ += reply.size();
      flush(n);
      if (reply.empty()) return fail(way);
      if (links_.cut(place(to), place(from))) return fail(kStreamWithin);
      at(now_ + way, [this, from, start, token = a.token, reply] {
        if (!up(from) || nodes_[from].start != start) return;
        hear(from, [this, from, token, reply] { nodes_[from].m->on_response(there(now_), token, reply); });
      });
    };
    at(now_ + way * 3, [this, to = *to, serve, fail] {  // connected, and the frame
      Node& n = nodes_[to];
      if (n.m && n.stalled) return fail(kStreamWithin);
      serve();
    });
  }

  void hear(std::uint32_t number, const std::function<void()>& what) {
    Node& n = nodes_[number];
    if (n.stalled) {
      n.later.push_back([this, number, start = n.start, what] {
        if (up(number) && nodes_[number].start == start) what();
      });
      return;
    }
    what();
    flush(n);
  }

  // --------------------------------------------------------------------------------------- checks
  void observe(Node& n, const fleet::ViewEvent& c) {
    if (options_.log) log(n.name + " sees " + (c.member.empty() ? "" : c.member + " ") + c.description);
    if (c.member.empty() || c.member == n.name) {
      if (c.description.starts_with("CONFLICT")) conflict_seen_.insert(number(n));
      if (c.description.starts_with("away for")) n.buried.clear();  // it begins as after a start
      return;
    }
    if (c.description.starts_with("CONFLICT")) conflict_seen_.insert(number(n));
    const auto target = static_cast<std::uint32_t>(std::stoul(c.member.substr(1)));
    const bool dies = c.description.starts_with("dead");
    const std::uint32_t from = place(number(n)), to = place(target);
    const bool runs = up(target) && !nodes_[target].stalled && now_ - nodes_[target].ran_from > 1s &&
                      !links_.cut(from, to) && !links_.cut(to, from);
    if (c.description.starts_with("suspect") && runs) ++result_.false_suspicions;
    if (dies && runs) {
      ++result_.false_deaths;
      if (options_.no_false_deaths)
        broken(FleetRule::false_death, n.name + " buries " + c.member + ": " + c.description);
    }
    if (dies && first_killed_ == target && !up(target)) {
      known_.insert(number(n));
      const auto others =
          static_cast<double>(std::ranges::count_if(nodes_, [](const Node& o) { return o.m.has_value(); }));
      const double after = seconds(now_ - first_killed_at_);
      if (result_.known_by_half < 0 && static_cast<double>(known_.size()) >= others / 2)
        result_.known_by_half = after;
      if (result_.known_by_all < 0 && static_cast<double>(known_.size()) >= others)
        result_.known_by_all = after;
    }
    const fleet::Table::Entry* e = n.m->others().find(c.member);
    if (dies) {
      n.buried[c.member] = {e ? e->record.stamp : last_stamp(n, c.member), now_};
    } else if (e && !fleet::is_gone(e->record.state)) {
      const auto found = n.buried.find(c.member);
      if (found != n.buried.end() && e->record.stamp <= found->second.first &&
          now_ - found->second.second < Duration(options_.settings.tombstone_retention) * 3 / 4) {
        broken(FleetRule::revived, n.name + " sees " + c.member + " again: " + c.description);
      }
    }
    if (e) stamps_[n.name + c.member] = e->record.stamp;
  }

  fleet::Stamp last_stamp(const Node& n, const std::string& name) { return stamps_[n.name + name]; }

  // Of two with one name, the one that has given way.
  bool looks_on(std::uint32_t i) const {
    return (i == twin() || static_cast<int>(i) == twin_of_) && nodes_[i].m->is_observer();
  }

  // Whether all that run hold the same view, and the true one.
  bool one_view() const {
    const fleet::Membership* first = nullptr;
    std::size_t running = 0;
    for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
      const Node& n = nodes_[i];
      if (!n.m || looks_on(i)) continue;
      ++running;
    }
    for (std::uint32_t i = 0; i < nodes_.size(); ++i) {
      const Node& n = nodes_[i];
      if (!n.m || looks_on(i)) continue;
      if (n.stalled || !n.m->joined() || n.m->others().live_count() + 1 != running ||
          n.m->others().suspect_count() > 0)
        return false;
      if (first && first->digest() != n.m->digest()) return false;
      first = &*n.m;
    }
    return true;
  }

  void look() {
    if (options_.progress) options_.progress(seconds(now_) / (day_.scenario.seconds + result_.bound));
    const std::string trouble = twin_trouble();
    const bool one = trouble.empty() && one_view();
    if (result_.started == 0 && one && now_ > Time(span(options_.start_within)))
      result_.started = seconds(now_);
    const bool faults_over = now_ > last_fault_;
    if (!one) settled_at_.reset();
    if (one && faults_over && !settled_at_) settled_at_ = now_;
    const bool day_over = !options_.to_the_end || now_ >= day_.end();
    if (settled_at_ && now_ >= *settled_at_ + kStays && day_over) {
      result_.settled = seconds(*settled_at_ - last_fault_);
      over_ = true;
      return;
    }
    if (now_ >= last_fault_ + span(result_.bound) && day_over) {
      result_.settled = -1;
      if (trouble.empty())
        broken(FleetRule::not_settled, differences());
      else
        broken(FleetRule::two_alive, trouble);
      over_ = true;
      return;
    }
    at(now_ + kLook, [this] { look(); });
  }

  std::string differences() const {
    std::string all;
    for (const Node& n : nodes_) {
      if (!n.m) continue;
      std::size_t missing = 0;
      for (const Node& o : nodes_) {
        if (!o.m || &o == &n) continue;
        const fleet::Table::Entry* e = n.m->others().find(o.name);
        missing += !e || fleet::is_gone(e->record.state) || e->record.stamp != o.m->self().stamp ? 1 : 0;
      }
      if (missing == 0 && n.m->others().suspect_count() == 0 && n.m->joined()) continue;
      all += (all.empty() ? "" : "; ") + n.name + ": " + std::to_string(missing) + " not as they are, " +
             std::to_string(n.m->others().suspect_count()) + " suspect" +
             (n.m->joined() ? "" : ", not joined");
    }
    return all.empty() ? "others that are not there" : all;
  }

  // The second process with a name: as long as both run, one alone holds it, and everybody has heard. Empty:
  // so it is.
  std::string twin_trouble() const {
    if (twin_of_ < 0 || !up(twin()) || !up(static_cast<std::uint32_t>(twin_of_))) return {};
    const fleet::Membership &a = *nodes_[twin()].m, &b = *nodes_[static_cast<std::size_t>(twin_of_)].m;
    if (a.joined() == b.joined()) return a.joined() ? "both hold the name" : "neither holds the name";
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
      if (up(n) && !conflict_seen_.contains(n)) return nodes_[n].name + " has not heard of the conflict";
    }
    return {};
  }

  // --------------------------------------------------------------------------------------- faults
  void play(const Fault& f) {
    log("fault: " + std::string(lab::name_of(f.kind)));
    const Time until = f.at + f.lasts;
    if (Links::concerns(f.kind)) {
      links_.begin(f);
      at(until, [this, &f] {
        links_.end(f);
        log("healed: " + std::string(lab::name_of(f.kind)));
      });
      return;
    }
    switch (f.kind) {
      case FaultKind::kill:
        if (first_killed_ == kNobody) {
          first_killed_ = f.targets.front();
          first_killed_at_ = now_;
        }
        for (const std::uint32_t r : f.targets) {
          kill(r, f.kept);
          if (until < day_.end()) at(until, [this, r] { start(r); });  // else it is gone for good
        }
        break;
      case FaultKind::restart:
      case FaultKind::upgrade:
        for (const std::uint32_t r : f.targets) {
          if (f.kind == FaultKind::restart && up(r)) {
            nodes_[r].m->leave(there(now_));
            flush(nodes_[r]);
          }
          kill(r, true);  // an upgrade says nothing: its successor is there at once
          at(f.kind == FaultKind::restart ? until : now_ + 20ms, [this, r] { start(r); });
        }
        break;
      case FaultKind::rolling:
        for (std::size_t i = 0; i < f.targets.size(); ++i) {
          const Time when = f.at + f.lasts * static_cast<int>(i) / static_cast<int>(f.targets.size());
          at(when, [this, r = f.targets[i]] {
            if (up(r)) {
              nodes_[r].m->leave(there(now_));
              flush(nodes_[r]);
            }
            kill(r, true);
            at(now_ + 600ms, [this, r] { start(r); });
          });
        }
        last_fault_ = std::max(last_fault_, until + 600ms);
        break;
      case FaultKind::stall:
        for (const std::uint32_t r : f.targets) {
          stall(r, true);
          at(until, [this, r] { stall(r, false); });
        }
        break;
      case FaultKind::twin: {
        twin_of_ = static_cast<int>(f.targets.front());
        nodes_[twin()].name = nodes_[f.targets.front()].name;
        start(twin());
        break;
      }
      default:
        break;  // of partners, clients and the directory, and of wall clocks: the view knows none of them
    }
  }

  static constexpr std::uint32_t kNobody = ~0U;

  const Day& day_;
  const FleetOptions& options_;
  Links links_;
  Random random_;
  std::vector<Node> nodes_;  // the last one is the twin
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  Time now_{};
  Time last_fault_{};
  std::optional<Time> settled_at_;
  bool over_ = false;
  std::uint64_t datagrams_ = 0, bytes_ = 0, frames_ = 0, frame_bytes_ = 0;
  double member_seconds_ = 0;
  std::uint32_t first_killed_ = kNobody;
  Time first_killed_at_{};
  std::set<std::uint32_t> known_, conflict_seen_;
  int twin_of_ = -1;
  std::unordered_map<std::string, fleet::Stamp> stamps_;
  FleetResult result_;
};

}  // namespace

std::string_view name_of(FleetRule rule) {
  constexpr std::string_view names[] = {"not_settled", "revived", "two_alive", "amplified", "false_death"};
  return names[static_cast<std::size_t>(rule)];
}

Time last_fault(const Day& day) {
  Time last{};
  for (const Fault& f : day.faults)
    last = std::max(last, f.at + (f.at + f.lasts < day.end() ? f.lasts : Duration{}));
  return last;
}

membership::Settings fleet_settings(unsigned probe_ms) {
  membership::Settings s;
  s.fleet = "driven";
  s.probe_interval = std::chrono::milliseconds(probe_ms);
  s.ack_timeout = s.probe_interval / 2;
  s.max_reconnect_interval = s.probe_interval * 30;
  s.tombstone_retention = s.probe_interval * 600;
  return s;
}

// Two rounds in which what is lost is tried, a suspicion in full by a member in half doubt of itself, and
// some periods for news and repair.
double settle_bound(const membership::Settings& s, std::size_t members) {
  const double probe = static_cast<double>(s.probe_interval.count()) / 1e6;
  const double grows = std::max(3.0, std::log2(static_cast<double>(members) + 1));
  return 2.5 * static_cast<double>(s.max_reconnect_interval.count()) / 1e6 + probe * (10 + 9 * grows);
}

FleetResult play_fleet(const Day& day, const FleetOptions& options) { return FleetWorld(day, options).run(); }

}  // namespace valedrum::lab
