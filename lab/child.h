// A process of the lab's own: it ends with the lab, whatever happens.
#pragma once

#include <sys/types.h>

#include <map>
#include <string>

namespace valedrum::lab {

class Child {
 public:
  // Starts the program with these variables added to the environment, standard error at the end of that file.
  // Throws std::system_error.
  Child(const std::string& program, const std::map<std::string, std::string>& environment,
        const std::string& log);
  ~Child();  // kills it
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  pid_t pid() const { return pid_; }
  void signal(int number) const;
  // Whether it has ended; its status is then kept.
  bool ended();
  int status() const { return status_; }  // as waitpid tells it

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  int status_ = 0;
};

}  // namespace valedrum::lab
