// Group commit: syncs a file on another thread, so that the event loop never blocks. A callback runs when a
// sync that began after its registration has ended, and one sync covers all callbacks registered before it.
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
  // `job` returns the work of one sync, as Disk::sync_later() does.
  Syncer(boost::asio::any_io_executor executor, std::function<std::function<bool()>()> job)
      : executor_(std::move(executor)), job_(std::move(job)) {}

  // Calls `callback` with true once all that was written before this call is on disk, or with false if the
  // sync failed.
  void run_after_sync(Callback callback) {
    waiting_.push_back(std::move(callback));
    if (!running_) start();
  }
  bool idle() const { return !running_; }
  // Drops all callbacks, those of a sync under way too.
  void stop() {
    stopped_ = true;
    waiting_.clear();
  }
  std::uint64_t sync_count() const { return sync_count_; }

 private:
  void start() {
    running_ = true;
    ++sync_count_;
    boost::asio::post(
        thread_, [self = shared_from_this(), job = job_(), batch = std::exchange(waiting_, {})]() mutable {
          const bool synced = job();
          boost::asio::post(self->executor_,
                            [self, synced, batch = std::move(batch)] { self->finish(synced, batch); });
        });
  }
  void finish(bool synced, const std::vector<Callback>& batch) {
    running_ = false;
    if (!stopped_ && !waiting_.empty()) start();
    for (const Callback& callback : batch) {
      if (!stopped_) callback(synced);
    }
  }

  boost::asio::any_io_executor executor_;
  std::function<std::function<bool()>()> job_;
  std::vector<Callback> waiting_;
  bool running_ = false, stopped_ = false;
  std::uint64_t sync_count_ = 0;
  boost::asio::thread_pool thread_{1};
};

}  // namespace myrtlegrade
