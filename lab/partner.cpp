#include "partner.h"

#include <algorithm>
#include <cmath>

namespace valedrum::lab {
namespace {

// Share of its capacity that an endpoint has so long after its return.
double warmed(const FleetSpec& fleet, Duration since) {
  const double warm = std::clamp(seconds(since) / fleet.warm_after, 0.0, 1.0);
  return fleet.start_capacity + (1 - fleet.start_capacity) * warm;
}

}  // namespace

double cold_bound(const FleetSpec& fleet, double capacity, Duration since) {
  const double allowed = fleet.overload_factor * capacity * warmed(fleet, since) * fleet.overload_for;
  constexpr double kFew = 30;  // calls under which the rule leaves more slack
  return allowed < kFew ? allowed + 3 * std::sqrt(allowed) + 3 : allowed + 2 * std::sqrt(allowed) + 2;
}

Endpoint::Endpoint(const FleetSpec& fleet, double capacity, std::uint32_t workers, double depth)
    : fleet_(&fleet), capacity_(capacity), depth_(depth), free_at_(workers, Time::min()) {}

void Endpoint::set_health(Health health, Time now) {
  if (health == health_) return;
  if (health == Health::up) cold_since_ = now;
  if (health != Health::up) {
    ++incarnation_;
    std::ranges::fill(free_at_, Time::min());
  }
  came_.clear();
  health_ = health;
}

void Endpoint::come_back(Time now) {
  if (health_ != Health::up) return;
  cold_since_ = now;
  came_.clear();
}

double Endpoint::ratio(Time now) const { return cold(now) ? warmed(*fleet_, now - *cold_since_) : 1; }

std::size_t Endpoint::serving(Time now) const {
  const double at_work = ratio(now) * static_cast<double>(free_at_.size());
  return std::max<std::size_t>(1, static_cast<std::size_t>(at_work));
}

double Endpoint::queue(Time now) const {
  const auto free =
      std::min_element(free_at_.begin(), free_at_.begin() + static_cast<std::ptrdiff_t>(serving(now)));
  return *free <= now ? 0 : seconds(*free - now);
}

std::optional<Time> Endpoint::serve(Time now, double work) {
  const std::size_t serving_now = serving(now);
  const auto free =
      std::min_element(free_at_.begin(), free_at_.begin() + static_cast<std::ptrdiff_t>(serving_now));
  const Time begins = std::max(now, *free);
  if (seconds(begins - now) > depth_) return std::nullopt;
  // Where less than one worker is left, that one is slower.
  const double share = std::min(1.0, ratio(now) * static_cast<double>(free_at_.size()));
  return *free = begins + span(work * slow / share);
}

void Endpoint::forget_old(Time now) {
  while (!came_.empty() && came_.front().first + span(fleet_->overload_for) < now) came_.pop_front();
}

double Endpoint::stands(Time now) const {
  double came = 0;
  for (const auto& [at, calls] : came_) came += at + span(fleet_->overload_for) < now ? 0 : calls;
  return cold_bound(*fleet_, capacity_, cold_since_ ? now - *cold_since_ : span(fleet_->warm_after)) - came;
}

bool Endpoint::overloaded(Time now, double calls) {
  if (!cold(now)) {
    came_.clear();
    return false;
  }
  forget_old(now);
  came_.emplace_back(now, calls);
  return stands(now) < 0;
}

Partner::Partner(const Day& day, std::size_t index, std::uint64_t seed)
    : spec_(&day.partners[index]),
      kind_(&day.scenario.kinds[spec_->kind]),
      fleet_(&day.scenario.fleet),
      random_(seed, 1000 + index),
      tokens_(depth()) {}

void Partner::refill(Time now) {
  if (spec_->limit == Limit::window) {
    const auto started = Time(now.time_since_epoch() / spec_->window * spec_->window);
    if (started > at_) counted_ = 0;
    at_ = started;
  } else {
    tokens_ = std::min(depth(), tokens_ + seconds(now - at_) * limit_rate());
    at_ = now;
  }
}

double Partner::room(Time now) {
  if (shut_until && now < *shut_until) return 0;
  if (spec_->limit == Limit::none) return 1e9;
  refill(now);
  return std::max(0.0, std::floor(spec_->limit == Limit::window ? most_in_window() - counted_ : tokens_));
}

bool Partner::admit(Time now) {
  if (shut_until && now < *shut_until) return false;
  if (spec_->limit == Limit::none) return true;
  const bool admitted = room(now) >= 1;
  if (!admitted && !spec_->refused_count) return false;
  if (spec_->limit == Limit::window) ++counted_;
  // What is refused uses up a bucket that is empty: it owes no more than it holds.
  if (spec_->limit == Limit::rate) tokens_ = std::max(tokens_ - 1, -depth());
  return admitted;
}

Duration Partner::wait(Time now) {
  if (!random_.chance(spec_->tells_wait)) return Duration{};
  if (shut_until && now < *shut_until) return *shut_until - now;
  if (spec_->limit == Limit::window) return at_ + spec_->window - now;
  const double until_room = limit_rate() > 0 ? std::max(0.0, 1 - tokens_) / limit_rate() : 0;
  return span(std::max(until_room, random_.between(kind_->wait)));
}

// Refreshed now and then, so what is told is late, and a little noisy.
std::optional<vetchhinge::LimitReport> Partner::report(Time now) {
  if (!fleet_->reports) return std::nullopt;
  if (now < report_until_) return report_;
  report_until_ = now + span(random_.between(fleet_->report_every));
  if (spec_->limit == Limit::none) return report_ = {};
  const double whole = spec_->limit == Limit::window ? most_in_window() : depth();
  const double noise = 1 + fleet_->report_noise * (2 * random_.unit() - 1);
  report_.share_left = std::clamp(room(now) / whole * noise, 0.0, 1.0);
  report_.calls_per_second = limit_rate();
  return report_;
}

}  // namespace valedrum::lab
