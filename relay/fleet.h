// The relay's fleet membership: sockets, clock and disk around the state machine of membership/.
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

// Lives on one executor; not thread-safe. All members must be called on that executor.
class Fleet : public std::enable_shared_from_this<Fleet> {
 public:
  // Throws std::runtime_error if a newer version of the program wrote the folder. `seed` seeds all random
  // draws of the state machine.
  Fleet(boost::asio::any_io_executor executor, const FleetConfig& config, const std::string& name,
        const std::string& folder, std::uint64_t seed);

  // Listens and joins. Retries while the address is still in use; the relay serves clients meanwhile.
  void start();
  // Announces to some members that this one leaves, then stops.
  void leave();
  // Stops without an announcement, as before a handover: the successor is the same member.
  void stop();

  // Replaces the addresses of the seed members.
  void reseed(std::vector<valedrum::membership::Address> seeds);
  // Sets the data that this relay publishes in its membership record for modules that build on the view.
  void publish(std::uint32_t version, std::string bytes);
  // Sets a callback that runs at once and whenever the view has changed.
  void on_change(std::function<void(const valedrum::membership::Membership&)> callback);
  // Returns this relay's view of the fleet as one line of JSON.
  std::string view() const;

 private:
  using Stream = std::shared_ptr<boost::beast::tcp_stream>;

  static valedrum::membership::Time now();
  bool open();
  // Processes the output of the state machine: writes the incarnation to disk, then sends. Must be called
  // after each change of its state.
  void flush();
  void log(const valedrum::membership::ViewEvent& event);
  void schedule_wake();
  void wait_for_datagrams();
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(Stream stream);
  boost::asio::awaitable<void> exchange(valedrum::membership::StreamRequest request);

  boost::asio::any_io_executor executor_;
  FleetConfig config_;
  FleetIdentity identity_;
  std::optional<valedrum::membership::Membership> members_;
  boost::asio::ip::udp::socket datagrams_;
  boost::asio::ip::tcp::acceptor streams_;
  boost::asio::steady_timer timer_, retry_;
  std::list<Stream> incoming_;
  Stream outgoing_;  // of the latest exchange that this relay started
  bool stopped_ = false, bind_failed_ = false;
  std::function<void(const valedrum::membership::Membership&)> on_change_;
  std::uint64_t reported_version_ = 0;  // of the view that on_change_ was last called with
  std::vector<char> buffer_;
  std::uint64_t unsent_ = 0;  // datagrams that the kernel rejected
  std::chrono::steady_clock::time_point log_period_start_{};
  unsigned logged_lines_ = 0, suppressed_lines_ = 0;
};

}  // namespace myrtlegrade
