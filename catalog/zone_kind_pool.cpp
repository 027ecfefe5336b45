#include "zone_kind_pool.h"

namespace valedrum::catalog {

std::size_t ZoneKindPool::memory_of(const ZoneKind& pair) {
  constexpr std::size_t kMapNodeBytes = 80;
  return sizeof(ZoneKind) + kMapNodeBytes + pair.zone.capacity() + pair.kind.capacity();
}

std::optional<std::uint16_t> ZoneKindPool::acquire(std::string_view zone, std::string_view kind) {
  if (last_ < pairs_.size() && pairs_[last_].references > 0 && pairs_[last_].zone == zone &&
      pairs_[last_].kind == kind) {
    ++pairs_[last_].references;
    return last_;
  }
  if (const auto found = by_name_.find({zone, kind}); found != by_name_.end()) {
    last_ = found->second;
  } else {
    if (free_numbers_.empty()) {
      if (pairs_.size() == kMaxPairs) return std::nullopt;
      free_numbers_.push_back(static_cast<std::uint16_t>(pairs_.size()));
      pairs_.emplace_back();
    }
    last_ = free_numbers_.back();
    free_numbers_.pop_back();
    ZoneKind& pair = pairs_[last_];
    pair = {std::string(zone), std::string(kind), 0};
    by_name_.emplace(std::pair<std::string_view, std::string_view>(pair.zone, pair.kind), last_);
    bytes_ += memory_of(pair);
  }
  ++pairs_[last_].references;
  return last_;
}

void ZoneKindPool::release(std::uint16_t number) {
  ZoneKind& pair = pairs_[number];
  if (--pair.references > 0) return;
  bytes_ -= memory_of(pair);
  by_name_.erase({pair.zone, pair.kind});
  pair = {};
  free_numbers_.push_back(number);
}

void ZoneKindPool::clear() { *this = {}; }

}  // namespace valedrum::catalog
