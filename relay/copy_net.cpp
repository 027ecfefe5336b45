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
constexpr auto kListenRetryInterval = 100ms;
constexpr auto kConnectTimeout = 1s;  // for the connection and the hello frame on it
constexpr auto kAnswerTimeout = 2s;   // a connection without an answer for this long is closed as dead
constexpr auto kMinRetryPause = 50ms, kMaxRetryPause = 2000ms;  // between connection attempts to a peer
constexpr std::size_t kMaxQueuedBytes = 1 << 20;                // for a peer that does not read
constexpr std::size_t kMaxFrameBytes = 4 << 20;
constexpr std::uint64_t kProtocolVersion = 1;

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
      file_(disk_, name, disk_bytes, durability, wall_offset_at(now()), read_clocks().boot),
      acceptor_(executor),
      timer_(executor),
      retry_(executor) {
  if (durability == valedrum::recovery::Durability::power)
    syncer_ = std::make_shared<Syncer>(executor, [this] { return file_.sync_later(); });
  copies::LocalMember self;
  self.identity = {name, 0, config.advertise};
  self.machine = fleet.machine;
  self.zone = fleet.zone;
  // Other members may still know groups that this member has dropped. A later process must not reuse their
  // numbers, even if it has the same configuration and therefore the same seed.
  const std::uint64_t process_seed = std::random_device{}() | std::uint64_t{std::random_device{}()} << 32;
  copies_.emplace(config.settings, std::move(self), file_.take(), seed ^ process_seed, now());
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
    if (!std::exchange(bind_failed_, true))
      std::cerr << "myrtlegrade: copies: " << to_text(config_.bind) << " is not free yet" << std::endl;
    retry_.expires_after(kListenRetryInterval);
    retry_.async_wait([self = shared_from_this()](boost::system::error_code error) {
      if (!error) self->start();
    });
    return;
  }
  std::cerr << "myrtlegrade: copies: " << config_.settings.copies << " at " << to_text(config_.bind)
            << ", reached at " << to_text(config_.advertise) << std::endl;
  spawn(executor_, accept());
  flush();
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

void CopyNet::set_candidates(std::vector<copies::Candidate> all) {
  for (const copies::Candidate& candidate : all) {
    if (!peers_[candidate.identity.name].stream) copies_->disconnected(candidate.identity.name);
  }
  copies_->set_candidates(now(), std::move(all));
  flush();
}

copies::PublishedMember CopyNet::published() const {
  return {config_.advertise, copies_->storage_id(), copies_->free_eighths()};
}

// Frames are sent only after the records that they rely on are written, since other members must not learn
// anything that this relay would not know after a crash. Event handlers may produce more output, so the loop
// runs until there is none.
void CopyNet::flush() {
  flush_again_ = true;
  if (stopped_ || std::exchange(flushing_, true)) return;
  while (std::exchange(flush_again_, false) && !stopped_) {
    copies_->flush(now());
    const copies::Duration wall_offset = file_.wall_offset();
    const std::string records = copies_->take_records(wall_offset);
    const bool written = records.empty() || file_.append(records, [&] {
      return copies_->snapshot(wall_offset, read_clocks().boot);
    });
    if (written == disk_failed_) {
      disk_failed_ = !written;
      std::cerr << "myrtlegrade: copies: "
                << (written ? "the disk accepts records again" : "the disk takes no more") << std::endl;
    }
    auto frames = copies_->take_frames();
    if (written) send_when_durable(std::move(frames), !records.empty());
    for (const copies::CopyEvent& event : copies_->take_events()) {
      flush_again_ = true;
      if (const auto* log_line = std::get_if<copies::LogLine>(&event)) {
        std::cerr << "myrtlegrade: copies: " << log_line->line << std::endl;
      } else {
        on_event_(event);
      }
    }
  }
  flushing_ = false;
  schedule_wake();
}

void CopyNet::schedule_wake() {
  const copies::Time at = copies_->next_wake();
  if (stopped_ || at == copies::Time::max()) return;
  timer_.expires_after(std::max(copies::Duration(0), at - now()));
  timer_.async_wait([self = shared_from_this()](boost::system::error_code error) {
    if (error || self->stopped_) return;
    self->copies_->wake(now());
    self->flush();
  });
}

// ------------------------------------------------------------------------------------------ connections

// Other members rely on the frames that they receive: with durability `power` the records behind them are
// synced first. Frames without new records are sent at once unless a sync is running, so that the order of
// frames is kept.
void CopyNet::send_when_durable(std::vector<copies::Copies::OutgoingFrame> frames, bool records_written) {
  if (frames.empty()) return;
  if (!syncer_ || (!records_written && syncer_->idle())) {
    for (const auto& frame : frames) send(frame);
    return;
  }
  const std::uint64_t size = file_.size();
  syncer_->run_after_sync([self = shared_from_this(), frames = std::move(frames), size](bool synced) {
    if (self->stopped_) return;
    if (!synced) {  // the records may be lost: this relay stops sending, and other members take over
      std::cerr << "myrtlegrade: copies: sync failed: no more copies are made or stored" << std::endl;
      self->stop();
      return;
    }
    self->file_.synced(std::min(size, self->file_.size()));
    for (const auto& frame : frames) self->send(frame);
  });
}

// Drops the frame if there is no usable connection. The state machine repeats its contents once a connection
// is established, or the peer requests them again.
void CopyNet::send(const copies::Copies::OutgoingFrame& frame) {
  Peer& peer = peers_[frame.to.name];
  const auto steady_now = SteadyClock::now();
  if (peer.stream && (peer.stream->queued() > kMaxQueuedBytes ||
                      (peer.unanswered_since && steady_now > *peer.unanswered_since + kAnswerTimeout))) {
    peer.stream->close();  // receive_frames() removes it
    return;
  }
  if (peer.stream) {
    if (frame.expects_answer && !peer.unanswered_since) peer.unanswered_since = steady_now;
    peer.stream->send_record(frame.frame);
    return;
  }
  if (!frame.to.address || peer.connecting || steady_now < peer.retry_at) return;
  peer.connecting = true;
  spawn(executor_, connect(frame.to));
}

RecordWriter CopyNet::hello(const std::string& to) const {
  return RecordWriter(Hello::hello).number(kProtocolVersion).text(fleet_).text(name_).text(to);
}

// Returns the name of the peer, or nothing if the frame is not a valid hello of another member of this fleet
// to this relay.
std::optional<std::string> CopyNet::read_hello(const std::string& frame) const {
  RecordReader in(frame);
  if (in.kind<Hello>() != Hello::hello || in.number() != kProtocolVersion) return std::nullopt;
  const std::string fleet = in.text(), from = in.text(), to = in.text();
  if (!in.good || !in.empty() || fleet != fleet_ || to != name_ || from.empty() || from == name_)
    return std::nullopt;
  return from;
}

asio::awaitable<void> CopyNet::connect(copies::MemberIdentity to) {
  const auto self = shared_from_this();
  const auto stream = std::make_shared<Stream>(tcp::socket(executor_), kMaxFrameBytes, StreamUse::copies);
  asio::steady_timer limit(executor_, kConnectTimeout);
  limit.async_wait([stream](boost::system::error_code aborted) {
    if (!aborted) stream->close();
  });
  boost::system::error_code error;
  // Bound to the relay's own address, so that firewalls and other intermediaries can identify the sender.
  stream->socket().open(tcp::v4(), error);
  if (!error) stream->socket().bind({ip_of(config_.bind), 0}, error);
  std::optional<std::string> from;
  if (!error) {
    const auto [connect_error] =
        co_await stream->socket().async_connect({ip_of(to.address), to.address.port}, kAwait);
    if (!connect_error) {
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
    peer.retry_pause = std::clamp(2 * peer.retry_pause, std::chrono::milliseconds(kMinRetryPause),
                                  std::chrono::milliseconds(kMaxRetryPause));
    peer.retry_at = SteadyClock::now() + peer.retry_pause;
    co_return;
  }
  on_connected(*from, stream);
  co_await receive_frames(stream, *from);
}

asio::awaitable<void> CopyNet::accept() {
  const auto self = shared_from_this();
  while (!stopped_) {
    auto [error, socket] = co_await accept_next(StreamUse::copies, acceptor_);
    if (stopped_) co_return;
    if (error) {
      retry_.expires_after(kListenRetryInterval);
      co_await retry_.async_wait(kAwait);
      continue;
    }
    if (accepted_ >= copies_descriptors(config_) / 2)
      continue;  // over the limit: closed, the peer connects again
    ++accepted_;
    spawn(executor_, serve(std::make_shared<Stream>(std::move(socket), kMaxFrameBytes, StreamUse::copies)));
  }
}

asio::awaitable<void> CopyNet::serve(std::shared_ptr<Stream> stream) {
  const auto self = shared_from_this();
  asio::steady_timer limit(executor_, kConnectTimeout);
  limit.async_wait([stream](boost::system::error_code aborted) {
    if (!aborted) stream->close();
  });
  const auto frame = co_await stream->receive();
  limit.cancel();
  const auto from = frame ? read_hello(*frame) : std::nullopt;
  if (frame && !from) ++undecodable_frames_;
  if (from && !stopped_) {
    stream->send(hello(*from));
    on_connected(*from, stream);
    co_await receive_frames(stream, *from);
  }
  stream->close();
  --accepted_;
}

// Frames are sent on the newest connection to a peer. Older connections are still read until they close.
void CopyNet::on_connected(const std::string& name, const std::shared_ptr<Stream>& stream) {
  boost::system::error_code ignored;
  stream->socket().set_option(tcp::no_delay(true), ignored);
  Peer& peer = peers_[name];
  peer.stream = stream;
  peer.unanswered_since.reset();
  peer.retry_pause = {};
  peer.retry_at = {};
  copies_->connected(now(), name);
  flush();
}

asio::awaitable<void> CopyNet::receive_frames(std::shared_ptr<Stream> stream, std::string from) {
  const auto self = shared_from_this();
  while (!stopped_) {
    const auto record = co_await stream->receive();
    if (!record || stopped_) break;
    peers_[from].unanswered_since.reset();
    const std::optional<copies::Frame> frame = copies::decode_frame(*record);
    if (!frame) {
      if (undecodable_frames_++ == 0)
        std::cerr << "myrtlegrade: copies: a frame of " << from << " can't be read" << std::endl;
      break;
    }
    log_frame(log_, from, *frame);
    copies_->receive(now(), from, *frame);
    flush();
  }
  stream->close();
  Peer& peer = peers_[from];
  if (peer.stream != stream) co_return;
  peer.stream = nullptr;
  copies_->disconnected(from);
}

std::string CopyNet::state() const {
  const copies::Time at = now();
  json::array groups;
  std::size_t held = 0, own = 0, inherited = 0;
  for (const auto& g : copies_->groups(at)) {
    json::array members;
    for (const copies::MemberIdentity& m : g.config.members) members.emplace_back(m.name);
    (g.is_owner ? g.self == 0 ? own : inherited : held) += g.live_count;
    groups.push_back({{"origin", g.id.origin},
                      {"members", std::move(members)},
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
                                        {"unread", undecodable_frames_}}},
                                      {"groups", std::move(groups)}});
}

}  // namespace myrtlegrade
