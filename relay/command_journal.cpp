#include "command_journal.h"

#include <boost/json.hpp>
#include <cstdio>
#include <iostream>

#include "command_status.h"
#include "journal_view.h"

namespace myrtlegrade {

namespace json = boost::json;

namespace {

// Bodies and keys are the clients' own: they are counted, never shown.
json::object of(const StoredMessage& m) {
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

json::object of(const JournalView& v) {
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

int status(const JournalView& v) { return v.damage ? kAnswerIsNo : 0; }

void tell_damage(const JournalView& v) {
  if (!v.damage) return;
  std::printf("byte %llu: %s; %llu bytes from there on are not read%s\n",
              static_cast<unsigned long long>(v.damage->at), v.damage->what.c_str(),
              static_cast<unsigned long long>(v.damage->behind),
              v.damage->torn ? " (a start cuts them off; a living relay may be writing them)" : "");
}

}  // namespace

int JournalCommand::show() const {
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

int JournalCommand::verify() const {
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

int JournalCommand::stats() const {
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

}  // namespace myrtlegrade
