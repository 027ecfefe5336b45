// Plays a day on real sockets of the loopback, in real time, against real relays: the same partners, clients
// and directory as the emulator has, as stand-ins that speak the protocol.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "day.h"
#include "result.h"

namespace valedrum::lab {

// A chain of upgrades of part of the relays. Times in seconds since the day's start.
struct UpgradeSeries {
  double at = 0;
  unsigned length = 1;     // new processes, one after the other
  double gap = 0;          // from the SIGTERM to one process until the next is started
  double stall = 0;        // each old process is stopped for so long once it has given over
  bool kill_last = false;  // the last new process is killed, and another started in its place
  double part = 1;         // of the relays
};

// An endpoint that operators take out by hand on all relays, and put back.
struct EndpointBan {
  std::uint32_t host = 0;  // any number
  double from = 0, until = 0;
};

// Clients that connect to each relay and say nothing, or stop within a request, and stay.
struct CrowdSpan {
  unsigned connections = 0;  // to each relay
  double from = 0, until = 0;
};

struct DriveOptions {
  std::string program;  // the relay
  std::string folder;   // for what relays keep and log; made, and left where it was named
  const std::atomic<bool>* stop = nullptr;
  bool fleet = false;   // the relays keep a view of the fleet, over a wire with the day's faults
  std::string without;  // a part of it that is broken on purpose; for a program that was built to know
  // Members of a fleet that others keep: the relays join it, reached at their own addresses, and no wire lies
  // between. What they see of it is not judged.
  std::vector<std::string> joins{};
  unsigned copies = 0;         // of what each relay holds, by others; needs `fleet`
  bool trace_copies = false;   // the relays write traces, and a lost message is judged by who held it
  bool accept_short = false;   // what too few others hold is taken on nevertheless
  unsigned lease_ms = 1000;    // of who acts on what was copied
  std::string copies_without;  // a part of that exchange that is broken on purpose; likewise
  unsigned probe_ms = 1000;    // of that view; all its other times follow
  std::map<std::string, std::string> environment{};  // of the relays, besides what names their configuration
  std::optional<double> reload_every;                // seconds between two SIGHUPs, each to one relay
  bool second_address = false;                       // also without a fleet
  bool signals_twice = false;                        // a restart's SIGTERM comes twice
  unsigned sockets = 1024;                           // descriptors of a relay
  std::optional<UpgradeSeries> upgrades{};           // need `second_address`, as bans do
  std::optional<EndpointBan> ban{};
  std::optional<CrowdSpan> crowd{};
  std::optional<double> discovery_moves{};  // when
  std::function<void(double)> progress{};
  std::function<void(const Observation&)> watch{};  // sees all that can be seen from outside
};

struct FleetSeen {                  // what the relays' own views said
  double bound = 0;                 // seconds
  double started = -1;              // until the first one view
  double settled = -1;              // after the last fault; under 0: not within the bound
  std::string trouble;              // what was wrong then
  std::uint64_t false_deaths = 0;   // times that one buried another that ran and could be reached
  double datagrams = 0, bytes = 0;  // of each relay and second
  std::uint64_t lost = 0, streams = 0;
};

struct CopiesSeen {  // what the relays that still ran said of their copies, all together
  std::uint64_t placed = 0, refused = 0, late = 0, won = 0, lost = 0, inherited = 0, expired = 0;
  std::uint64_t sent_by_heirs = 0, delivered_by_heirs = 0;  // calls, as the partners saw them
  double first_call = -1;  // seconds from a loss to the first call of an heir; under 0: none
};

struct OverduePeer {
  std::uint32_t relay = 0;
  double connected = 0;   // seconds since the day's start
  bool half_way = false;  // it stopped within a request; else it said nothing
};

struct DriveResult {
  RunResult run;
  double late_most = 0;   // seconds that the stand-ins' own timers came late
  double late_share = 0;  // of them that came more than 20 ms late: the figures are then the machine's too
  unsigned starts = 0;    // of relays
  unsigned crashes = 0;   // relays that ended and were not told to
  std::vector<OverduePeer> overdue_peers;  // of a crowd, that got neither an error nor a close in time
  FleetSeen fleet;                         // where the options ask for it
  CopiesSeen copies;                       // likewise
};

// What can't be driven (too many relays, too much load, a fault that needs the emulator) throws
// ScenarioError; a relay that doesn't start throws std::runtime_error.
DriveResult drive(const Day& day, const DriveOptions& options);

}  // namespace valedrum::lab
