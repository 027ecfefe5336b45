// What clients want, how they take refusals, and what became of it: the same in virtual time and on sockets.
#pragma once

#include <optional>
#include <vector>

#include "day.h"
#include "result.h"
#include "traffic.h"

namespace valedrum::lab {

class Clients {
 public:
  struct Request {  // over all its tries
    Time first{};
    std::uint32_t cls = 0, partner = 0, relay = 0;
    std::uint32_t tries = 0;
    bool over = false;
  };

  Clients(const Day& day, const std::string& policy)
      : result(day, policy), day_(&day), random_(day.seed, kStream), ledger_(day) {}

  std::uint32_t add(const Arrival& arrival);  // the request's number
  Request& operator[](std::uint32_t request) { return requests_[request]; }
  const Request& operator[](std::uint32_t request) const { return requests_[request]; }
  Time until(std::uint32_t request) const;

  // After what wait it comes again; nothing if it does not.
  std::optional<Duration> refused(std::uint32_t request, Duration hint, Time now);
  // The time until it comes again from a relay that died or did not answer.
  Duration again() { return span(random_.between(day_->scenario.clients.again)); }
  // How long an impatient one waits for the end of its message; most wait for as long as it lasts.
  std::optional<Duration> patience(std::uint32_t request);

  void failed(std::uint32_t request, bool unsent, Time now);
  void delivered(std::uint32_t request, Time now);

  // Seconds of a partner's work for a message's try: drawn for the request, the same whoever plays. A batch's
  // further messages cost less.
  double work(std::uint32_t request, std::uint32_t attempt, bool further) const;
  double work_asked = 0, work_wasted = 0;

  RunResult result;  // as counted so far
  Second second;     // of the second at hand
  void second_over() { result.seconds.push_back(std::exchange(second, {})); }
  void count(vetchhinge::Result outcome);
  // Fills in the parts of G.
  RunResult close(const Checker& checker);

  Random& random() { return random_; }

 private:
  static constexpr std::uint64_t kStream = 30;
  const Day* day_;
  Random random_;
  Ledger ledger_;
  std::vector<Request> requests_;
  std::uint64_t late_fails_ = 0;
};

}  // namespace valedrum::lab
