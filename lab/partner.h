// What a partner does with the calls that reach it. Time and calls are arguments: the same model serves the
// emulator in virtual time and the stand-ins on sockets in real time.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "day.h"

namespace valedrum::lab {

enum class Health { up, refusing, silent, hung };

// What a cold endpoint of that capacity (calls a second) stands in `overload_for`, `since` its return: N
// calls that the settings allow it then, and for chance 2 x root of N and 2 more.
double cold_bound(const FleetSpec& fleet, double capacity, Duration since);

// One endpoint: workers, a bounded queue, and the ramp after an outage.
class Endpoint {
 public:
  Endpoint(const FleetSpec& fleet, double capacity, std::uint32_t workers, double depth);

  Health health() const { return health_; }
  // The number grows with each end of its process: calls that an earlier one had are gone.
  std::uint32_t incarnation() const { return incarnation_; }
  void set_health(Health health, Time now);
  // Back from an outage in which its process lived: it was shut, or failed its calls.
  void come_back(Time now);
  bool cold(Time now) const { return cold_since_ && now < *cold_since_ + span(fleet_->warm_after); }
  // Share of its capacity that it has at this moment.
  double ratio(Time now) const;
  double capacity(Time now) const { return health_ == Health::up ? capacity_ * ratio(now) / slow : 0; }
  // Seconds until a call that comes now would be begun.
  double queue(Time now) const;
  // When a call that comes now is done; nothing if the queue is full.
  std::optional<Time> serve(Time now, double work);
  // Counts what comes while it is cold: true if that is more than it stands, and it falls over.
  bool overloaded(Time now, double calls);
  // Calls that it stands at this moment before it falls over.
  double stands(Time now) const;

  double slow = 1;       // work takes so many times longer
  bool failing = false;  // answers 500 at once
  double spoilt = 0;     // share of answers that can't be read

 private:
  std::size_t serving(Time now) const;  // workers at work
  void forget_old(Time now);

  const FleetSpec* fleet_;
  double capacity_;
  double depth_;
  std::vector<Time> free_at_;
  Health health_ = Health::up;
  std::uint32_t incarnation_ = 0;
  std::optional<Time> cold_since_;
  std::deque<std::pair<Time, double>> came_;  // while cold, within the span of the rule
};

// What its endpoints share: the limit, and what answers tell of it.
class Partner {
 public:
  Partner(const Day& day, std::size_t index, std::uint64_t seed);

  // A call comes: whether the limit has room for it. A refused one may use the limit up too.
  bool admit(Time now);
  // Of a refusal that comes now, if it tells one.
  Duration wait(Time now);
  std::optional<vetchhinge::LimitReport> report(Time now);
  // Calls that it would take at once.
  double room(Time now);

  double lowered = 1;              // of the limit
  std::optional<Time> shut_until;  // turns everything away
  const PartnerSpec& spec() const { return *spec_; }

 private:
  double limit_rate() const { return spec_->limit_rate * lowered; }
  double depth() const { return std::max(1.0, limit_rate() * spec_->depth); }
  double most_in_window() const { return std::max(1.0, std::floor(limit_rate() * seconds(spec_->window))); }
  void refill(Time now);

  const PartnerSpec* spec_;
  const KindSpec* kind_;
  const FleetSpec* fleet_;
  Random random_;
  double tokens_ = 0;   // of the bucket
  double counted_ = 0;  // in this window
  Time at_{};           // of the bucket or the window's start
  vetchhinge::LimitReport report_;
  Time report_until_ = Time::min();
};

}  // namespace valedrum::lab
