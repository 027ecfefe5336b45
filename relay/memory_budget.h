// Budgets of memory for buffers that other processes fill, such as unfinished requests. A budget counts
// bytes; it allocates nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>

namespace myrtlegrade {

// Bytes of memory that one process may use for each purpose, from `limits.memory_mb`. During an upgrade two
// processes share that limit, and the files in the state folder count too.
struct MemoryBudgets {
  std::size_t requests = 0;  // of clients, while they arrive
  std::size_t answers = 0;   // of endpoints, beyond what each call may use anyway

  static MemoryBudgets of(std::uint64_t memory_bytes);
};

// Returns the part of the memory limit that the files in the state folder may take.
std::uint64_t max_file_bytes(std::uint64_t memory_bytes);

class MemoryBudget {
 public:
  // A part of the budget, which must outlive it. Returned to the budget when this object ends.
  class Lease {
   public:
    Lease(MemoryBudget& budget, std::size_t bytes) : budget_(&budget), bytes_(bytes) {
      budget.used_ += bytes;
    }
    Lease(Lease&& other) noexcept : budget_(std::exchange(other.budget_, nullptr)), bytes_(other.bytes_) {}
    Lease& operator=(Lease&& other) noexcept {
      std::swap(budget_, other.budget_);
      std::swap(bytes_, other.bytes_);
      return *this;
    }
    ~Lease() {
      if (budget_) budget_->used_ -= bytes_;
    }
    std::size_t bytes() const { return bytes_; }

   private:
    MemoryBudget* budget_;
    std::size_t bytes_;
  };

  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::optional<Lease> take(std::size_t bytes) { return take_beyond(bytes, 0); }
  // Takes the bytes if the limit is not exceeded by more than `excess`.
  std::optional<Lease> take_beyond(std::size_t bytes, std::size_t excess) {
    if (used_ + bytes > limit_ + excess) return std::nullopt;
    return Lease(*this, bytes);
  }
  std::size_t used() const { return used_; }
  std::size_t limit() const { return limit_; }

 private:
  std::size_t limit_;
  std::size_t used_ = 0;
};

}  // namespace myrtlegrade
