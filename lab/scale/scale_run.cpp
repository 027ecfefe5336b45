#include "scale_run.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "discovery_standin.h"
#include "figures_of.h"
#include "host.h"
#include "processes.h"
#include "rig.h"

namespace valedrum::lab::scale {

namespace json = boost::json;
using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr std::uint32_t kMembersAProcess = 250;
constexpr std::size_t kMostProcesses = 300;
constexpr double kMostMemory = 0.5;  // of the machine's
constexpr auto kLook = 100ms;
constexpr auto kReadyWithin = 180s;  // a warm start is made before the day
constexpr auto kBeginsAfter = 300ms;
constexpr auto kOverWithin = 30s;  // after the day's end

// Addresses of the loopback that no other run has: the first one is held while this one lasts.
class Place {
 public:
  Place() : held_(context_) {
    for (std::uint32_t n = 0; n < 256; ++n) {
      const std::uint32_t run = (static_cast<std::uint32_t>(::getpid()) + n) % 256;
      at_.base = (127U << 24) + (192U << 16) + run * kRoom;
      boost::system::error_code error;
      held_.open(asio::ip::udp::v4(), error);
      held_.bind({asio::ip::address_v4(at_.base + kRoom - 2), kPort}, error);
      if (!error) return;
      held_.close(error);
    }
    throw std::runtime_error("no addresses of the loopback are free");
  }
  const Addresses& at() const { return at_; }

 private:
  asio::io_context context_;
  asio::ip::udp::socket held_;
  Addresses at_;
};

class Run {
 public:
  Run(const Plan& plan, const RunOptions& options) : plan_(plan), options_(options) {
    const auto members = static_cast<std::uint32_t>(plan.members.size());
    std::uint32_t processes = plan.spec.fleet.processes;
    if (processes == 0) processes = (members + kMembersAProcess - 1) / kMembersAProcess;
    processes = std::min(processes, members);
    for (std::uint32_t p = 0; p < processes; ++p) {
      const std::uint32_t from = members * p / processes, to = members * (p + 1) / processes;
      hosts_.push_back(std::make_unique<Process>(
          [this, from, to](int in, int out) { Host(plan_, place_.at(), from, to).run(in, out); }));
    }
    for (std::uint32_t c = 0; c < standins(plan); ++c) {
      standins_.push_back(std::make_unique<Process>(
          [this, c](int in, int out) { DiscoveryStandin(plan_, place_.at().discovery(c)).run(in, out); }));
    }
    if (plan.spec.fleet.relays > 0) {
      rig_ = std::make_unique<Rig>(plan, place_.at(), options.program, options.folder);
    }
    for (const auto& h : hosts_) all_.push_back(h.get());
    for (const auto& c : standins_) all_.push_back(c.get());
    said_.resize(all_.size());
    if (rig_) all_.push_back(&rig_->process());
  }

  json::object play() {
    const auto ready = SteadyClock::now() + kReadyWithin;
    if (!await(
            ready, [&] { return ready_ == all_.size(); }, "the start of its processes"))
      return document(true);
    begun_ = SteadyClock::now() + kBeginsAfter;
    for (const Process* h : all_)
      h->tell(std::to_string(std::chrono::nanoseconds(begun_.time_since_epoch()).count()) + "\n");
    const auto ends = begun_ + std::chrono::microseconds(plan_.phases.back().to) + kOverWithin;
    const bool whole = await(
        ends,
        [&] {
          if (rig_ && rig_said_.empty()) return false;
          return std::ranges::all_of(said_, [&](const auto& s) { return s.size() == plan_.phases.size(); });
        },
        "what its processes measured");
    return document(!whole);
  }

 private:
  // False where the run is stopped. Throws where it can't go on.
  bool await(SteadyClock::time_point until, const std::function<bool()>& done, const char* what) {
    while (!done()) {
      if (options_.stop && options_.stop->load()) return false;
      if (SteadyClock::now() > until) throw std::runtime_error(std::string("waited in vain for ") + what);
      std::vector<pollfd> all;
      for (const Process* h : all_) all.push_back({h->ended() ? -1 : h->out(), POLLIN, 0});
      ::poll(all.data(), all.size(), static_cast<int>(std::chrono::milliseconds(kLook).count()));
      hear();
      sample();
      guard();
      const double at = std::chrono::duration<double>(SteadyClock::now() - begun_).count();
      if (options_.progress && begun_ != SteadyClock::time_point{})
        options_.progress(std::min(1.0, std::max(0.0, at) / plan_.spec.seconds));
    }
    return true;
  }

  void hear() {
    for (std::size_t p = 0; p < all_.size(); ++p) {
      for (const std::string& line : all_[p]->lines()) {
        if (line.starts_with("error ")) throw std::runtime_error(line.substr(6));
        if (line == "ready") {
          ++ready_;
        } else if (p == said_.size()) {
          rig_said_ = json::parse(line).as_object().at("rig").as_object();
        } else {
          said_[p].push_back(json::parse(line).as_object());
        }
      }
      const bool over = p == said_.size() ? !rig_said_.empty() : said_[p].size() == plan_.phases.size();
      if (all_[p]->ended() && !over)
        throw std::runtime_error("a process of the run has ended before its time");
    }
  }

  void sample() {
    if (!rig_ || begun_ == SteadyClock::time_point{} || rig_->samples() > plan_.phases.size()) return;
    const std::size_t next = rig_->samples();
    const Duration due = next == 0 ? Duration{} : plan_.phases[next - 1].to;
    if (SteadyClock::now() >= begun_ + due) rig_->sample();
  }

  // The machine is others' too.
  void guard() {
    const auto now = SteadyClock::now();
    if (now < guard_at_) return;
    guard_at_ = now + kLook * 2;
    const std::vector<pid_t> all = with_descendants(::getpid());
    most_processes_ = std::max(most_processes_, all.size());
    std::uint64_t memory = 0;
    for (const pid_t pid : all) memory += resident_bytes(pid);
    most_memory_ = std::max(most_memory_, memory);
    if (all.size() > kMostProcesses)
      throw std::runtime_error("ended: over " + std::to_string(kMostProcesses) + " processes");
    if (static_cast<double>(memory) > kMostMemory * static_cast<double>(machine_bytes()))
      throw std::runtime_error("ended: over half of the machine's memory");
  }

  json::object document(bool stopped) {
    const DaySpec& d = plan_.spec;
    json::array phases, faults;
    for (std::size_t i = 0; i < plan_.phases.size(); ++i) {
      std::vector<json::object> said;
      for (const auto& s : said_) {
        if (s.size() > i) said.push_back(s[i]);
      }
      if (said.size() < said_.size()) continue;
      const std::vector<json::object> of_discovery(said.begin() + static_cast<std::ptrdiff_t>(hosts_.size()),
                                                   said.end());
      said.resize(hosts_.size());
      json::object figures = figures_of(plan_.phases[i], said, plan_.spec.fleet.relays);
      if (rig_ && rig_->samples() > i + 1)
        figures["real"].as_object().emplace(
            "use", rig_->figures(i, seconds(plan_.phases[i].to - plan_.phases[i].from)));
      if (!of_discovery.empty()) figures["discovery"] = figures_of_discovery(plan_.phases[i], of_discovery);
      phases.push_back(std::move(figures));
    }
    for (const Fault& f : plan_.faults) {
      json::array targets;
      for (const std::uint32_t t : f.targets) targets.emplace_back(plan_.members[t].name);
      faults.push_back({{"kind", name_of(f.kind)},
                        {"at", seconds(f.at)},
                        {"until", seconds(f.until)},
                        {"targets", std::move(targets)}});
    }
    json::object all{
        {"schema", 1},
        {"day", d.name},
        {"about", d.about},
        {"seed", plan_.seed},
        {"members", plan_.members.size()},
        {"relays", d.fleet.relays},
        {"regions", d.fleet.regions},
        {"zones", d.fleet.zones},
        {"start", d.fleet.start == Start::warm ? "warm" : "mass"},
        {"published_bytes", d.fleet.published},
        {"probe_ms", d.fleet.probe_ms},
        {"reconnect_s", d.fleet.reconnect},
        {"tombstone_s", d.fleet.tombstone},
        {"times_faster", d.speed},
        {"loss", d.links.loss},
        {"machine", {{"cores", std::thread::hardware_concurrency()}, {"memory", machine_bytes()}}},
        {"processes", most_processes_},
        {"most_memory", most_memory_},
        {"stopped", stopped},
        {"phases", std::move(phases)},
        {"faults", std::move(faults)}};
    if (rig_) all["rig"] = rig_said_;
    return all;
  }

  const Plan& plan_;
  const RunOptions& options_;
  Place place_;
  std::vector<std::unique_ptr<Process>> hosts_, standins_;
  std::vector<Process*> all_;
  std::vector<std::vector<json::object>> said_;  // by each, in the phases' order
  std::unique_ptr<Rig> rig_;
  json::object rig_said_;
  std::size_t ready_ = 0;
  SteadyClock::time_point begun_{}, guard_at_{};
  std::size_t most_processes_ = 0;
  std::uint64_t most_memory_ = 0;
};

}  // namespace

json::object play(const Plan& plan, const RunOptions& options) { return Run(plan, options).play(); }

bool one_view(const json::object& document) {
  return std::ranges::all_of(document.at("phases").as_array(), [](const json::value& p) {
    // While regions are cut from each other there is none to have.
    return p.at("one_view").as_bool() || p.at("name").as_string() == name_of(FaultKind::region_cut);
  });
}

std::string summary(const json::object& document) {
  std::ostringstream text;
  const auto n = [](const json::value& v) { return v.to_number<double>(); };
  text << document.at("day").as_string().c_str() << ", seed " << document.at("seed") << ": "
       << document.at("members") << " hollow members, " << document.at("relays") << " relays\n";
  char line[240];
  std::snprintf(line, sizeof line, "  %-18s %7s %9s %22s %20s %20s %14s\n", "phase", "members", "one view",
                "view s: med / 99% / last", "bytes/s med / worst", "cpu % med / worst", "KB a member");
  text << line;
  for (const json::value& value : document.at("phases").as_array()) {
    const json::object& p = value.as_object();
    const json::object& view = p.at("view_within_s").as_object();
    std::snprintf(
        line, sizeof line, "  %-18s %7.0f %9s %8.2f %6.2f %8.2f %10.0f %9.0f %11.3f %8.3f %14.0f\n",
        p.at("name").as_string().c_str(), n(p.at("members")), p.at("one_view").as_bool() ? "yes" : "no",
        n(view.at("median")), n(view.at("p99")), n(view.at("last")), n(p.at("sent_bytes_per_s").at("median")),
        n(p.at("sent_bytes_per_s").at("worst")), 100 * n(p.at("cpu_share").at("median")),
        100 * n(p.at("cpu_share").at("worst")), n(p.at("resident_bytes_per_member").at("median")) / 1024);
    text << line;
  }
  const json::array& phases = document.at("phases").as_array();
  // A member that is woken late thinks that it stood still, and does so more slowly.
  const double stalls = phases.empty() ? 0 : n(phases.back().at("counters_until_then").at("stalls"));
  if (stalls > 0) {
    std::snprintf(line, sizeof line, "  members woken late %.0f times: the figures are the machine's too\n",
                  stalls);
    text << line;
  }
  return text.str();
}

}  // namespace valedrum::lab::scale
