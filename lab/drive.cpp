#include "drive.h"

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "copy_holders.h"
#include "drive_parts.h"
#include "policy.h"

namespace valedrum::lab {

namespace fs = std::filesystem;
namespace json = boost::json;
using namespace std::chrono_literals;
using vetchhinge::HostState;

namespace {

constexpr std::size_t kMostRelays = 30;  // as many as a scenario has that names no number
constexpr double kMostRate = 2000;       // messages a second
constexpr double kMostSeconds = 600;     // of a day
constexpr Duration kClockLook = 10ms;
constexpr double kLate = 0.02;  // seconds
constexpr Duration kAfterEnd = 2s;

// On sockets a wait begins when its answer is written, and what is under way then is let through; a notice
// takes its way.
constexpr auto kWaitSlack = 100ms, kAnswerSlack = 250ms;

// An heir learns of a loss by the end of a lease, asks for votes, and takes up what it finds.
Checker::Slack slack(const Day& day, const DriveOptions& options) {
  Checker::Slack s{.wait = kWaitSlack, .answer = kAnswerSlack};
  s.copied = options.copies > 0;
  s.heirs = std::chrono::milliseconds(3 * options.lease_ms);
  if (options.trace_copies) {
    s.holders = [folder = options.folder, relays = day.relays.size()](std::uint32_t message) {
      return copy_holders(folder, relays, id_text(message));
    };
  }
  return s;
}

}  // namespace

asio::ip::address_v4 address(std::uint32_t number) {
  const auto pid = static_cast<std::uint32_t>(::getpid());
  const std::uint32_t high = 64 + pid / 64 % 128, low = pid % 64 * 4 + number / 250;
  return asio::ip::address_v4((127U << 24) | (high << 16) | (low << 8) | (1 + number % 250));
}

Drive::Drive(const Day& day, const DriveOptions& options)
    : day_(day),
      options_(options),
      begun_(std::chrono::steady_clock::now()),
      traffic_(day),
      clients_(day, "real relays"),
      network_(day.seed, 61),
      directory_(day.seed, 62),
      checker_(day, slack(day, options)),
      relays_(day.relays.size()),
      cuts_(day.scenario.fleet.zones, std::vector<int>(day.scenario.fleet.zones)),
      loss_(day.scenario.network.loss),
      resets_(day.scenario.network.resets) {
  const auto refuse = [&](bool can, const std::string& what) {
    if (!can) throw ScenarioError(day.scenario.name + ": " + what);
  };
  refuse(day.relays.size() >= 2 && day.relays.size() <= kMostRelays, "drive takes 2 to 30 relays");
  refuse(day.full_rate * day.load <= kMostRate, "drive takes 2000 messages a second at most");
  refuse(day.scenario.seconds <= kMostSeconds, "drive takes 600 seconds at most");
  refuse(day.endpoints.size() <= 200, "drive takes 200 endpoints at most");
  refuse(!day.scenario.discovery.on_request, "drive plays no list on request");
  for (const Fault& f : day.faults) {
    refuse(f.kind != FaultKind::clock, std::string(name_of(f.kind)) + ": needs the emulator");
    const bool between = f.kind == FaultKind::upgrade || f.kind >= FaultKind::split;
    refuse(options.fleet || (options.second_address && f.kind == FaultKind::upgrade) || !between,
           std::string(name_of(f.kind)) + ": needs --fleet");
  }
  refuse(::access(options.program.c_str(), X_OK) == 0, options.program + ": is no program");
  for (std::size_t p = 0; p < day.partners.size(); ++p) partners_.emplace_back(day, p, day.seed);
  for (std::uint32_t h = 0; h < day.endpoints.size(); ++h) {
    const PartnerSpec& p = day.partners[day.endpoints[h].partner];
    hosts_.push_back(std::make_unique<Standin>(
        Standin{Endpoint(day.scenario.fleet, p.capacity / static_cast<double>(p.endpoints.size()), p.workers,
                         p.depth),
                {address(50 + h), 0},
                nullptr,
                {}}));
    listen(h);
  }
  for (std::uint32_t r = 0; r < relays_.size(); ++r) {
    open_agent(r);
    relays_[r].address = {address(r), 7070};
    relays_[r].admin = {address(r), 7171};
    relays_[r].folder = options.folder + "/relay-" + std::to_string(r);
    relays_[r].told.assign(hosts_.size(), HostState::running);
    relays_[r].told_change.assign(hosts_.size(), 0);
  }
  if (options.fleet && options.joins.empty()) lay_wire();
}

Drive::~Drive() = default;

template <typename Awaitable>
void Drive::go(Awaitable work) {
  asio::co_spawn(context_, std::move(work), [this](std::exception_ptr error) {
    if (!error || !failure_.empty()) return;
    try {
      std::rethrow_exception(error);
    } catch (const std::exception& e) {
      failure_ = e.what();
      context_.stop();
    }
  });
}
template void Drive::go(asio::awaitable<void>);

Time Drive::now() const {
  return Time(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begun_));
}

void Drive::see(Observation o) {
  o.at = now();
  checker_.see(o);
  if (options_.watch) options_.watch(o);
}

asio::awaitable<void> Drive::sleep(Duration span) {
  asio::steady_timer timer(context_, span);
  co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> Drive::sleep_until(Time at) {
  if (at > now()) co_await sleep(at - now());
}

// --------------------------------------------------------------------------------------------- faults

asio::awaitable<void> Drive::play_faults() {
  for (const Fault& f : day_.faults) {
    co_await sleep_until(f.at);
    go(play(f));
  }
}

asio::awaitable<void> Drive::play(const Fault& f) {
  if (wire_ && Links::concerns(f.kind)) {
    wire_->links().begin(f);
    if (copies_wire_) copies_wire_->links().begin(f);
    go([](Drive* self, const Fault* over) -> asio::awaitable<void> {
      co_await self->sleep_until(over->at + over->lasts);
      self->wire_->links().end(*over);
      if (self->copies_wire_) self->copies_wire_->links().end(*over);
    }(this, &f));
  }
  const auto health = [&](Health h) {
    for (const std::uint32_t host : f.targets) set_health(host, h);
  };
  switch (f.kind) {
    case FaultKind::kill:
      for (const std::uint32_t r : f.targets) kill_relay(r, f.kept);
      co_await sleep(f.lasts);
      // One that would be back after the day's end is gone for good.
      for (const std::uint32_t r : f.targets) {
        if (!over_ && f.at + f.lasts < day_.end()) start_relay(r);
      }
      break;
    case FaultKind::upgrade:
      for (const std::uint32_t r : f.targets) go(upgrade_relay(r));
      break;
    case FaultKind::twin:
      co_await start_twin(f);
      break;
    case FaultKind::restart:
      for (const std::uint32_t r : f.targets) go(end_relay(r, f.lasts));
      break;
    case FaultKind::rolling:
      for (const std::uint32_t r : f.targets) {
        go(end_relay(r, {}));
        co_await sleep(f.lasts / static_cast<int>(f.targets.size()));
      }
      break;
    case FaultKind::stall: {
      std::map<std::uint32_t, const Child*> stopped;
      for (const std::uint32_t r : f.targets) {
        if (relays_[r].child) relays_[r].child->signal(SIGSTOP);
        stopped[r] = relays_[r].child.get();
        relays_[r].stalled = true;
        see({.what = What::stalled, .relay = r});
        relays_[r].view.reset();
      }
      co_await sleep(f.lasts);
      for (const std::uint32_t r : f.targets) {
        go_on(relays_[r], stopped[r]);
        relays_[r].stalled = false;
        see({.what = What::stalled, .relay = r, .kept = true});
        relays_[r].runs_from = now();
      }
      break;
    }
    case FaultKind::outage:
    case FaultKind::single:
    case FaultKind::silent:
    case FaultKind::hung:
      health(f.kind == FaultKind::silent ? Health::silent
             : f.kind == FaultKind::hung ? Health::hung
                                         : Health::refusing);
      co_await sleep(f.lasts);
      health(Health::up);
      break;
    case FaultKind::zone_down:
      for (int up = 0; up < 2; ++up) {
        for (std::uint32_t h = 0; h < hosts_.size(); ++h) {
          if (day_.endpoints[h].zone == f.targets.front())
            set_health(h, up != 0 ? Health::up : Health::silent);
        }
        if (up == 0) co_await sleep(f.lasts);
      }
      break;
    case FaultKind::flapping:
      while (now() < f.at + f.lasts && !over_) {
        health(Health::refusing);
        co_await sleep(span(f.size));
        health(Health::up);
        co_await sleep(span(f.size));
      }
      break;
    case FaultKind::slow:
    case FaultKind::failing:
    case FaultKind::spoilt:
      for (int off = 0; off < 2; ++off) {
        for (const std::uint32_t h : f.targets) {
          Endpoint& e = hosts_[h]->endpoint;
          if (f.kind == FaultKind::slow) e.slow = off != 0 ? 1 : f.size;
          if (f.kind == FaultKind::failing) e.failing = off == 0;
          if (f.kind == FaultKind::spoilt) e.spoilt = off != 0 ? 0 : f.size;
        }
        if (off == 0) co_await sleep(f.lasts);
      }
      break;
    case FaultKind::shut:
      for (const std::uint32_t p : f.targets) partners_[p].shut_until = f.at + f.lasts;
      break;
    case FaultKind::lower_limit:
      for (const std::uint32_t p : f.targets) partners_[p].lowered = f.size;
      co_await sleep(f.lasts);
      for (const std::uint32_t p : f.targets) partners_[p].lowered = 1;
      break;
    case FaultKind::drain:
      for (const std::uint32_t h : f.targets) list_changed(h, HostState::draining);
      co_await sleep(f.lasts / 2);
      for (const std::uint32_t h : f.targets) {
        list_changed(h, HostState::gone);
        set_health(h, Health::refusing);
      }
      co_await sleep(f.lasts / 2);
      for (const std::uint32_t h : f.targets) {
        set_health(h, Health::up);
        list_changed(h, HostState::running);
      }
      break;
    case FaultKind::zone_cut:
      for (int by = 1; by >= -1; by -= 2) {
        for (std::uint32_t z = 0; z < cuts_.size(); ++z) {
          if (z == f.targets.front()) continue;
          cuts_[f.targets.front()][z] += by;
          if (!f.one_way) cuts_[z][f.targets.front()] += by;
        }
        if (by == 1) co_await sleep(f.lasts);
      }
      break;
    case FaultKind::lossy:
    case FaultKind::resets: {
      double& share = f.kind == FaultKind::lossy ? loss_ : resets_;
      share += f.size;
      co_await sleep(f.lasts);
      share -= f.size;
      break;
    }
    case FaultKind::discovery:
      discovery_back_ = std::max(discovery_back_, f.at + f.lasts);
      break;
    default:
      break;  // crowd and hot are the traffic's; what can't be driven was refused
  }
}

// ------------------------------------------------------------------------------------------- the whole

// How late the stand-ins' own timers come: what this machine adds to all that is measured.
asio::awaitable<void> Drive::watch_clock() {
  for (Time due = now() + kClockLook; !over_; due = now() + kClockLook) {
    co_await sleep_until(due);
    const double late = seconds(now() - due);
    ++timers_;
    if (late > kLate) ++late_timers_;
    result_.late_most = std::max(result_.late_most, late);
  }
}

asio::awaitable<void> Drive::count_seconds() {
  for (Time due(1s); due <= day_.end(); due += 1s) {
    co_await sleep_until(due);
    for (const auto& [id, m] : messages_) clients_.second.held += m.taken && !m.over && !m.orphan ? 1 : 0;
    for (const auto& host : hosts_) {
      for (const auto& session : host->sessions)
        clients_.second.in_flight += session->messages.empty() ? 0 : 1;
    }
    clients_.second_over();
    if (options_.progress) options_.progress(seconds(now()) / day_.scenario.seconds);
    for (RelayProcess& r : relays_) {
      if (r.child && !r.to_end && r.child->ended()) {
        ++result_.crashes;
        r.to_end = true;
        r.up = false;
      }
    }
    if (stopping()) break;
  }
}

DriveResult Drive::run() {
  for (std::uint32_t r = 0; r < relays_.size(); ++r) start_relay(r);
  const auto all_up = [this] { return std::ranges::all_of(relays_, &RelayProcess::up); };
  while (!all_up() && failure_.empty() && !stopping()) context_.run_for(10ms);
  begun_ = std::chrono::steady_clock::now();
  double longest = 0;
  for (const ClassSpec& c : day_.scenario.classes) longest = std::max(longest, c.deadline);
  const Time last = day_.end() + span(longest) + kAfterEnd;
  go(send_messages());
  go(play_faults());
  if (options_.reload_every) go(reload_relays());
  if (options_.upgrades) {
    const double part = options_.upgrades->part * static_cast<double>(relays_.size());
    for (std::uint32_t r = 0; r < part; ++r) go(upgrade_series(r, *options_.upgrades));
  }
  if (options_.ban) go(play_ban(*options_.ban));
  if (options_.discovery_moves) go(move_discovery(*options_.discovery_moves));
  if (options_.crowd) {
    for (std::uint32_t r = 0; r < relays_.size(); ++r) crowd_around(r);
  }
  go(watch_clock());
  go(count_seconds());
  if (wire_) go(watch_fleet());
  const auto pending = [this] {
    return std::ranges::any_of(
        messages_, [](const auto& m) { return m.second.taken && !m.second.over && !m.second.orphan; });
  };
  const auto fleet_left = [this] { return wire_ && !fleet_over_; };
  while (failure_.empty() && !stopping() &&
         (fleet_left() || (now() < last && (now() < day_.end() + 500ms || pending())))) {
    context_.run_for(50ms);
  }
  over_ = true;
  if (failure_.empty() && !stopping()) checker_.finish(last);
  for (RelayProcess& r : relays_) {
    r.child.reset();
    r.earlier.clear();
  }
  twin_.reset();
  if (!failure_.empty()) throw std::runtime_error(failure_);
  counts_.stopped = stopping();
  result_.late_share = timers_ > 0 ? static_cast<double>(late_timers_) / static_cast<double>(timers_) : 0;
  result_.run = clients_.close(checker_);
  return std::move(result_);
}

DriveResult drive(const Day& day, const DriveOptions& options) { return Drive(day, options).run(); }

}  // namespace valedrum::lab
