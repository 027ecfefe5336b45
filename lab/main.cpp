// valedrum_lab: plays days of an emulated fleet, and says what they show.
#include <csignal>

#include "command_line.h"
#include "tool.h"

namespace valedrum::lab {

std::atomic<bool> stopped = false;

namespace {

void stop(int) { stopped = true; }

int run(int argc, char** argv) {
  CLI::App app{"Plays days of an emulated fleet of relays, and says what they show.", "valedrum_lab"};
  app.footer("Exit status: 0 done, 1 a rule was broken, 2 bad input, 130 interrupted. See docs/lab.md.");
  int status = 0;
  add_run(app, status);
  add_compare(app, status);
  add_sweep(app, status);
  add_report(app, status);
  add_search(app, status);
  add_drive(app, status);
  add_fleet(app, status);
  add_copies(app, status);
  add_capacity(app, status);
  add_backlog(app, status);
  add_scale(app, status);
  add_soak(app, status);
  return run_command_line(app, argc, argv, status);
}

}  // namespace
}  // namespace valedrum::lab

int main(int argc, char** argv) {
  std::signal(SIGINT, valedrum::lab::stop);
  std::signal(SIGTERM, valedrum::lab::stop);
  return valedrum::lab::run(argc, argv);
}
