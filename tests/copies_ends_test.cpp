// When holders send the notice of a message that nobody else completes, in virtual time.
#include <gtest/gtest.h>

#include "copies/copies.h"

namespace valedrum::copies {
namespace {

using namespace std::chrono_literals;

// Required bounds: a notice is due this long after the deadline of its message, and a relay process may stall
// for this long. The remainder covers the holder's wait and the delivery attempts of the notice
// (NoticeSender).
constexpr Duration kRequiredNotice = 300ms, kRequiredStall = 150ms, kDeliveryAttempts = 100ms;

std::string name_of(MemberIndex index) {
  std::string name(1, 'n');
  return name += std::to_string(index);
}

// A member of a group whose origin is n0, and the messages of n0 to it. Both clocks agree.
class Holder {
 public:
  explicit Holder(MemberIndex index) {
    LocalMember self;
    self.identity.name = name_of(index);
    copies_.emplace(CopiesSettings{}, self, StoredState{}, 3, now_);
    envelope_.group = {"n0", 17};
    envelope_.config.emplace();
    for (MemberIndex p = 0; p < kGroupSize; ++p)
      envelope_.config->members[p] = {name_of(p), p == index ? copies_->storage_id() : 5U + p, {p + 1U, 1}};
    envelope_.message.epoch = 1;
  }

  Time now() const { return now_; }
  Copies& copies() { return *copies_; }
  // Delivers an append of the owner whose transit took `transit`.
  void receive_append(Items items, Duration transit = {}) {
    envelope_.message.sent_at = now_ - transit;
    envelope_.message.items = std::move(items);
    for (auto& [id, item] : envelope_.message.items) item.version = {1, ++revision_};
    copies_->receive(now_, "n0", {{envelope_}, false});
  }
  static Item item_until(Time deadline) {
    Item item;
    item.deadline = deadline;
    item.payload = std::make_shared<const Payload>(Payload{"a", "c", "", "body", 1, true});
    return item;
  }
  // Runs the holder up to `until` and returns the ids that expired, with their times.
  std::map<std::string, Time> run(Time until) {
    std::map<std::string, Time> expiries;
    while (now_ < until) {
      now_ = std::min(until, std::max(now_ + 1us, copies_->next_wake()));
      copies_->wake(now_);
      copies_->flush(now_);
      copies_->take_frames();
      for (const CopyEvent& e : copies_->take_events()) {
        if (const auto* expired = std::get_if<Expired>(&e)) {
          EXPECT_TRUE(expiries.emplace(expired->id, now_).second) << expired->id << " expires twice";
        }
      }
    }
    return expiries;
  }

 private:
  Time now_{100s};
  std::optional<Copies> copies_;
  Envelope envelope_;
  std::uint64_t revision_ = 0;
};

// Guards against a holder that leaves too little time for its notice: the interval between its sweeps and a
// stall of 150 ms together must not exceed the 300 ms that a notice is due within. Either holder must keep
// the bound by itself, in any phase of its sweeps.
TEST(CopiesEnds, AHolderAloneLeavesTimeForAHoldUpAndItsNotice) {
  for (const MemberIndex index : {MemberIndex{1}, MemberIndex{2}}) {
    for (Duration phase = 0ms; phase < 100ms; phase += 7ms) {
      for (const Duration received_before :
           {Duration(0ms), Duration(100ms), Duration(800ms)}) {  // before the deadline
        Holder holder(index);
        holder.receive_append({{"first", Holder::item_until(holder.now() + 5s)}});
        holder.run(holder.now() + 1s + phase);
        const Time deadline = holder.now() + received_before + 10ms;
        holder.receive_append({{"a", Holder::item_until(deadline)}});
        const auto expiries = holder.run(deadline + kRequiredNotice);
        ASSERT_TRUE(expiries.contains("a"));
        EXPECT_GE(expiries.at("a"), deadline) << "before the deadline";
        EXPECT_LE(expiries.at("a") + kRequiredStall + kDeliveryAttempts, deadline + kRequiredNotice)
            << "n" << int{index} << ", phase " << phase / 1ms
            << " ms: " << (expiries.at("a") - deadline) / 1ms << " ms after the deadline";
      }
    }
  }
}

// Guards against late notices of an idle holder: it sweeps only every 10 s while it stores nothing, and must
// expire a new message in time nevertheless.
TEST(CopiesEnds, AHolderThatRestedEndsANewMessageInTime) {
  Holder holder(1);
  for (const char* id : {"a", "b"}) {
    const Time deadline = holder.now() + 1s;
    holder.receive_append({{id, Holder::item_until(deadline)}});
    EXPECT_TRUE(holder.run(deadline + kRequiredNotice).contains(id));
    EXPECT_TRUE(holder.run(holder.now() + 4s).empty());  // by then the message is forgotten
  }
}

// Guards against a deadline that stays too late: the first message of a connection is delayed by a stall,
// which makes the deadlines in it late by as much, for the notice and for a new owner. A later, faster
// message must correct them.
TEST(CopiesEnds, AQuickerWordCorrectsTheTimeThatASlowOneTold) {
  Holder holder(1);
  const Time deadline = holder.now() + 1s;
  holder.receive_append({{"a", Holder::item_until(deadline)}}, kRequiredStall);
  EXPECT_EQ(holder.copies().find("a")->deadline, deadline + kRequiredStall);
  holder.run(holder.now() + 250ms);
  holder.receive_append({}, 2ms);
  EXPECT_EQ(holder.copies().find("a")->deadline, deadline + 2ms);
  EXPECT_LE(holder.run(deadline + kRequiredNotice).at("a"), deadline + kClockError + kOwnerGracePeriod);
}

// Guards against a clock offset that never expires: if the minimum over the whole connection were used, a
// holder whose clock runs faster would expire messages of a healthy owner before their deadline.
TEST(CopiesEnds, ClocksThatRunApartEndNoMessageBeforeItsTime) {
  constexpr Duration kRenewalInterval = 250ms, kTransit = 1ms;
  constexpr std::int64_t kDriftDivisor = 10'000;  // 100 ppm
  Holder holder(1);
  const Time start = holder.now();
  const auto drift = [&] { return (holder.now() - start) / kDriftDivisor; };
  while (holder.now() < start + 10min) {
    holder.receive_append({}, kTransit + drift());
    holder.run(holder.now() + kRenewalInterval);
  }
  const Time deadline = holder.now() + 1s;
  holder.receive_append({{"a", Holder::item_until(deadline - drift())}}, kTransit + drift());
  const Time expiry = holder.run(deadline + kRequiredNotice).at("a");
  EXPECT_GE(expiry, deadline);
  EXPECT_LE(expiry, deadline + kClockError + kOwnerGracePeriod);
}

// Guards against needless notices: an owner that is heard completes its messages itself, even a little late;
// otherwise the holders would double the number of notices.
TEST(CopiesEnds, AnOwnerThatIsHeardIsLeftAloneAsLongAsTheBoundAllows) {
  Holder holder(1);
  const Time deadline = holder.now() + 1s;
  holder.receive_append({{"a", Holder::item_until(deadline)}, {"b", Holder::item_until(deadline)}});
  holder.run(deadline - 200ms);
  holder.receive_append({});
  EXPECT_TRUE(holder.run(deadline + kOwnerGracePeriod - 1ms).empty());
  Item completed = Holder::item_until(deadline);
  completed.completed = true;
  holder.receive_append({{"a", completed}});
  const auto expiries = holder.run(deadline + 1s);
  EXPECT_FALSE(expiries.contains("a"));
  EXPECT_EQ(expiries.at("b"), deadline + kOwnerGracePeriod);
}

// A silent owner gets no grace period, as the time may be needed for the notice.
TEST(CopiesEnds, AnOwnerThatIsSilentIsNotWaitedFor) {
  Holder holder(1);
  const Time deadline = holder.now() + 600ms;
  holder.receive_append({{"a", Holder::item_until(deadline)}});
  EXPECT_EQ(holder.run(deadline + 1s).at("a"), deadline);
}

// A message read from the state folder whose deadline passed in the meantime expires at once.
TEST(CopiesEnds, AProcessThatComesBackEndsWhatHadItsTime) {
  Holder holder(1);
  const Time deadline = holder.now() + 500ms;
  holder.receive_append({{"a", Holder::item_until(deadline)}});
  const std::string file = holder.copies().snapshot({});
  Copies again({}, {}, read_stored(file, {}), 4, deadline + 100ms);
  EXPECT_LE(again.next_wake(), deadline + 100ms);
  again.wake(deadline + 100ms);
  EXPECT_EQ(again.take_events().size(), 1U);
}

}  // namespace
}  // namespace valedrum::copies
