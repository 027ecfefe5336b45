// A day of the scale run: how many members there are and where they stand, what lies between them, and what
// goes wrong when. Times are in seconds unless a name says otherwise.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "day.h"
#include "membership/types.h"

namespace valedrum::lab::scale {

inline constexpr std::int64_t kDayVersion = 1;
inline constexpr std::uint32_t kMostMembers = 4096;  // of a view: membership/wire.h takes no more

enum class Start {
  mass,  // all members start at once and find each other
  warm   // each is led through its start alone before the day, so that none of its traffic is left
};

enum class FaultKind {
  machines,    // `count` members, each on a machine of its own, are killed
  rack,        // all of one rack
  zone,        // all of one zone
  region_cut,  // nothing gets from one region to another
  restarts     // `count` members, spread over `lasts`: each leaves, and starts anew
};

struct FleetSpec {
  std::uint32_t members = 250;  // hollow ones
  std::uint32_t relays = 0;     // real ones beside them, in zone 0
  std::uint32_t regions = 2;
  std::uint32_t zones = 6;      // of all regions together
  std::uint32_t rack = 40;      // machines, one member on each
  std::uint32_t seeds = 3;      // members that all know at the start
  std::uint32_t processes = 0;  // that carry the hollow ones; 0: one for each 250
  Start start = Start::mass;
  double start_within = 1;  // of a mass start
  std::uint32_t published =
      0;  // bytes that each publishes in its record, for the parts that build on the view
  std::uint32_t probe_ms = 1000;
  double reconnect = 30, tombstone = 600;
};

struct LinkSpec {  // one way
  double in_zone = 0.0005, in_region = 0.001, between_regions = 0.03;
  double jitter = 0.1;  // share of the latency
  double loss = 0;      // share of datagrams
};

// Changes of configuration that a stand-in for discovery feeds to each member over a stream of its own.
struct ChangeSpec {
  double per_day = 0;         // 0: none
  double speed = 1;           // so many times faster
  std::uint32_t burst = 1;    // changes at one moment
  std::uint32_t bytes = 400;  // of one
};

struct ListSpec {
  std::uint32_t entries = 0;  // of the whole list that each member is given at the start; 0: none
};

struct FaultSpec {
  FaultKind kind = FaultKind::machines;
  double at = 0, lasts = 0;  // those killed are back after `lasts`; 0: never
  std::uint32_t count = 1;
};

struct DaySpec {
  std::int64_t version = kDayVersion;
  std::string name, about;
  double seconds = 30;
  double settle = 5;  // the start: its figures stand apart
  double speed = 1;   // how many times faster than the day that it stands for; told, not applied
  FleetSpec fleet;
  LinkSpec links;
  ChangeSpec changes;
  ListSpec list;
  std::vector<FaultSpec> faults;
};

// A letter and a number.
inline std::string numbered(char letter, std::uint32_t number) {
  std::string text(1, letter);
  return text += std::to_string(number);
}

struct Member {
  std::string name;
  std::uint32_t region = 0, zone = 0, rack = 0;  // numbered through the whole fleet
};

struct Fault {
  FaultKind kind = FaultKind::machines;
  Duration at{}, until{};  // until == at: for good
  std::vector<std::uint32_t> targets;
};

struct Phase {  // a part of the day whose figures stand by themselves
  std::string name;
  Duration from{}, to{};
};

struct Plan {
  DaySpec spec;
  std::uint64_t seed = 1;
  std::vector<Member> members;
  std::vector<Fault> faults;
  std::vector<Phase> phases;
  std::vector<Duration> changes;  // of the configuration: when each is made
  Day day;                        // the same as lab/links takes it

  membership::Settings settings() const;
  // Seconds of the day at which it starts: always the same for one seed.
  double starts_at(std::uint32_t member) const;
  std::uint64_t instance(std::uint32_t member, unsigned start) const;
};

// Throw ScenarioError.
// `members` instead of what the file says, where it is over 0.
DaySpec read_day(const std::string& path, std::uint32_t members = 0);
DaySpec parse_day(std::string_view text, const std::string& path, std::uint32_t members = 0);
Plan draw(const DaySpec& spec, std::uint64_t seed);

// One line for each member and fault, for people and for comparing.
std::string to_text(const Plan& plan);
std::string_view name_of(FaultKind kind);

}  // namespace valedrum::lab::scale
