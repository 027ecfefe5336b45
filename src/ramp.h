// What limits calls a second where a cap alone does not: the pace of a lane after a refusal, and the budget
// of a cold host.
#pragma once

#include "records.h"

namespace vetchhinge {

constexpr Duration kRateLeast = std::chrono::seconds(2);  // least time over which a rate is taken (ours)

double pace_floor(Lane& l, Time now);

// A refusal's share: the pace falls, once for calls that were out together.
void cut_pace(Lane& l, const Call& call, bool cold, Time now);

void refill_pace(Lane& l, Time now);

// A returning host gets what the settings say it can surely take, in terms of what it took before: its usual
// rate is under its capacity, so that rate's share at start, grown to the whole over the warm-up, stays under
// what it can do at that moment, however many relays do the same.
void refill_budget(Host& h, Lane& l, const Settings& s, Time now);

}  // namespace vetchhinge
