// What a member of the fleet is, and how it is judged. Nothing here knows sockets, clocks or threads.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace valedrum::membership {

// A steady clock that the caller reads: wall clocks and their steps play no part.
struct Clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;
};
using Duration = Clock::duration;
using Time = Clock::time_point;

struct Address {  // IPv4, in the host's order; port 0: none
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
  explicit operator bool() const { return port != 0; }
};
std::string to_text(const Address& address);

enum class State : std::uint8_t {
  joining,  // runs, and has not heard of the others yet
  alive,
  suspect,  // somebody's probes were not answered; it may still refute that
  dead,     // suspected for long enough, and confirmed
  left,     // it said so
};
std::string_view name_of(State state);
inline bool is_gone(State s) { return s == State::dead || s == State::left; }

// Which of two statements about a member is the newer one. Only the member itself raises it.
struct Stamp {
  std::uint64_t incarnation = 0;  // grows with each start
  std::uint32_t revision = 0;     // grows within one
  auto operator<=>(const Stamp&) const = default;
};

// What is said of one member.
struct Record {
  std::string name;
  std::string machine;         // members of one machine are lost together
  std::string zone;            // may be empty
  std::uint64_t instance = 0;  // drawn at each start: tells two processes with one name apart
  Stamp stamp;
  Address address;  // where others reach it
  State state = State::joining;
  Address conflicting_address;          // where another process that claims the same name was heard
  std::uint32_t published_version = 0;  // format of `published`; 0: nothing is published
  std::string published;  // kMaxPublishedBytes bytes at most, for the parts that build on this one
  std::vector<std::string> accusers;  // of one that is suspect or dead: kMaxAccusers at most
  Duration gone_for{};                // of one that is gone
};

inline constexpr std::size_t kMaxNameBytes = 64;  // bytes; of a machine's too
inline constexpr std::size_t kMaxZoneBytes = 32;
inline constexpr std::size_t kMaxPublishedBytes = 256;
inline constexpr std::size_t kMaxAccusers = 3;
inline constexpr std::uint64_t kMaxIncarnation = 1ULL << 48;  // what claims more is damaged

// The lab breaks the protocol on purpose, to see that its checks would notice. Never set by a relay.
enum class DisabledSafeguard {
  none,
  refutation,
  tombstones,
  incarnation,
  anti_entropy,
  local_health,
  confirmation
};

struct DisabledSafeguardName {
  std::string_view name;
  DisabledSafeguard disabled_safeguard;
};
inline constexpr DisabledSafeguardName kDisabledSafeguardNames[] = {
    {"nothing", DisabledSafeguard::none},
    {"refutation", DisabledSafeguard::refutation},
    {"tombstones", DisabledSafeguard::tombstones},
    {"incarnation", DisabledSafeguard::incarnation},
    {"anti_entropy", DisabledSafeguard::anti_entropy},
    {"self_doubt", DisabledSafeguard::local_health},
    {"confirmation", DisabledSafeguard::confirmation}};

struct Settings {
  std::string fleet;           // who belongs together; 1 to 64 bytes
  std::vector<Address> seeds;  // asked at a join, and tried for ever where they are not in the view
  Duration probe_interval = std::chrono::seconds(1);
  Duration ack_timeout = std::chrono::milliseconds(500);  // more than a round trip, less than half a probe
  std::uint32_t indirect_probes = 3;                      // members that are asked to probe in one's place
  std::uint32_t confirmations = 2;  // other members that must suspect too, where there are; 2 at most
  Duration tombstone_retention = std::chrono::minutes(10);     // that one that is gone is remembered for
  Duration max_reconnect_interval = std::chrono::seconds(30);  // between two tries to reach what is lost
  std::size_t max_datagram_bytes = 1200;                       // bytes
  DisabledSafeguard disabled_safeguard = DisabledSafeguard::none;
};

// Throws std::invalid_argument whose text begins with the field at fault.
void check(const Settings& settings);

}  // namespace valedrum::membership
