#include "traffic.h"

#include <algorithm>

namespace valedrum::lab {
namespace {

constexpr std::uint64_t kStream = 20;

template <typename Specs>
std::vector<double> shares(const Specs& specs) {
  std::vector<double> all;
  for (const auto& spec : specs) all.push_back(spec.share);
  return all;
}

}  // namespace

Traffic::Alias::Alias(const std::vector<double>& weights) : keep_(weights.size(), 1), other_(weights.size()) {
  double sum = 0;
  for (const double w : weights) sum += w;
  std::vector<double> scaled;
  std::vector<std::uint32_t> small, large;
  for (std::uint32_t i = 0; i < weights.size(); ++i) {
    scaled.push_back(weights[i] / sum * static_cast<double>(weights.size()));
    other_[i] = i;
    (scaled[i] < 1 ? small : large).push_back(i);
  }
  while (!small.empty() && !large.empty()) {
    const std::uint32_t s = small.back(), l = large.back();
    small.pop_back();
    keep_[s] = scaled[s];
    other_[s] = l;
    scaled[l] -= 1 - scaled[s];
    if (scaled[l] >= 1) continue;
    large.pop_back();
    small.push_back(l);
  }
}

std::uint32_t Traffic::Alias::draw(Random& random) const {
  const std::uint32_t at = random.below(static_cast<std::uint32_t>(keep_.size()));
  return random.unit() < keep_[at] ? at : other_[at];
}

Traffic::Traffic(const Day& day)
    : day_(day),
      random_(day.seed, kStream),
      relays_(shares(day.relays)),
      partners_(shares(day.partners)),
      classes_(shares(day.scenario.classes)),
      clumps_(day.partners.size(), Time::max()) {
  draw_single();
  for (std::uint32_t p = 0; p < day.partners.size(); ++p) draw_clump(p, Time{});
}

double Traffic::crowd(Time at) const {
  double factor = 1;
  for (const Fault& f : day_.faults) {
    if (f.kind == FaultKind::crowd && at >= f.at && at < f.at + f.lasts) factor *= f.size;
  }
  return factor;
}

std::uint32_t Traffic::relay(Time at) {
  const std::uint32_t usual = relays_.draw(random_);
  const double luck = random_.unit();
  for (const Fault& f : day_.faults) {
    if (f.kind == FaultKind::hot && at >= f.at && at < f.at + f.lasts && luck < f.size)
      return f.targets.front();
  }
  return usual;
}

Arrival Traffic::arrival(Time at, std::uint32_t partner) {
  return {at, classes_.draw(random_), partner, relay(at)};
}

void Traffic::draw_single() {
  const double rate = day_.full_rate * day_.load * crowd(single_.at) * (1 - day_.scenario.clients.clumps);
  const Time at = rate > 0 ? single_.at + span(random_.exponential(1 / rate)) : Time::max();
  single_ = arrival(at, partners_.draw(random_));
}

void Traffic::draw_clump(std::uint32_t partner, Time after) {
  const PartnerSpec& p = day_.partners[partner];
  const ClientSpec& c = day_.scenario.clients;
  const double takes = p.limit == Limit::none ? p.capacity : p.limit_rate;
  const double size = takes * (c.clump.low + c.clump.high) / 2;
  const double rate = p.full_rate * day_.load * crowd(after) * c.clumps / std::max(1.0, size);
  if (rate > 0) clumps_[partner] = after + span(random_.exponential(1 / rate));
}

std::optional<Arrival> Traffic::next() {
  for (;;) {
    const auto clump = std::ranges::min_element(clumps_);
    const Time soonest = std::min(single_.at, coming_.empty() ? Time::max() : coming_.back().at);
    if (*clump < soonest) {  // it begins: as many as the partner takes in some seconds
      const Time at = *clump;
      const auto partner = static_cast<std::uint32_t>(clump - clumps_.begin());
      const PartnerSpec& p = day_.partners[partner];
      const double takes = p.limit == Limit::none ? p.capacity : p.limit_rate;
      const auto size = std::max(1L, std::lround(takes * random_.between(day_.scenario.clients.clump)));
      for (long i = 0; i < size; ++i) {
        coming_.push_back(arrival(at + span(random_.unit() * day_.scenario.clients.clump_spread), partner));
      }
      std::ranges::stable_sort(coming_, std::greater<>(), &Arrival::at);
      draw_clump(partner, at);
      continue;
    }
    if (soonest >= day_.end()) return std::nullopt;
    Arrival next = single_;
    if (!coming_.empty() && coming_.back().at <= single_.at) {
      next = coming_.back();
      coming_.pop_back();
    } else {
      draw_single();
    }
    return next;
  }
}

}  // namespace valedrum::lab
