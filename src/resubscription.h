/// Timing of subscriptions to the list of hosts, for relays that have to request it. Discovery handles the
/// requests of all relays one after another, including those that the relay has abandoned. Simultaneous
/// requests, or immediate retries after a failure, would therefore overload it for good, so requests are
/// spread over a period that grows with the number of relays and with each failure. The next request is
/// always sent within `Settings::list_request_interval` of the last time at which data could have arrived,
/// early enough for an answer. Until then the relay keeps using the list that it has.
#pragma once

#include "vetchhinge/policy.h"

namespace vetchhinge {

/// `unit` is uniformly distributed in [0, 1).
Duration first_subscription_delay(const Settings& s, double unit);

/// `failures` is the number of consecutive failures before the last one; no data could arrive during
/// `silent_for`.
Duration next_subscription_delay(const Settings& s, int failures, Duration silent_for, double unit);

}  // namespace vetchhinge
