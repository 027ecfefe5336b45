// Virtual time: what is to happen, in order of time and, at one moment, in the order asked for.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "day.h"

namespace valedrum::lab {

class Timeline {
 public:
  // Captures of up to two words cost no allocation.
  using Handler = std::function<void()>;

  Time now() const { return now_; }
  bool empty() const { return heap_.empty(); }
  std::uint64_t count() const { return count_; }  // events so far
  Time next() const { return heap_.front().at; }

  void at(Time when, Handler handler) {
    heap_.push_back({std::max(when, now_), ++last_, std::move(handler)});
    std::ranges::push_heap(heap_, later);
  }
  void after(Duration span, Handler handler) { at(now_ + span, std::move(handler)); }

  void run_next() {
    std::ranges::pop_heap(heap_, later);
    const Entry entry = std::move(heap_.back());
    heap_.pop_back();
    now_ = entry.at;
    ++count_;
    entry.handler();
  }

 private:
  struct Entry {
    Time at;
    std::uint64_t number;
    Handler handler;
  };
  static bool later(const Entry& a, const Entry& b) {
    return a.at != b.at ? a.at > b.at : a.number > b.number;
  }

  std::vector<Entry> heap_;
  Time now_{};
  std::uint64_t last_ = 0, count_ = 0;
};

}  // namespace valedrum::lab
