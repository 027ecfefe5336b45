// The operators' calls to the second address, and endpoints that are taken out by hand.
#include <iostream>

#include "relay.h"

namespace myrtlegrade {

using vetchhinge::HostId;

// -------------------------------------------------------------------------- the operators' calls

std::string Relay::called(const std::string& line) {
  const auto blank = line.find(' ');
  const std::string call = line.substr(0, blank);
  const std::string host = blank == std::string::npos ? "" : line.substr(blank + 1);
  if (!host.empty() && call == "OFFLINE") return take_out(host);
  if (!host.empty() && call == "ONLINE") return put_back(host);
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

std::string Relay::take_out(const std::string& host) {
  if (journal_.disabled_hosts().contains(host)) return "ACK";
  if (!endpoints_.is_known(host)) return "NAK no such endpoint";
  journal_.disable_host(host);
  if (!journal_.flush()) {  // what a restart would forget must not be promised
    journal_.enable_host(host);
    return "NAK the disk is full";
  }
  endpoints_.withhold(endpoints_.number(host));
  tell_by_hand(host, true);
  return "ACK";
}

std::string Relay::put_back(const std::string& host) {
  if (!journal_.disabled_hosts().contains(host)) {
    return endpoints_.is_known(host) ? "ACK" : "NAK no such endpoint";
  }
  journal_.enable_host(host);
  if (!journal_.flush()) {
    journal_.disable_host(host);
    return "NAK the disk is full";
  }
  tell_by_hand(host, false);
  endpoints_.forget_name(host);
  return "ACK";
}

void Relay::tell_by_hand(const std::string& host, bool out) {
  std::cerr << "myrtlegrade: " << host << (out ? " is out by hand" : " is back by hand") << std::endl;
  const HostId id = endpoints_.number(host);
  if (out) host_client_.close_idle(id);
  happened(vetchhinge::OperatorHostOverride{id, out});
}

}  // namespace myrtlegrade
