#include "watch_reader.h"

namespace myrtlegrade {

using Status = valedrum::catalog::ListReader::Status;

Status read_watch(valedrum::catalog::ListReader& reader, std::string_view& bytes, bool& ended) {
  if (reader.bytes_consumed() == 0) {  // between lists
    const std::string_view blanks = bytes.substr(0, bytes.find_first_not_of(" \t\r\n"));
    ended = ended || blanks.find('\n') != std::string_view::npos;
    bytes.remove_prefix(blanks.size());
    if (bytes.empty()) return Status::needs_more;
  }
  const Status status = reader.feed(bytes, bytes.size());
  ended = ended || status == Status::complete;
  return status;
}

}  // namespace myrtlegrade
