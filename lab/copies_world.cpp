#include "copies_world.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <unordered_map>

#include "random.h"

namespace valedrum::lab {
namespace {

using copies::AttemptState;
using copies::Copies;
using copies::Duration;
using copies::Time;
using namespace std::chrono_literals;

constexpr Time kStart{1000s};
constexpr unsigned kMostAttempts = 6;
constexpr Duration kLostAfter = 300ms, kUpAfter = 3ms, kAnswerWithin = 2s, kReach = 500ms;
constexpr Duration kSeenFirst = 500ms, kSeenMost = 8s;  // until the view shows that one is gone or back
constexpr Duration kClientWaits = 400ms;                // for an answer to its hand-in
constexpr Duration kCallTimeout = 1500ms, kOwnLook = 20ms;

Duration span(double s) { return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s)); }
double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

class World {
 public:
  explicit World(const CopyDay& day) : day_(day), random_(day.seed, 90), nodes_(day.relays) {
    for (std::uint32_t n = 0; n < day.relays; ++n) boot(n);
    for (std::uint32_t n = 0; n < day.relays; ++n) see_others(n);
    for (std::uint32_t n = 0; n < day.relays; ++n) arrive(n);
    for (const CopyFaultSpec& f : day.faults) at(kStart + span(f.at), [this, &f] { begin(f); });
  }

  CopyResult play(const std::atomic<bool>* stop) {
    const Time end = kStart + span(day_.seconds) + 25s;
    while (!events_.empty() && events_.top().at <= end) {
      if (stop && stop->load()) {
        result_.stopped = true;
        break;
      }
      Event e = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = std::max(now_, e.at);
      e.what();
    }
    for (const Node& n : nodes_) {
      if (n.copies) count(*n.copies);
    }
    return std::move(result_);
  }

 private:
  struct Event {
    Time at;
    std::uint64_t number;
    std::function<void()> what;
    bool operator<(const Event& o) const { return std::pair(at, number) > std::pair(o.at, o.number); }
  };
  struct Held {         // a message that a relay may act on
    unsigned call = 0;  // that is out; 0: none
    bool pending = false;
    std::uint32_t attempts = 0;
  };
  struct Node {
    std::optional<Copies> copies;
    std::string file;  // what lasts
    std::uint64_t life_seed = 0;
    unsigned start = 0;  // of its process; what was meant for an earlier one is void
    bool stalled = false, lost = false;
    Time back{};  // of a stalled one
    std::map<std::string, Held> held;
    std::map<std::uint64_t, std::string> promises, calls;
    std::vector<std::uint32_t> seen;  // whom its view has
    Time wakes = Time::max();
    std::deque<std::function<void()>> deferred;  // while it is stopped
  };
  struct Message {
    std::uint32_t origin = 0;
    bool once = false, promised = false, over = false, executed = false;
    Time until{}, taken{};
    std::vector<std::uint32_t> knowers;
    unsigned calls = 0, may_have_run = 0;
    std::map<std::uint32_t, unsigned> out;  // relays with a call out, by its number
    std::vector<std::string> history;
    std::optional<Time> loss;  // of its origin's machine, while it was owed
  };
  struct Link {
    bool up = false, coming = false;
    Time last{};  // arrival of the newest frame
    unsigned number = 0;
  };

  void at(Time when, std::function<void()> what) { events_.push({when, ++number_, std::move(what)}); }

  static std::string labelled(char letter, std::uint64_t n) {
    std::string text(1, letter);
    return text += std::to_string(n);
  }
  static std::string name(std::uint32_t n) { return labelled('n', n); }
  std::uint32_t number_of(const std::string& name) const {
    return static_cast<std::uint32_t>(std::stoul(name.substr(1)));
  }
  bool runs(std::uint32_t n) const { return nodes_[n].copies.has_value(); }

  // ----------------------------------------------------------------------------------------- processes

  void boot(std::uint32_t n) {
    Node& node = nodes_[n];
    ++node.start;
    node.lost = false;
    copies::LocalMember self;
    self.identity.name = name(n);
    self.identity.address = {n + 1, 1};
    self.machine = labelled('m', n);
    self.zone = labelled('z', n % 3);
    node.copies.emplace(day_.settings, self, copies::read_stored(node.file, {}),
                        day_.seed * 1000 + n * 37 + node.start, now_);
    if (node.file.empty()) node.file = node.copies->snapshot({});
    turn(n);
  }

  void end(std::uint32_t n, bool kept) {
    Node& node = nodes_[n];
    if (!node.copies) return;
    count(*node.copies);
    ++node.start;
    node.copies.reset();
    node.stalled = false;
    node.deferred.clear();
    node.wakes = Time::max();
    node.promises.clear();
    node.calls.clear();
    // Its connections end with its process; those of a lost machine stay open, and silent.
    for (const auto& [id, held] : std::exchange(node.held, {})) {
      Message& m = messages_.at(id);
      if (kept) m.out.erase(n);
      if (!kept && m.promised && !m.over) stake(m);
    }
    if (!kept) {
      node.file.clear();
      node.lost = true;
    }
    for (std::uint32_t o = 0; o < nodes_.size(); ++o) cut_link(n, o);
    for (std::uint32_t o = 0; o < nodes_.size(); ++o) {
      if (o != n) seen_after(o);
    }
  }

  void stake(Message& m) {
    if (m.loss || m.until < now_ + 4s) return;
    m.loss = now_;
    ++result_.at_stake;
  }

  void count(const Copies& c) {
    result_.won += c.counters().ownerships_gained;
    result_.inherited += c.counters().taken_over;
    result_.expired += c.counters().expired;
    result_.groups += c.counters().groups_opened;
  }

  void seen_after(std::uint32_t n) {
    at(now_ + span(random_.between({seconds(kSeenFirst), seconds(kSeenMost)})), [this, n] { see_others(n); });
  }

  void see_others(std::uint32_t n) {
    if (!runs(n)) return;
    std::vector<copies::Candidate> all;
    for (std::uint32_t o = 0; o < nodes_.size(); ++o) {
      if (o == n || !runs(o) || nodes_[o].stalled || cut(n, o) || cut(o, n)) continue;
      copies::Candidate& c = all.emplace_back();
      c.identity.name = name(o);
      c.identity.storage_id = nodes_[o].copies->storage_id();
      c.identity.address = {o + 1, 1};
      c.machine = labelled('m', o);
      c.zone = labelled('z', o % 3);
      c.free_eighths = nodes_[o].copies->free_eighths();
    }
    run(n, [this, n, all = std::move(all)] {
      nodes_[n].copies->set_candidates(now_, all);
      turn(n);
    });
  }

  // What a stopped process has to do waits for it.
  void run(std::uint32_t n, std::function<void()> what) {
    Node& node = nodes_[n];
    if (!node.copies) return;
    if (node.stalled) {
      node.deferred.push_back(std::move(what));
    } else {
      what();
    }
  }
  void later(std::uint32_t n, Duration after, std::function<void()> what) {
    at(now_ + after, [this, n, start = nodes_[n].start, what = std::move(what)] {
      if (nodes_[n].start == start) run(n, what);
    });
  }

  // As CopyNet::turn(): disk, then frames, then events, which lead to more.
  void turn(std::uint32_t n) {
    Node& node = nodes_[n];
    for (int again = 0; again < 100; ++again) {
      node.copies->flush(now_);
      node.file += node.copies->take_records({});
      for (auto& frame : node.copies->take_frames())
        send(n, number_of(frame.to.name), std::move(frame.frame));
      const auto events = node.copies->take_events();
      if (events.empty()) break;
      for (const auto& e : events) happened(n, e);
    }
    const Time next = node.copies->next_wake();
    if (next >= node.wakes || next == Time::max()) return;
    node.wakes = next;
    later(n, std::max(Duration(1000), next - now_), [this, n] {
      nodes_[n].wakes = Time::max();
      nodes_[n].copies->wake(now_);
      turn(n);
      leaders();
    });
  }

  // ------------------------------------------------------------------------------------------- network

  bool cut(std::uint32_t from, std::uint32_t to) const {
    return std::ranges::any_of(cuts_, [&](const auto& c) {
      const bool a = c.second.contains(from), b = c.second.contains(to);
      return c.first->kind == CopyFault::one_way ? a && !b : a != b;
    });
  }

  void cut_link(std::uint32_t a, std::uint32_t b) {
    for (const auto& key : {std::pair(a, b), std::pair(b, a)}) {
      links_[key].up = links_[key].coming = false;
      ++links_[key].number;
    }
  }

  void send(std::uint32_t from, std::uint32_t to, std::string frame) {
    Link& link = links_[{from, to}];
    if (!link.up) {
      if (std::exchange(link.coming, true)) return;
      at(now_ + kUpAfter, [this, from, to, number = link.number] { come_up(from, to, number); });
      return;
    }
    ++result_.frames;
    result_.frame_bytes += frame.size();
    const bool breaks = breaks_ > 0 && random_.chance(breaks_);
    if (breaks || cut(from, to)) {  // nothing is said: it shows when no answer comes
      at(now_ + (breaks ? 1ms : kAnswerWithin), [this, from, to, number = link.number] {
        if (links_[{from, to}].number == number) cut_link(from, to);
      });
      return;
    }
    const Time arrives =
        std::max(link.last, now_ + span(0.0005 + 0.002 * random_.unit() + slow_ * random_.unit()));
    link.last = arrives;
    at(arrives, [this, from, to, number = link.number, start = nodes_[to].start, frame = std::move(frame)] {
      if (links_[{from, to}].number != number || nodes_[to].start != start) return;
      run(to, [this, from, to, frame] {
        myrtlegrade::RecordReader in(frame);
        const auto decoded = copies::decode_frame(*in.record());
        nodes_[to].copies->receive(now_, name(from), *decoded);
        turn(to);
      });
    });
  }

  // Both ends say who they are: a stopped process says nothing.
  void come_up(std::uint32_t from, std::uint32_t to, unsigned number) {
    Link& link = links_[{from, to}];
    if (link.number != number) return;
    if (!runs(from) || !runs(to) || nodes_[to].stalled || cut(from, to) || cut(to, from)) {
      at(now_ + kReach, [this, from, to, number] {
        if (links_[{from, to}].number == number) links_[{from, to}].coming = false;
      });
      return;
    }
    for (const auto& [a, b] : {std::pair(from, to), std::pair(to, from)}) {
      Link& l = links_[{a, b}];
      if (l.up) continue;
      l.up = true;
      l.coming = false;
      run(a, [this, a = a, b = b] {
        nodes_[a].copies->connected(now_, name(b));
        turn(a);
      });
    }
  }

  // -------------------------------------------------------------------------------------------- faults

  void begin(const CopyFaultSpec& f) {
    std::vector<std::uint32_t> targets;
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) targets.push_back(n);
    for (std::size_t i = targets.size(); i > 1; --i)
      std::swap(targets[i - 1], targets[random_.below(static_cast<std::uint32_t>(i))]);
    targets.resize(std::max<std::size_t>(
        1, static_cast<std::size_t>(std::lround(f.part * static_cast<double>(targets.size())))));
    const Duration lasts = span(f.lasts);
    switch (f.kind) {
      case CopyFault::kill:
      case CopyFault::lose:
        for (const std::uint32_t n : targets) {
          // All within a second.
          at(now_ + span(random_.unit()), [this, n, lasts, kept = f.kind == CopyFault::kill] {
            end(n, kept);
            at(now_ + lasts, [this, n] {
              if (runs(n)) return;
              boot(n);
              see_others(n);
              for (std::uint32_t o = 0; o < nodes_.size(); ++o) {
                if (o != n) seen_after(o);
              }
            });
          });
        }
        return;
      case CopyFault::stall:
        for (const std::uint32_t n : targets) {
          if (!runs(n) || nodes_[n].stalled) continue;
          nodes_[n].stalled = true;
          at(now_ + lasts, [this, n, start = nodes_[n].start] {
            Node& node = nodes_[n];
            if (node.start != start || !node.stalled) return;
            node.stalled = false;
            for (auto& what : std::exchange(node.deferred, {})) {
              if (node.start == start) what();
            }
          });
        }
        return;
      case CopyFault::split:
      case CopyFault::one_way:
        cuts_.emplace_back(&f, std::set(targets.begin(), targets.end()));
        for (std::uint32_t n = 0; n < nodes_.size(); ++n) seen_after(n);
        at(now_ + lasts, [this, &f] {
          std::erase_if(cuts_, [&](const auto& c) { return c.first == &f; });
          for (std::uint32_t n = 0; n < nodes_.size(); ++n) seen_after(n);
        });
        return;
      case CopyFault::breaks:
      case CopyFault::slow: {
        double& what = f.kind == CopyFault::breaks ? breaks_ : slow_;
        what += f.size;
        at(now_ + lasts, [&what, size = f.size] { what = std::max(0.0, what - size); });
        return;
      }
      case CopyFault::full:
        return;  // of the whole day: the settings say so
    }
  }

  // ------------------------------------------------------------------------------------------ messages

  void arrive(std::uint32_t n) {
    const double next = -std::log(1 - random_.unit()) / day_.rate;
    at(now_ + span(next), [this, n] {
      if (now_ > kStart + span(day_.seconds)) return;
      if (runs(n) && !nodes_[n].stalled) take(n);
      arrive(n);
    });
  }

  void take(std::uint32_t n) {
    const std::string id = labelled('m', ++last_message_);
    ++result_.messages;
    Message& m = messages_[id];
    m.origin = n;
    m.once = random_.chance(0.5);
    m.taken = now_;
    m.until = now_ + span(random_.between({2, 15}));
    copies::Item item;
    item.deadline = m.until;
    item.payload = std::make_shared<const copies::Payload>(
        copies::Payload{id, "c", "", std::string(200, 'x'), 1, m.once});
    Node& node = nodes_[n];
    if (node.copies->add(now_, id, std::move(item)) != Copies::Placement::placed) {
      ++result_.refused;
      m.over = true;
      return;
    }
    for (const auto& g : node.copies->groups(now_)) {
      if (g.id == node.copies->group_of(id)) {
        for (const copies::MemberIdentity& s : g.config.members) m.knowers.push_back(number_of(s.name));
      }
    }
    node.held[id] = {};
    node.promises[node.copies->wait_for(now_, {id}, Copies::Requirement::acceptance)] = id;
    note(id, n, "is handed in");
    // Half of them are called for at once, the others wait for their partner.
    plan(n, id, random_.chance(0.5) ? Duration{} : span(-std::log(1 - random_.unit()) * 2));
    at(m.until, [this, id] { deadline(id); });
    at(m.until + kLostAfter, [this, id] { due(id); });
    turn(n);
  }

  void plan(std::uint32_t n, const std::string& id, Duration after) {
    if (after == Duration{}) return attempt(n, id);
    later(n, after, [this, n, id] {
      attempt(n, id);
      turn(n);
    });
  }

  void attempt(std::uint32_t n, const std::string& id) {
    Node& node = nodes_[n];
    const auto found = node.held.find(id);
    if (found == node.held.end() || found->second.call > 0 || found->second.pending) return;
    if (found->second.attempts >= kMostAttempts) return give_up(n, id, false);
    ++found->second.attempts;
    found->second.pending = true;
    node.copies->add_attempt(now_, id, {"host", "zone"});
    node.calls[node.copies->wait_for(now_, {id}, Copies::Requirement::call)] = id;
  }

  void call(std::uint32_t n, const std::string& id) {
    Node& node = nodes_[n];
    const auto found = node.held.find(id);
    if (found == node.held.end()) return;
    Held& held = found->second;
    held.pending = false;
    if (!node.copies->may_call(now_, id)) return not_sent(n, id);
    Message& m = messages_.at(id);
    note(id, n, "calls, attempt " + std::to_string(held.attempts));
    ++result_.calls;
    if (n != m.origin) {
      ++result_.calls_of_heirs;
      if (m.loss) result_.first_calls.push_back(seconds(now_ - *m.loss));
    }
    if (!m.out.empty()) broke(CopyRule::second_copy, id);
    if (m.once && m.may_have_run > 0) broke(CopyRule::effect_twice, id);
    if (++m.calls > kMostAttempts) broke(CopyRule::attempts, id);
    ++m.may_have_run;
    held.call = m.calls;
    m.out[n] = m.calls;
    const double fate = random_.unit();  // turned away, fails, hangs, or is served
    const Duration takes = span(fate < 0.6    ? 0.02 + 0.3 * random_.unit()
                                : fate < 0.85 ? 1.2 * random_.unit()
                                              : 6 * random_.unit());
    const bool away = random_.chance(0.25), fails = random_.chance(0.15);
    const unsigned number = m.calls;
    at(now_ + takes,
       [this, n, id, away, fails, number, start = node.start] { served(n, id, away, fails, number, start); });
    later(n, kCallTimeout,
          [this, n, id, number] { outcome(n, id, AttemptState::may_have_run, false, number); });
  }

  // The partner's answer ends the call, and reaches the relay if that runs and has not closed the connection.
  void served(std::uint32_t n, const std::string& id, bool away, bool fails, unsigned number,
              unsigned start) {
    Message& m = messages_.at(id);
    const auto open = m.out.find(n);
    const bool heard = open != m.out.end() && open->second == number;
    if (heard) m.out.erase(open);
    if (away && heard) --m.may_have_run;
    if (!away && !fails && m.once && std::exchange(m.executed, true)) broke(CopyRule::effect_twice, id);
    if (!heard || nodes_[n].start != start) return;
    if (!away && !fails && !m.over) delivered(id);
    run(n, [this, n, id, away, fails, number] {
      outcome(n, id, away ? AttemptState::never_ran : AttemptState::may_have_run, !away && !fails, number);
    });
  }

  void outcome(std::uint32_t n, const std::string& id, AttemptState fate, bool good, unsigned number) {
    Node& node = nodes_[n];
    Message& m = messages_.at(id);
    // Its time is up, and the connection closed.
    if (const auto open = m.out.find(n); open != m.out.end() && open->second == number) m.out.erase(open);
    const auto found = node.held.find(id);
    if (found == node.held.end() || found->second.call != number) return;
    found->second.call = 0;
    if (good) {
      node.held.erase(found);
      node.copies->complete(now_, id);
    } else {
      node.copies->set_attempt_state(now_, id, found->second.attempts - 1, fate);
      if (m.once && fate == AttemptState::may_have_run) {
        give_up(n, id, false);
      } else {
        plan(n, id, span(0.1 + 0.5 * random_.unit()));
      }
    }
    turn(n);
  }

  void not_sent(std::uint32_t n, const std::string& id) {
    nodes_[n].copies->set_attempt_state(now_, id, nodes_[n].held.at(id).attempts - 1,
                                        AttemptState::never_ran);
    plan(n, id, span(0.1 + 0.3 * random_.unit()));
  }

  void delivered(const std::string& id) {
    Message& m = messages_.at(id);
    m.over = true;
    ++result_.delivered;
    if (m.loss && now_ <= m.until) ++result_.saved;
  }

  void give_up(std::uint32_t n, const std::string& id, bool back) {
    Node& node = nodes_[n];
    node.held.erase(id);
    node.copies->set_pending_notice(now_, id, {back, {}});
    notice(n, id, back);
    node.copies->complete(now_, id);
  }

  // The platform's agent takes it at once.
  void notice(std::uint32_t n, const std::string& id, bool back) {
    Message& m = messages_.at(id);
    note(id, n, back ? "hands it back" : "gives it up");
    if (back && m.once && !m.over && m.may_have_run > 0)
      broke(CopyRule::effect_twice, id);  // its client comes again
    result_.handed_back += back ? 1 : 0;
    if (std::exchange(m.over, true)) return;
    ++result_.ended;
    if (back && m.loss) ++result_.saved;  // its client has it in time, and comes again
  }

  void deadline(const std::string& id) {
    for (std::uint32_t n = 0; n < nodes_.size(); ++n) {
      if (!runs(n) || !nodes_[n].held.contains(id)) continue;
      run(n, [this, n, id] {
        const auto found = nodes_[n].held.find(id);
        if (found == nodes_[n].held.end()) return;
        give_up(n, id, false);
        turn(n);
      });
    }
  }

  void due(const std::string& id) {
    const Message& m = messages_.at(id);
    if (!m.promised || m.over) return;
    const bool somebody = std::ranges::any_of(m.knowers, [&](std::uint32_t n) {
      return runs(n) && !nodes_[n].stalled && nodes_[n].copies->find(id);
    });
    if (somebody) {
      broke(CopyRule::lost, id);
    } else if (std::any_of(
                   m.knowers.begin(), m.knowers.begin() + 1 + day_.settings.copies,
                   [&](std::uint32_t n) { return runs(n) && !nodes_[n].stalled && nodes_[n].start == 1; })) {
      broke(CopyRule::lost, id);  // one that was to hold it has run all the time, and knows nothing of it
    } else {
      ++result_.unavoidable;
    }
  }

  // -------------------------------------------------------------------------------------------- events

  void happened(std::uint32_t n, const copies::CopyEvent& event) {
    Node& node = nodes_[n];
    if (const auto* done = std::get_if<copies::TicketCompleted>(&event)) {
      if (const auto p = node.promises.extract(done->ticket)) {
        Message& m = messages_.at(p.mapped());
        if (done->succeeded) {
          if (!std::exchange(m.promised, true)) ++result_.promised;
          result_.promise_ms.push_back(seconds(now_ - m.taken) * 1000);
          note(p.mapped(), n, "promises it");
        } else if (!m.over) {
          // Its client comes again with it. One that no longer waits has done so anyway, with another
          // message.
          if (m.once && m.may_have_run > 0 && now_ < m.taken + kClientWaits)
            broke(CopyRule::effect_twice, p.mapped());
          m.over = true;
          ++result_.refused;
          node.held.erase(p.mapped());
          node.copies->complete(now_, p.mapped());
        }
      } else if (const auto c = node.calls.extract(done->ticket)) {
        if (done->succeeded) {
          call(n, c.mapped());
        } else if (const auto found = node.held.find(c.mapped()); found != node.held.end()) {
          found->second.pending = false;
          not_sent(n, c.mapped());
        }
      }
    } else if (const auto* inherited = std::get_if<copies::OwnershipGained>(&event)) {
      inherit(n, *inherited);
    } else if (const auto* lost = std::get_if<copies::OwnershipLost>(&event)) {
      node.held.erase(lost->id);
    } else if (const auto* expired = std::get_if<copies::Expired>(&event)) {
      if (!node.held.contains(expired->id)) notice(n, expired->id, expired->notice.handed_back);
    }
  }

  // As the module decides: what may have run and may not be repeated fails, what may be out goes back to its
  // client.
  void inherit(std::uint32_t n, const copies::OwnershipGained& what) {
    Node& node = nodes_[n];
    // A call of its own is out from before it lost the message: first it ends.
    if (messages_.at(what.id).out.contains(n)) {
      later(n, kOwnLook, [this, n, what] {
        if (!nodes_[n].copies->is_owner(what.id) || nodes_[n].held.contains(what.id)) return;
        inherit(n, what);
        turn(n);
      });
      return;
    }
    note(what.id, n, "inherits it");
    node.copies->end_own_attempts(now_, what.id, std::nullopt);  // no connection of this relay has a call
    const auto ran = [](const copies::Attempt& a) { return a.state != AttemptState::never_ran; };
    const bool astray = std::ranges::find(what.orphaned, true) != what.orphaned.end();
    Held& held = node.held[what.id];
    held = {0, false, static_cast<std::uint32_t>(what.item.attempts.size())};
    if (!what.item.payload ||
        (what.item.payload->at_most_once && std::ranges::any_of(what.item.attempts, ran))) {
      give_up(n, what.id, false);
    } else if (astray) {
      give_up(n, what.id, true);
    } else {
      plan(n, what.id, span(0.05 * random_.unit()));
    }
  }

  // Not two of one group may act at a moment.
  void leaders() {
    if (!random_.chance(0.02)) return;
    std::map<copies::GroupId, int> leads;
    for (const Node& n : nodes_) {
      if (!n.copies) continue;
      for (const auto& g : n.copies->groups(now_)) {
        if (g.holds_lease && ++leads[g.id] > 1) broke(CopyRule::two_leaders, "");
      }
    }
  }

  void note(const std::string& id, std::uint32_t n, const std::string& what) {
    char text[40];
    std::snprintf(text, sizeof text, "%9.4f n%u ", seconds(now_ - kStart), n);
    messages_.at(id).history.push_back(text + what);
  }

  void broke(CopyRule rule, const std::string& id) {
    ++result_.broken[static_cast<std::size_t>(rule)];
    if (!result_.first.empty()) return;
    char text[80];
    std::snprintf(text, sizeof text, "%9.4f broken: ", seconds(now_ - kStart));
    result_.first = text + std::string(name_of(rule)) + " " + id + "\n";
    if (id.empty()) return;
    for (const std::string& line : messages_.at(id).history) result_.first += line + "\n";
    result_.first += "known to";
    for (const std::uint32_t n : messages_.at(id).knowers) result_.first.append(1, ' ').append(name(n));
    result_.first += "\n";
  }

  const CopyDay& day_;
  Random random_;
  Time now_ = kStart;
  std::priority_queue<Event> events_;
  std::uint64_t number_ = 0, last_message_ = 0;
  std::vector<Node> nodes_;
  std::unordered_map<std::string, Message> messages_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, Link> links_;
  std::vector<std::pair<const CopyFaultSpec*, std::set<std::uint32_t>>> cuts_;
  double breaks_ = 0, slow_ = 0;
  CopyResult result_;
};

}  // namespace

std::string_view name_of(CopyFault fault) {
  constexpr std::string_view names[] = {"kill",    "lose",   "stall", "split",
                                        "one_way", "breaks", "slow",  "full"};
  return names[static_cast<std::size_t>(fault)];
}

std::string_view name_of(CopyRule rule) {
  constexpr std::string_view names[] = {"second_copy", "effect_twice", "attempts", "lost", "two_leaders"};
  return names[static_cast<std::size_t>(rule)];
}

CopyResult play_copies(const CopyDay& day, const std::atomic<bool>* stop) { return World(day).play(stop); }

CopyDay copy_day(std::uint64_t seed, std::uint32_t most) {
  Random random(seed, 91);
  CopyDay day;
  day.seed = seed;
  day.relays = static_cast<std::uint32_t>(
      std::lround(std::exp(random.between({std::log(4.0), std::log(static_cast<double>(most))}))));
  day.settings.copies = 1 + random.below(2);
  day.settings.other_zone = random.chance(0.3);
  day.settings.group_count = 1 + random.below(4);
  day.rate = random.between({0.5, 4});
  day.seconds = 25;
  for (std::uint32_t n = 1 + random.below(4); n > 0; --n) {
    CopyFaultSpec f;
    f.kind = static_cast<CopyFault>(random.below(8));
    f.at = random.between({1, 20});
    f.part = random.chance(0.5) ? 0 : random.between({0, 0.5});
    f.lasts = std::exp(random.between({std::log(0.1), std::log(20.0)}));
    f.size = f.kind == CopyFault::breaks ? random.between({0.01, 0.2}) : random.between({0.01, 0.5});
    if (f.kind == CopyFault::full) day.settings.body_budget = 64U << 10;
    day.faults.push_back(f);
  }
  return day;
}

}  // namespace valedrum::lab
