// The one owner of what the relay knows of endpoints: discovery's list as it stands, the numbers by which the
// module knows them, and which calls go on to them. What the module is to be told of a change comes back as
// its event.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "codec.h"
#include "host_client.h"
#include "host_list.h"
#include "journal.h"
#include "vetchhinge/policy.h"

namespace myrtlegrade {

class Endpoints {
 public:
  using HostId = vetchhinge::HostId;

  struct Host {
    Endpoint address;
    std::uint64_t cell = 0;
    bool listed = false;
    bool running = false;
    std::string zone;
    std::uint32_t kind = 0;
    double weight = 1;
    std::size_t out = 0;         // attempts without an outcome
    std::uint64_t withheld = 0;  // so often was what is on its way to it called back
  };

  // All four outlive it. What an endpoint that drains or goes must not get any more is called back from
  // `client`; one that the journal says is out by hand keeps its number.
  Endpoints(vetchhinge::drill::Dialect& dialect, const vetchhinge::Settings& settings, const Journal& journal,
            HostClient& client);

  // ------------------------------------------------------------------------------------- the list
  vetchhinge::HostList take(const ListUpdate& update);
  ListUpdate list() const;  // as it stands, whole
  std::int64_t version() const { return version_; }
  bool known() const { return known_; }  // some endpoint is, or was
  // Ever listed.
  bool is_destination(std::uint64_t cell) const { return destinations_.contains(cell); }

  // ------------------------------------------------------------------------------- single endpoints
  const Host& at(HostId id) const { return hosts_.at(id); }
  const std::string& name(HostId id) const { return dialect_.hosts.name(static_cast<std::uint32_t>(id)); }
  bool listed_as(const std::string& name) const;
  HostId number(const std::string& name) { return HostId{dialect_.hosts.number(name)}; }
  // Where its ban was lifted: the number of one that is gone is not needed any more.
  void forget_name(const std::string& name);

  void call_begins(HostId id) { ++hosts_.at(id).out; }
  void call_over(HostId id);
  // A call of an earlier process, which may have gone to one that is not listed any more.
  HostId call_elsewhere(const std::string& name, std::uint64_t cell, const std::string& zone);

  // What has not begun to go out must not any more: to one, or, after a told wait, to all that share it.
  void withhold(HostId id);
  void withhold_told(HostId id);

 private:
  void forget_if_gone(HostId id);

  vetchhinge::drill::Dialect& dialect_;
  const vetchhinge::Settings& settings_;
  const Journal& journal_;
  HostClient& client_;
  std::unordered_map<HostId, Host> hosts_;
  // Ever listed: one whose hosts are all being replaced is still a partner. Partners are few, and stay.
  std::unordered_set<std::uint64_t> destinations_;
  std::int64_t version_ = 0;
  bool known_ = false;
};

}  // namespace myrtlegrade
