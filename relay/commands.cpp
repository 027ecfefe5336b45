#include "commands.h"

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>

#include "command_admin.h"
#include "command_check.h"
#include "command_journal.h"
#include "command_line.h"
#include "command_view.h"

namespace myrtlegrade {
namespace {

void add_admin_command(CLI::App& app, int& status, const char* name, const char* verb, const char* what,
                       bool with_id) {
  CLI::App* sub = app.add_subcommand(name, what);
  const auto command = std::make_shared<AdminCommand>();
  command->verb = verb;
  if (with_id) sub->add_option("ID", command->id, "The endpoint's id, as discovery has it")->required();
  sub->add_option("--admin", command->admin,
                  "Second address, as 127.0.0.1:7171; else PROXY_ADMIN_ADDR, else the configuration's");
  sub->add_option("--config", command->config, "Configuration that names it; else PROXY_CONFIG");
  sub->add_flag("--json", command->as_json, "Print one JSON object");
  sub->callback([command, &status] { status = command->run(); });
}

}  // namespace

int run_commands(int argc, const char* const* argv, const std::function<int()>& serve) {
  CLI::App app{"One relay: takes messages on, holds them, and delivers each to an endpoint of its partner.",
               "myrtlegrade"};
  app.footer(
      "Without a command it is a relay, with PROXY_CONFIG and PROXY_STATE from the environment, as `run` "
      "is.\n"
      "Exit status: 0 done, 1 the answer is no, 2 bad usage or configuration, 3 nobody answers.");
  int status = 0;

  const auto check_command = std::make_shared<CheckCommand>();
  bool check_only = false;
  CLI::App* run = app.add_subcommand("run", "Be a relay until SIGTERM");
  run->add_option("--config", check_command->config, "Configuration (JSON); else PROXY_CONFIG");
  run->add_option("--state", check_command->state, "Folder that lasts; else PROXY_STATE");
  run->add_flag("--check", check_only, "Check the configuration, and exit");
  run->callback([&, check_command] {
    if (check_only) {
      status = check_command->run();
      return;
    }
    if (!check_command->config.empty()) ::setenv("PROXY_CONFIG", check_command->config.c_str(), 1);
    if (!check_command->state.empty()) ::setenv("PROXY_STATE", check_command->state.c_str(), 1);
    status = serve();
  });

  const auto inspect = std::make_shared<CheckCommand>();
  CLI::App* check_sub =
      app.add_subcommand("check", "Read the configuration, and print what follows from it and from where");
  check_sub->add_option("--config", inspect->config, "Configuration (JSON); else PROXY_CONFIG");
  check_sub->add_option("--state", inspect->state, "Folder that lasts; else PROXY_STATE");
  check_sub->add_flag("--json", inspect->as_json, "Print one JSON object");
  check_sub->callback([inspect, &status] { status = inspect->run(); });

  add_admin_command(app, status, "status", "HEALTH", "Ask whether the relay can serve", false);
  add_admin_command(app, status, "offline", "OFFLINE", "Take an endpoint out, whatever the list says", true);
  add_admin_command(app, status, "online", "ONLINE", "Put an endpoint back", true);
  add_admin_command(app, status, "leave", "LEAVE", "Empty the relay of clients", false);
  add_admin_command(app, status, "join", "JOIN", "Take clients again", false);

  CLI::App* fleet =
      app.add_subcommand("fleet", "Show the fleet as one relay sees it, or where several differ");
  const auto add_view = [&](CLI::App* sub, const char* verb) {
    const auto view = std::make_shared<ViewCommand>();
    view->verb = verb;
    sub->add_option("--admin", view->admin,
                    "Second address, as 127.0.0.1:7171; else PROXY_ADMIN_ADDR, else the configuration's");
    sub->add_option("--config", view->config, "Configuration that names it; else PROXY_CONFIG");
    sub->add_flag("--json", view->as_json, "Print one JSON object");
    return view;
  };
  const auto view = add_view(fleet, "FLEET");
  fleet->add_option("--diff", view->others, "Second addresses of relays whose views are held side by side")
      ->expected(2, 1000);
  fleet->callback([view, &status] { status = view->run(); });

  CLI::App* copies = app.add_subcommand(
      "copies", "Show what a relay holds for others and they for it, and who may act on it");
  const auto copies_view = add_view(copies, "COPIES");
  copies->callback([copies_view, &status] { status = copies_view->run(); });

  CLI::App* journal = app.add_subcommand(
      "journal", "Look at what a relay has taken on; only reads, beside a living relay too");
  journal->require_subcommand(1);
  const auto journal_command = std::make_shared<JournalCommand>();
  const auto add_journal_command = [&](const char* name, const char* what,
                                       int (JournalCommand::*action)() const) {
    CLI::App* sub = journal->add_subcommand(name, what);
    sub->add_option("FOLDER", journal_command->folder, "The folder that lasts (PROXY_STATE)")->required();
    sub->add_flag("--json", journal_command->as_json, "Print JSON");
    sub->callback([journal_command, action, &status] { status = (journal_command.get()->*action)(); });
  };
  add_journal_command("show", "List the messages that are owed, without their bodies", &JournalCommand::show);
  add_journal_command("verify", "Say whether it is whole, and where it is not", &JournalCommand::verify);
  add_journal_command("stats", "Count what it holds", &JournalCommand::stats);

  app.add_subcommand("version", "Print the version")->callback([] {
    std::printf("myrtlegrade %s\n", VALEDRUM_VERSION);
  });
  return valedrum::run_command_line(app, argc, argv, status);
}

}  // namespace myrtlegrade
