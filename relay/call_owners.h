// Tracks the earlier processes of this relay that may still have calls in flight. Each process that makes
// calls holds an exclusive lock on a file of its own in the state folder; the kernel releases the lock
// however the process ends. A process that took over or was restarted thus learns of predecessors that run,
// are stopped, or have left no other trace.
//
//   state of the file       what it proves about that process's connections
//   -----------------       -----------------------------------------------
//   locked                  nothing: they may be open
//   not locked              the process has ended or is ending: they are closed within kMaxStall
//   not locked, and ends    they were closed before that record was written
//   with `closed`
//   removed                 they were closed before: the owner removed the file in release(), or another
//   process
//                           removed it after the owner was gone
//
// After its handover a process also records in its file how the calls end that are still in flight (see
// call_ends.h). Each poll reads these records, always to the end before the owner counts as gone. A process
// that has handed over therefore leaves its file in place, and only the active process, which has read it,
// removes it. Every process that polls a file keeps it open, so that it can read the file to the end after
// its removal.
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
  // Longest time between the release of the lock and the close of the last connection of a process that ends:
  // the kernel does one after the other, and a process may be paused for this long at any point.
  static constexpr auto kMaxStall = budgets::kMaxStall;

  struct Events {
    // A record of an earlier process, from the start of its file on; includes records that the link has
    // reported.
    std::function<void(const std::string& name, const CallRecord& record)> on_record;
    // Once for each earlier process: its connections are closed.
    std::function<void(const std::string& name)> on_gone;
    // Once: all processes that were found at the start are gone.
    std::function<void()> on_none_left;
  };

  CallOwners(boost::asio::any_io_executor executor, std::string folder, Events events);
  ~CallOwners();
  CallOwners(const CallOwners&) = delete;
  CallOwners& operator=(const CallOwners&) = delete;

  // Creates this process's file and begins to poll those of earlier processes. To be called while this
  // process holds the folder's state lock. Retries if the folder fails.
  void start();

  // Returns the name of this process's file; empty until the folder accepts it.
  const std::string& name() const { return name_; }

  // Notes that this process has handed over: successors read the records that it appends from here on, and
  // remove the files of earlier processes.
  void mark_handed_over() { handed_over_ = true; }
  // Appends a record about a call that this process has in flight. Retries if the write fails.
  void append(const CallRecord& record);

  // State of a process; a released one has no call in flight and may or may not have ended.
  enum class Liveness { alive, released, dead };
  Liveness liveness_of(const std::string& name) const;

  // Returns whether the file has all appended records.
  bool written() const { return file_ < 0 || ends_.written(); }

  // Declares that no connection of this process carries a call any more, and none will.
  void release();

  // Tracks a process that another process has named. If the folder has no file of it, it is reported as gone,
  // though never before this function returns.
  void expect(const std::string& name);

 private:
  using Clock = std::chrono::steady_clock;

  void create_file();
  bool find_predecessors();
  struct Predecessor {
    Predecessor() = default;
    ~Predecessor();
    Predecessor(const Predecessor&) = delete;
    Predecessor& operator=(const Predecessor&) = delete;

    int file = -1;
    std::optional<Clock::time_point> unlocked_since;
    CallEndsReader ends;
  };
  using OwnedRecords = std::vector<std::pair<std::string, CallRecord>>;  // with their owners' names

  void add_predecessor(const std::string& name);
  enum class FileState { locked, unlocked, removed };
  FileState state_of(const std::string& name, Predecessor& predecessor) const;
  bool is_gone(const std::string& name, Predecessor& predecessor, OwnedRecords& records) const;
  bool finish_release();
  void remove_file();
  void poll();
  void schedule_poll(Clock::duration delay);
  std::string path(const std::string& name) const { return folder_ + "/" + name; }

  std::string folder_;
  Events events_;
  boost::asio::steady_timer timer_;
  std::string name_;
  int file_ = -1;
  CallEndsWriter ends_;
  bool handed_over_ = false;
  bool released_ = false;
  bool poll_scheduled_ = false;
  bool folder_read_ = false;
  Clock::time_point started_{};
  std::map<std::string, Predecessor> predecessors_;
};

}  // namespace myrtlegrade
