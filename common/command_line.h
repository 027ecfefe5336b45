// Command-line handling shared by all programs: parsing, exit status, and the pages generated from the
// options.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace valedrum {

inline constexpr int kExitUsageError = 2;  // exit status

// Parses the command line and runs the selected subcommand. Returns the exit status: `status`, which the
// subcommand sets, or 0 for help, or kExitUsageError after one line on standard error if parsing fails or a
// subcommand throws an exception. Adds the option `--completion`, which prints the program's bash completion,
// and the hidden option `--markdown`, which prints its reference page.
int run_command_line(CLI::App& app, int argc, const char* const* argv, const int& status);

// Returns the program's reference page: all commands and their options, with the texts of `--help`.
std::string markdown_reference(const CLI::App& app);

// Returns a bash script that completes commands and options.
std::string bash_completion(const CLI::App& app);

}  // namespace valedrum
