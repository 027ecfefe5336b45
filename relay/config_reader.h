// The text of a configuration as it comes, in pieces: `known` may be a list of a quarter of a gigabyte, of
// which no tree is to be built. It goes to the list's own reader; all else is kept as text.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "catalog/list_reader.h"
#include "host_list.h"

namespace myrtlegrade {

class ConfigReader {
 public:
  enum class KnownHosts { read, skip };
  explicit ConfigReader(KnownHosts known_hosts) : read_known_(known_hosts == KnownHosts::read) {}

  // Throws std::invalid_argument where the list can't be read.
  void feed(std::string_view bytes);

  // Once all has come: the text with null in place of the list. Of a list that is cut the rest is no JSON.
  const std::string& rest() const { return rest_; }
  WholeList take_known_hosts() { return std::move(known_); }

 private:
  void scan(char c);

  bool read_known_;
  valedrum::catalog::ListReader reader_;
  WholeList known_;
  std::string rest_;
  std::string key_;  // the last text at the top, or its beginning
  std::size_t depth_ = 0;
  bool in_text_ = false, escaped_ = false;
  bool at_known_ = false;  // the value of `known` comes next
  bool reading_ = false;   // it goes to the reader
  bool passing_over_ = false;
};

}  // namespace myrtlegrade
