#include "capacity/backlog.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <thread>

#include "child.h"

namespace valedrum::lab {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
namespace fs = std::filesystem;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto kReadyWithin = 10s;
constexpr std::size_t kClients = 64;  // that hand in at once

std::string text(const tcp::endpoint& e) { return e.address().to_string() + ":" + std::to_string(e.port()); }

// Of one process, in bytes.
std::size_t resident(pid_t pid) {
  std::ifstream status("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) return std::stoull(line.substr(6)) * 1024;
  }
  throw std::runtime_error("the relay has ended");
}

std::size_t stored(const fs::path& folder) {
  std::size_t bytes = 0;
  for (const auto& entry : fs::recursive_directory_iterator(folder)) {
    if (entry.is_regular_file()) bytes += entry.file_size();
  }
  return bytes;
}

class Folder {
 public:
  Folder() {
    std::string name = (fs::temp_directory_path() / "valedrum-backlog-XXXXXX").string();
    if (!mkdtemp(name.data())) throw std::runtime_error("no folder can be made");
    path_ = name;
  }
  ~Folder() {
    std::error_code ignored;
    fs::remove_all(path_, ignored);
  }
  const fs::path& path() const { return path_; }

 private:
  fs::path path_;
};

// Partners whose connections come up and stay silent: what is sent is held, and nothing ever ends. Deadlines
// are so far that nothing expires while it is counted.
json::object configuration(const BacklogOptions& options, std::size_t most, const tcp::endpoint& listen,
                           const std::vector<std::unique_ptr<tcp::acceptor>>& partners) {
  json::array servers;
  for (std::size_t cell = 0; cell < partners.size(); ++cell) {
    servers.push_back({{"id", "s-" + std::to_string(cell)},
                       {"addr", text(partners[cell]->local_endpoint())},
                       {"zone", "a"},
                       {"kind", "m"},
                       {"cell", cell},
                       {"state", "SERVING"},
                       {"weight", 1.0},
                       {"started_ms", 0}});
  }
  const json::object held{{"name", "held"},   {"aim", 1000},      {"deadline", 3600000},
                          {"worth", 1},       {"window", 0},      {"idempotency", "idempotent"},
                          {"lateWorth", 0.5}, {"keyScope", "all"}};
  const json::object settings{
      {"allowed",
       {{"maxOpen", 4 * most},  // so that the hold of one partner is not full
        {"maxAttempts", 4},
        {"retryAfter", true},
        {"maxRetryAfter", 3000},
        {"connIdle", 5000},
        {"connectTimeout", 1000}}},
      {"familyInfo", {{"workers", 8}, {"losesWorth", "linear"}, {"kindApart", {false}}, {"kindBatch", {1}}}},
      {"rules", {{"startCapacity", 0.2}, {"overloadFactor", 2}, {"overloadFor", 1500}, {"warmAfter", 10000}}},
      {"balancers", 1},
      {"classes", {held}},
      {"hostTypes", {"m"}},
      {"discovery", "automatic"},
      {"overShareWorth", 0.1},
      {"stats", {{"fields", {"x0", "x1"}}}},
      {"tick", 5},
      {"weights", "rough"},
      {"zone", "a"}};
  return {{"name", "n0"},
          {"listen", text(listen)},
          {"discovery", text(partners.front()->local_endpoint())},
          {"seed", "1"},
          {"limits",
           {{"cores", 1.0},
            {"memory_mb", 192},
            {"sockets", 1024},
            {"disk_mb", 64 + static_cast<double>(most * (options.body + 3000)) / 1e6}}},
          {"known", {{"version", 1}, {"full", true}, {"servers", servers}}},
          {"settings", settings}};
}

void ask(tcp::socket& socket, const http::request<http::string_body>& request) {
  http::write(socket, request);
}

unsigned answered(tcp::socket& socket) {
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> answer;
  http::read(socket, buffer, answer);
  return answer.result_int();
}

tcp::socket connected(asio::io_context& context, const tcp::endpoint& to, const Child& relay) {
  const auto until = std::chrono::steady_clock::now() + kReadyWithin;
  while (true) {
    tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect(to, error);
    if (!error) {
      const http::request<http::string_body> health{http::verb::get, "/_health", 11};
      ask(socket, health);
      if (answered(socket) == 200) return socket;
    }
    (void)resident(relay.pid());
    if (std::chrono::steady_clock::now() > until) throw std::runtime_error("the relay is not ready");
    std::this_thread::sleep_for(20ms);
  }
}

http::request<http::string_body> message(std::size_t number, const BacklogOptions& options) {
  http::request<http::string_body> request{http::verb::post, "/held", 11};
  char id[24];
  std::snprintf(id, sizeof id, "%016zx", number);
  request.set(http::field::host, "app.svc");
  request.set("X-Request-ID", id);
  request.set("X-Timeout-Ms", "3600000");
  request.set("X-Addressing", "dest=" + std::to_string(number % options.partners));
  request.body().assign(options.body, 'b');
  request.prepare_payload();
  return request;
}

json::object measure(const BacklogOptions& options, std::size_t most) {
  asio::io_context context;
  const auto loopback = [&] {
    return std::make_unique<tcp::acceptor>(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  };
  std::vector<std::unique_ptr<tcp::acceptor>> partners;
  for (std::size_t i = 0; i < options.partners; ++i) partners.push_back(loopback());
  const tcp::endpoint listen = loopback()->local_endpoint();
  const Folder folder;
  const fs::path state = folder.path() / "state", config = folder.path() / "config.json";
  fs::create_directory(state);
  std::ofstream(config) << json::serialize(configuration(options, most, listen, partners));
  Child relay(options.program, {{"PROXY_CONFIG", config.string()}, {"PROXY_STATE", state.string()}},
              (folder.path() / "log").string());
  std::vector<tcp::socket> clients;
  while (clients.size() < kClients) clients.push_back(connected(context, listen, relay));

  const std::size_t memory = resident(relay.pid()), disk = stored(state);
  const auto begun = std::chrono::steady_clock::now();
  for (std::size_t first = 0; first < most; first += clients.size()) {
    if (options.stop && *options.stop) throw std::runtime_error("interrupted");
    const std::size_t count = std::min(clients.size(), most - first);
    for (std::size_t i = 0; i < count; ++i) ask(clients[i], message(first + i, options));
    for (std::size_t i = 0; i < count; ++i) {
      const unsigned status = answered(clients[i]);
      if (status != 202 && status != 200)
        throw std::runtime_error("a message was answered " + std::to_string(status));
    }
  }
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
  const std::size_t held_memory = resident(relay.pid()), held_disk = stored(state);
  const auto each = [&](std::size_t before, std::size_t after) {
    return (static_cast<double>(after) - static_cast<double>(before)) / static_cast<double>(most);
  };
  return {{"messages", most},
          {"body_bytes", options.body},
          {"memory_before", memory},
          {"memory_held", held_memory},
          {"memory_bytes_a_message", each(memory, held_memory)},
          {"disk_before", disk},
          {"disk_held", held_disk},
          {"disk_bytes_a_message", each(disk, held_disk)},
          {"seconds_to_take_on", took.count()}};
}

}  // namespace

json::object measure_backlog(const BacklogOptions& options) {
  json::array sizes;
  for (const std::size_t most : options.messages) sizes.push_back(measure(options, most));
  return {{"kind", "backlog"}, {"partners", options.partners}, {"sizes", sizes}};
}

}  // namespace valedrum::lab
