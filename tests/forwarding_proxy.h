// A proxy between two relays, or a relay and a host: forwards connections to an address, and lets a test
// change, delay or hold back what passes.
#pragma once

#include <array>
#include <atomic>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <list>
#include <stop_token>
#include <string>
#include <thread>

#include "loopback.h"

namespace myrtlegrade::test {

class ForwardingProxy {
 public:
  ForwardingProxy(const std::string& listen, const std::string& to)
      : to_(endpoint(to)), acceptor_(context_, endpoint(listen)) {}
  virtual ~ForwardingProxy() { stop(); }

 protected:
  // A chunk that was read on a connection, and where it goes.
  struct Chunk {
    std::string text;
    boost::asio::ip::address from_client;  // the side that opened the connection
    bool back = false;                     // from the address that the proxy forwards to
    tcp::socket& into;
  };
  // Returns whether chunks in this direction are read now; those that are not wait in the kernel.
  virtual bool passes(const boost::asio::ip::address& /*from_client*/, bool /*back*/) { return true; }
  virtual void forward(const Chunk& chunk) { write(chunk.into, chunk.text); }

  // To be called by the constructor and the destructor of each class that overrides one of these.
  void start() {
    accepting_ = std::jthread([this](const std::stop_token& stop) {
      acceptor_.non_blocking(true);
      while (!stop.stop_requested()) {
        boost::system::error_code error;
        tcp::socket client = acceptor_.accept(error);
        if (error) {
          std::this_thread::sleep_for(std::chrono::milliseconds(2));
        } else {
          connections_.emplace_back(
              [this, client = std::move(client)](const std::stop_token& end) mutable { serve(client, end); });
        }
      }
    });
  }
  void stop() {
    accepting_.request_stop();
    if (accepting_.joinable()) accepting_.join();
    connections_.clear();
  }
  static void write(tcp::socket& into, const std::string& text) {
    boost::system::error_code ignored;
    boost::asio::write(into, boost::asio::buffer(text), ignored);
  }

 private:
  static tcp::endpoint endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
  }
  void serve(tcp::socket& client, const std::stop_token& stop) {
    boost::system::error_code error;
    const boost::asio::ip::address from_client = client.remote_endpoint(error).address();
    tcp::socket server(context_);
    if (!error) server.connect(to_, error);
    client.non_blocking(true, error);
    server.non_blocking(true, error);
    std::array<char, 4096> bytes;
    for (bool open = !error; open && !stop.stop_requested();) {
      bool idle = true;
      for (const bool back : {false, true}) {
        if (!passes(from_client, back)) continue;
        const std::size_t count = (back ? server : client).read_some(boost::asio::buffer(bytes), error);
        if (error && error != boost::asio::error::would_block) open = false;
        if (count == 0) continue;
        idle = false;
        forward({std::string(bytes.data(), count), from_client, back, back ? client : server});
      }
      if (idle) std::this_thread::sleep_for(std::chrono::microseconds(500));
    }
  }

  boost::asio::io_context context_;
  tcp::endpoint to_;
  tcp::acceptor acceptor_;
  std::list<std::jthread> connections_;
  std::jthread accepting_;
};

}  // namespace myrtlegrade::test
