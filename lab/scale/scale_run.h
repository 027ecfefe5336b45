// Plays a day of the scale run: starts its processes, watches over the machine while they run, and makes one
// document of what they say.
#pragma once

#include <atomic>
#include <boost/json/object.hpp>
#include <functional>
#include <string>

#include "scale_day.h"

namespace valedrum::lab::scale {

struct RunOptions {
  const std::atomic<bool>* stop = nullptr;
  std::function<void(double share)> progress{};
  std::string program = "build/myrtlegrade";  // the relay, where the day asks for real ones
  std::string folder;                         // for what these keep and log
};

// Throws std::runtime_error where a process fails or the machine's limits are passed; all processes are then
// gone. With `stop` set: what was measured so far, with "stopped".
boost::json::object play(const Plan& plan, const RunOptions& options);

// Whether after each phase all members that ran held the same ones for alive.
bool one_view(const boost::json::object& document);

std::string summary(const boost::json::object& document);

}  // namespace valedrum::lab::scale
