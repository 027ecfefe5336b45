// Tests that the relay stays under `limits.memory_mb` whatever its peers leave unfinished, and that both
// processes of an upgrade do so together, with their files.
#include <atomic>
#include <thread>

#include "upgrade_fixture.h"

namespace myrtlegrade::test {
namespace {

constexpr std::size_t kMaxBodyBytes = 64 << 10;
constexpr int kPeers = 500;  // as many as the descriptors let in

class MemoryTest : public UpgradeTest {
 protected:
  MemoryTest() {
    memory_mb_ = 32;  // the ends of both ranges of the terms
    sockets_ = 1024;
  }
  ~MemoryTest() override {
    stop_sampling_ = true;
    if (sampler_.joinable()) sampler_.join();
  }

  static double anonymous_mb(int pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with("RssAnon:")) return std::stod(line.substr(8)) * 1024 / 1e6;
    }
    return 0;
  }
  double folder_mb() const {
    double sum = 0;
    for (const auto& file : fs::directory_iterator(folder_ / "state")) {
      std::error_code ignored;
      const auto size = file.is_regular_file(ignored) ? file.file_size(ignored) : 0;
      if (!ignored) sum += static_cast<double>(size) / 1e6;
    }
    return sum;
  }
  void sample(std::vector<int> pids) {
    watched_.change([&] { pids_ = std::move(pids); });
    if (sampler_.joinable()) return;
    sampler_ = std::thread([this] {
      while (!stop_sampling_) {
        double sum = folder_mb();
        for (const int pid : watched_.read([this] { return pids_; })) sum += anonymous_mb(pid);
        most_mb_ = std::max(most_mb_.load(), sum);
        std::this_thread::sleep_for(5ms);
      }
    });
  }

  // Peers that send a part of a request, and stay. Every second one stops within its header.
  std::vector<tcp::socket> unfinished_requests(boost::asio::io_context& context) {
    std::string header = "POST /note HTTP/1.1\r\n";
    for (int i = 0; header.size() < 15'800; ++i)
      header.append("f").append(std::to_string(i)).append(": 1\r\n");
    std::ostringstream whole;
    whole << message("unfinished", "note", 2, std::string(kMaxBodyBytes, 'z'));
    std::string body = std::move(whole).str();
    body.pop_back();
    std::vector<tcp::socket> peers;
    for (int i = 0; i < kPeers; ++i) {
      peers.push_back(connect(context, address_));
      peers.back().non_blocking(true);
      const std::string& text = i % 2 == 0 ? body : header;
      boost::system::error_code ignored;
      peers.back().write_some(boost::asio::buffer(text), ignored);
    }
    return peers;
  }
  // Peers that send a whole header of very many short fields, and stop within the body.
  std::vector<tcp::socket> headers_of_short_fields(boost::asio::io_context& context) {
    std::string text = "POST /note HTTP/1.1\r\nContent-Length: 9\r\n";
    while (text.size() < 15'800) text.append("f:\r\n");
    text.append("\r\n");
    std::vector<tcp::socket> peers;
    for (int i = 0; i < kPeers; ++i) {
      peers.push_back(connect(context, address_));
      peers.back().non_blocking(true);
      boost::system::error_code ignored;
      peers.back().write_some(boost::asio::buffer(text), ignored);
    }
    return peers;
  }
  // Submits messages for some time, and expects that all are accepted.
  void expect_served(const std::string& prefix, SteadyClock::duration duration) {
    const auto until = SteadyClock::now() + duration;
    for (int i = 0; SteadyClock::now() < until; ++i) {
      const std::size_t size = i % 4 == 0 ? kMaxBodyBytes : 200;
      ASSERT_EQ(submit(prefix + std::to_string(i), "note", 3, std::string(size, 'x')), 202U) << i;
      std::this_thread::sleep_for(10ms);
    }
  }

  std::vector<int> pids_;
  std::thread sampler_;
  std::atomic<bool> stop_sampling_{false};
  std::atomic<double> most_mb_{0};
};

// Review case 3: a crowd of half-sent requests took the relay over its limit. Sound clients are served beside
// it.
TEST_F(MemoryTest, UnfinishedRequestsStayWithinItAlsoOverAnUpgrade) {
  start_old();
  sample({process_->pid()});
  boost::asio::io_context context;
  std::vector<tcp::socket> peers = unfinished_requests(context);
  expect_served("a", 1s);
  start_standby(new_);
  ASSERT_TRUE(wait_healthy(new_));
  sample({process_->pid(), new_->pid()});
  std::vector<tcp::socket> more = unfinished_requests(context);
  process_->signal(SIGTERM);
  std::vector<tcp::socket> again = unfinished_requests(context);
  expect_served("b", 1s);
  EXPECT_EQ(process_->wait(), 0);
  expect_served("c", 500ms);
  EXPECT_LT(most_mb_, memory_mb_);
  std::printf("most memory: %.1f MB of %d\n", most_mb_.load(), memory_mb_);
}

// Guards against headers whose parsed fields take many times the memory of their text: a crowd of them took
// the relay over its limit, and both processes of an upgrade further over it.
TEST_F(MemoryTest, HeadersOfManyShortFieldsStayWithinItAlsoOverAnUpgrade) {
  start_old();
  sample({process_->pid()});
  boost::asio::io_context context;
  std::vector<tcp::socket> peers = headers_of_short_fields(context);
  expect_served("a", 1s);
  start_standby(new_);
  ASSERT_TRUE(wait_healthy(new_));
  sample({process_->pid(), new_->pid()});
  std::vector<tcp::socket> more = headers_of_short_fields(context);
  process_->signal(SIGTERM);
  std::vector<tcp::socket> again = headers_of_short_fields(context);
  expect_served("b", 1s);
  EXPECT_EQ(process_->wait(), 0);
  EXPECT_LT(most_mb_, memory_mb_);
}

}  // namespace
}  // namespace myrtlegrade::test
