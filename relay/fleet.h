// The relay's place in the fleet: sockets, clock and disk around the state machine of membership/.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet_config.h"
#include "membership/membership.h"

namespace myrtlegrade {

class Fleet : public std::enable_shared_from_this<Fleet> {
 public:
  // Throws std::runtime_error where the folder was written by a later program. `seed` draws all that is
  // drawn.
  Fleet(boost::asio::any_io_executor executor, const FleetConfig& config, const std::string& name,
        const std::string& folder, std::uint64_t seed);

  // An address that is not free yet is tried again: the relay serves meanwhile.
  void start();
  // Says to some that it leaves, and stops. Without that it only stops: a successor is the same member.
  void leave();
  void stop();

  void reseed(std::vector<valedrum::membership::Address> seeds);
  // What this relay publishes in its record, for the parts that build on the view.
  void publish(std::uint32_t version, std::string bytes);
  // Called whenever the view has changed.
  void on_change(std::function<void(const valedrum::membership::Membership&)> told);
  // The view as this relay has it, in one line of JSON.
  std::string view() const;

 private:
  using Stream = std::shared_ptr<boost::beast::tcp_stream>;

  static valedrum::membership::Time now();
  bool open();
  void turn();  // after each thing that happened: disk first, then what is to be sent
  void log(const valedrum::membership::ViewEvent& change);
  void arm();
  void await_datagrams();
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(Stream stream);
  boost::asio::awaitable<void> ask(valedrum::membership::StreamRequest ask);

  boost::asio::any_io_executor executor_;
  FleetConfig config_;
  FleetIdentity identity_;
  std::optional<valedrum::membership::Membership> members_;
  boost::asio::ip::udp::socket datagrams_;
  boost::asio::ip::tcp::acceptor streams_;
  boost::asio::steady_timer timer_, retry_;
  std::list<Stream> served_;
  Stream asking_;
  bool stopped_ = false, waits_ = false;
  std::function<void(const valedrum::membership::Membership&)> on_change_;
  std::uint64_t told_version_ = 0;
  std::vector<char> buffer_;
  std::uint64_t unsent_ = 0;  // datagrams that the kernel did not take
  std::chrono::steady_clock::time_point lines_from_{};
  unsigned lines_ = 0, lines_left_out_ = 0;
};

}  // namespace myrtlegrade
