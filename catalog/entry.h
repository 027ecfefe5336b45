// One endpoint of discovery's list, as the table and its reader speak of it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace valedrum::catalog {

struct Address {
  std::array<std::uint8_t, 16> bytes{};  // in the order of the network; of IPv4 the first four
  bool v6 = false;
  std::uint16_t port = 0;
  std::uint32_t scope = 0;  // of a link-local IPv6 address

  friend bool operator==(const Address&, const Address&) = default;
};

// "address:port", by the rules of boost::asio::ip::make_address; none: it is no such text.
std::optional<Address> parse_address(std::string_view text);

enum class EndpointState : std::uint8_t { serving, draining, deleted };  // deleted: only among changes

// The texts belong to whoever made the entry: one that a table gives is good until that table's next change.
struct Entry {
  std::string_view id, zone, kind;
  Address address;
  std::uint64_t cell = 0;  // the destination; 0 for one that doesn't serve and names none
  double weight = 1;
  std::int64_t started_ms = 0;  // Unix time of the endpoint's last start; 0: long ago
  EndpointState state = EndpointState::serving;

  friend bool operator==(const Entry&, const Entry&) = default;
};

constexpr std::size_t kMaxTextBytes = 1024;  // bytes of an id, a zone, a kind; longer ones are refused (ours)

}  // namespace valedrum::catalog
