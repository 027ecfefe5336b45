#include "copies_log.h"

#include <sstream>
#include <string_view>

#include "message_trace.h"

namespace myrtlegrade {

namespace copies = valedrum::copies;

namespace {

// Returns the outer word of `kind` in log lines.
std::string_view name_of(copies::GroupMessageKind kind) {
  constexpr std::string_view names[] = {"append", "ack", "ask", "vote", "refuse"};
  return names[static_cast<std::size_t>(kind)];
}

void log_ownership(EventLog& log, const std::string& from, const copies::Envelope& envelope) {
  if (!log.allow_line()) return;
  std::ostringstream text;
  text << name_of(envelope.message.kind) << " from=" << from << " group=" << envelope.group.origin << '/'
       << envelope.group.number << " epoch=" << envelope.message.epoch;
  log.write("heard", text.str());
}

void trace_copies(const std::string& from, const copies::Envelope& envelope) {
  for (const auto& [id, item] : envelope.message.items) {
    if (envelope.message.kind == copies::GroupMessageKind::ack) {
      MessageTrace::event(id, "copy_acknowledged", "by", from);
    } else {
      MessageTrace::event(id, "copy_held", "from", from, "body", item.payload != nullptr, "epoch",
                          envelope.message.epoch);
    }
  }
}

}  // namespace

void log_frame(EventLog& log, const std::string& from, const copies::Frame& frame) {
  for (const copies::Envelope& envelope : frame.envelopes) {
    const copies::GroupMessageKind kind = envelope.message.kind;
    const bool ownership = kind == copies::GroupMessageKind::vote_request ||
                           kind == copies::GroupMessageKind::vote || kind == copies::GroupMessageKind::reject;
    if (ownership) log_ownership(log, from, envelope);
    if (!ownership && MessageTrace::enabled()) trace_copies(from, envelope);
  }
}

}  // namespace myrtlegrade
