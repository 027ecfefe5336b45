// valedrum_lab capacity.
#include <boost/json.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>

#include "capacity/backlog.h"
#include "capacity/capacity.h"
#include "tool.h"

namespace valedrum::lab {
namespace {

std::string contents(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw CapacityError("cannot read " + path);
  return {std::istreambuf_iterator<char>(file), {}};
}

struct CapacityPage {
  std::string figures, page;
  bool check = false;

  int operator()() const {
    const std::string before = contents(page);
    const std::string after = render_capacity(boost::json::parse(contents(figures)), before);
    if (after == before) return 0;
    if (check) {
      std::printf("%s does not say what %s gives\n", page.c_str(), figures.c_str());
      return kRuleBroken;
    }
    open_output(page) << after;
    return 0;
  }
};

struct Backlog {
  BacklogOptions options;
  std::string json;

  int operator()() {
    std::ofstream file = open_output(json);
    options.stop = &stopped;
    const std::string text = boost::json::serialize(measure_backlog(options));
    (json.empty() ? std::cout : file) << text << '\n';
    return 0;
  }
};

}  // namespace

void add_backlog(CLI::App& app, int& status) {
  CLI::App* sub =
      app.add_subcommand("backlog", "Memory and disk of a real relay for each message that it holds");
  const auto backlog = std::make_shared<Backlog>();
  sub->add_option("--program", backlog->options.program, "The relay")->required();
  sub->add_option("--messages", backlog->options.messages, "How many are held, one measurement each")
      ->delimiter(',')
      ->check(CLI::Range(1, 1000000));
  sub->add_option("--body", backlog->options.body, "Bytes of a message")
      ->check(CLI::Range(1, 60000))
      ->capture_default_str();
  sub->add_option("--json", backlog->json, "File to write; else standard output");
  sub->callback([backlog, &status] { status = (*backlog)(); });
}

void add_capacity(CLI::App& app, int& status) {
  CLI::App* sub = app.add_subcommand("capacity", "The tables of the page of capacity, from the file of runs");
  const auto page = std::make_shared<CapacityPage>();
  sub->add_option("figures", page->figures, "File of figures and runs (docs/capacity.json)")->required();
  sub->add_option("page", page->page, "Page whose tables are made anew (docs/CAPACITY.md)")->required();
  sub->add_flag("--check", page->check, "Write nothing: status 1 where page and file differ");
  sub->callback([page, &status] { status = (*page)(); });
}

}  // namespace valedrum::lab
