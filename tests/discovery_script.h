// Scripts for a fake discovery service: the steps of its answer to one request, with all faults that the
// tests use. They are played on virtual time and on sockets.
#pragma once

#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace myrtlegrade::test {

using Milliseconds = std::chrono::milliseconds;

struct Step {
  enum class Action { half_head, head, unavailable, body, reset };
  Milliseconds after{};  // since the previous step, or since the request
  Action action = Action::body;
  std::string bytes{};
};
using Script = std::vector<Step>;  // after the last step the connection stays open and silent

enum class Fault {
  refused,
  silent,
  half_head,
  head_alone,
  half_list,
  half_list_then_newlines,
  slow_bytes,
  slow_spaces,
  unavailable,
  reset_in_list,
  stale_alive,
  stale_silent,
  invalid_json,
  listed_then_silent,
};
constexpr int kFaultCount = 14;

// Returns a list of the endpoints `first` to `last`. Their zone contains characters that could be mistaken
// for JSON structure.
inline std::string list_text(std::int64_t version, bool whole, int first, int last, bool indented) {
  namespace json = boost::json;
  const std::string end = indented ? "\n    " : "";
  std::string text = "{";
  text.append(end).append("\"version\":").append(std::to_string(version)).append(",").append(end);
  text.append(whole ? "\"full\":true," : "\"full\":false,").append(end).append("\"servers\": [").append(end);
  for (int n = first; n <= last; ++n) {
    const json::object entry{{"id", std::to_string(n)},
                             {"addr", "127.0.0.1:7070"},
                             {"zone", "a}{]\"\\"},
                             {"kind", "plain"},
                             {"cell", 3},
                             {"state", "SERVING"},
                             {"weight", 1.0},
                             {"started_ms", 0}};
    text.append(json::serialize(entry)).append(n < last ? "," : "").append(end);
  }
  return text.append(indented ? "]\n}\n" : "]}\n");
}

using Random = std::mt19937_64;
inline int draw(Random& random, int from, int to) {
  return from + static_cast<int>(random() % static_cast<std::uint64_t>(to - from + 1));
}

// Appends the text in chunks of random sizes, a few milliseconds apart.
inline void add_chunks(Script& script, Random& random, const std::string& text, Milliseconds after) {
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t count = std::min<std::size_t>(draw(random, 1, 400), text.size() - at);
    script.push_back(
        {at == 0 ? after : Milliseconds(draw(random, 0, 3)), Step::Action::body, text.substr(at, count)});
    at += count;
  }
}

// Returns the script of a faulty answer. `list` is the correct list, `stale` an older full list.
inline Script faulty_script(Fault fault, Random& random, const std::string& list, const std::string& stale) {
  using Action = Step::Action;
  const auto prefix_of = [&](const std::string& text) {
    return text.substr(0, draw(random, 1, static_cast<int>(text.size()) - 3));
  };
  const Step head{Milliseconds(draw(random, 0, 20)), Action::head};
  Script script;
  switch (fault) {
    case Fault::refused:
      return {{Milliseconds(1), Action::reset}};
    case Fault::silent:
      return {};
    case Fault::half_head:
      return {{Milliseconds(draw(random, 0, 900)), Action::half_head}};
    case Fault::unavailable:
      return {{Milliseconds(draw(random, 0, 900)), Action::unavailable}};
    case Fault::head_alone:
      return {{Milliseconds(draw(random, 0, 2500)), Action::head}};
    case Fault::half_list:
      return {head, {Milliseconds(draw(random, 0, 2500)), Action::body, prefix_of(list)}};
    case Fault::invalid_json:
      return {head, {Milliseconds(5), Action::body, prefix_of(list) + "}]\x01{\n"}};
    case Fault::reset_in_list:
      return {head,
              {Milliseconds(5), Action::body, prefix_of(list)},
              {Milliseconds(draw(random, 0, 900)), Action::reset}};
    case Fault::half_list_then_newlines:
      script = {head, {Milliseconds(5), Action::body, prefix_of(list)}};
      for (int i = 0; i < 100; ++i) script.push_back({Milliseconds(900), Action::body, "\n"});
      return script;
    case Fault::slow_bytes:
      script = {head};
      for (const char c : list) script.push_back({Milliseconds(draw(random, 100, 700)), Action::body, {c}});
      return script;
    case Fault::slow_spaces:  // a space is not an empty line
      script = {head};
      for (int i = 0; i < 600; ++i)
        script.push_back({Milliseconds(draw(random, 100, 700)), Action::body, " "});
      return script;
    case Fault::stale_alive:
    case Fault::stale_silent:
      script = {head, {Milliseconds(5), Action::body, stale}};
      for (int i = 0; i < 50 && fault == Fault::stale_alive; ++i)
        script.push_back({Milliseconds(2000), Action::body, "\n"});
      return script;
    case Fault::listed_then_silent:
      script = {head};
      add_chunks(script, random, list, Milliseconds(5));
      return script;
  }
  return script;
}

}  // namespace myrtlegrade::test
