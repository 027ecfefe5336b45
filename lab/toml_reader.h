// Reads TOML into the lab's structures: every field has bounds, none goes unread, and what is wrong is named
// with line and column. A structure's fields are told by a function template `fields(visitor, structure)`
// beside its type.
#pragma once

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "random.h"
#include "scenario.h"

namespace valedrum::lab {

// The words of an enumeration, in its order: a specialization has them as `all`.
template <typename Enum>
struct Names;

struct Bounds {
  double least = 0, most = 0;
};

class Reader {
 public:
  Reader(const toml::table& table, const std::string& path) : table_(table), path_(path) {}

  // Every key has to be one that was asked for.
  void refuse_unknown() const {
    for (const auto& [key, node] : table_) {
      if (!asked_.contains(std::string(key.str()))) {
        fail(path_, key.source().begin, "unknown field '" + std::string(key.str()) + "'");
      }
    }
  }

  void operator()(const char* name, double& value, Bounds bounds) {
    if (const toml::node* node = find(name)) value = number(*node, name, bounds);
  }
  void operator()(const char* name, Range& value, Bounds bounds) {
    const toml::node* node = find(name);
    if (!node) return;
    const toml::array* both = node->as_array();
    if (!both) {
      value.low = value.high = number(*node, name, bounds);
      return;
    }
    if (both->size() != 2) fail(*node, name, "must be a number or a range of two");
    value = {number(*both->get(0), name, bounds), number(*both->get(1), name, bounds)};
    if (value.low > value.high) fail(*node, name, "is a range whose ends are upside down");
  }
  void operator()(const char* name, std::uint32_t& value, Bounds bounds) {
    const toml::node* node = find(name);
    if (!node) return;
    if (!node->is_integer()) fail(*node, name, "must be a whole number");
    value = static_cast<std::uint32_t>(number(*node, name, bounds));
  }
  void operator()(const char* name, std::int64_t& value) {
    const toml::node* node = find(name);
    if (!node) return;
    if (!node->is_integer()) fail(*node, name, "must be a whole number");
    value = *node->value<std::int64_t>();
  }
  void operator()(const char* name, bool& value) {
    const toml::node* node = find(name);
    if (!node) return;
    if (!node->is_boolean()) fail(*node, name, "must be true or false");
    value = *node->value<bool>();
  }
  void operator()(const char* name, std::string& value) {
    const toml::node* node = find(name);
    if (!node) return;
    if (!node->is_string()) fail(*node, name, "must be text");
    value = *node->value<std::string>();
  }
  template <typename Enum>
  requires std::is_enum_v<Enum>
  void operator()(const char* name, Enum& value) {
    std::string text(Names<Enum>::all[static_cast<std::size_t>(value)]);
    (*this)(name, text);
    const auto at = std::ranges::find(Names<Enum>::all, text);
    if (at == Names<Enum>::all.end()) fail(*find(name), name, "can't be '" + text + "'");
    value = static_cast<Enum>(at - Names<Enum>::all.begin());
  }
  template <typename Spec>
  requires std::is_class_v<Spec>
  void operator()(const char* name, Spec& spec) {
    const toml::node* node = find(name);
    if (!node) return;
    const toml::table* table = node->as_table();
    if (!table) fail(*node, name, "must be a table");
    Reader inner(*table, path_);
    fields(inner, spec);
    inner.refuse_unknown();
  }
  template <typename Spec>
  void operator()(const char* name, std::vector<Spec>& specs) {
    const toml::node* node = find(name);
    if (!node) return;
    const toml::array* all = node->as_array();
    if (!all || all->empty() || !all->is_homogeneous(toml::node_type::table)) {
      fail(*node, name, "must be tables");
    }
    specs.clear();
    for (const toml::node& one : *all) {
      Reader inner(*one.as_table(), path_);
      fields(inner, specs.emplace_back());
      inner.refuse_unknown();
    }
  }

  [[noreturn]] static void fail(const std::string& path, const toml::source_position& at,
                                const std::string& what) {
    throw ScenarioError(path + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + what);
  }

 private:
  [[noreturn]] void fail(const toml::node& node, const char* name, const std::string& what) const {
    fail(path_, node.source().begin, std::string(name) + " " + what);
  }

  const toml::node* find(const char* name) {
    asked_.insert(name);
    return table_.get(name);
  }

  double number(const toml::node& node, const char* name, Bounds bounds) const {
    const auto value = node.is_number() ? node.value<double>() : std::nullopt;
    if (!value) fail(node, name, "must be a number");
    if (!std::isfinite(*value) || *value < bounds.least || *value > bounds.most) {
      std::ostringstream text;
      text << "must lie from " << bounds.least << " to " << bounds.most;
      fail(node, name, text.str());
    }
    return *value;
  }

  const toml::table& table_;
  const std::string& path_;
  std::set<std::string> asked_;
};

inline std::string read_toml_text(const std::string& path) {
  std::ifstream file(path);
  std::string text{std::istreambuf_iterator<char>(file), {}};
  if (!file || text.empty()) throw ScenarioError(path + ": can't be read");
  return text;
}

// A table whose `version` is the one that the program knows.
inline toml::table parse_toml(std::string_view text, const std::string& path, std::int64_t known) {
  toml::table table;
  try {
    table = toml::parse(text, path);
  } catch (const toml::parse_error& e) {
    Reader::fail(path, e.source().begin, std::string(e.description()));
  }
  const toml::node* version = table.get("version");
  if (!version || !version->is_integer()) throw ScenarioError(path + ":1:1: version is missing");
  if (*version->value<std::int64_t>() != known) {
    Reader::fail(path, version->source().begin,
                 "version must be " + std::to_string(known) + ", the one that this program knows");
  }
  return table;
}

}  // namespace valedrum::lab
