#include "child.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>
#include <vector>

namespace valedrum::lab {

Child::Child(const std::string& program, const std::map<std::string, std::string>& environment,
             const std::string& log) {
  // All that needs memory comes before the fork.
  std::vector<std::string> variables;
  for (char** e = ::environ; *e; ++e) variables.emplace_back(*e);
  for (const auto& [name, value] : environment) variables.push_back(name + "=" + value);
  std::vector<char*> env;
  for (std::string& v : variables) env.push_back(v.data());
  env.push_back(nullptr);
  std::string path = program;
  char* const args[] = {path.data(), nullptr};
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ > 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the lab, however that ends
  if (::getppid() != parent) ::_exit(127);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const int nowhere = ::open("/dev/null", O_RDWR | O_CLOEXEC);
  ::dup2(nowhere, STDIN_FILENO);
  ::dup2(nowhere, STDOUT_FILENO);
  if (out >= 0) ::dup2(out, STDERR_FILENO);
  ::close_range(3, ~0U, 0);  // no listening socket of the lab stays open in it
  ::execve(args[0], args, env.data());
  ::_exit(127);
}

Child::~Child() {
  if (ended()) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, &status_, 0);
}

void Child::signal(int number) const {
  if (!ended_) ::kill(pid_, number);
}

bool Child::ended() {
  if (!ended_ && ::waitpid(pid_, &status_, WNOHANG) == pid_) ended_ = true;
  return ended_;
}

}  // namespace valedrum::lab
