// A message's time counts from the arrival of its request's last byte, however late the relay accepts the
// connection or reads the bytes. Guards against counting from the read: a relay that stalled before the read
// then sent the notice in time by its own count and too late by the client's.
#include <sys/socket.h>

#include <future>

#include "arrival_time.h"
#include "upgrade_fixture.h"

namespace myrtlegrade::test {
namespace {

constexpr auto kMaxStall = 150ms;               // limit of the protocol: between any two steps of the relay
constexpr auto kMaxUnreadTime = 2 * kMaxStall;  // before the accept, and before the read
constexpr auto kNoticeDeadline = 300ms;         // limit of the protocol, measured on sockets
constexpr auto kMessageTimeout = 900ms;         // shorter than a call may last

using SendTime = SteadyClock::time_point;

class ArrivalTest : public UpgradeTest {
 protected:
  void SetUp() override {
    add_host("p1", 3, "plain", silent());
    start(with_admin_address());
  }

  tcp::socket connect_to_relay() { return connect(context_, address_); }

  static std::string bytes_of(const Request& request) {
    std::ostringstream text;
    text << request;
    return text.str();
  }
  std::string request_of(const std::string& id, std::chrono::milliseconds time) {
    return bytes_of(with_timeout(message(id, "refund", 3), static_cast<int>(time.count())));
  }
  static SendTime write(tcp::socket& client, const std::string& bytes) {
    boost::asio::write(client, boost::asio::buffer(bytes));
    return SteadyClock::now();
  }
  unsigned read_answer(tcp::socket& client) {
    Response response;
    boost::beast::flat_buffer buffer;
    http::read(client, buffer, response);
    return response.result_int();
  }

  // Returns a connection that was used for a request.
  tcp::socket connect_and_ask() {
    tcp::socket client = connect_to_relay();
    write(client, bytes_of({http::verb::get, "/_health", 11}));
    EXPECT_EQ(read_answer(client), 200U);
    return client;
  }

  // Stalls the process for `duration`, and runs `meanwhile` at the start of the stall.
  template <typename Meanwhile>
  static auto stall(std::optional<Process>& process, std::chrono::milliseconds duration,
                    Meanwhile meanwhile) {
    process->signal(SIGSTOP);
    const auto end = SteadyClock::now() + duration;
    auto result = meanwhile();
    std::this_thread::sleep_until(end);
    process->signal(SIGCONT);
    return result;
  }

  // Expects the notice in time by the client's count, with a stall of the longest length that begins `offset`
  // after the deadline: one just before the deadline delays a relay that counts correctly, one after it a
  // relay that counts late.
  void expect_in_time(std::optional<Process>& process, const std::string& id, SendTime sent,
                      std::chrono::milliseconds offset) {
    std::this_thread::sleep_until(sent + kMessageTimeout + offset);
    stall(process, kMaxStall, [] { return 0; });
    ASSERT_TRUE(wait_notice(id, "given_up"));
    const std::chrono::duration<double, std::milli> noticed = noticed_at(id) - sent - kMessageTimeout;
    EXPECT_LT(noticed.count(), std::chrono::milliseconds(kNoticeDeadline).count());
  }

  SteadyClock::time_point noticed_at(const std::string& id) {
    return watched_.read([&] { return first_notice_at_.at(id); });
  }

  boost::asio::io_context context_;
};

class RepeatedStallTest : public ArrivalTest,
                          public testing::WithParamInterface<std::chrono::milliseconds> {};
INSTANTIATE_TEST_SUITE_P(AtItsEnd, RepeatedStallTest, testing::Values(-30ms, 160ms),
                         [](const auto& value) { return value.param < 0ms ? "Before" : "Behind"; });

// A connection waits for its accept, with its request.
TEST_P(RepeatedStallTest, OnAConnectionThatIsNotAccepted) {
  tcp::socket client(context_);
  const SendTime sent = stall(process_, kMaxUnreadTime, [&] {
    client = connect_to_relay();
    return write(client, request_of("m", kMessageTimeout));
  });
  ASSERT_EQ(read_answer(client), 202U);
  expect_in_time(process_, "m", sent, GetParam());
}

// A request waits on a connection that was used before.
TEST_P(RepeatedStallTest, OnAConnectionThatIsKept) {
  tcp::socket client = connect_and_ask();
  const SendTime sent =
      stall(process_, kMaxUnreadTime, [&] { return write(client, request_of("m", kMessageTimeout)); });
  ASSERT_EQ(read_answer(client), 202U);
  expect_in_time(process_, "m", sent, GetParam());
}

// A process reads the request after its handover, and passes its arrival time over the link.
TEST_P(RepeatedStallTest, AtAProcessAfterItsHandover) {
  tcp::socket client = connect_and_ask();
  start_standby(new_);
  ASSERT_TRUE(wait_healthy(new_));
  process_->signal(SIGTERM);
  while (new_->log_with_start().find("took over") == std::string::npos) std::this_thread::sleep_for(1ms);
  const SendTime sent =
      stall(process_, kMaxUnreadTime, [&] { return write(client, request_of("m", kMessageTimeout)); });
  ASSERT_EQ(read_answer(client), 202U);
  expect_in_time(new_, "m", sent, GetParam());
}

// The time of a request in two segments counts from the last byte, not from the first.
TEST_F(ArrivalTest, CountsFromTheLastPiece) {
  const std::string request = request_of("m", kMessageTimeout);
  tcp::socket client = connect_to_relay();
  write(client, request.substr(0, 40));
  const SendTime sent = stall(process_, 2 * kMaxUnreadTime, [&] {
    std::this_thread::sleep_for(kMaxUnreadTime);
    return write(client, request.substr(40));
  });
  ASSERT_EQ(read_answer(client), 202U);
  ASSERT_TRUE(wait_notice("m", "given_up"));
  const auto noticed = noticed_at("m");
  EXPECT_GT(noticed, sent + kMessageTimeout - kMaxStall) << "counted from the first segment";
  EXPECT_LT(noticed, sent + kMessageTimeout + kMaxStall);
}

// A client that sends nothing, or only part of a request, gets an error or a close within a limit that counts
// from its connection. Guards against counting from the accept, which closed silent clients too late.
TEST_F(ArrivalTest, ASilentClientsTimeCountsFromItsConnection) {
  constexpr auto kCloseDeadline = 3s + 50ms;  // limit of the protocol, measured on sockets
  constexpr auto kStallBegin = 2950ms;
  const auto closed_at = [](tcp::socket& client) {
    boost::system::error_code ended;
    char byte = 0;
    client.read_some(boost::asio::buffer(&byte, 1), ended);
    return SteadyClock::now();
  };
  tcp::socket silent_client(context_), partial_client(context_);
  const SendTime connected = stall(process_, kMaxUnreadTime, [&] {
    silent_client = connect_to_relay();
    partial_client = connect_to_relay();
    return write(partial_client, request_of("m", kMessageTimeout).substr(0, 40));
  });
  auto first = std::async(std::launch::async, closed_at, std::ref(silent_client));
  auto second = std::async(std::launch::async, closed_at, std::ref(partial_client));
  std::this_thread::sleep_until(connected + kStallBegin);
  stall(process_, kMaxStall, [] { return 0; });
  EXPECT_LT(first.get() - connected, kCloseDeadline);
  EXPECT_LT(second.get() - connected, kCloseDeadline);
}

// A message whose time ended before its request was read is neither accepted nor sent to a host.
TEST_F(ArrivalTest, WhatIsOverBeforeItIsReadIsNotAccepted) {
  tcp::socket client(context_);
  stall(process_, kMaxUnreadTime, [&] {
    client = connect_to_relay();
    return write(client, request_of("m", kMaxUnreadTime - 100ms));
  });
  EXPECT_GE(read_answer(client), 500U);
  pass_marker("marker", 3);
  EXPECT_EQ(count_deliveries("m"), 0U);
}

// Bytes of a socket for which the kernel reports nothing count as arrived when they were read.
TEST(ArrivalTime, IsTheReadWhereTheKernelReportsNothing) {
  int ends[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
  ArrivalTime arrival;
  const auto before = steady_time();
  arrival.on_read(ends[0]);
  EXPECT_GE(arrival.last_byte_at().steady, before);
  EXPECT_LE(arrival.last_byte_at().steady, steady_time());
  for (const int end : ends) ::close(end);
}

class ArrivalOnASocket : public testing::Test {
 protected:
  ArrivalOnASocket()
      : listening_(context_, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        client_(context_),
        socket_(context_) {
    client_.connect(listening_.local_endpoint());
    socket_ = listening_.accept();
  }
  boost::asio::io_context context_;
  tcp::acceptor listening_;
  tcp::socket client_, socket_;
};

// A reported wait that is longer than stalls explain is limited to the longest explicable one.
TEST_F(ArrivalOnASocket, IsLimitedToWhatStallsExplain) {
  ArrivalTime arrival;
  arrival.begin_wait();
  boost::asio::write(client_, boost::asio::buffer("x", 1));
  std::this_thread::sleep_for(2 * kMaxUnreadTime);
  const auto before = steady_time();
  arrival.on_read(socket_.native_handle());
  EXPECT_GE(arrival.last_byte_at().steady, before - kMaxUnreadTime);
  EXPECT_LT(arrival.last_byte_at().steady, before);
}

// Repeated begin_wait() calls are one wait: the relay was ready to read all the time, so that the reported
// wait is limited to what stalls explain.
TEST_F(ArrivalOnASocket, CountsNoWaitAsTimeForWhichTheRelayDidNotRead) {
  ArrivalTime arrival;
  arrival.begin_wait();
  boost::asio::write(client_, boost::asio::buffer("x", 1));
  std::this_thread::sleep_for(3 * kMaxUnreadTime);
  arrival.begin_wait();
  const auto before = steady_time();
  arrival.on_read(socket_.native_handle());
  EXPECT_GE(arrival.last_byte_at().steady, before - kMaxUnreadTime);
}

// Bytes may wait longer while the relay does not read, as behind a request that is being answered.
TEST_F(ArrivalOnASocket, CountsTheTimeForWhichTheRelayDidNotRead) {
  ArrivalTime arrival;
  arrival.on_read(socket_.native_handle());
  boost::asio::write(client_, boost::asio::buffer("x", 1));
  const auto sent = steady_time();
  std::this_thread::sleep_for(3 * kMaxUnreadTime);
  arrival.begin_wait();
  arrival.on_read(socket_.native_handle());
  EXPECT_LT(arrival.last_byte_at().steady, sent + kMaxStall);
}

}  // namespace
}  // namespace myrtlegrade::test
