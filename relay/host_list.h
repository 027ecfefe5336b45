// Types for discovery's list of endpoints, shared by the parts of the relay.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string_view>

#include "catalog/endpoint_table.h"
#include "catalog/entry.h"

namespace myrtlegrade {

using Endpoint = boost::asio::ip::tcp::endpoint;

// A full list of endpoints and its version.
struct HostListSnapshot {
  std::int64_t version = 0;
  valedrum::catalog::EndpointTable entries;
};

// Parses "address:port". Throws std::invalid_argument that names `field` if the text has another form.
Endpoint parse_endpoint(std::string_view text, std::string_view field);

Endpoint to_endpoint(const valedrum::catalog::Address& address);

}  // namespace myrtlegrade
