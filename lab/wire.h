// What lies between real relays: each advertises an address here, and what comes there goes on to it with the
// day's faults on the way. Datagrams and streams; who sends is known by the address that it sends from.
#pragma once

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "links.h"

namespace valedrum::lab {

namespace asio = boost::asio;

class Wire {
 public:
  struct Place {
    asio::ip::address_v4 own;         // the relay binds it
    asio::ip::address_v4 advertised;  // and says that it is reached here
    std::uint32_t relay = 0;          // whose links it has: a twin has those of the first relay
  };
  Wire(asio::io_context& context, const Day& day, std::vector<Place> places, std::uint16_t port);

  Links& links() { return links_; }
  std::uint64_t datagrams() const { return datagrams_; }
  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t lost() const { return lost_; }
  std::uint64_t streams() const { return streams_; }

 private:
  using Stream = std::shared_ptr<asio::ip::tcp::socket>;
  struct Port {
    explicit Port(asio::io_context& context) : datagrams(context), streams(context) {}
    asio::ip::udp::socket datagrams;
    asio::ip::tcp::acceptor streams;
    asio::ip::udp::endpoint from;
    std::array<char, 65536> buffer;
  };

  std::uint32_t whose(const asio::ip::address& address) const;  // places_.size(): nobody's
  static Time now();
  void receive(std::uint32_t to);
  void forward(std::uint32_t from, std::uint32_t to, const std::string& bytes);
  void later(Duration span, std::function<void()> what);
  asio::awaitable<void> accept(std::uint32_t to);
  asio::awaitable<void> carry(std::uint32_t from, std::uint32_t to, Stream in);
  asio::awaitable<void> pump(std::uint32_t from, std::uint32_t to, Stream in, Stream out, bool breaks);

  asio::io_context& context_;
  std::uint16_t port_;
  Links links_;
  std::vector<Place> places_;
  std::vector<std::unique_ptr<Port>> ports_;
  std::uint64_t datagrams_ = 0, bytes_ = 0, lost_ = 0, streams_ = 0;
};

}  // namespace valedrum::lab
