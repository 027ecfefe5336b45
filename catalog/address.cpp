#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <string>

#include "entry.h"

namespace valedrum::catalog {

std::optional<Address> parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Address parsed;
  const std::string_view digits = text.substr(colon + 1);
  const char* const end = digits.data() + digits.size();
  const auto [rest, failed] = std::from_chars(digits.data(), end, parsed.port);
  if (failed != std::errc{} || rest != end) return std::nullopt;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
  if (error) return std::nullopt;
  parsed.v6 = address.is_v6();
  if (parsed.v6) {
    parsed.bytes = address.to_v6().to_bytes();
    parsed.scope = static_cast<std::uint32_t>(address.to_v6().scope_id());
  } else {
    const auto bytes = address.to_v4().to_bytes();
    std::copy(bytes.begin(), bytes.end(), parsed.bytes.begin());
  }
  return parsed;
}

}  // namespace valedrum::catalog
