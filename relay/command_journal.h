// `myrtlegrade journal`: looks at what a relay has taken on. It only reads, beside a living relay too.
#pragma once

#include <string>

namespace myrtlegrade {

struct JournalCommand {
  std::string folder;
  bool as_json = false;

  // Each prints, and returns the exit status: that of a no where the journal is damaged.
  int show() const;
  int verify() const;
  int stats() const;
};

}  // namespace myrtlegrade
