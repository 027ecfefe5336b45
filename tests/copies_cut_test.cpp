// Tests of a replicating relay that is cut off from the other relays while it serves its clients and hosts.
#include <atomic>
#include <list>
#include <thread>

#include "copies_fixture.h"
#include "forwarding_proxy.h"

namespace myrtlegrade::test {
namespace {

constexpr auto kTakeover = 4s;  // longer than others need to act on the messages of a silent relay

// What passes between the first relay and the others.
enum class Cut { none, answers, all };

// Forwards the connections of the copies to one relay, but for what is cut.
class CuttingProxy : public ForwardingProxy {
 public:
  CuttingProxy(const std::string& listen, const std::string& to, const std::string& first_relay,
               bool leads_to_first_relay, const std::atomic<Cut>& cut)
      : ForwardingProxy(listen, to),
        first_relay_(boost::asio::ip::make_address(first_relay)),
        leads_to_first_relay_(leads_to_first_relay),
        cut_(cut) {
    start();
  }
  ~CuttingProxy() override { stop(); }

 private:
  bool passes(const boost::asio::ip::address& from_client, bool back) override {
    const bool of_first_relay = leads_to_first_relay_ || from_client == first_relay_;
    const bool to_first_relay = leads_to_first_relay_ != back;
    return !of_first_relay || cut_ == Cut::none || (cut_ == Cut::answers && !to_first_relay);
  }

  boost::asio::ip::address first_relay_;
  bool leads_to_first_relay_;
  const std::atomic<Cut>& cut_;
};

class CopiesCutTest : public CopiesTest {
 protected:
  CopiesCutTest() {
    copies_port_ = "7302";
    note_ms_ = 500;
    refund_ms_ = 2500;
  }

  void start_all() {
    add_host("h", 2, "plain", kAccept);
    const std::string first = at(0, "");
    for (int n = 0; n < kRelays; ++n)
      proxies_.emplace_back(at(n, "7302"), at(n, "7301"), first.substr(0, first.size() - 1), n == 0, cut_);
    start_relays();
    ASSERT_TRUE(wait_copied());
  }

  // Leaves the calls of the first relay unanswered until the test ends; answers those of the others.
  Behaviour silent_to_first_relay() {
    return [this](tcp::socket& socket, Request& request) {
      if (request[http::field::via] != "1.1 n0") return kAccept(socket, request);
      return hold_call(socket, request);
    };
  }

  // Submits messages at once, by ids of the prefix and a number, and returns the answers.
  std::vector<unsigned> submit_together(const std::string& prefix, const std::string& cls, int dest,
                                        int count) {
    std::vector<unsigned> statuses(static_cast<std::size_t>(count));
    {
      std::vector<std::jthread> clients;
      for (int i = 0; i < count; ++i)
        clients.emplace_back([&, i] {
          statuses[static_cast<std::size_t>(i)] = submit(prefix + std::to_string(i), cls, dest);
        });
    }
    return statuses;
  }

  bool in_one_call(const std::string& first, const std::string& second) {
    return watched_.read([&] {
      const std::vector<int>&a = open_calls_[first], &b = open_calls_[second];
      return !a.empty() && !b.empty() && a.back() == b.back();
    });
  }

  std::atomic<Cut> cut_ = Cut::none;
  std::list<CuttingProxy> proxies_;
};

// Guards against a refusal of work that another relay still runs: the body had reached the holder of its
// copy, and the acknowledgement was cut off. The client was told 503 and submitted the work again.
TEST_F(CopiesCutTest, WorkThatAHolderRunsIsNotRefused) {
  constexpr int kQueued = 12, kMessages = 8;
  add_host("p", 3, "plain", silent_to_first_relay());
  start_all();
  for (const unsigned status : submit_together("queued-", "refund", 3, kQueued)) ASSERT_EQ(status, 202U);
  cut_ = Cut::answers;
  std::jthread later([this] {
    std::this_thread::sleep_for(150ms);
    cut_ = Cut::all;
  });
  const std::vector<unsigned> statuses = submit_together("m", "refund", 3, kMessages);
  EXPECT_EQ(submit("unsent", "refund", 3), 503U) << "nobody else has it";
  std::this_thread::sleep_for(kTakeover);
  std::size_t run = 0;
  for (int i = 0; i < kMessages; ++i) {
    const std::string id = "m" + std::to_string(i);
    const std::size_t deliveries = count_deliveries(id);
    run += deliveries;
    EXPECT_NE(statuses[static_cast<std::size_t>(i)], 202U) << id;
    EXPECT_TRUE(statuses[static_cast<std::size_t>(i)] != 503U || deliveries == 0) << id;
  }
  EXPECT_GT(run, 0U) << "no holder acted, so that nothing was tested";
  EXPECT_EQ(count_deliveries("unsent"), 0U);
}

// Guards against the same at an upgrade: a message that waits for its acceptance is neither refused, while
// the new process or a holder may run it, nor failed. The old process waits for the answer before it hands
// over.
TEST_F(CopiesCutTest, AnUpgradeWaitsForAcceptances) {
  answer_ms_ = 1000;  // longer than the cut, however busy the machine
  add_host("p", 3, "plain", kAccept);
  start_all();
  std::optional<Process> next;
  start_relay(next, 0, address_);
  ASSERT_TRUE(wait_healthy(next));
  cut_ = Cut::answers;
  std::jthread later([this] {
    std::this_thread::sleep_for(40ms);
    relays_[0]->signal(SIGTERM);
    std::this_thread::sleep_for(80ms);
    cut_ = Cut::none;
  });
  for (const unsigned status : submit_together("m", "refund", 3, 8)) EXPECT_EQ(status, 202U);
  ASSERT_TRUE(wait_log(next, "took over"));
  for (int i = 0; i < 8; ++i) {
    const std::string id = "m" + std::to_string(i);
    EXPECT_TRUE(wait_delivered(id)) << id;
  }
  std::this_thread::sleep_for(500ms);
  for (int i = 0; i < 8; ++i) EXPECT_EQ(count_deliveries("m" + std::to_string(i)), 1U);
}

// Guards against a second copy: a message of a bulk call times out alone while the call stays open for the
// other one. Its relay is cut off, and the relay that acts for it must not call with it.
TEST_F(CopiesCutTest, AMessageThatTimesOutAloneIsNotCalledElsewhereWhileItsCallIsOpen) {
  constexpr auto kNoteTimedOut = 900ms;
  add_host("b", 3, "bulk",
           [this](tcp::socket& socket, Request& request) { return hold_call(socket, request); });
  start_all();
  std::string last;  // a note and a refund in one call
  for (int i = 0; i < 10 && last.empty(); ++i) {
    const std::string number = std::to_string(i);
    {
      std::jthread other([&] { EXPECT_EQ(submit("note-" + number, "note", 3), 202U); });
      EXPECT_EQ(submit("refund-" + number, "refund", 3), 202U);
    }
    ASSERT_TRUE(wait_delivered("note-" + number) && wait_delivered("refund-" + number));
    if (in_one_call("note-" + number, "refund-" + number)) last = number;
  }
  ASSERT_FALSE(last.empty());
  std::this_thread::sleep_for(kNoteTimedOut);
  cut_ = Cut::all;
  std::this_thread::sleep_for(2s);  // others act after 1 s, and the call is open for 5 s
  EXPECT_EQ(overlapping_calls(), std::vector<std::string>{});
  EXPECT_TRUE(noticed("note-" + last)) << "another relay acts for the one that is cut off";
}

// Guards against the same over an upgrade: the new process recorded the old one's attempts as ended while
// their connections were open.
TEST_F(CopiesCutTest, ACallOfTheOldProcessIsNotRepeatedElsewhereWhileItIsOpen) {
  note_ms_ = refund_ms_ = 6000;
  add_host("p", 3, "plain",
           [this](tcp::socket& socket, Request& request) { return hold_call(socket, request); });
  start_all();
  ASSERT_EQ(submit("m", "note", 3), 202U);
  ASSERT_TRUE(wait_delivered("m"));
  std::optional<Process> next;
  start_relay(next, 0, address_);
  ASSERT_TRUE(wait_healthy(next));
  take_over(relays_[0], next);
  ASSERT_TRUE(wait_log(next, "acts on the messages"));
  std::this_thread::sleep_for(300ms);
  cut_ = Cut::all;
  EXPECT_TRUE(wait_notice("m", "handed_back")) << "another relay acts for the one that is cut off";
  EXPECT_EQ(overlapping_calls(), std::vector<std::string>{});
  EXPECT_EQ(count_deliveries("m"), 1U);
}

}  // namespace
}  // namespace myrtlegrade::test
