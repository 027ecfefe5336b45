// Tests of the watch on discovery's list, on sockets: dozens of fake discovery services in parallel, each of
// which plays a series of faults and then becomes reachable.
#include "discovery.h"

#include <gtest/gtest.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <iomanip>
#include <memory>
#include <optional>
#include <sstream>

#include "discovery_script.h"
#include "vetchhinge/policy.h"

namespace myrtlegrade::test {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using valedrum::catalog::ListReader;
using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kUpdateDeadline = 6s;
constexpr auto kMachineTolerance = 500ms;  // more than the answer of the fake service may take
constexpr int kNewestEndpoint = 9;         // its number
constexpr std::int64_t kHeldVersion = 45;

// The discovery client of one relay and one fake discovery service. From `recovers_at_` on, new requests
// receive the list; earlier ones continue their script.
class Series {
 public:
  Series(asio::io_context& context, std::string name, std::vector<Fault> faults,
         std::chrono::milliseconds fault_duration, std::uint64_t seed, bool on_request, std::int64_t version)
      : name_(std::move(name)),
        context_(context),
        acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        faults_(std::move(faults)),
        random_(seed),
        on_request_(on_request),
        version_(version),
        recovers_at_(SteadyClock::now() + fault_duration),
        timer_(context),
        discovery_(
            context.get_executor(), acceptor_.local_endpoint(),
            [this](ListReader& list, bool) { return on_list(list); },
            [this](auto silent, auto retry_delay) { on_lost(silent, retry_delay); },
            [](const std::string&) {}) {
    vetchhinge::Settings s;
    s.seed = seed;
    s.relays = 300;
    s.list_on_request = true;
    s.list_request_interval = 6s;
    s.classes = {{.aim = 1s, .deadline = 8s}};
    s.kinds = {{}};
    module_.emplace(s);
    asio::co_spawn(context, accept(), asio::detached);
    if (on_request_) step({vetchhinge::HostList{vetchhinge::HostList::Kind::cached, {}}});
    if (!on_request_) discovery_.watch(kHeldVersion);
  }

  void check() const {
    ASSERT_TRUE(received_at_) << name_;
    EXPECT_LE(*received_at_, recovers_at_ + kUpdateDeadline + kMachineTolerance)
        << name_ << ": " << (*received_at_ - recovers_at_) / 1ms << " ms";
    EXPECT_FALSE(accepted_stale_list_) << name_ << ": a stale list was accepted";
  }
  bool has_received() const { return received_at_.has_value(); }

 private:
  bool on_list(const ListReader& list) {
    list.entries().for_each(0, list.entries().slot_end(), [this](auto, const auto& entry) {
      const int number = std::stoi(std::string(entry.id));
      if (number == kNewestEndpoint && !received_at_) received_at_ = SteadyClock::now();
      accepted_stale_list_ = accepted_stale_list_ || number == 1;
    });
    if (on_request_) step({vetchhinge::HostList{vetchhinge::HostList::Kind::whole, {}}});
    return false;
  }
  void on_lost(SteadyClock::duration silent, std::chrono::milliseconds retry_delay) {
    if (on_request_) {
      const auto silent_for = std::chrono::duration_cast<vetchhinge::Duration>(silent);
      return step({vetchhinge::HostList{vetchhinge::HostList::Kind::lost, {}, silent_for}});
    }
    timer_.expires_after(retry_delay);
    timer_.async_wait([this](auto error) {
      if (!error) discovery_.watch(kHeldVersion);
    });
  }
  void step(std::vector<vetchhinge::Event> events) {
    const auto now = std::chrono::duration_cast<vetchhinge::Duration>(SteadyClock::now().time_since_epoch());
    for (const auto& action : module_->step(vetchhinge::Time(now), events)) {
      if (std::holds_alternative<vetchhinge::SubscribeHostList>(action)) discovery_.watch(kHeldVersion);
      if (const auto* timer = std::get_if<vetchhinge::SetTimer>(&action)) {
        timer_.expires_after(timer->after);
        timer_.async_wait([this](auto error) {
          if (!error) step({vetchhinge::Timer{}});
        });
      }
    }
  }

  asio::awaitable<void> accept() {
    for (;;) {
      auto [error, socket] = co_await acceptor_.async_accept(kAwait);
      if (error) co_return;
      sockets_.push_back(std::make_shared<tcp::socket>(std::move(socket)));
      asio::co_spawn(context_, serve(sockets_.back()), asio::detached);
    }
  }
  asio::awaitable<void> serve(std::shared_ptr<tcp::socket> socket) {
    std::string request;
    const auto [read_error, read] =
        co_await asio::async_read_until(*socket, asio::dynamic_buffer(request), "\r\n\r\n", kAwait);
    if (read_error) co_return;
    const bool recovered = SteadyClock::now() >= recovers_at_;
    const std::string list = list_text(version_, true, 5, kNewestEndpoint, draw(random_, 0, 1) == 0);
    const Fault fault = faults_[std::min(request_count_++, faults_.size() - 1)];
    Script script = faulty_script(recovered ? Fault::listed_then_silent : fault, random_, list,
                                  list_text(kHeldVersion - 5, true, 1, 1, draw(random_, 0, 1) == 0));
    if (recovered) {
      for (int i = 0; i < 20; ++i) script.push_back({2000ms, Step::Action::body, "\n"});
    }
    asio::steady_timer wait(context_);
    for (const Step& script_step : script) {
      wait.expires_after(script_step.after);
      co_await wait.async_wait(kAwait);
      std::ostringstream out;
      if (script_step.action == Step::Action::reset) {
        socket->set_option(asio::socket_base::linger(true, 0));
        socket->close();
        co_return;
      }
      if (script_step.action == Step::Action::half_head) out << "HTTP/1.1 200 OK\r\nTransfer-Enc";
      if (script_step.action == Step::Action::head)
        out << "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
      if (script_step.action == Step::Action::unavailable)
        out << "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n";
      if (script_step.action == Step::Action::body)
        out << std::hex << script_step.bytes.size() << "\r\n" << script_step.bytes << "\r\n";
      const std::string bytes = out.str();
      const auto [error, count] = co_await asio::async_write(*socket, asio::buffer(bytes), kAwait);
      if (error) co_return;
    }
  }

  std::string name_;
  asio::io_context& context_;
  tcp::acceptor acceptor_;
  std::vector<Fault> faults_;
  Random random_;
  bool on_request_;
  std::int64_t version_;
  SteadyClock::time_point recovers_at_;
  asio::steady_timer timer_;
  std::optional<vetchhinge::Sender> module_;
  Discovery discovery_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
  std::size_t request_count_ = 0;
  std::optional<SteadyClock::time_point> received_at_;
  bool accepted_stale_list_ = false;
};

TEST(DiscoveryOnSockets, WhateverFailedBeforeAChangeIsToldInTime) {
  asio::io_context context;
  std::vector<std::unique_ptr<Series>> all;
  const auto add = [&](const std::string& name, std::vector<Fault> faults,
                       std::chrono::milliseconds fault_duration, std::int64_t version = kHeldVersion + 4) {
    for (const bool on_request : {false, true}) {
      const std::uint64_t seed = all.size() + 1;
      all.push_back(std::make_unique<Series>(context, name + (on_request ? ", on request" : ""), faults,
                                             fault_duration, seed, on_request, version));
    }
  };
  // Each fault alone, for the first request only: when the list arrives depends on how that request ends.
  const char* names[kFaultCount] = {"refused",      "silent",
                                    "half head",    "head alone",
                                    "half list",    "half list, newlines",
                                    "slow bytes",   "slow spaces",
                                    "503",          "reset",
                                    "stale, alive", "stale, silent",
                                    "invalid JSON", "listed, then silent"};
  for (int i = 0; i < kFaultCount; ++i) {
    const bool has_change = Fault(i) == Fault::listed_then_silent;
    if (!has_change) add(names[i], {Fault(i)}, 100ms);
  }
  add("a service whose versions start again", {Fault::refused}, 100ms, 3);
  Random random(7);
  for (int i = 0; i < 10; ++i) {
    std::vector<Fault> faults;
    for (int n = 0; n < 30; ++n) {
      const Fault fault = Fault(draw(random, 0, kFaultCount - 1));
      const bool delivers_a_list =
          fault == Fault::listed_then_silent || fault == Fault::stale_alive || fault == Fault::stale_silent;
      faults.push_back(delivers_a_list ? Fault::half_list : fault);
    }
    add("series " + std::to_string(i), faults, std::chrono::milliseconds(draw(random, 500, 5000)));
  }
  const auto end = SteadyClock::now() + 14s;
  while (SteadyClock::now() < end && !std::ranges::all_of(all, &Series::has_received)) context.run_for(20ms);
  for (const auto& series : all) series->check();
}

}  // namespace
}  // namespace myrtlegrade::test
