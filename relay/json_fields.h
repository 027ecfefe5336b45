// Objects of the configuration whose fields are all known: a name each, and what it does to the result.
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

[[noreturn]] inline void reject(std::string_view field, const std::string& what) {
  throw std::invalid_argument("config: " + std::string(field) + ": " + what);
}

inline std::string text(const boost::json::value& value, std::string_view field) {
  if (!value.is_string()) reject(field, "not a text");
  return std::string(value.as_string());
}

// What is out of all reason is cut to where the checks refuse it.
inline std::int64_t whole(const boost::json::value& value, std::string_view field) {
  if (!value.is_int64()) reject(field, "not a whole number");
  return std::clamp<std::int64_t>(value.as_int64(), 0, 1 << 30);
}

inline valedrum::membership::Address address(const boost::json::value& value, std::string_view field) {
  const Endpoint e = parse_endpoint(text(value, field), "config: " + std::string(field));
  if (!e.address().is_v4() || e.port() == 0) reject(field, "must be an IPv4 address and a port");
  return {e.address().to_v4().to_uint(), e.port()};
}

template <typename Result>
using Field = std::function<void(Result&, const boost::json::value&, std::string_view)>;

// `place`: the object's name, with a dot behind it.
template <typename Result>
void read(const boost::json::object& object, const std::map<std::string_view, Field<Result>>& known,
          const std::string& place, Result& result) {
  for (const auto& [key, value] : object) {
    const std::string name = place + std::string(key);
    const auto field = known.find(std::string_view(key.data(), key.size()));
    if (field == known.end()) reject(name, "unknown field");
    field->second(result, value, name);
  }
}

}  // namespace myrtlegrade::fields
