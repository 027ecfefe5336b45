// The processes of a scale run: started as copies of this one, ended with it whatever happens, and watched
// while they run.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace valedrum::lab::scale {

// Throw std::system_error; read_line gives "" at the end of what comes.
void write_all(int to, std::string_view bytes);
std::string read_line(int from);

// Bytes that a process holds in memory; 0 where it is gone.
std::uint64_t resident_bytes(pid_t pid);
std::int64_t cpu_ticks(pid_t pid);  // user and system, in ticks of sysconf(_SC_CLK_TCK)
std::int64_t process_cpu_ns();      // of this process, so far
std::uint64_t machine_bytes();      // all of the machine's memory

std::string program_of(pid_t pid);  // its file's path, as it was started; empty where it is gone

// A process and all that it started, itself first.
std::vector<pid_t> with_descendants(pid_t pid);

class Process {
 public:
  // Runs `work` in a copy of this process, with two ends of a pipe each way. What it throws goes up the pipe
  // as a line that begins with "error ".
  explicit Process(const std::function<void(int in, int out)>& work);
  ~Process();  // kills it
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t pid() const { return pid_; }
  int out() const { return from_it_; }  // what it says
  void tell(std::string_view line) const { write_all(to_it_, line); }

  // What has come by now, whole lines, the last without its end of line; none: nothing yet.
  std::vector<std::string> lines();
  bool ended() const { return ended_; }  // it has closed its end

 private:
  pid_t pid_ = -1;
  int to_it_ = -1, from_it_ = -1;
  bool ended_ = false;
  std::string kept_;
};

}  // namespace valedrum::lab::scale
