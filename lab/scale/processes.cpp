#include "processes.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <system_error>

namespace valedrum::lab::scale {

void write_all(int to, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = ::write(to, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) throw std::system_error(errno, std::generic_category(), "a pipe of the scale run");
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
}

std::string read_line(int from) {
  std::string line;
  for (char c = 0;;) {
    const ssize_t n = ::read(from, &c, 1);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0 || c == '\n') return line;
    line += c;
  }
}

std::uint64_t resident_bytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  std::uint64_t whole = 0, resident = 0;
  file >> whole >> resident;
  return resident * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::int64_t cpu_ticks(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text{std::istreambuf_iterator<char>(file), {}};
  std::istringstream fields(text.substr(std::min(text.size(), text.rfind(')') + 1)));
  std::string skipped;
  for (int field = 3; field < 14; ++field) fields >> skipped;
  std::int64_t user = 0, system = 0;
  fields >> user >> system;
  return user + system;
}

std::string program_of(pid_t pid) {
  std::error_code error;
  return std::filesystem::read_symlink("/proc/" + std::to_string(pid) + "/exe", error).string();
}

std::int64_t process_cpu_ns() {
  timespec t{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return t.tv_sec * 1'000'000'000LL + t.tv_nsec;
}

std::uint64_t machine_bytes() {
  return static_cast<std::uint64_t>(::sysconf(_SC_PHYS_PAGES)) *
         static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

std::vector<pid_t> with_descendants(pid_t pid) {
  std::vector<pid_t> all{pid};
  for (std::size_t i = 0; i < all.size(); ++i) {
    const std::string task =
        "/proc/" + std::to_string(all[i]) + "/task/" + std::to_string(all[i]) + "/children";
    std::ifstream children(task);
    for (pid_t child = 0; children >> child;) all.push_back(child);
  }
  return all;
}

Process::Process(const std::function<void(int in, int out)>& work) {
  std::array<int, 2> down{}, up{};
  if (::pipe2(down.data(), O_CLOEXEC) != 0 || ::pipe2(up.data(), O_CLOEXEC) != 0)
    throw std::system_error(errno, std::generic_category(), "pipe");
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with who started it, however that ends
    if (::getppid() != parent) ::_exit(127);
    std::signal(SIGINT, SIG_IGN);  // from a terminal it goes to all: the first process ends the others
    std::signal(SIGTERM, SIG_DFL);
    ::close(down[1]);
    ::close(up[0]);
    int status = 0;
    try {
      work(down[0], up[1]);
    } catch (const std::exception& e) {
      status = 1;
      try {
        write_all(up[1], std::string("error ") + e.what() + "\n");
      } catch (const std::exception&) {
      }
    }
    ::_exit(status);
  }
  ::close(down[0]);
  ::close(up[1]);
  to_it_ = down[1];
  from_it_ = up[0];
  ::fcntl(from_it_, F_SETFL, O_NONBLOCK);
}

Process::~Process() {
  ::kill(pid_, SIGKILL);
  while (::waitpid(pid_, nullptr, 0) < 0 && errno == EINTR) {
  }
  ::close(to_it_);
  ::close(from_it_);
}

std::vector<std::string> Process::lines() {
  std::array<char, 1U << 16> buffer;
  for (;;) {
    const ssize_t n = ::read(from_it_, buffer.data(), buffer.size());
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) break;
    if (n == 0) {
      ended_ = true;
      break;
    }
    kept_.append(buffer.data(), static_cast<std::size_t>(n));
  }
  std::vector<std::string> all;
  for (std::size_t end; (end = kept_.find('\n')) != std::string::npos;) {
    all.push_back(kept_.substr(0, end));
    kept_.erase(0, end + 1);
  }
  return all;
}

}  // namespace valedrum::lab::scale
