#include "host_list.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <stdexcept>
#include <string>

namespace myrtlegrade {

namespace asio = boost::asio;
namespace catalog = valedrum::catalog;

Endpoint parse_endpoint(std::string_view text, std::string_view field) {
  if (const auto address = catalog::parse_address(text)) return to_endpoint(*address);
  throw std::invalid_argument(std::string(field) + ": not an address and port: '" + std::string(text) + "'");
}

Endpoint to_endpoint(const catalog::Address& address) {
  if (address.v6) return {asio::ip::address_v6(address.bytes, address.scope), address.port};
  asio::ip::address_v4::bytes_type bytes;
  std::copy_n(address.bytes.begin(), bytes.size(), bytes.begin());
  return {asio::ip::address_v4(bytes), address.port};
}

}  // namespace myrtlegrade
