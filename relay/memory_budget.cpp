#include "memory_budget.h"

#include <algorithm>

namespace myrtlegrade {

namespace {

// Of the memory limit. What is left is for two processes with their connections, the messages that they hold,
// which the journal bounds, and the list of endpoints.
constexpr std::uint64_t kFileShare = 8;
constexpr std::uint64_t kRequestShare = 24;
constexpr std::uint64_t kAnswerShare = 32;
constexpr std::uint64_t kMinBytes = 256 << 10;  // a few of the largest requests or answers

}  // namespace

MemoryBudgets MemoryBudgets::of(std::uint64_t memory_bytes) {
  const auto share = [memory_bytes](std::uint64_t part) {
    return static_cast<std::size_t>(std::max(memory_bytes / part, kMinBytes));
  };
  return {share(kRequestShare), share(kAnswerShare)};
}

std::uint64_t max_file_bytes(std::uint64_t memory_bytes) {
  return std::max(memory_bytes / kFileShare, kMinBytes);
}

}  // namespace myrtlegrade
