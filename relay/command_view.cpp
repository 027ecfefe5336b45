#include "command_view.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <iostream>
#include <map>
#include <optional>
#include <string_view>

#include "admin_client.h"
#include "command_status.h"
#include "config.h"

namespace myrtlegrade {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxViewBytes = 4U << 20;

struct NoResponse {
  std::string address;
};
struct Refused {
  std::string reply;
};

json::object fetch(const Endpoint& at, const std::string& what = "FLEET") {
  const std::optional<std::string> reply = query_relay(at, what, kMaxViewBytes);
  if (!reply) throw NoResponse{to_string(at)};
  if (!reply->starts_with("ACK ")) throw Refused{*reply};
  return json::parse(std::string_view(*reply).substr(4)).as_object();
}

std::string field(const json::object& o, const char* key) {
  const json::value& v = o.at(key);
  return v.is_string() ? std::string(v.as_string()) : json::serialize(v);
}
std::string stamp(const json::object& m) {
  return field(m, "state") + " " + field(m, "incarnation") + "." + field(m, "revision");
}

void show(const json::object& v) {
  const json::object& reach = v.at("reach").as_object();
  std::printf("%s as %s has it: view %s, digest %s, %s of %s reachable%s%s\n", field(v, "fleet").c_str(),
              field(v, "name").c_str(), field(v, "version").c_str(), field(v, "digest").c_str(),
              field(reach, "reachable").c_str(), field(reach, "known").c_str(),
              reach.at("minority_ms").is_null() ? "" : ", CUT OFF: half or less",
              v.at("looks_on").as_bool()  ? ", LOOKS ON: its name is another's"
              : v.at("settled").as_bool() ? ""
                                          : ", still joining");
  std::printf("%-16s %-8s %-16s %-8s %-22s %s\n", "member", "state", "machine", "zone", "address",
              "incarnation");
  for (const json::value& value : v.at("members").as_array()) {
    const json::object& m = value.as_object();
    std::printf("%-16s %-8s %-16s %-8s %-22s %s.%s%s\n", field(m, "name").c_str(), field(m, "state").c_str(),
                field(m, "machine").c_str(), field(m, "zone").c_str(), field(m, "address").c_str(),
                field(m, "incarnation").c_str(), field(m, "revision").c_str(),
                m.contains("rival") ? (" CONFLICT with " + field(m, "rival")).c_str() : "");
  }
}

void show_copies(const json::object& v) {
  const json::object& c = v.at("counters").as_object();
  std::printf("messages: %s own messages copied to others, %s held for others (%s bytes), %s inherited\n",
              field(v, "own").c_str(), field(v, "held").c_str(), field(v, "bytes_held").c_str(),
              field(v, "inherited").c_str());
  std::printf(
      "shortages: %s refused, %s accepted with too few copies, %s with none; timeouts %s, no room %s\n",
      field(c, "refused").c_str(), field(c, "short").c_str(), field(c, "alone").c_str(),
      field(c, "late").c_str(), field(c, "no_room").c_str());
  std::printf("%-16s %-16s %-8s %-8s %-9s %s\n", "origin", "owner", "epoch", "leads", "messages",
              "members (the first one is the origin)");
  for (const json::value& value : v.at("groups").as_array()) {
    const json::object& g = value.as_object();
    std::string members;
    for (const json::value& m : g.at("members").as_array()) members += std::string(m.as_string()) + " ";
    std::printf("%-16s %-16s %-8s %-8s %-9s %s%s\n", field(g, "origin").c_str(), field(g, "owner").c_str(),
                field(g, "epoch").c_str(), g.at("leads").as_bool() ? "yes" : "", field(g, "messages").c_str(),
                members.c_str(), g.at("open").as_bool() ? "(takes new ones)" : "");
  }
}

}  // namespace

int ViewCommand::diff() const {
  std::map<std::string, std::map<std::string, std::string>> states;  // by member, then by reporting relay
  std::vector<std::string> relays;
  for (const std::string& at : others) {
    const json::object v = fetch(parse_endpoint(at, "--diff"));
    relays.push_back(field(v, "name") + " (" + at + ")");
    for (const json::value& m : v.at("members").as_array()) {
      states[field(m.as_object(), "name")][relays.back()] = stamp(m.as_object());
    }
  }
  json::object all;
  for (const auto& [member, by_relay] : states) {
    const bool same = by_relay.size() == relays.size() && std::ranges::all_of(by_relay, [&](const auto& s) {
                        return s.second == by_relay.begin()->second;
                      });
    if (same) continue;
    json::object row;
    for (const std::string& w : relays)
      row[w] = by_relay.contains(w) ? json::value(by_relay.at(w)) : json::value(nullptr);
    all[member] = std::move(row);
  }
  if (as_json) {
    std::cout << json::serialize(all) << '\n';
  } else if (all.empty()) {
    std::printf("%zu views of %zu members: the same\n", relays.size(), states.size());
  }
  for (const auto& [member, row] : all) {
    if (as_json) break;
    std::printf("%s\n", std::string(member).c_str());
    for (const auto& [w, state] : row.as_object())
      std::printf("  %-32s %s\n", std::string(w).c_str(),
                  state.is_null() ? "not known" : std::string(state.as_string()).c_str());
  }
  return all.empty() ? 0 : kNegativeResult;
}

int ViewCommand::run() const {
  try {
    if (!others.empty()) return diff();
    const json::object v = fetch(address(), verb);
    if (as_json) {
      std::cout << json::serialize(v) << '\n';
    } else if (verb == "COPIES") {
      show_copies(v);
    } else {
      show(v);
    }
    return 0;
  } catch (const NoResponse& e) {
    std::cerr << "myrtlegrade: nobody answers at " << e.address << '\n';
    return kNoResponse;
  } catch (const Refused& e) {
    std::cerr << e.reply << '\n';
    return kNegativeResult;
  }
}

}  // namespace myrtlegrade
