// Data types of the membership protocol and its settings. Nothing here depends on sockets, clocks or threads.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace valedrum::membership {

// A steady clock that the caller reads. The protocol never uses wall-clock time.
struct Clock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;
};
using Duration = Clock::duration;
using Time = Clock::time_point;

// An IPv4 address and port in host byte order. Port 0 means that there is no address.
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
  explicit operator bool() const { return port != 0; }
};
std::string to_text(const Address& address);

enum class State : std::uint8_t {
  joining,  // running, but has not exchanged views with another member yet
  alive,
  suspect,  // did not answer probes of some member; may still refute the suspicion
  dead,     // the suspicion timed out without a refutation
  left,     // announced that it leaves
};
std::string_view name_of(State state);
inline bool is_gone(State s) { return s == State::dead || s == State::left; }

// Orders two statements about a member. Only the member itself increments its stamp.
struct Stamp {
  std::uint64_t incarnation = 0;  // grows with each start
  std::uint32_t revision = 0;     // grows within one incarnation
  auto operator<=>(const Stamp&) const = default;
};

// A statement about one member.
struct Record {
  std::string name;
  std::string machine;         // members on one machine fail together
  std::string zone;            // may be empty
  std::uint64_t instance = 0;  // random for each start; distinguishes two processes with the same name
  Stamp stamp;
  Address address;  // where other members reach it
  State state = State::joining;
  Address conflicting_address;          // of another process that claims the same name, if any
  std::uint32_t published_version = 0;  // format of `published`; 0: nothing is published
  std::string published;                // application data, kMaxPublishedBytes at most
  std::vector<std::string> accusers;    // who suspects a suspect or dead member; kMaxAccusers at most
  Duration gone_for{};                  // how long a dead or left member has been so
};

inline constexpr std::size_t kMaxNameBytes = 64;  // of a member or machine
inline constexpr std::size_t kMaxZoneBytes = 32;
inline constexpr std::size_t kMaxPublishedBytes = 256;
inline constexpr std::size_t kMaxAccusers = 3;
inline constexpr std::uint64_t kMaxIncarnation = 1ULL << 48;  // larger values are treated as damage

// A safeguard of the protocol that the lab switches off to verify that its checks notice. Never set by a
// relay.
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
// Names on the command line and in settings.
inline constexpr DisabledSafeguardName kDisabledSafeguardNames[] = {
    {"nothing", DisabledSafeguard::none},
    {"refutation", DisabledSafeguard::refutation},
    {"tombstones", DisabledSafeguard::tombstones},
    {"incarnation", DisabledSafeguard::incarnation},
    {"anti_entropy", DisabledSafeguard::anti_entropy},
    {"self_doubt", DisabledSafeguard::local_health},
    {"confirmation", DisabledSafeguard::confirmation}};

struct Settings {
  std::string fleet;           // name shared by all members; 1 to 64 bytes
  std::vector<Address> seeds;  // contacted to join, and retried for ever while they are not in the view
  Duration probe_interval = std::chrono::seconds(1);
  // More than a round trip, less than half a probe interval.
  Duration ack_timeout = std::chrono::milliseconds(500);
  std::uint32_t indirect_probes = 3;  // members asked to probe a target that did not answer directly
  // Other members that must suspect a member too before the shortest suspicion timeout applies; fewer where
  // there are fewer members. 2 at most.
  std::uint32_t confirmations = 2;
  Duration tombstone_retention = std::chrono::minutes(10);  // how long a gone member is remembered
  Duration max_reconnect_interval = std::chrono::seconds(30);
  std::size_t max_datagram_bytes = 1200;
  DisabledSafeguard disabled_safeguard = DisabledSafeguard::none;
};

// Throws std::invalid_argument whose text begins with the name of the invalid setting.
void check(const Settings& settings);

}  // namespace valedrum::membership
