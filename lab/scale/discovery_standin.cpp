#include "discovery_standin.h"

#include <unistd.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <sstream>

#include "processes.h"
#include "relay/coroutine.h"

namespace valedrum::lab::scale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using myrtlegrade::spawn;
using namespace std::chrono_literals;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kEmptyLine = 2s;  // after which a watch that has nothing to say says so
constexpr auto kConnectWithin = 4s;
constexpr auto kSilentFor = 5s;  // as the relay has it
constexpr auto kAgain = 200ms;

json::object entry(std::uint32_t number, std::uint32_t weight) {
  return {{"id", numbered('e', number)},
          {"addr", to_text(membership::Address{(10U << 24) + number, 8080})},
          {"zone", numbered('z', number % 6)},
          {"kind", "bank"},
          {"cell", number},
          {"state", "running"},
          {"weight", weight},
          {"started_ms", 0}};
}

std::string chunk(const std::string& lines) {
  std::ostringstream text;
  text << std::hex << lines.size() << "\r\n" << lines << "\r\n";
  return text.str();
}

}  // namespace

std::uint32_t standins(const Plan& plan) {
  if (plan.changes.empty() && plan.spec.list.entries == 0) return 0;
  return std::min<std::uint32_t>(kMostStandins, static_cast<std::uint32_t>(plan.members.size()));
}

DiscoveryStandin::DiscoveryStandin(const Plan& plan, tcp::endpoint at)
    : plan_(plan), acceptor_(context_, at) {
  json::array servers;
  for (std::uint32_t e = 0; e < plan.spec.list.entries; ++e) servers.push_back(entry(e, 1));
  whole_ =
      json::serialize(json::object{{"version", 1}, {"full", true}, {"servers", std::move(servers)}}) + "\n";
}

void DiscoveryStandin::run(int in, int out) {
  write_all(out, "ready\n");
  begun_ = std::chrono::steady_clock::time_point(std::chrono::nanoseconds(std::stoll(read_line(in))));
  spawn(context_.get_executor(), accept());
  std::vector<std::unique_ptr<asio::steady_timer>> timers;
  std::int64_t cpu = process_cpu_ns();
  for (const Phase& p : plan_.phases) {
    timers.push_back(std::make_unique<asio::steady_timer>(context_, begun_ + p.to));
    timers.back()->async_wait([this, &p, &cpu, out](boost::system::error_code error) {
      if (error) return;
      const std::int64_t now = process_cpu_ns();
      write_all(out, json::serialize(json::object{{"phase", p.name},
                                                  {"cpu_ns", now - std::exchange(cpu, now)},
                                                  {"resident", resident_bytes(::getpid())},
                                                  {"watches", watches_},
                                                  {"sent_bytes", std::exchange(sent_bytes_, 0)}}) +
                         "\n");
      if (&p == &plan_.phases.back()) context_.stop();
    });
  }
  context_.run();
}

asio::awaitable<void> DiscoveryStandin::accept() {
  while (true) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwait);
    if (!error) spawn(context_.get_executor(), serve(std::make_shared<tcp::socket>(std::move(socket))));
  }
}

asio::awaitable<void> DiscoveryStandin::serve(Socket socket) {
  std::string asked;
  const auto [bad, size] =
      co_await asio::async_read_until(*socket, asio::dynamic_buffer(asked, 1 << 16), "\r\n\r\n", kAwait);
  if (bad) co_return;
  ++watches_;
  asio::steady_timer timer(context_);
  std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(whole_);
  auto next = plan_.changes.begin();
  while (true) {
    const auto [error, sent] = co_await asio::async_write(*socket, asio::buffer(bytes), kAwait);
    if (error) break;
    sent_bytes_ += bytes.size();
    const auto quiet = std::chrono::steady_clock::now() + kEmptyLine;
    timer.expires_at(next == plan_.changes.end() ? quiet : std::min(quiet, begun_ + *next));
    (void)co_await timer.async_wait(kAwait);
    std::string lines;
    for (; next != plan_.changes.end() && begun_ + *next <= std::chrono::steady_clock::now(); ++next) {
      const auto number = static_cast<std::uint32_t>(next - plan_.changes.begin());
      json::object change{{"version", number + 2},
                          {"full", false},
                          {"servers", json::array{entry(number % std::max(1U, plan_.spec.list.entries), 2)}}};
      const std::size_t now = json::serialize(change).size() + 10;
      if (now < plan_.spec.changes.bytes)
        change["padding"] = std::string(plan_.spec.changes.bytes - now, 'x');
      lines += json::serialize(change) + "\n";
    }
    bytes = chunk(lines.empty() ? "\n" : lines);
  }
  --watches_;
}

asio::awaitable<void> watch_list(tcp::endpoint own, tcp::endpoint at, std::function<bool()> runs,
                                 std::function<void(std::int64_t, std::size_t)> on_version) {
  const auto executor = co_await asio::this_coro::executor;
  while (runs()) {
    beast::tcp_stream stream(executor);
    stream.expires_after(kConnectWithin);
    boost::system::error_code error;
    stream.socket().open(tcp::v4(), error);
    if (!error) stream.socket().bind({own.address(), 0}, error);
    if (!error) {
      const auto [refused] = co_await stream.async_connect(at, kAwait);
      error = refused;
    }
    http::request<http::empty_body> request{http::verb::get, "/catalog/members?watch=1&from=0", 11};
    request.set(http::field::host, "discovery");
    if (!error) {
      const auto [cut, sent] = co_await http::async_write(stream, request, kAwait);
      error = cut;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    if (!error) {
      const auto [cut, got] = co_await http::async_read_header(stream, buffer, parser, kAwait);
      error = cut;
    }
    std::string text;
    std::size_t searched = 0;
    while (!error && !parser.is_done() && runs()) {
      stream.expires_after(kSilentFor);
      const auto [cut, got] = co_await http::async_read_some(stream, buffer, parser, kAwait);
      text += std::exchange(parser.get().body(), {});
      for (std::size_t end; (end = text.find('\n', searched)) != std::string::npos; searched = 0) {
        const std::string line = text.substr(0, end);
        text.erase(0, end + 1);
        if (line.empty() || !runs()) continue;
        on_version(json::parse(line).at("version").to_number<std::int64_t>(), line.size());
      }
      searched = text.size();
      error = cut;
    }
    asio::steady_timer pause(executor, kAgain);
    (void)co_await pause.async_wait(kAwait);
  }
}

}  // namespace valedrum::lab::scale
