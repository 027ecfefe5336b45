// Parses the byte stream of a watch: lists, each on one line or indented over several, separated by empty
// lines that are sent as long as nothing changes.
#pragma once

#include <string_view>

#include "catalog/list_reader.h"

namespace myrtlegrade {

// Consumes bytes from the front, at most to the end of the current list. Sets `ended` if an empty line or a
// list was completed. After `complete` the caller must process the list and call reset() before it reads on.
valedrum::catalog::ListReader::Status read_watch(valedrum::catalog::ListReader& reader,
                                                 std::string_view& bytes, bool& ended);

}  // namespace myrtlegrade
