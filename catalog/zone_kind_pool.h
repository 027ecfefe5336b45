// Pairs of zone and kind, each held once and for as long as an entry names it: a fleet has few.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace valedrum::catalog {

class ZoneKindPool {
 public:
  struct Label {
    std::string zone, kind;
    std::uint32_t uses = 0;
  };

  static constexpr std::size_t kMost = 16384;  // pairs at a time: garbage must not fill the memory (ours)

  // Counts one use more. None: there are kMost already.
  std::optional<std::uint16_t> take(std::string_view zone, std::string_view kind);
  void give_back(std::uint16_t label);
  const Label& at(std::uint16_t label) const { return all_[label]; }

  std::size_t size() const { return by_text_.size(); }
  std::size_t bytes() const { return bytes_; }
  void clear();

 private:
  static std::size_t weigh(const Label& label);

  std::deque<Label> all_;  // elements stay where they are: by_text_ looks at their texts
  std::map<std::pair<std::string_view, std::string_view>, std::uint16_t> by_text_;
  std::vector<std::uint16_t> free_;
  std::uint16_t last_ = 0;  // taken last: most entries have the label of the one before
  std::size_t bytes_ = 0;
};

}  // namespace valedrum::catalog
