#include "succession.h"

#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <iostream>
#include <thread>
#include <utility>

#include "coroutine.h"
#include "stream_io.h"
#include "system_errors.h"

namespace myrtlegrade {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr auto kLook = 20ms;       // between looks whether another process still is the relay
constexpr auto kGreetWithin = 1s;  // for the other process to begin; one that is stalled says nothing
constexpr auto kPrepareWithin = 300ms;
constexpr auto kLinkAgainWithin = 200ms;  // for one that stood by and lost its link: it comes again
constexpr auto kGiveOverWithin = 700ms;   // of the signal to end; the drain alone needs the rest
// For a process that has just died to let go of the clients' address, or for the system to have descriptors
// again.
constexpr auto kAddressWithin = 6s;
constexpr auto kTellEvery = 50ms;
constexpr auto kInviteAgain = 100ms;
constexpr auto kRoomEvery = 5s;  // a change of what this relay can hold for others

}  // namespace

Succession::Succession(asio::any_io_executor executor, Config config, std::function<void()> done,
                       std::function<void()> read_again)
    : executor_(executor),
      config_(std::move(config)),
      done_(std::move(done)),
      read_again_(std::move(read_again)),
      lock_(config_.state_folder),
      pause_(executor),
      successors_(executor),
      invite_timer_(executor),
      prepare_timer_(executor),
      usage_timer_(executor),
      room_timer_(executor) {
  if (!config_.admin) return;
  open_admin();
  std::cerr << "myrtlegrade: second address on " << admin_->address() << std::endl;
}

// The second address is told in the configuration, so that the relay can't do without it.
void Succession::open_admin() {
  while (!admin_) {
    try {
      admin_.emplace(
          executor_, *config_.admin,
          [this](const std::string& line, const AdminServer::Reply& reply) { called(line, reply); });
    } catch (const boost::system::system_error& e) {
      if (!is_temporary_error(e.code()) || SteadyClock::now() - started_ > kAddressWithin) throw;
      std::this_thread::sleep_for(kLook);
    }
  }
}

void Succession::start() {
  if (admin_) admin_->start();
  // At once where nobody else is there: the relay serves as soon as its process runs.
  if (!take_office()) spawn(executor_, seek());
}

void Succession::end() {
  if (std::exchange(ending_, true)) return;
  told_to_end_ = SteadyClock::now();
  if (!relay_) return done_();
  if (successor_ready_) return ask_to_prepare();
  const bool lost_just_now = link_lost_ && SteadyClock::now() - *link_lost_ < kLinkAgainWithin;
  if (!successor_ && !lost_just_now) return leave_alone();
  await_link();
}

// Serves on meanwhile. A link breaks by one failing call, and an upgrade must not become a restart by that.
void Succession::await_link() {
  awaits_link_ = true;
  prepare_timer_.expires_at(std::min(SteadyClock::now() + kLinkAgainWithin, told_to_end_ + kGiveOverWithin));
  prepare_timer_.async_wait([this](boost::system::error_code error) {
    if (error || !std::exchange(awaits_link_, false)) return;
    std::cerr << "myrtlegrade: the link to the new process is down, ends alone unless it comes up"
              << std::endl;
    leave_alone();
  });
}

void Succession::ask_to_prepare() {
  awaits_link_ = false;
  // One that is stalled must not be given what it can't carry on.
  successor_->send(RecordWriter(Frame::prepare));
  prepare_timer_.expires_after(kPrepareWithin);
  prepare_timer_.async_wait([this](boost::system::error_code error) {
    if (error || given_over_) return;
    std::cerr << "myrtlegrade: the new process does not answer" << std::endl;
    leave_alone();
  });
}

void Succession::close_successors() {
  boost::system::error_code ignored;
  successors_.close(ignored);
}

// As long as it decides, it still gives over to a process that comes: a lost link, or an answer that takes
// long, must not make a restart of an upgrade.
bool Succession::may_give_over() const { return relay_ && !given_over_ && !relay_->closing(); }

void Succession::leave_alone() {
  successor_ready_ = false;
  if (const Links link = std::exchange(successor_, nullptr)) link->close();
  relay_->drain(
      [this] {
        if (fleet_) fleet_->leave();
        done_();
      },
      told_to_end_);
}

void Succession::reload(const Config& config) {
  config_.discovery = config.discovery;
  config_.read_at = config.read_at;
  tell_reloaded();
  if (relay_ && !given_over_) relay_->move_discovery(config.discovery);
  if (!config_.fleet || !config.fleet) return;  // on or off, and where, is settled at the start
  config_.fleet->settings.seeds = config.fleet->settings.seeds;
  if (fleet_) fleet_->reseed(config.fleet->settings.seeds);
}

// The new process may have read the file before it was replaced, and not be told to read it again.
void Succession::tell_reloaded() {
  if (successor_) successor_->send(write_reloaded({config_.read_at, config_.discovery}));
}

void Succession::heard_reloaded(RecordReader& in) {
  const auto other = read_reloaded(in);
  if (!other || other->read_at <= config_.read_at) return;
  config_.read_at = other->read_at;
  if (other->discovery == config_.discovery) return;
  config_.discovery = other->discovery;
  if (relay_ && !given_over_) relay_->move_discovery(config_.discovery);
}

// ------------------------------------------------------------------------------------- which one

// False while another process is the relay, or the address is not free yet.
bool Succession::take_office() {
  if (!lock_.try_acquire()) return false;
  if (!listening_) {
    try {
      listening_.emplace(executor_, config_.listen);
    } catch (const boost::system::system_error& e) {
      const bool passes = e.code() == asio::error::address_in_use || is_temporary_error(e.code());
      if (!passes || SteadyClock::now() - started_ > kAddressWithin) throw;
      lock_.release();
      return false;
    }
  }
  become(std::nullopt);
  return true;
}

asio::awaitable<void> Succession::seek() {
  while (!relay_ && !ending_) {
    co_await stand_by();
    if (relay_ || ending_) co_return;
    // The file may have been replaced since this process read it, and the other one alone was told.
    if (take_office()) co_return read_again_();
    pause_.expires_after(kLook);
    co_await pause_.async_wait(kAwait);
  }
}

void Succession::become(std::optional<std::string> inherited) {
  relay_.emplace(executor_, config_, std::move(*listening_), std::move(inherited));
  listening_.reset();
  relay_->start();
  std::cerr << "myrtlegrade: listening on " << relay_->address() << std::endl;
  enter_fleet();
  spawn(executor_, invite_successors());
}

// What fails here is no reason not to serve; without it no process could ever take over, so it is tried
// again.
asio::awaitable<void> Succession::invite_successors() {
  bool told = false;
  while (!ending_ && !successors_.is_open()) {
    const boost::system::error_code error = open_successors();
    if (!error) break;
    if (!std::exchange(told, true))
      std::cerr << "myrtlegrade: no successor can take over yet: " << error.message() << std::endl;
    invite_timer_.expires_after(kInviteAgain);
    co_await invite_timer_.async_wait(kAwait);
  }
  if (successors_.is_open()) spawn(executor_, await_successors());
}

boost::system::error_code Succession::open_successors() {
  const auto place = Link::place(config_.state_folder);
  ::unlink(place.path().c_str());  // of a process that is no relay any more
  boost::system::error_code error;
  successors_.open(place.protocol(), error);
  if (!error) successors_.bind(place, error);
  if (!error) successors_.listen(asio::socket_base::max_listen_connections, error);
  if (!error) ::chmod(place.path().c_str(), 0600);
  boost::system::error_code ignored;
  if (error) successors_.close(ignored);
  return error;
}

// What keeps it out of the fleet is no reason not to serve.
void Succession::enter_fleet() {
  if (!config_.fleet) return;
  try {
    fleet_ =
        std::make_shared<Fleet>(executor_, *config_.fleet, config_.name, config_.state_folder, config_.seed);
    if (relay_->copies()) join_copies();
    fleet_->start();
  } catch (const std::exception& e) {
    std::cerr << "myrtlegrade: fleet: stays out: " << e.what() << std::endl;
    fleet_ = nullptr;
  }
}

// Whom copies may go to is who says in the view that it takes them.
void Succession::join_copies() {
  namespace copies = valedrum::copies;
  namespace membership = valedrum::membership;
  publish_room();
  fleet_->on_change([this, net = relay_->copies()](const membership::Membership& members) {
    std::vector<copies::Candidate> all;
    const auto takes = [](const membership::Record& r) { return r.published_version == copies::kFormat; };
    for (const membership::Record& r : members.healthy_members(takes)) {
      const auto said = copies::decode_published(r.published);
      if (said)
        all.push_back({{r.name, said->storage_id, said->address}, r.machine, r.zone, said->free_eighths});
    }
    net->candidates(std::move(all));
  });
}

void Succession::publish_room() {
  if (!fleet_ || given_over_) return;
  std::string said = encode(relay_->copies()->published());
  if (said != published_) fleet_->publish(valedrum::copies::kFormat, published_ = std::move(said));
  room_timer_.expires_after(kRoomEvery);
  room_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) publish_room();
  });
}

// --------------------------------------------------------------------------------------- standing by

asio::awaitable<void> Succession::stand_by() {
  Link::Protocol::socket socket(executor_);
  const auto [error] = co_await socket.async_connect(Link::place(config_.state_folder), kAwait);
  if (error) co_return;
  const auto link = std::make_shared<Link>(std::move(socket));
  pause_.expires_after(kGreetWithin);
  pause_.async_wait([link](boost::system::error_code stopped) {
    if (!stopped) link->close();
  });
  const auto descriptor = co_await link->receive_descriptor();
  std::optional<std::string> hello;
  if (descriptor) {
    listening_.emplace(executor_);
    listening_->assign(config_.listen.protocol(), *descriptor);
    hello = co_await link->receive();
  }
  pause_.cancel();
  if (!hello || ending_) co_return;
  RecordReader in(*hello);
  if (in.kind<Frame>() != Frame::hello || in.number() != kLinkVersion) {
    std::cerr << "myrtlegrade: the old process speaks another version: waiting for its end" << std::endl;
    co_return;
  }
  link->send(RecordWriter(Frame::hello).number(kLinkVersion));
  predecessor_ = link;
  standing_by_ = true;
  std::cerr << "myrtlegrade: standing by, listening on " << listening_->local_endpoint() << std::endl;
  // Once this one is the relay, what the old process still has to tell of calls that are out.
  for (auto frame = co_await link->receive(); frame; frame = co_await link->receive()) {
    if (static_cast<Frame>(frame->front()) == Frame::over) {
      co_await take_over(frame->substr(1));
    } else {
      heard_from_predecessor(*frame);
    }
  }
  standing_by_ = false;
  predecessor_ = nullptr;
  link->close();
  if (relay_) relay_->on_predecessor_disconnected();
  drop_questions();
}

asio::awaitable<void> Succession::take_over(std::string inherited) {
  // The other process has let go of it; a third one that looks in passing lets go at once.
  while (!lock_.try_acquire()) {
    pause_.expires_after(1ms);
    co_await pause_.async_wait(kAwait);
  }
  become(std::move(inherited));
  std::cerr << "myrtlegrade: took over" << std::endl;
  if (relay_->knows_predecessor_calls() && predecessor_)
    predecessor_->send(RecordWriter(Frame::took_over).text(relay_->owner_name()));
}

void Succession::heard_from_predecessor(const std::string& frame) {
  RecordReader in(frame);
  const auto kind = in.kind<Frame>();
  if (kind == Frame::prepare) {
    predecessor_->send(RecordWriter(Frame::prepared));
  } else if (kind == Frame::reply || kind == Frame::returned) {
    replied(in, kind == Frame::returned);
  } else if (kind == Frame::reloaded) {
    heard_reloaded(in);
  } else if (!relay_) {
    return;
  } else if (kind == Frame::outcome) {
    const std::string id = in.text();
    const auto attempt = static_cast<std::uint32_t>(in.number());
    const CallResult result = read_result(in);
    if (in.good) relay_->on_predecessor_outcome(id, attempt, result);
    relay_->decide_due_completions();
  } else if (kind == Frame::call_over) {
    const std::uint64_t call = in.number();
    const auto end = static_cast<CallEnd>(in.number());
    if (in.good) relay_->on_predecessor_call_ended(call, end);
    relay_->decide_due_completions();
  } else if (kind == Frame::hand_in) {
    const std::uint64_t token = in.number();
    HandIn message = read_hand_in(in);
    if (!in.good) return;
    relay_->submit(std::move(message), [link = predecessor_, token](const Answer& answer) {
      if (link) link->send(write_answer(token, answer));
    });
  } else if (kind == Frame::unheard) {
    relay_->withdraw(in.text());
  } else if (kind == Frame::usage) {
    relay_->reserve_descriptors(in.number());
  } else if (kind == Frame::call) {
    const std::uint64_t token = in.number();
    called(in.text(), [link = predecessor_, token](const std::string& reply) {
      if (link) link->send(RecordWriter(Frame::reply).number(token).text(reply));
    });
  }
}

// ------------------------------------------------------------------------------------ giving over

asio::awaitable<void> Succession::await_successors() {
  while (true) {
    auto [error, socket] = co_await accept_next(StreamUse::successors, successors_);
    if (!successors_.is_open()) co_return;
    if (error) {
      usage_timer_.expires_after(kLook);
      co_await usage_timer_.async_wait(kAwait);
      continue;
    }
    // One at a time; others try again. Nor can anybody take over what can't serve yet itself.
    if (successor_ || (ending_ && !may_give_over()) || !relay_->ready()) continue;
    successor_ = std::make_shared<Link>(std::move(socket));
    spawn(executor_, attend(successor_));
  }
}

asio::awaitable<void> Succession::attend(Links link) {
  if (link->send_descriptor(relay_->listening_descriptor())) {
    link->send(RecordWriter(Frame::hello).number(kLinkVersion));
    tell_reloaded();
    for (auto frame = co_await link->receive(); frame && link == successor_;
         frame = co_await link->receive()) {
      heard_from_successor(*frame);
    }
  }
  link->close();
  if (successor_ != link) co_return;
  successor_ = nullptr;
  drop_questions();
  // What clients handed in may be on its disk or not: no answer would be true.
  for (const auto& [token, respond] : std::exchange(handed_in_, {})) respond({Answer::Kind::failed, {}});
  if (given_over_) {
    std::cerr << "myrtlegrade: the link to the new process is lost" << std::endl;
    link_lost_ = SteadyClock::now();
    watch_heir();
  }
  if (!std::exchange(successor_ready_, false) || given_over_) co_return;
  link_lost_ = SteadyClock::now();
  if (ending_ && may_give_over()) await_link();  // lost between the question and its answer
}

void Succession::heard_from_successor(const std::string& frame) {
  RecordReader in(frame);
  const auto kind = in.kind<Frame>();
  if (kind == Frame::hello) {
    successor_ready_ = in.number() == kLinkVersion;
    if (successor_ready_ && ending_ && may_give_over()) ask_to_prepare();
  } else if (kind == Frame::prepared) {
    if (ending_ && may_give_over() && successor_ready_) give_over();
  } else if (kind == Frame::took_over) {
    heir_ = in.text();
  } else if (kind == Frame::answer) {
    const auto found = handed_in_.find(in.number());
    if (found == handed_in_.end()) return;
    const auto respond = std::move(found->second);
    handed_in_.erase(found);
    respond(read_answer(in));
  } else if (kind == Frame::reply) {
    replied(in, false);
  } else if (kind == Frame::call) {
    const std::uint64_t token = in.number();
    const std::string line = in.text();
    if (given_over_) return successor_->send(RecordWriter(Frame::returned).number(token));
    called(line, [link = successor_, token](const std::string& reply) {
      if (link) link->send(RecordWriter(Frame::reply).number(token).text(reply));
    });
  }
}

void Succession::give_over() {
  given_over_ = true;
  prepare_timer_.cancel();
  close_successors();
  Relay::Successor to;
  to.submit = [this](HandIn message, Server::Respond respond) {
    if (!successor_) return respond({Answer::Kind::refused, {}});
    successor_->send(write_hand_in(++last_token_, message));
    handed_in_.emplace(last_token_, std::move(respond));
  };
  to.withdraw = [this](const std::string& id) {
    if (successor_) successor_->send(RecordWriter(Frame::unheard).text(id));
  };
  to.outcome = [this](const std::string& id, std::uint32_t attempt, const CallResult& result) {
    if (successor_) successor_->send(write_outcome(id, attempt, result));
  };
  to.call_ended = [this](std::uint64_t call, CallEnd end) {
    if (successor_) successor_->send(write_call_over(call, end));
  };
  // What the process before this one has out is told through this one.
  to.all_reported = [this] {
    return handed_in_.empty() && (!successor_ || (successor_->sent() && !predecessor_));
  };
  const RecordWriter over = relay_->hand_over(std::move(to), done_, told_to_end_);
  if (fleet_) fleet_->stop();  // the new process is the same member: nothing is said of a leave
  lock_.release();
  successor_->send(over);
  tell_usage();
  std::cerr << "myrtlegrade: gave over" << std::endl;
}

void Succession::tell_usage() {
  if (!successor_) return;
  successor_->send(RecordWriter(Frame::usage).number(relay_->descriptors()));
  usage_timer_.expires_after(kTellEvery);
  usage_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) tell_usage();
  });
}

}  // namespace myrtlegrade
