// One hollow relay: the program's own state machine of the fleet's view, with real sockets of the loopback
// and without messages. Hundreds of them share one process and one event loop (host.h).
#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "membership/membership.h"

namespace valedrum::lab::scale {

class Host;

inline constexpr std::size_t kKinds = 9;  // of messages between members, as membership::MessageKind has them
inline constexpr std::uint32_t kPublishedFormat = 999;  // known to none of the parts that build on the view

// What one member did in one phase of the day. Bytes are those of datagrams and frames, without the headers
// below them (28 bytes a datagram with UDP over IPv4).
struct Figures {
  std::array<std::uint64_t, kKinds> sent{}, sent_bytes{};
  std::uint64_t received = 0, received_bytes = 0;
  std::uint64_t to_relays_bytes = 0, from_relays_bytes = 0;  // of them, from and to real relays
  std::int64_t cpu_ns = 0;       // of the event loop's thread, within this member's own work
  std::uint64_t most_bytes = 0;  // sent in one second
  std::optional<double>
      view_at;  // seconds of the day when it last held another number of live or suspect ones
  std::vector<std::int64_t> changes_us;  // from each change of configuration until it was taken
  std::uint64_t list_bytes = 0;          // that came from discovery
  std::optional<double> list_within;     // seconds from its start until it had taken the whole list
  bool whole = true;                     // it ran through all of the phase
};

struct View {  // as a member has it at one moment
  std::size_t live = 0, suspects = 0;
  std::uint64_t digest = 0;
  bool settled = false;
  unsigned doubt = 0;  // of itself
  struct Judgement {
    std::string name;
    membership::State state{};
    membership::Duration since{};  // in this state
    std::size_t accusers = 0;
  };
  std::vector<Judgement> not_alive;  // whom it holds for suspect or gone
};

class Hollow : public std::enable_shared_from_this<Hollow> {
 public:
  Hollow(Host& host, std::uint32_t number);

  // Led through its start alone: it hears of all members, and its own news goes nowhere, until it has none
  // left.
  void warm();
  // With sockets from now on. Throws std::runtime_error where its address is taken.
  void start();
  void kill();
  void leave();

  bool up() const { return members_.has_value() && open_; }
  View view() const;
  membership::Counters counters() const;  // of all its starts
  Figures take_figures();

  // A datagram that has come to its turn on the way.
  void send_now(const membership::Address& to, const std::string& bytes);

 private:
  using Stream = std::shared_ptr<boost::beast::tcp_stream>;
  class Spent;

  membership::Time now() const;
  void create();
  void open();
  void stop();
  void turn();
  void arm();
  void await_datagrams();
  void count(std::string_view bytes, const membership::Address* to = nullptr);
  boost::asio::awaitable<void> accept();
  boost::asio::awaitable<void> serve(Stream stream);
  boost::asio::awaitable<void> ask(membership::StreamRequest ask);
  void watch();

  Host& host_;
  std::uint32_t number_;
  unsigned start_ = 0;
  std::uint64_t incarnation_ = 0;  // as its folder would keep it
  membership::Duration ahead_{};   // of its own clock, that a warm start has run through alone
  std::optional<membership::Membership> members_;
  bool open_ = false;
  boost::asio::ip::udp::socket datagrams_;
  boost::asio::ip::tcp::acceptor streams_;
  boost::asio::steady_timer timer_;
  std::list<Stream> served_;
  Figures figures_;
  membership::Counters over_;  // of starts that are over
  std::size_t live_ = 0, suspects_ = 0;
  std::int64_t second_ = -1;
  std::uint64_t second_bytes_ = 0;
};

void add(membership::Counters& to, const membership::Counters& more);

}  // namespace valedrum::lab::scale
