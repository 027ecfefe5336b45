#include "command_line.h"

#include <iostream>
#include <sstream>

namespace valedrum {
namespace {

constexpr const char* kHidden = "";  // CLI11's name for the group that help leaves out

bool shown(const CLI::Option* option) { return option->get_group() != kHidden; }

std::vector<const CLI::App*> commands(const CLI::App& app) {
  return app.get_subcommands([](const CLI::App* sub) { return !sub->get_name().empty(); });
}

// A cell of a table must not end it.
std::string cell(const std::string& text) {
  std::string out;
  for (const char c : text) out += c == '|' ? "\\|" : std::string(1, c);
  return out;
}

void options(const CLI::App& app, std::ostream& out) {
  std::ostringstream rows;
  for (const CLI::Option* option : app.get_options()) {
    if (!shown(option)) continue;
    const bool positional = option->get_positional();
    rows << "| `" << (positional ? option->get_name(true) : option->get_name(false, true)) << "` | "
         << cell(option->get_description());
    if (option->get_required()) rows << " (required)";
    if (!option->get_default_str().empty()) rows << " (default: `" << cell(option->get_default_str()) << "`)";
    rows << " |\n";
  }
  if (!rows.str().empty()) out << "| option | meaning |\n| --- | --- |\n" << rows.str() << '\n';
}

std::string words(const CLI::App& app) {
  std::string all;
  for (const CLI::App* sub : commands(app)) all += sub->get_name() + " ";
  for (const CLI::Option* option : app.get_options()) {
    if (!shown(option)) continue;
    for (const std::string& name : option->get_lnames()) all += "--" + name + " ";
  }
  if (!all.empty()) all.pop_back();
  return all;
}

}  // namespace

std::string markdown_reference(const CLI::App& app) {
  std::ostringstream out;
  out << "## " << app.get_name() << "\n\n" << app.get_description() << "\n\n";
  options(app, out);
  for (const CLI::App* sub : commands(app)) {
    out << "### " << app.get_name() << ' ' << sub->get_name() << "\n\n" << sub->get_description() << ".\n\n";
    options(*sub, out);
    for (const CLI::App* inner : commands(*sub)) {
      out << "#### " << app.get_name() << ' ' << sub->get_name() << ' ' << inner->get_name() << "\n\n"
          << inner->get_description() << ".\n\n";
      options(*inner, out);
    }
  }
  std::string footer = app.get_footer();
  if (!footer.empty()) out << footer << "\n\n";
  return out.str();
}

std::string bash_completion(const CLI::App& app) {
  std::ostringstream out;
  const std::string& name = app.get_name();
  out << "_" << name << "() {\n  local words\n  case \"${COMP_WORDS[1]}\" in\n";
  for (const CLI::App* sub : commands(app)) {
    out << "    " << sub->get_name() << ") words=\"" << words(*sub) << "\" ;;\n";
  }
  out << "    *) words=\"" << words(app) << "\" ;;\n  esac\n"
      << "  [ \"$COMP_CWORD\" -gt 1 ] || words=\"" << words(app) << "\"\n"
      << "  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n"
      << "  [ ${#COMPREPLY[@]} -gt 0 ] || COMPREPLY=($(compgen -f -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n"
      << "complete -F _" << name << ' ' << name << '\n';
  return out.str();
}

int run_command_line(CLI::App& app, int argc, const char* const* argv, const int& status) {
  app.failure_message([](const CLI::App* failed, const CLI::Error& e) {
    return failed->get_name() + ": " + e.what() + " (--help says more)\n";
  });
  bool page = false, complete = false;
  app.add_flag("--markdown", page)->group(kHidden);
  app.add_flag("--completion", complete, "Print the completion for bash, and exit");
  // Before a command is asked for: these need none.
  app.require_subcommand(0, 1);
  try {
    app.parse(argc, argv);
    if (page) {
      std::cout << markdown_reference(app);
    } else if (complete) {
      std::cout << bash_completion(app);
    } else if (app.get_subcommands().empty()) {
      throw CLI::RequiredError("A subcommand");
    }
    return status;
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kExitUsageError;
  } catch (const std::exception& e) {
    std::cerr << app.get_name() << ": " << e.what() << '\n';
    return kExitUsageError;
  }
}

}  // namespace valedrum
