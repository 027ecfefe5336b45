// Tests of the relay's program against peers on loopback sockets.
#include <thread>

#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

TEST_F(RelayTest, DeliversIdKeyAndBodyUnchanged) {
  add_host("h", 2, "plain", kAccept);
  start();
  const std::string body("\0\r\n\xff any bytes", 14);
  EXPECT_EQ(submit("a1", "receipt", 2, body), 202U);
  ASSERT_TRUE(wait_delivered("a1"));
  EXPECT_EQ(deliveries_[0].key, "key-of-a1");
  EXPECT_EQ(deliveries_[0].body, body);
  EXPECT_EQ(submit("a2", "note", 2, std::string(64 << 10, 'x')), 202U);
  ASSERT_TRUE(wait_delivered("a2"));
}

TEST_F(RelayTest, MalformedInputGetsA4xxAndHarmsNothing) {
  add_host("h", 2, "plain", kAccept);
  start();
  const auto without = [&](const char* field) {
    Request request = message("b1", "receipt", 2);
    request.erase(field);
    return ask(address_, request).result_int();
  };
  for (const char* field : {"X-Request-ID", "X-Timeout-Ms", "X-Addressing", "Idempotency-Key"}) {
    EXPECT_EQ(without(field), 400U) << field;
  }
  Request request = message("b2", "note", 2);
  request.set("X-Timeout-Ms", "soon");
  EXPECT_EQ(ask(address_, request).result_int(), 400U);
  EXPECT_EQ(submit("b3", "unknown", 2), 404U);
  EXPECT_EQ(submit("b4", "note", 2, std::string((64 << 10) + 1, 'x')), 413U);
  request = message("b5", "note", 2);
  request.set("X-Long", std::string(20 << 10, 'x'));
  EXPECT_EQ(ask(address_, request).result_int(), 431U);
  request = message("b6", "note", 2);
  request.target("bad target with blanks");
  EXPECT_EQ(ask(address_, request).result_int(), 400U);
  EXPECT_EQ(ask(address_, Request{http::verb::get, "/_health", 11}).result_int(), 200U);
  EXPECT_EQ(ask(address_, Request{http::verb::get, "/", 11}).result_int(), 404U);
  pass_marker("b7", 2);
  EXPECT_EQ(watched_.read([&] { return deliveries_.size(); }), 1U);
}

TEST_F(RelayTest, BadConfigurationNamesTheFieldInOneLine) {
  const auto first_log_line = [&](const std::function<void(json::object&)>& spoil) {
    json::object changed = config();
    spoil(changed);
    start(changed);
    const std::string line = process_->first_line();
    EXPECT_EQ(process_->wait(), 1);
    return line;
  };
  const auto has = [](const std::string& line, const char* field) {
    return line.find(field) != std::string::npos;
  };
  EXPECT_TRUE(has(first_log_line([](json::object& c) { c.erase("listen"); }), "listen"));
  EXPECT_TRUE(has(first_log_line([](json::object& c) { c["discovery"] = "nowhere"; }), "discovery"));
  EXPECT_TRUE(
      has(first_log_line([](json::object& c) { c.at("limits").as_object().erase("disk_mb"); }), "disk_mb"));
  EXPECT_TRUE(has(
      first_log_line([](json::object& c) { c.at("settings").at("allowed").as_object()["maxOpen"] = "many"; }),
      "maxOpen"));
  EXPECT_TRUE(has(first_log_line([](json::object& c) { c.at("settings").as_object().erase("tick"); }),
                  "tick: missing"));
}

// The log's counters report what became of messages and attempts.
TEST_F(RelayTest, TheLogCountsWhatBecameOfMessages) {
  add_host("h", 2, "plain", kAccept);
  add_host("bad", 3, "plain", [](tcp::socket& socket, Request&) { return answer(socket, 500); });
  start();
  pass_marker("lc1", 2);
  ASSERT_EQ(submit("lc2", "refund", 3), 202U);
  ASSERT_TRUE(wait_notice("lc2", "given_up"));
  process_->signal(SIGTERM);
  EXPECT_EQ(process_->wait(), 0);
  const std::string log = process_->log();
  const std::string last = log.substr(log.rfind("taken="));
  EXPECT_TRUE(
      last.starts_with("taken=2 turned_away=0 refused=0 delivered=1 given_up=1 repeats=0 ok=1 error=1 "))
      << log;
}

// ------------------------------------------------------------------------- restarts

// A call in flight when the process is killed may have run: a message that must not run twice is given up,
// and one that may be repeated is sent again.
TEST_F(RelayTest, AfterAKillOnlyWhatMayBeRepeatedGoesOutAgain) {
  add_host("h", 2, "plain", silent());
  start();
  for (const char* cls : {"note", "receipt", "refund"}) {
    ASSERT_EQ(submit(std::string("c-") + cls, cls, 2), 202U);
    ASSERT_TRUE(wait_delivered(std::string("c-") + cls));
  }
  EXPECT_EQ(stop(SIGKILL), 128 + SIGKILL);
  set_behaviour("h", kAccept);
  start();
  EXPECT_TRUE(wait_delivered("c-note", 2));
  EXPECT_TRUE(wait_delivered("c-receipt", 2)) << "its key is still remembered";
  EXPECT_TRUE(wait_notice("c-refund", "given_up"));
  pass_marker("c-marker", 2);
  EXPECT_EQ(count_deliveries("c-refund"), 1U);
}

// A keyed message may take effect twice once the deduplication window of its key has passed, so it is given
// up.
TEST_F(RelayTest, AKeyedMessageIsNotSentAgainAfterItsWindow) {
  add_host("h", 2, "plain", silent());
  json::object brief = config();
  brief.at("settings").at("classes").at(1).as_object()["window"] = 150.0;
  start(brief);
  ASSERT_EQ(submit("d1", "receipt", 2), 202U);
  ASSERT_TRUE(wait_delivered("d1"));
  const auto sent = SteadyClock::now();
  stop(SIGKILL);
  set_behaviour("h", kAccept);
  std::this_thread::sleep_until(sent + 200ms);  // until the window has passed
  start(brief);
  EXPECT_TRUE(wait_notice("d1", "given_up"));
  pass_marker("d2", 2);
  EXPECT_EQ(count_deliveries("d1"), 1U);
}

// A rejection by a host proves that the message did not run; the journal must keep that across a kill.
TEST_F(RelayTest, WhatWasTurnedAwayIsDeliveredAfterAKill) {
  add_host("h", 2, "plain", [](tcp::socket& socket, Request&) {
    return answer(socket, 429, "", {{"X-RateLimit-Wait-Ms", "60000"}});
  });
  start();
  ASSERT_EQ(submit("e1", "refund", 2), 202U);
  ASSERT_TRUE(wait_delivered("e1"));
  // Answered by the relay's event loop after the rejection was handled: the journal has it by now.
  ASSERT_EQ(submit("e2", "refund", 2), 202U);
  ASSERT_EQ(submit("e3", "refund", 2), 202U);
  stop(SIGKILL);
  set_behaviour("h", kAccept);
  start();  // a restart ends the server backoff
  EXPECT_TRUE(wait_delivered("e1", 2));
  EXPECT_TRUE(wait_delivered("e2"));
  EXPECT_TRUE(wait_delivered("e3"));
  EXPECT_TRUE(watched_.read([&] { return notices_.empty(); }));
}

// Messages that were accepted and never sent are sent after a restart. The new process knows no latencies of
// the host yet, and must not hand the whole queue back because of that.
TEST_F(RelayTest, WhatARestartFindsUntriedIsTried) {
  add_host("h", 2, "plain", kAccept);
  json::object slow = config();  // a host without measured latencies counts as slow
  for (json::value& cls : slow.at("settings").at("classes").as_array()) cls.as_object()["aim"] = 10000.0;
  start(slow);
  for (int i = 0; i < 6; ++i) pass_marker("ru-quick-" + std::to_string(i), 2);
  set_behaviour("h", [](tcp::socket& socket, Request&) {
    return answer(socket, 429, "", {{"X-RateLimit-Wait-Ms", "60000"}});
  });
  ASSERT_EQ(submit("ru-rejected", "note", 2), 202U);
  ASSERT_TRUE(wait_delivered("ru-rejected"));
  std::vector<std::string> untried;
  for (int i = 0; i < 14; ++i) {
    untried.push_back("ru-" + std::to_string(i));
    const Request request = with_timeout(message(untried.back(), i % 2 ? "note" : "refund", 2), 10000);
    ASSERT_EQ(ask(address_, request).result_int(), 202U);
  }
  EXPECT_EQ(stop(SIGKILL), 128 + SIGKILL);
  // The first ones may have been sent before the relay read the server's backoff.
  watched_.change(
      [&] { std::erase_if(untried, [&](const std::string& id) { return deliveries_of(id) > 0; }); });
  ASSERT_GE(untried.size(), 12U);
  const auto found = static_cast<std::ptrdiff_t>(untried.size());
  set_behaviour("h", kAccept);
  start(slow);  // a restart ends the server backoff
  const auto called = [&](const std::string& id) { return deliveries_of(id) > 0; };
  const auto given_up = [&](const std::string& id) { return notices_.contains(id); };
  EXPECT_TRUE(watched_.wait(
      [&] { return std::ranges::all_of(untried, called) || std::ranges::any_of(untried, given_up); }));
  EXPECT_EQ(watched_.read([&] { return std::ranges::count_if(untried, called); }), found);
  EXPECT_EQ(watched_.read([&] { return std::ranges::count_if(untried, given_up); }), 0);
}

TEST_F(RelayTest, AttemptsCountAcrossRestarts) {
  add_host("h", 2, "plain", silent());
  start();
  ASSERT_EQ(submit("f1", "note", 2), 202U);
  for (std::size_t i = 1; i <= 4; ++i) {  // maxAttempts
    ASSERT_TRUE(wait_delivered("f1", i));
    stop(SIGKILL);
    start();
  }
  EXPECT_TRUE(wait_notice("f1", "handed_back"));
  EXPECT_EQ(count_deliveries("f1"), 4U);
}

TEST_F(RelayTest, ADeliveredMessageIsNotSentAgainAfterARestart) {
  add_host("h", 2, "plain", kAccept);
  start();
  ASSERT_EQ(submit("g1", "refund", 2), 202U);
  ASSERT_TRUE(wait_delivered("g1"));
  EXPECT_EQ(stop(SIGTERM), 0);
  start();
  pass_marker("g2", 2);
  EXPECT_EQ(count_deliveries("g1"), 1U);
  EXPECT_TRUE(watched_.read([&] { return notices_.empty(); })) << "no notice is pending for it";
}

// A notice stays pending until the platform has accepted it, also across a kill.
TEST_F(RelayTest, NoticesAreRepeatedUntilTheyAreTaken) {
  add_host("h", 2, "plain", [](tcp::socket&, Request&) { return false; });
  notices_to_fail_ = 1'000'000;
  start();
  ASSERT_EQ(submit("i1", "refund", 2), 202U);
  EXPECT_TRUE(watched_.wait([&] { return notices_to_fail_ < 1'000'000 - 2; }));
  stop(SIGKILL);
  watched_.change([&] { notices_to_fail_ = 2; });
  start();
  EXPECT_TRUE(wait_notice("i1", "given_up"));
  EXPECT_EQ(count_deliveries("i1"), 1U);
}

// A connection to discovery may stay open without answering, also the one that carries notices. Here a notice
// and its retry on a new connection half a second later both get no answer.
TEST_F(RelayTest, ANoticeOnASilentConnectionIsSentAgainInTime) {
  add_host("h", 2, "plain", [](tcp::socket&, Request&) { return false; });
  notices_to_leave_unanswered_ = 2;
  start();
  ASSERT_EQ(submit("is1", "refund", 2), 202U);
  EXPECT_TRUE(wait_notice("is1", "given_up"));
  watched_.change([&] {
    ASSERT_EQ(unanswered_notices_.size(), 2U);
    EXPECT_LT(unanswered_notices_[1] - unanswered_notices_[0], 900ms) << "the platform answers at once";
  });
}

// After SIGTERM the call in flight finishes, clients are still answered, and their connections close after
// the answer.
TEST_F(RelayTest, SigtermLetsCallsOutFinish) {
  add_host("h", 2, "plain", silent());
  add_host("other", 3, "plain", kAccept);
  start();
  ASSERT_EQ(submit("j1", "refund", 2), 202U);
  ASSERT_TRUE(wait_delivered("j1"));
  process_->signal(SIGTERM);
  Response response;
  int tries = 0;
  do {  // until the signal has been handled
    response = ask(address_, message("j2-" + std::to_string(tries++), "note", 3));
    EXPECT_TRUE(response.result_int() == 202 || response.result_int() == 503) << response.result_int();
  } while (response.keep_alive());
  watched_.change([&] { released_ = true; });
  EXPECT_EQ(process_->wait(), 0);
  process_.reset();
  start();
  pass_marker("j3", 2);
  EXPECT_EQ(count_deliveries("j1"), 1U);
  EXPECT_TRUE(watched_.read([&] { return !notices_.contains("j1"); })) << "its delivery is in the journal";
}

TEST_F(RelayTest, AFullDiskRefusesOpenly) {
  disk_mb_ = 0.05;
  add_host("h", 2, "plain", silent());
  start();
  EXPECT_EQ(submit("k1", "note", 2, std::string(30'000, 'x')), 503U);
  int accepted = 0;
  unsigned status = 202;
  for (int i = 0; i < 40 && status == 202; ++i, ++accepted) {
    status = submit("k2-" + std::to_string(i), "note", 2, std::string(3000, 'x'));
  }
  EXPECT_EQ(status, 503U);
  EXPECT_GT(accepted, 1);
  std::uintmax_t bytes = 0;
  for (const auto& entry : fs::directory_iterator(folder_ / "state")) {
    if (entry.is_regular_file()) bytes += entry.file_size();
  }
  EXPECT_LE(bytes, 50'000U);
  watched_.change([&] { released_ = true; });
  set_behaviour("h", kAccept);
  do {  // space is freed as messages complete
    status = submit("k3-" + std::to_string(accepted++), "note", 2, std::string(3000, 'x'));
  } while (status == 503);
  EXPECT_EQ(status, 202U);
}

// ------------------------------------------------------------------------- hosts

// After the last byte of a call its message may have run: one that must not run twice is given up, one that
// may be repeated is sent again.
TEST_F(RelayTest, AResetAfterTheLastByteMayHaveRun) {
  add_host("h", 2, "plain", [](tcp::socket&, Request&) { return false; });
  start();
  ASSERT_EQ(submit("l1", "refund", 2), 202U);
  EXPECT_TRUE(wait_notice("l1", "given_up"));
  EXPECT_EQ(count_deliveries("l1"), 1U);
  ASSERT_EQ(submit("l2", "note", 2), 202U);
  EXPECT_TRUE(wait_delivered("l2", 2));
}

// Before the last byte the message cannot have run: even one that must not run twice is sent again, here to
// the host's new address.
TEST_F(RelayTest, ARefusedConnectionNeverRan) {
  add_host("h", 2, "plain", kAccept);
  const std::string live = hosts_.at("h")->address();
  {
    Peer gone([](tcp::socket&, Request&) { return false; });
    list_host("h", 2, "plain", gone.address());
  }
  start();
  ASSERT_EQ(submit("m1", "refund", 2), 202U);
  list_host("h", 2, "plain", live);
  push(list());
  EXPECT_TRUE(wait_delivered("m1"));
  EXPECT_TRUE(watched_.read([&] { return notices_.empty(); }));
}

TEST_F(RelayTest, ASilentHostTimesOut) {
  add_host("h", 2, "plain", silent());
  start();
  ASSERT_EQ(submit("n1", "note", 2), 202U);
  ASSERT_TRUE(wait_delivered("n1"));
  set_behaviour("h", kAccept);
  EXPECT_TRUE(wait_delivered("n1", 2)) << "the first call timed out";
}

// Connections that break in the network say nothing about the load of a destination: while most calls
// succeed, the limit on calls in flight stays as it is.
TEST_F(RelayTest, BrokenConnectionsAmongDeliveriesHoldNothingBack) {
  int calls = 0, answered = 0;
  add_host("h", 2, "plain", [&](tcp::socket& socket, Request&) {
    bool breaks = false;
    watched_.change([&] { breaks = calls++ % 8 >= 6; });
    if (breaks) return false;
    answer(socket, 200);
    watched_.change([&] { ++answered; });
    return true;
  });
  start();
  for (int i = 0; i < 60; ++i) {  // each break causes a backoff, so the cap is evaluated several times
    ASSERT_EQ(submit("q-" + std::to_string(i), "note", 2), 202U);
    ASSERT_TRUE(watched_.wait([&] { return answered > i; }));
  }
  set_behaviour("h", silent());
  const std::vector<std::string> concurrent_ids = {"q-a", "q-b", "q-c", "q-d"};
  for (const std::string& id : concurrent_ids) ASSERT_EQ(submit(id, "note", 2), 202U);
  for (const std::string& id : concurrent_ids) ASSERT_TRUE(wait_delivered(id)) << id;
  watched_.change([&] {
    const auto first = std::ranges::find(deliveries_, concurrent_ids.front(), &Delivery::id)->at;
    for (const std::string& id : concurrent_ids) {
      // Sooner than a time-out would free a slot.
      EXPECT_LT(std::ranges::find(deliveries_, id, &Delivery::id)->at - first, 900ms) << id;
    }
  });
}

TEST_F(RelayTest, AServerBackoffIsRespected) {
  constexpr auto kWait = 700ms;
  add_host("h", 2, "plain", [](tcp::socket& socket, Request&) {
    return answer(socket, 429, "", {{"X-RateLimit-Wait-Ms", "700"}});
  });
  add_host("twin", 2, "plain", kAccept);
  start();
  SteadyClock::time_point rejected_at{};
  for (int i = 0; rejected_at == SteadyClock::time_point{}; ++i) {
    const std::string id = "o-" + std::to_string(i);
    ASSERT_EQ(submit(id, "note", 2), 202U);
    ASSERT_TRUE(wait_delivered(id));
    watched_.change([&] {
      for (const Delivery& d : deliveries_) {
        if (d.host == "h" && rejected_at == SteadyClock::time_point{}) rejected_at = d.at;
      }
      if (rejected_at != SteadyClock::time_point{}) behaviours_["h"] = kAccept;
    });
  }
  ASSERT_EQ(submit("o-next", "note", 2), 202U);
  ASSERT_TRUE(wait_delivered("o-next"));
  watched_.change([&] {
    for (const Delivery& d : deliveries_) {
      // Calls sent before the answer arrived are allowed.
      EXPECT_TRUE(d.at < rejected_at + 100ms || d.at >= rejected_at + kWait) << d.id;
    }
  });
}

// With discovery set to `automatic` the relay itself opens a watch, and opens it again when it breaks.
TEST_F(RelayTest, AListThatComesByItselfIsWatchedAndWatchedAgain) {
  add_host("h", 2, "plain", kAccept);
  json::object automatic = config();
  automatic.at("settings").as_object()["discovery"] = "automatic";
  start(automatic);
  ASSERT_TRUE(wait_requested("first", "/catalog/members?watch=1"));
  const auto known = [&](const std::string& id, int dest) {  // waits for the change of the list
    unsigned status = 0;
    for (int i = 0; status != 202 && i < 500; ++i) {
      status = submit(id + std::to_string(i), "note", dest);
      if (status != 202) std::this_thread::sleep_for(10ms);
    }
    return status == 202U;
  };
  add_host("h3", 3, "plain", kAccept);
  push(list());
  EXPECT_TRUE(known("wa-", 3));
  watched_.change([&] { watches_to_end_ = 1; });
  ASSERT_TRUE(watched_.wait([&] { return platform_requests_["first"].size() >= 2; }))
      << "a broken watch is opened anew";
  EXPECT_EQ(watched_.read([&] { return platform_requests_["first"].back(); }),
            "/catalog/members?watch=1&from=5");
  add_host("h4", 4, "plain", kAccept);
  push(list());
  EXPECT_TRUE(known("wb-", 4));
}

// A watch that stays open but sends nothing, from some time on or from its start, is replaced within 6 s: by
// then a relay is taken to know of a change.
TEST_F(RelayTest, AWatchThatFallsSilentIsOpenedAnew) {
  constexpr auto kWatchTimeout = 6s, kSlowMachine = 2s;
  add_host("h", 2, "plain", kAccept);
  json::object automatic = config();
  automatic.at("settings").as_object()["discovery"] = "automatic";
  const auto asked = [&](std::size_t times) {
    return watched_.wait([&, times] { return platform_requests_["first"].size() >= times; });
  };
  start(automatic);
  ASSERT_TRUE(asked(1));
  const auto silent = SteadyClock::now();
  watched_.change([&] { silent_service_ = "first"; });  // the next watch gets no answer at all
  ASSERT_TRUE(asked(2));
  EXPECT_LT(SteadyClock::now() - silent, kWatchTimeout + kSlowMachine);
  const auto silent_from_the_first = SteadyClock::now();
  watched_.change([&] { silent_service_.clear(); });
  ASSERT_TRUE(asked(3));
  EXPECT_LT(SteadyClock::now() - silent_from_the_first, kWatchTimeout + kSlowMachine);
  add_host("h3", 3, "plain", kAccept);
  push(list());
  unsigned status = 0;
  for (int i = 0; status != 202 && i < 500; ++i) {  // until the change has arrived on the newest watch
    status = submit("ws" + std::to_string(i), "note", 3);
    if (status != 202) std::this_thread::sleep_for(10ms);
  }
  EXPECT_EQ(status, 202U);
}

TEST_F(RelayTest, ADrainingHostGetsNothingNew) {
  add_host("h1", 2, "plain", kAccept);
  add_host("h2", 2, "plain", kAccept);
  json::object known = list({"h1"});
  json::object alone = config();
  alone["known"] = known;
  start(alone);
  pass_marker("p1", 2);
  entries_["h1"]["state"] = "DRAINING";
  push(list({"h1", "h2"}));
  std::size_t to_h1 = 0;
  for (int i = 0; to_h1 == 0; ++i) {  // until the change has arrived
    const std::string id = "p2-" + std::to_string(i);
    pass_marker(id, 2);
    watched_.change([&] {
      if (deliveries_.back().host == "h2") to_h1 = deliveries_.size();
    });
  }
  for (int i = 0; i < 5; ++i) pass_marker("p3-" + std::to_string(i), 2);
  watched_.change([&] {
    for (std::size_t i = to_h1; i < deliveries_.size(); ++i) EXPECT_EQ(deliveries_[i].host, "h2");
  });
}

// ------------------------------------------------------------------------- new configurations

const Behaviour kError = [](tcp::socket& socket, Request&) { return answer(socket, 500); };

// SIGHUP moves the watch and the notices to the new address; the process and its calls continue.
TEST_F(RelayTest, ANewConfigurationMovesWatchAndNotices) {
  add_host("h", 2, "plain", silent());
  start();
  ASSERT_TRUE(wait_requested("first", "/catalog"));
  ASSERT_EQ(submit("s1", "note", 2), 202U);
  ASSERT_TRUE(wait_delivered("s1"));
  reload(json::serialize(second_discovery_config()));
  ASSERT_TRUE(wait_requested("moved", "/catalog"));
  add_host("h2", 3, "plain", kError);
  push(list());
  unsigned status = 0;
  for (int i = 0; status != 202; ++i) status = submit("s2-" + std::to_string(i), "refund", 3);
  ASSERT_TRUE(watched_.wait([&] { return !notices_.empty(); }));
  EXPECT_TRUE(
      watched_.read([&] { return std::ranges::count(platform_requests_["first"], "/v1/outcomes") == 0; }));
  watched_.change([&] { released_ = true; });
  pass_marker("s3", 2);
  EXPECT_EQ(count_deliveries("s1"), 1U) << "the call in flight was not interrupted";
}

// A notice that the old service did not answer is sent to the new one.
TEST_F(RelayTest, ANoticeInFlightMovesWithTheConfiguration) {
  add_host("h", 2, "plain", kError);
  start();
  ASSERT_TRUE(wait_requested("first", "/catalog"));
  watched_.change([&] { silent_service_ = "first"; });
  ASSERT_EQ(submit("t1", "refund", 2), 202U);
  ASSERT_TRUE(wait_requested("first", "/v1/outcomes"));
  reload(json::serialize(second_discovery_config()));
  EXPECT_TRUE(wait_notice("t1", "given_up"));
}

TEST_F(RelayTest, ABadConfigurationIsNotTaken) {
  add_host("h", 2, "plain", kAccept);
  add_host("bad", 3, "plain", kError);
  start();
  pass_marker("u1", 2);
  json::object nowhere = second_discovery_config(), unnamed = second_discovery_config();
  nowhere["discovery"] = "nowhere";
  unnamed.erase("discovery");
  const std::string whole = json::serialize(second_discovery_config());
  int reloads = 0;
  for (const std::string& text :
       {std::string(), std::string("{\"discovery\": 1}"), json::serialize(nowhere), json::serialize(unnamed),
        whole.substr(0, whole.size() - 1), whole.substr(0, whole.size() / 2), std::string(4096, '\0')}) {
    reload(text);
    pass_marker("u2" + std::to_string(++reloads), 2);
  }
  fs::remove(folder_ / "config.json");
  process_->signal(SIGHUP);
  pass_marker("u2" + std::to_string(++reloads), 2);
  ASSERT_EQ(submit("u3", "refund", 3), 202U);
  EXPECT_TRUE(wait_notice("u3", "given_up")) << "still at the old address";
  EXPECT_EQ(stop(SIGTERM), 0);
}

// ------------------------------------------------------------------------- other settings

// All decisions follow the settings alone: here with other classes, kinds and zones, with a first class that
// has a short deadline and must not run twice, a last one that may be repeated, and tenants with shares.
TEST_F(RelayTest, AnotherCustomersSettingsDecideAlone) {
  add_host("gone", 7, "rail-ways", [](tcp::socket&, Request&) { return false; });
  add_host("busy", 8, "cranes", [](tcp::socket& socket, Request&) {
    return answer(socket, 429, "", {{"X-RateLimit-Wait-Ms", "300"}});
  });
  for (auto& [id, entry] : entries_) entry["zone"] = "pier-3";
  json::object other = config();
  json::object& settings = other.at("settings").as_object();
  const auto cls = [](const char* name, double deadline, const char* effect, double worth) {
    return json::object{{"name", name},          {"aim", deadline / 4}, {"deadline", deadline},
                        {"idempotency", effect}, {"keyScope", "all"},   {"lateWorth", 0.2},
                        {"window", 4000.0},      {"worth", worth}};
  };
  settings["classes"] = {cls("gate-open", 6000, "at_most_once", 0.5), cls("manifest", 24000, "idempotent", 7),
                         cls("work-slip", 12000, "deduplicated", 4)};
  settings["hostTypes"] = {"cranes", "rail-ways"};
  settings["familyInfo"].as_object()["kindBatch"] = {3, 1};
  settings["areas"] = {"pier-1", "pier-2", "pier-3"};
  settings["zone"] = "pier-2";
  settings["orgs"] = {json::object{{"name", "north-line"}, {"quotaPerS", 9.0}, {"fraction", 0.6}},
                      json::object{{"name", "south-line"}, {"quotaPerS", 6.0}, {"fraction", 0.4}}};
  settings["allowed"].as_object()["maxAttempts"] = 2;
  start(other);
  EXPECT_EQ(submit("oc0", "note", 7), 404U) << "a class of other settings";
  ASSERT_EQ(submit("oc1", "gate-open", 7), 202U);
  EXPECT_TRUE(wait_notice("oc1", "given_up"));
  EXPECT_EQ(count_deliveries("oc1"), 1U) << "it may have run";
  ASSERT_EQ(submit("oc2", "manifest", 7), 202U);
  EXPECT_TRUE(wait_notice("oc2", "handed_back"));
  EXPECT_EQ(count_deliveries("oc2"), 2U) << "maxAttempts";
  EXPECT_EQ(submit("oc3", "work-slip", 8), 400U) << "its class requires a key";
  ASSERT_EQ(submit("oc4", "manifest", 8), 202U);
  ASSERT_TRUE(wait_delivered("oc4"));
  set_behaviour("busy", kAccept);
  for (const char* id : {"oc5", "oc6", "oc7", "oc8"}) ASSERT_EQ(submit(id, "manifest", 8), 202U);
  for (const char* id : {"oc4", "oc5", "oc6", "oc7", "oc8"}) EXPECT_TRUE(wait_delivered(id)) << id;
}

// ------------------------------------------------------------------------- bad clients

// Sends bytes and returns all that the relay sends until it closes the connection.
std::string send_raw(const std::string& address, const std::string& bytes) {
  boost::asio::io_context context;
  tcp::socket socket = connect(context, address);
  boost::system::error_code error;
  boost::asio::write(socket, boost::asio::buffer(bytes), error);
  std::string text;
  boost::asio::read(socket, boost::asio::dynamic_buffer(text), error);
  return text;
}

// Each malformed request gets an error or a close, and none reaches a host. A hang fails by the test's
// time-out.
TEST_F(RelayTest, EachKindOfBadClientGetsAnErrorOrAClose) {
  add_host("h", 2, "plain", kAccept);
  start();
  const std::string fields = "X-Timeout-Ms: 9000\r\nX-Addressing: dest=2\r\n";
  const std::string head = "POST /note HTTP/1.1\r\nX-Request-ID: bad\r\n" + fields;
  const std::string hidden =
      "POST /note HTTP/1.1\r\nX-Request-ID: hidden\r\nContent-Length: 0\r\n" + fields + "\r\n";
  const std::map<std::string, std::string> errors = {
      {"noise", "\x16\x03\x01\x02 what is this\r\n\r\n"},
      {"head without end", head + "X-Long: " + std::string(1 << 20, 'x')},
      {"length not a number", head + "Content-Length: many\r\n\r\nhello"},
      {"negative length", head + "Content-Length: -5\r\n\r\nhello"},
      {"huge length", head + "Content-Length: 99999999999999999999999\r\n\r\nhello"},
      {"two lengths",
       head + "Content-Length: 0\r\nContent-Length: " + std::to_string(hidden.size()) + "\r\n\r\n" + hidden},
      {"large body", head + "Content-Length: 60000000\r\n\r\n" + std::string(1 << 20, 'x')},
      {"length and chunks",
       head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden},
      {"chunks and length",
       head + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden},
      {"unknown coding", head + "Transfer-Encoding: xchunked\r\n\r\n" + hidden},
      {"coding behind chunks", head + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n" + hidden},
      {"obsolete coding", head + "Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nhello" + hidden},
      {"folded coding", head + "Transfer-Encoding:\r\n x,chunked\r\n\r\n0\r\n\r\n" + hidden},
      {"no id", "POST /note HTTP/1.1\r\n" + fields + "\r\n" + hidden},
      {"unknown class", "POST /none HTTP/1.1\r\nX-Request-ID: bad\r\n" + fields + "\r\n" + hidden},
      {"unknown destination",
       "POST /note HTTP/1.1\r\nX-Request-ID: bad\r\nX-Timeout-Ms: 9000\r\nX-Addressing: dest=77\r\n\r\n"},
      {"deadline not a number",
       "POST /note HTTP/1.1\r\nX-Request-ID: bad\r\nX-Timeout-Ms: soon\r\nX-Addressing: dest=2\r\n\r\n"},
  };
  for (const auto& [what, bytes] : errors) {
    const std::string response = send_raw(address_, bytes);
    // Closing a connection with unread bytes may discard the error.
    if (!response.empty()) {
      const std::string status = response.substr(0, 10);
      EXPECT_TRUE(status == "HTTP/1.1 4" || status == "HTTP/1.1 5") << what << ": " << response;
    }
    EXPECT_EQ(response.find("202"), std::string::npos) << what;
    EXPECT_EQ(response.find("HTTP/1.1", 1), std::string::npos) << what << ": a second answer";
  }
  EXPECT_EQ(send_raw(address_, ""), "") << "no bytes";
  EXPECT_EQ(send_raw(address_, head.substr(0, 40)), "") << "half a head";
  EXPECT_EQ(send_raw(address_, head + "Content-Length: 50\r\n\r\nhalf"), "") << "half a body";
  pass_marker("v1", 2);
  EXPECT_EQ(watched_.read([&] { return deliveries_.size(); }), 1U);
}

// Silent connections that exceed the relay's descriptors must not keep other clients out.
TEST_F(RelayTest, ACrowdOfSilentClientsKeepsNobodyOut) {
  add_host("h", 2, "plain", kAccept);
  start();
  boost::asio::io_context context;
  std::vector<tcp::socket> crowd;
  for (int i = 0; i < 300; ++i) {
    crowd.push_back(connect(context, address_));
    if (i % 2 == 0) boost::asio::write(crowd.back(), boost::asio::buffer(std::string("POST /note HT")));
  }
  pass_marker("w1", 2);
}

// Idle connections that have already sent a request are closed before one that has not sent its first yet.
TEST_F(RelayTest, AClientAboutToAskIsKeptBeforeThoseThatHaveAsked) {
  add_host("h", 2, "plain", kAccept);
  start();
  boost::asio::io_context context;
  const auto ask_on = [](tcp::socket& socket, const Request& request) {
    boost::system::error_code error;
    http::write(socket, request, error);
    boost::beast::flat_buffer buffer;
    Response response;
    if (!error) http::read(socket, buffer, response, error);
    return error ? 0U : response.result_int();
  };
  std::vector<tcp::socket> kept;
  for (int i = 0; i < 80; ++i) {  // more than the relay has descriptors for
    kept.push_back(connect(context, address_));
    ASSERT_EQ(ask_on(kept.back(), Request{http::verb::get, "/_health", 11}), 200U);
  }
  tcp::socket slow = connect(context, address_);
  std::this_thread::sleep_for(300ms);  // so that it is no longer protected as a new connection
  for (int i = 0; i < 10; ++i) {
    kept.push_back(connect(context, address_));
    ASSERT_EQ(ask_on(kept.back(), Request{http::verb::get, "/_health", 11}), 200U);
  }
  EXPECT_EQ(ask_on(slow, message("s1", "note", 2)), 202U);
}

// Connections stalled in the middle of a request are closed before one that keeps writing, even if that one
// is older.
TEST_F(RelayTest, AClientThatStillWritesIsKeptBeforeThoseThatStopped) {
  add_host("h", 2, "plain", kAccept);
  start();
  boost::asio::io_context context;
  std::ostringstream text;
  text << message("slow", "note", 2);
  const std::string request = text.str();
  tcp::socket slow = connect(context, address_);
  boost::asio::write(slow, boost::asio::buffer(request.data(), 8));
  std::vector<tcp::socket> crowd;
  const auto stop_half_way = [&](int count) {
    for (int i = 0; i < count; ++i) {
      crowd.push_back(connect(context, address_));
      boost::asio::write(crowd.back(), boost::asio::buffer("POST /no", 8));
    }
  };
  // By the answer to `first` the relay has read what was sent before it.
  stop_half_way(48);  // there is room for 54
  EXPECT_EQ(submit("first", "note", 2), 202U);
  boost::asio::write(slow, boost::asio::buffer(request.data() + 8, 8));
  EXPECT_EQ(submit("second", "note", 2), 202U);
  stop_half_way(20);
  EXPECT_EQ(submit("third", "note", 2), 202U);  // some stalled connections have been closed
  boost::asio::write(slow, boost::asio::buffer(request.data() + 16, request.size() - 16));
  boost::beast::flat_buffer buffer;
  Response response;
  http::read(slow, buffer, response);
  EXPECT_EQ(response.result_int(), 202U);
}

TEST_F(RelayTest, RequestsMayComeCutAtAnyByte) {
  add_host("h", 2, "plain", kAccept);
  start();
  boost::asio::io_context context;
  const auto request = [&](const std::string& id) {
    std::ostringstream text;
    text << message(id, "note", 2, "a body");
    return text.str();
  };
  const std::size_t size = request("cut-100").size();
  tcp::socket socket = connect(context, address_);
  socket.set_option(tcp::no_delay(true));
  boost::beast::flat_buffer buffer;
  const auto status = [&] {
    Response response;
    http::read(socket, buffer, response);
    return response.result_int();
  };
  for (std::size_t cut = 1; cut < size; ++cut) {
    const std::string whole = request("cut-" + std::to_string(100 + cut));
    boost::asio::write(socket, boost::asio::buffer(whole.data(), cut));
    boost::asio::write(socket, boost::asio::buffer(whole.data() + cut, whole.size() - cut));
    ASSERT_EQ(status(), 202U) << cut;
    ASSERT_TRUE(wait_delivered("cut-" + std::to_string(100 + cut)));
  }
  boost::asio::write(socket, boost::asio::buffer(request("two-1") + request("two-2")));  // at once
  EXPECT_EQ(status(), 202U);
  EXPECT_EQ(status(), 202U);
}

// One client must not suppress or withdraw another's message by using its id.
TEST_F(RelayTest, AnIdInUseIsRefusedForAnotherMessage) {
  add_host("h", 2, "plain", silent());
  start();
  ASSERT_EQ(submit("x1", "receipt", 2), 202U);
  EXPECT_EQ(submit("x1", "receipt", 2, "another body"), 409U);
  EXPECT_EQ(submit("x1", "note", 2), 409U);
  Request other = message("x1", "receipt", 2);
  other.set("Idempotency-Key", "another");
  EXPECT_EQ(ask(address_, other).result_int(), 409U);
  EXPECT_EQ(submit("x1", "receipt", 2), 202U) << "the same request once more";
  watched_.change([&] { released_ = true; });
  EXPECT_TRUE(wait_delivered("x1"));
  pass_marker("x2", 2);
  EXPECT_EQ(count_deliveries("x1"), 1U);
}

// A host that replaces another at the same address gets a connection of its own.
TEST_F(RelayTest, AReplacedHostSharesNoConnection) {
  unsigned port = 0, last = 0;  // of the connection that carried the newest call
  add_host("h-0", 2, "plain", [&](tcp::socket& socket, Request&) {
    watched_.change([&] { port = socket.remote_endpoint().port(); });
    return answer(socket, 200);
  });
  const std::string address = hosts_.at("h-0")->address();
  start();
  int messages = 0;
  for (int i = 1; i <= 30; ++i) {
    last = port;
    entries_.clear();
    list_host("h-" + std::to_string(i), 2, "plain", address);
    push(list());
    // Until the change of the list arrives, the old host gets messages on its connection.
    const int limit = messages + 200;
    while (watched_.read([&] { return port == last; })) {
      ASSERT_LT(messages, limit) << "the connection of host " << i - 1 << " carries calls to host " << i;
      pass_marker("y" + std::to_string(messages++), 2);
    }
  }
  EXPECT_EQ(stop(SIGTERM), 0);
}

// A host may apply the deadline of the first message of a bulk call to all of them, so the message with the
// latest deadline has to come first. Without sorting the order here is short, long, rejected.
TEST_F(RelayTest, ABulkCallNamesTheMessageWithTheMostTimeFirst) {
  add_host("h", 1, "bulk", [](tcp::socket& socket, Request&) {
    return answer(socket, 429, "", {{"X-RateLimit-Wait-Ms", "1500"}});
  });
  start();
  ASSERT_EQ(ask(address_, with_timeout(message("bt-rejected", "note", 1), 12000)).result_int(), 202U);
  ASSERT_TRUE(wait_delivered("bt-rejected"));
  set_behaviour("h", kAccept);  // after the backoff all queued messages are sent in one call
  ASSERT_EQ(ask(address_, with_timeout(message("bt-long", "note", 1), 19000)).result_int(), 202U);
  ASSERT_EQ(ask(address_, with_timeout(message("bt-short", "note", 1), 6000)).result_int(), 202U);
  ASSERT_TRUE(wait_delivered("bt-short"));
  std::vector<std::string> named;
  watched_.change([&] {
    for (std::size_t i = 1; i < deliveries_.size(); ++i) named.push_back(deliveries_[i].id);
  });
  EXPECT_EQ(named, (std::vector<std::string>{"bt-long", "bt-rejected", "bt-short"}));
}

// Each message of a bulk call gets its own outcome.
TEST_F(RelayTest, ABulkAnswerEndsEachMessageForItself) {
  add_host("h", 1, "bulk", [](tcp::socket& socket, Request& request) {
    if (request.target() != "/inbox/bulk") return answer(socket, 200);
    json::array states;
    const json::value parsed = json::parse(request.body());
    for (const json::value& entry : parsed.as_array()) {
      const std::string id(entry.at("id").as_string());
      if (id == "q-unnamed") continue;
      if (id == "q-doubled") {
        for (const char* state : {"done", "busy"}) states.push_back({{"id", id}, {"state", state}});
        states.push_back({{"id", "q-foreign"}, {"state", "done"}});
        continue;
      }
      states.push_back(json::object{{"id", id}, {"state", id.substr(2, id.find('-', 2) - 2)}});
    }
    return answer(socket, 200, json::serialize(states));
  });
  start();
  std::vector<std::thread> clients;
  const std::vector<std::string> ids = {"q-done", "q-busy", "q-failed", "q-void", "q-unnamed", "q-doubled"};
  for (const std::string& id : ids) {
    clients.emplace_back([&, id] { EXPECT_EQ(submit(id, "refund", 1), 202U); });
  }
  for (std::thread& client : clients) client.join();
  for (const std::string& id : ids) ASSERT_TRUE(wait_delivered(id));
  EXPECT_TRUE(wait_delivered("q-busy", 2)) << "it never ran";
  EXPECT_TRUE(wait_notice("q-failed", "given_up")) << "it may have run";
  EXPECT_TRUE(wait_notice("q-unnamed", "given_up")) << "nothing proves that it did not";
  EXPECT_TRUE(wait_notice("q-doubled", "given_up")) << "named with two ends: neither is proven";
  pass_marker("r-marker", 1);
  EXPECT_EQ(count_deliveries("q-done"), 1U);
  EXPECT_EQ(count_deliveries("q-failed"), 1U);
  EXPECT_EQ(count_deliveries("q-void"), 1U);
  EXPECT_TRUE(watched_.read([&] { return !notices_.contains("q-done") && !notices_.contains("q-void"); }));
}

}  // namespace
}  // namespace myrtlegrade::test
