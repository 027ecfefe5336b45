// When a relay that must ask for its list of hosts does so. Discovery works through the calls of all relays
// in turn, also those whose relay has given up: asked in step, or again as soon as a call has failed, it
// falls behind for good. So the moments of asking are spread over a span that grows with the number of
// relays, and with each failure. Whatever became of a call, the next one is out within
// `Settings::list_request_interval` of the last moment in which something could be heard, and leaves time for
// an answer. The list known so far serves meanwhile.
#pragma once

#include "vetchhinge/policy.h"

namespace vetchhinge {

// `unit` is drawn evenly from 0 to 1.
Duration first_ask(const Settings& s, double unit);

// After so many failures in a row before the last one; nothing could be heard for `unheard`.
Duration next_ask(const Settings& s, int failures, Duration unheard, double unit);

}  // namespace vetchhinge
