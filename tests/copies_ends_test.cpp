// By when those that hold a message end it where nobody else does, in virtual time.
#include <gtest/gtest.h>

#include "copies/copies.h"

namespace valedrum::copies {
namespace {

using namespace std::chrono_literals;

// Of the page: a notice is owed so long after a message's time, and a relay may be held up for so long. What
// is left is for the holder's wait and for its notice's tries (NoticeSender).
constexpr Duration kPageOwed = 300ms, kPageHoldUp = 150ms, kTries = 100ms;

std::string name_of(MemberIndex place) {
  std::string name(1, 'n');
  return name += std::to_string(place);
}

// A member of a group of n0's, and what n0 says to it. Both clocks agree.
class Holder {
 public:
  explicit Holder(MemberIndex place) {
    LocalMember self;
    self.identity.name = name_of(place);
    copies_.emplace(CopiesSettings{}, self, StoredState{}, 3, now_);
    word_.group = {"n0", 17};
    word_.config.emplace();
    for (MemberIndex p = 0; p < kGroupSize; ++p)
      word_.config->members[p] = {name_of(p), p == place ? copies_->storage_id() : 5U + p, {p + 1U, 1}};
    word_.message.epoch = 1;
  }

  Time now() const { return now_; }
  Copies& copies() { return *copies_; }
  // The owner says what it does; the word takes so long.
  void hear(Items items, Duration takes = {}) {
    word_.message.sent_at = now_ - takes;
    word_.message.items = std::move(items);
    for (auto& [id, item] : word_.message.items) item.version = {1, ++revision_};
    copies_->receive(now_, "n0", {{word_}, false});
  }
  static Item lasting(Time until) {
    Item item;
    item.deadline = until;
    item.payload = std::make_shared<const Payload>(Payload{"a", "c", "", "body", 1, true});
    return item;
  }
  // Its notices up to then, with their time.
  std::map<std::string, Time> run(Time until) {
    std::map<std::string, Time> ended;
    while (now_ < until) {
      now_ = std::min(until, std::max(now_ + 1us, copies_->next_wake()));
      copies_->wake(now_);
      copies_->flush(now_);
      copies_->take_frames();
      for (const CopyEvent& e : copies_->take_events()) {
        if (const auto* expired = std::get_if<Expired>(&e)) {
          EXPECT_TRUE(ended.emplace(expired->id, now_).second) << expired->id << " is ended twice";
        }
      }
    }
    return ended;
  }

 private:
  Time now_{100s};
  std::optional<Copies> copies_;
  Envelope word_;
  std::uint64_t revision_ = 0;
};

// Either holder by itself, whatever the phase of its sweeps: the pauses of a holder and a hold-up of 0.15 s
// were together more than the 300 ms that a notice is owed within.
TEST(CopiesEnds, AHolderAloneLeavesTimeForAHoldUpAndItsNotice) {
  for (const MemberIndex place : {MemberIndex{1}, MemberIndex{2}}) {
    for (Duration phase = 0ms; phase < 100ms; phase += 7ms) {
      for (const Duration heard : {Duration(0ms), Duration(100ms), Duration(800ms)}) {  // before its time
        Holder h(place);
        h.hear({{"first", Holder::lasting(h.now() + 5s)}});
        h.run(h.now() + 1s + phase);
        const Time until = h.now() + heard + 10ms;
        h.hear({{"a", Holder::lasting(until)}});
        const auto ended = h.run(until + kPageOwed);
        ASSERT_TRUE(ended.contains("a"));
        EXPECT_GE(ended.at("a"), until) << "before its time";
        EXPECT_LE(ended.at("a") + kPageHoldUp + kTries, until + kPageOwed)
            << "n" << int{place} << ", phase " << phase / 1ms << " ms: " << (ended.at("a") - until) / 1ms
            << " ms after its time";
      }
    }
  }
}

// A holder that rested: it looked at what it held each 10 s while that was nothing.
TEST(CopiesEnds, AHolderThatRestedEndsANewMessageInTime) {
  Holder h(1);
  for (const char* id : {"a", "b"}) {
    const Time until = h.now() + 1s;
    h.hear({{id, Holder::lasting(until)}});
    EXPECT_TRUE(h.run(until + kPageOwed).contains(id));
    EXPECT_TRUE(h.run(h.now() + 4s).empty());  // it is forgotten by then
  }
}

// The first word of a connection was held up, and a message's time was late by as much for good, for the
// notice and for an heir.
TEST(CopiesEnds, AQuickerWordCorrectsTheTimeThatASlowOneTold) {
  Holder h(1);
  const Time until = h.now() + 1s;
  h.hear({{"a", Holder::lasting(until)}}, kPageHoldUp);
  EXPECT_EQ(h.copies().find("a")->deadline, until + kPageHoldUp);
  h.run(h.now() + 250ms);
  h.hear({}, 2ms);
  EXPECT_EQ(h.copies().find("a")->deadline, until + 2ms);
  EXPECT_LE(h.run(until + kPageOwed).at("a"), until + kClockError + kOwnerGracePeriod);
}

// The least that any word of a connection took was believed for as long as it lasted: where the holder's
// clock ran faster, it ended messages of a healthy owner before their time.
TEST(CopiesEnds, ClocksThatRunApartEndNoMessageBeforeItsTime) {
  constexpr Duration kRenew = 250ms, kWay = 1ms;
  constexpr std::int64_t kApart = 10'000;  // 100 millionths
  Holder h(1);
  const Time began = h.now();
  const auto behind = [&] { return (h.now() - began) / kApart; };
  while (h.now() < began + 10min) {
    h.hear({}, kWay + behind());
    h.run(h.now() + kRenew);
  }
  const Time until = h.now() + 1s;
  h.hear({{"a", Holder::lasting(until - behind())}}, kWay + behind());
  const Time ended = h.run(until + kPageOwed).at("a");
  EXPECT_GE(ended, until);
  EXPECT_LE(ended, until + kClockError + kOwnerGracePeriod);
}

// An owner that is heard ends its messages itself, also where it is a little late: the holders' notices would
// come to as many as its own.
TEST(CopiesEnds, AnOwnerThatIsHeardIsLeftAloneAsLongAsTheBoundAllows) {
  Holder h(1);
  const Time until = h.now() + 1s;
  h.hear({{"a", Holder::lasting(until)}, {"b", Holder::lasting(until)}});
  h.run(until - 200ms);
  h.hear({});
  EXPECT_TRUE(h.run(until + kOwnerGracePeriod - 1ms).empty());
  Item over = Holder::lasting(until);
  over.completed = true;
  h.hear({{"a", over}});
  const auto ended = h.run(until + 1s);
  EXPECT_FALSE(ended.contains("a"));
  EXPECT_EQ(ended.at("b"), until + kOwnerGracePeriod);
}

// One that has been silent is not waited for: what a wait would cost could be needed for the notice.
TEST(CopiesEnds, AnOwnerThatIsSilentIsNotWaitedFor) {
  Holder h(1);
  const Time until = h.now() + 600ms;
  h.hear({{"a", Holder::lasting(until)}});
  EXPECT_EQ(h.run(until + 1s).at("a"), until);
}

// Found again in the folder, what had its time meanwhile is ended at once.
TEST(CopiesEnds, AProcessThatComesBackEndsWhatHadItsTime) {
  Holder h(1);
  const Time until = h.now() + 500ms;
  h.hear({{"a", Holder::lasting(until)}});
  const std::string file = h.copies().snapshot({});
  Copies again({}, {}, read_stored(file, {}), 4, until + 100ms);
  EXPECT_LE(again.next_wake(), until + 100ms);
  again.wake(until + 100ms);
  EXPECT_EQ(again.take_events().size(), 1U);
}

}  // namespace
}  // namespace valedrum::copies
