#include "command_admin.h"

#include <boost/json.hpp>
#include <iostream>
#include <optional>
#include <stdexcept>

#include "admin_client.h"
#include "command_status.h"
#include "config.h"

namespace myrtlegrade {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxReplyBytes = 4096;

}  // namespace

Endpoint AdminCommand::address() const {
  if (!admin.empty()) return parse_endpoint(admin, "--admin");
  if (const std::string from_env = from_environment("PROXY_ADMIN_ADDR"); !from_env.empty()) {
    return parse_endpoint(from_env, "PROXY_ADMIN_ADDR");
  }
  const std::string path = config.empty() ? from_environment("PROXY_CONFIG") : config;
  if (path.empty()) throw std::runtime_error("no admin address: give --admin, --config or PROXY_ADMIN_ADDR");
  const std::string text = read_file(path);
  const Config c = parse_config(text, "");
  if (!c.admin) throw std::runtime_error(path + ": no admin address (admin_addr)");
  return *c.admin;
}

int AdminCommand::run() const {
  if (id.find_first_of(" \r\n") != std::string::npos) throw std::runtime_error("ID must not contain blanks");
  const Endpoint at = address();
  const std::string line = id.empty() ? verb : verb + " " + id;
  const std::optional<std::string> reply = query_relay(at, line, kMaxReplyBytes);
  const bool acknowledged = reply && (*reply == "ACK" || reply->starts_with("ACK "));
  if (as_json) {
    json::object o{
        {"call", line}, {"address", to_string(at)}, {"answered", reply.has_value()}, {"ok", acknowledged}};
    if (reply) o["reply"] = *reply;
    std::cout << json::serialize(o) << '\n';
  } else if (reply) {
    std::cout << *reply << '\n';
  } else {
    std::cerr << "myrtlegrade: nobody answers at " << at << '\n';
  }
  return !reply ? kNoResponse : acknowledged ? 0 : kNegativeResult;
}

}  // namespace myrtlegrade
