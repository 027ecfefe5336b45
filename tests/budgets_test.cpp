// What is owed comes within the pages' bounds: the sums of docs/budgets.md, by the constants that the relay
// uses.
#include "budgets.h"

#include <gtest/gtest.h>

#include "copies/expiry_queue.h"

namespace myrtlegrade::test {
namespace {

using namespace std::chrono_literals;
using Ms = std::chrono::duration<double, std::milli>;

constexpr Ms kTick = 5ms;  // `tick` of the settings, as the operators' pages show it

// Each sum with one hold-up on its way; the rows bear the names of the document's.
TEST(Budgets, AreKept) {
  struct Row {
    const char* name;
    Ms sum, bound;
  };
  using namespace budgets;
  const Ms late = kKernelTick + kTick;  // the end of a message's time, as the relay finds it
  const Ms notice = kHoldUp + kLostTry + kNoticeWay;
  const Ms handed_back = kNoticeOwed - kKeptForNotice;  // from the end of its time to its telling
  namespace copies = valedrum::copies;
  const Ms holder = kHoldUp + kShortestTry + kLongestPause + kNoticeWay;  // little is left: a short try
  const Row rows[] = {
      {"answer", kHoldUp + kTick + kKernelTick, kAnswerOwed},
      {"final answer", kHoldUp + late, kAnswerLate},
      {"notice", late + notice, kNoticeOwed},
      {"holder's notice", copies::kClockError + copies::kOwnerGracePeriod + holder, kNoticeOwed},
      {"hand-back", handed_back + kKernelTick + notice, kNoticeOwed},
      {"told wait", kHoldUp, kToldTooLate + kSlack},
      {"notices that a start finds", notice, kStartOwed},
  };
  for (const Row& row : rows) {
    EXPECT_LE(row.sum.count(), row.bound.count()) << row.name;
  }
  EXPECT_GE(handed_back.count(), 0) << "an end may wait for the journal until its time is up";
  EXPECT_GE(Ms(kUnread).count(), 2 * Ms(kHoldUp).count()) << "a request may wait before accept and read";
}

}  // namespace
}  // namespace myrtlegrade::test
