// Syncs without holding up the event loop: what waits for a sync goes on when one that began after it has
// ended, and one sync covers all that came meanwhile.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace myrtlegrade {

class Syncer : public std::enable_shared_from_this<Syncer> {
 public:
  using Callback = std::function<void(bool synced)>;
  // `job` gives the work of one sync, as Disk::sync_later() does.
  Syncer(boost::asio::any_io_executor executor, std::function<std::function<bool()>()> job)
      : executor_(std::move(executor)), job_(std::move(job)) {}

  // Once all that was written before this call is on disk, or can't be known to be.
  void run_after_sync(Callback then) {
    waiting_.push_back(std::move(then));
    if (!running_) begin();
  }
  bool idle() const { return !running_; }
  void stop() {
    stopped_ = true;
    waiting_.clear();
  }
  std::uint64_t syncs() const { return syncs_; }

 private:
  void begin() {
    running_ = true;
    ++syncs_;
    boost::asio::post(
        thread_, [self = shared_from_this(), job = job_(), batch = std::exchange(waiting_, {})]() mutable {
          const bool synced = job();
          boost::asio::post(self->executor_,
                            [self, synced, batch = std::move(batch)] { self->ended(synced, batch); });
        });
  }
  void ended(bool synced, const std::vector<Callback>& batch) {
    running_ = false;
    if (!stopped_ && !waiting_.empty()) begin();
    for (const Callback& then : batch) {
      if (!stopped_) then(synced);
    }
  }

  boost::asio::any_io_executor executor_;
  std::function<std::function<bool()>()> job_;
  std::vector<Callback> waiting_;
  bool running_ = false, stopped_ = false;
  std::uint64_t syncs_ = 0;
  boost::asio::thread_pool thread_{1};
};

}  // namespace myrtlegrade
