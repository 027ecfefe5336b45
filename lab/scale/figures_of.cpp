#include "figures_of.h"

#include <array>
#include <boost/json/array.hpp>
#include <map>
#include <set>
#include <string>

#include "distribution.h"
#include "hollow.h"

namespace valedrum::lab::scale {

namespace json = boost::json;

namespace {

constexpr std::array<const char*, kKinds> kKindNames = {"ping", "ack",  "nack", "ping_req", "gossip",
                                                        "pull", "view", "push", "thanks"};

double number(const json::object& o, const char* name) { return o.at(name).to_number<double>(); }

constexpr std::size_t kMostErrors = 40;  // that are told one by one

// Whom a member holds for something else than what they are: `member` says that `of` is `holds`, for so long,
// accused by so many, in so much doubt of itself. The first few.
json::array errors_of_view(const std::vector<json::object>& said) {
  std::map<std::string, bool> up;  // by name
  for (const json::object& process : said) {
    for (const json::value& m : process.at("members").as_array())
      up[std::string(m.at("name").as_string())] = m.at("up").as_bool();
  }
  json::array errors;
  for (const json::object& process : said) {
    for (const json::value& m : process.at("members").as_array()) {
      if (!m.at("up").as_bool()) continue;
      for (const auto& [name, runs] : up) {
        if (m.at("name").as_string() == name || errors.size() >= kMostErrors) continue;
        const json::value* held = m.at("not_alive").as_object().if_contains(name);
        const bool gone = held && held->at("state").as_string() != "suspect";
        if (runs ? !held : gone) continue;
        json::object error{{"member", m.at("name")}, {"of", name}, {"doubt", m.at("doubt")}};
        error["holds"] = held ? *held : json::value("alive");
        errors.push_back(std::move(error));
      }
    }
  }
  return errors;
}

}  // namespace

json::object figures_of(const Phase& phase, const std::vector<json::object>& said, std::size_t others) {
  const double lasts = seconds(phase.to - phase.from);
  Distribution bytes, datagrams, received_bytes, received, cpu, most, view;
  Distribution process_cpu, resident, changes, changes_worst, lists, list_bytes;
  std::array<double, kKinds> kind_bytes{}, kinds{};
  double to_relays = 0, from_relays = 0;
  std::set<std::uint64_t> digests;
  std::size_t up = others, agree = 0, whole = 0;
  for (const json::object& process : said) {
    for (const json::value& m : process.at("members").as_array()) up += m.at("up").as_bool() ? 1 : 0;
  }
  json::object counters;
  for (const json::object& process : said) {
    const json::array& members = process.at("members").as_array();
    process_cpu.add(number(process, "cpu_ns") / 1e9 / lasts / static_cast<double>(members.size()));
    resident.add(number(process, "resident") / static_cast<double>(members.size()));
    for (const auto& [name, value] : process.at("counters").as_object()) {
      json::value& sum = counters[name];
      sum = (sum.is_null() ? 0 : sum.to_number<std::int64_t>()) + value.to_number<std::int64_t>();
    }
    for (const json::value& value : members) {
      const json::object& m = value.as_object();
      if (!m.at("up").as_bool()) continue;
      const bool knows = number(m, "live") + 1 == static_cast<double>(up) && number(m, "suspects") == 0;
      agree += knows ? 1 : 0;
      digests.insert(m.at("digest").to_number<std::uint64_t>());
      if (const json::value* at = m.if_contains("view_at"))
        view.add(at->to_number<double>() - seconds(phase.from));
      if (const json::value* at = m.if_contains("list_within")) lists.add(at->to_number<double>());
      list_bytes.add(m.contains("list_bytes") ? number(m, "list_bytes") / lasts : 0);
      if (const json::value* all = m.if_contains("changes_us")) {
        Distribution own;
        for (const json::value& us : all->as_array()) {
          own.add(us.to_number<double>() / 1e6);
          changes.add(us.to_number<double>() / 1e6);
        }
        changes_worst.add(own.at(1));
      }
      if (!m.at("whole").as_bool() && phase.name != "start") continue;
      ++whole;
      double sent = 0, sent_bytes = 0;
      for (std::size_t k = 0; k < kKinds; ++k) {
        const double n = m.at("sent").at(k).to_number<double>();
        const double b = m.at("sent_bytes").at(k).to_number<double>();
        if (k < static_cast<std::size_t>(membership::MessageKind::pull)) sent += n;
        sent_bytes += b;
        kinds[k] += n;
        kind_bytes[k] += b;
      }
      bytes.add(sent_bytes / lasts);
      datagrams.add(sent / lasts);
      to_relays += number(m, "to_relays_bytes") / lasts;
      from_relays += number(m, "from_relays_bytes") / lasts;
      received_bytes.add(number(m, "received_bytes") / lasts);
      received.add(number(m, "received") / lasts);
      cpu.add(number(m, "cpu_ns") / 1e9 / lasts);
      most.add(number(m, "most_bytes"));
    }
  }
  json::object by_kind;
  for (std::size_t k = 0; k < kKinds; ++k) {
    if (kinds[k] == 0) continue;
    const double per = lasts * static_cast<double>(std::max<std::size_t>(whole, 1));
    by_kind[kKindNames[k]] = {{"count", kinds[k] / per}, {"bytes", kind_bytes[k] / per}};
  }
  json::object view_within = view.times();
  view_within["changed"] = view.size();
  json::object all{{"name", phase.name},
                   {"from", seconds(phase.from)},
                   {"to", seconds(phase.to)},
                   {"members", up},
                   {"measured", whole},
                   {"one_view", agree + others == up},
                   {"knowing_all", agree},
                   {"errors_of_view", errors_of_view(said)},
                   {"digests", digests.size()},
                   {"view_within_s", std::move(view_within)},
                   {"sent_bytes_per_s", bytes.figure()},
                   {"sent_datagrams_per_s", datagrams.figure()},
                   {"received_bytes_per_s", received_bytes.figure()},
                   {"received_datagrams_per_s", received.figure()},
                   {"most_bytes_in_a_second", most.figure()},
                   {"cpu_share", cpu.figure()},
                   {"process_cpu_share_per_member", process_cpu.figure()},
                   {"resident_bytes_per_member", resident.figure()},
                   {"by_kind_per_s", std::move(by_kind)},
                   {"counters_until_then", std::move(counters)}};
  if (others > 0) {  // of each real relay, as the hollow ones saw it
    const auto n = static_cast<double>(others);
    all["real"] = json::object{{"sent_bytes_per_s_to_hollow", from_relays / n},
                               {"received_bytes_per_s_from_hollow", to_relays / n}};
  }
  if (!changes.empty()) {
    all["change_in_force_s"] = changes.times();
    all["changes_taken"] = changes.size();
    all["slowest_change_s"] = changes_worst.figure();
  }
  if (!lists.empty()) all["whole_list_within_s"] = lists.times();
  if (list_bytes.at(1) > 0) all["list_bytes_per_s"] = list_bytes.figure();
  return all;
}

json::object figures_of_discovery(const Phase& phase, const std::vector<json::object>& said) {
  const double lasts = seconds(phase.to - phase.from);
  Distribution cpu, resident, bytes, watches;
  for (const json::object& process : said) {
    cpu.add(number(process, "cpu_ns") / 1e9 / lasts);
    resident.add(number(process, "resident"));
    bytes.add(number(process, "sent_bytes") / lasts);
    watches.add(number(process, "watches"));
  }
  return {{"processes", said.size()},
          {"watches", watches.figure()},
          {"cpu_share", cpu.figure()},
          {"resident_bytes", resident.figure()},
          {"sent_bytes_per_s", bytes.figure()}};
}

}  // namespace valedrum::lab::scale
