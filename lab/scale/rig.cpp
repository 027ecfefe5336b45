#include "rig.h"

#include <unistd.h>

#include <boost/json/serialize.hpp>
#include <filesystem>
#include <thread>

#include "distribution.h"
#include "drive.h"

namespace valedrum::lab::scale {

namespace json = boost::json;

namespace {

constexpr double kEndsAfter = 1;  // seconds behind the members' day: relays that leave are no fault of it
constexpr unsigned kCopies = 2;

void drive_relays(const Plan& plan, const Addresses& addresses, const std::string& program,
                  const std::string& folder, int in, int out) {
  Scenario scenario = parse_scenario("version = 1\nname = \"beside\"\n[fleet]\nendpoints = 12\n", "beside");
  scenario.fleet.relays = plan.spec.fleet.relays;
  scenario.seconds = plan.spec.seconds + kEndsAfter;
  DriveOptions options;
  options.program = program;
  options.folder = folder;
  options.fleet = true;
  options.copies = kCopies;
  options.probe_ms = plan.spec.fleet.probe_ms;
  for (std::uint32_t s = 0; s < std::min<std::size_t>(plan.spec.fleet.seeds, plan.members.size()); ++s)
    options.joins.push_back(to_text(addresses.of(s)));
  write_all(out, "ready\n");
  std::this_thread::sleep_until(
      std::chrono::steady_clock::time_point(std::chrono::nanoseconds(std::stoll(read_line(in)))));
  const DriveResult r = drive(lab::draw(scenario, plan.seed), options);
  const json::object said{{"rig",
                           {{"result", to_json(r.run)},
                            {"starts", r.starts},
                            {"crashes", r.crashes},
                            {"late_share", r.late_share}}}};
  write_all(out, json::serialize(said) + "\n");
}

}  // namespace

Rig::Rig(const Plan& plan, const Addresses& addresses, const std::string& program, const std::string& folder)
    : program_(std::filesystem::canonical(program).string()),
      process_([&](int in, int out) { drive_relays(plan, addresses, program, folder, in, out); }) {}

void Rig::sample() {
  std::map<pid_t, Use>& now = samples_.emplace_back();
  for (const pid_t pid : with_descendants(process_.pid())) {
    if (program_of(pid) == program_) now[pid] = {cpu_ticks(pid), resident_bytes(pid)};
  }
}

json::object Rig::figures(std::size_t phase, double lasts) const {
  Distribution cpu, resident;
  const double tick = 1.0 / static_cast<double>(::sysconf(_SC_CLK_TCK));
  const std::map<pid_t, Use>&before = samples_[phase], &after = samples_[phase + 1];
  for (const auto& [pid, use] : after) {
    const auto was = before.find(pid);
    const std::int64_t ticks = use.ticks - (was == before.end() ? 0 : was->second.ticks);
    cpu.add(static_cast<double>(ticks) * tick / lasts);
    resident.add(static_cast<double>(use.resident));
  }
  return {{"processes", cpu.size()}, {"cpu_share", cpu.figure()}, {"resident_bytes", resident.figure()}};
}

}  // namespace valedrum::lab::scale
