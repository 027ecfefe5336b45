#include "copy_net.h"

#include <time.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <random>
#include <utility>

#include "copies_log.h"
#include "coroutine.h"
#include "stream_io.h"
#include "timestamp.h"

namespace myrtlegrade {

namespace asio = boost::asio;
namespace json = boost::json;
namespace copies = valedrum::copies;
namespace membership = valedrum::membership;
using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kAddressAgain = 100ms;
constexpr auto kUpWithin = 1s;                           // for a connection, and the first word on it
constexpr auto kAnswerWithin = 2s;                       // then it leads nowhere, however open it looks
constexpr auto kPauseFirst = 50ms, kPauseMost = 2000ms;  // between tries to reach one that is not there
constexpr std::size_t kMostQueued = 1 << 20;             // bytes for one that does not read
constexpr std::size_t kMostFrame = 4 << 20;
constexpr std::uint64_t kVersion = 1;  // of what is said on a connection

enum class Hello : std::uint8_t { hello = 'h' };

asio::ip::address_v4 ip_of(const membership::Address& a) { return asio::ip::address_v4(a.ip); }

}  // namespace

CopyNet::CopyNet(asio::any_io_executor executor, const CopiesConfig& config, const FleetConfig& fleet,
                 const std::string& name, const std::string& folder, std::uint64_t disk_bytes,
                 valedrum::recovery::Durability durability, std::uint64_t seed, OnEvent on_event)
    : executor_(executor),
      config_(config),
      fleet_(fleet.settings.fleet),
      name_(name),
      on_event_(std::move(on_event)),
      disk_(folder),
      file_(disk_, name, disk_bytes, durability, wall_of(now()), read_clocks().boot),
      acceptor_(executor),
      timer_(executor),
      retry_(executor) {
  if (durability == valedrum::recovery::Durability::power)
    syncer_ = std::make_shared<Syncer>(executor, [this] { return file_.sync_later(); });
  copies::LocalMember self;
  self.identity = {name, 0, config.advertise};
  self.machine = fleet.machine;
  self.zone = fleet.zone;
  // Other members may still know groups that this one has dropped, so their numbers must not come again in
  // another process, also where that has the same configuration, and with it the same seed.
  const std::uint64_t process = std::random_device{}() | std::uint64_t{std::random_device{}()} << 32;
  copies_.emplace(config.settings, std::move(self), file_.take(), seed ^ process, now());
}

copies::Time CopyNet::now() {
  timespec at{};
  ::clock_gettime(CLOCK_BOOTTIME, &at);
  return copies::Time(std::chrono::seconds(at.tv_sec) +
                      std::chrono::duration_cast<copies::Duration>(std::chrono::nanoseconds(at.tv_nsec)));
}

bool CopyNet::open() {
  try {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind({ip_of(config_.bind), config_.bind.port});
    acceptor_.listen();
    return true;
  } catch (const boost::system::system_error&) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    return false;
  }
}

void CopyNet::start() {
  if (stopped_) return;
  if (!open()) {
    if (!std::exchange(waits_, true))
      std::cerr << "myrtlegrade: copies: " << to_text(config_.bind) << " is not free yet" << std::endl;
    retry_.expires_after(kAddressAgain);
    retry_.async_wait([self = shared_from_this()](boost::system::error_code error) {
      if (!error) self->start();
    });
    return;
  }
  std::cerr << "myrtlegrade: copies: " << config_.settings.copies << " at " << to_text(config_.bind)
            << ", reached at " << to_text(config_.advertise) << std::endl;
  spawn(executor_, accept());
  turn();
}

void CopyNet::stop() {
  if (std::exchange(stopped_, true)) return;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  timer_.cancel();
  retry_.cancel();
  if (syncer_) syncer_->stop();
  for (auto& [name, peer] : peers_) {
    if (peer.stream) peer.stream->close();
  }
}

void CopyNet::candidates(std::vector<copies::Candidate> all) {
  copies_->set_candidates(now(), std::move(all));
  turn();
}

copies::PublishedMember CopyNet::published() const {
  return {config_.advertise, copies_->storage_id(), copies_->free_eighths()};
}

// What others hear must not be newer than what this relay knows after a crash. Events lead to more of it.
void CopyNet::turn() {
  again_ = true;
  if (stopped_ || std::exchange(turning_, true)) return;
  while (std::exchange(again_, false) && !stopped_) {
    copies_->flush(now());
    const copies::Duration wall = file_.wall();
    const std::string records = copies_->take_records(wall);
    const bool kept =
        records.empty() || file_.append(records, [&] { return copies_->snapshot(wall, read_clocks().boot); });
    if (kept == disk_failed_) {
      disk_failed_ = !kept;
      std::cerr << "myrtlegrade: copies: " << (kept ? "the disk takes them again" : "the disk takes no more")
                << std::endl;
    }
    auto frames = copies_->take_frames();
    if (kept) send_when_kept(std::move(frames), !records.empty());
    for (const copies::CopyEvent& event : copies_->take_events()) {
      again_ = true;
      if (const auto* noted = std::get_if<copies::LogLine>(&event)) {
        std::cerr << "myrtlegrade: copies: " << noted->line << std::endl;
      } else {
        on_event_(event);
      }
    }
  }
  turning_ = false;
  arm();
}

void CopyNet::arm() {
  const copies::Time at = copies_->next_wake();
  if (stopped_ || at == copies::Time::max()) return;
  timer_.expires_after(std::max(copies::Duration(0), at - now()));
  timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
    if (error || self->stopped_) return;
    self->copies_->wake(now());
    self->turn();
  });
}

// ------------------------------------------------------------------------------------------ connections

// What others are told they rely on: with durability `power` it is synced first. What says nothing new waits
// its turn.
void CopyNet::send_when_kept(std::vector<copies::Copies::OutgoingFrame> frames, bool changed) {
  if (frames.empty()) return;
  if (!syncer_ || (!changed && syncer_->idle())) {
    for (const auto& frame : frames) send(frame);
    return;
  }
  const std::uint64_t size = file_.size();
  syncer_->run_after_sync([self = shared_from_this(), frames = std::move(frames), size](bool synced) {
    if (self->stopped_) return;
    if (!synced) {  // what it covered may be gone: nothing is said any more, and others act on it
      std::cerr << "myrtlegrade: copies: a sync has failed: no more are made or held" << std::endl;
      self->stop();
      return;
    }
    self->file_.synced(std::min(size, self->file_.size()));
    for (const auto& frame : frames) self->send(frame);
  });
}

// What can't be sent is lost: it is said anew once there is a connection, or asked for again.
void CopyNet::send(const copies::Copies::OutgoingFrame& frame) {
  Peer& peer = peers_[frame.to.name];
  const auto at = SteadyClock::now();
  if (peer.stream &&
      (peer.stream->queued() > kMostQueued || (peer.unanswered && at > *peer.unanswered + kAnswerWithin))) {
    peer.stream->close();  // who reads from it takes it away
    return;
  }
  if (peer.stream) {
    if (frame.expects_answer && !peer.unanswered) peer.unanswered = at;
    peer.stream->send_record(frame.frame);
    return;
  }
  if (!frame.to.address || peer.connecting || at < peer.again) return;
  peer.connecting = true;
  spawn(executor_, connect(frame.to));
}

RecordWriter CopyNet::hello(const std::string& to) const {
  return RecordWriter(Hello::hello).number(kVersion).text(fleet_).text(name_).text(to);
}

// Who it is; none: not one that this relay talks to.
std::optional<std::string> CopyNet::read_hello(const std::string& frame) const {
  RecordReader in(frame);
  if (in.kind<Hello>() != Hello::hello || in.number() != kVersion) return std::nullopt;
  const std::string fleet = in.text(), from = in.text(), to = in.text();
  if (!in.good || !in.empty() || fleet != fleet_ || to != name_ || from.empty() || from == name_)
    return std::nullopt;
  return from;
}

asio::awaitable<void> CopyNet::connect(copies::MemberIdentity to) {
  const auto self = shared_from_this();
  const auto stream = std::make_shared<Stream>(tcp::socket(executor_), kMostFrame, StreamUse::copies);
  asio::steady_timer limit(executor_, kUpWithin);
  limit.async_wait([stream](boost::system::error_code aborted) {
    if (!aborted) stream->close();
  });
  boost::system::error_code error;
  // From its own address, so that what lies between knows whom it is from.
  stream->socket().open(tcp::v4(), error);
  if (!error) stream->socket().bind({ip_of(config_.bind), 0}, error);
  std::optional<std::string> from;
  if (!error) {
    const auto [refused] =
        co_await stream->socket().async_connect({ip_of(to.address), to.address.port}, kAwait);
    if (!refused) {
      stream->send(hello(to.name));
      const auto frame = co_await stream->receive();
      if (frame) from = read_hello(*frame);
    }
  }
  limit.cancel();
  Peer& peer = peers_[to.name];
  peer.connecting = false;
  if (stopped_ || from != to.name) {
    stream->close();
    peer.pause = std::clamp(2 * peer.pause, std::chrono::milliseconds(kPauseFirst),
                            std::chrono::milliseconds(kPauseMost));
    peer.again = SteadyClock::now() + peer.pause;
    co_return;
  }
  up(*from, stream);
  co_await listen(stream, *from);
}

asio::awaitable<void> CopyNet::accept() {
  const auto self = shared_from_this();
  while (!stopped_) {
    auto [error, socket] = co_await accept_next(StreamUse::copies, acceptor_);
    if (stopped_) co_return;
    if (error) {
      retry_.expires_after(kAddressAgain);
      co_await retry_.async_wait(kAwait);
      continue;
    }
    if (accepted_ >= copies_descriptors(config_) / 2) continue;  // closed: who needs it comes again
    ++accepted_;
    spawn(executor_, attend(std::make_shared<Stream>(std::move(socket), kMostFrame, StreamUse::copies)));
  }
}

asio::awaitable<void> CopyNet::attend(std::shared_ptr<Stream> stream) {
  const auto self = shared_from_this();
  asio::steady_timer limit(executor_, kUpWithin);
  limit.async_wait([stream](boost::system::error_code aborted) {
    if (!aborted) stream->close();
  });
  const auto frame = co_await stream->receive();
  limit.cancel();
  const auto from = frame ? read_hello(*frame) : std::nullopt;
  if (frame && !from) ++unread_;
  if (from && !stopped_) {
    stream->send(hello(*from));
    up(*from, stream);
    co_await listen(stream, *from);
  }
  stream->close();
  --accepted_;
}

// The newest connection is the one that is written to; what still comes on an older one is read.
void CopyNet::up(const std::string& name, const std::shared_ptr<Stream>& stream) {
  boost::system::error_code ignored;
  stream->socket().set_option(tcp::no_delay(true), ignored);
  Peer& peer = peers_[name];
  peer.stream = stream;
  peer.unanswered.reset();
  peer.pause = {};
  peer.again = {};
  copies_->connected(now(), name);
  turn();
}

asio::awaitable<void> CopyNet::listen(std::shared_ptr<Stream> stream, std::string from) {
  const auto self = shared_from_this();
  while (!stopped_) {
    const auto record = co_await stream->receive();
    if (!record || stopped_) break;
    peers_[from].unanswered.reset();
    const std::optional<copies::Frame> frame = copies::decode_frame(*record);
    if (!frame) {
      if (unread_++ == 0)
        std::cerr << "myrtlegrade: copies: a frame of " << from << " can't be read" << std::endl;
      break;
    }
    log_frame(log_, from, *frame);
    copies_->receive(now(), from, *frame);
    turn();
  }
  stream->close();
  Peer& peer = peers_[from];
  if (peer.stream == stream) peer.stream = nullptr;
}

std::string CopyNet::state() const {
  const copies::Time at = now();
  json::array groups;
  std::size_t held = 0, own = 0, inherited = 0;
  for (const auto& g : copies_->groups(at)) {
    json::array seats;
    for (const copies::MemberIdentity& s : g.config.members) seats.emplace_back(s.name);
    (g.is_owner ? g.self == 0 ? own : inherited : held) += g.live_count;
    groups.push_back({{"origin", g.id.origin},
                      {"members", std::move(seats)},
                      {"copies", g.config.copies},
                      {"owner", g.config.members[g.owner].name},
                      {"epoch", g.epoch},
                      {"messages", g.live_count},
                      {"leads", g.holds_lease},
                      {"open", !g.sealed}});
  }
  const copies::CopyCounters& c = copies_->counters();
  std::size_t connected = 0;
  for (const auto& [name, peer] : peers_) connected += peer.stream ? 1 : 0;
  return json::serialize(json::object{{"own", own},
                                      {"held", held},
                                      {"inherited", inherited},
                                      {"bytes_held", copies_->held_bytes()},
                                      {"connections", connected},
                                      {"counters",
                                       {{"placed", c.placed},
                                        {"short", c.under_replicated},
                                        {"alone", c.local_only},
                                        {"refused", c.refused},
                                        {"late", c.ticket_timeouts},
                                        {"no_room", c.bodies_rejected},
                                        {"groups", c.groups_opened},
                                        {"won", c.ownerships_gained},
                                        {"lost", c.ownerships_lost},
                                        {"inherited", c.taken_over},
                                        {"expired", c.expired},
                                        {"foreign", c.foreign_messages},
                                        {"unread", unread_}}},
                                      {"groups", std::move(groups)}});
}

}  // namespace myrtlegrade
