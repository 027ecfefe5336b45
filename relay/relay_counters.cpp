// The relay's periodic log line: its counters, and what it holds of its limits.
#include <iostream>

#include "relay.h"
#include "stream_io.h"

namespace myrtlegrade {

using namespace std::chrono_literals;

namespace {

constexpr auto kCounterLogInterval = 5s;

}  // namespace

// Logs the counters if they have changed, so that an idle relay writes nothing.
void Relay::log_counters() {
  if (counters_ == logged_counters_) return;
  logged_counters_ = counters_;
  const JournalUsage journal = journal_.usage();
  std::cerr << "myrtlegrade: " << counters_ << " held=" << open_count_
            << " calls_out=" << host_client_.calls_in_flight()
            << " connections=" << host_client_.connection_count()
            << " opened=" << host_client_.connections_opened() << " clients=" << server_.connections()
            << " request_bytes=" << server_.request_memory().used() << '/' << server_.request_memory().limit()
            << " answer_bytes=" << host_client_.answer_memory().used() << '/'
            << host_client_.answer_memory().limit() << " shed_for_memory=" << server_.shed_for_memory()
            << " journal=" << journal.file_bytes << " journal_live=" << journal.live_bytes
            << " journal_reserved=" << journal.reserved_bytes << " compactions=" << journal.compactions
            << " compactions_without_room=" << journal.compactions_without_room << std::endl;
  const std::string absorbed = to_text(absorbed_failures());
  if (!absorbed.empty()) std::cerr << "myrtlegrade: absorbed: " << absorbed << std::endl;
}

void Relay::schedule_counter_log() {
  log_timer_.expires_after(kCounterLogInterval);
  log_timer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    log_counters();
    schedule_counter_log();
  });
}

}  // namespace myrtlegrade
