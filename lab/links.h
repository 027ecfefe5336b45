// What the day's faults do to what relays say to each other. One account for the emulator and for the wire
// that real processes are driven over.
#pragma once

#include <list>
#include <map>
#include <string>
#include <utility>

#include "day.h"
#include "random.h"

namespace valedrum::lab {

// As the relays of a day are called.
inline std::string relay_name(std::uint32_t relay) {
  std::string name(1, 'n');
  return name += std::to_string(relay);
}

class Links {
 public:
  explicit Links(const Day& day) : day_(day), random_(day.seed, 71) {}

  // Whether this kind of fault is one between relays.
  static bool concerns(FaultKind kind);
  void begin(const Fault& fault) { active_.push_back(&fault); }
  void end(const Fault& fault) { active_.remove(&fault); }

  // Nothing gets from one to the other: neither datagrams nor what is in a stream.
  bool cut(std::uint32_t from, std::uint32_t to) const;

  struct Fate {
    bool lost = false;
    Duration delay{};    // beyond the way's own
    bool twice = false;  // once more, `again` later
    Duration again{};
    bool spoilt = false;
  };
  Fate of_datagram(std::uint32_t from, std::uint32_t to, std::size_t bytes, Time now);
  // How long so many bytes wait for their turn on a throttled way.
  Duration queued(std::uint32_t from, std::uint32_t to, std::size_t bytes, Time now);
  // What a spoilt datagram comes as.
  std::string spoil(std::string bytes);
  bool breaks_stream();
  Duration slow() const;
  // The way's own, one way, without faults.
  Duration way(std::uint32_t from, std::uint32_t to);

 private:
  double sum(FaultKind kind) const;

  const Day& day_;
  Random random_;
  std::list<const Fault*> active_;
  std::map<std::pair<std::uint32_t, std::uint32_t>, Time> busy_;  // a throttled way, until then
};

}  // namespace valedrum::lab
