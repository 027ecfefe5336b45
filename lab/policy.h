// What the lab plays: the product's module, baselines from their public descriptions, and an oracle, all in
// the module's interface.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <vector>

#include "day.h"

namespace valedrum::lab {

inline constexpr double kUnreachable = 1e9;

// The true state, which no relay can see: for the oracle alone.
class Truth {
 public:
  virtual ~Truth() = default;
  // Calls that the host would take and end well, with those on the way counted in.
  virtual double room(std::uint32_t host) = 0;
  // Seconds until a call sent now would be answered; kUnreachable where it would not be.
  virtual double answer_in(std::uint32_t relay, std::uint32_t host) = 0;
};

class Policy {
 public:
  virtual ~Policy() = default;
  virtual std::vector<vetchhinge::Action> step(Time now, std::span<const vetchhinge::Event> events) = 0;
  // For the process that takes its place; nothing where it can't tell.
  virtual std::optional<vetchhinge::LearnedState> snapshot(Time) { return std::nullopt; }
};

using PolicyMaker =
    std::function<std::unique_ptr<Policy>(vetchhinge::Settings settings, std::size_t relay, Truth& truth)>;

class PolicyError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline constexpr const char* kProduct = "product";
inline constexpr const char* kFloor = "one_try";
inline constexpr const char* kTop = "oracle";

// The names that policy() knows, the product first.
const std::vector<std::string>& policy_names();

// By name; "product:slots=8,start_capacity=0.5" is the product with settings that differ from the true ones.
// Throws PolicyError for a name or a setting that is not known, or a value that can't be one.
PolicyMaker policy(const std::string& text);

// Baselines and oracle, by name; nothing if it is none of them.
PolicyMaker textbook(const std::string& name);
const std::vector<std::string>& textbook_names();

}  // namespace valedrum::lab
