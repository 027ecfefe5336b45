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

constexpr std::size_t kMostView = 4U << 20;  // bytes of a view

struct NobodyAnswers {
  std::string at;
};
struct Refused {
  std::string why;
};

json::object fetch(const Endpoint& at, const std::string& what = "FLEET") {
  const std::optional<std::string> reply = ask_relay(at, what, kMostView);
  if (!reply) throw NobodyAnswers{text_of(at)};
  if (!reply->starts_with("ACK ")) throw Refused{*reply};
  return json::parse(std::string_view(*reply).substr(4)).as_object();
}

std::string of(const json::object& o, const char* key) {
  const json::value& v = o.at(key);
  return v.is_string() ? std::string(v.as_string()) : json::serialize(v);
}
std::string stamp(const json::object& m) {
  return of(m, "state") + " " + of(m, "incarnation") + "." + of(m, "revision");
}

void show(const json::object& v) {
  const json::object& reach = v.at("reach").as_object();
  std::printf("%s as %s has it: view %s, digest %s, %s of %s reachable%s%s\n", of(v, "fleet").c_str(),
              of(v, "name").c_str(), of(v, "version").c_str(), of(v, "digest").c_str(),
              of(reach, "reachable").c_str(), of(reach, "known").c_str(),
              reach.at("minority_ms").is_null() ? "" : ", CUT OFF: half or less",
              v.at("looks_on").as_bool()  ? ", LOOKS ON: its name is another's"
              : v.at("settled").as_bool() ? ""
                                          : ", still joining");
  std::printf("%-16s %-8s %-16s %-8s %-22s %s\n", "member", "state", "machine", "zone", "address",
              "incarnation");
  for (const json::value& value : v.at("members").as_array()) {
    const json::object& m = value.as_object();
    std::printf("%-16s %-8s %-16s %-8s %-22s %s.%s%s\n", of(m, "name").c_str(), of(m, "state").c_str(),
                of(m, "machine").c_str(), of(m, "zone").c_str(), of(m, "address").c_str(),
                of(m, "incarnation").c_str(), of(m, "revision").c_str(),
                m.contains("rival") ? (" CONFLICT with " + of(m, "rival")).c_str() : "");
  }
}

void show_copies(const json::object& v) {
  const json::object& c = v.at("counters").as_object();
  std::printf("messages: %s of its own with others, %s held for others (%s bytes), %s inherited\n",
              of(v, "own").c_str(), of(v, "held").c_str(), of(v, "bytes_held").c_str(),
              of(v, "inherited").c_str());
  std::printf(
      "shortages: %s refused, %s taken with too few, %s with none; waits that ran out %s, no room %s\n",
      of(c, "refused").c_str(), of(c, "short").c_str(), of(c, "alone").c_str(), of(c, "late").c_str(),
      of(c, "no_room").c_str());
  std::printf("%-16s %-16s %-8s %-8s %-9s %s\n", "origin", "owner", "epoch", "leads", "messages",
              "members (the first one is the origin)");
  for (const json::value& value : v.at("groups").as_array()) {
    const json::object& g = value.as_object();
    std::string members;
    for (const json::value& m : g.at("members").as_array()) members += std::string(m.as_string()) + " ";
    std::printf("%-16s %-16s %-8s %-8s %-9s %s%s\n", of(g, "origin").c_str(), of(g, "owner").c_str(),
                of(g, "epoch").c_str(), g.at("leads").as_bool() ? "yes" : "", of(g, "messages").c_str(),
                members.c_str(), g.at("open").as_bool() ? "(takes new ones)" : "");
  }
}

}  // namespace

// Members that are not the same to all: by member, then by who says what.
int ViewCommand::diff() const {
  std::map<std::string, std::map<std::string, std::string>> said;
  std::vector<std::string> who;
  for (const std::string& at : others) {
    const json::object v = fetch(parse_endpoint(at, "--diff"));
    who.push_back(of(v, "name") + " (" + at + ")");
    for (const json::value& m : v.at("members").as_array()) {
      said[of(m.as_object(), "name")][who.back()] = stamp(m.as_object());
    }
  }
  json::object all;
  for (const auto& [member, by] : said) {
    const bool same = by.size() == who.size() &&
                      std::ranges::all_of(by, [&](const auto& s) { return s.second == by.begin()->second; });
    if (same) continue;
    json::object row;
    for (const std::string& w : who) row[w] = by.contains(w) ? json::value(by.at(w)) : json::value(nullptr);
    all[member] = std::move(row);
  }
  if (as_json) {
    std::cout << json::serialize(all) << '\n';
  } else if (all.empty()) {
    std::printf("%zu views of %zu members: the same\n", who.size(), said.size());
  }
  for (const auto& [member, row] : all) {
    if (as_json) break;
    std::printf("%s\n", std::string(member).c_str());
    for (const auto& [w, state] : row.as_object())
      std::printf("  %-32s %s\n", std::string(w).c_str(),
                  state.is_null() ? "not known" : std::string(state.as_string()).c_str());
  }
  return all.empty() ? 0 : kAnswerIsNo;
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
  } catch (const NobodyAnswers& n) {
    std::cerr << "myrtlegrade: nobody answers at " << n.at << '\n';
    return kNobodyAnswers;
  } catch (const Refused& n) {
    std::cerr << n.why << '\n';
    return kAnswerIsNo;
  }
}

}  // namespace myrtlegrade
