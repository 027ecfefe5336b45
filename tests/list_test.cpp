// Tests of the list of endpoints and of active destinations: of Endpoints alone and within a relay.
#include <boost/asio/io_context.hpp>

#include "catalog/list_reader.h"
#include "config_reader.h"
#include "endpoints.h"
#include "relay_fixture.h"

namespace myrtlegrade::test {
namespace {

namespace catalog = valedrum::catalog;
using vetchhinge::HostEntry;
using vetchhinge::HostId;
using vetchhinge::HostList;
using vetchhinge::HostState;

// An entry of discovery's list.
struct ListedEntry {
  std::string id;
  std::uint64_t cell = 0;
  std::string state = "SERVING";
  int port = 7070;
  std::string kind = "plain";
};
std::string text_of(const std::vector<ListedEntry>& entries, bool full, std::int64_t version = 1) {
  json::array servers;
  for (const ListedEntry& e : entries) {
    servers.push_back(json::object{{"id", e.id},
                                   {"addr", "10.0.0.1:" + std::to_string(e.port)},
                                   {"zone", "z-" + e.id},
                                   {"kind", e.kind},
                                   {"cell", e.cell},
                                   {"state", e.state},
                                   {"weight", 2.5},
                                   {"started_ms", 1'700'000'000'000}});
  }
  return json::serialize(json::object{{"version", version}, {"full", full}, {"servers", servers}});
}
std::string endpoint_name(std::uint64_t i) { return std::string("e").append(std::to_string(i)); }
std::vector<ListedEntry> entries_up_to(std::uint64_t count) {
  std::vector<ListedEntry> all;
  for (std::uint64_t i = 0; i < count; ++i) all.push_back({endpoint_name(i), i});
  return all;
}

class EndpointsTest : public testing::Test {
 protected:
  EndpointsTest() {
    dialect_.kinds.number("plain");
    dialect_.listed_rates = true;
    settings_.kinds.resize(1);
    settings_.max_destinations = 4;
  }
  ~EndpointsTest() override { fs::remove_all(folder_); }

  // Applies a list and returns the update for the module.
  HostList apply_list(const std::vector<ListedEntry>& entries, bool full, std::int64_t version = 1) {
    const std::string text = text_of(entries, full, version);
    std::string_view rest = text;
    EXPECT_EQ(reader_.feed(rest, rest.size()), catalog::ListReader::Status::complete) << reader_.error();
    events_.clear();
    if (full) {
      endpoints_.replace_list(version, reader_.take_entries(), HostList::Kind::whole, events_);
    } else {
      EXPECT_FALSE(endpoints_.apply_changes(version, reader_.entries(), true, events_));
    }
    reader_.reset();
    return std::get<HostList>(events_.at(0));
  }
  HostList activate(std::uint64_t cell) {
    events_.clear();
    endpoints_.activate(cell, events_);
    return events_.empty() ? HostList{} : std::get<HostList>(events_.at(0));
  }
  std::vector<std::string> names(const HostList& list) const {
    std::vector<std::string> all;
    for (const HostEntry& e : list.entries) all.push_back(endpoints_.name(e.host));
    return all;
  }
  using Names = std::vector<std::string>;

  fs::path folder_ = []() -> fs::path {
    std::string pattern = fs::temp_directory_path() / "endpoints-XXXXXX";
    return ::mkdtemp(pattern.data());
  }();
  boost::asio::io_context context_;
  vetchhinge::drill::Dialect dialect_;
  vetchhinge::Settings settings_;
  Journal journal_{folder_.string(), 1'000'000};
  HostClient client_{context_.get_executor(),
                     {},
                     [](HostId, const CallItem&, const CallResult&) {},
                     [](std::uint64_t, CallEnd) {}};
  Endpoints endpoints_{dialect_, settings_, journal_, client_};
  catalog::ListReader reader_;
  Endpoints::Events events_;
};

TEST_F(EndpointsTest, UpToTheLimitAllAreActiveInTheOrderOfTheList) {
  const HostList whole = apply_list({{"b", 2}, {"a", 1}, {"c", 2}, {"d", 3}}, true);
  EXPECT_EQ(whole.kind, HostList::Kind::whole);
  EXPECT_EQ(names(whole), (Names{"b", "a", "c", "d"}));
  EXPECT_EQ(whole.entries[2].host, HostId{2});
  EXPECT_EQ(whole.entries[0].rate, 2.5);
  EXPECT_EQ(names(apply_list({{"n", 9}, {"b", 2, "DRAINING"}}, false)), (Names{"n", "b"}));
  EXPECT_TRUE(activate(9).entries.empty());
}

TEST_F(EndpointsTest, BeyondItOnlyDestinationsWithMessagesAreActive) {
  EXPECT_TRUE(apply_list(entries_up_to(100), true).entries.empty());
  EXPECT_TRUE(endpoints_.has_seen_endpoints());
  EXPECT_TRUE(endpoints_.is_destination(50));
  EXPECT_FALSE(endpoints_.is_destination(100));
  const HostList activated = activate(50);
  EXPECT_EQ(activated.kind, HostList::Kind::changes);
  EXPECT_EQ(names(activated), Names{"e50"});
  EXPECT_EQ(endpoints_.at(activated.entries[0].host).zone, "z-e50");
  EXPECT_TRUE(activate(50).entries.empty());
  EXPECT_EQ(names(apply_list({{"e50", 50, "DRAINING"}, {"e51", 51, "DRAINING"}}, false)), Names{"e50"});
  // The fields of inactive entries are kept too.
  const catalog::Entry inactive = endpoints_.list().at(endpoints_.list().find("e51").value());
  EXPECT_EQ(inactive.state, catalog::EndpointState::draining);
  EXPECT_EQ(inactive.zone, "z-e51");
  EXPECT_EQ(inactive.weight, 2.5);
  EXPECT_EQ(inactive.started_ms, 1'700'000'000'000);
  EXPECT_EQ(activate(51).entries.at(0).state, HostState::draining);
  EXPECT_EQ(names(apply_list(entries_up_to(100), true)), (Names{"e50", "e51"}));
}

TEST_F(EndpointsTest, EvictedAndNeededAgainItIsReportedAnew) {
  apply_list(entries_up_to(100), true);
  const HostId first = activate(7).entries.at(0).host;
  endpoints_.evict(7);
  EXPECT_FALSE(dialect_.hosts.find("e7"));
  const HostList again = activate(7);
  EXPECT_EQ(names(again), Names{"e7"});
  EXPECT_NE(again.entries[0].host, first);
  // With a call in flight it keeps its record and its id.
  endpoints_.on_call_started(again.entries[0].host);
  endpoints_.evict(7);
  EXPECT_EQ(endpoints_.at(again.entries[0].host).attempts_in_flight, 1U);
  EXPECT_EQ(activate(7).entries.at(0).host, again.entries[0].host);
  endpoints_.on_call_ended(again.entries[0].host);
  EXPECT_EQ(endpoints_.at(again.entries[0].host).attempts_in_flight, 0U);
}

TEST_F(EndpointsTest, AnInactiveOneIsDisabledByNameAndStaysDisabledWhenActivated) {
  apply_list(entries_up_to(100), true);
  EXPECT_TRUE(endpoints_.is_known("e8"));
  EXPECT_FALSE(endpoints_.is_known("e100"));
  journal_.disable_host("e8");
  const HostId out = endpoints_.host_id("e8");
  endpoints_.cancel_unsent(out);
  EXPECT_EQ(activate(8).entries.at(0).host, out);
  endpoints_.evict(8);
  EXPECT_EQ(activate(8).entries.at(0).host, out);
  endpoints_.evict(8);
  journal_.enable_host("e8");
  endpoints_.release_name("e8");
  EXPECT_FALSE(dialect_.hosts.find("e8"));
}

TEST_F(EndpointsTest, AnIdThatMovesToAnotherDestinationIsAnotherHost) {
  const HostId first = apply_list({{"a", 1}, {"b", 2}}, true).entries.at(0).host;
  endpoints_.on_call_started(first);
  journal_.disable_host("a");
  const HostList moved = apply_list({{"a", 2}}, false);
  ASSERT_EQ(moved.entries.size(), 2U);
  EXPECT_EQ(moved.entries[0].host, first);
  EXPECT_EQ(moved.entries[0].state, HostState::gone);
  EXPECT_NE(moved.entries[1].host, first);
  EXPECT_EQ(moved.entries[1].destination, vetchhinge::DestinationId{2});
  EXPECT_EQ(endpoints_.at(first).unsent_cancellations, 1U);
  ASSERT_EQ(events_.size(), 2U);
  EXPECT_EQ(std::get<vetchhinge::OperatorHostOverride>(events_[1]).host, moved.entries[1].host);
  EXPECT_EQ(endpoints_.name(first), "a");  // while its call is in flight
  endpoints_.on_call_ended(first);
  EXPECT_EQ(dialect_.hosts.find("a"), static_cast<std::uint32_t>(moved.entries[1].host));
  // By a full list too.
  const HostList whole = apply_list({{"a", 3}, {"b", 2}}, true);
  EXPECT_EQ(names(whole), (Names{"a", "b"}));
  EXPECT_NE(whole.entries[0].host, moved.entries[1].host);
}

// A predecessor's call was counted at the destination that the endpoint serves now, and so was its answer.
TEST_F(EndpointsTest, APredecessorsCallStaysAtTheDestinationThatItWasMadeFor) {
  const HostId now_at = apply_list({{"moved", 2}, {"other", 1}}, true).entries.at(0).host;
  const HostId call_at = endpoints_.add_predecessor_call("moved", 1, "a");
  EXPECT_NE(call_at, now_at);
  EXPECT_EQ(endpoints_.at(call_at).cell, 1U);
  EXPECT_EQ(endpoints_.name(call_at), "moved");
  EXPECT_EQ(endpoints_.at(now_at).attempts_in_flight, 0U);
  EXPECT_EQ(endpoints_.add_predecessor_call("moved", 1, "a"), call_at) << "one host for all its calls";
  endpoints_.on_call_ended(call_at);
  endpoints_.on_call_ended(call_at);
  EXPECT_EQ(endpoints_.host_id("moved"), now_at);
  EXPECT_TRUE(endpoints_.at(now_at).listed);
}

TEST_F(EndpointsTest, ADestinationThatGoesWithACallOutComesBackUnderAnotherAddress) {
  const HostId host = apply_list({{"a", 1}, {"b", 2}}, true).entries.at(0).host;
  endpoints_.on_call_started(host);
  EXPECT_EQ(apply_list({{"a", 0, "DELETED"}}, false).entries.at(0).state, HostState::gone);
  EXPECT_EQ(endpoints_.at(host).unsent_cancellations, 1U);
  EXPECT_TRUE(endpoints_.is_destination(1));
  EXPECT_EQ(apply_list({{"a", 1, "SERVING", 9090}}, false).entries.at(0).host, host);
  EXPECT_EQ(endpoints_.at(host).address.port(), 9090);
  endpoints_.on_call_ended(host);
  EXPECT_TRUE(endpoints_.at(host).listed);
}

TEST_F(EndpointsTest, AListWithoutHalfOfWhatWasThere) {
  apply_list(entries_up_to(100), true);
  activate(10);
  activate(60);
  const HostList half = apply_list(entries_up_to(50), true);
  EXPECT_EQ(names(half), Names{"e10"});
  EXPECT_FALSE(dialect_.hosts.find("e60"));
  EXPECT_TRUE(endpoints_.is_destination(75));
  while (endpoints_.run_cleanup_slice()) {
  }
  EXPECT_TRUE(endpoints_.is_destination(75));
  EXPECT_FALSE(endpoints_.is_destination(100));
  EXPECT_EQ(endpoints_.list().size(), 50U);
}

TEST_F(EndpointsTest, WhatIsOfNoKnownKindIsNoDestination) {
  EXPECT_EQ(names(apply_list({{"a", 1}, {"b", 2, "SERVING", 7070, "new"}}, true)), Names{"a"});
  EXPECT_FALSE(endpoints_.is_destination(2));
  EXPECT_FALSE(endpoints_.is_known("b"));
  const HostList changed = apply_list({{"a", 1, "SERVING", 7070, "new"}, {"b", 2}}, false);
  EXPECT_EQ(changed.entries.at(0).state, HostState::gone);
  EXPECT_EQ(changed.entries.at(1).state, HostState::running);
  EXPECT_TRUE(endpoints_.is_destination(2));
}

TEST_F(EndpointsTest, ManyChangesAreTakenInPartsAndCountOnceAllAreIn) {
  apply_list(entries_up_to(10), true, 4);
  const std::string text = text_of(entries_up_to(3'000), false, 9);
  std::string_view rest = text;
  ASSERT_EQ(reader_.feed(rest, rest.size()), catalog::ListReader::Status::complete);
  int parts = 1;
  for (bool first = true; endpoints_.apply_changes(9, reader_.entries(), first, events_); first = false) {
    EXPECT_EQ(endpoints_.version(), 4);
    ++parts;
  }
  EXPECT_EQ(parts, 3);
  EXPECT_EQ(endpoints_.version(), 9);
  EXPECT_EQ(endpoints_.list().size(), 3'000U);
}

TEST_F(EndpointsTest, EndlessNewIdsAndDestinationsKeepMemoryFlat) {
  apply_list(entries_up_to(100), true);
  std::size_t before = 0;
  for (std::uint64_t i = 100; i < 100'000; ++i) {
    catalog::EndpointTable change;
    const std::string added = endpoint_name(i), removed = endpoint_name(i - 100);
    catalog::Entry entry;
    entry.id = added;
    entry.kind = "plain";
    entry.cell = i;
    change.put(entry);
    entry.id = removed;
    entry.state = catalog::EndpointState::deleted;
    change.put(entry);
    endpoints_.apply_changes(1, change, true, events_);
    activate(i);
    endpoints_.evict(i);
    events_.clear();
    if (i == 10'000) before = endpoints_.list().bytes();
  }
  EXPECT_EQ(endpoints_.list().size(), 100U);
  EXPECT_LE(endpoints_.list().bytes(), before);
  EXPECT_TRUE(endpoints_.is_destination(99'000));
  EXPECT_FALSE(endpoints_.is_destination(1'000));  // it left the list long ago
  EXPECT_FALSE(dialect_.hosts.find("e99999"));
}

TEST(ConfigReaderTest, TheListIsTakenOutOfATextCutAtAnyByte) {
  const std::string known = text_of(entries_up_to(3), true, 41);
  const std::string text = R"({"name":"known","a":{"known":{"x":[1]}},"s":"\"}","known": )" + known +
                           R"(,"b":[{}],"known ":{},"last":1})";
  const std::string rest = R"({"name":"known","a":{"known":{"x":[1]}},"s":"\"}","known": null)"
                           R"(,"b":[{}],"known ":{},"last":1})";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    ConfigReader read(ConfigReader::KnownHosts::read), skipped(ConfigReader::KnownHosts::skip);
    for (ConfigReader* to : {&read, &skipped}) {
      to->feed(std::string_view(text).substr(0, cut));
      to->feed(std::string_view(text).substr(cut));
      EXPECT_EQ(to->json_without_hosts(), rest);
    }
    const HostListSnapshot list = read.take_known_hosts();
    EXPECT_EQ(list.version, 41);
    EXPECT_EQ(list.entries.size(), 3U);
    EXPECT_EQ(skipped.take_known_hosts().entries.size(), 0U);
  }
  EXPECT_THROW(ConfigReader(ConfigReader::KnownHosts::read).feed(R"({"known":{"servers":1}})"),
               std::invalid_argument);
}

// ------------------------------------------------------------------------------------- in a relay

// More destinations than can be active, few of which have an endpoint that answers.
class LongListTest : public RelayTest {
 protected:
  static constexpr int kExtraDestinations = 6'000;

  json::object long_list(std::int64_t version) {
    json::object all = list();
    for (int i = 0; i < kExtraDestinations; ++i) {
      all.at("servers").as_array().push_back(json::object{{"id", "far" + std::to_string(i)},
                                                          {"addr", "127.0.0.1:9"},
                                                          {"zone", "a"},
                                                          {"kind", "plain"},
                                                          {"cell", 1'000 + i},
                                                          {"state", "SERVING"}});
    }
    all["version"] = version;
    all["full"] = true;
    return all;
  }
  json::object with_long_list() {
    json::object changed = with_admin_address();
    changed["known"] = long_list(5);
    changed.at("settings").as_object()["discovery"] = "push";
    return changed;
  }
  json::object change(const std::string& id, const char* state, std::int64_t version) {
    json::object entry = entries_.at(id);
    entry["state"] = state;
    return {{"version", version}, {"full", false}, {"servers", json::array{entry}}};
  }
  std::string call_admin(const std::string& line) { return test::call(admin_address_, line); }
  // Pushes a change whose effect shows that all earlier ones were applied.
  void push_last(std::int64_t version) {
    list_host("last", 9, "plain", "127.0.0.1:9");
    push(change("last", "SERVING", version));
  }
  void wait_for_last() {
    while (call_admin("ONLINE last") != "ACK") std::this_thread::yield();
  }
};

TEST_F(LongListTest, MessagesActivateDestinationsAndInactiveEndpointsStayDisabledAndDraining) {
  add_host("h1", 1, "plain", kAccept);
  add_host("h2", 2, "plain", kAccept);
  add_host("h3", 2, "plain", kAccept);
  add_host("h4", 3, "plain", kAccept);
  start(with_long_list());
  ASSERT_EQ(submit("a", "note", 1), 202U);
  ASSERT_TRUE(wait_delivered("a"));
  EXPECT_EQ(submit("b", "note", 999), 503U);
  EXPECT_EQ(call_admin("OFFLINE h2"), "ACK");  // both are inactive
  push(change("h4", "DRAINING", 6));
  push_last(7);
  wait_for_last();
  for (int i = 0; i < 10; ++i) pass_marker("c" + std::to_string(i), 2);
  EXPECT_EQ(watched_.read([&] { return std::ranges::count(deliveries_, "h2", &Delivery::host); }), 0);
  EXPECT_EQ(call_admin("ONLINE h2"), "ACK");
  ASSERT_EQ(submit("d", "note", 3), 202U);
  pass_marker("e", 1);
  EXPECT_EQ(count_deliveries("d"), 0U);
}

TEST_F(LongListTest, AListThatIsCutOrSpoiltLeavesTheOldOneInForceAndTheNextIsTaken) {
  add_host("h1", 1, "plain", kAccept);
  json::object changed = with_long_list();
  changed["known"] = list();
  start(changed);
  const std::string whole = json::serialize(long_list(7));
  const std::vector<std::string> invalid_lists = {whole.substr(0, whole.size() - 1),
                                                  whole.substr(0, 100'000) + "}}" + whole.substr(100'000)};
  for (const std::string& text : invalid_lists) {
    watched_.change([&] {
      pushed_ = {text};
      watches_to_end_ = 0;
      platform_requests_["first"].clear();
    });
    ASSERT_TRUE(wait_requested("first", "/catalog"));
    pass_marker("m" + std::to_string(text.size()), 1);
    EXPECT_TRUE(call_admin("ONLINE far0").starts_with("NAK"));
    watched_.change([&] { watches_to_end_ = 1'000; });
  }
  watched_.change([&] {
    pushed_ = {whole};
    watches_to_end_ = 0;
  });
  push(change("h1", "DRAINING", 8));  // right after it
  push_last(9);
  wait_for_last();
  EXPECT_EQ(call_admin("ONLINE far0"), "ACK");
  ASSERT_EQ(submit("late", "note", 1), 202U);
  process_->signal(SIGKILL);
  process_->wait();
  EXPECT_EQ(count_deliveries("late"), 0U);
  EXPECT_NE(process_->log().find("discovery: a list of the watch was cut after byte"), std::string::npos);
  EXPECT_NE(process_->log().find("discovery: a list of the watch can't be read"), std::string::npos);
}

}  // namespace
}  // namespace myrtlegrade::test
