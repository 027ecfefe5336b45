#include "scale_day.h"

#include <array>
#include <numeric>
#include <sstream>

#include "fleet_world.h"
#include "toml_reader.h"

namespace valedrum::lab {

template <>
struct Names<scale::Start> {
  static constexpr std::array<std::string_view, 2> all = {"mass", "warm"};
};
template <>
struct Names<scale::FaultKind> {
  static constexpr std::array<std::string_view, 5> all = {"machines", "rack", "zone", "region_cut",
                                                          "restarts"};
};

}  // namespace valedrum::lab

namespace valedrum::lab::scale {

namespace {

constexpr double kMostSeconds = 600;
constexpr std::uint32_t kMostRelays = 30;  // that drive() starts

membership::Settings settings_of(const DaySpec& d) {
  membership::Settings s = fleet_settings(d.fleet.probe_ms);
  s.max_reconnect_interval = span(d.fleet.reconnect);
  s.tombstone_retention = span(d.fleet.tombstone);
  return s;
}

}  // namespace

static void fields(Reader& v, FleetSpec& f) {
  v("members", f.members, Bounds{2, kMostMembers});
  v("relays", f.relays, Bounds{0, kMostRelays});
  v("regions", f.regions, Bounds{1, 16});
  v("zones", f.zones, Bounds{1, 64});
  v("rack", f.rack, Bounds{1, 1000});
  v("seeds", f.seeds, Bounds{1, 100});
  v("processes", f.processes, Bounds{0, 64});
  v("start", f.start);
  v("start_within", f.start_within, Bounds{0, 60});
  v("published", f.published, Bounds{0, membership::kMaxPublishedBytes});
  v("probe_ms", f.probe_ms, Bounds{50, 60000});
  v("reconnect", f.reconnect, Bounds{0.05, 3600});
  v("tombstone", f.tombstone, Bounds{3, 86400});
}

static void fields(Reader& v, LinkSpec& l) {
  v("in_zone", l.in_zone, Bounds{0, 1});
  v("in_region", l.in_region, Bounds{0, 1});
  v("between_regions", l.between_regions, Bounds{0, 1});
  v("jitter", l.jitter, Bounds{0, 1});
  v("loss", l.loss, Bounds{0, 0.95});
}

static void fields(Reader& v, ChangeSpec& c) {
  v("per_day", c.per_day, Bounds{0, 1e8});
  v("speed", c.speed, Bounds{1, 1e4});
  v("burst", c.burst, Bounds{1, 1000});
  v("bytes", c.bytes, Bounds{64, 60000});
}

static void fields(Reader& v, ListSpec& l) { v("entries", l.entries, Bounds{0, 2e6}); }

static void fields(Reader& v, FaultSpec& f) {
  v("kind", f.kind);
  v("at", f.at, Bounds{0, kMostSeconds});
  v("lasts", f.lasts, Bounds{0, kMostSeconds});
  v("count", f.count, Bounds{1, kMostMembers});
}

static void fields(Reader& v, DaySpec& d) {
  v("version", d.version);
  v("name", d.name);
  v("about", d.about);
  v("seconds", d.seconds, Bounds{1, kMostSeconds});
  v("settle", d.settle, Bounds{0, kMostSeconds});
  v("speed", d.speed, Bounds{1, 1e4});
  v("fleet", d.fleet);
  v("links", d.links);
  v("changes", d.changes);
  v("list", d.list);
  v("fault", d.faults);
}

std::string_view name_of(FaultKind kind) { return Names<FaultKind>::all[static_cast<std::size_t>(kind)]; }

DaySpec parse_day(std::string_view text, const std::string& path, std::uint32_t members) {
  const toml::table table = parse_toml(text, path, kDayVersion);
  DaySpec d;
  Reader reader(table, path);
  fields(reader, d);
  reader.refuse_unknown();
  if (members > 0) d.fleet.members = members;
  if (d.name.empty()) throw ScenarioError(path + ":1:1: name is missing");
  // What a field can't say alone is named where the table that is at fault begins.
  const auto require = [&](bool holds, const toml::node* where, const std::string& what) {
    if (!holds) Reader::fail(path, where ? where->source().begin : table.source().begin, what);
  };
  const toml::node* fleet = table.get("fleet");
  require(d.settle < d.seconds, table.get("settle"), "settle lies behind the day's end");
  require(d.fleet.zones >= d.fleet.regions, fleet, "a region has no zone: fewer zones than regions");
  require(d.fleet.zones <= d.fleet.members, fleet, "a zone has no member: fewer members than zones");
  const toml::node* faults = table.get("fault");
  for (std::size_t i = 0; i < d.faults.size(); ++i) {
    const FaultSpec& f = d.faults[i];
    const toml::node* where = faults->as_array()->get(i);
    const std::string name(name_of(f.kind));
    require(f.at >= d.settle, where, name + ": begins before the start has settled");
    require(f.at + f.lasts < d.seconds, where, name + ": ends after the day's end");
    require(f.kind != FaultKind::region_cut || d.fleet.regions > 1, where,
            name + ": there is one region only");
    require((f.kind != FaultKind::region_cut && f.kind != FaultKind::restarts) || f.lasts > 0, where,
            name + ": lasts is missing");
    require(f.count < d.fleet.members, where, name + ": all members and more");
    require(i == 0 || f.at >= d.faults[i - 1].at + d.faults[i - 1].lasts, where,
            name + ": begins before the fault ahead of it is over");
  }
  try {
    membership::check(settings_of(d));
  } catch (const std::invalid_argument& e) {
    require(false, fleet, e.what());
  }
  return d;
}

DaySpec read_day(const std::string& path, std::uint32_t members) {
  return parse_day(read_toml_text(path), path, members);
}

namespace {

void place(Plan& plan) {
  const FleetSpec& f = plan.spec.fleet;
  // Zones are filled one after another, and in each its racks, so that a rack lies within a zone.
  std::uint32_t racks = 0;
  for (std::uint32_t z = 0; z < f.zones; ++z) {
    const std::uint32_t from = f.members * z / f.zones, to = f.members * (z + 1) / f.zones;
    for (std::uint32_t m = from; m < to; ++m) {
      plan.members.push_back({numbered('h', m), z * f.regions / f.zones, z, racks + (m - from) / f.rack});
    }
    racks = plan.members.back().rack + 1;
  }
}

void draw_faults(Plan& plan) {
  Random random(plan.seed, 81);
  const auto pick = [&](auto of) {  // all members that have the same as one drawn
    const auto wanted = of(plan.members[random.below(static_cast<std::uint32_t>(plan.members.size()))]);
    std::vector<std::uint32_t> all;
    for (std::uint32_t m = 0; m < plan.members.size(); ++m) {
      if (of(plan.members[m]) == wanted) all.push_back(m);
    }
    return all;
  };
  for (const FaultSpec& spec : plan.spec.faults) {
    Fault f{spec.kind, span(spec.at), span(spec.at + spec.lasts), {}};
    switch (spec.kind) {
      case FaultKind::rack:
        f.targets = pick([](const Member& m) { return m.rack; });
        break;
      case FaultKind::zone:
        f.targets = pick([](const Member& m) { return m.zone; });
        break;
      case FaultKind::region_cut:
        f.targets = pick([](const Member& m) { return m.region; });
        break;
      default:
        f.targets.resize(plan.members.size());
        std::iota(f.targets.begin(), f.targets.end(), 0);
        for (std::size_t i = 0; i < spec.count; ++i)
          std::swap(f.targets[i],
                    f.targets[i + random.below(static_cast<std::uint32_t>(f.targets.size() - i))]);
        f.targets.resize(spec.count);
    }
    plan.faults.push_back(std::move(f));
  }
}

void part(Plan& plan) {
  Duration from{};
  std::string name = "start";
  const auto begin = [&](Duration at, const std::string& next) {
    if (at > from) plan.phases.push_back({name, from, at});
    from = at;
    name = next;
  };
  begin(span(plan.spec.settle), "rest");
  for (const Fault& f : plan.faults) {
    const std::string kind(name_of(f.kind));
    begin(f.at, kind);
    if (f.until > f.at) begin(f.until, "after " + kind);
  }
  begin(span(plan.spec.seconds), {});
}

// From the end of the start until two seconds before the day's, so that the last one has time to arrive.
void draw_changes(Plan& plan) {
  const ChangeSpec& c = plan.spec.changes;
  if (c.per_day <= 0) return;
  const double every = 86400 / c.per_day / c.speed * c.burst;
  for (double at = plan.spec.settle + every / 2; at < plan.spec.seconds - 2; at += every)
    plan.changes.insert(plan.changes.end(), c.burst, span(at));
}

// The day as lab/links knows it: members are its relays, a region's cut is a split.
void fill_links(Plan& plan) {
  const LinkSpec& l = plan.spec.links;
  const FleetSpec& f = plan.spec.fleet;
  Day& day = plan.day;
  day.seed = plan.seed;
  day.scenario.seconds = plan.spec.seconds;
  day.scenario.network.loss = l.loss;
  day.scenario.network.jitter = l.jitter;
  day.relays.resize(plan.members.size());
  for (std::size_t m = 0; m < plan.members.size(); ++m) day.relays[m].zone = plan.members[m].zone;
  day.latency.assign(f.zones, std::vector<double>(f.zones));
  for (std::uint32_t a = 0; a < f.zones; ++a) {
    for (std::uint32_t b = 0; b < f.zones; ++b) {
      day.latency[a][b] = a == b                                               ? l.in_zone
                          : a * f.regions / f.zones == b * f.regions / f.zones ? l.in_region
                                                                               : l.between_regions;
    }
  }
  for (const Fault& fault : plan.faults) {
    if (fault.kind != FaultKind::region_cut) continue;
    lab::Fault cut;
    cut.kind = lab::FaultKind::split;
    cut.at = Time(fault.at);
    cut.lasts = fault.until - fault.at;
    cut.targets = fault.targets;
    cut.size = 2;
    day.faults.push_back(std::move(cut));
  }
}

}  // namespace

Plan draw(const DaySpec& spec, std::uint64_t seed) {
  Plan plan;
  plan.spec = spec;
  plan.seed = seed;
  place(plan);
  draw_faults(plan);
  part(plan);
  draw_changes(plan);
  fill_links(plan);
  return plan;
}

membership::Settings Plan::settings() const { return settings_of(spec); }

double Plan::starts_at(std::uint32_t member) const {
  if (spec.fleet.start == Start::warm) return 0;
  return Random(mixed(seed, 82), member).unit() * spec.fleet.start_within;
}

std::uint64_t Plan::instance(std::uint32_t member, unsigned start) const {
  return mixed(mixed(seed, 90 + member), start);
}

std::string to_text(const Plan& plan) {
  std::ostringstream text;
  for (std::uint32_t m = 0; m < plan.members.size(); ++m) {
    const Member& member = plan.members[m];
    text << "member " << member.name << " region r" << member.region << " zone z" << member.zone << " rack k"
         << member.rack << " starts " << plan.starts_at(m) << '\n';
  }
  for (const Fault& f : plan.faults) {
    text << "fault " << name_of(f.kind) << " from " << seconds(f.at) << " to " << seconds(f.until) << " on";
    for (const std::uint32_t t : f.targets) text << ' ' << plan.members[t].name;
    text << '\n';
  }
  return text.str();
}

}  // namespace valedrum::lab::scale
