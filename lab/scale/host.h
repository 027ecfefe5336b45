// A process that carries a share of the hollow relays: it starts and ends them as the day says, puts the
// day's links between them, and hands their figures to who started it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "hollow.h"
#include "links.h"
#include "scale_day.h"

namespace valedrum::lab::scale {

namespace asio = boost::asio;

inline constexpr std::uint16_t kPort = 7300;
inline constexpr std::uint32_t kRoom = 1U << 13;  // addresses of one run

// Where the members of a run are reached: one address of the loopback for each.
struct Addresses {
  std::uint32_t base = 0;
  membership::Address of(std::uint32_t member) const { return {base + 1 + member, kPort}; }
  asio::ip::tcp::endpoint discovery(std::uint32_t number) const {
    return {asio::ip::address_v4(base + kRoom - 16 + number), kPort};
  }
};

class Host {
 public:
  // `from` up to `to`: the members that are this process's.
  Host(const Plan& plan, const Addresses& addresses, std::uint32_t from, std::uint32_t to);

  // Says "ready" on `out`, waits there for the steady clock's nanoseconds of the day's begin, and plays it:
  // one line of JSON at the end of each phase.
  void run(int in, int out);

  const Plan& plan() const { return plan_; }
  const Addresses& addresses() const { return addresses_; }
  asio::io_context& context() { return context_; }
  const std::vector<std::string>& records() const {
    return records_;
  }  // of all members, when all have joined
  std::vector<membership::Address> seeds(std::uint32_t of) const;

  bool hollow(const membership::Address& address) const;  // and not of a real relay
  Duration at() const;                                    // since the day's begin
  // From one member, through the day's links.
  void send(const std::shared_ptr<Hollow>& from, std::uint32_t number, membership::Datagram datagram);
  bool cut(std::uint32_t from, const membership::Address& to) const;
  bool cut_stream(std::uint32_t from, const membership::Address& to);
  Duration way(std::uint32_t from, const membership::Address& to);

 private:
  struct Flying {
    Duration at;
    std::uint64_t order;
    std::weak_ptr<Hollow> from;
    membership::Datagram datagram;
    bool operator<(const Flying& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  // Real relays stand beside the first member.
  std::uint32_t place(const membership::Address& address) const;
  void later(Duration at, std::function<void()> what);
  void play(const Fault& fault);
  void end_phase(const Phase& phase, int out);
  void land();
  void arm_flying();

  const Plan& plan_;
  Addresses addresses_;
  std::uint32_t from_, to_;
  asio::io_context context_{1};
  Links links_;
  std::vector<std::string> records_;
  std::vector<std::shared_ptr<Hollow>> hollows_;
  std::chrono::steady_clock::time_point begun_;
  std::priority_queue<Flying> flying_;
  asio::steady_timer landing_;
  Duration landing_at_ = Duration::max();
  std::uint64_t order_ = 0;
  std::int64_t cpu_ns_ = 0;     // of the process, at the phase's begin
  std::uint64_t resident_ = 0;  // bytes, before any member was there
};

}  // namespace valedrum::lab::scale
