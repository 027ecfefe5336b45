// Types for one endpoint of discovery's list, shared by the endpoint table and the list reader.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace valedrum::catalog {

// The network address of an endpoint.
struct Address {
  std::array<std::uint8_t, 16> bytes{};  // network byte order; IPv4 uses the first four
  bool v6 = false;
  std::uint16_t port = 0;
  std::uint32_t scope = 0;  // scope id of a link-local IPv6 address

  friend bool operator==(const Address&, const Address&) = default;
};

// Parses "address:port", where the address is in a form that boost::asio::ip::make_address accepts. Returns
// nullopt for any other text.
std::optional<Address> parse_address(std::string_view text);

// What an endpoint is doing. `deleted` occurs only in lists of changes.
enum class EndpointState : std::uint8_t { serving, draining, deleted };

// One endpoint. The entry does not own its strings; those of an entry that a table returns are valid until
// the next change of that table.
struct Entry {
  std::string_view id, zone, kind;
  Address address;
  std::uint64_t cell = 0;  // the destination's id; 0 if not serving and listed without a cell
  double weight = 1;
  std::int64_t started_ms = 0;  // Unix time of the endpoint's last start; 0: unknown, treated as long ago
  EndpointState state = EndpointState::serving;

  friend bool operator==(const Entry&, const Entry&) = default;
};

// Limit on the length of an id, a zone or a kind. Entries with longer ones are rejected.
constexpr std::size_t kMaxTextBytes = 1024;

}  // namespace valedrum::catalog
