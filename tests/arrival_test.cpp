// A message's time is the client's: it counts from the last byte of its request, however late the relay
// accepts the connection or reads the bytes. What happened: it counted from the reading, and a relay that was
// held up before it (soak, seeds 605 and 542) told the end in time by its own count, and too late by the
// client's.
#include <sys/socket.h>

#include <future>

#include "arrival_time.h"
#include "upgrade_fixture.h"

namespace myrtlegrade::test {
namespace {

constexpr auto kHoldUp = 150ms;        // STANDING: between any two steps of the relay
constexpr auto kUnread = 2 * kHoldUp;  // before the accept, and before the read
constexpr auto kOwedWithin = 300ms;    // PROTOCOL, the rules on sockets
constexpr auto kTime = 900ms;          // of a message; less than its call may last

using Sent = SteadyClock::time_point;

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
  static Sent write(tcp::socket& client, const std::string& bytes) {
    boost::asio::write(client, boost::asio::buffer(bytes));
    return SteadyClock::now();
  }
  unsigned read_answer(tcp::socket& client) {
    Response response;
    boost::beast::flat_buffer buffer;
    http::read(client, buffer, response);
    return response.result_int();
  }

  // A connection that has had an answer.
  tcp::socket connect_and_ask() {
    tcp::socket client = connect_to_relay();
    write(client, bytes_of({http::verb::get, "/_health", 11}));
    EXPECT_EQ(read_answer(client), 200U);
    return client;
  }

  // Stopped for so long.
  template <typename Meanwhile>
  static auto held_up(std::optional<Process>& process, std::chrono::milliseconds span, Meanwhile meanwhile) {
    process->signal(SIGSTOP);
    const auto end = SteadyClock::now() + span;
    auto result = meanwhile();
    std::this_thread::sleep_until(end);
    process->signal(SIGCONT);
    return result;
  }

  // Its end is owed by the client's count, with a hold-up of the page's length that begins `at` behind the
  // end of its time: one just before it meets a relay that counts rightly, one behind it a relay that counts
  // late.
  void expect_in_time(std::optional<Process>& process, const std::string& id, Sent sent,
                      std::chrono::milliseconds at) {
    std::this_thread::sleep_until(sent + kTime + at);
    held_up(process, kHoldUp, [] { return 0; });
    ASSERT_TRUE(wait_notice(id, "given_up"));
    const std::chrono::duration<double, std::milli> told = noticed_at(id) - sent - kTime;
    EXPECT_LT(told.count(), std::chrono::milliseconds(kOwedWithin).count());
  }

  SteadyClock::time_point noticed_at(const std::string& id) {
    return watched_.read([&] { return first_notice_at_.at(id); });
  }

  boost::asio::io_context context_;
};

class HeldUpAgainTest : public ArrivalTest, public testing::WithParamInterface<std::chrono::milliseconds> {};
INSTANTIATE_TEST_SUITE_P(AtItsEnd, HeldUpAgainTest, testing::Values(-30ms, 160ms),
                         [](const auto& value) { return value.param < 0ms ? "Before" : "Behind"; });

// A connection that waits to be accepted, with its request.
TEST_P(HeldUpAgainTest, OnAConnectionThatIsNotAccepted) {
  tcp::socket client(context_);
  const Sent sent = held_up(process_, kUnread, [&] {
    client = connect_to_relay();
    return write(client, request_of("m", kTime));
  });
  ASSERT_EQ(read_answer(client), 202U);
  expect_in_time(process_, "m", sent, GetParam());
}

// A request that waits on a connection that has been in use.
TEST_P(HeldUpAgainTest, OnAConnectionThatIsKept) {
  tcp::socket client = connect_and_ask();
  const Sent sent = held_up(process_, kUnread, [&] { return write(client, request_of("m", kTime)); });
  ASSERT_EQ(read_answer(client), 202U);
  expect_in_time(process_, "m", sent, GetParam());
}

// One that a process reads which has given over: its time goes with it over the link.
TEST_P(HeldUpAgainTest, AtAProcessThatHasGivenOver) {
  tcp::socket client = connect_and_ask();
  start_beside(new_);
  ASSERT_TRUE(wait_healthy(new_));
  process_->signal(SIGTERM);
  while (new_->log_with_start().find("took over") == std::string::npos) std::this_thread::sleep_for(1ms);
  const Sent sent = held_up(process_, kUnread, [&] { return write(client, request_of("m", kTime)); });
  ASSERT_EQ(read_answer(client), 202U);
  expect_in_time(new_, "m", sent, GetParam());
}

// A request in two pieces: its time counts from the last byte, and not from the first.
TEST_F(ArrivalTest, CountsFromTheLastPiece) {
  const std::string request = request_of("m", kTime);
  tcp::socket client = connect_to_relay();
  write(client, request.substr(0, 40));
  const Sent sent = held_up(process_, 2 * kUnread, [&] {
    std::this_thread::sleep_for(kUnread);
    return write(client, request.substr(40));
  });
  ASSERT_EQ(read_answer(client), 202U);
  ASSERT_TRUE(wait_notice("m", "given_up"));
  const auto told = noticed_at("m");
  EXPECT_GT(told, sent + kTime - kHoldUp) << "its first piece counted";
  EXPECT_LT(told, sent + kTime + kHoldUp);
}

// A client that says nothing, or stops half way, is owed an error or a close from its connection on, however
// late that is accepted. What happened: its time began with the accept (soak, seeds 530 and 649: silent
// clients that were closed late).
TEST_F(ArrivalTest, ASilentClientsTimeCountsFromItsConnection) {
  constexpr auto kOwed = 3s + 50ms;  // TERMS, on sockets
  constexpr auto kAtTheEnd = 2950ms;
  const auto closed_at = [](tcp::socket& client) {
    boost::system::error_code ended;
    char byte = 0;
    client.read_some(boost::asio::buffer(&byte, 1), ended);
    return SteadyClock::now();
  };
  tcp::socket silent_client(context_), half_way(context_);
  const Sent connected = held_up(process_, kUnread, [&] {
    silent_client = connect_to_relay();
    half_way = connect_to_relay();
    return write(half_way, request_of("m", kTime).substr(0, 40));
  });
  auto first = std::async(std::launch::async, closed_at, std::ref(silent_client));
  auto second = std::async(std::launch::async, closed_at, std::ref(half_way));
  std::this_thread::sleep_until(connected + kAtTheEnd);
  held_up(process_, kHoldUp, [] { return 0; });
  EXPECT_LT(first.get() - connected, kOwed);
  EXPECT_LT(second.get() - connected, kOwed);
}

// Its time was over before it was read: it is not taken on, and nobody is called.
TEST_F(ArrivalTest, WhatIsOverBeforeItIsReadIsNotTakenOn) {
  tcp::socket client(context_);
  held_up(process_, kUnread, [&] {
    client = connect_to_relay();
    return write(client, request_of("m", kUnread - 100ms));
  });
  EXPECT_GE(read_answer(client), 500U);
  pass_marker("marker", 3);
  EXPECT_EQ(count_deliveries("m"), 0U);
}

// A socket of which the kernel tells nothing: its bytes came when they were read.
TEST(ArrivalTime, IsTheReadingWhereTheKernelTellsNothing) {
  int ends[2];
  ASSERT_EQ(::socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
  ArrivalTime arrival;
  const auto before = steady_time();
  arrival.read(ends[0]);
  EXPECT_GE(arrival.last_byte().steady, before);
  EXPECT_LE(arrival.last_byte().steady, steady_time());
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

// A wait that no hold-up explains is believed no further than one can: no answer of the kernel costs more.
TEST_F(ArrivalOnASocket, IsBelievedAsFarAsAHoldUpExplainsIt) {
  ArrivalTime arrival;
  arrival.awaits();
  boost::asio::write(client_, boost::asio::buffer("x", 1));
  std::this_thread::sleep_for(2 * kUnread);
  const auto before = steady_time();
  arrival.read(socket_.native_handle());
  EXPECT_GE(arrival.last_byte().steady, before - kUnread);
  EXPECT_LT(arrival.last_byte().steady, before);
}

// A wait that is begun anew is one wait: as long as the relay waits it would read, and no answer of the
// kernel is believed beyond a hold-up.
TEST_F(ArrivalOnASocket, CountsNoWaitAsTimeForWhichTheRelayDidNotRead) {
  ArrivalTime arrival;
  arrival.awaits();
  boost::asio::write(client_, boost::asio::buffer("x", 1));
  std::this_thread::sleep_for(3 * kUnread);
  arrival.awaits();
  const auto before = steady_time();
  arrival.read(socket_.native_handle());
  EXPECT_GE(arrival.last_byte().steady, before - kUnread);
}

// Bytes that waited while the relay itself did not read: behind a request that was being answered.
TEST_F(ArrivalOnASocket, CountsTheTimeForWhichTheRelayDidNotRead) {
  ArrivalTime arrival;
  arrival.read(socket_.native_handle());
  boost::asio::write(client_, boost::asio::buffer("x", 1));
  const auto sent = steady_time();
  std::this_thread::sleep_for(3 * kUnread);
  arrival.awaits();
  arrival.read(socket_.native_handle());
  EXPECT_LT(arrival.last_byte().steady, sent + kHoldUp);
}

}  // namespace
}  // namespace myrtlegrade::test
