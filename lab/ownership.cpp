#include "ownership.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "copies/group.h"

namespace valedrum::lab {
namespace {

using copies::Duration;
using copies::Group;
using copies::GroupMessage;
using copies::GroupMessageKind;
using copies::kGroupSize;
using copies::MemberIndex;
using copies::Time;
using namespace std::chrono_literals;

constexpr Duration kTick = 500ms;
constexpr char kId[] = "m";
const char* const kNames[] = {"origin", "first", "second"};

copies::Settings settings(const OwnershipBounds& b) {
  copies::Settings s;
  s.lease = kTick;
  s.lease_margin = kTick / 2;
  s.renewal_interval = kTick;
  s.vote_retry_interval = kTick / 5;
  s.disabled_safeguard = b.without;
  return s;
}

struct Frame {
  MemberIndex to = 0;
  GroupMessage say;
};

struct Node {
  std::optional<Group> group;                       // none: its process does not run
  bool lost = false;                                // its folder is gone
  std::shared_ptr<const Group::DurableState> disk;  // while it does not run
  unsigned called =
      0;  // attempts up to this number have been decided on by this process: a call left, or none will
  bool inherited = false;  // it has won, and not looked at what it won yet
};

struct Call {  // it ends as its process sees it end, or with that; never while it is stopped
  MemberIndex by = 0;
};

struct World {
  Time now{};
  std::array<Node, kGroupSize> nodes;
  std::vector<std::shared_ptr<const Frame>> frames;  // said, and it may still arrive, however often
  std::vector<Call> out;
  unsigned calls = 0, ran = 0;  // attempts whose calls left, and of them those that were not turned away
  unsigned crashes = 0, losses = 0, questions = 0;
  bool told = false;  // the client has its 202
  bool over = false;  // somebody has given the message its end
  bool taken_over = false;
};

struct Step {
  std::string text;
  World world;
  std::string broken;
};

class Explorer {
 public:
  explicit Explorer(const OwnershipBounds& bounds) : bounds_(bounds), settings_(settings(bounds)) {}

  OwnershipResult run() {
    const auto begun = std::chrono::steady_clock::now();
    const auto passed = [&] {
      return std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
    };
    enqueue(first(), 0, "");
    while (!frontier_.empty()) {
      if (result_.states >= bounds_.most_states || (bounds_.stop && bounds_.stop->load())) break;
      const auto [world, at] = std::move(frontier_.front());
      frontier_.pop_front();
      for (Step& step : steps(world)) {
        ++result_.steps;
        if (!step.broken.empty()) {
          result_.broken = step.broken;
          result_.story = story(at);
          result_.story.push_back(line(step.world, step.text));
          result_.seconds = passed();
          return std::move(result_);
        }
        enqueue(std::move(step.world), at, step.text);
      }
    }
    result_.whole = frontier_.empty();
    result_.seconds = passed();
    return std::move(result_);
  }

 private:
  struct Trace {
    std::size_t before = 0;
    std::string text;
  };

  static std::string line(const World& w, const std::string& text) {
    char at[16];
    std::snprintf(at, sizeof at, "%5.1f s  ",
                  std::chrono::duration<double>(w.now.time_since_epoch()).count() - 100);
    return at + text;
  }

  std::vector<std::string> story(std::size_t at) const {
    std::vector<std::string> lines;
    for (; at != 0; at = traces_[at].before) lines.push_back(traces_[at].text);
    std::ranges::reverse(lines);
    return lines;
  }

  World first() {
    World w;
    w.now = Time(100s);
    for (MemberIndex p = 0; p < kGroupSize; ++p) {
      w.nodes[p].group.emplace(settings_, copies::Role{p, bounds_.copies}, Group::DurableState{},
                               Group::Start::opened, w.now);
    }
    copies::Item item;
    item.payload =
        std::make_shared<const copies::Payload>(copies::Payload{kId, "class", "", "body", 1, bounds_.once});
    item.deadline = w.now + 3600s;
    item.attempts.push_back({"host", "zone", w.now, 0, copies::AttemptState::in_flight});
    w.nodes[0].group->put(kId, std::move(item));
    w.nodes[0].group->flush(w.now);
    collect(w, 0);
    return w;
  }

  // What a node has said is on its way, once its disk has what it knows.
  void collect(World& w, MemberIndex p) {
    Node& n = w.nodes[p];
    // Its client has its answer as soon as it may have it.
    w.told = w.told || (p == 0 && n.group->is_owner() && n.group->replica_count(kId, true) >= bounds_.copies);
    (void)n.group->take_changes();
    for (auto& [to, say] : n.group->take_messages()) {
      w.frames.push_back(std::make_shared<const Frame>(Frame{to, std::move(say)}));
    }
    switch (n.group->take_ownership_change()) {
      case Group::OwnershipChange::gained:
        n.inherited = true;
        w.taken_over = w.taken_over || p != 0;
        ++result_.takeovers;
        break;
      case Group::OwnershipChange::lost:
        n.inherited = false;
        break;
      case Group::OwnershipChange::none:
        break;
    }
  }

  std::string key(const World& w) const {
    std::string out;
    out += static_cast<char>((w.now - Time(100s)) / kTick);
    for (const Node& n : w.nodes) {
      out += n.group ? 'r' : n.lost ? 'x' : 'd';
      out += static_cast<char>(n.called);
      out += n.inherited ? 'i' : '-';
      if (n.group) n.group->describe(w.now, out);
      if (n.disk) describe(*n.disk, out);
    }
    for (const Call& c : w.out) {
      out += static_cast<char>(c.by);
    }
    out += {'|',
            static_cast<char>(w.calls),
            static_cast<char>(w.ran),
            static_cast<char>(w.crashes),
            static_cast<char>(w.losses),
            static_cast<char>(w.questions),
            static_cast<char>((w.told ? 1 : 0) + (w.over ? 2 : 0) + (w.taken_over ? 4 : 0))};
    std::set<std::string> frames;  // in whatever order they were said, and how often
    for (const auto& f : w.frames) frames.insert(describe(*f, w.now));
    for (const std::string& f : frames) out += f;
    return out;
  }

  static void describe(const Group::DurableState& d, std::string& out) {
    out += static_cast<char>(d.promised_epoch);
    out += static_cast<char>(d.owner);
    describe(d.items, out);
  }

  static void describe(const copies::Items& items, std::string& out) {
    for (const auto& [id, item] : items) {
      out += {static_cast<char>(item.version.epoch), static_cast<char>(item.version.revision),
              static_cast<char>((item.completed ? 1 : 0) + (item.payload ? 2 : 0))};
      for (const copies::Attempt& a : item.attempts)
        out += {static_cast<char>(a.state), static_cast<char>(a.sender)};
    }
  }

  std::string describe(const Frame& f, Time now) const {
    const auto age = [&](Time t) {
      return static_cast<char>(std::min<std::int64_t>((now - t) / (kTick / 5), 100));
    };
    std::string out{static_cast<char>(f.say.kind), static_cast<char>(f.say.sender), static_cast<char>(f.to),
                    static_cast<char>(f.say.epoch)};
    if (f.say.kind == GroupMessageKind::append)
      out += static_cast<char>(now < f.say.sent_at + settings_.lease ? age(f.say.sent_at) : 100);
    if (f.say.kind == GroupMessageKind::ack)
      out +=
          static_cast<char>(now < f.say.echoed_sent_at + settings_.lease ? age(f.say.echoed_sent_at) : 100);
    describe(f.say.items, out);
    return out;
  }

  // Whether it could still change anything, now or later: what can't need not be remembered.
  bool matters(const World& w, const Frame& f) const {
    const Node& to = w.nodes[f.to];
    if (to.lost) return false;
    const Group::DurableState* d = to.group ? &to.group->durable() : to.disk.get();
    if (!d) return false;
    const bool owns = to.group && to.group->is_owner();
    switch (f.say.kind) {
      case GroupMessageKind::append: {
        const Node& from = w.nodes[f.say.sender];
        const bool stale =
            f.say.epoch < d->promised_epoch && bounds_.without != copies::DisabledSafeguard::epoch_fence;
        return !stale || (from.group && from.group->is_owner() && from.group->epoch() == f.say.epoch);
      }
      case GroupMessageKind::ack:
        return owns && d->promised_epoch == f.say.epoch;
      case GroupMessageKind::vote_request:
        return f.say.epoch > d->promised_epoch;
      case GroupMessageKind::vote:
        return f.say.epoch > d->promised_epoch;
      case GroupMessageKind::reject:
        return owns && f.say.epoch > d->promised_epoch;
    }
    return true;
  }

  // Of one kind on one way the newest is remembered, of what owners say that of each epoch. What an older one
  // does when it comes late it would have done sooner, with no longer a promise: its acknowledgement renews
  // no lease, and it brings no more than the newer one.
  static void keep_newest(World& w) {
    const auto way = [](const Frame& f) {
      return std::tuple(f.say.kind, f.say.sender, f.to,
                        f.say.kind == GroupMessageKind::append ? f.say.epoch : 0);
    };
    const auto rank = [](const Frame& f) {
      return std::tuple(f.say.epoch, f.say.echoed_sent_at, f.say.sent_at);
    };
    std::vector<std::shared_ptr<const Frame>> kept;
    for (const auto& f : w.frames) {
      const auto same = std::ranges::find_if(kept, [&](const auto& k) { return way(*k) == way(*f); });
      if (same == kept.end()) {
        kept.push_back(f);
      } else if (rank(*f) >= rank(**same)) {
        *same = joined(*f, **same);
      }
    }
    w.frames = std::move(kept);
  }

  // Acknowledgements add up.
  static std::shared_ptr<const Frame> joined(Frame newer, const Frame& older) {
    if (newer.say.kind == GroupMessageKind::ack && newer.say.epoch == older.say.epoch) {
      for (const auto& [id, item] : older.say.items) {
        copies::Item& own = newer.say.items[id];
        own.version = std::max(own.version, item.version);
      }
    }
    if (newer.say.kind ==
        GroupMessageKind::append) {  // likewise what is said of items: a connection loses no part of it
      for (const auto& [id, item] : older.say.items) {
        const auto [at, added] = newer.say.items.emplace(id, item);
        if (!added && !at->second.payload && !at->second.completed) at->second.payload = item.payload;
      }
    }
    return std::make_shared<const Frame>(std::move(newer));
  }

  void enqueue(World world, std::size_t before, const std::string& text) {
    std::erase_if(world.frames, [&](const auto& f) { return !matters(world, *f); });
    keep_newest(world);
    const std::string k = key(world);
    const XXH128_hash_t h = XXH3_128bits(k.data(), k.size());
    if (!seen_.insert({h.low64, h.high64}).second) return;
    ++result_.states;
    traces_.push_back({before, text.empty() ? text : line(world, text)});
    frontier_.emplace_back(std::move(world), traces_.size() - 1);
  }

  // ---------------------------------------------------------------------------- what can happen next

  std::vector<Step> steps(const World& w) {
    std::vector<Step> all;
    const auto add = [&](std::string text, World next) {
      Step s{std::move(text), std::move(next), {}};
      s.broken = trouble(s.world);
      all.push_back(std::move(s));
    };
    for (const auto& frame : w.frames) deliver(w, *frame, add);
    for (MemberIndex p = 0; p < kGroupSize; ++p) {
      if (w.nodes[p].group) acts(w, p, add, all);
      fails(w, p, add);
    }
    for (std::size_t c = 0; c < w.out.size(); ++c) ends(w, c, add);
    if ((w.now - Time(100s)) / kTick < bounds_.ticks) {
      World next = w;
      next.now += kTick;
      add("time passes", std::move(next));
    }
    return all;
  }

  template <typename Add>
  void deliver(const World& w, const Frame& f, Add& add) {
    if (!w.nodes[f.to].group) return;
    World next = w;
    Group& group = *next.nodes[f.to].group;
    std::string before, after;
    group.describe(w.now, before);
    group.receive(w.now, f.say, {});
    collect(next, f.to);
    group.describe(w.now, after);
    if (before == after && next.frames.size() == w.frames.size()) return;
    static const char* const words[] = {"what it owns and holds", "an acknowledgement",
                                        "a question for its vote", "a vote", "a refusal"};
    add(std::string(kNames[f.to]) + " hears from " + kNames[f.say.sender] + ": " +
            words[static_cast<int>(f.say.kind)] + " (epoch " + std::to_string(f.say.epoch) + ")",
        std::move(next));
  }

  template <typename Add>
  void acts(const World& w, MemberIndex p, Add& add, std::vector<Step>& all) {
    const Node& n = w.nodes[p];
    if (n.group->next_wake() <= w.now && (n.group->is_owner() || w.questions < bounds_.questions)) {
      World next = w;
      next.questions += n.group->is_owner() ? 0 : 1;
      next.nodes[p].group->wake(w.now);
      collect(next, p);
      add(std::string(kNames[p]) + (n.group->is_owner() ? " asks for its lease again" : " asks for votes"),
          std::move(next));
    }
    const copies::Item* item = n.group->find(kId);
    if (!n.group->is_owner() || !item || item->completed) return;
    if (n.inherited) {
      inherit(w, p, add);
      return;
    }
    const auto attempt = static_cast<unsigned>(item->attempts.size());
    if (attempt > n.called && n.group->may_call(kId, w.now)) {
      World next = w;
      next.nodes[p].called = attempt;
      ++next.calls;
      ++next.ran;
      ++result_.calls;
      result_.calls_after_takeover += p != 0 ? 1 : 0;
      std::string broken;
      if (!w.out.empty()) broken = "two calls of the message are out at once";
      if (bounds_.once && w.ran > 0) broken = "work that may not be repeated is sent twice";
      if (next.calls > attempt) broken = "more calls have left than are counted";
      next.out.push_back({p});
      add(std::string(kNames[p]) + " calls the partner, attempt " + std::to_string(attempt), std::move(next));
      if (!broken.empty()) all.back().broken = broken;
    }
    // What was not held elsewhere in time is not sent. Another attempt may be made of what is not out.
    const bool stale = attempt > n.called && w.now >= item->attempts.back().sent_at + settings_.lease;
    const bool ended = item->attempts.back().state != copies::AttemptState::in_flight;
    if ((stale || ended) && attempt < bounds_.attempts) {
      World next = w;
      Node& node = next.nodes[p];
      copies::Item changed = *item;
      if (stale) changed.attempts.back().state = copies::AttemptState::never_ran;
      changed.attempts.push_back({"host", "zone", w.now, p, copies::AttemptState::in_flight});
      node.called = attempt;
      node.group->put(kId, std::move(changed));
      node.group->flush(w.now);
      collect(next, p);
      add(std::string(kNames[p]) + " means to make another attempt", std::move(next));
    }
  }

  // As the relay does with what it is given: what may have run and may not be repeated ends as failed, what
  // may still be out goes back to its client, the rest is sent again.
  template <typename Add>
  void inherit(const World& w, MemberIndex p, Add& add) {
    const copies::Item& item = *w.nodes[p].group->find(kId);
    const auto unknown = [](const copies::Attempt& a) { return a.state != copies::AttemptState::never_ran; };
    const auto astray = [&](const copies::Attempt& a) { return w.nodes[p].group->is_orphaned(a); };
    World next = w;
    Node& n = next.nodes[p];
    copies::Item changed = item;
    // Of a process that was killed: its connections have ended with it.
    for (copies::Attempt& a : changed.attempts) {
      if (a.sender == p && a.state == copies::AttemptState::in_flight)
        a.state = copies::AttemptState::may_have_run;
    }
    n.inherited = false;
    n.called = static_cast<unsigned>(item.attempts.size());
    const bool none_left = item.attempts.size() >= bounds_.attempts || !item.payload;
    changed.completed = none_left || (bounds_.once && std::ranges::any_of(item.attempts, unknown)) ||
                        std::ranges::any_of(item.attempts, astray);
    if (changed.completed) {
      next.over = true;
      ++result_.ends_unknown;
    } else {
      changed.attempts.push_back({"host", "zone", w.now, p, copies::AttemptState::in_flight});
    }
    const bool over = changed.completed;
    n.group->put(kId, std::move(changed));
    n.group->flush(w.now);
    collect(next, p);
    add(std::string(kNames[p]) + (over ? " ends the message undelivered" : " means to send it again"),
        std::move(next));
  }

  template <typename Add>
  void ends(const World& w, std::size_t c, Add& add) {
    const MemberIndex by = w.out[c].by;
    const Node& n = w.nodes[by];
    if (!n.group) return;
    const copies::Item* item = n.group->find(kId);
    enum { delivered, failed, turned_away };
    for (const int how : {delivered, failed, turned_away}) {
      World next = w;
      next.out.erase(next.out.begin() + static_cast<std::ptrdiff_t>(c));
      next.over = next.over || how == delivered;
      next.ran -= how == turned_away ? 1 : 0;
      Group& group = *next.nodes[by].group;
      if (group.is_owner() && item && !item->completed && item->attempts.size() == n.called &&
          item->attempts.back().sender == by) {
        copies::Item changed = *item;
        changed.attempts.back().state =
            how == turned_away ? copies::AttemptState::never_ran : copies::AttemptState::may_have_run;
        const bool again =
            (how == turned_away || !bounds_.once) && changed.attempts.size() < bounds_.attempts;
        changed.completed = how == delivered || !again;
        next.over = next.over || changed.completed;
        group.put(kId, std::move(changed));
        group.flush(w.now);
        collect(next, by);
      }
      static const char* const words[] = {" is delivered", " fails, and may have run", " is turned away"};
      add(std::string("the call of ") + kNames[by] + words[how], std::move(next));
    }
  }

  template <typename Add>
  void fails(const World& w, MemberIndex p, Add& add) {
    const Node& n = w.nodes[p];
    if (n.group) {
      if (w.crashes < bounds_.crashes) {
        World next = w;
        Node& node = next.nodes[p];
        node.disk = std::make_shared<const Group::DurableState>(n.group->durable());
        node.group.reset();
        node.inherited = false;
        node.called = 0;
        ++next.crashes;
        std::erase_if(next.out, [&](const Call& c) { return c.by == p; });  // its connections end with it
        add(std::string("the process of ") + kNames[p] + " is killed", std::move(next));
      }
      if (w.losses < bounds_.losses) {
        World next = w;
        Node& node = next.nodes[p];
        node = {};
        node.lost = true;
        ++next.losses;
        add(std::string("the machine of ") + kNames[p] + " is lost", std::move(next));
      }
      return;
    }
    if (n.lost) {  // one that comes back with an empty folder knows of no group: it neither votes nor
                   // acknowledges
      if (bounds_.without != copies::DisabledSafeguard::lost_state_check || p == 0) return;
      World next = w;
      Node& node = next.nodes[p];
      node = {};
      node.group.emplace(settings_, copies::Role{p, bounds_.copies}, Group::DurableState{},
                         Group::Start::opened, w.now);
      add(std::string(kNames[p]) + " is back with an empty folder", std::move(next));
      return;
    }
    World next = w;
    Node& node = next.nodes[p];
    node.group.emplace(settings_, copies::Role{p, bounds_.copies}, *n.disk, Group::Start::restarted, w.now);
    node.disk = nullptr;
    add(std::string(kNames[p]) + " is started again with its folder", std::move(next));
  }

  std::string trouble(const World& w) const {
    int leaders = 0;
    bool live = false, ended = false;
    for (const Node& n : w.nodes) {
      leaders += n.group && n.group->holds_lease(w.now) ? 1 : 0;
      const copies::Items* items = n.group ? &n.group->items() : n.disk ? &n.disk->items : nullptr;
      const auto found = items ? items->find(kId) : copies::Items::const_iterator{};
      if (!items || found == items->end()) continue;
      live = live || (!found->second.completed && found->second.payload);
      ended = ended || found->second.completed;
    }
    if (leaders > 1) return "two may act at once";
    if (w.told && !w.over && !live && !ended && w.losses <= bounds_.copies)
      return "a message that was taken on is held by nobody";
    return "";
  }

  struct Hash {
    std::size_t operator()(const std::pair<std::uint64_t, std::uint64_t>& k) const { return k.first; }
  };
  struct Set {
    std::unordered_map<std::uint64_t, std::uint64_t> seen;
    std::pair<int, bool> insert(std::pair<std::uint64_t, std::uint64_t> k) {
      return {0, seen.emplace(k.first, k.second).second};
    }
  };

  const OwnershipBounds& bounds_;
  copies::Settings settings_;
  OwnershipResult result_;
  std::deque<std::pair<World, std::size_t>> frontier_;
  std::vector<Trace> traces_{};
  Set seen_;
};

}  // namespace

OwnershipResult explore(const OwnershipBounds& bounds) { return Explorer(bounds).run(); }

}  // namespace valedrum::lab
