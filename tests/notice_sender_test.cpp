// Timing of the tries of a notice, with a platform that answers every second one.
#include "notice_sender.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <vector>

#include "budgets.h"
#include "host_list.h"
#include "loopback.h"

namespace myrtlegrade::test {
namespace {

using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

// A notice whose deadline is near divides the remaining time among its tries. Guards against a new full
// window: an unanswered try then took a quarter of 250 ms although the notice was due within 60 ms.
TEST(NoticeSender, TriesFollowFromTheTimeLeftUntilItIsDue) {
  constexpr int kRounds = 5;  // one round that the machine did not delay is enough
  Watched watched;
  std::vector<SteadyClock::time_point> tries;
  Peer platform([&](tcp::socket& socket, Request&) {
    bool swallow = false;
    watched.change([&] {
      tries.push_back(SteadyClock::now());
      swallow = tries.size() % 2 == 1;
    });
    return swallow || answer(socket, 204);
  });
  const std::string address = platform.address();
  const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
  for (int round = 0; round < kRounds; ++round) {
    boost::asio::io_context context;
    NoticeSender sender(context.get_executor(), {boost::asio::ip::address_v4::loopback(), port},
                        [](const std::string&) {});
    Notice notice{"m", false, {}};
    notice.due_by = steady_time() + budgets::kNoticeDeliveryTime + 10ms;
    sender.send(notice);
    context.run_for(2s);
    ASSERT_FALSE(sender.pending());
  }
  auto least = SteadyClock::duration::max();
  for (std::size_t n = 1; n < tries.size(); n += 2) least = std::min(least, tries[n] - tries[n - 1]);
  EXPECT_LT(least, budgets::kNoticeRetryWindow / budgets::kMinNoticeTries);
}

// An answer's copy, or noise behind it, was taken for the answer to the next notice if that was sent in the
// same turn of the event loop.
TEST(NoticeSender, WhatFollowsAnAnswerSettlesNoOtherNotice) {
  const std::string accepted = "HTTP/1.1 204 No Content\r\n\r\n";
  for (const std::string& rest : {accepted, std::string("noise")}) {
    for (const bool in_one_read : {true, false}) {
      Watched watched;
      int requests = 0;
      bool answered = false;
      Peer platform([&](tcp::socket& socket, Request&) {
        int number = 0;
        watched.change([&] { number = ++requests; });
        if (number > 1) return answer(socket, number > 2 ? 204 : 500);  // the second notice fails at first
        boost::asio::write(socket, boost::asio::buffer(in_one_read ? accepted + rest : accepted));
        if (!in_one_read) {
          std::this_thread::sleep_for(5ms);
          boost::asio::write(socket, boost::asio::buffer(rest));
        }
        watched.change([&] { answered = true; });
        return true;
      });
      const std::string address = platform.address();
      const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
      boost::asio::io_context context;
      std::vector<std::string> settled;
      NoticeSender sender(context.get_executor(), {boost::asio::ip::address_v4::loopback(), port},
                          [&](const std::string& id) { settled.push_back(id); });
      sender.send({"first", false, {}});
      while (settled.empty()) context.run_one();
      ASSERT_TRUE(watched.wait([&] { return answered; }));
      std::this_thread::sleep_for(2ms);  // the rest has arrived, and no handler has seen it
      sender.send({"second", false, {}});
      const auto until = SteadyClock::now() + 5s;
      while (settled.size() < 2 && SteadyClock::now() < until) context.run_one_for(10ms);
      EXPECT_EQ(settled, (std::vector<std::string>{"first", "second"}));
      EXPECT_EQ(watched.read([&] { return requests; }), 3)
          << "the second was settled by what followed the first";
    }
  }
}

}  // namespace
}  // namespace myrtlegrade::test
