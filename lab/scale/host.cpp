#include "host.h"

#include <unistd.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <stdexcept>

#include "processes.h"

namespace valedrum::lab::scale {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr Duration kBackAfter = 500ms;  // of one that is restarted

constexpr Duration kEndsBefore = 2ms;

// By name: its state, seconds in it, and how many accuse it.
json::object judgements(const View& view) {
  json::object all;
  for (const View::Judgement& j : view.not_alive) {
    all[j.name] = {
        {"state", membership::name_of(j.state)}, {"for_s", seconds(j.since)}, {"accusers", j.accusers}};
  }
  return all;
}
}  // namespace

Host::Host(const Plan& plan, const Addresses& addresses, std::uint32_t from, std::uint32_t to)
    : plan_(plan),
      addresses_(addresses),
      from_(from),
      to_(to),
      links_(plan.day),
      landing_(context_),
      resident_(resident_bytes(::getpid())) {
  for (std::uint32_t m = 0; m < plan.members.size(); ++m) {
    membership::Record r;
    r.name = plan.members[m].name;
    r.machine = numbered('m', m);
    r.zone = numbered('z', plan.members[m].zone);
    r.instance = plan.instance(m, 1);
    r.stamp = {1, 1};
    r.address = addresses.of(m);
    r.state = membership::State::alive;
    if (plan.spec.fleet.published > 0) {
      r.stamp.revision = 2;  // to publish, and to join
      r.published_version = kPublishedFormat;
      r.published = std::string(plan.spec.fleet.published, 'p');
    }
    records_.push_back(encode(r));
  }
  for (std::uint32_t m = from; m < to; ++m) hollows_.push_back(std::make_shared<Hollow>(*this, m));
}

std::vector<membership::Address> Host::seeds(std::uint32_t of) const {
  std::vector<membership::Address> all;
  for (std::uint32_t s = 0; s < std::min<std::uint32_t>(plan_.spec.fleet.seeds, plan_.members.size()); ++s) {
    if (s != of) all.push_back(addresses_.of(s));
  }
  return all;
}

Duration Host::at() const {
  if (begun_ == std::chrono::steady_clock::time_point{}) return {};
  return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begun_);
}

void Host::later(Duration at, std::function<void()> what) {
  const auto timer = std::make_shared<asio::steady_timer>(context_, begun_ + at);
  timer->async_wait([timer, what = std::move(what)](boost::system::error_code error) {
    if (!error) what();
  });
}

void Host::run(int in, int out) {
  if (plan_.spec.fleet.start == Start::warm) {
    for (const auto& h : hollows_) h->warm();
  }
  write_all(out, "ready\n");
  begun_ = std::chrono::steady_clock::time_point(std::chrono::nanoseconds(std::stoll(read_line(in))));
  for (const auto& h : hollows_) {
    later(span(plan_.starts_at(from_ + static_cast<std::uint32_t>(&h - hollows_.data()))),
          [&h] { h->start(); });
  }
  for (const Fault& f : plan_.faults) play(f);
  // A phase is over before the fault that begins the next one.
  for (const Phase& p : plan_.phases) later(p.to - kEndsBefore, [this, &p, out] { end_phase(p, out); });
  later(0us, [this] { cpu_ns_ = process_cpu_ns(); });
  context_.run();
}

void Host::play(const Fault& f) {
  if (f.kind == FaultKind::region_cut) {
    for (const lab::Fault& cut : plan_.day.faults) {
      if (cut.at != Time(f.at)) continue;
      later(f.at, [this, &cut] { links_.begin(cut); });
      later(f.until, [this, &cut] { links_.end(cut); });
    }
    return;
  }
  for (std::size_t i = 0; i < f.targets.size(); ++i) {
    if (f.targets[i] < from_ || f.targets[i] >= to_) continue;
    const std::shared_ptr<Hollow> h = hollows_[f.targets[i] - from_];
    if (f.kind == FaultKind::restarts) {
      const Duration at = f.at + (f.until - f.at) / static_cast<int>(f.targets.size()) * static_cast<int>(i);
      later(at, [h] { h->leave(); });
      later(at + kBackAfter, [h] { h->start(); });
      continue;
    }
    later(f.at, [h] { h->kill(); });
    if (f.until > f.at) later(f.until, [h] { h->start(); });
  }
}

// ------------------------------------------------------------------------------------------ links

bool Host::hollow(const membership::Address& a) const {
  return a.ip > addresses_.base && a.ip - addresses_.base - 1 < plan_.members.size();
}

std::uint32_t Host::place(const membership::Address& a) const {
  return hollow(a) ? a.ip - addresses_.base - 1 : 0;
}

bool Host::cut(std::uint32_t from, const membership::Address& to) const {
  return links_.cut(from, place(to)) || links_.cut(place(to), from);
}

bool Host::cut_stream(std::uint32_t from, const membership::Address& to) {
  return cut(from, to) || links_.breaks_stream();
}

Duration Host::way(std::uint32_t from, const membership::Address& to) { return links_.way(from, place(to)); }

void Host::send(const std::shared_ptr<Hollow>& from, std::uint32_t number, membership::Datagram d) {
  const std::uint32_t to = place(d.to);
  const Duration now = at();
  const lab::Links::Fate fate = links_.of_datagram(number, to, d.bytes.size(), Time(now));
  if (fate.lost) return;
  flying_.push({now + links_.way(number, to) + fate.delay, ++order_, from, std::move(d)});
  arm_flying();
}

void Host::arm_flying() {
  if (flying_.empty() || flying_.top().at >= landing_at_) return;
  landing_at_ = flying_.top().at;
  landing_.expires_at(begun_ + landing_at_);
  landing_.async_wait([this](boost::system::error_code error) {
    if (!error) land();
  });
}

void Host::land() {
  landing_at_ = Duration::max();
  for (const Duration now = at(); !flying_.empty() && flying_.top().at <= now;) {
    Flying f = std::move(const_cast<Flying&>(flying_.top()));
    flying_.pop();
    if (const auto from = f.from.lock()) from->send_now(f.datagram.to, f.datagram.bytes);
  }
  arm_flying();
}

// ---------------------------------------------------------------------------------------- figures

void Host::end_phase(const Phase& phase, int out) {
  json::array members;
  membership::Counters counters;
  for (std::uint32_t m = from_; m < to_; ++m) {
    Hollow& h = *hollows_[m - from_];
    const Figures f = h.take_figures();
    add(counters, h.counters());
    json::array sent, bytes;
    for (std::size_t k = 0; k < kKinds; ++k) {
      sent.push_back(f.sent[k]);
      bytes.push_back(f.sent_bytes[k]);
    }
    json::object o{{"n", m},
                   {"name", plan_.members[m].name},
                   {"up", h.up()},
                   {"whole", f.whole && h.up()},
                   {"sent", std::move(sent)},
                   {"sent_bytes", std::move(bytes)},
                   {"received", f.received},
                   {"received_bytes", f.received_bytes},
                   {"to_relays_bytes", f.to_relays_bytes},
                   {"from_relays_bytes", f.from_relays_bytes},
                   {"cpu_ns", f.cpu_ns},
                   {"most_bytes", f.most_bytes}};
    if (f.list_bytes > 0) o["list_bytes"] = f.list_bytes;
    if (f.list_within) o["list_within"] = *f.list_within;
    if (!f.changes_us.empty()) o["changes_us"] = json::array(f.changes_us.begin(), f.changes_us.end());
    if (f.view_at) o["view_at"] = *f.view_at;
    if (h.up()) {
      const View v = h.view();
      o["live"] = v.live;
      o["suspects"] = v.suspects;
      o["digest"] = v.digest;
      o["settled"] = v.settled;
      o["doubt"] = v.doubt;
      o["not_alive"] = judgements(v);
    }
    members.push_back(std::move(o));
  }
  const std::int64_t cpu = process_cpu_ns();
  const json::object said{{"phase", phase.name},
                          {"cpu_ns", cpu - cpu_ns_},
                          {"resident", resident_bytes(::getpid()) - resident_},
                          {"counters",
                           {{"probes", counters.probes},
                            {"unanswered", counters.failed_probes},
                            {"suspicions", counters.suspicions},
                            {"refutations", counters.refutations},
                            {"deaths", counters.deaths},
                            {"exchanges", counters.exchanges},
                            {"failed_exchanges", counters.failed_exchanges},
                            {"stalls", counters.stalls}}},
                          {"members", std::move(members)}};
  write_all(out, json::serialize(said) + "\n");
  if (&phase == &plan_.phases.back()) context_.stop();
  cpu_ns_ = process_cpu_ns();  // what the report costs is nobody's
}

}  // namespace valedrum::lab::scale
