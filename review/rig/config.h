// The configuration of one relay, in the form of the deploy page, with settings like those of montevideo-main.
#pragma once

#include <random>

#include "rig.h"

namespace rig {

struct Settings {
  std::string name = "n0";
  int listen = 0, discovery = 0, admin = 0;
  double disk_mb = 3;
  int memory_mb = 192, sockets = 1024;
  int max_open = 320, workers = 16, max_attempts = 6, batch = 1, relays = 1;
  std::uint64_t seed = 0;  // new with each start
  double connect_timeout_ms = 1000, idle_ms = 5000;
  std::string update_effect = "idempotent", collection_effect = "at_most_once";
  double update_aim = 1500, update_deadline = 8000, collection_aim = 2000, collection_deadline = 16000, window = 5000;
  std::string known = "{\"version\":0,\"full\":true,\"servers\":[]}";
};

inline std::string json_of(const Settings& s) {
  const auto number = [](double v) {
    std::ostringstream text;
    text << v;
    return text.str();
  };
  const auto cls = [&](const char* name, double aim, double deadline, const std::string& effect, double late, int worth) {
    return std::string("{\"name\":\"") + name + "\",\"aim\":" + number(aim) + ",\"deadline\":" + number(deadline) +
           ",\"idempotency\":\"" + effect + "\",\"keyScope\":\"all\",\"lateWorth\":" + number(late) +
           ",\"streamed\":false,\"window\":" + number(s.window) + ",\"worth\":" + std::to_string(worth) + "}";
  };
  std::string text = "{\"name\":\"" + s.name + "\",\"listen\":\"127.0.0.1:" + std::to_string(s.listen) +
                     "\",\"discovery\":\"127.0.0.1:" + std::to_string(s.discovery) + "\",";
  if (s.admin > 0) text += "\"admin_addr\":\"127.0.0.1:" + std::to_string(s.admin) + "\",";
  char seed[32];
  std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(s.seed));
  text += "\"seed\":\"" + std::string(seed) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(s.memory_mb) +
          ",\"sockets\":" + std::to_string(s.sockets) + ",\"disk_mb\":" + number(s.disk_mb) + "},\"known\":" + s.known +
          ",\"settings\":{\"allowed\":{\"cancel\":true,\"connIdle\":" + number(s.idle_ms) +
          ",\"connectTimeout\":" + number(s.connect_timeout_ms) +
          ",\"cpuUsPerRequest\":0,\"cpuUsPerS\":50000,\"maxAttempts\":" + std::to_string(s.max_attempts) +
          ",\"maxOpen\":" + std::to_string(s.max_open) +
          ",\"maxRetryAfter\":3000,\"mayTell\":false,\"probing\":true,\"retryAfter\":true,\"secondCopies\":false,"
          "\"streamsPerConn\":8},\"areas\":[\"a\",\"b\"],\"balancers\":" +
          std::to_string(s.relays) + ",\"classes\":[" +
          cls("status-update", s.update_aim, s.update_deadline, s.update_effect, 0.1, 1) + "," +
          cls("collection", s.collection_aim, s.collection_deadline, s.collection_effect, 0.5, 3) +
          "],\"clients\":{\"marksRetry\":true},\"discovery\":\"automatic\",\"domainType\":\"deliver\","
          "\"familyInfo\":{\"feeByZone\":[0,0],\"kindApart\":[false,false,false],\"kindBatch\":[" +
          std::to_string(s.batch) +
          ",1,1],\"losesWorth\":\"linear\",\"turnedAwayPrice\":0.05,\"workers\":" + std::to_string(s.workers) +
          "},\"hostTypes\":[\"processor\",\"merchant\",\"bank\"],\"layer\":0,\"me\":0,\"orgs\":[],\"overShareWorth\":0.1,"
          "\"rules\":{\"askWithin\":10000,\"graceToAnswer\":20,\"overloadFactor\":2,\"overloadFor\":1500,"
          "\"startCapacity\":0.19,\"stopSendingWithin\":2000,\"warmAfter\":10000},\"stages\":[\"partners\"],"
          "\"stats\":{\"fields\":[\"x0\",\"x1\"],\"how\":\"inline\"},\"tick\":5,\"weights\":\"rough\","
          "\"worthBy\":\"request\",\"zone\":\"a\"}}";
  return text;
}

// A relay with its folder and configuration; started again, it has nothing else.
struct Relay {
  std::string root;  // of the repository
  fs::path folder;   // has state/, config.json and log
  Settings settings;
  pid_t pid = 0;

  fs::path state() const { return folder / "state"; }
  pid_t start(const std::string& config_name = "config.json") {
    fs::create_directories(state());
    std::random_device device;
    settings.seed = (std::uint64_t{device()} << 32) | device();
    write_file(folder / config_name, json_of(settings));
    std::map<std::string, std::string> environment{
        {"PROXY_NAME", settings.name},
        {"PROXY_LISTEN", "127.0.0.1:" + std::to_string(settings.listen)},
        {"PROXY_DISCOVERY", "127.0.0.1:" + std::to_string(settings.discovery)},
        {"PROXY_STATE", state().string()},
        {"PROXY_CONFIG", (folder / config_name).string()},
        {"TMPDIR", folder.string()}};
    if (settings.admin > 0) environment["PROXY_ADMIN_ADDR"] = "127.0.0.1:" + std::to_string(settings.admin);
    return pid = start_program(root, "exec build/myrtlegrade", environment, (folder / "log").string());
  }
  // What the folder holds, each file counted in whole 512 bytes.
  std::uint64_t disk_bytes() const {
    std::uint64_t all = 0;
    for (const auto& file : fs::directory_iterator(state())) {
      std::error_code error;
      const auto size = file.is_regular_file(error) ? file.file_size(error) : 0;
      if (!error) all += (size + 511) / 512 * 512;
    }
    return all;
  }
};

}  // namespace rig
