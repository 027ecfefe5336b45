// Operators' commands at the second address, and endpoints that an operator has disabled.
#include <iostream>

#include "relay.h"

namespace myrtlegrade {

using vetchhinge::HostId;

std::string Relay::execute_admin_command(const std::string& line) {
  const auto space = line.find(' ');
  const std::string command = line.substr(0, space);
  const std::string host = space == std::string::npos ? "" : line.substr(space + 1);
  if (!host.empty() && command == "OFFLINE") return disable_host(host);
  if (!host.empty() && command == "ONLINE") return enable_host(host);
  if (line == "LEAVE") {
    server_.leave();
    return "ACK";
  }
  if (line == "JOIN") {
    server_.join();
    return "ACK";
  }
  return "NAK unknown call";
}

std::string Relay::disable_host(const std::string& host) {
  if (journal_.disabled_hosts().contains(host)) return "ACK";
  if (!endpoints_.is_known(host)) return "NAK no such endpoint";
  journal_.disable_host(host);
  if (!journal_.flush()) {  // a restart would undo it
    journal_.enable_host(host);
    return "NAK the disk is full";
  }
  endpoints_.cancel_unsent(endpoints_.host_id(host));
  apply_operator_override(host, true);
  return "ACK";
}

std::string Relay::enable_host(const std::string& host) {
  if (!journal_.disabled_hosts().contains(host)) {
    return endpoints_.is_known(host) ? "ACK" : "NAK no such endpoint";
  }
  journal_.enable_host(host);
  if (!journal_.flush()) {
    journal_.disable_host(host);
    return "NAK the disk is full";
  }
  apply_operator_override(host, false);
  endpoints_.release_name(host);
  return "ACK";
}

void Relay::apply_operator_override(const std::string& host, bool disabled) {
  std::cerr << "myrtlegrade: " << host << (disabled ? " is out by hand" : " is back by hand") << std::endl;
  const HostId id = endpoints_.host_id(host);
  if (disabled) host_client_.close_idle(id);
  post_event(vetchhinge::OperatorHostOverride{id, disabled});
}

}  // namespace myrtlegrade
