#include "scenario.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>
#include <utility>

#include "toml_reader.h"

namespace valedrum::lab {
namespace {

constexpr double kDay = 86400;

}  // namespace

template <>
struct Names<Effect> {
  static constexpr std::array<std::string_view, 3> all = {"idempotent", "deduplicated", "at_most_once"};
};
template <>
struct Names<Limit> {
  static constexpr std::array<std::string_view, 3> all = {"none", "rate", "window"};
};
template <>
struct Names<FaultKind> {
  static constexpr std::array<std::string_view, 32> all = {
      "kill",        "restart",       "rolling",      "upgrade", "outage",   "single",    "silent",
      "hung",        "slow",          "failing",      "spoilt",  "flapping", "shut",      "drain",
      "lower_limit", "zone_down",     "zone_cut",     "lossy",   "resets",   "discovery", "crowd",
      "hot",         "stall",         "clock",        "split",   "links",    "link_loss", "link_slow",
      "link_twice",  "link_throttle", "link_garbage", "twin"};
};

// The fields of each table, told once for reading and writing. Found by the types of their arguments, so in
// no unnamed namespace.
template <typename V>
static void fields(V& v, ClassSpec& c) {
  v("name", c.name);
  v("share", c.share, Bounds{0, 1});
  v("aim", c.aim, Bounds{0.001, kDay});
  v("deadline", c.deadline, Bounds{0.001, kDay});
  v("worth", c.worth, Bounds{0, 1e6});
  v("late_worth", c.late_worth, Bounds{0, 1});
  v("effect", c.effect);
  v("window", c.window, Bounds{0.001, kDay});
  v("work", c.work, Bounds{0.0001, 100});
}

template <typename V>
static void fields(V& v, KindSpec& k) {
  v("name", k.name);
  v("share", k.share, Bounds{0, 1});
  v("lean", k.lean, Bounds{-1, 1});
  v("limit", k.limit);
  v("headroom", k.headroom, Bounds{0.01, 100});
  v("least_rate", k.least_rate, Bounds{0.1, 1e6});
  v("spare", k.spare, Bounds{1, 100});
  v("depth", k.depth, Bounds{0.01, 100});
  v("window", k.window, Bounds{0.05, 100});
  v("tells_wait", k.tells_wait, Bounds{0, 1});
  v("wait", k.wait, Bounds{0.001, 100});
  v("refused_count", k.refused_count, Bounds{0, 1});
  v("batch", k.batch, Bounds{1, 1000});
  v("item_cost", k.item_cost, Bounds{0, 1});
  v("connections", k.connections, Bounds{0, 1e6});
}

template <typename V>
static void fields(V& v, FleetSpec& f) {
  v("relays", f.relays, Bounds{1, 10000});
  v("zones", f.zones, Bounds{1, 64});
  v("endpoints", f.endpoints, Bounds{1, 100000});
  v("per_partner", f.per_partner, Bounds{1, 4});
  v("messages_per_relay", f.messages_per_relay, Bounds{0.001, 1e5});
  v("load", f.load, Bounds{0, 100});
  v("uneven", f.uneven, Bounds{0, 4});
  v("zipf", f.zipf, Bounds{0, 4});
  v("slots", f.slots, Bounds{0.1, 100});
  v("hold", f.hold, Bounds{0.1, 1000});
  v("least_slots", f.least_slots, Bounds{1, 10000});
  v("least_hold", f.least_hold, Bounds{1, 1e6});
  v("attempts", f.attempts, Bounds{1, 100});
  v("start_capacity", f.start_capacity, Bounds{0.01, 1});
  v("overload_factor", f.overload_factor, Bounds{0.1, 100});
  v("overload_for", f.overload_for, Bounds{0.01, 100});
  v("warm_after", f.warm_after, Bounds{0.01, 1000});
  v("falls_for", f.falls_for, Bounds{0.01, 1000});
  v("connection_idle", f.connection_idle, Bounds{0.01, 1000});
  v("connect_timeout", f.connect_timeout, Bounds{0.01, 100});
  v("max_wait_hint", f.max_wait_hint, Bounds{0, 1000});
  v("tick", f.tick, Bounds{0.0001, 1});
  v("reports", f.reports);
  v("report_every", f.report_every, Bounds{0.001, 100});
  v("report_noise", f.report_noise, Bounds{0, 1});
}

template <typename V>
static void fields(V& v, ClientSpec& c) {
  v("clumps", c.clumps, Bounds{0, 0.95});
  v("clump", c.clump, Bounds{0.01, 100});
  v("clump_spread", c.clump_spread, Bounds{0, 100});
  v("retries", c.retries, Bounds{0, 100});
  v("heeds", c.heeds, Bounds{0, 1});
  v("own_wait", c.own_wait, Bounds{0.01, 100});
  v("again", c.again, Bounds{0.01, 100});
  v("impatient", c.impatient, Bounds{0, 1});
}

template <typename V>
static void fields(V& v, NetworkSpec& n) {
  v("between", n.between, Bounds{0, 10});
  v("within", n.within, Bounds{0, 10});
  v("jitter", n.jitter, Bounds{0, 1});
  v("loss", n.loss, Bounds{0, 1});
  v("resets", n.resets, Bounds{0, 1});
}

template <typename V>
static void fields(V& v, DiscoverySpec& d) {
  v("delay", d.delay, Bounds{0, 100});
  v("on_request", d.on_request);
  v("within", d.within, Bounds{0.1, 1000});
  v("answers_per_second", d.answers_per_second, Bounds{0, 1e6});
  v("watch_lasts", d.watch_lasts, Bounds{0.1, kDay});
  v("stale", d.stale, Bounds{0, 1});
}

template <typename V>
static void fields(V& v, FaultSpec& f) {
  v("kind", f.kind);
  v("at", f.at, Bounds{0, kDay});
  v("lasts", f.lasts, Bounds{0, kDay});
  v("part", f.part, Bounds{0, 1});
  v("size", f.size, Bounds{-1000, 1e6});
  v("kept", f.kept);
  v("one_way", f.one_way);
}

template <typename V>
static void fields(V& v, Scenario& s) {
  v("version", s.version);
  v("name", s.name);
  v("about", s.about);
  v("seconds", s.seconds, Bounds{1, kDay});
  v("fleet", s.fleet);
  v("clients", s.clients);
  v("network", s.network);
  v("discovery", s.discovery);
  v("class", s.classes);
  v("kind", s.kinds);
  v("fault", s.faults);
}

namespace {

class Writer {
 public:
  explicit Writer(toml::table& table) : table_(table) {}

  void operator()(const char* name, double& value, Bounds) { table_.insert(name, value); }
  void operator()(const char* name, Range& value, Bounds) {
    table_.insert(name, toml::array{value.low, value.high});
  }
  void operator()(const char* name, std::uint32_t& value, Bounds) {
    table_.insert(name, static_cast<std::int64_t>(value));
  }
  void operator()(const char* name, std::int64_t& value) { table_.insert(name, value); }
  void operator()(const char* name, bool& value) { table_.insert(name, value); }
  void operator()(const char* name, std::string& value) { table_.insert(name, value); }
  template <typename Enum>
  requires std::is_enum_v<Enum>
  void operator()(const char* name, Enum& value) {
    table_.insert(name, std::string(Names<Enum>::all[static_cast<std::size_t>(value)]));
  }
  template <typename Spec>
  requires std::is_class_v<Spec>
  void operator()(const char* name, Spec& spec) {
    toml::table inner;
    Writer writer(inner);
    fields(writer, spec);
    table_.insert(name, std::move(inner));
  }
  template <typename Spec>
  void operator()(const char* name, std::vector<Spec>& specs) {
    if (specs.empty()) return;
    toml::array all;
    for (Spec& spec : specs) {
      toml::table inner;
      Writer writer(inner);
      fields(writer, spec);
      all.push_back(std::move(inner));
    }
    table_.insert(name, std::move(all));
  }

 private:
  toml::table& table_;
};

// The classes and kinds of partner that the operators describe.
void fill_in(Scenario& s) {
  if (s.classes.empty()) {
    ClassSpec update;
    update.name = "status-update";
    update.share = 0.77;
    ClassSpec collection;
    collection.name = "collection";
    collection.share = 0.23;
    collection.aim = 2;
    collection.deadline = 16;
    collection.worth = 3;
    collection.late_worth = 0.5;
    collection.effect = Effect::at_most_once;
    s.classes = {update, collection};
  }
  if (s.kinds.empty()) {
    KindSpec processor;
    processor.name = "processor";
    processor.share = 0.17;
    processor.lean = 1;
    processor.limit = Limit::window;
    processor.headroom = {0.94, 2.3};
    processor.least_rate = {2.2, 4.9};
    processor.window = {2, 2};
    processor.tells_wait = {0.61, 0.92};
    processor.batch = 10;
    KindSpec merchant;
    merchant.name = "merchant";
    merchant.share = 0.33;
    merchant.lean = -0.5;
    merchant.limit = Limit::window;
    merchant.headroom = {1.1, 2.2};
    merchant.least_rate = {2.2, 4};
    merchant.tells_wait = {0.049, 0.51};
    KindSpec bank;
    bank.name = "bank";
    bank.share = 0.5;
    bank.lean = -0.5;
    bank.headroom = {1.1, 2};
    bank.least_rate = {1.7, 4.4};
    bank.tells_wait = {0.16, 0.56};
    s.kinds = {processor, merchant, bank};
  }
}

}  // namespace

std::string_view name_of(FaultKind kind) { return Names<FaultKind>::all[static_cast<std::size_t>(kind)]; }

void check(const Scenario& s) {
  const auto require = [&](bool holds, const std::string& what) {
    if (!holds) throw ScenarioError(s.name + ": " + what);
  };
  const auto sum = [](const auto& specs) {
    double all = 0;
    for (const auto& spec : specs) all += spec.share;
    return all;
  };
  require(std::abs(sum(s.classes) - 1) < 0.01, "the shares of the classes must add up to 1");
  require(std::abs(sum(s.kinds) - 1) < 0.01, "the shares of the kinds must add up to 1");
  for (const ClassSpec& c : s.classes) require(c.aim <= c.deadline, c.name + ": aim lies behind deadline");
  require(s.fleet.endpoints.low >= s.fleet.zones, "endpoints in no zone: fewer endpoints than zones");
  for (const FaultSpec& f : s.faults) {
    const std::string name(name_of(f.kind));
    require(f.at.low < s.seconds, name + ": begins after the day's end");
    require(f.size.low > 0 || f.kind == FaultKind::clock, name + ": size must lie over 0");
    const bool share = f.kind == FaultKind::hot || f.kind == FaultKind::lossy ||
                       f.kind == FaultKind::resets || f.kind == FaultKind::spoilt ||
                       f.kind == FaultKind::links || f.kind == FaultKind::link_loss ||
                       f.kind == FaultKind::link_twice || f.kind == FaultKind::link_garbage;
    require(!share || f.size.high <= 1, name + ": size is a share and can't lie over 1");
    require((f.kind != FaultKind::zone_cut && f.kind != FaultKind::zone_down) || s.fleet.zones > 1,
            name + ": there is one zone only");
  }
}

Scenario parse_scenario(std::string_view text, const std::string& path) {
  const toml::table table = parse_toml(text, path, kScenarioVersion);
  Scenario s;
  Reader reader(table, path);
  fields(reader, s);
  reader.refuse_unknown();
  if (s.name.empty()) throw ScenarioError(path + ":1:1: name is missing");
  fill_in(s);
  try {
    check(s);
  } catch (const ScenarioError& e) {
    throw ScenarioError(path + ": " + e.what());
  }
  return s;
}

Scenario read_scenario(const std::string& path) { return parse_scenario(read_toml_text(path), path); }

std::string to_toml(const Scenario& scenario) {
  Scenario copy = scenario;
  toml::table table;
  Writer writer(table);
  fields(writer, copy);
  std::ostringstream text;
  text << table << '\n';
  return text.str();
}

}  // namespace valedrum::lab
