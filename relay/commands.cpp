#include "commands.h"

#include <boost/json.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <sstream>

#include "admin_client.h"
#include "command_line.h"
#include "config.h"
#include "journal_view.h"

namespace myrtlegrade {
namespace {

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr int kNo = 1, kNobody = 3;
constexpr std::size_t kMostReply = 4096;  // bytes of the reply to a call

std::string from_environment(const char* name) {
  const char* value = std::getenv(name);
  return value ? value : "";
}

std::string text_of(const Endpoint& address) {
  std::ostringstream text;
  text << address;
  return text.str();
}

double ms(vetchhinge::Duration d) { return static_cast<double>(d.count()) / 1000; }

// ---------------------------------------------------------------------------------------------- check

struct Position {
  std::size_t line = 1, column = 1;
};

Position position(const std::string& text, std::size_t at) {
  Position p;
  for (std::size_t i = 0; i < std::min(at, text.size()); ++i) {
    ++p.column;
    if (text[i] != '\n') continue;
    ++p.line;
    p.column = 1;
  }
  return p;
}

// Where the field stands that a message names as "config: a.b.c: what" or "config: a.b.c is ...": the last of
// its names that the text has.
std::size_t place_of_field(const std::string& text, const std::string& what) {
  constexpr std::string_view prefix = "config: ";
  std::string path = what.starts_with(prefix) ? what.substr(prefix.size()) : what;
  path = path.substr(0, path.find(':'));
  std::size_t at = 0;
  std::istringstream names(path);
  for (std::string name; std::getline(names, name, '.');) {
    const std::size_t found = text.find("\"" + name + "\"", at);
    if (found != std::string::npos) at = found;
  }
  return at;
}

// The place where the text stops being JSON.
std::size_t place_of_error(const std::string& text) {
  json::stream_parser parser;
  boost::system::error_code error;
  return parser.write_some(text, error);
}

struct Check {
  std::string config, state;
  bool as_json = false;

  int operator()() const {
    const std::string path = config.empty() ? from_environment("PROXY_CONFIG") : config;
    const std::string folder = state.empty() ? from_environment("PROXY_STATE") : state;
    if (path.empty()) throw std::runtime_error("neither --config nor PROXY_CONFIG names a file");
    std::ifstream file(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw std::runtime_error(path + ": can't be read");
    Config c;
    try {
      c = parse_config(text, folder);
      // As the module checks it at the start of a relay.
      const vetchhinge::Sender probe(c.settings);
    } catch (const std::exception& e) {
      boost::system::error_code error;
      (void)json::parse(text, error);
      const Position at = position(text, error ? place_of_error(text) : place_of_field(text, e.what()));
      throw std::runtime_error(path + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " +
                               e.what());
    }
    if (!folder.empty() && !std::filesystem::is_directory(folder))
      throw std::runtime_error(folder + ": is no folder");
    print(c, path, folder);
    return 0;
  }

  void print(const Config& c, const std::string& path, const std::string& folder) const {
    const std::string admin = from_environment("PROXY_ADMIN_ADDR");
    const auto& s = c.settings;
    struct Row {
      std::string name;
      json::value value;
      std::string from;
    };
    const std::string file = path;
    const std::string state_from = state.empty() ? "PROXY_STATE" : "--state";
    std::vector<Row> rows = {
        {"name", json::value(c.name), file},
        {"listen", json::value(text_of(c.listen)), file},
        {"discovery", json::value(text_of(c.discovery)), file},
        {"admin",
         json::value(c.admin         ? text_of(*c.admin)
                     : admin.empty() ? "none"
                                     : admin),
         c.admin         ? file
         : admin.empty() ? "default"
                         : "PROXY_ADMIN_ADDR"},
        {"state_folder", json::value(folder), folder.empty() ? "not given" : state_from},
        {"sockets", json::value(c.sockets), file},
        {"disk_bytes", json::value(c.disk_bytes), file},
        {"durability",
         json::value(c.durability == valedrum::recovery::Durability::power ? "power" : "process"), file},
        {"known_endpoints", json::value(c.known->entries.size()), file},
        {"slots", json::value(s.slots), file},
        {"max_open", json::value(s.max_open), file},
        {"max_attempts", json::value(s.max_attempts), file},
        {"relays", json::value(s.relays), file},
        {"classes", json::value(s.classes.size()), file},
        {"kinds", json::value(s.kinds.size()), file},
        {"list_on_request", json::value(s.list_on_request), file},
        {"tick_ms", json::value(ms(s.tick)), file},
        {"connection_idle_ms", json::value(ms(s.connection_idle)), file},
        {"connect_timeout_ms", json::value(ms(c.connect_timeout)), file},
        {"start_capacity", json::value(s.start_capacity), file},
        {"warm_after_ms", json::value(ms(s.warm_after)), file},
        {"fleet", json::value(c.fleet ? c.fleet->settings.fleet : "off"), c.fleet ? file : "default"},
    };
    rows.push_back({"copies", json::value(c.copies ? std::to_string(c.copies->settings.copies) : "off"),
                    c.copies ? file : "default"});
    if (c.copies) {
      rows.push_back({"copies_bind", json::value(to_text(c.copies->bind)), file});
      rows.push_back({"copies_disk_bytes", json::value(c.copies_disk), file});
    }
    if (c.fleet) {
      rows.push_back({"fleet_bind", json::value(to_text(c.fleet->bind)), file});
      rows.push_back({"fleet_advertise", json::value(to_text(c.fleet->advertise)), file});
      rows.push_back({"fleet_seeds", json::value(c.fleet->settings.seeds.size()), file});
    }
    if (as_json) {
      json::object all;
      for (const Row& r : rows) all[r.name] = {{"value", r.value}, {"from", r.from}};
      std::cout << json::serialize(all) << '\n';
      return;
    }
    for (const Row& r : rows) {
      const std::string value =
          r.value.is_string() ? std::string(r.value.as_string()) : json::serialize(r.value);
      std::printf("%-20s %-28s %s\n", r.name.c_str(), value.c_str(), r.from.c_str());
    }
  }
};

// ------------------------------------------------------------------------------------- second address

struct Call {
  std::string verb, id, admin, config;
  bool as_json = false;

  Endpoint address() const {
    if (!admin.empty()) return parse_endpoint(admin, "--admin");
    if (const std::string own = from_environment("PROXY_ADMIN_ADDR"); !own.empty()) {
      return parse_endpoint(own, "PROXY_ADMIN_ADDR");
    }
    const std::string path = config.empty() ? from_environment("PROXY_CONFIG") : config;
    if (path.empty())
      throw std::runtime_error("no second address: give --admin, --config or PROXY_ADMIN_ADDR");
    std::ifstream file(path, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (!file) throw std::runtime_error(path + ": can't be read");
    const Config c = parse_config(text, "");
    if (!c.admin) throw std::runtime_error(path + ": names no second address (admin_addr)");
    return *c.admin;
  }

  int operator()() const {
    if (id.find_first_of(" \r\n") != std::string::npos) throw std::runtime_error("an ID has no blanks");
    const Endpoint at = address();
    const std::string line = id.empty() ? verb : verb + " " + id;
    const std::optional<std::string> reply = ask_relay(at, line, kMostReply);
    const bool yes = reply && (*reply == "ACK" || reply->starts_with("ACK "));
    if (as_json) {
      json::object o{{"call", line}, {"address", text_of(at)}, {"answered", reply.has_value()}, {"ok", yes}};
      if (reply) o["reply"] = *reply;
      std::cout << json::serialize(o) << '\n';
    } else if (reply) {
      std::cout << *reply << '\n';
    } else {
      std::cerr << "myrtlegrade: nobody answers at " << at << '\n';
    }
    return !reply ? kNobody : yes ? 0 : kNo;
  }
};

// ---------------------------------------------------------------------------------------------- fleet

constexpr std::size_t kMostView = 4U << 20;  // bytes of a view

struct View : Call {
  std::vector<std::string> others;  // second addresses to hold side by side

  static json::object fetch(const Endpoint& at, const std::string& what = "FLEET") {
    const std::optional<std::string> reply = ask_relay(at, what, kMostView);
    if (!reply) throw Nobody{text_of(at)};
    if (!reply->starts_with("ACK ")) throw No{*reply};
    return json::parse(std::string_view(*reply).substr(4)).as_object();
  }
  struct Nobody {
    std::string at;
  };
  struct No {
    std::string why;
  };

  static std::string of(const json::object& o, const char* key) {
    const json::value& v = o.at(key);
    return v.is_string() ? std::string(v.as_string()) : json::serialize(v);
  }
  static std::string stamp(const json::object& m) {
    return of(m, "state") + " " + of(m, "incarnation") + "." + of(m, "revision");
  }

  static void show(const json::object& v) {
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

  // Members that are not the same to all: by member, then by who says what.
  int diff() const {
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
      const bool same = by.size() == who.size() && std::ranges::all_of(by, [&](const auto& s) {
                          return s.second == by.begin()->second;
                        });
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
    return all.empty() ? 0 : kNo;
  }

  static void show_copies(const json::object& v) {
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

  int operator()() const {
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
    } catch (const Nobody& n) {
      std::cerr << "myrtlegrade: nobody answers at " << n.at << '\n';
      return kNobody;
    } catch (const No& n) {
      std::cerr << n.why << '\n';
      return kNo;
    }
  }
};

// -------------------------------------------------------------------------------------------- journal

struct Look {
  std::string folder;
  bool as_json = false;

  // Bodies and keys are the clients' own: they are counted, never shown.
  static json::object of(const StoredMessage& m) {
    json::array attempts;
    for (const StoredAttempt& a : m.attempts) {
      attempts.push_back({{"host", a.host},
                          {"zone", a.zone},
                          {"may_have_run", a.may_have_run},
                          {"sent_us", a.sent.wall.time_since_epoch().count()}});
    }
    return {{"id", m.id},
            {"class", m.cls},
            {"dest", m.destination},
            {"body_bytes", m.body.size()},
            {"deadline_us", m.deadline.wall.time_since_epoch().count()},
            {"attempts", std::move(attempts)}};
  }

  static json::object of(const JournalView& v) {
    json::object o{{"bytes", v.bytes},
                   {"format", v.format},
                   {"messages", v.messages.size()},
                   {"notices", v.notices.size()},
                   {"banned", json::array(v.banned.begin(), v.banned.end())}};
    json::object records;
    for (const auto& [kind, count] : v.records) records[kind] = count;
    o["records"] = std::move(records);
    if (v.damage) {
      o["damage"] = {{"at", v.damage->at},
                     {"bytes", v.damage->behind},
                     {"torn", v.damage->torn},
                     {"what", v.damage->what}};
    }
    return o;
  }

  static int status(const JournalView& v) { return v.damage ? kNo : 0; }

  static void tell_damage(const JournalView& v) {
    if (!v.damage) return;
    std::printf("byte %llu: %s; %llu bytes from there on are not read%s\n",
                static_cast<unsigned long long>(v.damage->at), v.damage->what.c_str(),
                static_cast<unsigned long long>(v.damage->behind),
                v.damage->torn ? " (a start cuts them off; a living relay may be writing them)" : "");
  }

  int show() const {
    const JournalView v = view_journal(folder);
    for (const StoredMessage& m : v.messages) {
      if (as_json) {
        std::cout << json::serialize(of(m)) << '\n';
        continue;
      }
      std::printf("%s class %s dest %llu, %zu bytes, %zu attempts\n",
                  json::serialize(json::value(m.id)).c_str(), json::serialize(json::value(m.cls)).c_str(),
                  static_cast<unsigned long long>(m.destination), m.body.size(), m.attempts.size());
      for (const StoredAttempt& a : m.attempts) {
        std::printf("  to %s, %s\n", json::serialize(json::value(a.host)).c_str(),
                    a.may_have_run ? "may have run" : "never ran");
      }
    }
    if (!as_json) tell_damage(v);
    return status(v);
  }

  int verify() const {
    const JournalView v = view_journal(folder);
    if (as_json) {
      std::cout << json::serialize(of(v)) << '\n';
    } else if (v.damage) {
      tell_damage(v);
    } else {
      std::printf("whole: %llu bytes, format %llu\n", static_cast<unsigned long long>(v.bytes),
                  static_cast<unsigned long long>(v.format));
    }
    return status(v);
  }

  int stats() const {
    const JournalView v = view_journal(folder);
    if (as_json) {
      std::cout << json::serialize(of(v)) << '\n';
      return status(v);
    }
    std::printf("%llu bytes, format %llu; %zu messages owed, %zu notices, %zu endpoints out by hand\n",
                static_cast<unsigned long long>(v.bytes), static_cast<unsigned long long>(v.format),
                v.messages.size(), v.notices.size(), v.banned.size());
    for (const auto& [kind, count] : v.records) {
      std::printf("  %-15s %llu\n", kind.c_str(), static_cast<unsigned long long>(count));
    }
    tell_damage(v);
    return status(v);
  }
};

void add_call(CLI::App& app, int& status, const char* name, const char* verb, const char* what,
              bool with_id) {
  CLI::App* sub = app.add_subcommand(name, what);
  const auto call = std::make_shared<Call>();
  call->verb = verb;
  if (with_id) sub->add_option("ID", call->id, "The endpoint's id, as discovery has it")->required();
  sub->add_option("--admin", call->admin,
                  "Second address, as 127.0.0.1:7171; else PROXY_ADMIN_ADDR, else the configuration's");
  sub->add_option("--config", call->config, "Configuration that names it; else PROXY_CONFIG");
  sub->add_flag("--json", call->as_json, "Print one JSON object");
  sub->callback([call, &status] { status = (*call)(); });
}

}  // namespace

int run_commands(int argc, const char* const* argv, const std::function<int()>& serve) {
  CLI::App app{"One relay: takes messages on, holds them, and delivers each to an endpoint of its partner.",
               "myrtlegrade"};
  app.footer(
      "Without a command it is a relay, with PROXY_CONFIG and PROXY_STATE from the environment, as `run` "
      "is.\n"
      "Exit status: 0 done, 1 the answer is no, 2 bad usage or configuration, 3 nobody answers.");
  int status = 0;

  const auto check = std::make_shared<Check>();
  bool check_only = false;
  CLI::App* run = app.add_subcommand("run", "Be a relay until SIGTERM");
  run->add_option("--config", check->config, "Configuration (JSON); else PROXY_CONFIG");
  run->add_option("--state", check->state, "Folder that lasts; else PROXY_STATE");
  run->add_flag("--check", check_only, "Check the configuration, and exit");
  run->callback([&, check] {
    if (check_only) {
      status = (*check)();
      return;
    }
    if (!check->config.empty()) ::setenv("PROXY_CONFIG", check->config.c_str(), 1);
    if (!check->state.empty()) ::setenv("PROXY_STATE", check->state.c_str(), 1);
    status = serve();
  });

  const auto look_at = std::make_shared<Check>();
  CLI::App* check_app =
      app.add_subcommand("check", "Read the configuration, and print what follows from it and from where");
  check_app->add_option("--config", look_at->config, "Configuration (JSON); else PROXY_CONFIG");
  check_app->add_option("--state", look_at->state, "Folder that lasts; else PROXY_STATE");
  check_app->add_flag("--json", look_at->as_json, "Print one JSON object");
  check_app->callback([look_at, &status] { status = (*look_at)(); });

  add_call(app, status, "status", "HEALTH", "Ask whether the relay can serve", false);
  add_call(app, status, "offline", "OFFLINE", "Take an endpoint out, whatever the list says", true);
  add_call(app, status, "online", "ONLINE", "Put an endpoint back", true);
  add_call(app, status, "leave", "LEAVE", "Empty the relay of clients", false);
  add_call(app, status, "join", "JOIN", "Take clients again", false);

  CLI::App* fleet =
      app.add_subcommand("fleet", "Show the fleet as one relay sees it, or where several differ");
  const auto add_view = [&](CLI::App* sub, const char* verb) {
    const auto view = std::make_shared<View>();
    view->verb = verb;
    sub->add_option("--admin", view->admin,
                    "Second address, as 127.0.0.1:7171; else PROXY_ADMIN_ADDR, else the configuration's");
    sub->add_option("--config", view->config, "Configuration that names it; else PROXY_CONFIG");
    sub->add_flag("--json", view->as_json, "Print one JSON object");
    return view;
  };
  const auto view = add_view(fleet, "FLEET");
  fleet->add_option("--diff", view->others, "Second addresses of relays whose views are held side by side")
      ->expected(2, 1000);
  fleet->callback([view, &status] { status = (*view)(); });

  CLI::App* copies = app.add_subcommand(
      "copies", "Show what a relay holds for others and they for it, and who may act on it");
  const auto copies_view = add_view(copies, "COPIES");
  copies->callback([copies_view, &status] { status = (*copies_view)(); });

  CLI::App* journal = app.add_subcommand(
      "journal", "Look at what a relay has taken on; only reads, beside a living relay too");
  journal->require_subcommand(1);
  const auto look = std::make_shared<Look>();
  const auto add_look = [&](const char* name, const char* what, int (Look::*then)() const) {
    CLI::App* sub = journal->add_subcommand(name, what);
    sub->add_option("FOLDER", look->folder, "The folder that lasts (PROXY_STATE)")->required();
    sub->add_flag("--json", look->as_json, "Print JSON");
    sub->callback([look, then, &status] { status = (look.get()->*then)(); });
  };
  add_look("show", "List the messages that are owed, without their bodies", &Look::show);
  add_look("verify", "Say whether it is whole, and where it is not", &Look::verify);
  add_look("stats", "Count what it holds", &Look::stats);

  app.add_subcommand("version", "Print the version")->callback([] {
    std::printf("myrtlegrade %s\n", VALEDRUM_VERSION);
  });
  return valedrum::run_command_line(app, argc, argv, status);
}

}  // namespace myrtlegrade
