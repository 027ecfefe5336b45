// Streaming reader of a configuration's text. The field `known` may hold a list of hosts of 250 MB, for which
// no JSON tree is built: its bytes are passed to the reader of lists, and all other text is kept for the JSON
// parser.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "catalog/list_reader.h"
#include "host_list.h"

namespace myrtlegrade {

class ConfigReader {
 public:
  // Whether the list of hosts in `known` is read or skipped.
  enum class KnownHosts { read, skip };
  explicit ConfigReader(KnownHosts known_hosts) : read_list_(known_hosts == KnownHosts::read) {}

  // Reads the next chunk of the text. Throws std::invalid_argument if the list of hosts is malformed.
  void feed(std::string_view bytes);

  // Returns the text with null in place of the list, once all chunks are read. If the list was truncated, the
  // result is not valid JSON.
  const std::string& json_without_hosts() const { return json_; }
  HostListSnapshot take_known_hosts() { return std::move(known_hosts_); }

 private:
  void scan(char c);

  bool read_list_;
  valedrum::catalog::ListReader reader_;
  HostListSnapshot known_hosts_;
  std::string json_;
  std::string key_;  // the last string at the top level, or its first bytes
  std::size_t depth_ = 0;
  bool in_string_ = false, escaped_ = false;
  bool at_known_ = false;       // the next value is that of `known`
  bool reading_list_ = false;   // within the list, which reader_ parses
  bool skipping_list_ = false;  // within the list, which is discarded
};

}  // namespace myrtlegrade
