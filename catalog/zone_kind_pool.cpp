#include "zone_kind_pool.h"

namespace valedrum::catalog {

std::size_t ZoneKindPool::weigh(const Label& label) {
  constexpr std::size_t kNode = 80;  // of the map
  return sizeof(Label) + kNode + label.zone.capacity() + label.kind.capacity();
}

std::optional<std::uint16_t> ZoneKindPool::take(std::string_view zone, std::string_view kind) {
  if (last_ < all_.size() && all_[last_].uses > 0 && all_[last_].zone == zone && all_[last_].kind == kind) {
    ++all_[last_].uses;
    return last_;
  }
  if (const auto found = by_text_.find({zone, kind}); found != by_text_.end()) {
    last_ = found->second;
  } else {
    if (free_.empty()) {
      if (all_.size() == kMost) return std::nullopt;
      free_.push_back(static_cast<std::uint16_t>(all_.size()));
      all_.emplace_back();
    }
    last_ = free_.back();
    free_.pop_back();
    Label& label = all_[last_];
    label = {std::string(zone), std::string(kind), 0};
    by_text_.emplace(std::pair<std::string_view, std::string_view>(label.zone, label.kind), last_);
    bytes_ += weigh(label);
  }
  ++all_[last_].uses;
  return last_;
}

void ZoneKindPool::give_back(std::uint16_t number) {
  Label& label = all_[number];
  if (--label.uses > 0) return;
  bytes_ -= weigh(label);
  by_text_.erase({label.zone, label.kind});
  label = {};
  free_.push_back(number);
}

void ZoneKindPool::clear() { *this = {}; }

}  // namespace valedrum::catalog
