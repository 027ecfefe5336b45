// Runs work that would block the event loop for too long in slices between its other handlers.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "catalog/endpoint_table.h"

namespace myrtlegrade {

// Calls `slice` until it returns false. Handlers that became ready meanwhile run between two calls.
inline void run_in_slices(const boost::asio::any_io_executor& executor, std::function<bool()> slice) {
  boost::asio::post(executor, [executor, slice = std::move(slice)]() mutable {
    if (slice()) run_in_slices(executor, std::move(slice));
  });
}

constexpr std::size_t kReleaseBytesPerSlice = 2 << 20;  // takes less than 1 ms

// Frees the memory of a table in slices.
inline void release_in_slices(const boost::asio::any_io_executor& executor,
                              valedrum::catalog::EndpointTable table) {
  run_in_slices(executor, [shared = std::make_shared<valedrum::catalog::EndpointTable>(std::move(table))] {
    return !shared->release_memory(kReleaseBytesPerSlice);
  });
}

}  // namespace myrtlegrade
