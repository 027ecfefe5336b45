// Tests of HostClient against sockets that the test controls step by step.
#include "host_client_fixture.h"

namespace myrtlegrade {
namespace {

// The last timeout of a call is reported after its connection is closed; until then the call has not ended.
TEST_F(HostClientTest, ABulkCallIsOverOnceItsConnectionIsClosed) {
  call({item(1, 50ms), item(2, 300ms)});
  tcp::socket host = accept();
  read_head(host);
  ASSERT_TRUE(run_until([&] { return results_.size() == 1; }));
  EXPECT_EQ(results_[0].second.result, Result::timed_out);
  EXPECT_TRUE(ended_calls_.empty()) << "the other message still waits on that connection";
  ASSERT_TRUE(run_until([&] { return results_.size() == 2; }));
  char bytes[4096];
  while (::recv(host.native_handle(), bytes, sizeof bytes, MSG_DONTWAIT) > 0) {
  }
  EXPECT_EQ(errno, ECONNRESET) << "the connection is closed before the timeout is reported";
  ASSERT_TRUE(run_until([&] { return !ended_calls_.empty(); }));
  EXPECT_EQ(ended_calls_[0].second, CallEnd::timed_out);
}

// A process that hands over sends no further calls; those that were sent continue.
TEST_F(HostClientTest, WhatHasNotLeftIsWithheldAtOnce) {
  call({item(1)});
  tcp::socket host = accept();
  read_head(host);
  ::listen(acceptor_.native_handle(), 0);
  call({item(2)});
  client_.cancel_all_unsent();
  ASSERT_EQ(results_.size(), 1U);
  EXPECT_EQ(results_[0].first, MessageId(2));
  EXPECT_EQ(results_[0].second.result, Result::not_sent);
  ASSERT_EQ(ended_calls_.size(), 1U);
  EXPECT_EQ(ended_calls_[0].second, CallEnd::withheld);
  client_.abort_all();
  ASSERT_EQ(results_.size(), 2U);
  EXPECT_EQ(results_[1].second.result, Result::cancelled);
  EXPECT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
}

// A wait hint or a drain that arrives while a connection is being opened must stop the call that waits for
// it.
TEST_F(HostClientTest, ACallThatStillConnectsIsWithheld) {
  // A full backlog keeps further connections half open.
  ::listen(acceptor_.native_handle(), 0);
  std::vector<tcp::socket> fillers;
  for (int i = 0; i < 4; ++i) {
    fillers.emplace_back(context_);
    fillers.back().async_connect(acceptor_.local_endpoint(), [](boost::system::error_code) {});
  }
  call({item(1)});
  for (int i = 0; i < 20; ++i) context_.poll_one();
  ASSERT_TRUE(results_.empty());
  client_.cancel_unsent(HostId(1));
  ASSERT_TRUE(run_until([&] { return !results_.empty(); }));
  EXPECT_EQ(results_[0].second.result, Result::not_sent);
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
}

TEST_F(HostClientTest, ACallThatIsOutIsNotWithheld) {
  call({item(1)});
  tcp::socket host = accept();
  read_head(host);
  client_.cancel_unsent(HostId(1));
  send(host, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(run_until([&] { return !results_.empty(); }));
  EXPECT_EQ(results_[0].second.result, Result::delivered);
}

// The host begins a call with its last byte: a call whose connection breaks before that never ran.
TEST_F(HostClientTest, AResetBeforeTheLastByteNeverRan) {
  call({item(1, 20s, 64 << 20)});  // more than the socket buffers hold, and the host does not read
  tcp::socket host = accept();
  read_head(host);
  ASSERT_TRUE(results_.empty());
  host.set_option(boost::asio::socket_base::linger(true, 0));
  host.close();
  ASSERT_TRUE(run_until([&] { return !results_.empty(); }));
  EXPECT_EQ(results_[0].second.result, Result::connect_failed);
}

TEST_F(HostClientTest, AResetAfterTheLastByteMayHaveRun) {
  call({item(1)});
  tcp::socket host = accept();
  read_head(host);
  host.set_option(boost::asio::socket_base::linger(true, 0));
  host.close();
  ASSERT_TRUE(run_until([&] { return !results_.empty(); }));
  EXPECT_EQ(results_[0].second.result, Result::reset);
}

// A broken call means something else if the host was never reached, if it ended a new connection, or if it
// ended one that had been idle.
TEST_F(HostClientTest, AResultTellsTheConnectionItUsed) {
  call({item(1)});
  tcp::socket host = accept();
  read_head(host);
  send(host, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  EXPECT_TRUE(results_.at(0).second.connection.established);
  EXPECT_EQ(results_[0].second.connection.idle, 0us) << "a new connection";
  call({item(2)});
  read_head(host);
  host.set_option(boost::asio::socket_base::linger(true, 0));
  host.close();
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  EXPECT_EQ(results_.at(1).second.result, Result::reset);
  EXPECT_GT(results_[1].second.connection.idle, 0us) << "the reused connection";
  acceptor_.close();
  call({item(3)});
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  EXPECT_EQ(results_.at(2).second.result, Result::connect_failed);
  EXPECT_FALSE(results_[2].second.connection.established);
}

// Work that may not be repeated is sent on a connection that was idle for a short enough time, or on a new
// one; the idle connection remains for other calls.
TEST_F(HostClientTest, ACallKeepsOffAConnectionThatLayIdleForTooLong) {
  call({item(1)});
  tcp::socket kept = accept();
  read_head(kept);
  send(kept, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  CallItem limited = item(2);
  limited.max_connection_idle = 0us;
  call({limited, item(3)});  // the smallest limit of a call applies
  tcp::socket fresh = accept();
  read_head(fresh);
  send(fresh, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  call({item(4)});
  read_head(kept);
}

// A connection that breaks at its start or at the request does so before the last byte is sent: work that may
// not be repeated has not run and may be sent again.
TEST_F(HostClientTest, AConnectionThatDoesNotStandItsFirstBytesRanNothing) {
  HostClient slow_verifier(
      context_.get_executor(), {20s, 10s, 8, 12, true, 20s},
      [this](HostId, const CallItem& item, const CallResult& result) {
        results_.emplace_back(item.message, result);
      },
      [](std::uint64_t, CallEnd) {});
  CallItem verified = item(1);
  verified.verify_connection = true;
  slow_verifier.call(1, HostId(1), address_, {verified});
  tcp::socket host = accept();
  read_head(host);
  EXPECT_TRUE(results_.empty());
  host.set_option(boost::asio::socket_base::linger(true, 0));
  host.close();
  ASSERT_TRUE(run_until([&] { return !results_.empty(); }));
  EXPECT_EQ(results_[0].second.result, Result::connect_failed);
  EXPECT_TRUE(results_[0].second.connection.established);
  ASSERT_TRUE(run_until([&] { return slow_verifier.calls_in_flight() == 0; }));
}

// A message that got its final answer while its connection was verified is not sent: the last byte is
// withheld, and the call never runs.
TEST_F(HostClientTest, TheLastByteIsHeldBackFromWhatMayNotLeaveAnyMore) {
  CallItem verified = item(1);
  verified.verify_connection = true;
  call({verified});
  tcp::socket host = accept();
  may_send_ = false;
  std::string text;
  bool ended = false;
  boost::asio::async_read(host, boost::asio::dynamic_buffer(text),
                          [&](boost::system::error_code, std::size_t) { ended = true; });
  ASSERT_TRUE(run_until([&] { return ended && !results_.empty(); }));
  EXPECT_TRUE(text.ends_with("\r\n\r\nxxxx")) << "the last byte of five is held back";
  EXPECT_EQ(results_[0].second.result, Result::not_sent);
}

// A call may wait for replicas or the disk before it starts; that wait counts against its deadlines.
TEST_F(HostClientTest, WhatWaitedBeforeItsCallHasNoMoreTimeForThat) {
  CallItem late = item(1);
  late.write_deadline = steady_time() + 30ms;
  const CallItem brief = item(2, 30ms);
  run_until([&] { return steady_time() > late.write_deadline; });
  call({late});
  ASSERT_TRUE(run_until([&] { return !results_.empty(); }));
  EXPECT_EQ(results_[0].second.result, Result::not_sent);
  EXPECT_TRUE(results_[0].second.connection.established);
  call({brief});
  ASSERT_TRUE(run_until([&] { return results_.size() == 2; }));
  EXPECT_EQ(results_[1].second.result, Result::connect_failed) << "no byte of it was sent";
}

// Without a reset the kernel delivers the buffered rest of a request after the connection was closed: a host
// that reads late or is unreachable for a while would begin a call that was abandoned and perhaps retried.
TEST_F(HostClientTest, WhatHasTimedOutDoesNotArriveAnyMore) {
  acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  call({item(1, 200ms, 60'000)});
  tcp::socket host = accept();
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  EXPECT_EQ(results_.at(0).second.result, Result::timed_out) << "its last byte was written";
  EXPECT_LT(read_rest(host), 60'000U) << "and never arrived";
}

// A request that was written in time but has not arrived at its deadline is reset; it may have run.
TEST_F(HostClientTest, WhatLeftInTimeAndDoesNotArriveIsTakenBack) {
  acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  CallItem repeat = item(1, 20s, 60'000);
  repeat.write_deadline = steady_time() + 100ms;
  call({repeat});
  tcp::socket host = accept();
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  EXPECT_EQ(results_.at(0).second.result, Result::reset);
  EXPECT_LT(results_[0].second.elapsed, 10s);
  EXPECT_LT(read_rest(host), 60'000U);
}

// A request that has arrived keeps its full timeout.
TEST_F(HostClientTest, WhatArrivedInTimeKeepsItsTime) {
  CallItem repeat = item(1);
  repeat.write_deadline = steady_time() + 20ms;
  call({repeat});
  tcp::socket host = accept();
  read_head(host);
  run_until([&] { return steady_time() > repeat.write_deadline + 100ms; });
  ASSERT_TRUE(results_.empty());
  send(host, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  EXPECT_EQ(results_.at(0).second.result, Result::delivered);
}

// The connection is established only after the write deadline of one of the messages.
TEST_F(HostClientTest, WhatMayNotLeaveSoLateStaysHere) {
  ::listen(acceptor_.native_handle(), 0);
  std::vector<tcp::socket> fillers;  // a full backlog: further connections are established once there is room
  for (int i = 0; i < 4; ++i) {
    fillers.emplace_back(context_);
    fillers.back().async_connect(acceptor_.local_endpoint(), [](boost::system::error_code) {});
  }
  CallItem late = item(1);
  late.write_deadline = steady_time() + 50ms;
  CallItem free = item(2);
  call({free, late});
  const auto due = std::chrono::steady_clock::now() + 60ms;
  run_until([&] { return std::chrono::steady_clock::now() >= due; });
  ASSERT_TRUE(results_.empty());
  std::vector<tcp::socket> accepted;
  std::string text;
  std::function<void()> accept_all = [&] {
    acceptor_.async_accept([&](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      accepted.push_back(std::move(socket));
      accept_all();
    });
  };
  accept_all();
  ASSERT_TRUE(run_until([&] { return results_.size() == 2; }));
  for (const auto& [id, result] : results_) {
    EXPECT_EQ(result.result, Result::not_sent);
    EXPECT_TRUE(result.connection.established) << "the connection was established";
  }
  for (tcp::socket& socket : accepted) {
    boost::system::error_code error;
    EXPECT_EQ(socket.available(error), 0U) << "nothing was written";
  }
  acceptor_.close();
  run_until([&] { return client_.calls_in_flight() == 0; });
}

TEST_F(HostClientTest, AConnectionThatStandsGetsTheWholeRequest) {
  CallItem verified = item(1);
  verified.verify_connection = true;
  call({verified});
  tcp::socket host = accept();
  std::string text;
  boost::asio::async_read_until(host, boost::asio::dynamic_buffer(text), std::string(5, 'x'),
                                [](boost::system::error_code, std::size_t) {});
  ASSERT_TRUE(run_until([&] { return text.ends_with("\r\n\r\nxxxxx"); }));
  send(host, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(run_until([&] { return !results_.empty(); }));
  EXPECT_EQ(results_[0].second.result, Result::delivered);
}

// A delivery counts from the status line on: the rest of the answer may never arrive.
TEST_F(HostClientTest, AnAnswerThatBreaksAfterItsHeadIsADelivery) {
  call({item(1)});
  tcp::socket host = accept();
  read_head(host);
  send(host, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
  host.close();
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  ASSERT_EQ(results_.size(), 1U);
  EXPECT_EQ(results_[0].second.result, Result::delivered);
}

// The relay backs off from a host that is full, but not from one that rejected a call because this relay had
// exceeded its own slots.
TEST_F(HostClientTest, WantOfAnOwnSlotIsNoRefusalOfTheHost) {
  const auto result_after = [&](std::uint32_t id, const std::string& field) {
    const std::size_t before = results_.size();
    call({item(id)});
    tcp::socket host = accept();
    read_head(host);
    send(host, "HTTP/1.1 503 Full\r\n" + field + "Connection: close\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(run_until([&] { return results_.size() > before; }));
    return results_.back().second.result;
  };
  EXPECT_EQ(result_after(1, "X-Over-Slots: 1\r\n"), Result::not_sent);
  EXPECT_EQ(result_after(2, "X-Over-Slots: 0\r\n"), Result::full);
  EXPECT_EQ(result_after(3, ""), Result::full);
}

TEST_F(HostClientTest, EachMessageOfABulkCallHasItsOwnTimeout) {
  call({item(1, 50ms), item(2)});
  tcp::socket host = accept();
  read_head(host);
  ASSERT_TRUE(run_until([&] { return results_.size() == 1; }));
  EXPECT_EQ(results_[0].first, MessageId(1));
  EXPECT_EQ(results_[0].second.result, Result::timed_out);
  const std::string body = R"([{"id":"1","state":"done"},{"id":"2","state":"done"}])";
  send(host, "HTTP/1.1 200 OK\r\nX-RateLimit-Wait-Ms: 250\r\nContent-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body);
  ASSERT_TRUE(run_until([&] { return results_.size() == 2; }));
  EXPECT_EQ(results_[1].second.result, Result::delivered);
  EXPECT_EQ(results_[1].second.wait_hint, 250ms) << "a wait hint in a bulk answer applies too";
}

// A connection that the host closed while it was idle must not carry the next call, which would be reset.
TEST_F(HostClientTest, AConnectionClosedWhileIdleIsNotUsedAgain) {
  call({item(1)});
  {
    tcp::socket host = accept();
    read_head(host);
    send(host, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  }
  call({item(2)});
  tcp::socket host = accept();
  read_head(host);
  send(host, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  EXPECT_EQ(results_.back().second.result, Result::delivered);
}

// ------------------------------------------------------------------------- invalid answers

const std::string kDeliveredAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

TEST_F(HostClientTest, SpoiltAnswersMayHaveRunUnlessTheFirstLineSays200) {
  const std::string endless(20 << 10, 'x');
  const std::string length = "Content-Length: ";
  const std::vector<std::pair<std::string, Result>> answers = {
      {"\x01\x02 noise\r\n\r\n", Result::reset},
      {"HTTP/1.1 2000 OK\r\n\r\n", Result::reset},
      {"HTTP/1.1 200 OK\r\nno field at all\r\n\r\n", Result::delivered},
      {"HTTP/1.1 200 OK\r\nX-Endless: " + endless, Result::delivered},
      {"HTTP/1.1 200 OK\r\nX-Stops: here", Result::delivered},
      {"HTTP/1.1 503 Full\r\nX-Stops: here", Result::reset},
      {"HTTP/1.1 503 Full\r\n" + length + "50\r\n\r\nhalf", Result::reset},
      {"HTTP/1.1 200 OK\r\n" + length + "-3\r\n\r\n", Result::delivered},
      {"HTTP/1.1 200 OK\r\n" + length + "3000000000\r\n\r\n" + endless, Result::delivered},
      {"HTTP/1.1 500 Error\r\n" + length + "3000000000\r\n\r\n" + endless, Result::reset},
      {"HTTP/1.1 101 Switching\r\n\r\n", Result::reset},
  };
  for (const auto& [text, expected] : answers) {
    results_.clear();
    call({item(1)});
    tcp::socket host = accept();  // a new connection each time, which the host leaves open
    read_head(host);
    send(host, text);
    ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; })) << text;
    ASSERT_EQ(results_.size(), 1U) << text;
    EXPECT_EQ(results_[0].second.result, expected) << text;
  }
}

TEST_F(HostClientTest, ASpoiltBulkAnswerMayHaveRun) {
  for (const std::string text :
       {"HTTP/1.1 200 OK\r\nbad field\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n[{\"id\"",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n[{}"}) {
    results_.clear();
    call({item(1), item(2)});
    tcp::socket host = accept();
    read_head(host);
    send(host, text);
    ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0 && results_.size() == 2; })) << text;
    for (const auto& [id, result] : results_) EXPECT_EQ(result.result, Result::reset) << text;
  }
}

TEST_F(HostClientTest, InterimAnswersAreNotTheFinalOne) {
  call({item(1)});
  tcp::socket host = accept();
  read_head(host);
  send(host, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 503 Full\r\n" +
                 std::string("Content-Length: 0\r\n\r\n"));
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  ASSERT_EQ(results_.size(), 1U);
  EXPECT_EQ(results_[0].second.result, Result::full);
}

// Stray bytes, sent with an answer or right after it, must not be taken for the answer to the next call.
TEST_F(HostClientTest, BytesBehindAnAnswerAnswerNothing) {
  for (const bool together : {true, false}) {
    results_.clear();
    call({item(1)});
    tcp::socket host = accept();
    read_head(host);
    send(host, together ? kDeliveredAnswer + kDeliveredAnswer : kDeliveredAnswer);
    ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
    if (!together) send(host, kDeliveredAnswer);
    call({item(2)});
    tcp::socket next = accept();
    read_head(next);
    send(next, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(run_until([&] { return results_.size() == 2; }));
    EXPECT_EQ(results_[1].second.result, Result::error);
    client_.close_idle(HostId(1));
  }
}

// Calls and idle connections together stay within the limit; further calls are reported as not sent.
TEST_F(HostClientTest, CallsAreBoundedByDescriptors) {
  for (std::uint32_t id = 1; id <= 15; ++id) call({item(id)});
  ASSERT_TRUE(run_until([&] { return results_.size() == 3; }));
  EXPECT_EQ(client_.calls_in_flight(), 12U);
  for (const auto& [id, result] : results_) EXPECT_EQ(result.result, Result::not_sent);
}

// A call that times out while it waits for an idle connection to settle must not open a new connection, for
// which no timeout would be enforced.
TEST_F(HostClientTest, ACallOutOfTimeBeforeItIsConnectedEnds) {
  call({item(1)});
  tcp::socket host = accept();
  read_head(host);
  send(host, kDeliveredAnswer);
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  call({item(2, 1ms)});
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  ASSERT_EQ(results_.size(), 2U);
  EXPECT_EQ(results_[1].second.result, Result::connect_failed) << "it was never sent";
}

TEST_F(HostClientTest, AReportIsReadWhereItCanBe) {
  const std::vector<std::pair<std::string, bool>> loads = {{R"({"x0":0.4,"x1":25})", true},
                                                           {"{half", false},
                                                           {"[1,2]", false},
                                                           {R"({"x0":"much","x1":25})", false}};
  for (const auto& [load, readable] : loads) {
    results_.clear();
    client_.close_idle(HostId(1));
    call({item(1)});
    tcp::socket host = accept();
    read_head(host);
    send(host, "HTTP/1.1 200 OK\r\nX-Server-Load: " + load + "\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
    EXPECT_EQ(results_[0].second.result, Result::delivered) << load;
    ASSERT_EQ(results_[0].second.limit_report.has_value(), readable) << load;
    if (readable) {
      EXPECT_EQ(results_[0].second.limit_report->share_left, 0.4);
      EXPECT_EQ(results_[0].second.limit_report->calls_per_second, 25);
    }
  }
}

TEST_F(HostClientTest, AnIdleConnectionCarriesTheNextCall) {
  call({item(1)});
  tcp::socket host = accept();
  for (std::uint32_t id = 2; id < 5; ++id) {
    read_head(host);
    send(host, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
    call({item(id)});
  }
  read_head(host);
  EXPECT_EQ(results_.size(), 3U);
}

// Answers that stay unfinished take the budget and no more; answers of the usual size are read beside them.
TEST_F(HostClientTest, UnfinishedAnswersStayWithinTheirMemory) {
  const std::string head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 65000\r\n\r\n";
  std::vector<tcp::socket> hosts;
  for (std::uint32_t i = 0; i < 6; ++i) {
    call({item(i)});
    hosts.push_back(accept());
    read_head(hosts.back());
    send(hosts.back(), head + std::string(60'000, 'x'));
    run_for(5ms);
    EXPECT_LE(client_.answer_memory().used(), client_.answer_memory().limit());
  }
  EXPECT_GT(client_.answer_memory().used(), 0U);
  ASSERT_TRUE(run_until([&] { return results_.size() >= 3; }));
  EXPECT_EQ(results_.size(), 3U) << "three fit, the others are cut";
  for (const auto& [message, result] : results_) EXPECT_EQ(result.result, Result::reset);
  call({item(9)});
  tcp::socket sound = accept();
  read_head(sound);
  send(sound, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(run_until([&] { return results_.size() == 4; }));
  EXPECT_EQ(results_.back().second.result, Result::delivered);
  ASSERT_TRUE(run_until([&] { return client_.calls_in_flight() == 0; }));
  EXPECT_EQ(client_.answer_memory().used(), 0U);
}

}  // namespace
}  // namespace myrtlegrade
