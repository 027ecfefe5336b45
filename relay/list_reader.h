// Discovery's answer in pieces of bytes, put together to whole JSON texts. It is without sockets and clock.
//
// A text is an object, on a line of its own or indented over many, and ends with the brace that closes it.
// Each byte is looked at once, however the pieces are cut.
#pragma once

#include <boost/json/stream_parser.hpp>
#include <boost/json/value.hpp>
#include <cstddef>
#include <functional>
#include <string_view>

namespace myrtlegrade {

class ListReader {
 public:
  using OnText = std::function<void(const boost::json::value&)>;

  // Whether a text or an empty line came to its end with these bytes. Throws std::exception for what can be
  // no such text, and passes on what `on_text` throws: nothing can be read behind that.
  bool read(std::string_view bytes, const OnText& on_text);

 private:
  // How many of the bytes belong to the text that has begun; `depth_` is 0 if it ends with them.
  std::size_t rest_of_text(std::string_view bytes);

  boost::json::stream_parser parser_;
  std::size_t size_ = 0;   // of the text so far, bytes
  std::size_t depth_ = 0;  // open braces and brackets; 0: between texts
  bool in_string_ = false, escaped_ = false;
};

}  // namespace myrtlegrade
