// The relay's copies: sockets, clock and disk around the state machine of copies/.
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

class CopyNet : public std::enable_shared_from_this<CopyNet> {
 public:
  using OnEvent = std::function<void(const valedrum::copies::CopyEvent&)>;

  // Reads what the folder holds. Throws std::runtime_error where a later program wrote it.
  CopyNet(boost::asio::any_io_executor executor, const CopiesConfig& config, const FleetConfig& fleet,
          const std::string& name, const std::string& folder, std::uint64_t disk_bytes,
          valedrum::recovery::Durability durability, std::uint64_t seed, OnEvent on_event);

  // An address that is not free yet is tried again.
  void start();
  void stop();

  valedrum::copies::Copies& copies() { return *copies_; }
  // A clock that goes on while the process, or its machine, is stopped.
  static valedrum::copies::Time now();

  // Whom it may choose as holders, as the view has them.
  void candidates(std::vector<valedrum::copies::Candidate> all);
  // What others have to know of this one.
  valedrum::copies::PublishedMember published() const;

  // After anything that was told to copies(): disk first, then what others are told, then events.
  void turn();

  std::string state() const;  // in one line of JSON

 private:
  using Stream = RecordStream<boost::asio::ip::tcp>;
  struct Peer {
    std::shared_ptr<Stream> stream;  // one that is up: both have said who they are
    bool connecting = false;
    std::chrono::steady_clock::time_point again{};  // no try before that
    std::chrono::milliseconds pause{};
    std::optional<std::chrono::steady_clock::time_point> unanswered;  // since when
  };

  bool open();
  void arm();
  void send_when_kept(std::vector<valedrum::copies::Copies::OutgoingFrame> frames, bool changed);
  void send(const valedrum::copies::Copies::OutgoingFrame& frame);
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> attend(std::shared_ptr<Stream> stream);
  boost::asio::awaitable<void> connect(valedrum::copies::MemberIdentity to);
  boost::asio::awaitable<void> listen(std::shared_ptr<Stream> stream, std::string from);
  RecordWriter hello(const std::string& to) const;
  std::optional<std::string> read_hello(const std::string& frame) const;
  void up(const std::string& name, const std::shared_ptr<Stream>& stream);

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
  std::size_t accepted_ = 0;  // connections that others opened
  bool stopped_ = false, waits_ = false, turning_ = false, again_ = false, disk_failed_ = false;
  EventLog log_{"copies"};
  std::uint64_t unread_ = 0;  // frames that could not be read
};

}  // namespace myrtlegrade
