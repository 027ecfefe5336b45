// Timing of the tries of a notice, with a platform that answers every second one.
#include "notice_sender.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
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

}  // namespace
}  // namespace myrtlegrade::test
