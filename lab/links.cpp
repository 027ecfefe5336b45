#include "links.h"

#include <algorithm>

namespace valedrum::lab {

namespace {

constexpr Duration kMostWait = std::chrono::seconds(2);  // on a throttled way

}  // namespace

bool Links::concerns(FaultKind kind) {
  return (kind >= FaultKind::split && kind <= FaultKind::link_garbage) || kind == FaultKind::zone_cut;
}

bool Links::cut(std::uint32_t from, std::uint32_t to) const {
  return std::ranges::any_of(active_, [&](const Fault* f) {
    if (f->kind == FaultKind::split) {
      const auto part = [&](std::uint32_t r) -> std::uint32_t {
        if (std::ranges::find(f->targets, r) != f->targets.end()) return 0;
        return f->size < 3 ? 1 : 1 + r % 2;
      };
      return part(from) != part(to) && (!f->one_way || part(from) == 0);
    }
    if (f->kind == FaultKind::links) {
      if (f->one_way && from < to) return false;
      const std::uint64_t pair =
          mixed(mixed(day_.seed, static_cast<std::uint64_t>(f->at.time_since_epoch().count())),
                mixed(std::min(from, to), std::max(from, to)));
      return static_cast<double>(pair >> 11) * 0x1p-53 < f->size;
    }
    if (f->kind == FaultKind::zone_cut) {
      const std::uint32_t a = day_.relays[from].zone, b = day_.relays[to].zone;
      return a != b && (a == f->targets.front() || (!f->one_way && b == f->targets.front()));
    }
    return false;
  });
}

double Links::sum(FaultKind kind) const {
  double all = 0;
  for (const Fault* f : active_) all += f->kind == kind ? f->size : 0;
  return all;
}

Duration Links::queued(std::uint32_t from, std::uint32_t to, std::size_t bytes, Time now) {
  const double rate = sum(FaultKind::link_throttle);
  if (rate <= 0) return {};
  Time& busy = busy_[{from, to}];
  busy = std::max(busy, now) + span(static_cast<double>(bytes) / rate);
  return busy - now;
}

Links::Fate Links::of_datagram(std::uint32_t from, std::uint32_t to, std::size_t bytes, Time now) {
  Fate f;
  const double loss = day_.scenario.network.loss;
  f.lost = cut(from, to) || (loss > 0 && random_.chance(loss));
  if (active_.empty()) return f;
  f.lost = f.lost || random_.chance(sum(FaultKind::link_loss));
  const Duration waits = queued(from, to, bytes, now);
  f.lost = f.lost || waits > kMostWait;
  f.delay = slow() + waits;
  f.twice = random_.chance(sum(FaultKind::link_twice));
  if (f.twice) f.again = span(random_.exponential(1));
  f.spoilt = random_.chance(sum(FaultKind::link_garbage));
  return f;
}

std::string Links::spoil(std::string bytes) {
  switch (random_.below(5)) {
    case 0:
      bytes.resize(random_.below(static_cast<std::uint32_t>(bytes.size())));
      break;
    case 1:
      bytes[random_.below(static_cast<std::uint32_t>(bytes.size()))] ^=
          static_cast<char>(1 + random_.below(255));
      break;
    case 2:
      bytes[2] = static_cast<char>(2);
      break;
    case 3:
      bytes.append(3000, 'x');
      break;
    default:
      for (char& c : bytes) c = static_cast<char>(random_.below(256));
  }
  return bytes;
}

bool Links::breaks_stream() { return !active_.empty() && random_.chance(sum(FaultKind::link_loss)); }

Duration Links::slow() const { return span(sum(FaultKind::link_slow)); }

Duration Links::way(std::uint32_t from, std::uint32_t to) {
  const double own = day_.latency[day_.relays[from].zone][day_.relays[to].zone];
  return span(own * std::max(0.1, 1 + day_.scenario.network.jitter * random_.normal()));
}

}  // namespace valedrum::lab
