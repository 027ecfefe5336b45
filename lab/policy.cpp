#include "policy.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <sstream>
#include <utility>

namespace valedrum::lab {
namespace {

using vetchhinge::Settings;

class Product : public Policy {
 public:
  explicit Product(Settings settings) : sender_(std::move(settings)) {}
  std::vector<vetchhinge::Action> step(Time now, std::span<const vetchhinge::Event> events) override {
    return sender_.step(now, events);
  }
  std::optional<vetchhinge::LearnedState> snapshot(Time now) override { return sender_.snapshot(now); }

 private:
  vetchhinge::Sender sender_;
};

using Change = std::function<void(Settings&, double)>;

// What a relay is told may be other than what is true: times in seconds.
const std::map<std::string, Change>& changes() {
  static const std::map<std::string, Change> all = {
      {"slots", [](Settings& s, double v) { s.slots = static_cast<std::uint32_t>(v); }},
      {"max_open", [](Settings& s, double v) { s.max_open = static_cast<std::uint32_t>(v); }},
      {"max_attempts", [](Settings& s, double v) { s.max_attempts = static_cast<std::uint32_t>(v); }},
      {"relays", [](Settings& s, double v) { s.relays = static_cast<std::uint32_t>(v); }},
      {"start_capacity", [](Settings& s, double v) { s.start_capacity = v; }},
      {"overload_factor", [](Settings& s, double v) { s.overload_factor = v; }},
      {"overload_for", [](Settings& s, double v) { s.overload_window = span(v); }},
      {"warm_after", [](Settings& s, double v) { s.slow_start_duration = span(v); }},
      {"max_wait_hint", [](Settings& s, double v) { s.max_wait_hint = span(v); }},
      {"connection_idle", [](Settings& s, double v) { s.connection_idle = span(v); }},
      {"tick", [](Settings& s, double v) { s.tick = span(v); }},
      {"seed", [](Settings& s, double v) { s.seed += static_cast<std::uint64_t>(v); }},
  };
  return all;
}

}  // namespace

const std::vector<std::string>& policy_names() {
  static const std::vector<std::string> names = [] {
    std::vector<std::string> all = {kProduct};
    all.insert(all.end(), textbook_names().begin(), textbook_names().end());
    return all;
  }();
  return names;
}

PolicyMaker policy(const std::string& text) {
  const auto colon = text.find(':');
  const std::string name = text.substr(0, colon);
  if (name != kProduct) {
    if (colon != std::string::npos) throw PolicyError(name + ": has no settings to vary");
    PolicyMaker maker = textbook(name);
    if (maker) return maker;
    std::string known;
    for (const std::string& n : policy_names()) known += " " + n;
    throw PolicyError("unknown policy '" + name + "'; known are" + known);
  }
  std::vector<std::pair<Change, double>> wanted;
  std::istringstream rest(colon == std::string::npos ? "" : text.substr(colon + 1));
  for (std::string part; std::getline(rest, part, ',');) {
    const auto equals = part.find('=');
    const std::string key = part.substr(0, equals);
    const auto change = changes().find(key);
    if (change == changes().end()) {
      std::string known;
      for (const auto& [n, c] : changes()) known += " " + n;
      throw PolicyError("unknown setting '" + key + "'; known are" + known);
    }
    const std::string digits = equals == std::string::npos ? "" : part.substr(equals + 1);
    double value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    if (error != std::errc{} || end != digits.data() + digits.size() || !std::isfinite(value) || value < 0 ||
        value > 1e6) {
      throw PolicyError(key + ": '" + digits + "' is no number from 0 to 1000000");
    }
    wanted.emplace_back(change->second, value);
  }
  Settings probe;  // what the module refuses is refused here, before a day is begun
  probe.classes = {{.aim = span(1), .deadline = span(1)}};
  probe.kinds = {{}};
  for (const auto& [change, value] : wanted) change(probe, value);
  try {
    Product check(probe);
  } catch (const std::invalid_argument& e) {
    throw PolicyError(e.what());
  }
  return [wanted](Settings settings, std::size_t, Truth&) -> std::unique_ptr<Policy> {
    for (const auto& [change, value] : wanted) change(settings, value);
    return std::make_unique<Product>(std::move(settings));
  };
}

}  // namespace valedrum::lab
