// Which earlier processes of this relay may still have calls out. Each process that calls endpoints holds an
// exclusive lock on a file of its own in the folder that lasts; the kernel frees it however the process ends.
// A process that took over, or was started anew, so learns of earlier ones that live, are stopped, or that
// nobody else can tell of any more.
//
//   state of the file       what it proves of that process's connections
//   -----------------       --------------------------------------------
//   locked                  nothing: they may be open
//   not locked              the process has ended or is ending: they are closed within kLongestHoldUp
//   not locked, and says    they were closed before that was written
//   that all is closed
//   removed                 they were closed before: by its owner's release(), or whoever removed it has
//                           waited until its owner was gone
//
// After its hand-over a process also writes into its file what becomes of the calls that it still has out
// (see CallEnds). That is read here at each look, and always to the end before its owner counts as gone. So a
// process that has given over leaves its file in place, and only the relay, which has read it, removes it.
// Whoever looks keeps the file open: it can be read to the end when it is removed meanwhile.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "budgets.h"
#include "call_ends.h"

namespace myrtlegrade {

class CallOwners {
 public:
  // The kernel frees the lock and closes the connections of a process that ends one after the other, and a
  // process may be held up for so long at any point (STANDING.md).
  static constexpr auto kLongestHoldUp = budgets::kHoldUp;

  struct Events {
    // What an earlier process says of its calls: from the start of its file on, also what a link has told.
    std::function<void(const std::string& name, const CallRecord& record)> told;
    std::function<void(const std::string& name)>
        gone;                         // once for each earlier process: its connections are closed
    std::function<void()> none_left;  // once: all that were there at the start are gone
  };

  CallOwners(boost::asio::any_io_executor executor, std::string folder, Events events);
  ~CallOwners();
  CallOwners(const CallOwners&) = delete;
  CallOwners& operator=(const CallOwners&) = delete;

  // To be called while this process holds the folder's lock: its own file is made, and the earlier ones' are
  // looked at from now on. A folder that fails is tried again.
  void start();

  // Of this process; empty as long as the folder does not take its file.
  const std::string& name() const { return name_; }

  // This process has given over: from here on its successors read what is told here, and files of earlier
  // processes are theirs to remove.
  void give_over() { given_over_ = true; }
  // Of a call that this process has out. Where its file does not take it now, it is tried again.
  void tell(const CallRecord& record);

  // Whether a process lives; one that has no call out any more may have ended or not.
  enum class Life { lives, released, dead };
  Life life_of(const std::string& name) const;

  // Whether its file has all that was told here.
  bool written() const { return file_ < 0 || ends_.written(); }

  // No connection of this process carries a call any more, and none will.
  void release();

  // One that others speak of: it is gone too if the folder does not know it. That is never told before this
  // returns.
  void expect(const std::string& name);

 private:
  using Clock = std::chrono::steady_clock;

  void claim();
  bool find_earlier();
  struct Earlier {
    Earlier() = default;
    ~Earlier();
    Earlier(const Earlier&) = delete;
    Earlier& operator=(const Earlier&) = delete;

    int file = -1;
    std::optional<Clock::time_point> free_since;  // its lock
    CallEndsReader ends;
  };
  using Told = std::vector<std::pair<std::string, CallRecord>>;

  void add_earlier(const std::string& name);
  enum class FileState { locked, unlocked, removed };
  FileState state_of(const std::string& name, Earlier& earlier) const;
  bool is_gone(const std::string& name, Earlier& earlier, Told& told) const;
  bool let_go();
  void remove_file();
  void look();
  void look_after(Clock::duration pause);
  std::string path(const std::string& name) const { return folder_ + "/" + name; }

  std::string folder_;
  Events events_;
  boost::asio::steady_timer timer_;
  std::string name_;
  int file_ = -1;
  CallEndsWriter ends_;
  bool given_over_ = false;
  bool released_ = false;
  bool looking_ = false;  // the timer runs
  bool found_ = false;    // the folder has been read
  Clock::time_point started_{};
  std::map<std::string, Earlier> earlier_;
};

}  // namespace myrtlegrade
