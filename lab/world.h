// Plays one day with one policy, in virtual time.
#pragma once

#include <atomic>
#include <functional>

#include "day.h"
#include "policy.h"
#include "result.h"

namespace valedrum::lab {

struct PlayOptions {
  std::string policy = kProduct;                    // its name in the result
  bool caps = false;                                // sample them each second, where the policy tells them
  std::function<void(const Observation&)> watch{};  // sees all that happens
  std::function<void(double)> progress{};           // share of the day that is over, each second of it
  const std::atomic<bool>* stop = nullptr;          // ends the day early once set
};

RunResult play(const Day& day, const PolicyMaker& maker, const PlayOptions& options = {});

}  // namespace valedrum::lab
