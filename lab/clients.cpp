#include "clients.h"

#include <algorithm>

namespace valedrum::lab {

std::uint32_t Clients::add(const Arrival& arrival) {
  requests_.push_back({arrival.at, arrival.cls, arrival.partner, arrival.relay});
  ++result.requests;
  ledger_.asked(arrival.at, arrival.cls, arrival.relay);
  return static_cast<std::uint32_t>(requests_.size() - 1);
}

Time Clients::until(std::uint32_t request) const {
  const Request& r = requests_[request];
  return r.first + span(day_->scenario.classes[r.cls].deadline);
}

std::optional<Duration> Clients::refused(std::uint32_t request, Duration hint, Time now) {
  ++second.refused;
  ++result.refused;
  Request& r = requests_[request];
  if (r.over) return std::nullopt;
  const ClientSpec& c = day_->scenario.clients;
  const Duration own = span(random_.between(c.own_wait));
  const bool heeds = random_.chance(c.heeds) && hint > Duration{};
  const Duration wait = heeds ? std::min(hint, span(day_->scenario.fleet.max_wait_hint)) : own;
  r.over = r.tries > c.retries || now + wait >= until(request);
  return r.over ? std::nullopt : std::optional(wait);
}

std::optional<Duration> Clients::patience(std::uint32_t request) {
  if (!random_.chance(day_->scenario.clients.impatient)) return std::nullopt;
  return span(random_.unit() * day_->scenario.classes[requests_[request].cls].deadline);
}

void Clients::failed(std::uint32_t request, bool unsent, Time now) {
  Request& r = requests_[request];
  if (std::exchange(r.over, true)) return;
  ++second.failed;
  ++result.failed;
  if (unsent) ++result.unsent;
  if (now > r.first + span(day_->scenario.classes[r.cls].aim)) ++late_fails_;
}

void Clients::delivered(std::uint32_t request, Time now) {
  Request& r = requests_[request];
  if (std::exchange(r.over, true)) return;
  ++second.delivered;
  ++result.delivered;
  result.latencies[r.cls].add(seconds(now - r.first));
  second.latency += seconds(now - r.first);
  ledger_.served(r.first, r.cls, r.relay, ledger_.worth(r.first, r.cls, now));
}

double Clients::work(std::uint32_t request, std::uint32_t attempt, bool further) const {
  const Request& r = requests_[request];
  const PartnerSpec& partner = day_->partners[r.partner];
  const Range work = day_->scenario.classes[r.cls].work;
  const double at = static_cast<double>(mixed(mixed(day_->seed, request), attempt) >> 11) * 0x1.0p-53;
  const double share = further ? day_->scenario.kinds[partner.kind].item_cost : 1;
  return (work.low + (work.high - work.low) * at) * partner.pace * share;
}

void Clients::count(vetchhinge::Result outcome) {
  ++second.calls[static_cast<std::size_t>(outcome)];
  ++result.calls[static_cast<std::size_t>(outcome)];
}

RunResult Clients::close(const Checker& checker) {
  for (std::size_t i = 0; i < kRules; ++i) result.broken[i] = checker.count(static_cast<Rule>(i));
  result.breaches = checker.breaches();
  for (const Request& r : requests_) result.hand_ins += r.tries;
  ledger_.close(result, work_asked, work_wasted, late_fails_);
  return std::move(result);
}

}  // namespace valedrum::lab
