// The watch on the list, on sockets: stand-ins for discovery that play series of faults and then can be
// reached, dozens side by side.
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
constexpr auto kTold = 6s;
constexpr auto kSlowMachine = 500ms;  // more than the stand-in's answer may take
constexpr int kChange = 9;            // the newest endpoint
constexpr std::int64_t kHeld = 45;

// One relay's side and one stand-in for discovery. From `heals` on new calls bring the list; older ones stay
// as they are.
class Series {
 public:
  Series(asio::io_context& context, std::string name, std::vector<Fault> faults,
         std::chrono::milliseconds lasts, std::uint64_t seed, bool on_request, std::int64_t version)
      : name_(std::move(name)),
        context_(context),
        acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        faults_(std::move(faults)),
        random_(seed),
        on_request_(on_request),
        version_(version),
        heals_(SteadyClock::now() + lasts),
        timer_(context),
        discovery_(
            context.get_executor(), acceptor_.local_endpoint(),
            [this](ListReader& list, bool) { return listed(list); },
            [this](auto silent, auto again) { lost(silent, again); }, [](const std::string&) {}) {
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
    if (!on_request_) discovery_.watch(kHeld);
  }

  void check() const {
    ASSERT_TRUE(told_) << name_;
    EXPECT_LE(*told_, heals_ + kTold + kSlowMachine) << name_ << ": " << (*told_ - heals_) / 1ms << " ms";
    EXPECT_FALSE(old_) << name_ << ": an old list came into force";
  }
  bool told() const { return told_.has_value(); }

 private:
  bool listed(const ListReader& list) {
    list.entries().for_each(0, list.entries().slot_end(), [this](auto, const auto& entry) {
      const int number = std::stoi(std::string(entry.id));
      if (number == kChange && !told_) told_ = SteadyClock::now();
      old_ = old_ || number == 1;
    });
    if (on_request_) step({vetchhinge::HostList{vetchhinge::HostList::Kind::whole, {}}});
    return false;
  }
  void lost(SteadyClock::duration silent, std::chrono::milliseconds again) {
    if (on_request_) {
      const auto silent_for = std::chrono::duration_cast<vetchhinge::Duration>(silent);
      return step({vetchhinge::HostList{vetchhinge::HostList::Kind::lost, {}, silent_for}});
    }
    timer_.expires_after(again);
    timer_.async_wait([this](auto error) {
      if (!error) discovery_.watch(kHeld);
    });
  }
  void step(std::vector<vetchhinge::Event> events) {
    const auto now = std::chrono::duration_cast<vetchhinge::Duration>(SteadyClock::now().time_since_epoch());
    for (const auto& action : module_->step(vetchhinge::Time(now), events)) {
      if (std::holds_alternative<vetchhinge::SubscribeHostList>(action)) discovery_.watch(kHeld);
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
      asio::co_spawn(context_, play(sockets_.back()), asio::detached);
    }
  }
  asio::awaitable<void> play(std::shared_ptr<tcp::socket> socket) {
    std::string request;
    const auto [read_error, read] =
        co_await asio::async_read_until(*socket, asio::dynamic_buffer(request), "\r\n\r\n", kAwait);
    if (read_error) co_return;
    const bool good = SteadyClock::now() >= heals_;
    const std::string list = list_text(version_, true, 5, kChange, draw(random_, 0, 1) == 0);
    const Fault fault = faults_[std::min(calls_++, faults_.size() - 1)];
    Script script = faulty(good ? Fault::listed_then_silent : fault, random_, list,
                           list_text(kHeld - 5, true, 1, 1, draw(random_, 0, 1) == 0));
    if (good) {
      for (int i = 0; i < 20; ++i) script.push_back({2000ms, Piece::What::body, "\n"});
    }
    asio::steady_timer wait(context_);
    for (const Piece& piece : script) {
      wait.expires_after(piece.after);
      co_await wait.async_wait(kAwait);
      std::ostringstream out;
      if (piece.what == Piece::What::reset) {
        socket->set_option(asio::socket_base::linger(true, 0));
        socket->close();
        co_return;
      }
      if (piece.what == Piece::What::half_head) out << "HTTP/1.1 200 OK\r\nTransfer-Enc";
      if (piece.what == Piece::What::head) out << "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
      if (piece.what == Piece::What::unavailable)
        out << "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n";
      if (piece.what == Piece::What::body)
        out << std::hex << piece.bytes.size() << "\r\n" << piece.bytes << "\r\n";
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
  SteadyClock::time_point heals_;
  asio::steady_timer timer_;
  std::optional<vetchhinge::Sender> module_;
  Discovery discovery_;
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
  std::size_t calls_ = 0;
  std::optional<SteadyClock::time_point> told_;
  bool old_ = false;
};

TEST(DiscoveryOnSockets, WhateverFailedBeforeAChangeIsToldInTime) {
  asio::io_context context;
  std::vector<std::unique_ptr<Series>> all;
  const auto add = [&](const std::string& name, std::vector<Fault> faults, std::chrono::milliseconds lasts,
                       std::int64_t version = kHeld + 4) {
    for (const bool on_request : {false, true}) {
      const std::uint64_t seed = all.size() + 1;
      all.push_back(std::make_unique<Series>(context, name + (on_request ? ", asked for" : ""), faults, lasts,
                                             seed, on_request, version));
    }
  };
  // Each fault alone, at the first call, and back at once: what comes then depends on that call's end.
  const char* names[kFaults] = {"refused",    "silent",
                                "half head",  "head alone",
                                "half list",  "half list, blanks",
                                "dripped",    "dripped blanks",
                                "503",        "reset",
                                "old, alive", "old, silent",
                                "spoilt",     "listed, then silent"};
  for (int i = 0; i < kFaults; ++i) {
    const bool brings_it = Fault(i) == Fault::listed_then_silent;
    if (!brings_it) add(names[i], {Fault(i)}, 100ms);
  }
  add("a service that counts anew", {Fault::refused}, 100ms, 3);
  Random random(7);
  for (int i = 0; i < 10; ++i) {
    std::vector<Fault> faults;
    for (int n = 0; n < 30; ++n) {
      const Fault fault = Fault(draw(random, 0, kFaults - 1));
      const bool tells =
          fault == Fault::listed_then_silent || fault == Fault::stale_alive || fault == Fault::stale_silent;
      faults.push_back(tells ? Fault::half_list : fault);
    }
    add("series " + std::to_string(i), faults, std::chrono::milliseconds(draw(random, 500, 5000)));
  }
  const auto over = SteadyClock::now() + 14s;
  while (SteadyClock::now() < over && !std::ranges::all_of(all, &Series::told)) context.run_for(20ms);
  for (const auto& series : all) series->check();
}

}  // namespace
}  // namespace myrtlegrade::test
