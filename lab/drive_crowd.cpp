// Clients of drive() that connect and say nothing, or stop half way and stay.
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "drive_parts.h"

namespace valedrum::lab {

using namespace std::chrono_literals;

namespace {

constexpr Duration kOwedWithin = 3s;  // an error or a close (TERMS)
constexpr Duration kSlack = 500ms;    // of this machine
constexpr Duration kComeAgainAfter = 200ms;
constexpr std::string_view kHalfARequest = "POST /free HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: 12";

}  // namespace

void Drive::crowd_around(std::uint32_t relay) {
  for (unsigned n = 0; n < options_.crowd->connections; ++n) go(loiter(relay, n % 2 == 0));
}

// Comes again for as long as the crowd lasts. Counted as overdue is only what one process that ran all the
// while has let wait.
asio::awaitable<void> Drive::loiter(std::uint32_t relay, bool half_way) {
  RelayProcess& r = relays_[relay];
  co_await sleep_until(Time(span(options_.crowd->from)));
  while (!over_ && now() < Time(span(options_.crowd->until))) {
    const unsigned start = r.start;
    const Time began = now();
    const auto socket = std::make_shared<tcp::socket>(context_);
    boost::system::error_code error;
    co_await socket->async_connect(r.address, asio::redirect_error(asio::use_awaitable, error));
    if (!error && half_way) {
      co_await asio::async_write(*socket, asio::buffer(kHalfARequest),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    asio::steady_timer limit(context_, kOwedWithin + kSlack);
    bool overdue = false;
    limit.async_wait([socket, &overdue](boost::system::error_code waited) {
      boost::system::error_code ignored;
      if (waited) return;
      overdue = true;
      socket->close(ignored);
    });
    char byte = 0;
    if (!error)
      co_await socket->async_read_some(asio::buffer(&byte, 1),
                                       asio::redirect_error(asio::use_awaitable, error));
    limit.cancel();
    const bool ran = r.start == start && r.up && !r.stalled && r.runs_from <= began && r.earlier.empty();
    if (overdue && ran) result_.overdue_peers.push_back({relay, seconds(began), half_way});
    co_await sleep(kComeAgainAfter);
  }
}

}  // namespace valedrum::lab
