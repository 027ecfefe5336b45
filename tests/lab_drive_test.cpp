// What the lab's drive() takes its relays for, on stand-ins that answer when the test says so.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <list>
#include <set>
#include <thread>

#include "drive.h"
#include "drive_parts.h"

namespace valedrum::lab {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kRelays = 2;

// Says that it is ready wherever the lab asks, for a program that does nothing; not while it is held back.
class Health {
 public:
  Health() {
    for (std::uint32_t relay = 0; relay < kRelays; ++relay) {
      tcp::acceptor& acceptor = acceptors_.emplace_back(context_, tcp::endpoint(address(relay), 7070));
      threads_.emplace_back([this, &acceptor] { serve(acceptor); });
    }
  }
  ~Health() {
    over_ = true;
    held_back = false;
    for (std::uint32_t relay = 0; relay < kRelays; ++relay) {
      tcp::socket wakes(context_);
      boost::system::error_code ignored;
      wakes.connect({address(relay), 7070}, ignored);
    }
    for (std::thread& thread : threads_) thread.join();
  }

  std::atomic<bool> held_back = false;

 private:
  void serve(tcp::acceptor& acceptor) {
    while (!over_) {
      boost::system::error_code error;
      tcp::socket socket = acceptor.accept(error);
      while (held_back) std::this_thread::sleep_for(1ms);
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
      if (!error) asio::write(socket, asio::buffer(answer), error);
      std::array<char, 1024> request;
      while (!error) socket.read_some(asio::buffer(request), error);
    }
  }

  asio::io_context context_;
  std::list<tcp::acceptor> acceptors_;
  std::list<std::thread> threads_;
  std::atomic<bool> over_ = false;
};

// On soak seed 2038 a relay was told to end while it started, the answer to an earlier question came then,
// and what no relay owes after its SIGTERM was judged as lost.
TEST(LabDrive, ARelayThatWasToldToEndIsNotReadyByAnAnswerThatComesLater) {
  std::string folder = (std::filesystem::temp_directory_path() / "lab-drive-XXXXXX").string();
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  const std::string program = folder + "/stays";
  std::ofstream(program) << "#!/bin/sh\ntrap '' TERM\nwhile :; do /bin/sleep 0.1; done\n";
  ::chmod(program.c_str(), 0700);
  const Day day =
      draw(parse_scenario("version = 1\nname = 'told'\nseconds = 2\n"
                          "[fleet]\nrelays = 2\nmessages_per_relay = 0.01\n"
                          "[[fault]]\nkind = 'kill'\nat = 0.3\nlasts = 0.1\npart = 1\nkept = true\n"
                          "[[fault]]\nkind = 'restart'\nat = 0.8\nlasts = 0.1\npart = 1\n",
                          "told"),
           1);
  Health health;
  std::set<std::uint32_t> leaving;
  int told = 0, ready_then = 0;
  DriveOptions options;
  options.program = program;
  options.folder = folder + "/day";
  options.watch = [&](const Observation& o) {
    if (o.what == What::died) health.held_back = leaving.empty();
    if (o.what == What::died) leaving.erase(o.relay);
    if (o.what == What::leaving) told += leaving.insert(o.relay).second;
    if (told == kRelays) health.held_back = false;
    if (o.what == What::ready) ready_then += leaving.contains(o.relay);
  };
  drive(day, options);
  EXPECT_EQ(told, kRelays);
  EXPECT_EQ(ready_then, 0);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace valedrum::lab
