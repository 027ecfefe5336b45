// The bytes of a watch: lists, on a line of their own or indented over many, with empty lines between them as
// long as nothing changes.
#pragma once

#include <string_view>

#include "catalog/list_reader.h"

namespace myrtlegrade {

// Takes bytes off the front, up to the end of the list that they belong to. `ended` is set where an empty
// line or a list came to its end. Whole: it has to be taken, and next() called, before there is more to read.
valedrum::catalog::ListReader::Status read_watch(valedrum::catalog::ListReader& reader,
                                                 std::string_view& bytes, bool& ended);

}  // namespace myrtlegrade
