// What clients want to send on a day: drawn ahead of all answers, so every policy gets the same.
#pragma once

#include <optional>
#include <vector>

#include "day.h"

namespace valedrum::lab {

struct Arrival {
  Time at{};
  std::uint32_t cls = 0, partner = 0, relay = 0;
};

class Traffic {
 public:
  explicit Traffic(const Day& day);

  // In order of time; nothing after the end of the day.
  std::optional<Arrival> next();

 private:
  // Draws places by weight in constant time (Walker's alias method).
  class Alias {
   public:
    Alias() = default;
    explicit Alias(const std::vector<double>& weights);
    std::uint32_t draw(Random& random) const;

   private:
    std::vector<double> keep_;
    std::vector<std::uint32_t> other_;
  };

  double crowd(Time at) const;
  std::uint32_t relay(Time at);
  Arrival arrival(Time at, std::uint32_t partner);
  void draw_single();
  void draw_clump(std::uint32_t partner, Time after);

  const Day& day_;
  Random random_;
  Alias relays_, partners_, classes_;
  Arrival single_;               // the next of the steady stream
  std::vector<Time> clumps_;     // the next of each partner; Time::max() where it has none
  std::vector<Arrival> coming_;  // of clumps that have begun, the soonest last
};

}  // namespace valedrum::lab
