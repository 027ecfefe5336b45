// What the commands of valedrum_lab have in common. Each adds itself to the program and sets its exit status.
#pragma once

#include <CLI/CLI.hpp>
#include <atomic>
#include <fstream>
#include <string>
#include <thread>

#include "result.h"
#include "scenario.h"

namespace valedrum::lab {

inline constexpr int kRuleBroken = 1, kInterrupted = 130;

// Set by SIGINT and SIGTERM.
extern std::atomic<bool> stopped;

// Opened before a run, so that what can't be written fails early. No file for an empty path.
std::ofstream open_output(const std::string& path);

// On a terminal alone: a file or a pipe gets what counts.
void show_progress(double share);

void print(const RunResult& result);

struct Common {
  std::string scenario;
  std::uint32_t relays = 0;
  double load = 0;
  unsigned jobs = std::max(1U, std::thread::hardware_concurrency());

  void add_to(CLI::App& app);
  Scenario read() const;
};

void add_run(CLI::App& app, int& status);
void add_compare(CLI::App& app, int& status);
void add_sweep(CLI::App& app, int& status);
void add_report(CLI::App& app, int& status);
void add_search(CLI::App& app, int& status);
void add_drive(CLI::App& app, int& status);
void add_fleet(CLI::App& app, int& status);
void add_copies(CLI::App& app, int& status);
void add_capacity(CLI::App& app, int& status);
void add_backlog(CLI::App& app, int& status);
void add_scale(CLI::App& app, int& status);
void add_soak(CLI::App& app, int& status);

}  // namespace valedrum::lab
