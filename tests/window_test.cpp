// Keyed work whose key is remembered for one second, over restarts: no repeat may come to a host after that
// second, and what may still be tried is tried.
#include <netinet/tcp.h>

#include <iostream>
#include <random>

#include "journal_view.h"
#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

constexpr auto kWindow = 1000ms;
constexpr auto kAtLeast =
    300ms;  // of it left, work found at a start must be tried: the relay's margin, a load

// When the last byte that was read came in, by the kernel: a host's thread may run late.
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
  std::size_t messages = 0, kills = 0, arrivals = 0, repeats = 0, must = 0, over = 0;
};

// One relay and its hosts, killed and started again at moments that follow from the seed.
class Play : public RelayTest {
 public:
  explicit Play(unsigned seed) : seed_(seed), random_(seed) {
    for (const char* host : {"h1", "h2"}) add_host(host, 2, "plain", host_behaviour());
    add_host("b", 3, "bulk", host_behaviour());
    list_host("hole", 2, "plain", hole_.address());
  }

  void run() {
    SCOPED_TRACE("seed " + std::to_string(seed_));
    for (int life = 0; life < 3; ++life) {
      start(brief());
      const std::string last = hand_in_some(life);
      end(last);
      std::this_thread::sleep_for(upto(500ms));
    }
    watched_.change([this] { calm_ = true; });
    entries_.erase("hole");
    start(brief());
    judge_found();
    const auto over = [this](const std::string& id) { return delivered(id) || notices_.contains(id); };
    EXPECT_TRUE(watched_.wait([&] { return std::ranges::all_of(taken_, over); })) << "no final answer";
    stop(SIGKILL);
    judge_arrivals();
  }
  const Counts& counts() const { return counts_; }

 private:
  void TestBody() override {}

  template <typename Span>
  std::chrono::microseconds upto(Span most) {
    return std::chrono::microseconds(random_() % std::chrono::microseconds(most).count());
  }
  bool one_in(unsigned n) { return random_() % n == 0; }

  json::object brief() const {
    json::object changed = config();
    json::object& settings = changed.at("settings").as_object();
    settings.at("allowed").as_object()["maxAttempts"] = 12;
    json::object& keyed = settings.at("classes").at(1).as_object();
    keyed["window"] = static_cast<double>(kWindow.count());
    keyed["aim"] = 400.0;
    return changed;
  }

  // A host's deed follows from the message and how often it has come.
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
      unsigned deed = 0;
      std::chrono::milliseconds hold{};
      watched_.change([&] {
        std::mt19937 draw(seed_ * 7919 + static_cast<unsigned>(std::hash<std::string>()(ids.front())) +
                          static_cast<unsigned>(arrivals_[ids.front()].size()));
        deed = calm_ ? 0 : draw() % 7;
        hold = std::chrono::milliseconds(draw() % 900);
        for (const std::string& id : ids) arrivals_[id].push_back({at, deed != 1, deed == 0});
      });
      if (deed == 0) return kAccept(socket, request);
      if (deed == 1) return answer(socket, 503);
      if (deed == 2) return answer(socket, 500);
      if (deed > 3) std::this_thread::sleep_for(hold);  // then the answer is lost
      boost::system::error_code ignored;
      if (deed < 6) socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      return false;
    };
  }

  // Returns the id of the last one.
  std::string hand_in_some(int life) {
    std::string id;
    for (unsigned i = 0; i < 3 + random_() % 2; ++i) {
      id = "w" + std::to_string(seed_) + "-" + std::to_string(life) + "-" + std::to_string(i);
      if (submit(id, "receipt", one_in(3) ? 3 : 2) == 202) taken_.push_back(id);
      if (one_in(2)) std::this_thread::sleep_for(upto(200ms));
    }
    return id;
  }

  // Right behind the 202, as a host has its call, or at any moment; half the time with a request half done.
  void end(const std::string& last) {
    std::thread half;
    if (one_in(2)) {
      half = std::thread([this, id = last + "-half"] {
        try {
          submit(id, "receipt", 2);
        } catch (const boost::system::system_error&) {
        }
      });
    }
    const unsigned when = random_() % 3;
    const auto moment = upto(when == 1 ? 4ms : 900ms);
    const auto latest = SteadyClock::now() + 400ms;
    while (when == 1 && SteadyClock::now() < latest &&
           !watched_.read([&] { return arrivals_.contains(last); }))
      std::this_thread::sleep_for(100us);
    if (when > 0) std::this_thread::sleep_for(moment);
    if (one_in(3)) {
      process_->signal(SIGTERM);
      std::this_thread::sleep_for(upto(600ms));
    }
    stop(SIGKILL);
    ++counts_.kills;
    if (half.joinable()) half.join();
    // What the journal holds to have surely not run has not run.
    found_ = view_journal(folder_ / "state").messages;
    for (const StoredMessage& m : found_) {
      const bool risky = std::ranges::any_of(m.attempts, &StoredAttempt::may_have_run);
      const bool ran = watched_.read([&] { return std::ranges::any_of(arrivals_[m.id], &Arrival::ran); });
      EXPECT_TRUE(risky || !ran) << m.id;
    }
  }

  bool delivered(const std::string& id) { return std::ranges::any_of(arrivals_[id], &Arrival::delivered); }

  // What the last start found, and may be tried by the journal and the clock, is.
  void judge_found() {
    const auto now = std::chrono::system_clock::now();
    for (const StoredMessage& m : found_) {
      const auto risky = std::ranges::find_if(m.attempts, &StoredAttempt::may_have_run);
      if (risky != m.attempts.end() && now > risky->sent.wall + kWindow - kAtLeast) {
        ++counts_.over;
        continue;
      }
      ++counts_.must;
      EXPECT_TRUE(watched_.wait([&] { return delivered(m.id) || notices_.contains(m.id); }));
      EXPECT_TRUE(watched_.read([&] { return delivered(m.id); })) << m.id << " was not tried";
    }
  }

  void judge_arrivals() {
    counts_.messages = taken_.size();
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
  FullBacklog hole_;
  bool calm_ = false;
  std::map<std::string, std::vector<Arrival>> arrivals_;
  std::vector<std::string> taken_;
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
      all = {all.messages + c.messages, all.kills + c.kills, all.arrivals + c.arrivals,
             all.repeats + c.repeats,   all.must + c.must,   all.over + c.over};
    }
  }
  std::cout << kPlays << " plays, " << all.kills << " kills, " << all.messages << " messages taken on, "
            << all.arrivals << " calls came, " << all.repeats << " repeats; the last starts found "
            << all.must << " to try and " << all.over << " whose window was over or nearly" << std::endl;
  EXPECT_GT(all.repeats, 30U);
  EXPECT_GT(all.must, 10U);
  EXPECT_GT(all.over, 10U);
}

// What an ended process had written, and no host has read, must not come later.
class Ended : public RelayTest, public testing::WithParamInterface<int> {};

TEST_P(Ended, TakesBackWhatIsOnItsWay) {
  boost::asio::io_context context;
  tcp::acceptor slow(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  slow.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  list_host("h", 2, "plain", "127.0.0.1:" + std::to_string(slow.local_endpoint().port()));
  json::object patient = config();  // its time-out comes after the end of a planned restart
  patient.at("settings").at("classes").at(1).as_object()["aim"] = 10000.0;
  start(patient);
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

// The time of day was set while no process ran, or the machine started anew, and its clock is off.
TEST(Moments, CountByTheSteadyClockInOneRunOfTheMachine) {
  const Timestamp now{WallTime(100h), 7, vetchhinge::Time(50h)};
  const auto seen = [&](Timestamp at, vetchhinge::Duration set) {
    at.wall += set;
    return std::pair(sent_at(at, now) - now.steady, due_at(at, now) - now.steady);
  };
  using Pair = std::pair<vetchhinge::Duration, vetchhinge::Duration>;
  EXPECT_EQ(seen(now + -2s, 0s), Pair(-2s, -2s));
  EXPECT_EQ(seen(now + -2s, 10min), Pair(-2s, -2s)) << "set back since: steady";
  EXPECT_EQ(seen(now + -2s, -10min), Pair(-2s, -2s)) << "set ahead: likewise";
  EXPECT_EQ(seen(now + 5s, 10min).second, 5s) << "its time is not longer for that";
  EXPECT_EQ(seen(now + 5s, -10min).second, 5s) << "nor shorter";
  const Timestamp earlier_program{now.wall, 0, vetchhinge::Time(90h)};
  EXPECT_EQ(seen(earlier_program, -2s), Pair(-2s, -2s)) << "the time of day is all there is";
  EXPECT_EQ(seen(earlier_program, 5s).second, 5s);
  EXPECT_LT(seen(earlier_program, 1us).first, -24h) << "nothing was sent in times to come";
  const Timestamp earlier_run{now.wall, 8, vetchhinge::Time(90h)};
  EXPECT_EQ(seen(earlier_run, 5s).second, 5s);
  for (const vetchhinge::Duration set : {-2s, 0s, 2s}) {
    EXPECT_LT(seen(earlier_run, set).first, -24h) << "nothing tells how long ago";
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
