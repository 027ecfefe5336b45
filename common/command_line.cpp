#include "command_line.h"

#include <iostream>
#include <sstream>

namespace valedrum {
namespace {

constexpr const char* kHiddenGroup = "";  // CLI11 leaves options of the group "" out of the help

bool is_visible(const CLI::Option* option) { return option->get_group() != kHiddenGroup; }

std::vector<const CLI::App*> subcommands(const CLI::App& app) {
  return app.get_subcommands([](const CLI::App* sub) { return !sub->get_name().empty(); });
}

// Escapes text for a cell of a Markdown table.
std::string escape_cell(const std::string& text) {
  std::string out;
  for (const char c : text) out += c == '|' ? "\\|" : std::string(1, c);
  return out;
}

// Prints the table of options of one command.
void print_options(const CLI::App& app, std::ostream& out) {
  std::ostringstream rows;
  for (const CLI::Option* option : app.get_options()) {
    if (!is_visible(option)) continue;
    const bool positional = option->get_positional();
    rows << "| `" << (positional ? option->get_name(true) : option->get_name(false, true)) << "` | "
         << escape_cell(option->get_description());
    if (option->get_required()) rows << " (required)";
    if (!option->get_default_str().empty())
      rows << " (default: `" << escape_cell(option->get_default_str()) << "`)";
    rows << " |\n";
  }
  if (!rows.str().empty()) out << "| option | meaning |\n| --- | --- |\n" << rows.str() << '\n';
}

// Returns the subcommands and long options of one command, separated by spaces.
std::string completion_words(const CLI::App& app) {
  std::string words;
  for (const CLI::App* sub : subcommands(app)) words += sub->get_name() + " ";
  for (const CLI::Option* option : app.get_options()) {
    if (!is_visible(option)) continue;
    for (const std::string& name : option->get_lnames()) words += "--" + name + " ";
  }
  if (!words.empty()) words.pop_back();
  return words;
}

}  // namespace

std::string markdown_reference(const CLI::App& app) {
  std::ostringstream out;
  out << "## " << app.get_name() << "\n\n" << app.get_description() << "\n\n";
  print_options(app, out);
  for (const CLI::App* sub : subcommands(app)) {
    out << "### " << app.get_name() << ' ' << sub->get_name() << "\n\n" << sub->get_description() << ".\n\n";
    print_options(*sub, out);
    for (const CLI::App* inner : subcommands(*sub)) {
      out << "#### " << app.get_name() << ' ' << sub->get_name() << ' ' << inner->get_name() << "\n\n"
          << inner->get_description() << ".\n\n";
      print_options(*inner, out);
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
  for (const CLI::App* sub : subcommands(app)) {
    out << "    " << sub->get_name() << ") words=\"" << completion_words(*sub) << "\" ;;\n";
  }
  out << "    *) words=\"" << completion_words(app) << "\" ;;\n  esac\n"
      << "  [ \"$COMP_CWORD\" -gt 1 ] || words=\"" << completion_words(app) << "\"\n"
      << "  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n"
      << "  [ ${#COMPREPLY[@]} -gt 0 ] || COMPREPLY=($(compgen -f -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n"
      << "complete -F _" << name << ' ' << name << '\n';
  return out.str();
}

int run_command_line(CLI::App& app, int argc, const char* const* argv, const int& status) {
  app.failure_message([](const CLI::App* failed, const CLI::Error& e) {
    return failed->get_name() + ": " + e.what() + " (see --help)\n";
  });
  bool print_reference = false, print_completion = false;
  app.add_flag("--markdown", print_reference)->group(kHiddenGroup);
  app.add_flag("--completion", print_completion, "Print the completion for bash, and exit");
  // These options need no subcommand: whether one was given is checked after them.
  app.require_subcommand(0, 1);
  try {
    app.parse(argc, argv);
    if (print_reference) {
      std::cout << markdown_reference(app);
    } else if (print_completion) {
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
