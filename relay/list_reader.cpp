#include "list_reader.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace myrtlegrade {
namespace {

constexpr std::size_t kMostText = 16 << 20;  // bytes; the parsed text takes some five times as many (ours)
constexpr std::string_view kBlank = " \t\r\n";

}  // namespace

bool ListReader::read(std::string_view bytes, const OnText& on_text) {
  bool ended = false;
  while (!bytes.empty()) {
    if (depth_ == 0) {
      const std::size_t begins = std::min(bytes.find_first_not_of(kBlank), bytes.size());
      ended = ended || bytes.substr(0, begins).find('\n') != std::string_view::npos;
      bytes.remove_prefix(begins);
      if (bytes.empty()) break;
      if (bytes.front() != '{') throw std::invalid_argument("list of hosts: not an object");
    }
    const std::size_t count = rest_of_text(bytes);
    if ((size_ += count) > kMostText) throw std::length_error("list of hosts: too long");
    parser_.write(bytes.data(), count);
    bytes.remove_prefix(count);
    if (depth_ > 0) break;
    parser_.finish();
    const boost::json::value text = parser_.release();
    parser_.reset();
    size_ = 0;
    ended = true;
    on_text(text);
  }
  return ended;
}

std::size_t ListReader::rest_of_text(std::string_view bytes) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const char c = bytes[i];
    if (in_string_) {
      if (std::exchange(escaped_, !escaped_ && c == '\\')) continue;
      in_string_ = c != '"';
    } else if (c == '"') {
      in_string_ = true;
    } else if (c == '{' || c == '[') {
      ++depth_;
    } else if ((c == '}' || c == ']') && --depth_ == 0) {
      return i + 1;
    }
  }
  return bytes.size();
}

}  // namespace myrtlegrade
