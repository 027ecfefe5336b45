// Fixture for tests of HostClient against sockets that the test controls step by step.
#pragma once

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "host_client.h"

namespace myrtlegrade {

using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;
using vetchhinge::HostId;
using vetchhinge::MessageId;
using vetchhinge::Result;

class HostClientTest : public testing::Test {
 protected:
  HostClientTest()
      : acceptor_(context_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        address_(acceptor_.local_endpoint()),
        client_(
            context_.get_executor(),
            {.connect_timeout = 20s,
             .server_idle_timeout = 10s,
             .max_idle = 8,
             .max_connections = 12,
             .reads_limit_reports = true,
             .before_last_byte = [this](const std::vector<CallItem>&) { return may_send_; }},
            [this](HostId, const CallItem& item, const CallResult& result) {
              results_.emplace_back(item.message, result);
            },
            [this](std::uint64_t number, CallEnd end) { ended_calls_.emplace_back(number, end); }) {}

  CallItem item(std::uint32_t id, vetchhinge::Duration timeout = 20s, std::size_t body = 5) {
    auto payload = std::make_shared<const Payload>(Payload{std::to_string(id), "", std::string(body, 'x')});
    return {MessageId(id), 0, payload, steady_time() + timeout};
  }
  void call(std::vector<CallItem> items) { client_.call(++calls_, HostId(1), address_, std::move(items)); }
  void TearDown() override {
    std::set<std::uint64_t> numbers;
    for (const auto& [number, end] : ended_calls_)
      EXPECT_TRUE(numbers.insert(number).second) << "the end of a call was reported twice";
    EXPECT_EQ(client_.calls_in_flight() + ended_calls_.size(), calls_)
        << "each call has ended once or is in flight";
  }

  // Runs the client until the condition holds. Returns false after a timeout that only a fault can reach.
  template <typename Condition>
  bool run_until(Condition condition) {
    const auto end = std::chrono::steady_clock::now() + 30s;
    while (!condition() && std::chrono::steady_clock::now() < end) context_.run_one_for(100ms);
    return condition();
  }

  void run_for(std::chrono::milliseconds duration) {
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) context_.run_one_for(1ms);
  }

  tcp::socket accept() {
    tcp::socket socket(context_);
    bool received = false;
    acceptor_.async_accept(socket, [&](boost::system::error_code error) { received = !error; });
    EXPECT_TRUE(run_until([&] { return received; }));
    return socket;
  }
  void read_head(tcp::socket& socket) {
    std::string text;
    bool received = false;
    boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n",
                                  [&](boost::system::error_code error, std::size_t) { received = !error; });
    EXPECT_TRUE(run_until([&] { return received; }));
  }
  // Returns how many bytes a host receives that begins to read only now.
  std::size_t read_rest(tcp::socket& socket) {
    std::string text;
    bool ended = false;
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(text),
                            [&](boost::system::error_code, std::size_t) { ended = true; });
    EXPECT_TRUE(run_until([&] { return ended; }));
    return text.size();
  }
  void send(tcp::socket& socket, const std::string& text) {
    boost::asio::write(socket, boost::asio::buffer(text));
  }

  boost::asio::io_context context_;
  tcp::acceptor acceptor_;
  tcp::endpoint address_;
  std::vector<std::pair<MessageId, CallResult>> results_;
  std::vector<std::pair<std::uint64_t, CallEnd>> ended_calls_;
  std::uint64_t calls_ = 0;
  bool may_send_ = true;
  HostClient client_;
};

}  // namespace myrtlegrade
