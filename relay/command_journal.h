// `myrtlegrade journal`: inspects the journal of a relay. It only reads, and may run beside a running relay.
#pragma once

#include <string>

namespace myrtlegrade {

struct JournalCommand {
  std::string folder;
  bool as_json = false;

  // Each prints, and returns the exit status: kNegativeResult if the journal is damaged.
  int show() const;
  int verify() const;
  int stats() const;
};

}  // namespace myrtlegrade
