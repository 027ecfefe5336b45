// Entry point of the relay: configuration, signals and wiring.
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
#include "handover.h"

namespace {

// Reloads the configuration. A running relay must survive an unusable file: it keeps its configuration and
// logs the error. The file is read on another thread, because reading a long one would block the event loop.
void reload(boost::asio::thread_pool& reader_thread, boost::asio::io_context& context,
            myrtlegrade::Handover& handover) {
  boost::asio::post(reader_thread, [&context, &handover] {
    try {
      const myrtlegrade::Config config =
          myrtlegrade::load_config(myrtlegrade::ConfigReader::KnownHosts::skip);
      boost::asio::post(context, [&handover, config] {
        handover.reload(config);
        std::cerr << "myrtlegrade: configuration reloaded, discovery at " << config.discovery << std::endl;
      });
    } catch (const std::exception& e) {
      std::cerr << "myrtlegrade: configuration not reloaded: " << e.what() << std::endl;
    }
  });
}

// Runs the relay. The environment names its configuration and state folder.
int serve() {
  try {
    boost::asio::io_context context(1);
    // Registered before any slow step: an unhandled one of these signals ends the process.
    boost::asio::signal_set stop_signals(context, SIGTERM, SIGINT);
    boost::asio::signal_set reload_signals(context, SIGHUP);
    boost::asio::thread_pool reader_thread(1);
    myrtlegrade::Handover handover(
        context.get_executor(), myrtlegrade::load_config(), [&] { context.stop(); },
        [&] { reload(reader_thread, context, handover); });
    stop_signals.async_wait([&](boost::system::error_code error, int) {
      if (!error) handover.end();
    });
    std::function<void()> await_reload_signal = [&] {
      reload_signals.async_wait([&](boost::system::error_code error, int) {
        if (error) return;
        reload(reader_thread, context, handover);
        await_reload_signal();
      });
    };
    await_reload_signal();
    handover.start();
    context.run();
  } catch (const std::exception& e) {
    std::cerr << "myrtlegrade: " << e.what() << '\n';
    return 1;
  }
  return 0;
}

}  // namespace

// Without arguments the program runs the relay; the platform starts it so.
int main(int argc, char** argv) { return argc == 1 ? serve() : myrtlegrade::run_commands(argc, argv, serve); }
