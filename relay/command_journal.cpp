#include "command_journal.h"

#include <boost/json.hpp>
#include <cstdio>
#include <iostream>

#include "command_status.h"
#include "journal_view.h"

namespace myrtlegrade {

namespace json = boost::json;

namespace {

// Bodies and keys are private to the clients: only the size of a body is shown.
json::object to_json(const StoredMessage& m) {
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

json::object to_json(const JournalView& v) {
  json::object o{{"bytes", v.bytes},
                 {"format", v.format},
                 {"messages", v.messages.size()},
                 {"notices", v.notices.size()},
                 {"banned", json::array(v.disabled_hosts.begin(), v.disabled_hosts.end())}};
  json::object records;
  for (const auto& [kind, count] : v.records) records[kind] = count;
  o["records"] = std::move(records);
  if (v.damage) {
    o["damage"] = {{"at", v.damage->offset},
                   {"bytes", v.damage->unread_bytes},
                   {"torn", v.damage->torn},
                   {"what", v.damage->what}};
  }
  return o;
}

int exit_status(const JournalView& v) { return v.damage ? kNegativeResult : 0; }

void print_damage(const JournalView& v) {
  if (!v.damage) return;
  std::printf("byte %llu: %s; %llu bytes from there on are not read%s\n",
              static_cast<unsigned long long>(v.damage->offset), v.damage->what.c_str(),
              static_cast<unsigned long long>(v.damage->unread_bytes),
              v.damage->torn ? " (a start cuts them off; a living relay may be writing them)" : "");
}

}  // namespace

int JournalCommand::show() const {
  const JournalView v = view_journal(folder);
  for (const StoredMessage& m : v.messages) {
    if (as_json) {
      std::cout << json::serialize(to_json(m)) << '\n';
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
  if (!as_json) print_damage(v);
  return exit_status(v);
}

int JournalCommand::verify() const {
  const JournalView v = view_journal(folder);
  if (as_json) {
    std::cout << json::serialize(to_json(v)) << '\n';
  } else if (v.damage) {
    print_damage(v);
  } else {
    std::printf("whole: %llu bytes, format %llu\n", static_cast<unsigned long long>(v.bytes),
                static_cast<unsigned long long>(v.format));
  }
  return exit_status(v);
}

int JournalCommand::stats() const {
  const JournalView v = view_journal(folder);
  if (as_json) {
    std::cout << json::serialize(to_json(v)) << '\n';
    return exit_status(v);
  }
  std::printf("%llu bytes, format %llu; %zu messages owed, %zu notices, %zu endpoints out by hand\n",
              static_cast<unsigned long long>(v.bytes), static_cast<unsigned long long>(v.format),
              v.messages.size(), v.notices.size(), v.disabled_hosts.size());
  for (const auto& [kind, count] : v.records) {
    std::printf("  %-15s %llu\n", kind.c_str(), static_cast<unsigned long long>(count));
  }
  print_damage(v);
  return exit_status(v);
}

}  // namespace myrtlegrade
