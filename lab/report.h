// One self-contained page from the documents that `run --json` wrote.
#pragma once

#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace valedrum::lab {

// Reads a run's document. Throws ScenarioError, with the path, for what is none or of another schema.
boost::json::object read_run(const std::string& path);
// Any document of schema 1 that the lab has written.
boost::json::object read_document(const std::string& path);

std::string report(const std::vector<boost::json::object>& runs, bool by_relay);

}  // namespace valedrum::lab
