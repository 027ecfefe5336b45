// What the command lines of all programs have in common: how they fail, and what is made from them.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace valedrum {

inline constexpr int kExitUsageError = 2;

// Parses, and runs the subcommand that was asked for. Returns the status to exit with: that of help and of
// what the subcommand set in `status`, or kExitUsageError with one line on standard error, also for an
// exception that a subcommand throws. `--markdown` and `--completion` print the program's page and its
// completion for bash.
int run_command_line(CLI::App& app, int argc, const char* const* argv, const int& status);

// The program's page: every command with its options, as `--help` has them.
std::string markdown_reference(const CLI::App& app);

// Completion of commands and options for bash.
std::string bash_completion(const CLI::App& app);

}  // namespace valedrum
