// Real relays beside the hollow ones: a process that drives them with real load (lab/drive.h), and what the
// machine says that they use.
#pragma once

#include <boost/json/object.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "host.h"
#include "processes.h"

namespace valedrum::lab::scale {

class Rig {
 public:
  // The relays join the members' fleet, with copies of what they hold.
  Rig(const Plan& plan, const Addresses& addresses, const std::string& program, const std::string& folder);

  Process& process() { return process_; }
  // At the begin of the day's first phase and at the end of each: processor time and memory of each relay.
  void sample();
  // Of the phase between two samples, the first 0.
  boost::json::object figures(std::size_t phase, double lasts) const;
  std::size_t samples() const { return samples_.size(); }

 private:
  struct Use {
    std::int64_t ticks = 0;
    std::uint64_t resident = 0;
  };
  std::string program_;
  Process process_;
  std::vector<std::map<pid_t, Use>> samples_;
};

}  // namespace valedrum::lab::scale
