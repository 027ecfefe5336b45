// What a day of the lab may be: a scenario leaves figures open as ranges, and a seed draws one day from it.
// Times are in seconds unless a name says otherwise.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "random.h"
#include "vetchhinge/policy.h"

namespace valedrum::lab {

inline constexpr std::int64_t kScenarioVersion = 1;  // what is newer is refused

using vetchhinge::Effect;
enum class Limit { none, rate, window };
enum class FaultKind {
  kill,         // part of the relays, at once; back after `lasts`; `kept`: with their folders
  restart,      // the same with SIGTERM first
  rolling,      // all relays are restarted, a tenth at a time, within `lasts`
  upgrade,      // part of the relays are replaced by new processes that take up what the old ones know
  outage,       // all endpoints of partners with `part` of the traffic refuse connections
  single,       // one endpoint of each such partner alone refuses them
  silent,       // their machines say nothing
  hung,         // they take calls and answer none
  slow,         // they answer `size` times slower
  failing,      // one endpoint of each answers 500, quicker than the others
  spoilt,       // `size` of their answers can't be read
  flapping,     // up and down, each for `size` seconds
  shut,         // they turn all calls away
  drain,        // one endpoint of each leaves the list: draining, then gone, then back as a new one
  lower_limit,  // to `size` of what it was
  zone_down,    // all endpoints of one zone vanish
  zone_cut,     // between one zone and the others; `one_way`: answers alone are lost
  lossy,        // `size` of all calls or their answers are lost in silence
  resets,       // `size` of all calls are reset under way
  discovery,    // no news of the list comes, or, where relays ask, no answer
  crowd,        // `size` times the load
  hot,          // a relay carries `size` of all traffic
  stall,        // part of the relays do nothing for a while, and go on
  clock,        // the wall clock of part of the relays steps by `size` seconds
  // Between relays, where they keep a view of the fleet (docs/fleet.md):
  split,          // `part` of them is cut off from the others, which fall in two parts too where `size` is 3;
                  // `one_way`: what the first part says alone is lost
  links,          // `size` of all pairs can't reach each other; `one_way`: in one direction
  link_loss,      // `size` of all datagrams are lost, and of all streams break
  link_slow,      // `size` seconds more each way
  link_twice,     // `size` of all datagrams come twice, the second time late
  link_throttle,  // each pair carries `size` bytes a second in each direction; what would wait over 2 s is
                  // lost
  link_garbage,   // `size` of all datagrams come spoilt: cut, flipped, of another version, or anything
  twin,           // a second process with the name of one relay starts on another machine
};

struct ClassSpec {
  std::string name;
  double share = 1;
  double aim = 1.5, deadline = 8;
  double worth = 1, late_worth = 0.1;
  Effect effect = Effect::idempotent;
  double window = 5;  // deduplicated: for so long a repeat has no effect
  Range work{0.16, 0.27};
  bool operator==(const ClassSpec&) const = default;
};

struct KindSpec {
  std::string name;
  double share = 1;  // of the partners
  double lean = 0;   // 1: mostly partners with much traffic
  Limit limit = Limit::rate;
  Range headroom{1.1, 2};      // limit, or capacity where there is none, over calls at full load
  Range least_rate{2, 4};      // calls a second
  Range spare{1.15, 1.6};      // capacity over the limit
  Range depth{0.3, 1};         // of the bucket, and of the queue
  Range window{1, 2};          // of a limit by window
  Range tells_wait{0.2, 0.6};  // share of refusals that tell one
  Range wait{0.27, 0.85};
  double refused_count = 0.5;  // share of partners where refused calls use up the limit
  std::uint32_t batch = 1;
  double item_cost = 0.15;        // work of each further message of a batch
  std::uint32_t connections = 0;  // that an endpoint holds, times the calls it serves at once; 0: any
  bool operator==(const KindSpec&) const = default;
};

struct FleetSpec {
  std::uint32_t relays = 30;
  std::uint32_t zones = 2;
  Range endpoints{28, 32};
  Range per_partner{1.6, 1.8};       // endpoints
  double messages_per_relay = 13.3;  // a second at full load
  Range load{0.69, 0.91};            // of full load
  double uneven = 1.0;               // spread of the relays' shares (sigma of a lognormal law)
  double zipf = 1.0;                 // of the partners' shares
  Range slots{1.6, 1.9};             // over what its part of full load keeps busy
  Range hold{8.5, 12};               // seconds of that load
  std::uint32_t least_slots = 3, least_hold = 16;
  std::uint32_t attempts = 6;
  double start_capacity = 0.19, overload_factor = 2, overload_for = 1.5, warm_after = 10;
  double falls_for = 5;  // down again after falling over
  double connection_idle = 5, connect_timeout = 1, max_wait_hint = 3, tick = 0.005;
  bool reports = true;  // answers tell x0 and x1
  Range report_every{0.13, 0.63};
  double report_noise = 0.05;
  bool operator==(const FleetSpec&) const = default;
};

struct ClientSpec {
  double clumps = 0.12;   // share of messages that come in clumps
  Range clump{1.1, 3.5};  // seconds of the partner's limit
  double clump_spread = 0.2;
  std::uint32_t retries = 2;  // after refusals
  double heeds = 0.7;         // share of hints that are heeded
  Range own_wait{0.3, 2};
  Range again{0.58, 2};  // until what a dead relay held comes to a live one
  double impatient = 0;  // share that goes away before the deadline
  bool operator==(const ClientSpec&) const = default;
};

struct NetworkSpec {
  Range between{0.068, 0.11};  // zones, one way
  Range within{0.0003, 0.001};
  double jitter = 0.1;  // share of the latency
  double loss = 0, resets = 0;
  bool operator==(const NetworkSpec&) const = default;
};

struct DiscoverySpec {
  Range delay{0.3, 4};            // of a change, to each relay
  bool on_request = false;        // relays ask for the list
  double within = 10;             // and have to, so often
  double answers_per_second = 0;  // more are asked in vain; 0: any number
  Range watch_lasts{30, 120};
  double stale = 0;  // share of endpoints that the first list lacks, or names though they are gone
  bool operator==(const DiscoverySpec&) const = default;
};

struct FaultSpec {
  FaultKind kind = FaultKind::outage;
  Range at{15, 20};
  Range lasts{5, 8};
  Range part{0.2, 0.3};
  Range size{1, 1};
  bool kept = true;
  bool one_way = false;
  bool operator==(const FaultSpec&) const = default;
};

struct Scenario {
  std::int64_t version = kScenarioVersion;
  std::string name, about;
  double seconds = 60;
  FleetSpec fleet;
  ClientSpec clients;
  NetworkSpec network;
  DiscoverySpec discovery;
  std::vector<ClassSpec> classes;  // those of BRIEF where none is given
  std::vector<KindSpec> kinds;     // likewise
  std::vector<FaultSpec> faults;
  bool operator==(const Scenario&) const = default;
};

// What can't be a scenario: `what()` is one line with file, line and column where they are known.
class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

Scenario read_scenario(const std::string& path);
Scenario parse_scenario(std::string_view text, const std::string& path);
std::string to_toml(const Scenario& scenario);
// What a file can't say alone, as ranges that are upside down or shares that add up to nothing.
void check(const Scenario& scenario);

std::string_view name_of(FaultKind kind);

}  // namespace valedrum::lab
