// Work that is too long for the loop to stand still for, done between the loop's other work.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "catalog/endpoint_table.h"

namespace myrtlegrade {

// Calls `slice` until it returns false, each time behind what else has become ready meanwhile.
inline void run_in_slices(const boost::asio::any_io_executor& executor, std::function<bool()> slice) {
  boost::asio::post(executor, [executor, slice = std::move(slice)]() mutable {
    if (slice()) run_in_slices(executor, std::move(slice));
  });
}

constexpr std::size_t kReleaseBytesPerSlice =
    2 << 20;  // bytes of a table in one slice: under a millisecond (ours)

inline void release_in_slices(const boost::asio::any_io_executor& executor,
                              valedrum::catalog::EndpointTable table) {
  run_in_slices(executor, [held = std::make_shared<valedrum::catalog::EndpointTable>(std::move(table))] {
    return !held->release_memory(kReleaseBytesPerSlice);
  });
}

}  // namespace myrtlegrade
