#include "config_reader.h"

#include <stdexcept>

namespace myrtlegrade {

using valedrum::catalog::ListReader;

void ConfigReader::feed(std::string_view bytes) {
  while (!bytes.empty()) {
    if (reading_) {
      const ListReader::Status status = reader_.feed(bytes, bytes.size());
      if (status == ListReader::Status::invalid)
        throw std::invalid_argument("config: known: " + reader_.error());
      if (status == ListReader::Status::complete) {
        known_ = {reader_.version(), reader_.take_entries()};
        reader_.reset();
        reading_ = false;
      }
      continue;
    }
    if (at_known_ && bytes.front() == '{') {
      at_known_ = false;
      rest_ += "null";
      reading_ = read_known_;
      passing_over_ = !read_known_;
      if (reading_) continue;
    }
    scan(bytes.front());
    bytes.remove_prefix(1);
  }
}

// Knows of JSON where texts end, and how deep it is; what is wrong with the rest its own parser says.
void ConfigReader::scan(char c) {
  if (!passing_over_) rest_ += c;
  if (in_text_) {
    if (!escaped_ && c == '"') {
      in_text_ = false;
    } else if (depth_ == 1 && key_.size() < sizeof "known") {
      key_ += c;
    }
    escaped_ = !escaped_ && c == '\\';
    return;
  }
  if (c == ' ' || c == '\t' || c == '\n' || c == '\r') return;
  at_known_ = c == ':' && depth_ == 1 && key_ == "known";
  if (c == '"') {
    in_text_ = true;
    if (depth_ == 1) key_.clear();
  } else if (c == '{' || c == '[') {
    ++depth_;
  } else if ((c == '}' || c == ']') && depth_ > 0) {
    if (--depth_ == 1) passing_over_ = false;
  }
}

}  // namespace myrtlegrade
