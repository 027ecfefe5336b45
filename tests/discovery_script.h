// What a stand-in for discovery does with one call, piece by piece: played on virtual time and on sockets.
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

struct Piece {
  enum class What { half_head, head, unavailable, body, reset };
  Milliseconds after{};  // the piece before, or the call
  What what = What::body;
  std::string bytes{};
};
using Script = std::vector<Piece>;  // behind its last piece the connection stays open, and silent

enum class Fault {
  refused,
  silent,
  half_head,
  head_alone,
  half_list,
  half_then_blanks,
  dripped,
  dripped_blanks,
  unavailable,
  reset_in_list,
  stale_alive,
  stale_silent,
  spoilt,
  listed_then_silent,
};
constexpr int kFaults = 14;

// A list of all that is numbered from `first` to `last`; one endpoint's zone bears what could be taken for
// the structure.
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

// The text in pieces of any size, a few milliseconds apart.
inline void add_cut(Script& script, Random& random, const std::string& text, Milliseconds after) {
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t count = std::min<std::size_t>(draw(random, 1, 400), text.size() - at);
    script.push_back(
        {at == 0 ? after : Milliseconds(draw(random, 0, 3)), Piece::What::body, text.substr(at, count)});
    at += count;
  }
}

// `list`: what it would have said; `stale`: an older whole one.
inline Script faulty(Fault fault, Random& random, const std::string& list, const std::string& stale) {
  using What = Piece::What;
  const auto some = [&](const std::string& text) {
    return text.substr(0, draw(random, 1, static_cast<int>(text.size()) - 3));
  };
  const Piece head{Milliseconds(draw(random, 0, 20)), What::head};
  Script script;
  switch (fault) {
    case Fault::refused:
      return {{Milliseconds(1), What::reset}};
    case Fault::silent:
      return {};
    case Fault::half_head:
      return {{Milliseconds(draw(random, 0, 900)), What::half_head}};
    case Fault::unavailable:
      return {{Milliseconds(draw(random, 0, 900)), What::unavailable}};
    case Fault::head_alone:
      return {{Milliseconds(draw(random, 0, 2500)), What::head}};
    case Fault::half_list:
      return {head, {Milliseconds(draw(random, 0, 2500)), What::body, some(list)}};
    case Fault::spoilt:
      return {head, {Milliseconds(5), What::body, some(list) + "}]\x01{\n"}};
    case Fault::reset_in_list:
      return {
          head, {Milliseconds(5), What::body, some(list)}, {Milliseconds(draw(random, 0, 900)), What::reset}};
    case Fault::half_then_blanks:
      script = {head, {Milliseconds(5), What::body, some(list)}};
      for (int i = 0; i < 100; ++i) script.push_back({Milliseconds(900), What::body, "\n"});
      return script;
    case Fault::dripped:
      script = {head};
      for (const char c : list) script.push_back({Milliseconds(draw(random, 100, 700)), What::body, {c}});
      return script;
    case Fault::dripped_blanks:  // a blank is no empty line
      script = {head};
      for (int i = 0; i < 600; ++i) script.push_back({Milliseconds(draw(random, 100, 700)), What::body, " "});
      return script;
    case Fault::stale_alive:
    case Fault::stale_silent:
      script = {head, {Milliseconds(5), What::body, stale}};
      for (int i = 0; i < 50 && fault == Fault::stale_alive; ++i)
        script.push_back({Milliseconds(2000), What::body, "\n"});
      return script;
    case Fault::listed_then_silent:
      script = {head};
      add_cut(script, random, list, Milliseconds(5));
      return script;
  }
  return script;
}

}  // namespace myrtlegrade::test
