// Answers and notices stay within the bounds of the protocol: the sums of docs/budgets.md, computed from the
// constants that the relay uses.
#include "budgets.h"

#include <gtest/gtest.h>

#include "copies/expiry_queue.h"

namespace myrtlegrade::test {
namespace {

using namespace std::chrono_literals;
using Ms = std::chrono::duration<double, std::milli>;

constexpr Ms kTick = 5ms;  // `tick` of the documented settings

// Each sum includes one stall; the rows have the names of those in the document.
TEST(Budgets, AreKept) {
  struct Row {
    const char* name;
    Ms sum, bound;
  };
  using namespace budgets;
  const Ms late = kKernelTimerTick + kTick;  // until the relay notices the end of a message's time
  const Ms notice = kMaxStall + kLostTryTime + kNoticeDeliveryTime;
  // From the end of a message's time to the first try of its notice.
  const Ms handed_back = kNoticeDeadline - kNoticeReserve;
  namespace copies = valedrum::copies;
  const Ms holder =
      kMaxStall + kMinTryTimeout + kMaxRetryPause + kNoticeDeliveryTime;  // little time is left: a short try
  const Row rows[] = {
      {"answer", kMaxStall + kTick + kKernelTimerTick, kAnswerTimeout},
      {"final answer", kMaxStall + late, kFinalAnswerDeadline},
      {"notice", late + notice, kNoticeDeadline},
      {"holder's notice", copies::kClockError + copies::kOwnerGracePeriod + holder, kNoticeDeadline},
      {"hand-back", handed_back + kKernelTimerTick + notice, kNoticeDeadline},
      {"told wait", kMaxStall, kBackoffReactionTime + kSocketTolerance},
      {"notices that a start finds", notice, kStartupNoticeDeadline},
  };
  for (const Row& row : rows) {
    EXPECT_LE(row.sum.count(), row.bound.count()) << row.name;
  }
  EXPECT_GE(handed_back.count(), 0)
      << "the end of a message may wait for the journal until the end of its time";
  EXPECT_GE(Ms(kMaxUnreadTime).count(), 2 * Ms(kMaxStall).count())
      << "a request may wait before accept and read";
}

}  // namespace
}  // namespace myrtlegrade::test
