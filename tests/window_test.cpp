// Messages whose key their destination remembers for one second, across restarts: no repeat may arrive at a
// host after that second, and messages that may still be sent are sent.
#include <netinet/tcp.h>

#include <iostream>
#include <random>

#include "journal_view.h"
#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

constexpr auto kWindow = 1000ms;
// Messages found at a start must be sent when this much of their window is left: the relay's margin and the
// machine's load.
constexpr auto kMinTimeLeft = 300ms;

// Returns when the last byte that was read arrived, by the kernel: a host's thread may run late.
SteadyClock::time_point arrival(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof info;
  EXPECT_EQ(::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size), 0);
  return SteadyClock::now() - std::chrono::milliseconds(info.tcpi_last_data_recv);
}

struct Arrival {
  SteadyClock::time_point at;
  bool ran = false, delivered = false;
};

struct Counts {
  std::size_t messages = 0, kills = 0, arrivals = 0, repeats = 0, sendable = 0, over = 0;
};

// One relay and its hosts; the relay is killed and restarted at times that follow from the seed.
class Play : public RelayTest {
 public:
  explicit Play(unsigned seed) : seed_(seed), random_(seed) {
    for (const char* host : {"h1", "h2"}) add_host(host, 2, "plain", host_behaviour());
    add_host("b", 3, "bulk", host_behaviour());
    list_host("hole", 2, "plain", unreachable_.address());
  }

  void run() {
    SCOPED_TRACE("seed " + std::to_string(seed_));
    for (int life = 0; life < 3; ++life) {
      start(short_window_config());
      const std::string last = submit_some(life);
      kill_relay(last);
      std::this_thread::sleep_for(random_up_to(500ms));
    }
    watched_.change([this] { calm_ = true; });
    entries_.erase("hole");
    start(short_window_config());
    check_found_messages();
    const auto over = [this](const std::string& id) { return delivered(id) || notices_.contains(id); };
    EXPECT_TRUE(watched_.wait([&] { return std::ranges::all_of(accepted_, over); })) << "no final answer";
    stop(SIGKILL);
    check_arrivals();
  }
  const Counts& counts() const { return counts_; }

 private:
  void TestBody() override {}

  template <typename Duration>
  std::chrono::microseconds random_up_to(Duration max) {
    return std::chrono::microseconds(random_() % std::chrono::microseconds(max).count());
  }
  bool one_in(unsigned n) { return random_() % n == 0; }

  json::object short_window_config() const {
    json::object changed = config();
    json::object& settings = changed.at("settings").as_object();
    settings.at("allowed").as_object()["maxAttempts"] = 12;
    json::object& keyed = settings.at("classes").at(1).as_object();
    keyed["window"] = static_cast<double>(kWindow.count());
    keyed["aim"] = 400.0;
    return changed;
  }

  // The behaviour of a host follows from the message and the number of its arrivals.
  Behaviour host_behaviour() {
    return [this](tcp::socket& socket, Request& request) {
      const auto at = arrival(socket);
      std::vector<std::string> ids;
      if (request.target() == "/inbox") {
        ids.emplace_back(request["X-Request-ID"]);
      } else {
        const json::value parsed = json::parse(request.body());
        for (const json::value& entry : parsed.as_array()) ids.emplace_back(entry.at("id").as_string());
      }
      unsigned behaviour = 0;
      std::chrono::milliseconds hold{};
      watched_.change([&] {
        std::mt19937 draw(seed_ * 7919 + static_cast<unsigned>(std::hash<std::string>()(ids.front())) +
                          static_cast<unsigned>(arrivals_[ids.front()].size()));
        behaviour = calm_ ? 0 : draw() % 7;
        hold = std::chrono::milliseconds(draw() % 900);
        for (const std::string& id : ids) arrivals_[id].push_back({at, behaviour != 1, behaviour == 0});
      });
      if (behaviour == 0) return kAccept(socket, request);
      if (behaviour == 1) return answer(socket, 503);
      if (behaviour == 2) return answer(socket, 500);
      if (behaviour > 3) std::this_thread::sleep_for(hold);  // the answer is lost afterwards
      boost::system::error_code ignored;
      if (behaviour < 6) socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      return false;
    };
  }

  // Returns the id of the last message.
  std::string submit_some(int life) {
    std::string id;
    for (unsigned i = 0; i < 3 + random_() % 2; ++i) {
      id = "w" + std::to_string(seed_) + "-" + std::to_string(life) + "-" + std::to_string(i);
      if (submit(id, "receipt", one_in(3) ? 3 : 2) == 202) accepted_.push_back(id);
      if (one_in(2)) std::this_thread::sleep_for(random_up_to(200ms));
    }
    return id;
  }

  // Kills the relay right after the 202, when a host has received the call, or at any time; half the time
  // with a request in progress.
  void kill_relay(const std::string& last) {
    std::thread partial_request;
    if (one_in(2)) {
      partial_request = std::thread([this, id = last + "-half"] {
        try {
          submit(id, "receipt", 2);
        } catch (const boost::system::system_error&) {
        }
      });
    }
    const unsigned when = random_() % 3;
    const auto delay = random_up_to(when == 1 ? 4ms : 900ms);
    const auto latest = SteadyClock::now() + 400ms;
    while (when == 1 && SteadyClock::now() < latest &&
           !watched_.read([&] { return arrivals_.contains(last); }))
      std::this_thread::sleep_for(100us);
    if (when > 0) std::this_thread::sleep_for(delay);
    if (one_in(3)) {
      process_->signal(SIGTERM);
      std::this_thread::sleep_for(random_up_to(600ms));
    }
    stop(SIGKILL);
    ++counts_.kills;
    if (partial_request.joinable()) partial_request.join();
    // Messages that the journal records as certainly not run must not have run.
    found_ = view_journal(folder_ / "state").messages;
    for (const StoredMessage& m : found_) {
      const bool may_have_run = std::ranges::any_of(m.attempts, &StoredAttempt::may_have_run);
      const bool ran = watched_.read([&] { return std::ranges::any_of(arrivals_[m.id], &Arrival::ran); });
      EXPECT_TRUE(may_have_run || !ran) << m.id;
    }
  }

  bool delivered(const std::string& id) { return std::ranges::any_of(arrivals_[id], &Arrival::delivered); }

  // Checks that the messages found at the last start are sent if the journal and the clock allow it.
  void check_found_messages() {
    const auto now = std::chrono::system_clock::now();
    for (const StoredMessage& m : found_) {
      const auto attempt = std::ranges::find_if(m.attempts, &StoredAttempt::may_have_run);
      if (attempt != m.attempts.end() && now > attempt->sent.wall + kWindow - kMinTimeLeft) {
        ++counts_.over;
        continue;
      }
      ++counts_.sendable;
      EXPECT_TRUE(watched_.wait([&] { return delivered(m.id) || notices_.contains(m.id); }));
      EXPECT_TRUE(watched_.read([&] { return delivered(m.id); })) << m.id << " was not tried";
    }
  }

  void check_arrivals() {
    counts_.messages = accepted_.size();
    for (const auto& [id, arrivals] : arrivals_) {
      counts_.arrivals += arrivals.size();
      const auto first = std::ranges::find_if(arrivals, &Arrival::ran);
      for (auto later = first; later != arrivals.end() && ++later != arrivals.end();) {
        ++counts_.repeats;
        EXPECT_LE(later->at - first->at, kWindow) << id << " could take effect twice";
      }
    }
  }

  unsigned seed_;
  std::mt19937 random_;
  FullBacklog unreachable_;
  bool calm_ = false;
  std::map<std::string, std::vector<Arrival>> arrivals_;
  std::vector<std::string> accepted_;
  std::vector<StoredMessage> found_;  // at the last kill
  Counts counts_;
};

TEST(Window, RestartsAtAnyMomentBringNoRepeatAfterItAndLeaveNoneOutInsideIt) {
  constexpr unsigned kPlays = 36, kAtOnce = 12;
  Counts all;
  for (unsigned first = 1; first <= kPlays; first += kAtOnce) {
    std::vector<std::unique_ptr<Play>> plays;
    for (unsigned seed = first; seed < first + kAtOnce; ++seed) plays.push_back(std::make_unique<Play>(seed));
    std::vector<std::thread> threads;
    for (const auto& play : plays) threads.emplace_back([&play] { play->run(); });
    for (std::thread& thread : threads) thread.join();
    for (const auto& play : plays) {
      const Counts& c = play->counts();
      all = {all.messages + c.messages, all.kills + c.kills,       all.arrivals + c.arrivals,
             all.repeats + c.repeats,   all.sendable + c.sendable, all.over + c.over};
    }
  }
  std::cout << kPlays << " plays, " << all.kills << " kills, " << all.messages << " messages accepted, "
            << all.arrivals << " arrivals, " << all.repeats << " repeats; the last starts found "
            << all.sendable << " to try and " << all.over << " whose window was over or nearly" << std::endl;
  EXPECT_GT(all.repeats, 30U);
  EXPECT_GT(all.sendable, 10U);
  EXPECT_GT(all.over, 10U);
}

// Bytes that an ended process had written, and no host has read, must not arrive later.
class Ended : public RelayTest, public testing::WithParamInterface<int> {};

TEST_P(Ended, TakesBackWhatIsOnItsWay) {
  boost::asio::io_context context;
  tcp::acceptor slow(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  slow.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  list_host("h", 2, "plain", "127.0.0.1:" + std::to_string(slow.local_endpoint().port()));
  json::object slow_config = config();  // its timeout is after the end of a planned restart
  slow_config.at("settings").at("classes").at(1).as_object()["aim"] = 10000.0;
  start(slow_config);
  ASSERT_EQ(submit("k1", "receipt", 2, std::string(60'000, 'x')), 202U);
  tcp::socket socket = slow.accept();
  std::string text(1, '\0');
  boost::system::error_code ended;
  boost::asio::read(socket, boost::asio::buffer(text), ended);
  ASSERT_FALSE(ended);
  stop(GetParam());
  EXPECT_LT(boost::asio::read(socket, boost::asio::dynamic_buffer(text), ended), 60'000U);
}

INSTANTIATE_TEST_SUITE_P(Process, Ended, testing::Values(SIGKILL, SIGTERM));

// The wall clock was set while no process ran, or is off after a restart of the machine.
TEST(Moments, CountByTheSteadyClockInOneRunOfTheMachine) {
  const Timestamp now{WallTime(100h), 7, vetchhinge::Time(50h)};
  const auto seen = [&](Timestamp at, vetchhinge::Duration set) {
    at.wall += set;
    return std::pair(sent_at(at, now) - now.steady, due_at(at, now) - now.steady);
  };
  using Pair = std::pair<vetchhinge::Duration, vetchhinge::Duration>;
  EXPECT_EQ(seen(now + -2s, 0s), Pair(-2s, -2s));
  EXPECT_EQ(seen(now + -2s, 10min), Pair(-2s, -2s)) << "set back since: the steady clock counts";
  EXPECT_EQ(seen(now + -2s, -10min), Pair(-2s, -2s)) << "set ahead: likewise";
  EXPECT_EQ(seen(now + 5s, 10min).second, 5s) << "its time is not extended";
  EXPECT_EQ(seen(now + 5s, -10min).second, 5s) << "its time is not shortened";
  const Timestamp without_boot{now.wall, 0, vetchhinge::Time(90h)};
  EXPECT_EQ(seen(without_boot, -2s), Pair(-2s, -2s)) << "only the wall clock is known";
  EXPECT_EQ(seen(without_boot, 5s).second, 5s);
  EXPECT_LT(seen(without_boot, 1us).first, -24h) << "a send time in the future is not trusted";
  const Timestamp other_boot{now.wall, 8, vetchhinge::Time(90h)};
  EXPECT_EQ(seen(other_boot, 5s).second, 5s);
  for (const vetchhinge::Duration set : {-2s, 0s, 2s}) {
    EXPECT_LT(seen(other_boot, set).first, -24h) << "the elapsed time is unknown";
  }
}

TEST_F(RelayTest, AClockThatWasSetBringsNoRepeatAfterTheWindow) {
  add_host("h", 2, "plain", kAccept);
  const Timestamp now = read_clocks();
  {
    Journal journal(folder_ / "state", 1'000'000);
    const auto found = [&](const std::string& id, Timestamp sent, vetchhinge::Duration set) {
      sent.wall += set;
      journal.accept({id, "receipt", 2, "key-of-" + id, "hello", now + 20s, {}});
      journal.record_attempt(id, 0, {"h", "a", sent});
    };
    found("open", now + -100ms, 0s);
    found("open-set-back", now + -100ms, 10min);
    found("open-earlier-program", {now.wall - 100ms}, 0s);
    found("over-set-back", now + -7s, 10min);
    found("over-anew", {now.wall - 7s, now.boot ^ 1, now.steady}, 0s);
    found("anew-set-back", {now.wall, now.boot ^ 1, now.steady}, 10min);
    found("open-set-ahead", now + -100ms, -10min);
    ASSERT_TRUE(journal.flush());
  }
  start();
  for (const char* id : {"open", "open-set-back", "open-set-ahead", "open-earlier-program"}) {
    EXPECT_TRUE(wait_delivered(id)) << id;
  }
  for (const char* id : {"over-set-back", "over-anew", "anew-set-back"}) {
    EXPECT_TRUE(wait_notice(id, "given_up")) << id;
    EXPECT_EQ(count_deliveries(id), 0U) << id;
  }
}

}  // namespace
}  // namespace myrtlegrade::test
