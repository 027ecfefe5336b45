// When a relay that must ask for its list of hosts does so. Discovery works through the calls of all relays
// in turn, also those whose relay has given up: asked in step, or again as soon as a call has failed, it
// falls behind for good. So the moments of asking are spread over a span that grows with the number of
// relays, and with each failure. The list known so far serves meanwhile.
#pragma once

#include "vetchhinge/policy.h"

namespace vetchhinge {

// `unit` is drawn evenly from 0 to 1.
Duration first_ask(const Settings& s, double unit);

// After so many failures in a row before the last one.
Duration next_ask(const Settings& s, int failures, double unit);

}  // namespace vetchhinge
