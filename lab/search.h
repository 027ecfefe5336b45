// Seeks the day on which a policy does worst against the oracle, or breaks a rule, and makes it small.
#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>

#include "plays.h"

namespace valedrum::lab {

struct Finding {
  Scenario scenario;  // with single figures for ranges
  std::uint64_t seed = 0;
  double loss = 0;                   // the oracle's G over the policy's
  std::string rule;                  // that is broken; empty where none is
  std::size_t runs = 0, broken = 0;  // days played, and those with a broken rule
};

struct SearchOptions {
  std::string policy = kProduct;
  std::size_t runs = 100;  // days drawn, before what is found is made small
  std::uint64_t seed = 1;
  unsigned jobs = 1;
  // Where they are given, each day draws from them evenly by ratio: how many relays, and calls a second that
  // a partner gets in the mean at full load.
  std::optional<Range> relays, rate;
  const std::atomic<bool>* stop = nullptr;
  std::function<void(std::size_t, const std::optional<Finding>&)> progress{};
};

// The worst; nothing if it was stopped before the first. A broken rule is worse than any loss.
std::optional<Finding> search(const Scenario& base, const SearchOptions& options);

}  // namespace valedrum::lab
