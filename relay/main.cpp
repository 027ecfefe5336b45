// One real relay: configuration, signals, wiring.
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/thread_pool.hpp>
#include <csignal>
#include <exception>
#include <functional>
#include <iostream>

#include "commands.h"
#include "config.h"
#include "succession.h"

namespace {

// A file that can't be used must not cost a relay that works: it goes on with what it has, and says so. Nor
// may it stand still for as long as a long file takes to read.
void reload(boost::asio::thread_pool& reading, boost::asio::io_context& context,
            myrtlegrade::Succession& succession) {
  boost::asio::post(reading, [&context, &succession] {
    try {
      const myrtlegrade::Config config =
          myrtlegrade::load_config(myrtlegrade::ConfigReader::KnownHosts::skip);
      boost::asio::post(context, [&succession, config] {
        succession.reload(config);
        std::cerr << "myrtlegrade: configuration read again, discovery at " << config.discovery << std::endl;
      });
    } catch (const std::exception& e) {
      std::cerr << "myrtlegrade: configuration kept: " << e.what() << std::endl;
    }
  });
}

// Its configuration and folder are named by the environment.
int serve() {
  try {
    boost::asio::io_context context(1);
    // Before all that takes time: until it is handled, each of these signals ends the process.
    boost::asio::signal_set endings(context, SIGTERM, SIGINT);
    boost::asio::signal_set reloads(context, SIGHUP);
    boost::asio::thread_pool reading(1);
    myrtlegrade::Succession succession(
        context.get_executor(), myrtlegrade::load_config(), [&] { context.stop(); },
        [&] { reload(reading, context, succession); });
    endings.async_wait([&](boost::system::error_code error, int) {
      if (!error) succession.end();
    });
    std::function<void()> await_reload = [&] {
      reloads.async_wait([&](boost::system::error_code error, int) {
        if (error) return;
        reload(reading, context, succession);
        await_reload();
      });
    };
    await_reload();
    succession.start();
    context.run();
  } catch (const std::exception& e) {
    std::cerr << "myrtlegrade: " << e.what() << '\n';
    return 1;
  }
  return 0;
}

}  // namespace

// Without arguments it is a relay, as the platform starts it.
int main(int argc, char** argv) { return argc == 1 ? serve() : myrtlegrade::run_commands(argc, argv, serve); }
