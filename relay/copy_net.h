// Sockets, clock and disk for the relay's copies: runs the state machine of copies/ over TCP connections to
// the other members and a file in the state folder.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "copies/copies.h"
#include "copies_config.h"
#include "copies_file.h"
#include "event_log.h"
#include "fleet_config.h"
#include "record_stream.h"
#include "recovery/disk.h"
#include "syncer.h"

namespace myrtlegrade {

// Lives on one executor; not thread-safe. All members must be called on that executor.
class CopyNet : public std::enable_shared_from_this<CopyNet> {
 public:
  using OnEvent = std::function<void(const valedrum::copies::CopyEvent&)>;

  // Reads the stored state from `folder`. Throws std::runtime_error if a newer version of the program wrote
  // it.
  CopyNet(boost::asio::any_io_executor executor, const CopiesConfig& config, const FleetConfig& fleet,
          const std::string& name, const std::string& folder, std::uint64_t disk_bytes,
          valedrum::recovery::Durability durability, std::uint64_t seed, OnEvent on_event);

  // Listens and connects. Retries while the address is still in use, as it is during a handover.
  void start();
  void stop();
  bool stopped() const { return stopped_; }

  valedrum::copies::Copies& copies() { return *copies_; }
  // The time on CLOCK_BOOTTIME, which also advances while the process or its machine is suspended.
  static valedrum::copies::Time now();

  // Sets the members that may store copies for this relay, taken from the membership view.
  void set_candidates(std::vector<valedrum::copies::Candidate> all);
  // Returns the data that this relay publishes in its membership record for the other members.
  valedrum::copies::PublishedMember published() const;

  // Processes the output of copies(): writes records to disk, then sends frames, then delivers events. Must
  // be called after each change made through copies().
  void flush();

  // Returns the state of the groups and the counters as one line of JSON.
  std::string state() const;

 private:
  using Stream = RecordStream<boost::asio::ip::tcp>;
  struct Peer {
    std::shared_ptr<Stream> stream;  // established: both sides have identified themselves
    bool connecting = false;
    std::chrono::steady_clock::time_point retry_at{};  // no connection attempt before this time
    std::chrono::milliseconds retry_pause{};
    std::optional<std::chrono::steady_clock::time_point> unanswered_since;  // of the oldest unanswered frame
  };

  bool open();
  void schedule_wake();
  void send_when_durable(std::vector<valedrum::copies::Copies::OutgoingFrame> frames, bool records_written);
  void send(const valedrum::copies::Copies::OutgoingFrame& frame);
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(std::shared_ptr<Stream> stream);
  boost::asio::awaitable<void> connect(valedrum::copies::MemberIdentity to);
  boost::asio::awaitable<void> receive_frames(std::shared_ptr<Stream> stream, std::string from);
  RecordWriter hello(const std::string& to) const;
  std::optional<std::string> read_hello(const std::string& frame) const;
  void on_connected(const std::string& name, const std::shared_ptr<Stream>& stream);

  boost::asio::any_io_executor executor_;
  CopiesConfig config_;
  std::string fleet_, name_;
  OnEvent on_event_;
  valedrum::recovery::RealDisk disk_;
  CopiesFile file_;
  std::shared_ptr<Syncer> syncer_;  // with durability `power`
  std::optional<valedrum::copies::Copies> copies_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_, retry_;
  std::map<std::string, Peer> peers_;
  std::size_t accepted_ = 0;  // open connections that other members initiated
  bool stopped_ = false, bind_failed_ = false, flushing_ = false, flush_again_ = false, disk_failed_ = false;
  EventLog log_{"copies"};
  std::uint64_t undecodable_frames_ = 0;  // outer word: unread
};

}  // namespace myrtlegrade
