#include "copies_log.h"

#include <sstream>
#include <string_view>

#include "message_trace.h"

namespace myrtlegrade {

namespace copies = valedrum::copies;

namespace {

std::string_view name_of(copies::Kind kind) {
  constexpr std::string_view names[] = {"append", "ack", "ask", "vote", "refuse"};
  return names[static_cast<std::size_t>(kind)];
}

void log_ownership(EventLog& log, const std::string& from, const copies::Word& word) {
  if (!log.allow_line()) return;
  std::ostringstream text;
  text << name_of(word.say.kind) << " from=" << from << " group=" << word.group.origin << '/'
       << word.group.number << " epoch=" << word.say.epoch;
  log.write("heard", text.str());
}

void trace_copies(const std::string& from, const copies::Word& word) {
  for (const auto& [id, item] : word.say.items) {
    if (word.say.kind == copies::Kind::ack) {
      MessageTrace::event(id, "copy_acknowledged", "by", from);
    } else {
      MessageTrace::event(id, "copy_held", "from", from, "body", item.payload != nullptr, "epoch",
                          word.say.epoch);
    }
  }
}

}  // namespace

void log_frame(EventLog& log, const std::string& from, const copies::Frame& frame) {
  for (const copies::Word& word : frame.words) {
    const copies::Kind kind = word.say.kind;
    const bool ownership =
        kind == copies::Kind::ask || kind == copies::Kind::vote || kind == copies::Kind::refuse;
    if (ownership) log_ownership(log, from, word);
    if (!ownership && MessageTrace::enabled()) trace_copies(from, word);
  }
}

}  // namespace myrtlegrade
