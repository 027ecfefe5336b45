// Several runs side by side: each is one thread's alone, so what comes out does not depend on their number.
#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <vector>

#include "result.h"
#include "scenario.h"
#include "world.h"

namespace valedrum::lab {

// work(0) to work(count - 1), `jobs` side by side. Throws what one of them throws, once all others have
// ended.
void for_all(std::size_t count, unsigned jobs, const std::function<void(std::size_t)>& work,
             const std::function<void(std::size_t done)>& progress = {});

struct Play {
  Scenario scenario;
  std::uint64_t seed = 1;
  std::string policy = kProduct;  // as policy() takes it
};

// In the order of `plays`. Runs that were stopped early, or never begun, are marked as stopped. Throws what a
// play throws, once all others have ended.
std::vector<RunResult> play_all(const std::vector<Play>& plays, unsigned jobs, const std::atomic<bool>* stop,
                                const std::function<void(std::size_t done)>& progress = {});

}  // namespace valedrum::lab
