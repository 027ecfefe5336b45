// Readers of configuration objects whose set of fields is closed: a table maps each field's name to a setter,
// and any other field is rejected.
#pragma once

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

#include "host_list.h"
#include "membership/types.h"

namespace myrtlegrade::fields {

// Throws std::invalid_argument that names the field.
[[noreturn]] inline void reject(std::string_view field, const std::string& what) {
  throw std::invalid_argument("config: " + std::string(field) + ": " + what);
}

inline std::string text(const boost::json::value& value, std::string_view field) {
  if (!value.is_string()) reject(field, "not a string");
  return std::string(value.as_string());
}

// Returns the value clamped to 0 .. 2^30: the checks that follow reject values out of their own, narrower
// range.
inline std::int64_t whole(const boost::json::value& value, std::string_view field) {
  if (!value.is_int64()) reject(field, "not a whole number");
  return std::clamp<std::int64_t>(value.as_int64(), 0, 1 << 30);
}

inline valedrum::membership::Address address(const boost::json::value& value, std::string_view field) {
  const Endpoint e = parse_endpoint(text(value, field), "config: " + std::string(field));
  if (!e.address().is_v4() || e.port() == 0) reject(field, "must be an IPv4 address and a port");
  return {e.address().to_v4().to_uint(), e.port()};
}

// Sets one field of the result from its value. The last argument is the field's full name, for error texts.
template <typename Result>
using Field = std::function<void(Result&, const boost::json::value&, std::string_view)>;

// Applies the setters in `known` to the fields of `object`. `prefix` is the object's name followed by a dot.
template <typename Result>
void read(const boost::json::object& object, const std::map<std::string_view, Field<Result>>& known,
          const std::string& prefix, Result& result) {
  for (const auto& [key, value] : object) {
    const std::string name = prefix + std::string(key);
    const auto field = known.find(std::string_view(key.data(), key.size()));
    if (field == known.end()) reject(name, "unknown field");
    field->second(result, value, name);
  }
}

}  // namespace myrtlegrade::fields
