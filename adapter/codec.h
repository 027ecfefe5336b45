/// Conversion between the text lines of the wire and the types of the decision module.
#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "vetchhinge/policy.h"

namespace vetchhinge::drill {

/// A line that cannot be parsed; the text names the kind of line and the field.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// One line of the wire: a name, followed by name=value fields.
class Line {
 public:
  explicit Line(std::string_view text);

  std::string_view name() const { return name_; }
  const std::vector<std::pair<std::string_view, std::string_view>>& fields() const { return fields_; }

  std::optional<std::string_view> find(std::string_view field) const;
  std::string_view text(std::string_view field) const;
  std::uint64_t integer(std::string_view field, std::uint64_t max) const;
  double number(std::string_view field) const;
  Duration duration(std::string_view field) const;
  Time time(std::string_view field) const;
  bool flag(std::string_view field) const;

 private:
  std::string_view name_;
  std::vector<std::pair<std::string_view, std::string_view>> fields_;
};

/// Numbers for the names of one kind, in the order of first use. A number is never reused, as pending events
/// may still carry that of a name that was forgotten.
class Names {
 public:
  std::uint32_t number(std::string_view name);
  std::optional<std::uint32_t> find(std::string_view name) const;
  /// Throws std::out_of_range, which names the number, if it was never given out or is forgotten.
  const std::string& name(std::uint32_t number) const;
  /// Gives out another number for a name, which find() and number() do not return.
  std::uint32_t detached_number(std::string_view name);
  void forget(std::uint32_t number);
  /// Detaches the name, which gets another number on its next use. The number keeps the name until it is
  /// forgotten.
  void release_name(std::uint32_t number);

 private:
  std::unordered_map<std::string, std::uint32_t> numbers_;
  std::unordered_map<std::uint32_t, std::string> names_;
  std::uint32_t next_ = 0;
};

/// The names on the wire as known to one instance.
struct Dialect {
  Names classes;
  Names tenants;
  Names kinds;
  Names zones;
  Names hosts;
  bool listed_rates = false;
  std::optional<std::size_t> share_left;  // index in a load report
  std::optional<std::size_t> calls_per_second;
};

/// A host of a list as sent on the wire. Lists belong to the process, numbers to each instance.
struct WireHost {
  std::string host;
  std::string kind;
  std::string zone;
  std::uint64_t cell = 0;
  HostState state = HostState::running;
  double scale = 1;
};

Settings read_settings(const Line& line, Dialect& dialect);
WireHost read_host(const Line& line);
HostEntry to_entry(const WireHost& h, Dialect& dialect);
HostList read_list(const Line& line, const std::vector<WireHost>& entries, Dialect& dialect);
Message read_message(const Line& line, const Dialect& dialect);
Timer read_timer(const Line& line);
Outcome read_outcome(const Line& line, const Dialect& dialect);
Withdrawn read_withdrawn(const Line& line);

/// Returns one action as a line without line end.
std::string write(const Action& action, const Dialect& dialect);

}  // namespace vetchhinge::drill
