// Detection of earlier processes that may still have calls in flight, by the locks on their files.
#include "call_owners.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <stdlib.h>
#include <sys/file.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <filesystem>

namespace myrtlegrade::test {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

// Guards against counting time before the owner locked its file as time for which the lock has been free: a
// file is created first and then locked, and a poll in between finds it unlocked.
TEST(CallOwnersTest, ALockThatWasFreeBeforeIsWaitedForAnew) {
  std::string pattern = fs::temp_directory_path() / "owners-XXXXXX";
  const fs::path folder = ::mkdtemp(pattern.data());
  const int file = ::open((folder / "calls-other").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  std::chrono::steady_clock::time_point gone_at{};
  boost::asio::io_context context;
  {
    CallOwners owners(context.get_executor(), folder,
                      {.on_record = [](const std::string&, const CallRecord&) {},
                       .on_gone = [&](const std::string&) { gone_at = std::chrono::steady_clock::now(); },
                       .on_none_left = [] {}});
    owners.start();
    context.run_for(CallOwners::kMaxStall / 3);
    ASSERT_EQ(::flock(file, LOCK_EX | LOCK_NB), 0);
    context.run_for(2 * CallOwners::kMaxStall);
    EXPECT_EQ(gone_at.time_since_epoch().count(), 0);
    ::close(file);
    const auto freed = std::chrono::steady_clock::now();
    context.run_for(2 * CallOwners::kMaxStall);
    EXPECT_GE(gone_at - freed, CallOwners::kMaxStall);
  }
  fs::remove_all(folder);
}

}  // namespace
}  // namespace myrtlegrade::test
