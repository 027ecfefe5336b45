// Log lines about the exchange of copies. They show afterwards which relays stored a message and which were
// asked for its ownership. At normal verbosity, limited in rate, there are lines about ownership:
//
//   myrtlegrade: copies: heard ask from=n2 group=n4/17 epoch=2
//   myrtlegrade: copies: heard refuse from=n1 group=n4/17 epoch=1
//
// With message tracing (message_trace.h) there is one line per message for each copy that this relay stores
// or that another relay acknowledges:
//
//   myrtlegrade trace 1234.567 9b1f03aa5c7e2d41 copy_held from=n4 body=1 epoch=1
//   myrtlegrade trace 1234.789 9b1f03aa5c7e2d41 copy_acknowledged by=n2
#pragma once

#include <string>

#include "copies/codec.h"
#include "event_log.h"

namespace myrtlegrade {

// Logs a received frame. Must be called before the frame is processed.
void log_frame(EventLog& log, const std::string& from, const valedrum::copies::Frame& frame);

}  // namespace myrtlegrade
