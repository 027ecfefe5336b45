#include "plays.h"

#include <algorithm>
#include <exception>
#include <mutex>
#include <thread>

namespace valedrum::lab {

void for_all(std::size_t count, unsigned jobs, const std::function<void(std::size_t)>& work,
             const std::function<void(std::size_t done)>& progress) {
  std::atomic<std::size_t> next = 0;
  std::size_t done = 0;
  std::mutex mutex;
  std::exception_ptr failure;
  const auto take = [&] {
    for (std::size_t i = next++; i < count; i = next++) {
      try {
        work(i);
      } catch (...) {
        const std::scoped_lock lock(mutex);
        failure = std::current_exception();
      }
      const std::scoped_lock lock(mutex);
      ++done;
      if (progress) progress(done);
    }
  };
  {
    std::vector<std::jthread> threads;
    const auto most = std::min<std::size_t>(std::max(1U, jobs), count);
    for (std::size_t i = 1; i < most; ++i) threads.emplace_back(take);
    take();
  }
  if (failure) std::rethrow_exception(failure);
}

std::vector<RunResult> play_all(const std::vector<Play>& plays, unsigned jobs, const std::atomic<bool>* stop,
                                const std::function<void(std::size_t done)>& progress) {
  std::vector<RunResult> results(plays.size());
  const auto work = [&](std::size_t i) {
    results[i].stopped = true;
    results[i].policy = plays[i].policy;
    if (stop && stop->load()) return;
    PlayOptions options;
    options.policy = plays[i].policy;
    options.stop = stop;
    results[i] = play(draw(plays[i].scenario, plays[i].seed), policy(plays[i].policy), options);
  };
  for_all(plays.size(), jobs, work, progress);
  return results;
}

}  // namespace valedrum::lab
