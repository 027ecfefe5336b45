#include "config_reader.h"

#include <stdexcept>

namespace myrtlegrade {

using valedrum::catalog::ListReader;

void ConfigReader::feed(std::string_view bytes) {
  while (!bytes.empty()) {
    if (reading_list_) {
      const ListReader::Status status = reader_.feed(bytes, bytes.size());
      if (status == ListReader::Status::invalid)
        throw std::invalid_argument("config: known: " + reader_.error());
      if (status == ListReader::Status::complete) {
        known_hosts_ = {reader_.version(), reader_.take_entries()};
        reader_.reset();
        reading_list_ = false;
      }
      continue;
    }
    if (at_known_ && bytes.front() == '{') {
      at_known_ = false;
      json_ += "null";
      reading_list_ = read_list_;
      skipping_list_ = !read_list_;
      if (reading_list_) continue;
    }
    scan(bytes.front());
    bytes.remove_prefix(1);
  }
}

// Tracks only strings and nesting depth; the JSON parser reports all other errors.
void ConfigReader::scan(char c) {
  if (!skipping_list_) json_ += c;
  if (in_string_) {
    if (!escaped_ && c == '"') {
      in_string_ = false;
    } else if (depth_ == 1 && key_.size() < sizeof "known") {
      key_ += c;
    }
    escaped_ = !escaped_ && c == '\\';
    return;
  }
  if (c == ' ' || c == '\t' || c == '\n' || c == '\r') return;
  at_known_ = c == ':' && depth_ == 1 && key_ == "known";
  if (c == '"') {
    in_string_ = true;
    if (depth_ == 1) key_.clear();
  } else if (c == '{' || c == '[') {
    ++depth_;
  } else if ((c == '}' || c == ']') && depth_ > 0) {
    if (--depth_ == 1) skipping_list_ = false;
  }
}

}  // namespace myrtlegrade
