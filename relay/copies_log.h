// What a relay's log says of the exchange of copies, so that it can be told afterwards who held a message and
// who was asked for it. Lines at normal verbosity, bounded in rate, about ownership:
//
//   myrtlegrade: copies: heard ask from=n2 group=n4/17 epoch=2
//   myrtlegrade: copies: heard refuse from=n1 group=n4/17 epoch=1
//
// and, in a trace (message_trace.h), one line a message for each copy that is held here or that another one
// holds:
//
//   myrtlegrade trace 1234.567 9b1f03aa5c7e2d41 copy_held from=n4 body=1 epoch=1
//   myrtlegrade trace 1234.789 9b1f03aa5c7e2d41 copy_acknowledged by=n2
#pragma once

#include <string>

#include "copies/codec.h"
#include "event_log.h"

namespace myrtlegrade {

// To be called with each frame that has been read, before it is acted on.
void log_frame(EventLog& log, const std::string& from, const valedrum::copies::Frame& frame);

}  // namespace myrtlegrade
