// What one real relay needs for each message that it holds: memory and disk, measured on a process of its
// own.
#pragma once

#include <atomic>
#include <boost/json/object.hpp>
#include <string>
#include <vector>

namespace valedrum::lab {

struct BacklogOptions {
  std::string program;                                          // the relay
  std::vector<std::size_t> messages{2000, 5000, 10000, 20000};  // held at once, one measurement each
  std::size_t body = 212;                                       // bytes of a message
  std::size_t partners = 20;                                    // that take connections and never answer
  const std::atomic<bool>* stop = nullptr;
};

// One object for each size: messages held, resident memory and journal before and after, and the slopes.
// Throws std::runtime_error where the relay does not take them on.
boost::json::object measure_backlog(const BacklogOptions& options);

}  // namespace valedrum::lab
