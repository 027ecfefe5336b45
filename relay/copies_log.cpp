#include "copies_log.h"

#include <sstream>
#include <string_view>

#include "message_trace.h"

namespace myrtlegrade {

namespace copies = valedrum::copies;

namespace {

std::string_view name_of(copies::GroupMessageKind kind) {
  constexpr std::string_view names[] = {"append", "ack", "ask", "vote", "refuse"};
  return names[static_cast<std::size_t>(kind)];
}

void log_ownership(EventLog& log, const std::string& from, const copies::Envelope& word) {
  if (!log.allow_line()) return;
  std::ostringstream text;
  text << name_of(word.message.kind) << " from=" << from << " group=" << word.group.origin << '/'
       << word.group.number << " epoch=" << word.message.epoch;
  log.write("heard", text.str());
}

void trace_copies(const std::string& from, const copies::Envelope& word) {
  for (const auto& [id, item] : word.message.items) {
    if (word.message.kind == copies::GroupMessageKind::ack) {
      MessageTrace::event(id, "copy_acknowledged", "by", from);
    } else {
      MessageTrace::event(id, "copy_held", "from", from, "body", item.payload != nullptr, "epoch",
                          word.message.epoch);
    }
  }
}

}  // namespace

void log_frame(EventLog& log, const std::string& from, const copies::Frame& frame) {
  for (const copies::Envelope& word : frame.envelopes) {
    const copies::GroupMessageKind kind = word.message.kind;
    const bool ownership = kind == copies::GroupMessageKind::vote_request ||
                           kind == copies::GroupMessageKind::vote || kind == copies::GroupMessageKind::reject;
    if (ownership) log_ownership(log, from, word);
    if (!ownership && MessageTrace::enabled()) trace_copies(from, word);
  }
}

}  // namespace myrtlegrade
